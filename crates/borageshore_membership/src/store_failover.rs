//! Which way a daemon's calls to the store take, its own or that of a peer which still has one, and when.

/// While the own way is closed, it is tried again at this pace, by calls that can be repeated: each such
/// try costs one call up to its time limit.
pub const PROBE_INTERVAL_MS: u64 = 2_000;
/// A daemon helps its peers as long as its own last success is no older: its long polls answer every
/// 1.2 s at the latest.
const MAX_SUCCESS_AGE_MS: u64 = 1_500;

/// The own way is taken for closed when nothing came over it for so long: five reads that wait are answered
/// every 1.2 s each.
const MIN_SILENCE_MS: u64 = 600;
/// And when so many calls have failed since its last answer.
const MIN_FAILURES: u32 = 2;

/// A way to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRoute {
    /// This daemon's own.
    Direct,
    /// Through a peer.
    Peer,
}

/// How a call to the store ended on one way; the later ones leave more open, or more done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCallOutcome {
    /// Nothing was done.
    Refused,
    /// It may have been done, or may be done later.
    Unknown,
    /// The store answered it.
    Answered,
}

impl StoreCallOutcome {
    /// Says whether the call may be made on another way.
    ///
    /// Guards the positions of results: each is listed under a key of its own, and of two records under one
    /// key the store keeps the later. A result that was given to a second way after a lost answer stood at
    /// one position for readers of before and at another for those that start later.
    pub fn may_try_other_route(self, is_idempotent: bool) -> bool {
        match self {
            StoreCallOutcome::Answered => false,
            StoreCallOutcome::Refused => true,
            StoreCallOutcome::Unknown => is_idempotent,
        }
    }

    /// Says whether of two tries of one call this one is what came of it.
    ///
    /// Guards the promise of a refusal: of a submission that the store refused on one way and that was lost on
    /// another, it must not be said that nothing of it runs.
    pub fn takes_precedence_over(self, other: Self) -> bool {
        self > other
    }
}

/// Decides the way of each call by what came of earlier ones.
///
/// Guards the work of a daemon that the store turns away, or that is cut off from it, while others reach it:
/// its results waited until the cut was over, or were made again by a successor after 2 s of silence. A
/// store that nobody reaches shows by a peer's refusal; then no call takes the longer way.
#[derive(Debug, Default)]
pub struct StoreFailover {
    /// Whether the own way is closed and a peer's is open.
    uses_peers: bool,
    probed_at_ms: u64,
    last_success_ms: Option<u64>,
    /// Calls that failed on the own way since one was answered.
    failures: u32,
}

impl StoreFailover {
    /// The way of the next call; `may_probe` says whether it may try out a closed one.
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

    /// Says whether calls go through a peer.
    pub fn uses_peers(&self) -> bool {
        self.uses_peers
    }

    /// Says whether this daemon can pass on the calls of peers.
    pub fn reaches_store(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + MAX_SUCCESS_AGE_MS;
        self.failures == 0 && self.last_success_ms.is_some_and(is_recent)
    }

    /// Says whether a call that failed on the own way is worth a peer's help.
    ///
    /// Guards a store that is at its limit: it turns away some calls of all, and a second call for each of
    /// them would keep it there. When 61 daemons started at the same time they did so for 10 s.
    pub fn may_ask_peers(&self, now_ms: u64) -> bool {
        let is_silent = |at_ms: u64| now_ms >= at_ms + MIN_SILENCE_MS;
        self.failures >= MIN_FAILURES && self.last_success_ms.is_some_and(is_silent)
    }

    /// Takes over what came of a call on the own way; says whether that opened it.
    pub fn on_direct_result(&mut self, is_answered: bool, now_ms: u64) -> bool {
        if !is_answered {
            self.failures += 1;
            return false;
        }
        self.failures = 0;
        self.last_success_ms = Some(now_ms);
        std::mem::take(&mut self.uses_peers)
    }

    /// Takes over what came of a call through a peer; says whether that closed the own way.
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
