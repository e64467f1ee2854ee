//! Failover of calls to the store, which go through a peer while the store does not answer this daemon directly.

/// The interval at which idempotent calls probe the direct route while calls go through peers. A failed probe takes up
/// to the timeout of a call.
pub const PROBE_INTERVAL_MS: u64 = 2_000;
/// The maximum age of the last direct success for a daemon to forward calls of peers. It exceeds the interval at which
/// waiting reads are answered. That interval is 1.2 s.
const MAX_SUCCESS_AGE_MS: u64 = 1_500;
/// Peers are asked only if the store has not answered directly for this long.
const MIN_SILENCE_MS: u64 = 600;
/// Peers are asked only if this many direct calls have failed since the last answer.
const MIN_FAILURES: u32 = 2;

/// The route of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRoute {
    /// From this daemon to the store.
    Direct,
    /// Through a peer.
    Peer,
}

/// The outcome of a call to the store on one route, ordered by precedence when a call was made on several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCallOutcome {
    /// The call had no effect.
    Refused,
    /// The call may have taken effect, or may still do so.
    Unknown,
    /// The store answered the call.
    Answered,
}

impl StoreCallOutcome {
    /// Whether the call may be repeated on another route.
    ///
    /// Guards against a result that is appended twice: the store keeps only the later record of a key, so
    /// readers would see the result at different positions.
    pub fn may_try_other_route(self, is_idempotent: bool) -> bool {
        match self {
            StoreCallOutcome::Answered => false,
            StoreCallOutcome::Refused => true,
            StoreCallOutcome::Unknown => is_idempotent,
        }
    }

    /// Whether this outcome, and not `other`, is reported for a call that was made on two routes.
    ///
    /// Guards against reporting a call as refused, hence without effect, if its other attempt may have taken effect.
    pub fn takes_precedence_over(self, other: Self) -> bool {
        self > other
    }
}

/// Chooses the route of each call by the results of earlier ones.
///
/// Guards against a daemon that cannot store results while its peers reach the store. Its results would wait until the
/// partition is over, or be generated again by a successor. If peers fail as well, the store is down, and calls go
/// directly again.
#[derive(Debug, Default)]
pub struct StoreFailover {
    /// Whether calls go through peers.
    uses_peers: bool,
    probed_at_ms: u64,
    last_success_ms: Option<u64>,
    /// Direct calls that have failed since the last answer.
    failures: u32,
}

impl StoreFailover {
    /// The route of the next call; `may_probe` allows it to probe the direct route during failover.
    pub fn next_route(&mut self, may_probe: bool, now_ms: u64) -> StoreRoute {
        if !self.uses_peers {
            return StoreRoute::Direct;
        }
        if may_probe && now_ms >= self.probed_at_ms + PROBE_INTERVAL_MS {
            self.probed_at_ms = now_ms;
            return StoreRoute::Direct;
        }
        StoreRoute::Peer
    }

    /// Whether calls go through peers.
    pub fn uses_peers(&self) -> bool {
        self.uses_peers
    }

    /// Whether this daemon reaches the store, as far as it knows, and can forward calls of peers. One that reads the
    /// store all the time (`reads_directly`) knows that it does not if no read was answered lately.
    pub fn reaches_store(&self, reads_directly: bool, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + MAX_SUCCESS_AGE_MS;
        let is_answered = self.last_success_ms.is_some_and(is_recent);
        self.failures == 0 && (is_answered || !reads_directly)
    }

    /// Whether a call that failed directly may be sent to a peer.
    ///
    /// Guards against extra load on an overloaded store: it rejects some calls of every daemon, and each of them would
    /// be sent again through a peer. When 61 daemons started together, that kept the store at its limit for 10 s.
    pub fn may_ask_peers(&self, now_ms: u64) -> bool {
        let is_silent = |at_ms: u64| now_ms >= at_ms + MIN_SILENCE_MS;
        self.failures >= MIN_FAILURES && self.last_success_ms.is_some_and(is_silent)
    }

    /// Records the result of a direct call; returns whether it ended the failover.
    pub fn on_direct_result(&mut self, is_answered: bool, now_ms: u64) -> bool {
        if !is_answered {
            self.failures += 1;
            return false;
        }
        self.failures = 0;
        self.last_success_ms = Some(now_ms);
        std::mem::take(&mut self.uses_peers)
    }

    /// Records the result of a call through a peer; returns whether it started the failover.
    pub fn on_peer_result(&mut self, is_answered: bool, now_ms: u64) -> bool {
        if !is_answered {
            self.uses_peers = false;
            return false;
        }
        if self.uses_peers {
            return false;
        }
        self.uses_peers = true;
        self.probed_at_ms = now_ms;
        true
    }
}
