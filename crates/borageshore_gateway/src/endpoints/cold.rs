//! Cold endpoints: what their entries and the members' records say, and this daemon's share of what they tolerate.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_membership::{Presence, PresenceState};
use borageshore_net::{boot_time_ms, sleep_ms};
use borageshore_platform::{EndpointEntry, KeyedRecord};
use borageshore_routing::{
    ColdEndpoints, Endpoint, EndpointListing, EndpointTable, MemberStanding, RouteTable,
    ViewReading,
};
use borageshore_topology::Residency;

use super::{Endpoints, InFlight};
use crate::{
    feed::FeedTopicSource, fleet_records::FleetRecords, follow::Follower,
    operator_records::OperatorRecords,
};

/// The interval at which clocks and ages of views are read.
const READING_INTERVAL_MS: u64 = 100;
/// Cold endpoints are counted once in this many readings, as that visits all endpoints.
const READINGS_PER_COUNT: u64 = 10;
/// The maximum number of names in a log line about several endpoints.
const MAX_NAMES_LOGGED: usize = 8;

/// The followers whose views the shares of budgets depend on.
#[derive(Debug)]
pub(crate) struct SharedViews {
    pub(crate) operator: Rc<Follower<OperatorRecords, FeedTopicSource>>,
    pub(crate) endpoints: Rc<Follower<Endpoints, FeedTopicSource>>,
    pub(crate) members: Rc<Follower<FleetRecords, FeedTopicSource>>,
}

impl SharedViews {
    fn reading(&self, now_ms: u64) -> ViewReading {
        let entries_at_ms = self.endpoints.requested_at_ms();
        let others = [
            self.operator.requested_at_ms(),
            self.members.requested_at_ms(),
        ];
        ViewReading {
            now_ms,
            boot_ms: boot_time_ms(),
            // `None`, a view that was never read, is the least.
            shared_at_ms: others.into_iter().fold(entries_at_ms, Option::min),
            entries_at_ms,
        }
    }
}

/// What is kept about cold endpoints besides the endpoint table.
#[derive(Debug, Default)]
pub(super) struct ColdWatch {
    views: RefCell<Option<SharedViews>>,
    /// The routes whose limits were applied last.
    applied: RefCell<Option<Rc<RouteTable>>>,
    /// The number of cold endpoints of each service that was logged last.
    logged: RefCell<SortedMap<Arc<str>, usize>>,
}

impl Endpoints {
    /// Whether the deployment bounds the requests to cold endpoints.
    pub(crate) fn has_cold_bounds(&self) -> bool {
        self.table.borrow().cold().has_bounds()
    }

    /// Keeps the shares of budgets up to date; returns at once where cold endpoints have no bounds.
    pub(crate) async fn watch_cold(self: Rc<Self>, views: SharedViews) {
        if !self.has_cold_bounds() {
            return;
        }
        *self.cold_watch.views.borrow_mut() = Some(views);
        for reading in 0_u64.. {
            self.update_cold(&mut self.table.borrow_mut());
            if reading.is_multiple_of(READINGS_PER_COUNT) {
                self.count_cold();
            }
            sleep_ms(READING_INTERVAL_MS).await;
        }
    }

    /// Applies clocks, ages of views and new limits; called before each send too, as this process may just have woken.
    pub(super) fn update_cold(&self, table: &mut EndpointTable) {
        if !table.cold().has_bounds() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let cold = table.cold_mut();
        self.apply_cold_limits(cold, now_ms);
        if let Some(views) = &*self.cold_watch.views.borrow() {
            cold.on_reading(views.reading(now_ms));
        }
    }

    fn apply_cold_limits(&self, cold: &mut ColdEndpoints, now_ms: u64) {
        let (routes, limits) = self.routes.cold_limits();
        let mut applied = self.cold_watch.applied.borrow_mut();
        let is_applied = |known: &Rc<RouteTable>| Rc::ptr_eq(known, &routes);
        if !self.routes.is_known() || applied.as_ref().is_some_and(is_applied) {
            return;
        }
        cold.set_services(&limits, &routes, now_ms);
        *applied = Some(routes);
    }

    /// Applies what an entry says; the cost does not depend on the number of endpoints.
    pub(super) fn on_entry_coldness(&self, entry: &EndpointEntry) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table.borrow_mut();
        let cold = table.cold_mut();
        cold.on_cold_left(&entry.listing, entry.cold_left_ms, now_ms);
    }

    /// Applies records of members.
    pub(crate) fn on_member_records(&self, records: &[KeyedRecord]) {
        if !self.has_cold_bounds() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut table = self.table.borrow_mut();
        let cold = table.cold_mut();
        for record in records {
            match &record.value {
                None => cold.on_member_removed(&record.key, now_ms),
                // Records of other kinds and unreadable ones are the membership's concern.
                Some(value) => {
                    if let Ok(presence) = serde_json::from_slice::<Presence>(value) {
                        cold.on_member(&presence.name, standing(&presence), now_ms);
                    }
                }
            }
        }
    }

    /// Called when records of members may have been missed.
    pub(crate) fn on_members_gap(&self) {
        self.table.borrow_mut().cold_mut().on_members_gap();
    }

    /// How long until a request may be sent to an endpoint of a service that only the limits of cold ones keep back;
    /// `None` if there is none.
    pub(crate) fn cold_wait_ms(&self, service: &str) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let next_ms = self.table.borrow().next_cold_send_ms(service, now_ms)?;
        Some(next_ms - now_ms)
    }

    /// The same if no other endpoint of the service in an allowed region may be sent to.
    pub(crate) fn cold_refusal_ms(&self, service: &str, residency: &Residency) -> Option<u64> {
        let wait_ms = self.cold_wait_ms(service)?;
        let now_ms = self.clock.now_ms();
        let table = self.table.borrow();
        let is_allowed = |endpoint: &Endpoint| {
            let zone = &endpoint.listing.zone;
            self.topology.allows(residency, zone)
        };
        let has_other = table.usable(service, now_ms).any(is_allowed);
        (!has_other).then_some(wait_ms)
    }

    /// Counts the cold endpoints of each service and logs the numbers that changed.
    fn count_cold(&self) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table.borrow_mut();
        table.cold_mut().forget_expired(now_ms);
        if !table.cold().is_in_force() {
            return;
        }
        let mut cold: SortedMap<Arc<str>, Vec<Arc<str>>> = SortedMap::default();
        for endpoint in table.iter() {
            let EndpointListing { name, service, .. } = &endpoint.listing;
            if table.cold().is_cold(&endpoint.listing, now_ms) {
                let of_service = cold.get_or_insert_with(service.clone(), Vec::new);
                of_service.push(name.clone());
            }
        }
        let mut logged = self.cold_watch.logged.borrow_mut();
        for (service, names) in cold.iter() {
            let before = logged.insert(service.clone(), names.len()).unwrap_or(0);
            if before == names.len() {
                continue;
            }
            let some = &names[..names.len().min(MAX_NAMES_LOGGED)];
            log::info!(service = &**service, before, cold = names.len(), is_sure = table.cold().is_sure(now_ms), endpoints:? = some; "number of cold endpoints changed; sending these few requests");
            let count = names.len() as u64;
            self.instruments.set_at("cold_endpoints", service, count);
        }
        logged.retain(|service, before| {
            let is_cold = cold.contains_key(service);
            if !is_cold {
                log::info!(service = &**service, before = *before; "no endpoint of the service is cold any more");
                self.instruments.set_at("cold_endpoints", service, 0);
            }
            is_cold
        });
    }
}

impl InFlight {
    /// Applies how long its endpoint stays cold, if a response said so.
    pub(crate) fn on_cold_left(&self, left_ms: Option<u64>) {
        let now_ms = self.endpoints.clock.now_ms();
        let mut table = self.endpoints.table.borrow_mut();
        let listing = table.get(&self.instance).map(|known| known.listing.clone());
        if let (Some(listing), Some(left_ms)) = (listing, left_ms) {
            table.cold_mut().on_cold_left(&listing, left_ms, now_ms);
        }
    }
}

fn standing(presence: &Presence) -> MemberStanding {
    MemberStanding {
        is_ready: presence.state == PresenceState::Ready,
        is_owner: !presence.holds.is_empty(),
    }
}
