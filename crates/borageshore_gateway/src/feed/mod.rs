//! The topics that every daemon follows, read from the store by a few daemons and from these by all others.
//!
//! Where each daemon reads is decided by [`FeedTree`] and [`SourceSelector`]. Records are passed on with the time since
//! they were known to reach the end of their topic, so that a view at the end of a chain knows its age.

mod batch;
mod direct;
mod pages;
mod poll;
mod serve;
mod source;
mod start;
mod topics;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_diagnostics::Instruments;
use borageshore_feed::{FeedLimits, FeedTree, STALE_MS, SourceSelector};
use borageshore_net::{Clock, HttpClient, boot_time_ms};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

pub(crate) use self::{
    batch::REGISTER_PATH, serve::FEED_PATH, source::FeedTopicSource, topics::FeedTopic,
};
use self::{
    batch::RecordBatch,
    topics::{TopicLog, TopicPage},
};
use crate::{
    members::Members,
    store_transport::{FailoverTransport, Store},
};

/// The interval at which this daemon's place in the tree is computed again.
const TREE_INTERVAL_MS: u64 = 300;
/// The least interval at which readers are told that nothing has changed.
const CONFIRM_INTERVAL_MS: u64 = 400;

/// Dependencies of [`Feed`].
#[derive(Debug)]
pub(crate) struct FeedParts {
    pub(crate) store: Store,
    pub(crate) transport: FailoverTransport,
    /// Tells daemons of different deployments apart.
    pub(crate) deployment: Arc<str>,
    pub(crate) limits: FeedLimits,
    pub(crate) clock: Clock,
    pub(crate) members: Rc<Members>,
    pub(crate) instruments: Rc<Instruments>,
    /// Whether all daemons start for the first time now.
    pub(crate) is_first_start: bool,
    pub(crate) seed: u64,
}

/// How far this daemon has started.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// It is looking for daemons that pass topics on.
    Looking,
    /// It reads from one of these addresses until it knows the members.
    Joining(Vec<Arc<str>>),
    /// It reads by its place in the tree.
    Joined,
}

#[derive(Debug, Default)]
struct CachedTree {
    tree: Rc<FeedTree>,
    computed_at_ms: Option<u64>,
}

/// The shared topics as far as this daemon has read them.
#[derive(Debug)]
pub(crate) struct Feed {
    parts: FeedParts,
    http: HttpClient,
    logs: [TopicLog; FeedTopic::ALL.len()],
    phase: RefCell<Phase>,
    /// Whether the other topics wait until the members are known: there are daemons that read for others, and which of
    /// them this one reads from depends on the members.
    loads_members_first: Cell<bool>,
    /// Whether this daemon started together with many others that do not know each other yet.
    is_first_start: Cell<bool>,
    batch: RecordBatch,
    selector: RefCell<SourceSelector>,
    tree: RefCell<CachedTree>,
    random: RefCell<Pcg64Mcg>,
    /// Increases with each change that readers are told.
    revision: Cell<u64>,
    confirmed_at_ms: Cell<u64>,
    updated: Notify,
    /// Notified when this daemon may have to read elsewhere.
    role_changed: Notify,
    polls_in_flight: Cell<usize>,
}

impl Feed {
    /// Starts to read the topics on the current thread's event loop.
    pub(crate) fn spawn(parts: FeedParts) -> Rc<Self> {
        let now_ms = parts.clock.now_ms();
        let feed = Rc::new(Self {
            random: RefCell::new(Pcg64Mcg::seed_from_u64(parts.seed)),
            parts,
            http: HttpClient::open(),
            logs: Default::default(),
            phase: RefCell::new(Phase::Looking),
            loads_members_first: Cell::new(false),
            is_first_start: Cell::new(false),
            batch: RecordBatch::default(),
            selector: RefCell::new(SourceSelector::open(now_ms)),
            tree: RefCell::default(),
            revision: Cell::new(1),
            confirmed_at_ms: Cell::new(0),
            updated: Notify::new(),
            role_changed: Notify::new(),
            polls_in_flight: Cell::new(0),
        });
        monoio::spawn(feed.clone().join());
        for topic in FeedTopic::ALL {
            monoio::spawn(feed.clone().read_directly(topic));
        }
        monoio::spawn(feed.clone().poll_peers());
        monoio::spawn(feed.clone().announce_as_root());
        monoio::spawn(feed.clone().write_batches());
        feed
    }

    fn log(&self, topic: FeedTopic) -> &TopicLog {
        &self.logs[topic as usize]
    }

    fn random(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    fn now_ms(&self) -> u64 {
        self.parts.clock.now_ms()
    }

    /// This daemon's place among the members that it knows.
    fn tree(&self) -> Rc<FeedTree> {
        let now_ms = self.now_ms();
        let mut cached = self.tree.borrow_mut();
        let is_due = cached
            .computed_at_ms
            .is_none_or(|at_ms| now_ms >= at_ms + TREE_INTERVAL_MS);
        if is_due {
            let (own, others) = self.parts.members.feed_candidates();
            cached.tree = Rc::new(FeedTree::of(&own, others, self.parts.limits));
            cached.computed_at_ms = Some(now_ms);
            let mut selector = self.selector.borrow_mut();
            selector.on_tree(&cached.tree, now_ms);
            let is_reader = selector.is_reader(&cached.tree, now_ms);
            self.parts.transport.set_reads_directly(is_reader);
        }
        cached.tree.clone()
    }

    /// Whether this daemon needs a topic.
    pub(crate) fn wants(&self, topic: FeedTopic) -> bool {
        !topic.is_for_owners() || self.is_reader() || self.parts.members.may_become_eligible()
    }

    /// Whether this daemon reads the store for others, or all daemons read it.
    fn is_reader(&self) -> bool {
        let tree = self.tree();
        self.selector.borrow().is_reader(&tree, self.now_ms())
    }

    /// Whether this daemon reads a topic from the store now.
    fn reads_directly(&self, topic: FeedTopic) -> bool {
        let is_joined = *self.phase.borrow() == Phase::Joined;
        let must_wait = topic != FeedTopic::Members
            && self.loads_members_first.get()
            && !self.parts.members.is_known();
        let tree = self.tree();
        is_joined
            && !must_wait
            && self.wants(topic)
            && self.selector.borrow().reads_directly(&tree, self.now_ms())
    }

    /// Adds records of a topic; returns the number of new ones.
    fn add(&self, topic: FeedTopic, page: TopicPage) -> usize {
        let log = self.log(topic);
        let added = log.append(page);
        if topic == FeedTopic::Members
            && let Some(age_ms) = self.age_ms(topic)
        {
            self.parts.transport.on_heard(age_ms);
        }
        let now_ms = self.now_ms();
        let is_confirmed = now_ms >= self.confirmed_at_ms.get() + CONFIRM_INTERVAL_MS;
        if added > 0 || is_confirmed {
            self.confirmed_at_ms.set(now_ms);
            self.revision.set(self.revision.get() + 1);
            self.updated.notify_waiters();
        }
        added
    }

    /// The time since the records of a topic were known to reach its end.
    fn age_ms(&self, topic: FeedTopic) -> Option<u64> {
        let current_at_ms = self.log(topic).current_at_ms.get()?;
        Some(boot_time_ms().saturating_sub(current_at_ms))
    }

    /// Whether all topics that this daemon needs are current.
    fn is_current(&self) -> bool {
        let mut wanted = FeedTopic::ALL
            .into_iter()
            .filter(|topic| self.wants(*topic));
        wanted.all(|topic| self.age_ms(topic).is_some_and(|age_ms| age_ms < STALE_MS))
    }
}
