//! Availability zones that the operator evacuates.

use std::sync::Arc;

use crate::{endpoint::EndpointListing, send_gate::SendGate};

/// The zones whose endpoints must receive no requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Sorted.
    zones: Vec<Arc<str>>,
}

impl Evacuations {
    /// Starts or ends the evacuation of a zone; returns whether that changed anything.
    pub fn set(&mut self, zone: &Arc<str>, is_evacuated: bool) -> bool {
        match (self.zones.binary_search(zone), is_evacuated) {
            (Err(at), true) => {
                self.zones.insert(at, zone.clone());
                true
            }
            (Ok(at), false) => {
                self.zones.remove(at);
                true
            }
            _ => false,
        }
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones
            .binary_search_by(|known| (**known).cmp(zone))
            .is_ok()
    }

    /// The evacuated zones, sorted.
    pub fn zones(&self) -> &[Arc<str>] {
        &self.zones
    }
}

impl SendGate for Evacuations {
    fn may_send(&self, endpoint: &EndpointListing, _now_ms: u64) -> bool {
        !self.is_evacuated(&endpoint.zone)
    }
}
