//! Time between the events of a stream, by engine.

use std::{cmp::Reverse, sync::Arc};

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

/// Weight of a new sample in the moving average, in percent. Not critical: 8 percent makes no visible difference.
const NEW_SAMPLE_WEIGHT_PERCENT: u64 = 25;
/// The time that a steady average covers: several changes of a VM's momentary slowdown, but short enough that an engine
/// that turns much slower for good shows within half a second.
const STEADY_WINDOW_MS: u64 = 2_000;
/// A sample counts in a steady average for at most this many times the average interval, so that one long pause, such as
/// a preemption, does not count as a slow engine.
const MAX_SAMPLE_INTERVALS: u64 = 4;
/// Averages without a sample for this long are ignored. Some engines are slower by a third for good; one that was slow
/// for some seconds is tried again earlier, when the others are full.
const MAX_AGE_MS: u64 = 15_000;
/// Reported for an engine without a recent sample.
const MEDIAN_PERCENT: u64 = 100;

/// Steady averages that differ from the median by less than this are not handed over: placement hardly tells them apart.
const MIN_HANDED_OVER_DIFFERENCE_PERCENT: u64 = 15;
/// Handed-over latencies are rounded to this, so that they are rarely seen to change.
const HANDED_OVER_STEP_PERCENT: u64 = 10;
/// The maximum number of handed-over latencies, about 3 KB in a record.
const MAX_HANDED_OVER: usize = 64;
/// Handed-over latencies above this are refused as garbled.
const MAX_HANDED_OVER_PERCENT: u64 = 10_000;

/// The lasting latency of an engine, as the owner of items hands it over to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLatency {
    /// The instance.
    pub instance: Arc<str>,
    /// Its time per event in percent of the median.
    pub percent: u64,
}

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
    /// Latencies of another daemon, in percent of its median, with the time at which they were handed over. They count
    /// for engines without a sample of this daemon.
    handed_over: SortedMap<Arc<str>, (u64, u64)>,
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
        // Events that were read at once give an average near 0, which must not keep later samples from counting.
        let max_added_ms = (latency.us_per_event * MAX_SAMPLE_INTERVALS / 1_000).max(1);
        let added_ms = since_ms.min(max_added_ms);
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
            _ => match self.handed_over.get(instance) {
                Some((percent, at_ms)) if now_ms < at_ms + MAX_AGE_MS => *percent,
                _ => MEDIAN_PERCENT,
            },
        }
    }

    /// The steady averages that differ from the median, for a successor; the most different ones if there are too many.
    pub fn to_hand_over(&self, now_ms: u64) -> Vec<EngineLatency> {
        let is_lasting = |latency: &Latency| {
            latency.covered_ms * 2 >= STEADY_WINDOW_MS && latency.is_recent(now_ms)
        };
        if !self.latencies.values().any(is_lasting) {
            return Vec::new();
        }
        let median_us = self.median_us(now_ms).max(1);
        let lasting = self
            .latencies
            .iter()
            .filter(|(_, latency)| is_lasting(latency));
        let differing = lasting.filter_map(|(instance, latency)| {
            let percent = latency.us_per_event * 100 / median_us;
            let is_different =
                percent.abs_diff(MEDIAN_PERCENT) >= MIN_HANDED_OVER_DIFFERENCE_PERCENT;
            let steps = (percent + HANDED_OVER_STEP_PERCENT / 2) / HANDED_OVER_STEP_PERCENT;
            is_different.then(|| EngineLatency {
                instance: instance.clone(),
                percent: steps.max(1) * HANDED_OVER_STEP_PERCENT,
            })
        });
        let mut differing: Vec<EngineLatency> = differing.collect();
        differing.sort_by_key(|latency| Reverse(latency.percent.abs_diff(MEDIAN_PERCENT)));
        differing.truncate(MAX_HANDED_OVER);
        differing
    }

    /// Takes over what another daemon measured of an engine; returns whether the latency is plausible.
    pub fn take_over(&mut self, handed_over: &EngineLatency, now_ms: u64) -> bool {
        let is_plausible = (1..=MAX_HANDED_OVER_PERCENT).contains(&handed_over.percent);
        if is_plausible {
            let taken = (handed_over.percent, now_ms);
            self.handed_over.insert(handed_over.instance.clone(), taken);
        }
        is_plausible
    }

    /// Forgets an instance that has ended.
    pub fn remove(&mut self, instance: &str) {
        self.latencies.remove(instance);
        self.handed_over.remove(instance);
    }
}

impl Latency {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.sampled_at_ms + MAX_AGE_MS
    }
}
