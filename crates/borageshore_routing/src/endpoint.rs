//! What a daemon knows of the endpoints it observes.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// Failures in a row after which an endpoint is left out for a while.
const EJECT_AFTER_CONSECUTIVE_FAILURES: u32 = 3;
/// The share of failures, in thousandths, from which an endpoint is left out although some requests
/// end well there: an endpoint that fails two of five has 400, one that fails one of fifty never
/// gets there.
const EJECT_AT_FAILURE_PERMILLE: u64 = 350;
/// An endpoint that comes back has this share, so that the next failures eject it again at once.
const READMITTED_PERMILLE: u64 = 250;
/// Below this share it counts as sound, and a later ejection is a first one again.
const HEALTHY_PERMILLE: u64 = 100;
/// The weight of an outcome in the share: an eighth, so that it follows the last dozen.
const FAILURE_RATE_WINDOW: u64 = 8;
/// The first time of an ejection; it doubles with each further one.
const BASE_EJECTION_MS: u64 = 2_000;
/// The largest number of doublings.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// At most this share of a service's endpoints is ejected at once.
const MAX_EJECTED_PERCENT: usize = 50;
/// After this time half of a load report's weight is gone.
const REPORT_HALF_LIFE_MS: u64 = 1_000;

/// Whether an endpoint may get new work, as the VM list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It may.
    Live,
    /// Its VM is leaving: it finishes what it has.
    Leaving,
}

/// An endpoint as the VM list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointListing {
    /// Its name.
    pub name: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where to connect.
    pub address: Arc<str>,
    /// Whether it may get new work.
    pub state: EndpointState,
}

/// What an endpoint says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and queued, from all daemons.
    pub requests: u64,
    /// Requests it can run at once.
    pub slots: u64,
}

/// An endpoint with what this daemon observed of it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// What the VM list says.
    pub listing: EndpointListing,
    /// This daemon's own requests at it now.
    pub in_flight: u64,
    /// Its last report.
    pub report: Option<LoadReport>,
    reported_at_ms: u64,
    in_flight_at_report: u64,
    consecutive_failures: u32,
    failure_rate_permille: u64,
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
            consecutive_failures: 0,
            failure_rate_permille: 0,
            ejections: 0,
            ejected_until_ms: 0,
        }
    }

    /// Takes an outcome into the share of failures: 0 or 1,000.
    fn update_failure_rate(&mut self, outcome_permille: u64) {
        let weighted_previous = self.failure_rate_permille * (FAILURE_RATE_WINDOW - 1);
        self.failure_rate_permille = (weighted_previous + outcome_permille) / FAILURE_RATE_WINDOW;
    }

    /// When its last report came; 0 before the first.
    pub fn reported_at_ms(&self) -> u64 {
        self.reported_at_ms
    }

    /// Says whether new work may go here.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.listing.state == EndpointState::Live && now_ms >= self.ejected_until_ms
    }

    /// Others' requests by the last report, fading with its age, so that an old report neither
    /// draws nor scares off work for ever.
    pub fn others_load(&self, now_ms: u64) -> u64 {
        let Some(report) = self.report else {
            return 0;
        };
        let others = report.requests.saturating_sub(self.in_flight_at_report);
        let half_lives = now_ms.saturating_sub(self.reported_at_ms) / REPORT_HALF_LIFE_MS;
        others >> half_lives.min(63)
    }

    /// The estimated number of requests at it.
    pub fn load(&self, now_ms: u64) -> u64 {
        self.in_flight + self.others_load(now_ms)
    }

    /// Its number of slots; one until it has reported.
    pub fn slots(&self) -> u64 {
        self.report.map_or(1, |report| report.slots.max(1))
    }
}

/// The endpoints that this daemon observes, by name.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: SortedMap<Arc<str>, Endpoint>,
}

impl EndpointTable {
    /// Takes over a VM list: new endpoints come in, listed ones keep what was observed of them,
    /// missing ones go once nothing of ours runs there.
    pub fn on_listing(&mut self, listings: Vec<EndpointListing>) {
        for (_, endpoint) in self.endpoints.iter_mut() {
            endpoint.listing.state = EndpointState::Leaving;
        }
        for listing in listings {
            match self.endpoints.get_mut(&listing.name) {
                Some(known) if known.listing.address == listing.address => known.listing = listing,
                _ => {
                    self.endpoints
                        .insert(listing.name.clone(), Endpoint::open(listing));
                }
            }
        }
        self.endpoints.retain(|_, endpoint| {
            endpoint.listing.state == EndpointState::Live || endpoint.in_flight > 0
        });
    }

    /// Takes over a load report.
    pub fn on_report(&mut self, name: &str, report: LoadReport, now_ms: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.report = Some(report);
            endpoint.reported_at_ms = now_ms;
            endpoint.in_flight_at_report = endpoint.in_flight;
        }
    }

    /// Counts a request that is being handed over.
    pub fn on_start(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.in_flight += 1;
        }
    }

    /// Counts a request that ended well.
    pub fn on_success(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.consecutive_failures = 0;
            endpoint.update_failure_rate(0);
            if endpoint.failure_rate_permille < HEALTHY_PERMILLE {
                endpoint.ejections = 0;
            }
        }
    }

    /// Counts a request that ended without telling anything of the endpoint's health.
    pub fn on_cancelled(&mut self, name: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Counts a request that failed, and ejects the endpoint after some in a row, or when it fails a
    /// large share.
    ///
    /// The share guards against an endpoint that fails part of its requests: with successes between
    /// them it never fails three in a row, and callers pay with a second attempt for as long as it
    /// lasts. It is ejected for longer each time until it was sound for some ten requests.
    ///
    /// Guards against a fault of the observer's own side (a bad link, a full queue) that makes every
    /// endpoint look bad: no more than a share of a service is ejected at once.
    pub fn on_failure(&mut self, name: &str, now_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.consecutive_failures += 1;
        endpoint.update_failure_rate(1_000);
        let is_outlier = endpoint.consecutive_failures >= EJECT_AFTER_CONSECUTIVE_FAILURES
            || endpoint.failure_rate_permille >= EJECT_AT_FAILURE_PERMILLE;
        if !is_outlier {
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
            return;
        }
        let endpoint = self.endpoints.get_mut(name).expect("looked up above");
        let doublings = endpoint.ejections.min(MAX_EJECTION_DOUBLINGS);
        endpoint.ejected_until_ms = now_ms + (BASE_EJECTION_MS << doublings);
        endpoint.ejections += 1;
        endpoint.consecutive_failures = 0;
        endpoint.failure_rate_permille = READMITTED_PERMILLE;
    }

    /// An endpoint.
    pub fn get(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// All endpoints, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The endpoints of a service that may get new work.
    pub fn usable<'t>(
        &'t self,
        service: &'t str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'t Endpoint> {
        self.endpoints.values().filter(move |endpoint| {
            &*endpoint.listing.service == service && endpoint.is_usable(now_ms)
        })
    }
}
