//! Endpoints that tolerate only few requests for a while after they started or became cold again.

use crate::{endpoint::EndpointListing, send_gate::SendGate};

/// What cold endpoints of a service tolerate, from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// How long an endpoint is cold after it started.
    pub cold_start_ms: u64,
    /// The requests a second that a cold endpoint tolerates.
    pub requests_per_s: f64,
}

/// The cold endpoints, with this daemon's share of what each tolerates.
#[derive(Debug, Clone, Default)]
pub struct ColdEndpoints {}

impl ColdEndpoints {
    /// Notes that the evacuation of a zone ended; its endpoints may have become cold meanwhile.
    pub fn on_return(&mut self, _zone: &str, _now_ms: u64) {}
}

impl SendGate for ColdEndpoints {
    fn may_send(&self, _endpoint: &EndpointListing, _now_ms: u64) -> bool {
        true
    }
}
