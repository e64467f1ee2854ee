//! How long reward calls take lately, and from when on one takes too long.

use std::collections::VecDeque;

/// The number of latencies that are kept: some seconds of a busy daemon's calls.
const WINDOW: usize = 128;
/// No estimate is given from fewer latencies.
const MIN_SAMPLES: usize = 16;
/// A call takes too long from this share of the median on, in percent. The median stays in place while less than half of
/// the endpoints are slow.
const TOO_LONG_PERCENT: u64 = 200;
/// Shorter calls never take too long: a second endpoint would hardly respond sooner.
const MIN_TOO_LONG_MS: u64 = 100;

/// The latencies of the last reward calls of a service.
#[derive(Debug, Default)]
pub struct RewardLatencies {
    recent_ms: VecDeque<u64>,
}

impl RewardLatencies {
    /// Records the time from the first send of a call to its score.
    pub fn record(&mut self, latency_ms: u64) {
        if self.recent_ms.len() == WINDOW {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(latency_ms);
    }

    /// The time after which a call takes much longer than usual; `None` as long as few calls were recorded.
    pub fn too_long_ms(&self) -> Option<u64> {
        if self.recent_ms.len() < MIN_SAMPLES {
            return None;
        }
        let mut latencies_ms: Vec<u64> = self.recent_ms.iter().copied().collect();
        let middle = latencies_ms.len() / 2;
        let (_, median_ms, _) = latencies_ms.select_nth_unstable(middle);
        Some((*median_ms * TOO_LONG_PERCENT / 100).max(MIN_TOO_LONG_MS))
    }
}
