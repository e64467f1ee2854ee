//! The `handover` command: a summary for the incoming shift.

use borageshore_api::{SettingsView, Status};
use borageshore_settings::AuditEntry;
use serde::Serialize;

use crate::{
    arguments::Connection,
    client::{CommandError, get},
    show,
};

const HOUR_MS: u64 = 3_600_000;

/// The summary in JSON output.
#[derive(Debug, Serialize)]
struct Handover {
    settings: SettingsView,
    changes: Vec<AuditEntry>,
    status: Status,
}

/// Fetches the audit entries of the last hours.
pub(crate) async fn changes(
    connection: &Connection,
    hours: u64,
) -> Result<Vec<AuditEntry>, CommandError> {
    let now_ms = jiff::Timestamp::now().as_millisecond() as u64;
    let since_ms = now_ms.saturating_sub(hours * HOUR_MS);
    get(
        connection,
        &format!("/v1/admin/audit?since_ms={since_ms}&limit=20000"),
    )
    .await
}

/// Renders the settings, their changes in the last hours, and the status.
pub(crate) async fn run(connection: &Connection, hours: u64) -> Result<String, CommandError> {
    let handover = Handover {
        settings: get(connection, "/v1/admin/settings").await?,
        changes: changes(connection, hours).await?,
        status: get(connection, "/v1/admin/status").await?,
    };
    Ok(show::render(connection, &handover, |handover| {
        format!(
            "In force:\n{}\nChanged in the last {hours} h:\n{}\nRunning:\n{}",
            show::settings(&handover.settings),
            show::audit(&handover.changes),
            show::status(&handover.status)
        )
    }))
}
