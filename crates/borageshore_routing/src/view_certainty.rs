//! How sure a daemon is that it acts on what all others know.

use crate::send_log::PERMIT_WINDOW_MS;

/// The greatest age of shared records on which a daemon shares a budget. Reads of an idle topic wait for 1.2 s at the
/// store, and pass through a few other daemons.
pub(crate) const MAX_VIEW_AGE_MS: u64 = 2_500;
/// How long a change is known before a daemon acts on it: by then all daemons whose view is no older than
/// [`MAX_VIEW_AGE_MS`] know it as well, and what they sent before no longer counts. Has to be at least twice the age,
/// and at least the age and [`PERMIT_WINDOW_MS`].
pub(crate) const SETTLE_MS: u64 = 6_000;
/// A daemon whose clock is not read for longer was frozen or starved: what it was permitted before may be sent now.
const MAX_CLOCK_GAP_MS: u64 = 500;

/// A reading of this daemon's clocks, with the state of its views.
#[derive(Debug, Clone, Copy)]
pub struct ViewReading {
    /// The time on the clock of all other arguments.
    pub now_ms: u64,
    /// The time on a clock that also runs while the VM is suspended.
    pub boot_ms: u64,
    /// When the oldest of the shared views was current, on the clock of `boot_ms`; `None` before the first read.
    pub shared_at_ms: Option<u64>,
    /// The same for the entries of endpoints.
    pub entries_at_ms: Option<u64>,
}

/// Whether this daemon's shared views have been current long enough.
#[derive(Debug, Clone, Default)]
pub(crate) struct ViewCertainty {
    read_at_ms: Option<u64>,
    current_since_ms: Option<u64>,
    held_until_ms: u64,
    has_old_entries: bool,
}

impl ViewCertainty {
    pub(crate) fn on_reading(&mut self, reading: ViewReading) {
        let is_current = |at_ms: Option<u64>| {
            at_ms.is_some_and(|at_ms| reading.boot_ms.saturating_sub(at_ms) <= MAX_VIEW_AGE_MS)
        };
        let before_ms = self.read_at_ms.replace(reading.boot_ms);
        if before_ms.is_some_and(|before| reading.boot_ms > before + MAX_CLOCK_GAP_MS) {
            self.held_until_ms = reading.now_ms + PERMIT_WINDOW_MS;
        }
        if is_current(reading.shared_at_ms) {
            self.current_since_ms.get_or_insert(reading.now_ms);
        } else {
            self.current_since_ms = None;
        }
        self.has_old_entries = !is_current(reading.entries_at_ms);
    }

    /// Starts over after records may have been missed.
    pub(crate) fn reset(&mut self) {
        self.current_since_ms = None;
    }

    pub(crate) fn is_certain(&self, now_ms: u64) -> bool {
        let is_settled = |since_ms: u64| now_ms >= since_ms + SETTLE_MS;
        self.current_since_ms.is_some_and(is_settled) && now_ms >= self.held_until_ms
    }

    pub(crate) fn has_old_entries(&self) -> bool {
        self.has_old_entries
    }
}
