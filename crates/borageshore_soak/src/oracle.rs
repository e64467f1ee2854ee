//! Collects observations from outside the daemons and checks them against the service's guarantees.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use borageshore_standins::platform::{
    PlatformEngine, PlatformService, RecordedRun, event_count, event_text,
};
use bytes::Bytes;
use serde::Deserialize;

use crate::{
    RegionReport,
    crashes::Disturbance,
    observers::MissingBody,
    regions::{Evacuation, HarmedLink},
};

/// Minimum time between orders of two holders to one engine: the lease of an order.
const LEASE_MS: u64 = 3_000;
/// Orders are ignored for this long after their holder resumed from a pause: they may have been sent before it.
const RESUME_GRACE_MS: u64 = 300;

/// Time after which an unlisted endpoint must get no calls: daemons notice an outage of the store within 2 s and
/// keep entries that expire around it for 2.3 s.
const UNLIST_GRACE_MS: u64 = 4_500;

/// Time for daemons to read the entry of another writer and to finish calls in flight.
const FOREIGN_ENTRY_READ_MS: u64 = 300;
/// Minimum time for which the entry of another writer stays.
const FOREIGN_ENTRY_MIN_MS: u64 = 800;

/// A result as read by a trainer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct ReadResult {
    pub(crate) id: String,
    pub(crate) state: String,
    pub(crate) output: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) score: Option<String>,
}

/// What a trainer knows of its submission.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownSubmission {
    pub(crate) items: Vec<String>,
    pub(crate) min_version: u64,
    pub(crate) is_accepted: bool,
    /// When the first acceptance was received.
    pub(crate) accepted_at_ms: u64,
    /// Whether every response so far was a refusal, which promises that no item runs.
    pub(crate) is_refused: bool,
    pub(crate) results: BTreeMap<usize, ReadResult>,
    /// The submission as it was sent, and the body of each item.
    pub(crate) body: Bytes,
    pub(crate) bodies: BTreeMap<String, Bytes>,
    /// Whether its end was asked for.
    pub(crate) is_ending: bool,
    /// When its end was acknowledged.
    pub(crate) ended_at_ms: Option<u64>,
    /// Items that were listed as given up before the end was asked for.
    pub(crate) given_up_before_end: Vec<String>,
}

/// Records observations and violations.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) submissions: RefCell<BTreeMap<String, KnownSubmission>>,
    /// Whether each text must come from one version of the weights.
    pub(crate) is_single_version: Cell<bool>,
    /// Calls that must run at most once, with whether the response said that they did not run.
    pub(crate) at_most_once_calls: RefCell<BTreeMap<String, bool>>,
    /// When the caller of each call stops waiting.
    pub(crate) call_deadlines_ms: RefCell<BTreeMap<String, u64>>,
    /// Names of paused daemons with the times at which they resumed.
    pub(crate) resumed_at_ms: RefCell<Vec<(String, u64)>>,
    /// Submission attempts that were not answered with an acceptance.
    pub(crate) not_accepted: Cell<usize>,
    /// When the first endpoint of the plain service was unlisted.
    pub(crate) unlisted_at_ms: Cell<Option<u64>>,
    /// When another writer overwrote the entry of the first endpoint of the plain service.
    pub(crate) foreign_entry_at_ms: Cell<Option<u64>>,
    /// When all daemons were last killed at once.
    pub(crate) killed_all_at_ms: Cell<Option<u64>>,
    /// How often daemons asked the store for the members after all were killed while it answered slowly.
    pub(crate) member_loads_after_kill: Cell<Option<usize>>,
    /// Index of the daemon that each attempt of a crashing call was sent to.
    pub(crate) daemon_by_attempt: RefCell<BTreeMap<String, usize>>,
    /// When daemons were faulty or had no access to the store.
    pub(crate) disturbances: RefCell<Vec<Disturbance>>,
    pub(crate) evacuations: RefCell<Vec<Evacuation>>,
    /// When links to endpoints were faulty.
    pub(crate) harmed_links: RefCell<Vec<HarmedLink>>,
    pub(crate) regions: RefCell<RegionReport>,
    pub(crate) missing_bodies: RefCell<Vec<MissingBody>>,
    /// Requests of observers that were answered, and all.
    pub(crate) observations: Cell<(usize, usize)>,
    violations: RefCell<BTreeSet<String>>,
}

impl Oracle {
    pub(crate) fn record_violation(&self, what: String) {
        self.violations.borrow_mut().insert(what);
    }

    /// Records that a daemon, or all if `None`, are disturbed from `at_ms` on; returns the index of the disturbance.
    pub(crate) fn begin_disturbance(&self, daemon: Option<usize>, at_ms: u64) -> usize {
        let mut disturbances = self.disturbances.borrow_mut();
        disturbances.push(Disturbance {
            daemon,
            from_ms: at_ms,
            until_ms: u64::MAX,
        });
        disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub(crate) fn end_disturbance(&self, number: usize, at_ms: u64) {
        self.disturbances.borrow_mut()[number].until_ms = at_ms;
    }

    /// Returns whether the daemon of an attempt was disturbed at `at_ms` or up to `before_ms` earlier. If its daemon
    /// is unknown, a disturbance of any daemon counts.
    pub(crate) fn is_disturbed(&self, attempt: &str, at_ms: u64, before_ms: u64) -> bool {
        let daemon_by_attempt = self.daemon_by_attempt.borrow();
        let daemon = daemon_by_attempt.get(attempt).copied();
        let overlaps = |one: &Disturbance| {
            let affects_daemon = one.daemon.is_none() || daemon.is_none() || one.daemon == daemon;
            affects_daemon && one.from_ms <= at_ms && at_ms < one.until_ms.saturating_add(before_ms)
        };
        self.disturbances.borrow().iter().any(overlaps)
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.borrow().iter().cloned().collect()
    }

    /// Counts a request of an observer.
    pub(crate) fn observed(&self, is_answered: bool) {
        let (answered, all) = self.observations.get();
        self.observations
            .set((answered + usize::from(is_answered), all + 1));
    }

    /// Checks and records a page of results that a daemon returned.
    pub(crate) fn record_results(
        &self,
        id: &str,
        after: usize,
        total: usize,
        page: Vec<ReadResult>,
    ) {
        let mut submissions = self.submissions.borrow_mut();
        let known = submissions.entry(id.into()).or_default();
        if total != known.items.len() {
            self.record_violation(format!(
                "{id}: total is {total} instead of {}",
                known.items.len()
            ));
        }
        for (offset, result) in page.into_iter().enumerate() {
            let position = after + offset;
            self.check_result(id, known, &result);
            match known.results.get(&position) {
                Some(before) if *before != result => self.record_violation(format!(
                    "{id}: position {position} holds item {} and held item {} before",
                    result.id, before.id
                )),
                Some(_) => {}
                None => {
                    let twice = known.results.values().any(|other| other.id == result.id);
                    if twice {
                        self.record_violation(format!(
                            "{id}: item {} has two positions",
                            result.id
                        ));
                    }
                    if result.state == "dead_lettered" && !known.is_ending {
                        known.given_up_before_end.push(result.id.clone());
                    }
                    known.results.insert(position, result);
                }
            }
        }
    }

    fn check_result(&self, id: &str, known: &KnownSubmission, result: &ReadResult) {
        if !known.items.contains(&result.id) {
            self.record_violation(format!(
                "{id}: contains item {} of another submission",
                result.id
            ));
        }
        if result.state != "done" {
            return;
        }
        let events: Vec<String> = (1..=event_count(&result.id))
            .map(|event| event_text(&result.id, event))
            .collect();
        if result.output != events.join("\n") {
            self.record_violation(format!(
                "{id}: the output of {} is incomplete or wrong",
                result.id
            ));
        }
        if result
            .versions
            .iter()
            .any(|version| *version < known.min_version)
        {
            self.record_violation(format!(
                "{id}: {} was generated under versions {:?}, older than the minimum",
                result.id, result.versions
            ));
        }
        if self.is_single_version.get() && result.versions.len() > 1 {
            self.record_violation(format!(
                "{id}: {} was generated under several versions {:?}",
                result.id, result.versions
            ));
        }
        let signature = PlatformService::signature(&reward_id(&result.id));
        if result.score.as_deref() != Some(&signature) {
            self.record_violation(format!("{id}: {} has the score of another call", result.id));
        }
    }

    /// Checks what the endpoints received during the run.
    pub(crate) fn check_endpoints(&self, engines: &[PlatformEngine], services: &[PlatformService]) {
        let runs: Vec<RecordedRun> = engines.iter().flat_map(PlatformEngine::runs).collect();
        self.check_refused(&runs);
        self.check_versions(&runs);
        self.check_at_most_once_calls(services);
        self.check_unlisted_endpoint(services);
        for (number, engine) in engines.iter().enumerate() {
            self.check_orders(number, engine);
        }
    }

    fn check_refused(&self, runs: &[RecordedRun]) {
        for (id, known) in self.submissions.borrow().iter() {
            let has_run = |item: &String| runs.iter().any(|run| run.item == *item);
            if known.is_refused && !known.is_accepted && known.items.iter().any(has_run) {
                self.record_violation(format!("{id}: was refused but ran"));
            }
        }
    }

    /// Checks that each version of a result is one under which some event of its item was generated. Which run an
    /// event was taken from can't be observed from outside.
    fn check_versions(&self, runs: &[RecordedRun]) {
        for (id, known) in self.submissions.borrow().iter() {
            for result in known
                .results
                .values()
                .filter(|result| result.state == "done")
            {
                let made = runs.iter().filter(|run| run.item == result.id);
                let made: BTreeSet<u64> = made
                    .flat_map(|run| run.events.iter().map(|(_, version)| *version))
                    .collect();
                if result.versions.is_empty() || result.versions.iter().any(|v| !made.contains(v)) {
                    let text = format!(
                        "{id}: {} names versions {:?}, but was generated under {made:?}",
                        result.id, result.versions
                    );
                    self.record_violation(text);
                }
            }
        }
    }

    fn check_at_most_once_calls(&self, services: &[PlatformService]) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for service in services {
            for (id, at) in service.runs() {
                *runs.entry(id).or_default() += at.len();
            }
        }
        for (id, said_not_run) in self.at_most_once_calls.borrow().iter() {
            let count = runs.get(id).copied().unwrap_or(0);
            if count > 1 {
                self.record_violation(format!(
                    "call {id} must run at most once but ran {count} times"
                ));
            }
            if *said_not_run && count > 0 {
                self.record_violation(format!("call {id} was said not to have run, but ran"));
            }
        }
    }

    /// Checks that an unlisted endpoint gets no calls after [`UNLIST_GRACE_MS`].
    fn check_unlisted_endpoint(&self, services: &[PlatformService]) {
        let Some(unlisted_at_ms) = self.unlisted_at_ms.get() else {
            return;
        };
        for (id, runs) in services[0].runs() {
            if runs
                .iter()
                .any(|at_ms| *at_ms > unlisted_at_ms + UNLIST_GRACE_MS)
            {
                self.record_violation(format!(
                    "call {id} reached an endpoint after it was unlisted"
                ));
            }
        }
    }

    /// Counts calls to the first endpoint of the plain service while its entry was another writer's. Only meaningful
    /// if the daemons have access to the store throughout the run.
    pub(crate) fn calls_by_foreign_entry(&self, service: &PlatformService) -> usize {
        let Some(at_ms) = self.foreign_entry_at_ms.get() else {
            return 0;
        };
        let seen = at_ms + FOREIGN_ENTRY_READ_MS..at_ms + FOREIGN_ENTRY_MIN_MS;
        let runs = service.runs();
        let at = runs.values().flatten();
        at.filter(|at_ms| seen.contains(at_ms)).count()
    }

    fn check_orders(&self, number: usize, engine: &PlatformEngine) {
        let resumed = self.resumed_at_ms.borrow();
        let counts = |at_ms: u64, holder: &str| {
            !resumed.iter().any(|(name, resumed_ms)| {
                name == holder && (*resumed_ms..resumed_ms + RESUME_GRACE_MS).contains(&at_ms)
            })
        };
        let orders = engine.orders();
        let orders: Vec<_> = orders
            .iter()
            .filter(|order| counts(order.at_ms, &order.holder))
            .collect();
        for pair in orders.windows(2) {
            let [first, second] = pair else { continue };
            let mut fault = String::new();
            if first.holder != second.holder && second.at_ms < first.at_ms + LEASE_MS {
                let _ = write!(fault, "{} ms apart", second.at_ms - first.at_ms);
            }
            if second.epoch < first.epoch
                || (second.epoch == first.epoch && second.holder != first.holder)
            {
                let _ = write!(fault, " epoch {} after {}", second.epoch, first.epoch);
            }
            if !fault.is_empty() {
                self.record_violation(format!(
                    "engine {number}: orders of {} and {}: {fault}",
                    first.holder, second.holder
                ));
            }
        }
    }
}

/// Returns the id of an item's reward call.
pub(crate) fn reward_id(item: &str) -> String {
    format!("reward-{item}")
}
