//! Time between the events of a stream, by engine.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// Weight of a new sample in the moving average, in percent.
const NEW_SAMPLE_WEIGHT_PERCENT: u64 = 25;
/// The time that a steady average covers: several changes of a VM's momentary slowdown, but short enough that an engine
/// that turns much slower for good shows within half a second.
const STEADY_WINDOW_MS: u64 = 2_000;
/// A sample counts in a steady average for at most this many times the average interval, so that one long pause, such as
/// a preemption, does not count as a slow engine.
const MAX_SAMPLE_INTERVALS: u64 = 4;
/// Averages without a sample for this long are ignored.
const MAX_AGE_MS: u64 = 15_000;
/// Reported for an engine without a recent sample.
const MEDIAN_PERCENT: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Latency {
    us_per_event: u64,
    sampled_at_ms: u64,
    /// The time that a steady average has covered so far, up to [`STEADY_WINDOW_MS`].
    covered_ms: u64,
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
                covered_ms: 0,
            });
        let kept = latency.us_per_event * (100 - NEW_SAMPLE_WEIGHT_PERCENT);
        latency.us_per_event = (kept + interval_us * NEW_SAMPLE_WEIGHT_PERCENT) / 100;
        latency.sampled_at_ms = now_ms;
    }

    /// Adds a sample of an engine that reports the slowdown of its VM, without what the VM is slower by at the moment
    /// than it usually is.
    ///
    /// Samples count by the time that they cover. The running texts of an engine give a sample every few milliseconds,
    /// so that an average over a number of samples would follow each momentary change that the reports miss.
    pub fn record_steady(
        &mut self,
        instance: &Arc<str>,
        interval_us: u64,
        momentary_slowdown_percent: u64,
        now_ms: u64,
    ) {
        let interval_us = interval_us * 100 / momentary_slowdown_percent.max(1);
        let latency = self
            .latencies
            .get_or_insert_with(instance.clone(), || Latency {
                us_per_event: interval_us,
                sampled_at_ms: now_ms.saturating_sub(interval_us / 1_000),
                covered_ms: 0,
            });
        let since_ms = now_ms.saturating_sub(latency.sampled_at_ms);
        let added_ms = since_ms.min(latency.us_per_event * MAX_SAMPLE_INTERVALS / 1_000);
        let covered_ms = latency.covered_ms + added_ms;
        let weighted = latency.us_per_event * latency.covered_ms + interval_us * added_ms;
        if let Some(us_per_event) = weighted.checked_div(covered_ms) {
            latency.us_per_event = us_per_event;
        }
        latency.covered_ms = covered_ms.min(STEADY_WINDOW_MS);
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
