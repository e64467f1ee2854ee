//! Rendering of command output as text or JSON.

use std::fmt::Write;

use borageshore_api::{Explanation, JobStatus, LeaseStatus, SettingsView, Status};
use borageshore_settings::{AuditEntry, AuditedEdit, Edit, SettingValue, Verdict};
use serde::Serialize;

use crate::arguments::Connection;

/// Renders JSON with `--json`, text otherwise.
pub(crate) fn render<Content, Show>(
    connection: &Connection,
    content: &Content,
    show: Show,
) -> String
where
    Content: Serialize,
    Show: FnOnce(&Content) -> String,
{
    if connection.json {
        return serde_json::to_string(content).expect("responses serialize to JSON");
    }
    show(content)
}

/// Renders a message; in JSON, as an object with the field `message`.
pub(crate) fn render_message(connection: &Connection, text: String) -> String {
    if connection.json {
        return serde_json::json!({ "message": text }).to_string();
    }
    text
}

/// Formats a Unix time in ms; out of range, it is shown as a number.
pub(crate) fn time(at_ms: u64) -> String {
    jiff::Timestamp::from_millisecond(at_ms as i64)
        .map_or_else(|_| at_ms.to_string(), |at| format!("{at:.0}"))
}

fn value(value: Option<&SettingValue>) -> String {
    value.map_or_else(|| "(inherited)".into(), SettingValue::to_string)
}

/// Renders the values set at nodes.
pub(crate) fn settings(view: &SettingsView) -> String {
    let mut text = String::new();
    for node in &view.nodes {
        for key in node.keys.iter().filter(|key| key.value.is_some()) {
            let shown = value(key.value.as_ref());
            let _ = writeln!(
                text,
                "{}.{} = {shown}  (revision {}, {})",
                node.node, key.key, key.revision, key.actor
            );
        }
    }
    text
}

/// Renders effective values with their origins.
pub(crate) fn explained(explained: &[Explanation]) -> String {
    let mut text = String::new();
    for found in explained {
        let origin = found.from_node.as_deref().unwrap_or("default");
        let _ = writeln!(
            text,
            "{:28} {:20} from {origin} (revision {})",
            found.key,
            found.value.to_string(),
            found.revision
        );
    }
    text
}

/// Renders the changes that a file would make.
pub(crate) fn difference(edits: &[(Edit, Option<SettingValue>)]) -> String {
    let mut text = String::new();
    for (edit, before) in edits {
        let (before, after) = (value(before.as_ref()), value(edit.value.as_ref()));
        let _ = writeln!(text, "{}.{}: {before} -> {after}", edit.node, edit.key);
    }
    text
}

/// Renders an accepted change.
pub(crate) fn accepted(entry: &AuditEntry) -> String {
    let edits: Vec<String> = entry.edits.iter().map(edit).collect();
    format!(
        "accepted as revision {}\n  {}\n",
        entry.offset + 1,
        edits.join("\n  ")
    )
}

fn edit(edit: &AuditedEdit) -> String {
    let (before, after) = (value(edit.before.as_ref()), value(edit.after.as_ref()));
    format!(
        "{}.{}: {before} -> {after} (based on {})",
        edit.node, edit.key, edit.based_on
    )
}

/// Renders the audit trail.
pub(crate) fn audit(entries: &[AuditEntry]) -> String {
    let mut text = String::new();
    for entry in entries {
        let verdict = match &entry.verdict {
            Verdict::Accepted => format!("accepted as revision {}", entry.offset + 1),
            Verdict::Rejected(fault) => format!("rejected: {fault}"),
        };
        let _ = writeln!(
            text,
            "{} {}: {} [{verdict}]",
            time(entry.at_ms),
            entry.actor,
            entry.reason
        );
        for change in &entry.edits {
            let _ = writeln!(text, "    {}", edit(change));
        }
    }
    text
}

/// Renders the status of a daemon.
pub(crate) fn status(status: &Status) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} of {} is {}",
        status.daemon, status.zone, status.life
    );
    for stream in &status.streams {
        let _ = writeln!(
            text,
            "stream {:10} offset {:8} behind {}",
            stream.stream, stream.applied_offset, stream.behind
        );
    }
    for daemon in &status.daemons {
        let _ = writeln!(
            text,
            "daemon {:12} {:14} {:22} {} {}",
            daemon.name, daemon.zone, daemon.http_address, daemon.state, daemon.health
        );
    }
    for lease in &status.leases {
        let _ = writeln!(text, "{}", lease_line(lease));
    }
    text.push_str(&job_lines(&status.jobs));
    for endpoint in &status.endpoints {
        let usable = if endpoint.is_usable {
            "usable"
        } else {
            "not used"
        };
        let _ = writeln!(
            text,
            "endpoint {:18} {:14} {:8} in flight {:4} {usable}",
            endpoint.name, endpoint.zone, endpoint.state, endpoint.in_flight
        );
    }
    text
}

fn lease_line(lease: &LeaseStatus) -> String {
    let owner = lease.owner.as_deref().unwrap_or("nobody");
    format!("lease {:30} {owner} epoch {}", lease.shard, lease.epoch)
}

fn job_lines(jobs: &[JobStatus]) -> String {
    let mut text = String::new();
    for job in jobs {
        let _ = writeln!(
            text,
            "job {:16} generated {} buffered {} stale {} replaced {} failed {}",
            job.job, job.generated, job.buffered, job.stale, job.replaced, job.failed
        );
    }
    text
}

/// Renders the jobs with their owners.
pub(crate) fn jobs(status: &Status) -> String {
    let mut text = String::new();
    for lease in status
        .leases
        .iter()
        .filter(|lease| lease.shard.starts_with("job/"))
    {
        let _ = writeln!(text, "{}", lease_line(lease));
    }
    text.push_str(&job_lines(&status.jobs));
    text
}
