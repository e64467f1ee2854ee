//! This daemon's view of the submissions that it runs or that are read from it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{HeldKind, Ledger, LedgerRecord, SubmissionState, WorkHold, WorkMemory};
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::{KeyedRecord, Page, StoreError};
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

/// A submission whose records are held here.
#[derive(Debug)]
struct Placed {
    /// The shard from which it was loaded.
    shard: Shard,
    hold: WorkHold,
    used_at_ms: u64,
}

/// Why the records of a submission were not read.
#[derive(Debug)]
enum LoadError {
    Store(StoreError),
    /// Accepted work holds too much; the records take at least this many bytes.
    OverMemory(u64),
}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// The ledger of the shards that this daemon follows.
#[derive(Debug)]
pub(crate) struct LedgerView {
    store: Store,
    clock: Clock,
    index: Rc<SubmissionIndex>,
    ledger: RefCell<Ledger>,
    memory: WorkMemory,
    placed: RefCell<SortedMap<Arc<str>, Placed>>,
    /// The submissions that this daemon runs or is about to run, sorted; their records are not evicted.
    needed: RefCell<Vec<Arc<str>>>,
    /// The submission whose load found no memory last, and the bytes that it had read.
    refused: RefCell<Option<(Arc<str>, u64)>>,
    loading: RefCell<Vec<Arc<str>>>,
    shards: RefCell<SortedMap<Shard, Followed>>,
    /// Notified on each change.
    pub(crate) changed: Notify,
}

impl LedgerView {
    /// Starts an empty view.
    pub(crate) fn spawn(
        store: Store,
        index: Rc<SubmissionIndex>,
        memory: WorkMemory,
        clock: Clock,
    ) -> Rc<Self> {
        let view = Rc::new(Self {
            store,
            clock,
            index,
            ledger: RefCell::default(),
            memory,
            placed: RefCell::default(),
            needed: RefCell::default(),
            refused: RefCell::default(),
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
    pub(crate) fn is_loaded(&self, id: &str) -> bool {
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
                self.mark_used(id);
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
        let placed = Placed {
            shard: shard.clone(),
            hold: self.memory.hold(HeldKind::Records, 0),
            used_at_ms: now_ms,
        };
        self.placed.borrow_mut().insert(id.clone(), placed);
        // Held from the start: the records of one that is being accepted arrive one after the other.
        let expected_bytes = self.index.record_bytes(id);
        let read = match self.hold_records(id, expected_bytes) {
            true => self.read_records(id, &shard).await,
            false => Err(LoadError::OverMemory(expected_bytes)),
        };
        match read {
            Ok(page) => {
                let entries = page.records.into_iter().filter_map(entry).collect();
                self.ledger.borrow_mut().load(id, entries, page.end);
                self.update_hold(id);
                log::info!(submission = &**id, end = page.end, took_ms = self.clock.now_ms() - now_ms; "submission loaded");
                self.is_loaded(id)
            }
            Err(LoadError::Store(error)) => {
                log::warn!(submission = &**id, error:% = error; "submission not loaded");
                false
            }
            Err(LoadError::OverMemory(bytes)) => {
                log::warn!(
                    submission = &**id, bytes, held_bytes = self.memory.total_bytes(), limit_bytes = self.memory.limit_bytes();
                    "submission not loaded: no memory for its records beside other accepted work"
                );
                self.refused.replace(Some((id.clone(), bytes)));
                self.remove_where(|other, _| *other == **id);
                false
            }
        }
    }

    /// Reads all records of a submission, page by page, as far as there is memory for them.
    async fn read_records(&self, id: &Arc<str>, shard: &Shard) -> Result<Page, LoadError> {
        let prefix = LedgerRecord::key_prefix(id);
        let store = shard.store(&self.store);
        let mut records = Vec::new();
        let mut first_end = None;
        let mut bytes = 0;
        let mut reader = store.newest_pages(shard.topic(), shard.partition(), &prefix);
        while let Some(page) = reader.next_page().await? {
            first_end.get_or_insert(page.end);
            bytes += page.records.iter().map(value_bytes).sum::<u64>();
            records.extend(page.records);
            if bytes > self.held_bytes(id) && !self.hold_records(id, bytes) {
                return Err(LoadError::OverMemory(bytes));
            }
        }
        if !reader.is_complete() {
            let why = "the records cannot be read to their end";
            return Err(StoreError::NotDone(why.into()).into());
        }
        records.sort_by_key(|record: &KeyedRecord| record.offset);
        Ok(Page {
            end: first_end.unwrap_or(0),
            records,
        })
    }

    /// Holds memory for a submission's records, for which others may be evicted; returns whether there is enough.
    fn hold_records(&self, id: &str, bytes: u64) -> bool {
        loop {
            let is_held = match self.placed.borrow_mut().get_mut(id) {
                Some(placed) => placed.hold.try_set(bytes),
                // Removed meanwhile; it is found not to be loaded.
                None => return true,
            };
            if is_held || !self.evict_one(Some(id)) {
                return is_held;
            }
        }
    }

    /// Evicts records until accepted work may hold this much more; returns whether it may.
    pub(crate) fn make_room(&self, bytes: u64) -> bool {
        while self.memory.total_bytes() + bytes > self.memory.limit_bytes() {
            if !self.evict_one(None) {
                return false;
            }
        }
        true
    }

    /// Evicts the records of the submission that is needed least: one that has ended or is complete before others, and of
    /// these the one that was used the longest time ago. Returns whether there was one.
    fn evict_one(&self, except: Option<&str>) -> bool {
        let least_needed = {
            let (placed, needed) = (self.placed.borrow(), self.needed.borrow());
            let loading = self.loading.borrow();
            let may_go = |id: &Arc<str>| {
                needed.binary_search(id).is_err()
                    && !loading.contains(id)
                    && except.is_none_or(|except| **id != *except)
            };
            let candidates = placed.iter().filter(|(id, _)| may_go(id));
            let least = candidates.min_by_key(|(id, placed)| {
                let is_finished = self.with_loaded(id, SubmissionState::is_finished);
                (!is_finished.unwrap_or(false), placed.used_at_ms)
            });
            least.map(|(id, placed)| (id.clone(), placed.hold.bytes()))
        };
        let Some((id, bytes)) = least_needed else {
            return false;
        };
        log::info!(submission = &*id, bytes, held_bytes = self.memory.total_bytes(); "evicting the records of a submission that does not run here, for others");
        self.remove_where(|other, _| other == &*id);
        true
    }

    fn held_bytes(&self, id: &str) -> u64 {
        let placed = self.placed.borrow();
        placed.get(id).map_or(0, |placed| placed.hold.bytes())
    }

    /// Counts what the records of a submission take now; until all of them are there, at least what they are expected to.
    fn update_hold(&self, id: &str) {
        let ledger = self.ledger.borrow();
        let bytes = match ledger.get(id) {
            Some(state) if state.submission().is_some() => state.held_bytes(),
            Some(state) => state.held_bytes().max(self.index.record_bytes(id) as usize),
            None => 0,
        };
        if let Some(placed) = self.placed.borrow_mut().get_mut(id) {
            placed.hold.set(bytes as u64);
        }
    }

    /// Sets the submissions that this daemon runs or is about to run, sorted by id.
    pub(crate) fn set_needed(&self, needed: Vec<Arc<str>>) {
        self.needed.replace(needed);
    }

    /// The bytes of a submission's records that found no memory, if its load failed for that reason.
    pub(crate) fn refused_bytes(&self, id: &str) -> Option<u64> {
        let refused = self.refused.borrow();
        let (refused_id, bytes) = refused.as_ref()?;
        (**refused_id == *id).then_some(*bytes)
    }

    /// Counts what the submissions of a shard take after new records; others are evicted if that is too much.
    fn update_holds(&self, shard: &Shard) {
        let of_shard: Vec<Arc<str>> = {
            let placed = self.placed.borrow();
            let of_shard = placed.iter().filter(|(_, placed)| placed.shard == *shard);
            of_shard.map(|(id, _)| id.clone()).collect()
        };
        for id in of_shard {
            self.update_hold(&id);
        }
        self.make_room(0);
    }

    fn mark_used(&self, id: &str) {
        if let Some(placed) = self.placed.borrow_mut().get_mut(id) {
            placed.used_at_ms = self.clock.now_ms();
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
        self.remove_where(|_, placed| placed.shard == *shard);
    }

    /// Removes a submission that was loaded from another shard than its own, before this daemon knew in which regions it
    /// may be: its records never arrive there.
    fn remove_misplaced(&self, id: &str) {
        let is_misplaced = {
            let placed = self.placed.borrow();
            let placed = placed.get(id);
            placed.is_some_and(|placed| placed.shard != self.shard_of(id))
        };
        if is_misplaced {
            self.remove_where(|other, _| other == id);
        }
    }

    fn remove_where<Remove>(&self, is_removed: Remove)
    where
        Remove: Fn(&str, &Placed) -> bool,
    {
        let mut removed: Vec<Arc<str>> = Vec::new();
        self.placed.borrow_mut().retain(|id, placed| {
            let is_kept = !is_removed(id, placed);
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

fn value_bytes(record: &KeyedRecord) -> u64 {
    record.value.as_ref().map_or(0, |value| value.len() as u64)
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
        self.view.update_holds(&self.shard);
        self.view.changed.notify_waiters();
    }

    fn on_caught_up(&self) {
        self.view.changed.notify_waiters();
    }

    fn on_gap(&self) {
        self.view.remove_shard(&self.shard);
    }
}
