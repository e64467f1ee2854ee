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
use borageshore_feed::{FallbackBudget, FeedLimits, FeedTree, STALE_MS, SourceSelector, may_load};
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

/// The largest response of a peer: its pages end after 256 KiB with the record that exceeds it.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

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
    /// The daemons that read for others when this one started; 0 if there were none.
    announced_readers: Cell<usize>,
    /// The number of daemons as it was announced before this one started.
    announced_daemons: Cell<usize>,
    /// When the load of the topics last made progress, here or at a peer that this daemon waits for, in ms of the
    /// boot-time clock.
    load_progressed_at_ms: Cell<u64>,
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
            http: HttpClient::open_limited(MAX_PAGE_BYTES),
            logs: Default::default(),
            phase: RefCell::new(Phase::Looking),
            announced_readers: Cell::new(0),
            announced_daemons: Cell::new(0),
            load_progressed_at_ms: Cell::new(boot_time_ms()),
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
            let has_readers = !cached.tree.is_flat();
            self.parts.members.set_has_feed_readers(has_readers);
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
        let now_ms = self.now_ms();
        match *self.phase.borrow() {
            Phase::Looking => false,
            Phase::Joining(_) => {
                let (budget, seed) = (self.fallback_budget(), self.parts.seed);
                let selector = self.selector.borrow();
                topic == FeedTopic::Members && selector.reads_members_directly(budget, seed, now_ms)
            }
            Phase::Joined => {
                let tree = self.tree();
                self.wants(topic)
                    && self.may_load(topic)
                    && self.selector.borrow().reads_directly(&tree, now_ms)
            }
        }
    }

    /// Whether it is a topic's turn to be loaded. Where each daemon reads for itself, all are loaded at once.
    fn may_load(&self, topic: FeedTopic) -> bool {
        let earlier = FeedTopic::LOAD_ORDER.into_iter();
        let earlier = earlier.take_while(|earlier| *earlier != topic);
        let wanted = earlier.filter(|earlier| self.wants(*earlier));
        !self.has_readers() || may_load(wanted.map(|earlier| self.log(earlier).load_state()))
    }

    /// Whether some daemons read for others.
    fn has_readers(&self) -> bool {
        self.announced_readers.get() > 0 || !self.tree().is_flat()
    }

    /// The daemons that read the store, by the members or, before they are known, by what was announced.
    fn readers(&self) -> usize {
        let readers = self.tree().readers();
        match self.parts.members.is_known() {
            true => readers,
            false => readers.max(self.announced_readers.get()),
        }
    }

    /// What all daemons together may read although they are no readers, by the members that this one knows or, before
    /// that, by what was announced.
    fn fallback_budget(&self) -> FallbackBudget {
        let budget = self.tree().fallback_budget();
        FallbackBudget {
            daemons: budget.daemons.max(self.announced_daemons.get()),
            ..budget
        }
    }

    /// Adds records of a topic; returns the number of new ones.
    fn add(&self, topic: FeedTopic, page: TopicPage) -> usize {
        let log = self.log(topic);
        let was_whole = log.is_whole();
        let added = log.append(page);
        if added > 0 && !was_whole {
            self.load_progressed_at_ms.set(boot_time_ms());
        }
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
        let is_current = |age_ms| age_ms < STALE_MS;
        self.wanted()
            .all(|topic| self.age_ms(topic).is_some_and(is_current))
    }

    /// The time since the load of the topics last made progress; `None` if this daemon has all that it needs.
    fn loading_ms(&self) -> Option<u64> {
        let is_whole = self.wanted().all(|topic| self.log(topic).is_whole());
        let progressed_at_ms = self.load_progressed_at_ms.get();
        (!is_whole).then(|| boot_time_ms().saturating_sub(progressed_at_ms))
    }

    fn wanted(&self) -> impl Iterator<Item = FeedTopic> {
        let topics = FeedTopic::LOAD_ORDER.into_iter();
        topics.filter(|topic| self.wants(*topic))
    }
}
