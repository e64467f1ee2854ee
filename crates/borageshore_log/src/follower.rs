//! The reader: applies a stream in order, from a snapshot if the oldest records were removed.

use std::fmt::Debug;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    envelope::Envelope,
    service::{LogPage, LogRecord},
};

/// A deterministic state machine that every daemon runs over the same records.
pub trait Fold {
    /// The body of this stream's records.
    type Body: Debug + Serialize + DeserializeOwned;
    /// A serializable copy of the state, small enough for one record.
    type Snapshot: Debug + Serialize + DeserializeOwned;

    /// Applies a record. The result must depend only on the state and the arguments.
    fn apply(&mut self, offset: u64, at_ms: u64, envelope: &Envelope<Self::Body>);

    /// Returns a copy of the state.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: Self::Snapshot);

    /// Returns the snapshot in a record, if any, with the first offset that it does not cover.
    fn embedded_snapshot(body: Self::Body) -> Option<(u64, Self::Snapshot)>;
}

/// Whether the state of a [`Follower`] is usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerState {
    /// Records are missing; the follower waits for a snapshot that covers them.
    Searching,
    /// The state is that of a prefix of the log.
    Following,
}

/// Applies pages of the log to a [`Fold`].
///
/// If the oldest records were removed, it buffers the records it reads until one contains a snapshot
/// that covers the missing ones. Records that are read twice are skipped, so the state never goes
/// back. After a gap it enters `Searching`; a starting daemon does not become ready meanwhile.
#[derive(Debug)]
pub struct Follower<State> {
    fold: State,
    next_offset: u64,
    end_offset: Option<u64>,
    state: FollowerState,
    buffered: Vec<LogRecord>,
    malformed: u64,
}

impl<State> Follower<State>
where
    State: Fold,
{
    /// Creates a follower at the beginning of a stream.
    pub fn open(fold: State) -> Self {
        Self {
            fold,
            next_offset: 0,
            end_offset: None,
            state: FollowerState::Following,
            buffered: Vec::new(),
            malformed: 0,
        }
    }

    /// Returns the state.
    pub fn fold(&self) -> &State {
        &self.fold
    }

    /// Returns the offset to read next.
    pub fn next_offset(&self) -> u64 {
        match self.buffered.last() {
            Some(record) => record.offset + 1,
            None => self.next_offset,
        }
    }

    /// Returns the first offset that the state does not cover.
    pub fn applied_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the highest end offset reported so far; `None` before the first page.
    pub fn end_offset(&self) -> Option<u64> {
        self.end_offset
    }

    /// Returns whether the state is usable.
    pub fn state(&self) -> FollowerState {
        self.state
    }

    /// Returns the number of undecodable records, which every follower skips.
    pub fn malformed_records(&self) -> u64 {
        self.malformed
    }

    /// Installs a peer's snapshot if it is newer than the current state.
    pub fn install_snapshot(&mut self, next_offset: u64, snapshot: State::Snapshot) {
        if self.state == FollowerState::Following && next_offset <= self.next_offset {
            return;
        }
        self.fold.restore(snapshot);
        self.next_offset = next_offset;
        self.state = FollowerState::Following;
        let buffered = std::mem::take(&mut self.buffered);
        for record in buffered {
            self.apply_record(&record, &mut |_, _| {});
        }
    }

    /// Applies a page; calls `on_applied` with each applied record and its envelope.
    pub fn on_page<Observe>(&mut self, page: LogPage, mut on_applied: Observe)
    where
        Observe: FnMut(&LogRecord, &Envelope<State::Body>),
    {
        self.end_offset = self.end_offset.max(Some(page.end_offset));
        if self.next_offset() < page.first_offset {
            self.state = FollowerState::Searching;
            self.buffered.clear();
        }
        for record in page.records {
            match self.state {
                FollowerState::Following => self.apply_record(&record, &mut on_applied),
                FollowerState::Searching => self.search(record, &mut on_applied),
            }
        }
    }

    fn search<Observe>(&mut self, record: LogRecord, on_applied: &mut Observe)
    where
        Observe: FnMut(&LogRecord, &Envelope<State::Body>),
    {
        let found = decode::<State::Body>(&record.data)
            .and_then(|envelope| State::embedded_snapshot(envelope.body));
        self.buffered.push(record);
        let Some((next_offset, snapshot)) = found else {
            return;
        };
        if next_offset < self.buffered[0].offset || next_offset < self.next_offset {
            return;
        }
        self.fold.restore(snapshot);
        self.next_offset = next_offset;
        self.state = FollowerState::Following;
        for buffered in std::mem::take(&mut self.buffered) {
            self.apply_record(&buffered, on_applied);
        }
    }

    fn apply_record<Observe>(&mut self, record: &LogRecord, on_applied: &mut Observe)
    where
        Observe: FnMut(&LogRecord, &Envelope<State::Body>),
    {
        if record.offset < self.next_offset {
            return;
        }
        if record.offset > self.next_offset {
            self.state = FollowerState::Searching;
            self.buffered.push(record.clone());
            return;
        }
        self.next_offset = record.offset + 1;
        match decode::<State::Body>(&record.data) {
            Some(envelope) => {
                self.fold.apply(record.offset, record.at_ms, &envelope);
                on_applied(record, &envelope);
            }
            None => self.malformed += 1,
        }
    }
}

fn decode<Body>(data: &str) -> Option<Envelope<Body>>
where
    Body: DeserializeOwned,
{
    serde_json::from_str(data).ok()
}
