//! Endpoints that tolerate only few requests for a while after they started or became cold again.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::{
    budget_shares::{BudgetShares, MemberStanding, Pool},
    endpoint::EndpointListing,
    routes::{RouteKind, RouteTable},
    send_gate::SendGate,
    send_log::SendLog,
    view_certainty::{SETTLE_MS, ViewCertainty, ViewReading},
};

/// The longest time for which an endpoint counts as cold without saying so again.
pub const MAX_COLD_MS: u64 = 600_000;
/// Where a service runs items and calls, the share of the budget for the daemons that run submissions, in percent.
const OWNERS_PERCENT: u64 = 75;

/// What cold endpoints of a service tolerate, from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// How long an endpoint is cold after it started.
    pub cold_start_ms: u64,
    /// The requests a second that a cold endpoint tolerates.
    pub requests_per_s: f64,
}

/// How far the requests to a cold endpoint may exceed its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// The factor on the limit.
    pub excess: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl ColdBounds {
    /// The requests that a cold endpoint may get in any one second.
    pub fn budget(&self, limits: &ColdLimits) -> u64 {
        // The cast saturates, and a negative bound allows nothing.
        (limits.requests_per_s * self.excess + self.slack) as u64
    }
}

/// The requests that routes send to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServiceUse {
    Items,
    Calls,
    Both,
}

impl ServiceUse {
    fn of(routes: &RouteTable, service: &str) -> Self {
        let uses = |is_batch: bool| {
            let mut of_kind = routes
                .iter()
                .filter(|route| (route.kind == RouteKind::Batch) == is_batch);
            of_kind.any(|route| {
                route
                    .targets
                    .iter()
                    .any(|target| &*target.service == service)
            })
        };
        match (uses(true), uses(false)) {
            (true, false) => ServiceUse::Items,
            (true, true) => ServiceUse::Both,
            (false, _) => ServiceUse::Calls,
        }
    }
}

/// A service whose cold endpoints have a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ColdService {
    limits: ColdLimits,
    used_for: ServiceUse,
    /// When this daemon may use its share, as other daemons may still act on earlier limits before.
    settled_at_ms: u64,
}

/// What is known of an endpoint of such a service.
#[derive(Debug, Clone, Default)]
struct ColdState {
    cold_until_ms: u64,
    /// When its entry or a response said whether it is cold.
    said_at_ms: Option<u64>,
    sends: SendLog,
}

/// The cold endpoints, with this daemon's share of what each tolerates.
///
/// Without bounds, or for a service without limits, every request may be sent.
#[derive(Debug, Clone, Default)]
pub struct ColdEndpoints {
    bounds: Option<ColdBounds>,
    services: SortedMap<Arc<str>, ColdService>,
    has_services: bool,
    states: SortedMap<Arc<str>, ColdState>,
    /// No endpoint is cold from then on, by what is known.
    all_warm_at_ms: u64,
    /// When zones whose endpoints count as cold came back.
    returned_zones: SortedMap<Arc<str>, u64>,
    shares: BudgetShares,
    view: ViewCertainty,
}

impl ColdEndpoints {
    /// Creates the state of the daemon `own_name`.
    pub fn open(own_name: Arc<str>, bounds: Option<ColdBounds>) -> Self {
        Self {
            bounds,
            shares: BudgetShares::open(own_name),
            ..Self::default()
        }
    }

    /// Whether the deployment bounds the requests to cold endpoints.
    pub fn has_bounds(&self) -> bool {
        self.bounds.is_some()
    }

    /// Whether any service has limits that are in force.
    pub fn is_in_force(&self) -> bool {
        !self.services.is_empty()
    }

    /// Applies the limits of services, with the routes that use these. A service whose limits or use have changed gets
    /// no requests to cold endpoints until all daemons know.
    pub fn set_services(
        &mut self,
        limits: &SortedMap<Arc<str>, ColdLimits>,
        routes: &RouteTable,
        now_ms: u64,
    ) {
        if self.bounds.is_none() {
            return;
        }
        let is_first = !std::mem::replace(&mut self.has_services, true);
        let changed_at_ms = if is_first { now_ms } else { now_ms + SETTLE_MS };
        let mut services = SortedMap::default();
        for (name, limits) in limits.iter() {
            let used_for = ServiceUse::of(routes, name);
            let known = self.services.get(name);
            let known = known.filter(|known| known.limits == *limits && known.used_for == used_for);
            let service = known.copied().unwrap_or(ColdService {
                limits: *limits,
                used_for,
                settled_at_ms: changed_at_ms,
            });
            services.insert(name.clone(), service);
        }
        self.services = services;
    }

    /// Applies the record of a member.
    pub fn on_member(&mut self, name: &Arc<str>, standing: MemberStanding, now_ms: u64) {
        self.shares.on_record(name, standing, now_ms);
    }

    /// Applies the removal of a member's record.
    pub fn on_member_removed(&mut self, name: &str, now_ms: u64) {
        self.shares.on_removed(name, now_ms);
    }

    /// Starts over after records of members may have been missed.
    pub fn on_members_gap(&mut self) {
        self.view.reset();
    }

    /// Applies the clocks and the ages of the views; has to be called several times a second, and before a request is
    /// sent.
    pub fn on_reading(&mut self, reading: ViewReading) {
        self.view.on_reading(reading);
    }

    /// Drops what no longer counts.
    pub fn forget_expired(&mut self, now_ms: u64) {
        self.shares.forget_removed(now_ms);
        self.returned_zones
            .retain(|_, at_ms| now_ms < *at_ms + MAX_COLD_MS);
        let has_returned_zones = !self.returned_zones.is_empty();
        self.states.retain(|_, state| {
            state.sends.forget_before(now_ms);
            let is_cold = now_ms < state.cold_until_ms;
            let speaks_for_itself = has_returned_zones && state.said_at_ms.is_some();
            is_cold || speaks_for_itself || !state.sends.is_empty()
        });
    }

    /// Records how long an endpoint says that it stays cold, counted from now; 0 if it is not.
    pub fn on_cold_left(&mut self, endpoint: &EndpointListing, left_ms: u64, now_ms: u64) {
        if self.bounds.is_some() {
            let cold_until_ms = now_ms + left_ms.min(MAX_COLD_MS);
            self.all_warm_at_ms = self.all_warm_at_ms.max(cold_until_ms);
            let state = self.state_mut(&endpoint.name);
            state.cold_until_ms = cold_until_ms;
            state.said_at_ms = Some(now_ms);
        }
    }

    /// Counts all endpoints of a zone as cold, as after a start, unless they say otherwise later.
    pub fn on_return(&mut self, zone: &Arc<str>, now_ms: u64) {
        if self.bounds.is_some() {
            self.returned_zones.insert(zone.clone(), now_ms);
            self.all_warm_at_ms = self.all_warm_at_ms.max(now_ms + MAX_COLD_MS);
        }
    }

    /// Whether an endpoint counts as cold.
    pub fn is_cold(&self, endpoint: &EndpointListing, now_ms: u64) -> bool {
        if now_ms >= self.all_warm_at_ms {
            return false;
        }
        let Some(service) = self.services.get(&endpoint.service) else {
            return false;
        };
        let state = self.states.get(&endpoint.name);
        if state.is_some_and(|state| now_ms < state.cold_until_ms) {
            return true;
        }
        let is_cold_by = |returned_at_ms: &u64| {
            let said_at_ms = state.and_then(|state| state.said_at_ms);
            let has_spoken = said_at_ms.is_some_and(|at_ms| at_ms > *returned_at_ms);
            now_ms < returned_at_ms + service.limits.cold_start_ms && !has_spoken
        };
        self.returned_zones
            .get(&endpoint.zone)
            .is_some_and(is_cold_by)
    }

    /// Whether this daemon's views have been current for long enough to use its shares.
    pub fn is_sure(&self, now_ms: u64) -> bool {
        self.view.is_certain(now_ms)
    }

    /// Whether this daemon may send any request to any endpoint: none is cold, and its entries are current.
    pub(crate) fn lets_all_pass(&self, now_ms: u64) -> bool {
        self.services.is_empty() || now_ms >= self.all_warm_at_ms && !self.view.has_old_entries()
    }

    /// When this daemon may send the next request to an endpoint, at `now_ms` or later; `None` if it has no share of
    /// what the endpoint tolerates.
    pub fn next_send_ms(&self, endpoint: &EndpointListing, now_ms: u64) -> Option<u64> {
        let Some(limit) = self.limit(endpoint, now_ms) else {
            return Some(now_ms);
        };
        match self.states.get(&endpoint.name) {
            Some(state) => state.sends.next_ms(limit, now_ms),
            None => (limit > 0).then_some(now_ms),
        }
    }

    /// The requests that this daemon may send to an endpoint within a window; `None` if there is no limit.
    fn limit(&self, endpoint: &EndpointListing, now_ms: u64) -> Option<u64> {
        let service = self.services.get(&endpoint.service)?;
        let budget = self.bounds?.budget(&service.limits);
        if self.is_cold(endpoint, now_ms) {
            return Some(self.share(service, &endpoint.name, budget, now_ms));
        }
        // It may be cold again, and nobody says so.
        self.view.has_old_entries().then_some(budget)
    }

    fn share(&self, service: &ColdService, instance: &str, budget: u64, now_ms: u64) -> u64 {
        if !self.view.is_certain(now_ms) || now_ms < service.settled_at_ms {
            return 0;
        }
        let owners_budget = match service.used_for {
            ServiceUse::Items => budget,
            ServiceUse::Calls => 0,
            ServiceUse::Both => budget * OWNERS_PERCENT / 100,
        };
        let (pool, budget) = match self.shares.is_owner(now_ms) && owners_budget > 0 {
            true => (Pool::Owners, owners_budget),
            false => (Pool::Ready, budget - owners_budget),
        };
        self.shares.share_of(pool, instance, budget, now_ms)
    }

    fn state_mut(&mut self, instance: &Arc<str>) -> &mut ColdState {
        self.states
            .get_or_insert_with(instance.clone(), ColdState::default)
    }
}

impl SendGate for ColdEndpoints {
    fn may_send(&self, endpoint: &EndpointListing, now_ms: u64) -> bool {
        self.lets_all_pass(now_ms) || self.next_send_ms(endpoint, now_ms) == Some(now_ms)
    }

    fn on_send(&mut self, endpoint: &EndpointListing, now_ms: u64) {
        if self.services.contains_key(&endpoint.service) {
            self.state_mut(&endpoint.name).sends.add(now_ms);
        }
    }
}
