//! Conditions under which requests may be sent to an endpoint, beyond its listed state and its health.

use crate::endpoint::EndpointListing;

/// A condition under which requests may be sent to endpoints.
///
/// [`EndpointTable`](crate::EndpointTable) asks its gates before it offers an endpoint for any request: calls, retries,
/// hedges, items and reward calls alike.
pub trait SendGate {
    /// Whether a request may be sent to an endpoint now.
    fn may_send(&self, endpoint: &EndpointListing, now_ms: u64) -> bool;

    /// Counts a request that is about to be sent to an endpoint.
    fn on_send(&mut self, _endpoint: &EndpointListing, _now_ms: u64) {}
}
