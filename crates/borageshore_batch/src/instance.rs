//! Names of endpoint instances.

use std::sync::Arc;

/// Separates the endpoint id from the start time in an instance name.
pub const INSTANCE_SEPARATOR: char = '@';

/// The name of an instance, which differs for each start under the same id, so that state kept under it (load,
/// latency, weight versions, pending orders) does not survive a restart.
pub fn instance_name(id: &str, started_at_ms: Option<u64>) -> Arc<str> {
    match started_at_ms {
        Some(started_at_ms) => format!("{id}{INSTANCE_SEPARATOR}{started_at_ms}").into(),
        None => id.into(),
    }
}

/// Returns the endpoint id in an instance name.
pub(crate) fn endpoint_id(name: &str) -> &str {
    name.rsplit_once(INSTANCE_SEPARATOR)
        .map_or(name, |(id, _)| id)
}
