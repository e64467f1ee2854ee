//! Evacuated availability zones: what is not sent there, and how their engines return.

use std::sync::Arc;

use borageshore_batch::ModelVersion;
use borageshore_platform::EndpointEntry;

use super::Endpoints;

/// The endpoints of a zone that this daemon knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ZoneUse {
    pub(crate) endpoints: u64,
    /// The requests of this daemon that run there.
    pub(crate) running: u64,
}

impl Endpoints {
    /// Starts or ends the evacuation of a zone.
    pub(crate) fn set_evacuated(&self, zone: &Arc<str>, is_evacuated: bool) -> ZoneUse {
        let now_ms = self.clock.now_ms();
        let mut table = self.table.borrow_mut();
        let is_changed = table.evacuations_mut().set(zone, is_evacuated);
        let has_ended = is_changed && !is_evacuated;
        if has_ended {
            table.cold_mut().on_return(zone, now_ms);
        }
        drop(table);
        if has_ended {
            self.expect_loads(zone);
        }
        self.changed.notify_waiters();
        self.zone_use(zone)
    }

    /// The evacuated zones, sorted.
    pub(crate) fn evacuated_zones(&self) -> Vec<Arc<str>> {
        self.table.borrow().evacuations().zones().to_vec()
    }

    /// Whether an instance is in an evacuated zone, so that nothing may be sent to it.
    pub(crate) fn is_evacuated(&self, instance: &str) -> bool {
        let table = self.table.borrow();
        let endpoint = table.get(instance);
        endpoint.is_some_and(|endpoint| table.evacuations().is_evacuated(&endpoint.listing.zone))
    }

    pub(crate) fn is_zone_evacuated(&self, zone: &str) -> bool {
        self.table.borrow().evacuations().is_evacuated(zone)
    }

    /// The known endpoints of a zone and what runs there.
    pub(crate) fn zone_use(&self, zone: &str) -> ZoneUse {
        let table = self.table.borrow();
        let mut zone_use = ZoneUse::default();
        for endpoint in table.iter().filter(|known| &*known.listing.zone == zone) {
            zone_use.endpoints += 1;
            zone_use.running += endpoint.in_flight;
        }
        zone_use
    }

    /// Counts the engines of a zone that are behind an announced version as loading it, so that items wait until they
    /// have caught up.
    fn expect_loads(&self, zone: &str) {
        let published = self.routes.published_versions();
        let registry = self.registry.borrow();
        for entry in registry
            .values()
            .filter(|entry| &*entry.listing.zone == zone)
        {
            if let Some(target) = self.newer_version(entry, &published) {
                self.on_load_ordered(&entry.listing.name, target);
            }
        }
    }

    fn newer_version(
        &self,
        entry: &EndpointEntry,
        published: &[ModelVersion],
    ) -> Option<ModelVersion> {
        let versions = self.versions.borrow();
        let is_behind = |target: &&ModelVersion| {
            let serves = |(model, _): &(Arc<str>, u64)| *model == target.model;
            entry.models.iter().any(serves)
                && versions.get(&entry.listing.name, &target.model) < target.version
        };
        published.iter().find(is_behind).cloned()
    }
}
