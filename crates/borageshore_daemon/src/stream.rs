//! A log stream shared by the tasks of a daemon: follows it, relays it to peers and appends to it.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
};

use borageshore_log::{
    Envelope, Fold, Follower, FollowerState, LogError, LogPage, LogRecord, LogService, Proposer,
    ProposerAction,
};
use borageshore_net::{sleep_ms, within_ms};
use borageshore_wire::{FollowReply, FollowRequest, PeerReply, PeerRequest, WireRecord};
use serde::Serialize;
use tokio::sync::Notify;

use crate::daemon::Daemon;

/// How long a read waits for the first new record.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// How long a relaying daemon collects records before it answers a peer.
const RELAY_BATCH_MS: u64 = 100;
/// The minimum delay after a failed read; up to the same time is added at random.
const RETRY_DELAY_MS: u64 = 200;
/// Number of recent records kept for peers that follow the stream through this daemon.
const RECENT_RECORDS: usize = 4_096;
/// Maximum number of records in one append.
const APPEND_BATCH_RECORDS: usize = 64;
/// A snapshot is due after this many records without one.
const SNAPSHOT_EVERY_RECORDS: u64 = 1_000;

/// The `end_offset` in a [`FollowReply`] of a peer that has not read from the log yet.
pub(crate) const END_OFFSET_UNKNOWN: i64 = -1;

/// The source of a stream's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Source {
    /// The log service.
    Log,
    /// A peer, by its peer address.
    Peer(Arc<str>),
}

/// A log stream and the state folded from it, shared by the tasks of a daemon.
#[derive(Debug)]
pub(crate) struct SharedStream<State> {
    pub(crate) name: Arc<str>,
    follower: RefCell<Follower<State>>,
    proposer: RefCell<Proposer>,
    recent: RefCell<VecDeque<LogRecord>>,
    records_since_snapshot: Cell<u64>,
    is_closed: Cell<bool>,
    /// When this daemon, or the peer that it follows, last read from the log service.
    last_contact_at_ms: Cell<u64>,
    progressed: Notify,
    queued: Notify,
}

impl<State> SharedStream<State>
where
    State: Fold,
{
    /// Creates a stream that is read from its beginning.
    pub(crate) fn open(name: Arc<str>, writer: Arc<str>, fold: State) -> Self {
        Self {
            name,
            follower: RefCell::new(Follower::open(fold)),
            proposer: RefCell::new(Proposer::open(writer, APPEND_BATCH_RECORDS)),
            recent: RefCell::default(),
            records_since_snapshot: Cell::new(0),
            is_closed: Cell::new(false),
            last_contact_at_ms: Cell::new(0),
            progressed: Notify::new(),
            queued: Notify::new(),
        }
    }

    /// Calls `read` with the folded state.
    pub(crate) fn with_fold<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&State) -> Output,
    {
        read(self.follower.borrow().fold())
    }

    /// Returns whether all records up to the last known end of the log are applied.
    pub(crate) fn is_caught_up(&self) -> bool {
        let follower = self.follower.borrow();
        let is_at_end = follower
            .end_offset()
            .is_some_and(|end| follower.applied_offset() >= end);
        follower.state() == FollowerState::Following && is_at_end
    }

    /// The first offset that is not applied, and the last known end of the log.
    pub(crate) fn offsets(&self) -> (u64, u64) {
        let follower = self.follower.borrow();
        (
            follower.applied_offset(),
            follower.end_offset().unwrap_or(0),
        )
    }

    /// When the log service was last read from, directly or through a peer.
    pub(crate) fn last_contact_at_ms(&self) -> u64 {
        self.last_contact_at_ms.get()
    }

    /// Queues a record for appending; returns its sequence number.
    pub(crate) fn propose(&self, body: State::Body) -> u64
    where
        State::Body: Serialize,
    {
        let sequence = self.proposer.borrow_mut().propose(body);
        self.queued.notify_one();
        sequence
    }

    /// Returns whether a record proposed here has no known offset in the log yet.
    pub(crate) fn is_pending(&self, sequence: u64) -> bool {
        self.proposer.borrow().is_pending(sequence)
    }

    /// Waits until records are applied, but at most `timeout_ms`.
    pub(crate) async fn wait_progress(&self, timeout_ms: u64) {
        within_ms(timeout_ms, self.progressed.notified()).await;
    }

    /// Stops the tasks of this stream.
    pub(crate) fn close(&self) {
        self.is_closed.set(true);
        self.queued.notify_one();
        self.progressed.notify_waiters();
    }

    /// Proposes a snapshot once enough records were applied since the last one. Duplicate
    /// snapshots by several daemons are harmless.
    pub(crate) fn propose_snapshot_if_due<MakeBody>(&self, make_body: MakeBody)
    where
        MakeBody: FnOnce(u64, State::Snapshot) -> State::Body,
    {
        if self.records_since_snapshot.get() < SNAPSHOT_EVERY_RECORDS {
            return;
        }
        self.records_since_snapshot.set(0);
        let (next_offset, snapshot) = {
            let follower = self.follower.borrow();
            (follower.applied_offset(), follower.fold().snapshot())
        };
        self.propose(make_body(next_offset, snapshot));
    }

    /// Applies a page of records and reports those written under the daemon's session to the proposer.
    fn on_page<Observe>(&self, daemon: &Daemon, page: LogPage, mut observe: Observe)
    where
        Observe: FnMut(&LogRecord, &Envelope<State::Body>),
    {
        self.cache_recent(&page.records);
        let mut own_sequence = 0;
        let mut applied = 0;
        self.follower
            .borrow_mut()
            .on_page(page, |record, envelope| {
                applied += 1;
                if *envelope.writer == *daemon.session {
                    own_sequence = envelope.sequence;
                }
                observe(record, envelope);
            });
        self.records_since_snapshot
            .set(self.records_since_snapshot.get() + applied);
        self.update_proposer(daemon, own_sequence);
        if applied > 0 {
            self.progressed.notify_waiters();
        }
    }

    fn update_proposer(&self, daemon: &Daemon, own_sequence: u64) {
        let (applied, end) = self.offsets();
        let jitter_percent = daemon.random_below(100);
        let mut proposer = self.proposer.borrow_mut();
        if own_sequence > 0 {
            proposer.on_seen(own_sequence);
        }
        proposer.on_progress(applied, end, daemon.now_ms(), jitter_percent);
        drop(proposer);
        self.queued.notify_one();
    }

    fn cache_recent(&self, records: &[LogRecord]) {
        let mut recent = self.recent.borrow_mut();
        for record in records {
            let expected = recent.back().map(|last| last.offset + 1);
            if expected.is_some_and(|expected| record.offset < expected) {
                continue;
            }
            if expected.is_some_and(|expected| record.offset > expected) {
                recent.clear();
            }
            if recent.len() == RECENT_RECORDS {
                recent.pop_front();
            }
            recent.push_back(record.clone());
        }
    }

    /// Answers a peer that follows the stream through this daemon.
    pub(crate) async fn serve_follow(
        &self,
        daemon: &Daemon,
        request: &FollowRequest,
    ) -> FollowReply {
        let from_offset = request.from_offset as u64;
        if self.offsets().0 <= from_offset {
            self.wait_progress(request.wait_ms.clamp(0, FOLLOW_WAIT_MS as i64) as u64)
                .await;
            // Collects records that arrive shortly after each other into one reply.
            sleep_ms(RELAY_BATCH_MS).await;
        }
        let (applied, _) = self.offsets();
        let recent = self.recent.borrow();
        let first_offset = recent.front().map_or(applied, |record| record.offset);
        let newer = recent
            .iter()
            .filter(|record| record.offset >= from_offset && record.offset < applied);
        let records: Vec<WireRecord> = newer.map(to_wire).collect();
        let is_covered = from_offset >= first_offset;
        let has_state = self.follower.borrow().state() == FollowerState::Following;
        let snapshot = (!is_covered && has_state).then(|| {
            let snapshot = self.follower.borrow().fold().snapshot();
            serde_json::to_string(&snapshot).expect("snapshots serialize to JSON")
        });
        FollowReply {
            first_offset: first_offset as i64,
            end_offset: self
                .follower
                .borrow()
                .end_offset()
                .map_or(END_OFFSET_UNKNOWN, |end| end as i64),
            records: if is_covered { records } else { Vec::new() },
            snapshot_next_offset: snapshot.as_ref().map(|_| applied as i64),
            snapshot,
            log_age_ms: daemon
                .now_ms()
                .saturating_sub(self.last_contact_at_ms.get()) as i64,
        }
    }

    async fn read(&self, daemon: &Daemon, source: &Source) -> Result<LogPage, String> {
        let from_offset = self.follower.borrow().next_offset();
        match source {
            Source::Log => {
                let page = daemon
                    .log
                    .read(&self.name, from_offset, FOLLOW_WAIT_MS)
                    .await;
                let page = page.map_err(|error| error.to_string())?;
                self.last_contact_at_ms.set(daemon.now_ms());
                Ok(page)
            }
            Source::Peer(address) => self.read_from_peer(daemon, address, from_offset).await,
        }
    }

    async fn read_from_peer(
        &self,
        daemon: &Daemon,
        address: &str,
        from_offset: u64,
    ) -> Result<LogPage, String> {
        let request = FollowRequest {
            stream: self.name.to_string(),
            from_offset: from_offset as i64,
            wait_ms: FOLLOW_WAIT_MS as i64,
        };
        let request = PeerRequest::Follow(request);
        let reply = daemon
            .peers
            .call(address, &request, 2 * FOLLOW_WAIT_MS)
            .await;
        let PeerReply::Follow(reply) = reply.map_err(|error| error.to_string())? else {
            return Err("the peer sent a reply of another kind".into());
        };
        // Without this check, a peer that has not read from the log would make it look empty.
        if reply.end_offset == END_OFFSET_UNKNOWN {
            return Err("the peer has not read from the log yet".into());
        }
        let last_contact_at_ms = daemon
            .now_ms()
            .saturating_sub(reply.log_age_ms.max(0) as u64);
        self.last_contact_at_ms
            .set(self.last_contact_at_ms.get().max(last_contact_at_ms));
        if let (Some(snapshot), Some(next_offset)) = (reply.snapshot, reply.snapshot_next_offset) {
            let snapshot = serde_json::from_str(&snapshot).map_err(|error| error.to_string())?;
            self.follower
                .borrow_mut()
                .install_snapshot(next_offset as u64, snapshot);
            self.recent.borrow_mut().clear();
            self.progressed.notify_waiters();
        }
        Ok(LogPage {
            first_offset: 0,
            end_offset: reply.end_offset as u64,
            records: reply.records.into_iter().map(from_wire).collect(),
        })
    }
}

/// Reads and applies records until the stream is closed; calls `observe` for each applied record.
pub(crate) async fn follow<State, Choose, Observe>(
    daemon: Rc<Daemon>,
    stream: Rc<SharedStream<State>>,
    choose_source: Choose,
    mut observe: Observe,
) where
    State: Fold,
    Choose: Fn(&Daemon, u32) -> Source,
    Observe: FnMut(&Daemon, &LogRecord, &Envelope<State::Body>),
{
    let mut failures = 0;
    while !stream.is_closed.get() {
        let source = choose_source(&daemon, failures);
        match stream.read(&daemon, &source).await {
            Ok(page) => {
                failures = 0;
                stream.on_page(&daemon, page, |record, envelope| {
                    observe(&daemon, record, envelope);
                });
            }
            Err(reason) => {
                failures += 1;
                log::debug!(
                    "read of stream {} from {source:?} failed, retrying: {reason}",
                    stream.name
                );
                sleep_ms(RETRY_DELAY_MS + daemon.random_below(RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// Appends proposed records until the stream is closed and no record is queued.
pub(crate) async fn append_proposals<State>(daemon: Rc<Daemon>, stream: Rc<SharedStream<State>>)
where
    State: Fold,
{
    loop {
        let action = stream.proposer.borrow_mut().poll(daemon.now_ms());
        match action {
            ProposerAction::Append(records) => {
                let appended = daemon.log.append(&stream.name, &records).await;
                on_append(&daemon, &stream, appended);
            }
            ProposerAction::WaitUntil(until_ms) => {
                sleep_ms(until_ms.saturating_sub(daemon.now_ms()).max(1)).await;
            }
            ProposerAction::Idle if stream.is_closed.get() => return,
            ProposerAction::Idle => stream.queued.notified().await,
        }
    }
}

fn on_append<State>(daemon: &Daemon, stream: &SharedStream<State>, appended: Result<u64, LogError>)
where
    State: Fold,
{
    let mut proposer = stream.proposer.borrow_mut();
    match appended {
        Ok(_) => proposer.on_acknowledged(),
        Err(LogError::NotDone(reason)) => {
            log::debug!(
                "append to stream {} refused, retrying later: {reason}",
                stream.name
            );
            proposer.on_refused(daemon.now_ms(), daemon.random_below(100));
        }
        Err(LogError::Unknown(reason)) => {
            log::info!(
                "append to stream {} has an unknown outcome, checking in the log: {reason}",
                stream.name
            );
            proposer.on_unknown();
        }
    }
}

fn to_wire(record: &LogRecord) -> WireRecord {
    WireRecord {
        offset: record.offset as i64,
        at_ms: record.at_ms as i64,
        data: record.data.clone(),
    }
}

fn from_wire(record: WireRecord) -> LogRecord {
    LogRecord {
        offset: record.offset as u64,
        at_ms: record.at_ms as u64,
        data: record.data,
    }
}
