//! How long a holder and its successor wait for each other.

/// The times of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyTiming {
    /// Two holders act on one subject at least this far apart.
    pub lease_ms: u64,
    /// What was announced leaves within this time of its announcement, or not at all.
    pub send_window_ms: u64,
    /// What a call takes on its way, and the delay of a successor's own reads.
    pub margin_ms: u64,
}

impl DutyTiming {
    /// How long a successor waits after it has read a holder's announcement.
    pub fn takeover_delay_ms(&self) -> u64 {
        self.lease_ms + self.send_window_ms + self.margin_ms
    }

    /// The time in which what is announced from `now_ms` on may be sent.
    pub fn send_window(&self, now_ms: u64) -> SendWindow {
        SendWindow {
            until_ms: now_ms + self.send_window_ms,
        }
    }
}

/// Until when something announced may be sent.
///
/// Guards against a holder that stands still between its announcement and its call: when it goes on, a successor may
/// have acted, and its own call would be the late one of an old holder. Opened before the announcement is appended, and
/// looked at once the connection is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendWindow {
    until_ms: u64,
}

impl SendWindow {
    /// Says whether it may still be sent.
    pub fn is_open(&self, now_ms: u64) -> bool {
        now_ms <= self.until_ms
    }
}
