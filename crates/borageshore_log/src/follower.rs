//! The reader's side: folds a stream in order, starting from a snapshot when its head is gone.

use std::fmt::Debug;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    envelope::Envelope,
    service::{LogPage, LogRecord},
};

/// A pure state that every daemon computes from the same records.
pub trait Fold {
    /// The proposals of this stream.
    type Body: Debug + Serialize + DeserializeOwned;
    /// A state small enough for one record.
    type Snapshot: Debug + Serialize + DeserializeOwned;

    /// Applies a record. Must depend on nothing but the state and the arguments.
    fn apply(&mut self, offset: u64, at_ms: u64, envelope: &Envelope<Self::Body>);

    /// Copies the state.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces the state.
    fn restore(&mut self, snapshot: Self::Snapshot);

    /// The snapshot inside a record, with the first offset that it does not cover.
    fn embedded_snapshot(body: Self::Body) -> Option<(u64, Self::Snapshot)>;
}

/// Whether a [`Follower`] has a state to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowerState {
    /// Looking for a snapshot, because records before the oldest kept one are gone.
    AwaitingSnapshot,
    /// The fold is a prefix of the log.
    Following,
}

/// Feeds pages of the log into a [`Fold`].
///
/// Guards against three faults of a restart. Records below retention: the follower holds the records
/// it reads until one contains a snapshot that joins on to them. A page read twice: offsets below the
/// applied one are skipped, so the state never goes back. A gap: the follower drops to `AwaitingSnapshot`
/// rather than skip a record, and its daemon is not ready meanwhile.
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
    /// Opens a follower at the beginning of a stream.
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

    /// The folded state.
    pub fn fold(&self) -> &State {
        &self.fold
    }

    /// The offset to read next.
    pub fn next_offset(&self) -> u64 {
        match self.buffered.last() {
            Some(record) => record.offset + 1,
            None => self.next_offset,
        }
    }

    /// The first offset that the state does not cover.
    pub fn applied_offset(&self) -> u64 {
        self.next_offset
    }

    /// The end of the log as last heard; `None` before anything was heard, also of an empty log.
    pub fn end_offset(&self) -> Option<u64> {
        self.end_offset
    }

    /// Whether the state can be acted on.
    pub fn state(&self) -> FollowerState {
        self.state
    }

    /// The number of records that could not be decoded and were skipped by every fold alike.
    pub fn malformed_records(&self) -> u64 {
        self.malformed
    }

    /// Takes a state from a peer if it is newer than the present one.
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

    /// Folds a page; calls `on_applied` with each applied record and its envelope.
    pub fn on_page<Observe>(&mut self, page: LogPage, mut on_applied: Observe)
    where
        Observe: FnMut(&LogRecord, &Envelope<State::Body>),
    {
        self.end_offset = self.end_offset.max(Some(page.end_offset));
        if self.next_offset() < page.first_offset {
            self.state = FollowerState::AwaitingSnapshot;
            self.buffered.clear();
        }
        for record in page.records {
            match self.state {
                FollowerState::Following => self.apply_record(&record, &mut on_applied),
                FollowerState::AwaitingSnapshot => self.search(record, &mut on_applied),
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
            self.state = FollowerState::AwaitingSnapshot;
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
