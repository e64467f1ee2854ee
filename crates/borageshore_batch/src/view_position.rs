//! How far a view of a partition reaches.

/// The place of a follower in a partition, and when its view was last known to be whole.
///
/// Guards against a page that is taken for the whole: after seconds without the store a read brings only
/// the first of many records, and a reader would be told that a result which another daemon has
/// shown is not there. Only a page that reached the end makes a view whole.
#[derive(Debug, Default)]
pub struct ViewPosition {
    next_offset: Option<u64>,
    current_at_ms: Option<u64>,
    requested_at_ms: Option<u64>,
}

impl ViewPosition {
    /// The offset after the last applied_until record; `None` before the first read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Begins anew: records may have been missed.
    pub fn reset(&mut self) {
        self.next_offset = None;
    }

    /// Takes over a first read that brought all there was up to `end`.
    pub fn on_snapshot(&mut self, end: u64, now_ms: u64) {
        self.next_offset = Some(end);
        self.current_at_ms = Some(now_ms);
    }

    /// Takes over a read from offset `from`: the offset after its last record, and the partition's end
    /// at that moment. Says whether the view is whole now. An older read changes nothing.
    pub fn on_page(&mut self, after_last: u64, end: u64, now_ms: u64) -> bool {
        let applied_until = self.next_offset.unwrap_or(0);
        self.next_offset = Some(applied_until.max(after_last));
        let is_current = after_last >= end;
        if is_current {
            self.current_at_ms = Some(now_ms);
        }
        is_current
    }

    /// Notes that a view was whole as of a question asked at `requested_at_ms`, on a clock that counts suspensions.
    pub fn on_response(&mut self, requested_at_ms: u64) {
        self.requested_at_ms = self.requested_at_ms.max(Some(requested_at_ms));
    }

    /// When the newest question was asked whose answer made the view whole.
    ///
    /// Guards against an answer that lay in a buffer while the VM was suspended: it is read late, and says nothing
    /// of the time since.
    pub fn requested_at_ms(&self) -> Option<u64> {
        self.requested_at_ms
    }

    /// Says whether the view was whole at `since_ms` or later.
    pub fn is_current_since(&self, since_ms: u64) -> bool {
        self.current_at_ms
            .is_some_and(|current_at_ms| current_at_ms >= since_ms)
    }

    /// Says whether the view was whole within the last `age_ms`.
    pub fn is_current_within(&self, age_ms: u64, now_ms: u64) -> bool {
        self.current_at_ms
            .is_some_and(|current_at_ms| now_ms <= current_at_ms + age_ms)
    }
}
