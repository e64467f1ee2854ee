//! The estimate of one daemon.

use crate::agreement::{Interval, majority_intersection};

/// Fewer samples say nothing of what most clocks show.
const MIN_SAMPLES: usize = 3;
/// How fast the estimate follows the time of day: ten times what a quartz clock may be off, and 12 ms in a step that
/// lasts for six seconds.
const SLEW_PPM: i64 = 2_000;
/// Clocks of VMs whose time of day is kept differ by less; one that differs by more was stepped.
const CLOCK_TOLERANCE_MS: i64 = 20;

/// What a peer's clocks showed between a question and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockSample {
    /// When the peer was asked, on the asker's steady clock.
    pub asked_at_ms: u64,
    /// When its answer came, on the same clock.
    pub answered_at_ms: u64,
    /// Its estimate of true time, in Unix milliseconds.
    pub estimate_ms: u64,
    /// Its time of day, in Unix milliseconds.
    pub time_of_day_ms: u64,
}

impl ClockSample {
    /// From the asker's steady clock to what the peer showed, however long either way took.
    fn offset_of(&self, shown_ms: u64) -> Interval {
        Interval {
            low: shown_ms as i64 - self.answered_at_ms as i64,
            high: shown_ms as i64 - self.asked_at_ms as i64,
        }
    }
}

/// True time, as one daemon estimates it from its steady clock.
///
/// Guards against a time of day that is set: half of all clocks ahead by seconds put the requests of one window into
/// another. The steady clock goes on through the step, and a daemon that starts meanwhile begins with what most of
/// its peers say.
#[derive(Debug, Clone, Copy)]
pub struct TrueTime {
    /// Unix milliseconds minus milliseconds of the steady clock.
    offset_ms: i64,
    slewed_at_ms: u64,
    /// What was followed by less than a millisecond.
    remainder_millionths: i64,
}

impl TrueTime {
    /// Begins with this VM's own time of day, as its steady clock shows `steady_ms`.
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

    /// Takes over what most peers estimate, as a daemon does that starts; says whether they agreed.
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

    /// Follows the time of day that most VMs show, slowly.
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
