//! What was seen from the outside, and which promises it breaks.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use borageshore_standins::platform::{
    PlatformEngine, PlatformService, RecordedRun, event_count, event_text,
};
use serde::Deserialize;

use crate::crashes::Disturbance;

/// Orders of two holders to one engine are at least this far apart.
const LEASE_MS: u64 = 3_000;
/// Orders that leave a process within this time after it went on do not count.
const RESUME_GRACE_MS: u64 = 300;

/// Entries that lapse around an outage of the store are kept for 2.3 s, and the store's silence is
/// noticed within 2 s.
const UNLIST_GRACE_MS: u64 = 4_500;

/// Daemons that reach the store read a new entry at once; a call under way takes some ms.
const FOREIGN_ENTRY_READ_MS: u64 = 300;
/// An entry of another writer stands for this time at least.
const FOREIGN_ENTRY_MIN_MS: u64 = 800;

/// A result as a trainer reads it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct ReadResult {
    pub(crate) id: String,
    pub(crate) state: String,
    pub(crate) output: String,
    pub(crate) versions: Vec<u64>,
    pub(crate) score: Option<String>,
}

/// A submission as its trainer knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownSubmission {
    pub(crate) items: Vec<String>,
    pub(crate) min_version: u64,
    pub(crate) is_accepted: bool,
    /// When its acceptance was seen.
    pub(crate) accepted_at_ms: u64,
    /// Whether every answer so far said that nothing of it runs.
    pub(crate) is_refused: bool,
    pub(crate) results: BTreeMap<usize, ReadResult>,
}

/// Collects what is seen and checks what must hold.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) submissions: RefCell<BTreeMap<String, KnownSubmission>>,
    /// Calls that may run once at the most, with whether they were said not to have run.
    pub(crate) at_most_once_calls: RefCell<BTreeMap<String, bool>>,
    /// Until when each caller waits for its call.
    pub(crate) call_deadlines_ms: RefCell<BTreeMap<String, u64>>,
    /// When paused processes went on.
    pub(crate) resumed_at_ms: RefCell<Vec<(String, u64)>>,
    /// Submissions answered otherwise than with an acceptance.
    pub(crate) not_accepted: Cell<usize>,
    /// When the first endpoint of the plain service left the list.
    pub(crate) unlisted_at_ms: Cell<Option<u64>>,
    /// When another writer replaced the entry of the first endpoint of the plain service.
    pub(crate) foreign_entry_at_ms: Cell<Option<u64>>,
    /// When all daemons were last killed at once.
    pub(crate) killed_all_at_ms: Cell<Option<u64>>,
    /// The daemon that each attempt of a crashing call was made at.
    pub(crate) daemon_by_attempt: RefCell<BTreeMap<String, usize>>,
    /// When daemons were harmed or lost their way to the store.
    pub(crate) disturbances: RefCell<Vec<Disturbance>>,
    violations: RefCell<BTreeSet<String>>,
}

impl Oracle {
    pub(crate) fn record_violation(&self, what: String) {
        self.violations.borrow_mut().insert(what);
    }

    /// Notes that a daemon, or all, are disturbed from now on; returns the number of the disturbance.
    pub(crate) fn begin_disturbance(&self, daemon: Option<usize>, at_ms: u64) -> usize {
        let mut disturbances = self.disturbances.borrow_mut();
        disturbances.push(Disturbance {
            daemon,
            from_ms: at_ms,
            until_ms: u64::MAX,
        });
        disturbances.len() - 1
    }

    /// Notes the end of a disturbance.
    pub(crate) fn end_disturbance(&self, number: usize, at_ms: u64) {
        self.disturbances.borrow_mut()[number].until_ms = at_ms;
    }

    /// Says whether the daemon that an attempt was made at was disturbed, at a time or shortly before; any daemon,
    /// where it is not known which.
    pub(crate) fn is_disturbed(&self, attempt: &str, at_ms: u64, before_ms: u64) -> bool {
        let daemon_by_attempt = self.daemon_by_attempt.borrow();
        let daemon = daemon_by_attempt.get(attempt).copied();
        let is_then = |one: &Disturbance| {
            let is_its = one.daemon.is_none() || daemon.is_none() || one.daemon == daemon;
            is_its && one.from_ms <= at_ms && at_ms < one.until_ms.saturating_add(before_ms)
        };
        self.disturbances.borrow().iter().any(is_then)
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.borrow().iter().cloned().collect()
    }

    /// Takes over a page of results that a daemon gave.
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
            self.record_violation(format!("{id}: total {total} of {}", known.items.len()));
        }
        for (offset, result) in page.into_iter().enumerate() {
            let position = after + offset;
            self.check_result(id, known, &result);
            match known.results.get(&position) {
                Some(before) if *before != result => self.record_violation(format!(
                    "{id}: position {position} holds {} and held {}",
                    result.id, before.id
                )),
                Some(_) => {}
                None => {
                    let twice = known.results.values().any(|other| other.id == result.id);
                    if twice {
                        self.record_violation(format!("{id}: item {} stands twice", result.id));
                    }
                    known.results.insert(position, result);
                }
            }
        }
    }

    fn check_result(&self, id: &str, known: &KnownSubmission, result: &ReadResult) {
        if !known.items.contains(&result.id) {
            self.record_violation(format!(
                "{id}: names item {} of another submission",
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
            self.record_violation(format!("{id}: the text of {} is not whole", result.id));
        }
        if result
            .versions
            .iter()
            .any(|version| *version < known.min_version)
        {
            self.record_violation(format!(
                "{id}: {} made under {:?}",
                result.id, result.versions
            ));
        }
        let stamp = PlatformService::stamp(&reward_id(&result.id));
        if result.score.as_deref() != Some(&stamp) {
            self.record_violation(format!("{id}: {} has the score of another call", result.id));
        }
    }

    /// Checks what the endpoints saw over the whole run.
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
                self.record_violation(format!("{id}: was refused and ran"));
            }
        }
    }

    /// The versions of a result are those of events that were made; nothing else can be told from
    /// outside where several runs made the same event.
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
                        "{id}: {} says {:?}, made {made:?}",
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
                self.record_violation(format!("call {id} may run once and ran {count} times"));
            }
            if *said_not_run && count > 0 {
                self.record_violation(format!("call {id} was said not to have run, and ran"));
            }
        }
    }

    /// An endpoint that left the list gets nothing new after a while.
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
                    "call {id} reached an endpoint that had left the list"
                ));
            }
        }
    }

    /// Calls at the first endpoint of the plain service while its entry was another writer's; only a run
    /// in which daemons reach the store all the while says anything by them.
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

/// The id of an item's reward call.
pub(crate) fn reward_id(item: &str) -> String {
    format!("reward-{item}")
}
