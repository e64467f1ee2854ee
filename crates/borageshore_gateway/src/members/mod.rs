//! Membership: which daemons are alive, by the presence records and suspicions in the store.

mod addresses;
mod writing;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::first_by_rendezvous;
use borageshore_diagnostics::LogOnce;
use borageshore_feed::FeedCandidate;
use borageshore_membership::{
    HEARTBEAT_LOG_TIMEOUT_MS, Presence, PresenceState, PresenceTable, SUSPICION_TIMEOUT_MS,
    Suspicion, WATCHER_LOG_TIMEOUT_MS, WatchRing, WatchTable,
};
use borageshore_net::{Clock, sleep_ms};
use borageshore_platform::KeyedRecord;
use borageshore_topology::{Distance, Residency, Topology};
use serde::de::Error;
use tokio::sync::Notify;

use crate::{follow::RecordView, store_transport::FailoverTransport};

/// The prefix of a suspicion's key; the name of the suspected daemon follows.
const SUSPICION_PREFIX: &str = "suspect/";
/// For this long after it became ready, a daemon of a large fleet leaves work that nobody holds to the daemons that will
/// own it once they are ready, too.
const CLAIM_DELAY_MS: u64 = 3_000;
/// The maximum number of names in a log line about several daemons.
const MAX_NAMES_LOGGED: usize = 8;

/// This daemon's view of the members, and its own presence.
#[derive(Debug)]
pub(crate) struct Members {
    own: RefCell<Presence>,
    table: RefCell<PresenceTable>,
    clock: Clock,
    topology: Rc<Topology>,
    transport: FailoverTransport,
    watch: RefCell<WatchTable>,
    ring: RefCell<CachedRing>,
    /// Suspected daemons whose records were read in the current batch.
    withdrawn: RefCell<Vec<Arc<str>>>,
    has_left: Cell<bool>,
    undecodable: LogOnce,
    /// Whether some daemons read the store for others, as in a large fleet.
    has_feed_readers: Cell<bool>,
    ready_at_ms: Cell<Option<u64>>,
    write_requested: Notify,
    suspected: Notify,
    /// Notified when a member's state changes.
    pub(crate) changed: Notify,
}

/// The watch ring, cached until the presence table changes.
#[derive(Debug, Default)]
struct CachedRing {
    ring: WatchRing,
    table_changes: Option<u64>,
}

/// The result of a check of the daemons that this one watches.
#[derive(Debug)]
pub(crate) struct WatchCheck {
    /// The addresses to which this daemon sends heartbeats; empty if it must not send any.
    pub(crate) watchers: Vec<Arc<str>>,
    /// Suspicions of the daemons whose heartbeats have just been found missing.
    pub(crate) silent: Vec<Suspicion>,
}

impl Members {
    pub(crate) fn open(
        own: Presence,
        clock: Clock,
        topology: Rc<Topology>,
        transport: FailoverTransport,
    ) -> Rc<Self> {
        Rc::new(Self {
            own: RefCell::new(own),
            table: RefCell::default(),
            clock,
            topology,
            transport,
            watch: RefCell::default(),
            ring: RefCell::default(),
            withdrawn: RefCell::default(),
            has_left: Cell::default(),
            undecodable: LogOnce::default(),
            has_feed_readers: Cell::default(),
            ready_at_ms: Cell::default(),
            write_requested: Notify::new(),
            suspected: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Declares suspected daemons dead when the suspicion timeout has passed without a refutation.
    pub(crate) async fn expire_suspicions(self: Rc<Self>) {
        loop {
            self.suspected.notified().await;
            sleep_ms(SUSPICION_TIMEOUT_MS).await;
            self.advance();
        }
    }

    fn advance(&self) {
        let now_ms = self.clock.now_ms();
        let has_died = self.table.borrow_mut().advance(now_ms);
        if has_died {
            self.update_peers();
            self.changed.notify_waiters();
        }
    }

    /// Records a heartbeat; those of earlier incarnations are ignored.
    pub(crate) fn on_heartbeat(&self, name: &str, incarnation: u64) {
        if self.table.borrow().incarnation_of(name) <= Some(incarnation) {
            let now_ms = self.clock.now_ms();
            self.watch.borrow_mut().on_heartbeat(name, now_ms);
        }
    }

    /// Checks the watched daemons for missing heartbeats.
    pub(crate) fn check_watched(&self) -> WatchCheck {
        self.advance();
        let now_ms = self.clock.now_ms();
        let own_name = self.own_name();
        let table = self.table.borrow();
        let mut watch = self.watch.borrow_mut();
        let mut cached = self.ring.borrow_mut();
        if cached.table_changes != Some(table.changes()) {
            cached.ring = WatchRing::of(table.live());
            cached.table_changes = Some(table.changes());
            watch.set_watched(cached.ring.watched_by(&own_name), now_ms);
        }
        let store_silent_ms = self.transport.silent_ms();
        let silent = match store_silent_ms < WATCHER_LOG_TIMEOUT_MS {
            true => watch.take_silent(now_ms),
            false => {
                watch.on_log_unreachable(now_ms);
                Vec::new()
            }
        };
        let suspicion = |name: Arc<str>| {
            Some(Suspicion {
                incarnation: table.incarnation_of(&name)?,
                name,
                by: own_name.clone(),
            })
        };
        WatchCheck {
            watchers: match store_silent_ms < HEARTBEAT_LOG_TIMEOUT_MS {
                true => cached.ring.watchers_of(&own_name),
                false => Vec::new(),
            },
            silent: silent.into_iter().filter_map(suspicion).collect(),
        }
    }

    /// Raises this daemon's incarnation above that of its previous run.
    ///
    /// Guards against a clock that was set back between two starts: other daemons would discard this run's
    /// records as stale and consider the daemon dead.
    fn raise_incarnation(&self, record: &KeyedRecord) {
        let mut own = self.own.borrow_mut();
        if record.key != own.name {
            return;
        }
        let value = record.value.as_deref().unwrap_or_default();
        let earlier = serde_json::from_slice::<Presence>(value);
        if let Ok(earlier) = earlier
            && earlier.incarnation > own.incarnation
        {
            log::warn!(earlier = earlier.incarnation, own = own.incarnation; "clock was set back since the previous start; raising the incarnation");
            own.incarnation = earlier.incarnation + 1;
            self.write_requested.notify_one();
        }
    }

    /// This daemon's name and incarnation.
    pub(crate) fn own_identity(&self) -> (Arc<str>, u64) {
        let own = self.own.borrow();
        (own.name.clone(), own.incarnation)
    }

    pub(crate) fn own_name(&self) -> Arc<str> {
        self.own.borrow().name.clone()
    }

    /// Sets this daemon's state and publishes it at once.
    pub(crate) fn set_state(&self, state: PresenceState) {
        if std::mem::replace(&mut self.own.borrow_mut().state, state) != state {
            if state == PresenceState::Ready {
                self.ready_at_ms.set(Some(self.clock.now_ms()));
            }
            // Applied before the record is read back from the store, but not before the records of other daemons have
            // been read; otherwise this one would take over the work of all.
            if self.table.borrow().is_known() {
                let own = self.own.borrow().clone();
                self.table.borrow_mut().on_presence(own);
                self.changed.notify_waiters();
            }
            self.write_requested.notify_one();
        }
    }

    /// Sets the work that this daemon holds and publishes it at once.
    pub(crate) fn set_holds(&self, holds: Vec<Arc<str>>) {
        if self.own.borrow().holds != holds {
            self.own.borrow_mut().holds = holds;
            self.write_requested.notify_one();
        }
    }

    /// Whether this daemon owns a piece of work that only daemons in allowed regions may hold; if none of them holds it,
    /// the rendezvous hash of `key` decides.
    pub(crate) fn owns(&self, work: &str, key: &str, residency: &Residency) -> bool {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let allows = self.inside(residency);
        if !allows(&own) {
            return false;
        }
        if own.holds.iter().any(|held| &**held == work) {
            // If two daemons hold it, the one with the greater name yields.
            return table
                .holder_within(work, allows)
                .is_none_or(|holder| holder >= &*own.name);
        }
        own.state == PresenceState::Ready
            && table.owner_within(work, key, allows) == Some(&own.name)
            && (!self.waits_for_starting()
                || table.prospective_owner_within(key, allows) == Some(&own.name))
    }

    /// Whether work that nobody holds is left to daemons that start.
    fn waits_for_starting(&self) -> bool {
        let is_recent = |at_ms: u64| self.clock.now_ms() < at_ms + CLAIM_DELAY_MS;
        self.has_feed_readers.get() && self.ready_at_ms.get().is_some_and(is_recent)
    }

    /// Sets whether some daemons read the store for others.
    pub(crate) fn set_has_feed_readers(&self, has_feed_readers: bool) {
        self.has_feed_readers.set(has_feed_readers);
    }

    /// Whether this daemon reports that a piece of work waits because no daemon in allowed regions may own it: the one
    /// that would own it without the restriction.
    pub(crate) fn reports_wait(&self, work: &str, key: &str, residency: &Residency) -> bool {
        let table = self.table.borrow();
        let inside = self.inside(residency);
        residency.is_restricted()
            && table.owner_within(work, key, inside).is_none()
            && table.owner_of(work, key) == Some(&*self.own.borrow().name)
    }

    /// Whether this daemon may hold data that may be in some regions only.
    pub(crate) fn may_hold(&self, residency: &Residency) -> bool {
        self.inside(residency)(&self.own.borrow())
    }

    /// Selects the daemons in allowed regions.
    fn inside(&self, residency: &Residency) -> impl Fn(&Presence) -> bool + Copy {
        let topology = &self.topology;
        move |presence: &Presence| topology.allows(residency, &presence.zone)
    }

    /// The number of daemons that run submissions.
    pub(crate) fn holder_count(&self) -> usize {
        let table = self.table.borrow();
        table
            .live()
            .filter(|presence| !presence.holds.is_empty())
            .count()
    }

    /// Whether this daemon is selected, by its view of the members, for a piece of work that nobody holds.
    pub(crate) fn is_first_for(&self, work: &str) -> bool {
        self.table.borrow().owner_of(work, work) == Some(&*self.own.borrow().name)
    }

    /// Whether this daemon is the first of the eligible ones in allowed regions for a piece of work.
    pub(crate) fn is_first_eligible(&self, work: &str, residency: &Residency) -> bool {
        let table = self.table.borrow();
        let eligible = table.eligible_within(self.inside(residency));
        first_by_rendezvous(work, eligible) == Some(&*self.own.borrow().name)
    }

    /// The number of live daemons.
    pub(crate) fn count(&self) -> usize {
        self.table.borrow().live().count()
    }

    /// The names of the daemons that are eligible for work.
    pub(crate) fn eligible_names(&self) -> Vec<Arc<str>> {
        self.table.borrow().eligible().map(Into::into).collect()
    }
}

impl Members {
    /// Whether the records of members have been read.
    pub(crate) fn is_known(&self) -> bool {
        self.table.borrow().is_known()
    }

    /// This daemon, as a source of shared topics.
    pub(crate) fn feed_candidate(&self) -> FeedCandidate {
        candidate(&self.own.borrow(), &self.topology)
    }

    /// This daemon and the live ones, as sources of shared topics. Daemons that drain are left out.
    pub(crate) fn feed_candidates(&self) -> (FeedCandidate, Vec<FeedCandidate>) {
        let table = self.table.borrow();
        let serving = table.live().filter(|presence| {
            presence.state != PresenceState::Draining && !presence.peer_address.is_empty()
        });
        let candidate = |presence| candidate(presence, &self.topology);
        (self.feed_candidate(), serving.map(candidate).collect())
    }

    /// Whether this daemon has enough capacity to own work once it is ready, at least such as has to stay in its region.
    pub(crate) fn may_become_eligible(&self) -> bool {
        let own = self.own.borrow();
        let own_region = self.topology.region_of(&own.zone);
        let is_same_region =
            |presence: &Presence| self.topology.region_of(&presence.zone) == own_region;
        let table = self.table.borrow();
        table.has_eligible_capacity(own.capacity_percent, is_same_region)
    }

    fn update_peers(&self) {
        let own = self.own.borrow();
        let peers = self.table.borrow().store_peers(&own.name, &self.topology);
        self.transport.set_peers(peers);
    }

    fn on_own_record(&self, record: &KeyedRecord) {
        self.raise_incarnation(record);
        let is_removed = record.value.is_none() && record.key == self.own.borrow().name;
        if is_removed && !self.has_left.get() {
            // Another daemon removed the record as that of a dead daemon.
            self.write_requested.notify_one();
        }
    }

    fn on_suspicion(&self, suspicion: &Suspicion) {
        let own = self.own.borrow();
        if suspicion.name != own.name {
            let now_ms = self.clock.now_ms();
            self.table.borrow_mut().on_suspicion(suspicion, now_ms);
            self.watch.borrow_mut().on_suspicion(&suspicion.name);
            self.suspected.notify_one();
        } else if suspicion.incarnation == own.incarnation {
            log::warn!(by = &*suspicion.by; "another daemon suspects this one of being dead; writing a presence record to refute it");
            self.write_requested.notify_one();
        }
    }

    fn on_presence(&self, presence: Presence) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table.borrow_mut();
        if table.is_suspected(&presence.name) {
            self.withdrawn.borrow_mut().push(presence.name.clone());
        }
        self.watch.borrow_mut().on_record(&presence.name, now_ms);
        table.on_presence(presence);
    }

    fn on_record(&self, record: &KeyedRecord) -> Result<(), serde_json::Error> {
        let suspected = record.key.strip_prefix(SUSPICION_PREFIX);
        match (&record.value, suspected) {
            (Some(value), Some(_)) => self.on_suspicion(&serde_json::from_slice(value)?),
            (Some(value), None) => self.on_presence(decode_presence(&record.key, value)?),
            (None, Some(_)) => {}
            (None, None) => self.table.borrow_mut().on_left(&record.key),
        }
        Ok(())
    }
}

/// Decodes the record of a daemon, which is stored under its name.
pub(crate) fn decode_presence(key: &str, value: &[u8]) -> Result<Presence, serde_json::Error> {
    let presence: Presence = serde_json::from_slice(value)?;
    match *presence.name == *key {
        true => Ok(presence),
        false => Err(serde_json::Error::custom("a presence under another name")),
    }
}

fn candidate(presence: &Presence, topology: &Topology) -> FeedCandidate {
    FeedCandidate {
        name: presence.name.clone(),
        zone: presence.zone.clone(),
        is_same_region: topology.distance_to(&presence.zone) <= Distance::SameRegion,
        address: presence.peer_address.clone(),
        capacity_percent: presence.capacity_percent,
        is_ready: presence.state == PresenceState::Ready,
    }
}

impl RecordView for Members {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            self.on_own_record(record);
            if let Err(error) = self.on_record(record)
                && self.undecodable.is_new(&record.key)
            {
                log::error!(member = &*record.key, error:% = error; "cannot decode a membership record; ignoring it");
            }
        }
        let withdrawn = self.withdrawn.take();
        if !withdrawn.is_empty() {
            let some = &withdrawn[..withdrawn.len().min(MAX_NAMES_LOGGED)];
            log::info!(count = withdrawn.len(), members:? = some; "suspected daemons wrote presence records; withdrawing the suspicions");
        }
        self.update_peers();
        self.changed.notify_waiters();
    }

    fn on_caught_up(&self) {
        self.table.borrow_mut().on_read(self.clock.now_ms());
    }
}
