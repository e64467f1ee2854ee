//! The time limits of a duty and the window in which an announced action may be sent.

/// The time limits of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTiming {
    /// The minimum time between actions of two holders on one subject.
    pub lease_ms: u64,
    /// An action is sent within this time of its announcement, or not at all.
    pub send_window_ms: u64,
    /// An allowance for the transmission of a call and for the delay of a successor's reads.
    pub margin_ms: u64,
}

impl DutyTiming {
    /// The time that a successor waits after it has read a holder's announcement.
    pub fn takeover_delay_ms(&self) -> u64 {
        self.lease_ms + self.send_window_ms + self.margin_ms
    }

    /// Opens the send window of an action that is announced at `now_ms` or later.
    pub fn send_window(&self, now_ms: u64) -> SendWindow {
        SendWindow {
            until_ms: now_ms + self.send_window_ms,
        }
    }
}

/// The time until which an announced action may be sent.
///
/// Guards against a holder that is paused between its announcement and its call: when it resumes, a successor may
/// have acted, and the call of the old holder would arrive after it. The window is opened before the announcement is
/// appended and checked once the connection is established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendWindow {
    until_ms: u64,
}

impl SendWindow {
    /// Whether the action may still be sent at `now_ms`.
    pub fn is_open(&self, now_ms: u64) -> bool {
        now_ms <= self.until_ms
    }
}
