//! A bound on the volume of log lines.

/// Lines a second over a longer time: a daemon on a heavy day writes 40, one line a decision.
const SUSTAINED_LINES_PER_S: u64 = 200;
/// Lines that may come at once: the items of two steps.
const BURST_LINES: u64 = 600;

/// What happens to a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// It is written; so many were dropped before it since the last one that was written.
    Write {
        /// Lines dropped before this one.
        dropped_before: u64,
    },
    /// It is dropped.
    Drop,
}

/// Lets a number of lines a second through and counts the others.
///
/// Guards against logs that cost more than the work they tell of: when everything fails at once,
/// each failure has a line, and a process with an eighth of a core would do little else.
#[derive(Debug)]
pub struct LogRateLimiter {
    /// In thousandths of a line, so that every ms earns some.
    millitokens: u64,
    refilled_at_ms: u64,
    dropped: u64,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self {
            millitokens: BURST_LINES * 1_000,
            refilled_at_ms: 0,
            dropped: 0,
        }
    }
}

impl LogRateLimiter {
    /// Decides on a line at `now_ms`. Faults have a reserve of their own: an error is written as long
    /// as a tenth of the burst is left to the others' account.
    pub fn on_line(&mut self, now_ms: u64, is_fault: bool) -> LineDecision {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        let refill = passed_ms.saturating_mul(SUSTAINED_LINES_PER_S);
        self.millitokens = (self.millitokens + refill).min(BURST_LINES * 1_000);
        let reserve = if is_fault { 0 } else { BURST_LINES * 100 };
        if self.millitokens < reserve + 1_000 {
            self.on_dropped();
            return LineDecision::Drop;
        }
        self.millitokens -= 1_000;
        LineDecision::Write {
            dropped_before: std::mem::take(&mut self.dropped),
        }
    }

    /// Counts a line that could not be written.
    pub fn on_dropped(&mut self) {
        self.dropped += 1;
    }
}
