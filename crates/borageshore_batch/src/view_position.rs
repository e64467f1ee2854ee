//! How far a replayed view of a partition has advanced.

/// The read position of a follower in a partition, and when its view was last current, that is, had applied every
/// record up to the end of the partition.
///
/// Only a page that reaches the end makes the view current: after an outage of the store one page may hold only the
/// first of the missed records, and a reader would not see results that another daemon has already returned.
#[derive(Debug, Default)]
pub struct ViewPosition {
    next_offset: Option<u64>,
    current_at_ms: Option<u64>,
    requested_at_ms: Option<u64>,
}

impl ViewPosition {
    /// The offset after the last applied record; `None` before the first read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Discards the position, because records may have been missed. The view is not current before the next snapshot.
    pub fn reset(&mut self) {
        self.next_offset = None;
        self.current_at_ms = None;
    }

    /// Records a first read that returned every record below `end`.
    pub fn on_snapshot(&mut self, end: u64, now_ms: u64) {
        self.next_offset = Some(end);
        self.current_at_ms = Some(now_ms);
    }

    /// Records a read: the offset after its last record, and the end of the partition at that time. Returns whether
    /// the view is current now. A read older than the position does not move it back, and one that was sent before a
    /// reset does not set it.
    pub fn on_page(&mut self, after_last: u64, end: u64, now_ms: u64) -> bool {
        let Some(applied_until) = self.next_offset else {
            return false;
        };
        self.next_offset = Some(applied_until.max(after_last));
        let is_current = after_last >= end;
        if is_current {
            self.current_at_ms = Some(now_ms);
        }
        is_current
    }

    /// Records that the view is current as of a read request sent at `requested_at_ms`, on a clock that counts time
    /// spent suspended.
    pub fn on_response(&mut self, requested_at_ms: u64) {
        self.requested_at_ms = self.requested_at_ms.max(Some(requested_at_ms));
    }

    /// When the newest read request was sent whose response made the view current.
    ///
    /// The time of the response would not do: it may have been buffered while the VM was suspended.
    pub fn requested_at_ms(&self) -> Option<u64> {
        self.requested_at_ms
    }

    /// Returns whether the view was current at `since_ms` or later.
    pub fn is_current_since(&self, since_ms: u64) -> bool {
        self.current_at_ms
            .is_some_and(|current_at_ms| current_at_ms >= since_ms)
    }

    /// Returns whether the view was current within the last `age_ms`.
    pub fn is_current_within(&self, age_ms: u64, now_ms: u64) -> bool {
        self.current_at_ms
            .is_some_and(|current_at_ms| now_ms <= current_at_ms + age_ms)
    }
}
