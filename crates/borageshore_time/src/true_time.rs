//! One daemon's estimate of true time.

use crate::agreement::{Interval, majority_intersection};

/// The minimum number of clocks for a majority.
const MIN_SAMPLES: usize = 3;
/// The slew rate limit: ten times the drift of a quartz clock, but only 12 ms in the 6 s for which a clock may be
/// stepped.
const SLEW_PPM: i64 = 2_000;
/// The greatest error of a synchronized time of day; a clock that differs by more was stepped.
const CLOCK_TOLERANCE_MS: i64 = 20;

/// A reading of a peer's clocks between a request and its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// When the request was sent, on the requester's monotonic clock.
    pub requested_at_ms: u64,
    /// When the response was received, on the same clock.
    pub responded_at_ms: u64,
    /// The peer's estimate of true time, in Unix milliseconds.
    pub estimate_ms: u64,
    /// The peer's time of day, in Unix milliseconds.
    pub time_of_day_ms: u64,
}

impl ClockSample {
    /// The offset from the requester's monotonic clock to `shown_ms`; contains the true offset for any split of the
    /// round-trip time between request and response.
    fn offset_of(&self, shown_ms: u64) -> Interval {
        Interval {
            low: shown_ms as i64 - self.responded_at_ms as i64,
            high: shown_ms as i64 - self.requested_at_ms as i64,
        }
    }
}

/// An estimate of true time, based on the monotonic clock.
///
/// Guards against steps of the time of day, by which requests would be counted in another window. The monotonic clock
/// does not step, and a daemon that starts during a step takes the estimate of a majority of its peers.
#[derive(Debug, Clone, Copy)]
pub struct TrueTime {
    /// Unix milliseconds minus milliseconds of the monotonic clock.
    offset_ms: i64,
    slewed_at_ms: u64,
    /// The unused slew below a millisecond, in millionths of a millisecond.
    remainder_millionths: i64,
}

impl TrueTime {
    /// Starts from this VM's time of day, read when its monotonic clock shows `monotonic_ms`.
    pub fn new(time_of_day_ms: u64, monotonic_ms: u64) -> Self {
        Self {
            offset_ms: time_of_day_ms as i64 - monotonic_ms as i64,
            slewed_at_ms: monotonic_ms,
            remainder_millionths: 0,
        }
    }

    /// The estimate, in Unix milliseconds.
    pub fn unix_ms(&self, monotonic_ms: u64) -> u64 {
        (self.offset_ms + monotonic_ms as i64).max(0) as u64
    }

    /// Takes over the estimate of a majority of `peers` when a daemon starts. Returns false, without a change, if there
    /// are too few or no majority agrees.
    pub fn sync_to_peers(&mut self, peers: &[ClockSample]) -> bool {
        let offsets = peers.iter().map(|peer| peer.offset_of(peer.estimate_ms));
        let widened = offsets.map(|offset| widen(offset, CLOCK_TOLERANCE_MS));
        let offsets: Vec<Interval> = widened.collect();
        if offsets.len() < MIN_SAMPLES {
            return false;
        }
        let Some(agreed) = majority_intersection(&offsets) else {
            return false;
        };
        self.offset_ms = midpoint(agreed);
        true
    }

    /// Slews towards the time of day that a majority of VMs agree on, at a limited rate.
    pub fn slew(&mut self, own_time_of_day_ms: u64, monotonic_ms: u64, peers: &[ClockSample]) {
        let elapsed_ms = monotonic_ms.saturating_sub(self.slewed_at_ms) as i64;
        self.slewed_at_ms = monotonic_ms;
        let own = own_time_of_day_ms as i64 - monotonic_ms as i64;
        let own = Interval {
            low: own,
            high: own,
        };
        let peer_offsets = peers.iter().map(|peer| peer.offset_of(peer.time_of_day_ms));
        let offsets = peer_offsets.chain([own]);
        let offsets: Vec<Interval> = offsets
            .map(|offset| widen(offset, CLOCK_TOLERANCE_MS))
            .collect();
        let agreed = match offsets.len() >= MIN_SAMPLES {
            true => majority_intersection(&offsets),
            false => None,
        };
        let Some(agreed) = agreed else { return };
        let budget = self.remainder_millionths + elapsed_ms * SLEW_PPM;
        let max_ms = budget / 1_000_000;
        self.remainder_millionths = budget % 1_000_000;
        let error_ms = midpoint(agreed) - self.offset_ms;
        self.offset_ms += error_ms.clamp(-max_ms, max_ms);
    }
}

fn widen(interval: Interval, by: i64) -> Interval {
    Interval {
        low: interval.low - by,
        high: interval.high + by,
    }
}

fn midpoint(interval: Interval) -> i64 {
    (interval.low + interval.high) / 2
}
