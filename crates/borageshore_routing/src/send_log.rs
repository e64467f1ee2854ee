//! The recent sends to an endpoint.

use std::collections::VecDeque;

/// The window in which an endpoint's requests count.
const COUNTED_WINDOW_MS: u64 = 1_000;
/// The longest time between the permission to send a request and its sending, which may have to open a connection.
const SEND_DELAY_MS: u64 = 500;
/// Permissions within this time may be sent within one [`COUNTED_WINDOW_MS`].
pub(crate) const PERMIT_WINDOW_MS: u64 = COUNTED_WINDOW_MS + SEND_DELAY_MS;

/// When this daemon sent its last requests to an endpoint, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendLog {
    sent_at_ms: VecDeque<u64>,
}

impl SendLog {
    pub(crate) fn add(&mut self, now_ms: u64) {
        self.forget_before(now_ms);
        self.sent_at_ms.push_back(now_ms);
    }

    /// Forgets the sends that no longer count.
    pub(crate) fn forget_before(&mut self, now_ms: u64) {
        while self
            .sent_at_ms
            .front()
            .is_some_and(|at_ms| is_over(*at_ms, now_ms))
        {
            self.sent_at_ms.pop_front();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sent_at_ms.is_empty()
    }

    /// When a request may be sent without exceeding `limit` in a window; `None` if the limit is 0.
    pub(crate) fn next_ms(&self, limit: u64, now_ms: u64) -> Option<u64> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let nth_last = match limit {
            0 => return None,
            _ => self.sent_at_ms.len().checked_sub(limit),
        };
        let free_at_ms = nth_last.map_or(0, |at| self.sent_at_ms[at] + PERMIT_WINDOW_MS);
        Some(free_at_ms.max(now_ms))
    }
}

fn is_over(sent_at_ms: u64, now_ms: u64) -> bool {
    now_ms >= sent_at_ms + PERMIT_WINDOW_MS
}
