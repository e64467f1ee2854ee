//! Time between the events of a stream, by engine.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// Weight of a new sample in the moving average, in percent.
const NEW_SAMPLE_WEIGHT_PERCENT: u64 = 25;
/// Averages without a sample for this long are ignored.
const MAX_AGE_MS: u64 = 15_000;
/// Reported for an engine without a recent sample.
const MEDIAN_PERCENT: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Latency {
    us_per_event: u64,
    sampled_at_ms: u64,
}

/// Moving averages of the time between two events, by engine instance.
#[derive(Debug, Default)]
pub struct EventLatencies {
    latencies: SortedMap<Arc<str>, Latency>,
}

impl EventLatencies {
    /// Adds a sample: the time between two events of a stream.
    pub fn record(&mut self, instance: &Arc<str>, interval_us: u64, now_ms: u64) {
        let latency = self
            .latencies
            .get_or_insert_with(instance.clone(), || Latency {
                us_per_event: interval_us,
                sampled_at_ms: now_ms,
            });
        let kept = latency.us_per_event * (100 - NEW_SAMPLE_WEIGHT_PERCENT);
        latency.us_per_event = (kept + interval_us * NEW_SAMPLE_WEIGHT_PERCENT) / 100;
        latency.sampled_at_ms = now_ms;
    }

    /// The median over engines with a recent sample, in microseconds per event; 0 if there are none.
    pub fn median_us(&self, now_ms: u64) -> u64 {
        let recent = self
            .latencies
            .values()
            .filter(|latency| latency.is_recent(now_ms));
        let mut recent: Vec<u64> = recent.map(|latency| latency.us_per_event).collect();
        recent.sort_unstable();
        recent.get(recent.len() / 2).copied().unwrap_or(0)
    }

    /// The latency of an engine in percent of `median_us`; 100 without a recent sample.
    pub fn percent_of_median(&self, instance: &str, median_us: u64, now_ms: u64) -> u64 {
        match self.latencies.get(instance) {
            Some(latency) if median_us > 0 && latency.is_recent(now_ms) => {
                (latency.us_per_event * 100 / median_us).max(1)
            }
            _ => MEDIAN_PERCENT,
        }
    }

    /// Forgets an instance that has ended.
    pub fn remove(&mut self, instance: &str) {
        self.latencies.remove(instance);
    }
}

impl Latency {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.sampled_at_ms + MAX_AGE_MS
    }
}
