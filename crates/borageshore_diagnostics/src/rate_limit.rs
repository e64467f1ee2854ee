//! A rate limit on log lines.

/// The sustained rate. A daemon writes 40 lines a second on a heavy day, one for each decision.
const SUSTAINED_LINES_PER_S: u64 = 200;
/// The burst size. Room for a line for each item of two steps.
const BURST_LINES: u64 = 600;

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write {
        /// The number of lines dropped since the last written one.
        dropped_before: u64,
    },
    /// The line is dropped.
    Drop,
}

/// A token bucket that limits log lines and counts the dropped ones.
///
/// Keeps a process with little CPU from spending it on logging when many requests fail at once.
#[derive(Debug)]
pub struct LogRateLimiter {
    /// Thousandths of a line, so that every millisecond adds a whole number.
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
    /// Decides whether to write a line at `now_ms`. A tenth of the burst is reserved for faults.
    pub fn on_line(&mut self, now_ms: u64, is_fault: bool) -> LineDecision {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = now_ms;
        let refill = elapsed_ms.saturating_mul(SUSTAINED_LINES_PER_S);
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

    /// Counts a dropped line, also one whose write failed.
    pub fn on_dropped(&mut self) {
        self.dropped += 1;
    }
}
