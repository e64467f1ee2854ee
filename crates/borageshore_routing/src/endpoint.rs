//! The endpoints that a daemon observes, with their load, failure rate and outlier ejection.

use std::{collections::VecDeque, sync::Arc};

use borageshore_base::SortedMap;

use crate::{cold_endpoints::ColdEndpoints, evacuations::Evacuations, send_gate::SendGate};

/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER_CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate, in thousandths, at which an endpoint is ejected although some of its requests succeed. An endpoint
/// that fails two of five requests has 400; one that fails one of fifty never gets there.
const EJECT_AT_FAILURE_PERMILLE: u64 = 350;
/// Failure rate given to an endpoint when it is ejected, high enough that a few failures after its return eject
/// it again.
const READMITTED_PERMILLE: u64 = 250;
/// Failure rate below which a success resets the ejection backoff.
const HEALTHY_PERMILLE: u64 = 100;
/// The failure rate is a moving average in which a new outcome has the weight 1 / `FAILURE_RATE_WINDOW`.
const FAILURE_RATE_WINDOW: u64 = 8;
/// Duration of the first ejection; each further one lasts twice as long.
const BASE_EJECTION_MS: u64 = 2_000;
/// Limit of the doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Largest share of a service's endpoints that may be ejected at the same time.
const MAX_EJECTED_PERCENT: usize = 50;
/// Half-life of a load report.
const REPORT_HALF_LIFE_MS: u64 = 1_000;
/// A reported slowdown changes within about this time and says nothing about the VM afterwards.
const SLOWDOWN_LIFETIME_MS: u64 = 600;
/// The usual slowdown of a VM is the median of this many reports. A momentary slowdown shows in few of them.
const USUAL_SLOWDOWN_REPORTS: usize = 9;
/// A failure rate says nothing about an endpoint any more after this time without a failure.
const FAILURE_RATE_LIFETIME_MS: u64 = 10_000;
/// A VM that is as fast as usual.
const NO_SLOWDOWN_PERCENT: u64 = 100;
/// Reported slowdowns are limited to this, so that one absurd report cannot overflow a cost.
const MAX_SLOWDOWN_PERCENT: u64 = 10_000;

/// Whether the VM list lets an endpoint receive new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts new work.
    Live,
    /// Its VM is shutting down; running requests may finish.
    Leaving,
}

/// An endpoint's entry in the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointListing {
    /// The unique name of the endpoint.
    pub name: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The address to connect to, with the port.
    pub address: Arc<str>,
    /// Whether it accepts new work.
    pub state: EndpointState,
}

/// The load that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Running and queued requests of all daemons.
    pub requests: u64,
    /// How many requests it can run concurrently.
    pub slots: u64,
    /// How long work takes on its VM at the moment, in percent of the usual; `None` if it does not say.
    pub slowdown_percent: Option<u64>,
}

/// An endpoint with this daemon's observations of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its entry in the VM list.
    pub listing: EndpointListing,
    /// This daemon's requests that are in flight to it.
    pub in_flight: u64,
    /// Its last load report.
    pub report: Option<LoadReport>,
    reported_at_ms: u64,
    in_flight_at_report: u64,
    has_reported_slowdown: bool,
    /// The last reported slowdowns, oldest first.
    slowdowns_percent: VecDeque<u64>,
    usual_slowdown_percent: u64,
    consecutive_failures: u32,
    failure_rate_permille: u64,
    failed_at_ms: u64,
    ejections: u32,
    ejected_until_ms: u64,
}

impl Endpoint {
    fn open(listing: EndpointListing) -> Self {
        Self {
            listing,
            in_flight: 0,
            report: None,
            reported_at_ms: 0,
            in_flight_at_report: 0,
            has_reported_slowdown: false,
            slowdowns_percent: VecDeque::new(),
            usual_slowdown_percent: NO_SLOWDOWN_PERCENT,
            consecutive_failures: 0,
            failure_rate_permille: 0,
            failed_at_ms: 0,
            ejections: 0,
            ejected_until_ms: 0,
        }
    }

    /// Adds an outcome to the moving average: 0 for a success, 1,000 for a failure.
    fn update_failure_rate(&mut self, outcome_permille: u64) {
        let weighted_previous = self.failure_rate_permille * (FAILURE_RATE_WINDOW - 1);
        self.failure_rate_permille = (weighted_previous + outcome_permille) / FAILURE_RATE_WINDOW;
    }

    /// When the last load report arrived; 0 before the first.
    pub fn reported_at_ms(&self) -> u64 {
        self.reported_at_ms
    }

    /// Whether it has reported since it started how slow its VM is.
    pub fn has_reported_slowdown(&self) -> bool {
        self.has_reported_slowdown
    }

    fn is_needed(&self) -> bool {
        self.listing.state == EndpointState::Live || self.in_flight > 0
    }

    /// Returns whether it may receive new work.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.listing.state == EndpointState::Live && now_ms >= self.ejected_until_ms
    }

    /// The requests of other daemons by the last report. Decays with the age of the report, so that an old
    /// one does not attract or repel work indefinitely.
    pub fn others_load(&self, now_ms: u64) -> u64 {
        let Some(report) = self.report else {
            return 0;
        };
        let others = report.requests.saturating_sub(self.in_flight_at_report);
        let half_lives = now_ms.saturating_sub(self.reported_at_ms) / REPORT_HALF_LIFE_MS;
        others >> half_lives.min(63)
    }

    /// The estimated number of its running and queued requests.
    pub fn load(&self, now_ms: u64) -> u64 {
        self.in_flight + self.others_load(now_ms)
    }

    /// How long work takes on its VM, in percent of the usual. The last reported value approaches 100 with the age of
    /// the report.
    pub fn slowdown_percent(&self, now_ms: u64) -> u64 {
        let Some(reported) = self.report.and_then(|report| report.slowdown_percent) else {
            return NO_SLOWDOWN_PERCENT;
        };
        self.faded(reported.min(MAX_SLOWDOWN_PERCENT), now_ms)
    }

    /// How much longer work takes on its VM at the moment than it usually does there, in percent: 100 if not, or if the
    /// last report is old. A VM that is always slow is as slow as usual.
    pub fn momentary_slowdown_percent(&self, now_ms: u64) -> u64 {
        let Some(reported) = self.report.and_then(|report| report.slowdown_percent) else {
            return NO_SLOWDOWN_PERCENT;
        };
        let reported = reported.min(MAX_SLOWDOWN_PERCENT) * 100;
        let relative = reported / self.usual_slowdown_percent.max(1);
        self.faded(relative.max(NO_SLOWDOWN_PERCENT), now_ms)
    }

    /// A slowdown of the last report, nearer to none the older the report is.
    fn faded(&self, slowdown_percent: u64, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.reported_at_ms);
        let faded_ms = age_ms.min(SLOWDOWN_LIFETIME_MS);
        let left_ms = SLOWDOWN_LIFETIME_MS - faded_ms;
        (slowdown_percent * left_ms + NO_SLOWDOWN_PERCENT * faded_ms) / SLOWDOWN_LIFETIME_MS
    }

    fn add_slowdown(&mut self, slowdown_percent: u64) {
        if self.slowdowns_percent.len() == USUAL_SLOWDOWN_REPORTS {
            self.slowdowns_percent.pop_front();
        }
        self.slowdowns_percent
            .push_back(slowdown_percent.min(MAX_SLOWDOWN_PERCENT));
        let mut sorted: Vec<u64> = self.slowdowns_percent.iter().copied().collect();
        sorted.sort_unstable();
        self.usual_slowdown_percent = sorted[sorted.len() / 2];
    }

    /// The share of its requests that failed lately, in thousandths. Approaches 0 with the time since the last failure,
    /// so that an endpoint that gets no requests for it is not avoided for good.
    pub fn recent_failure_permille(&self, now_ms: u64) -> u64 {
        let quiet_ms = now_ms.saturating_sub(self.failed_at_ms);
        let left_ms = FAILURE_RATE_LIFETIME_MS.saturating_sub(quiet_ms);
        self.failure_rate_permille * left_ms / FAILURE_RATE_LIFETIME_MS
    }

    /// Its number of slots; 1 before the first load report.
    pub fn slots(&self) -> u64 {
        self.report.map_or(1, |report| report.slots.max(1))
    }
}

/// The endpoints that this daemon observes, by name.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: SortedMap<Arc<str>, Endpoint>,
    /// How many endpoints of each service have reported a slowdown since they started.
    slowdown_reporters: SortedMap<Arc<str>, usize>,
    evacuations: Evacuations,
    cold: ColdEndpoints,
}

impl EndpointTable {
    /// Applies a VM list. Known endpoints keep their observations unless their address changed; those that
    /// are leaving or no longer listed are removed once this daemon has no requests in flight to them.
    pub fn on_listing(&mut self, listings: Vec<EndpointListing>) {
        for (_, endpoint) in self.endpoints.iter_mut() {
            endpoint.listing.state = EndpointState::Leaving;
        }
        for listing in listings {
            self.update(listing);
        }
        let reporters = &mut self.slowdown_reporters;
        self.endpoints.retain(|_, endpoint| {
            let is_needed = endpoint.is_needed();
            if !is_needed {
                uncount_reporter(reporters, endpoint);
            }
            is_needed
        });
    }

    /// Applies one entry of a VM list; the cost does not depend on the number of endpoints.
    pub fn on_listed(&mut self, listing: EndpointListing) {
        let name = listing.name.clone();
        self.update(listing);
        self.remove_if_unneeded(&name);
    }

    /// Removes an endpoint that is no longer listed, once this daemon has no requests in flight to it.
    pub fn on_unlisted(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.listing.state = EndpointState::Leaving;
            self.remove_if_unneeded(name);
        }
    }

    fn update(&mut self, listing: EndpointListing) {
        match self.endpoints.get_mut(&listing.name) {
            Some(known) if known.listing.address == listing.address => known.listing = listing,
            _ => {
                let replaced = self
                    .endpoints
                    .insert(listing.name.clone(), Endpoint::open(listing));
                if let Some(replaced) = replaced {
                    uncount_reporter(&mut self.slowdown_reporters, &replaced);
                }
            }
        }
    }

    fn remove_if_unneeded(&mut self, name: &str) {
        if self
            .endpoints
            .get(name)
            .is_some_and(|endpoint| !endpoint.is_needed())
            && let Some(removed) = self.endpoints.remove(name)
        {
            uncount_reporter(&mut self.slowdown_reporters, &removed);
        }
    }

    /// Whether endpoints of a service report how slow their VMs are: any known one has done so since it started. The
    /// cost does not depend on the number of endpoints.
    pub fn reports_slowdowns(&self, service: &str) -> bool {
        self.slowdown_reporters.contains_key(service)
    }

    /// Records a load report. Returns whether the endpoint is the first known one of its service to report a slowdown.
    pub fn on_report(&mut self, name: &str, report: LoadReport, now_ms: u64) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return false;
        };
        endpoint.report = Some(report);
        endpoint.reported_at_ms = now_ms;
        endpoint.in_flight_at_report = endpoint.in_flight;
        let Some(slowdown_percent) = report.slowdown_percent else {
            return false;
        };
        endpoint.add_slowdown(slowdown_percent);
        if std::mem::replace(&mut endpoint.has_reported_slowdown, true) {
            return false;
        }
        let service = endpoint.listing.service.clone();
        let reporters = self.slowdown_reporters.get_or_insert_with(service, || 0);
        *reporters += 1;
        *reporters == 1
    }

    /// The zones whose endpoints are offered for no request.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// The zones whose endpoints are offered for no request, to change them.
    pub fn evacuations_mut(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// The endpoints that are offered for few requests only.
    pub fn cold(&self) -> &ColdEndpoints {
        &self.cold
    }

    /// The endpoints that are offered for few requests only, to change them.
    pub fn cold_mut(&mut self) -> &mut ColdEndpoints {
        &mut self.cold
    }

    /// Whether all gates let a request be sent to an endpoint now.
    pub fn may_send(&self, endpoint: &EndpointListing, now_ms: u64) -> bool {
        self.evacuations.may_send(endpoint, now_ms) && self.cold.may_send(endpoint, now_ms)
    }

    /// When a request may be sent to the first endpoint of a service that only the limits of cold ones keep back; `None`
    /// if there is none, or this daemon has no share of these limits.
    pub fn next_cold_send_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        if self.cold.lets_all_pass(now_ms) {
            return None;
        }
        let live = self.endpoints.values().filter(|endpoint| {
            &*endpoint.listing.service == service
                && endpoint.is_usable(now_ms)
                && self.evacuations.may_send(&endpoint.listing, now_ms)
        });
        let next = live.filter_map(|endpoint| self.cold.next_send_ms(&endpoint.listing, now_ms));
        next.filter(|next_ms| *next_ms > now_ms).min()
    }

    /// Tells the gates that a request is about to be sent.
    pub fn on_send(&mut self, name: &str, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get(name) {
            self.evacuations.on_send(&endpoint.listing, now_ms);
            self.cold.on_send(&endpoint.listing, now_ms);
        }
    }

    /// Counts a request that is about to be sent.
    pub fn on_start(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.in_flight += 1;
        }
    }

    /// Counts a request that succeeded.
    pub fn on_success(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.consecutive_failures = 0;
            endpoint.update_failure_rate(0);
            if endpoint.failure_rate_permille < HEALTHY_PERMILLE {
                endpoint.ejections = 0;
            }
            self.remove_if_unneeded(name);
        }
    }

    /// Counts a request that ended without evidence about the endpoint's health.
    pub fn on_cancelled(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            self.remove_if_unneeded(name);
        }
    }

    /// Counts a request that failed. Ejects the endpoint after several consecutive failures or at a high
    /// failure rate.
    ///
    /// The rate catches an endpoint that fails only part of its requests and so never reaches the consecutive
    /// limit. Each ejection lasts longer than the one before until the failure rate has recovered.
    ///
    /// At most `MAX_EJECTED_PERCENT` of a service is ejected at once: when all endpoints seem to fail, the
    /// cause is likely on this daemon's side, such as a bad link.
    pub fn on_failure(&mut self, name: &str, now_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.consecutive_failures += 1;
        endpoint.update_failure_rate(1_000);
        endpoint.failed_at_ms = now_ms;
        let is_outlier = endpoint.consecutive_failures >= EJECT_AFTER_CONSECUTIVE_FAILURES
            || endpoint.failure_rate_permille >= EJECT_AT_FAILURE_PERMILLE;
        if !is_outlier {
            self.remove_if_unneeded(name);
            return;
        }
        let service = endpoint.listing.service.clone();
        let of_service = || {
            self.endpoints
                .values()
                .filter(|other| other.listing.service == service)
        };
        let ejected = of_service()
            .filter(|other| now_ms < other.ejected_until_ms)
            .count();
        if (ejected + 1) * 100 > of_service().count() * MAX_EJECTED_PERCENT {
            self.remove_if_unneeded(name);
            return;
        }
        let endpoint = self.endpoints.get_mut(name).expect("looked up above");
        let doublings = endpoint.ejections.min(MAX_EJECTION_DOUBLINGS);
        endpoint.ejected_until_ms = now_ms + (BASE_EJECTION_MS << doublings);
        endpoint.ejections += 1;
        endpoint.consecutive_failures = 0;
        endpoint.failure_rate_permille = READMITTED_PERMILLE;
        self.remove_if_unneeded(name);
    }

    /// Looks up an endpoint by name.
    pub fn get(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// All endpoints, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Whether any endpoint of a service is listed as live in a zone for which `allows` returns true, ejected or not.
    pub fn has_live<Allows>(&self, service: &str, allows: Allows) -> bool
    where
        Allows: Fn(&str) -> bool,
    {
        self.endpoints.values().any(|endpoint| {
            let listing = &endpoint.listing;
            &*listing.service == service
                && listing.state == EndpointState::Live
                && allows(&listing.zone)
        })
    }

    /// The endpoints of a service that may receive new work: live ones that are not ejected and that no gate keeps back.
    pub fn usable<'t>(
        &'t self,
        service: &'t str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'t Endpoint> {
        self.endpoints.values().filter(move |endpoint| {
            &*endpoint.listing.service == service
                && endpoint.is_usable(now_ms)
                && self.may_send(&endpoint.listing, now_ms)
        })
    }
}

/// Stops counting an endpoint that is no longer known among those that report slowdowns.
fn uncount_reporter(reporters: &mut SortedMap<Arc<str>, usize>, endpoint: &Endpoint) {
    if !endpoint.has_reported_slowdown {
        return;
    }
    let service = &*endpoint.listing.service;
    let left = reporters.get(service).map_or(0, |count| count - 1);
    match left {
        0 => reporters.remove(service),
        _ => reporters.insert(service.into(), left),
    };
}
