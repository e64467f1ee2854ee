//! When a daemon whose peers bring nothing reads the log itself.

use crate::limits::{FallbackBudget, FallbackLoad};

/// How long a daemon waits for peers that bring nothing.
const PEER_TIMEOUT_MS: u64 = 1_500;
/// How long it waits for a peer that is loading and has made no progress: a page may be late, and be asked for again.
const LOADING_TIMEOUT_MS: u64 = 3_000;
/// The limit of the doublings of the pause after a failed read.
const MAX_DOUBLINGS: u32 = 4;

/// Waits for peers, and then for this daemon's turn among all that wait in vain.
#[derive(Debug, Default)]
pub struct Fallback {
    heard_at_ms: u64,
    /// Until when a peer that is loading is waited for.
    loading_until_ms: u64,
    retry_at_ms: u64,
    failures: u32,
}

impl Fallback {
    /// Starts to wait at `now_ms`.
    pub fn open(now_ms: u64) -> Self {
        Self {
            heard_at_ms: now_ms,
            ..Self::default()
        }
    }

    /// When a peer last brought something.
    pub fn heard_at_ms(&self) -> u64 {
        self.heard_at_ms
    }

    /// Records that a peer brought something.
    pub fn on_heard(&mut self, now_ms: u64) {
        *self = Self::open(self.heard_at_ms.max(now_ms));
    }

    /// Records that a peer is loading what it passes on, and last made progress at `progressed_at_ms`; returns whether it
    /// is worth to wait for.
    pub fn on_loading(&mut self, progressed_at_ms: u64, now_ms: u64) -> bool {
        let until_ms = progressed_at_ms.min(now_ms) + LOADING_TIMEOUT_MS;
        self.loading_until_ms = self.loading_until_ms.max(until_ms);
        now_ms < until_ms
    }

    /// Records a failed read of the log. The pause before the next one is longer with each; reads that fail together count
    /// as one.
    pub fn on_failure(
        &mut self,
        budget: FallbackBudget,
        load: FallbackLoad,
        random: u64,
        now_ms: u64,
    ) {
        if now_ms < self.retry_at_ms {
            return;
        }
        let window_ms = budget.window_ms(load).max(PEER_TIMEOUT_MS) << self.failures;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        self.retry_at_ms = now_ms + window_ms + random % window_ms;
    }

    /// Whether this daemon reads the log now, if its turn is `turn_ms` after the first one.
    pub fn is_due(&self, turn_ms: u64, now_ms: u64) -> bool {
        let waits_until_ms = (self.heard_at_ms + PEER_TIMEOUT_MS).max(self.loading_until_ms);
        now_ms >= (waits_until_ms + turn_ms).max(self.retry_at_ms)
    }
}
