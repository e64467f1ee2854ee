//! The topics that every daemon follows, and the records of each that this daemon keeps.

use std::{
    cell::{Cell, RefCell},
    sync::Arc,
};

use borageshore_feed::{LoadState, RetainedLog};
use borageshore_platform::{KeyedRecord, Topic};
use tokio::sync::Notify;

/// A topic that is passed on from daemon to daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedTopic {
    /// First, as its records tell where the other topics are read.
    Members,
    Operator,
    Index,
    Orders,
    Endpoints,
}

impl FeedTopic {
    pub(super) const ALL: [FeedTopic; 5] = [
        FeedTopic::Members,
        FeedTopic::Operator,
        FeedTopic::Index,
        FeedTopic::Orders,
        FeedTopic::Endpoints,
    ];

    /// The order in which topics are loaded: the members tell where the others are read, and callers are served once the
    /// routes and the endpoints are there.
    pub(super) const LOAD_ORDER: [FeedTopic; 5] = [
        FeedTopic::Members,
        FeedTopic::Operator,
        FeedTopic::Endpoints,
        FeedTopic::Index,
        FeedTopic::Orders,
    ];

    /// The pause after a read of the store that brought records, so that those that follow closely are read together:
    /// for members long enough for daemons that start together, and short compared with the suspicion timeout; none
    /// where records are applied without delay.
    pub(super) fn pause_ms(self) -> u64 {
        match self {
            FeedTopic::Members => 50,
            FeedTopic::Index | FeedTopic::Orders => 10,
            FeedTopic::Operator | FeedTopic::Endpoints => 0,
        }
    }

    /// Whether readers are told of new records at once: a submission waits for its owner to read them, and a change of the
    /// routes for all daemons. Records of members and endpoints come by the hundred and are sent together.
    pub(super) fn is_urgent(self) -> bool {
        match self {
            FeedTopic::Operator | FeedTopic::Index | FeedTopic::Orders => true,
            FeedTopic::Members | FeedTopic::Endpoints => false,
        }
    }

    /// Whether only daemons that may own submissions or hold duties need the topic.
    pub(super) fn is_for_owners(self) -> bool {
        matches!(self, FeedTopic::Index | FeedTopic::Orders)
    }

    /// The topic's number in messages between daemons.
    pub(super) fn number(self) -> i32 {
        self as i32
    }

    pub(super) fn from_number(number: i32) -> Option<Self> {
        Self::ALL.get(usize::try_from(number).ok()?).copied()
    }

    pub(super) fn store_topic(self) -> Topic {
        match self {
            FeedTopic::Members => Topic::Members,
            FeedTopic::Operator => Topic::Operator,
            FeedTopic::Index => Topic::Index,
            FeedTopic::Orders => Topic::Orders,
            FeedTopic::Endpoints => Topic::Endpoints,
        }
    }
}

/// The records of a topic that this daemon keeps for its views and for other daemons.
#[derive(Debug, Default)]
pub(super) struct TopicLog {
    pub(super) records: RefCell<RetainedLog<KeyedRecord>>,
    /// When the request was sent to the store that showed the records to reach the end of the partition, in ms of the
    /// boot-time clock.
    pub(super) current_at_ms: Cell<Option<u64>>,
    /// The peer from which the topic is being loaded, and the `load` of its last page.
    load: RefCell<Option<(Arc<str>, i64)>>,
    /// The reads of the store that have failed since the last one that did not.
    pub(super) failures: Cell<u32>,
    /// Notified when records are added, and when they are known to be current.
    pub(super) changed: Notify,
}

impl TopicLog {
    /// The offset at which the next read continues; 0 before the first read.
    pub(super) fn next_offset(&self) -> u64 {
        self.records.borrow().next_offset().unwrap_or(0)
    }

    pub(super) fn is_whole(&self) -> bool {
        self.records.borrow().is_whole()
    }

    pub(super) fn load_state(&self) -> LoadState {
        LoadState::of(self.is_whole(), self.failures.get())
    }

    /// Adds records; returns the number of new ones. A page that starts behind the known records is ignored: records
    /// between them would be missing.
    pub(super) fn append(&self, page: TopicPage) -> usize {
        let mut records = self.records.borrow_mut();
        if page.from > records.next_offset().unwrap_or(0) {
            return 0;
        }
        let added = records.append(page.records, page.next_offset, page.is_whole);
        if records.is_whole() {
            let known_ms = self.current_at_ms.get();
            self.current_at_ms.set(known_ms.max(page.current_at_ms));
        }
        drop(records);
        self.changed.notify_waiters();
        added
    }

    /// Where a read from a peer continues. A load that another peer began starts again: what this one has dropped may be
    /// a removal that the other one would still have passed on.
    pub(super) fn position_at(&self, peer: &str) -> FeedPosition {
        let load = self.load.borrow().clone();
        match load {
            Some((loading_from, load)) if *loading_from == *peer => FeedPosition {
                from: self.next_offset(),
                load: Some(load),
            },
            Some(_) => {
                self.reset();
                FeedPosition::default()
            }
            None => FeedPosition {
                from: self.next_offset(),
                load: None,
            },
        }
    }

    /// Notes that a peer has passed on a part of the topic, or the rest of it.
    pub(super) fn on_peer_page(&self, peer: &str, load: i64) {
        let is_loading = !self.is_whole() && self.next_offset() > 0;
        *self.load.borrow_mut() = is_loading.then(|| (peer.into(), load));
    }

    /// Discards the records, as some were missed.
    pub(super) fn reset(&self) {
        *self.load.borrow_mut() = None;
        self.records.borrow_mut().reset();
        self.changed.notify_waiters();
    }
}

/// Where a reader is in a topic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct FeedPosition {
    pub(super) from: u64,
    /// While the topic is being loaded, the `load` of the last page.
    pub(super) load: Option<i64>,
}

/// Records from an offset on, from the store or from a peer.
#[derive(Debug)]
pub(super) struct TopicPage {
    pub(super) from: u64,
    pub(super) records: Vec<KeyedRecord>,
    pub(super) next_offset: u64,
    /// Whether they reach the end of the topic.
    pub(super) is_whole: bool,
    pub(super) current_at_ms: Option<u64>,
}
