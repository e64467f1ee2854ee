//! Names of an endpoint's incarnations.

use std::sync::Arc;

/// Stands between the id of an endpoint and the start of its incarnation.
const SEPARATOR: char = '@';

/// The name of an incarnation: another one for each start under the same id. What is kept under it, load,
/// pace, weights, orders under way, does not outlive the restart.
pub fn incarnation_name(id: &str, started_at_ms: Option<u64>) -> Arc<str> {
    match started_at_ms {
        Some(started_at_ms) => format!("{id}{SEPARATOR}{started_at_ms}").into(),
        None => id.into(),
    }
}

/// The id of an incarnation's endpoint.
pub(crate) fn endpoint_id(name: &str) -> &str {
    name.rsplit_once(SEPARATOR).map_or(name, |(id, _)| id)
}
