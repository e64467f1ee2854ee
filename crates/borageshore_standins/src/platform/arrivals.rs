//! Requests as they reach an endpoint, and the time for which it is cold and tolerates few of them.

use std::cell::{Cell, RefCell};

use crate::platform::crash::Crashes;

/// The span in which requests are counted; any span of this length counts.
const RATE_WINDOW_MS: u64 = 1_000;

/// A request that reached an endpoint, other than one that it answered with 421.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The id of the attempt.
    pub id: String,
    /// Arrival time.
    pub at_ms: u64,
    /// Whether the endpoint was cold.
    pub is_cold: bool,
}

/// How an endpoint behaves when it is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdSwitches {
    /// How long it is cold after a restart; 0 for not at all.
    pub after_restart_ms: u64,
    /// It crashes if it gets this many requests in a second while it is cold; 0 for never.
    pub crash_at_requests: usize,
}

/// The arrivals at one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    switches: Cell<ColdSwitches>,
    cold_until_ms: Cell<u64>,
    all: RefCell<Vec<Arrival>>,
}

impl Arrivals {
    pub(crate) fn set_cold_switches(&self, switches: ColdSwitches) {
        self.switches.set(switches);
    }

    /// Makes the endpoint cold for a while.
    pub(crate) fn become_cold(&self, now_ms: u64, for_ms: u64) {
        self.cold_until_ms.set(now_ms + for_ms);
    }

    /// Makes the endpoint cold for as long as it is after a restart; returns whether it is.
    pub(crate) fn restart(&self, now_ms: u64) -> bool {
        let for_ms = self.switches.get().after_restart_ms;
        self.become_cold(now_ms, for_ms);
        for_ms > 0
    }

    /// How much longer the endpoint stays cold.
    pub(crate) fn cold_left_ms(&self, now_ms: u64) -> u64 {
        self.cold_until_ms.get().saturating_sub(now_ms)
    }

    /// Records a request; crashes the endpoint if it is cold and gets too many.
    pub(crate) fn record(&self, id: &str, now_ms: u64, crashes: &Crashes) {
        let is_cold = self.cold_left_ms(now_ms) > 0;
        self.all.borrow_mut().push(Arrival {
            id: id.into(),
            at_ms: now_ms,
            is_cold,
        });
        let crash_at_requests = self.switches.get().crash_at_requests;
        let all = self.all.borrow();
        let recent = all.iter().rev();
        let recent = recent.take_while(|arrival| arrival.at_ms + RATE_WINDOW_MS > now_ms);
        let cold_count = recent.filter(|arrival| arrival.is_cold).count();
        if is_cold && crash_at_requests > 0 && cold_count >= crash_at_requests {
            crashes.crash_overloaded();
        }
    }

    pub(crate) fn all(&self) -> Vec<Arrival> {
        self.all.borrow().clone()
    }
}

/// The largest number of requests that reached an endpoint in any second while it was cold, and when that second
/// began. Arrivals are in order of time.
pub fn max_cold_requests_per_s(arrivals: &[Arrival]) -> (usize, u64) {
    let cold: Vec<u64> = arrivals
        .iter()
        .filter(|arrival| arrival.is_cold)
        .map(|arrival| arrival.at_ms)
        .collect();
    let count_from = |(first, from_ms): (usize, &u64)| {
        let until = cold.partition_point(|at_ms| *at_ms < from_ms + RATE_WINDOW_MS);
        (until - first, *from_ms)
    };
    let counts = cold.iter().enumerate().map(count_from);
    counts.max_by_key(|(count, _)| *count).unwrap_or((0, 0))
}
