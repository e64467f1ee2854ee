//! This daemon's view of the submissions that it runs or that are read from it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{Ledger, LedgerRecord, SubmissionState};
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::KeyedRecord;
use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    follow::{FollowSpec, Follower, RecordView, StartFrom, StorePartition},
    shard::Shard,
    store_transport::Store,
    submission_index::SubmissionIndex,
};

/// The pause between reads of a shard: results come in bursts, and reading them together saves most of the reads.
const FOLLOW_PAUSE_MS: u64 = 25;
/// How long a shard is followed after its last use; trainers read twice a second.
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// The interval at which idle shards are released.
const IDLE_CHECK_INTERVAL_MS: u64 = 2_000;
/// The maximum wait for a shard's first read, which takes a few ms, or 200 ms if the store is slow.
const START_TIMEOUT_MS: u64 = 1_500;

#[derive(Debug)]
struct Followed {
    follower: Rc<Follower<ShardView>>,
    used_at_ms: Cell<u64>,
}

/// The ledger of the shards that this daemon follows.
#[derive(Debug)]
pub(crate) struct LedgerView {
    store: Store,
    clock: Clock,
    index: Rc<SubmissionIndex>,
    ledger: RefCell<Ledger>,
    /// The shard from which each submission was loaded.
    placed: RefCell<SortedMap<Arc<str>, Shard>>,
    loading: RefCell<Vec<Arc<str>>>,
    shards: RefCell<SortedMap<Shard, Followed>>,
    /// Notified on each change.
    pub(crate) changed: Notify,
}

impl LedgerView {
    /// Starts an empty view.
    pub(crate) fn spawn(store: Store, index: Rc<SubmissionIndex>, clock: Clock) -> Rc<Self> {
        let view = Rc::new(Self {
            store,
            clock,
            index,
            ledger: RefCell::default(),
            placed: RefCell::default(),
            loading: RefCell::default(),
            shards: RefCell::default(),
            changed: Notify::new(),
        });
        monoio::spawn(view.clone().release_idle_shards());
        view
    }

    /// Runs a function on the ledger.
    pub(crate) fn with<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&Ledger) -> Output,
    {
        read(&self.ledger.borrow())
    }

    /// Runs a function on a submission; `None` if its records are not all loaded.
    pub(crate) fn with_loaded<Read, Output>(&self, id: &str, read: Read) -> Option<Output>
    where
        Read: FnOnce(&SubmissionState) -> Output,
    {
        let ledger = self.ledger.borrow();
        let state = ledger.get(id).filter(|state| state.is_loaded())?;
        Some(read(state))
    }

    /// Marks a submission's shard as in use, which keeps it followed.
    pub(crate) fn touch(&self, id: &str) {
        self.remove_misplaced(id);
        if let Some(followed) = self.shards.borrow().get(&self.shard_of(id)) {
            followed.used_at_ms.set(self.clock.now_ms());
        }
    }

    /// Brings the view of a loaded submission to an age of at most `age_ms`; returns whether that succeeded.
    pub(crate) async fn confirm(self: &Rc<Self>, id: &str, age_ms: u64) -> bool {
        if !self.index.may_hold(id) {
            return false;
        }
        let follower = self.follow(self.shard_of(id));
        follower.confirm(age_ms).await && self.is_loaded(id)
    }

    /// Brings the view of a loaded submission up to the present end of the store; returns whether that succeeded.
    pub(crate) async fn confirm_now(self: &Rc<Self>, id: &str) -> bool {
        if !self.index.may_hold(id) {
            return false;
        }
        let follower = self.follow(self.shard_of(id));
        follower.confirm_now().await && self.is_loaded(id)
    }

    /// Whether all records of a submission are loaded. A gap in the records removes them while a read is answered.
    fn is_loaded(&self, id: &str) -> bool {
        self.with_loaded(id, |_| ()).is_some()
    }

    /// Loads the records of a submission unless they are loaded; returns whether they are now. Never loads those of one
    /// that this daemon's region may not hold.
    pub(crate) async fn load(self: &Rc<Self>, id: &Arc<str>) -> bool {
        if !self.index.may_hold(id) {
            return false;
        }
        self.remove_misplaced(id);
        let follower = self.follow(self.shard_of(id));
        loop {
            let changed = self.changed.notified();
            if self.is_loaded(id) {
                return true;
            }
            if !self.loading.borrow().contains(id) {
                break;
            }
            changed.await;
        }
        self.loading.borrow_mut().push(id.clone());
        let _loading = LoadGuard { view: self, id };
        self.wait_until_started(&follower).await && self.load_records(id).await
    }

    /// Waits until a shard is being followed: if records were loaded before that, later ones could be missed.
    async fn wait_until_started(&self, follower: &Follower<ShardView>) -> bool {
        let started = async {
            loop {
                let changed = self.changed.notified();
                if follower.next_offset().is_some() {
                    return;
                }
                changed.await;
            }
        };
        within_ms(START_TIMEOUT_MS, started).await.is_some()
    }

    async fn load_records(&self, id: &Arc<str>) -> bool {
        let shard = self.shard_of(id);
        let now_ms = self.clock.now_ms();
        self.ledger.borrow_mut().track(id, now_ms);
        self.placed.borrow_mut().insert(id.clone(), shard.clone());
        let prefix = LedgerRecord::key_prefix(id);
        let newest = shard
            .store(&self.store)
            .newest(shard.topic(), shard.partition(), &prefix)
            .await;
        match newest {
            Ok(page) => {
                let entries = page.records.into_iter().filter_map(entry).collect();
                self.ledger.borrow_mut().load(id, entries, page.end);
                log::info!(submission = &**id, end = page.end, took_ms = self.clock.now_ms() - now_ms; "submission loaded");
                self.is_loaded(id)
            }
            Err(error) => {
                log::warn!(submission = &**id, error:% = error; "submission not loaded");
                false
            }
        }
    }

    /// Returns the shard's follower; starts one at the end of the shard if there is none.
    fn follow(self: &Rc<Self>, shard: Shard) -> Rc<Follower<ShardView>> {
        let now_ms = self.clock.now_ms();
        let mut shards = self.shards.borrow_mut();
        let followed = shards.get_or_insert_with(shard.clone(), || {
            let source = StorePartition {
                store: shard.store(&self.store),
                topic: shard.topic(),
                partition: shard.partition(),
                start_from: StartFrom::End,
            };
            let spec = FollowSpec {
                source,
                clock: self.clock,
                pause_ms: FOLLOW_PAUSE_MS,
            };
            let shard_view = ShardView {
                view: self.clone(),
                shard,
            };
            let follower = Follower::spawn(spec, Rc::new(shard_view));
            Followed {
                follower,
                used_at_ms: Cell::new(now_ms),
            }
        });
        followed.used_at_ms.set(now_ms);
        followed.follower.clone()
    }

    async fn release_idle_shards(self: Rc<Self>) {
        loop {
            sleep_ms(IDLE_CHECK_INTERVAL_MS).await;
            let now_ms = self.clock.now_ms();
            let mut released = Vec::new();
            self.shards.borrow_mut().retain(|shard, followed| {
                let is_used = now_ms < followed.used_at_ms.get() + IDLE_TIMEOUT_MS;
                if !is_used {
                    followed.follower.stop();
                    released.push(shard.clone());
                }
                is_used
            });
            for shard in released {
                self.remove_shard(&shard);
            }
            // The routes in force may have become narrower.
            self.remove_where(|id, _| !self.index.may_hold(id));
        }
    }

    fn remove_shard(&self, shard: &Shard) {
        self.remove_where(|_, placed| placed == shard);
    }

    /// Removes a submission that was loaded from another shard than its own, before this daemon knew in which regions it
    /// may be: its records never arrive there.
    fn remove_misplaced(&self, id: &str) {
        let is_misplaced = {
            let placed = self.placed.borrow();
            let shard = placed.get(id);
            shard.is_some_and(|shard| *shard != self.shard_of(id))
        };
        if is_misplaced {
            self.remove_where(|other, _| other == id);
        }
    }

    fn remove_where<Remove>(&self, is_removed: Remove)
    where
        Remove: Fn(&str, &Shard) -> bool,
    {
        let mut removed: Vec<Arc<str>> = Vec::new();
        self.placed.borrow_mut().retain(|id, shard| {
            let is_kept = !is_removed(id, shard);
            if !is_kept {
                removed.push(id.clone());
            }
            is_kept
        });
        if removed.is_empty() {
            return;
        }
        let is_listed = |id: &str| removed.iter().any(|removed| &**removed == id);
        self.ledger.borrow_mut().remove_if(is_listed);
        self.changed.notify_waiters();
    }

    fn shard_of(&self, id: &str) -> Shard {
        self.index.shard_of(id)
    }
}

/// Marks a submission as being loaded until it is dropped.
struct LoadGuard<'v> {
    view: &'v LedgerView,
    id: &'v Arc<str>,
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.view
            .loading
            .borrow_mut()
            .retain(|loading| loading != self.id);
        self.view.changed.notify_waiters();
    }
}

fn entry(record: KeyedRecord) -> Option<(u64, Arc<str>, Bytes)> {
    Some((record.offset, record.key, record.value?))
}

/// Applies the records of one shard to the view.
#[derive(Debug)]
pub(crate) struct ShardView {
    view: Rc<LedgerView>,
    shard: Shard,
}

impl RecordView for ShardView {
    fn apply(&self, records: &[KeyedRecord]) {
        let mut ledger = self.view.ledger.borrow_mut();
        for entry in records.iter().cloned().filter_map(entry) {
            ledger.apply(entry);
        }
        drop(ledger);
        self.view.changed.notify_waiters();
    }

    fn on_caught_up(&self) {
        self.view.changed.notify_waiters();
    }

    fn on_gap(&self) {
        self.view.remove_shard(&self.shard);
    }
}
