//! What is known about the endpoints of a service when orders are planned.

use std::sync::Arc;

/// The listed endpoints of one kind in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindCount {
    /// Those that accept requests.
    pub live: u64,
    /// Those that drain.
    pub leaving: u64,
}

/// The newest announced order for the spot endpoints of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnnouncedOrder {
    /// The number of spot endpoints.
    pub count: u64,
    /// When the announcement was read, or made.
    pub at_ms: u64,
}

/// A zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneView {
    /// Its name.
    pub zone: Arc<str>,
    /// The endpoints that the operator provides.
    pub regular: KindCount,
    /// The endpoints that may be reclaimed.
    pub spot: KindCount,
    /// The newest order that any daemon announced.
    pub announced: Option<AnnouncedOrder>,
    /// Whether nothing may be sent to its endpoints; they count for nothing then.
    pub is_evacuated: bool,
}

impl ZoneView {
    /// A zone with `live` regular endpoints and no order.
    pub fn regular(zone: &str, live: u64) -> Self {
        Self {
            zone: zone.into(),
            regular: KindCount { live, leaving: 0 },
            spot: KindCount::default(),
            announced: None,
            is_evacuated: false,
        }
    }
}

/// A service with all zones in which it may have endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceView {
    /// One slot for each item of the newest submission of each model.
    pub needed_slots: u64,
    /// The slots of the live regular endpoints of zones that are not evacuated.
    pub regular_slots: u64,
    /// The slots of one endpoint; 0 if no endpoint is known, and then nothing can be ordered.
    pub slots_each: u64,
    /// The zones, by name.
    pub zones: Vec<ZoneView>,
}

impl ServiceView {
    /// The number of spot endpoints that provide the slots that regular endpoints lack.
    pub(crate) fn needed_spot(&self) -> u64 {
        let shortfall = self.needed_slots.saturating_sub(self.regular_slots);
        shortfall.div_ceil(self.slots_each.max(1))
    }
}
