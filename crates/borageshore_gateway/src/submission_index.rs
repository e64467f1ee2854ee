//! The index of all stored submissions, which every daemon reads.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{
    Demand, IndexEntry, ReceivedSubmission, Submission, SubmissionOrigin, work_key,
};
use borageshore_diagnostics::LogOnce;
use borageshore_platform::{KeyedRecord, StoreError, Topic};
use borageshore_topology::{Residency, Topology};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    follow::{ONLY_PARTITION, RecordView},
    routes::Routes,
    shard::Shard,
    store_transport::Store,
    true_time::time_of_day_ms,
};

/// A submission that was not ended counts as demand for this long: the longest step of a trainer.
const OPEN_DEMAND_MS: u64 = 300_000;
/// One that was ended counts for this long after it was submitted, as its trainer trains before the next one.
const ENDED_DEMAND_MS: u64 = 60_000;
/// The maximum number of entries that are kept of those that were looked up one by one.
const MAX_LOOKED_UP: usize = 512;

/// A submission that has not been ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenSubmission {
    pub(crate) id: Arc<str>,
    /// The key that selects the daemon that runs it.
    pub(crate) work_key: Arc<str>,
    /// The service that runs it; empty if the entry does not say so.
    pub(crate) service: Arc<str>,
    /// The regions whose daemons may run it now.
    pub(crate) residency: Residency,
    /// When it was entered, by the clock of the daemon that accepted it.
    pub(crate) entered_at_ms: u64,
}

/// Dependencies of [`SubmissionIndex`].
#[derive(Debug)]
pub(crate) struct IndexParts {
    pub(crate) store: Store,
    pub(crate) routes: Rc<Routes>,
    pub(crate) topology: Rc<Topology>,
    pub(crate) partitions: u64,
}

/// The index entries by submission.
#[derive(Debug)]
pub(crate) struct SubmissionIndex {
    parts: IndexParts,
    is_known: Cell<bool>,
    entries: RefCell<SortedMap<Arc<str>, IndexEntry>>,
    /// The entries from before a gap in the records that the load after it has not returned yet, sorted.
    unconfirmed: RefCell<Vec<Arc<str>>>,
    /// Entries that were looked up in the store because they are not, or not yet, among `entries`.
    looked_up: RefCell<SortedMap<Arc<str>, IndexEntry>>,
    /// Where restricted submissions may be stored. Outlasts a gap in the records, as running items write meanwhile.
    restricted: RefCell<SortedMap<Arc<str>, Residency>>,
    /// The demand of the newest submission of each trainer.
    demand: RefCell<SortedMap<Arc<str>, Demand>>,
    undecodable: LogOnce,
    /// Notified when the index changes.
    pub(crate) changed: Notify,
}

impl SubmissionIndex {
    pub(crate) fn open(parts: IndexParts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            is_known: Cell::new(false),
            entries: RefCell::default(),
            unconfirmed: RefCell::default(),
            looked_up: RefCell::default(),
            restricted: RefCell::default(),
            demand: RefCell::default(),
            undecodable: LogOnce::default(),
            changed: Notify::new(),
        })
    }

    /// Returns whether the index has been read since this daemon started.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// The submissions that have not been ended.
    pub(crate) fn open_submissions(&self) -> Vec<OpenSubmission> {
        let entries = self.entries.borrow();
        let open = entries.iter().filter(|(_, entry)| !entry.is_ended);
        open.map(|(id, entry)| OpenSubmission {
            id: id.clone(),
            work_key: entry.work_key.clone(),
            service: entry
                .origin
                .as_ref()
                .map_or_else(|| "".into(), |origin| origin.service.clone()),
            residency: self.residency_now(entry),
            entered_at_ms: entry.entered_at_ms,
        })
        .collect()
    }

    /// Where the records of a submission may be stored: the regions that were allowed when it was accepted.
    pub(crate) fn stored_within(&self, id: &str) -> Residency {
        let restricted = self.restricted.borrow();
        restricted.get(id).cloned().unwrap_or_default()
    }

    /// The shard of a submission's records.
    pub(crate) fn shard_of(&self, id: &str) -> Shard {
        Shard::of(id, self.parts.partitions, self.stored_within(id))
    }

    /// The regions whose daemons may hold a submission now; any for one that is not known.
    pub(crate) fn residency_of(&self, id: &str) -> Residency {
        let now = self.with_entry(id, |entry| self.residency_now(entry));
        now.unwrap_or_else(|| self.stored_within(id))
    }

    /// Whether this daemon may hold a submission's records.
    pub(crate) fn may_hold(&self, id: &str) -> bool {
        let own_zone = self.parts.topology.own_zone();
        let residency = self.residency_of(id);
        self.parts.topology.allows(&residency, own_zone)
    }

    /// About the memory that a submission's records take, in bytes; 0 if its entry is not known or does not say.
    pub(crate) fn record_bytes(&self, id: &str) -> u64 {
        self.with_entry(id, |entry| entry.record_bytes).unwrap_or(0)
    }

    /// Whether the entry of a submission is known.
    pub(crate) fn knows(&self, id: &str) -> bool {
        self.with_entry(id, |_| ()).is_some()
    }

    /// Whether a submission may be in another shard than the one that this daemon takes for its own, as its entry was
    /// never seen.
    pub(crate) fn may_be_elsewhere(&self, id: &str) -> bool {
        self.parts.topology.has_regions() && !self.is_known() && !self.knows(id)
    }

    /// Reads the entry of a submission from the store; returns whether there is one.
    pub(crate) async fn look_up(&self, id: &Arc<str>) -> Result<bool, StoreError> {
        let store = &self.parts.store;
        let newest = store.newest_of(Topic::Index, ONLY_PARTITION, id).await?;
        let Some(value) = newest.and_then(|record| record.value) else {
            return Ok(false);
        };
        let entry: IndexEntry = serde_json::from_slice(&value)
            .map_err(|error| StoreError::NotDone(error.to_string()))?;
        self.on_residency(id, &entry);
        let mut looked_up = self.looked_up.borrow_mut();
        if looked_up.len() >= MAX_LOOKED_UP {
            looked_up.retain(|_, _| false);
        }
        looked_up.insert(id.clone(), entry);
        Ok(true)
    }

    /// The regions that the acceptance and the routes in force both allow.
    fn residency_now(&self, entry: &IndexEntry) -> Residency {
        let stored = entry.residency();
        let Some(origin) = &entry.origin else {
            return stored;
        };
        let organisation = origin.organisation.as_deref();
        let route = (&*origin.host, &*origin.path);
        self.parts
            .routes
            .residency_now(&stored, route, organisation)
    }

    fn with_entry<Read, Output>(&self, id: &str, read: Read) -> Option<Output>
    where
        Read: FnOnce(&IndexEntry) -> Output,
    {
        let entries = self.entries.borrow();
        let looked_up = self.looked_up.borrow();
        entries.get(id).or_else(|| looked_up.get(id)).map(read)
    }

    fn on_residency(&self, id: &Arc<str>, entry: &IndexEntry) {
        let residency = entry.residency();
        let mut restricted = self.restricted.borrow_mut();
        match residency.is_restricted() {
            true => restricted.insert(id.clone(), residency),
            false => restricted.remove(id),
        };
    }

    /// The submissions whose records may be removed.
    pub(crate) fn expired(&self, retention_ms: u64, clock_skew_ms: u64) -> Vec<Arc<str>> {
        let now_ms = time_of_day_ms();
        let entries = self.entries.borrow();
        let expired = entries
            .iter()
            .filter(|(_, entry)| entry.is_expired(retention_ms, clock_skew_ms, now_ms));
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// The demand of a trainer's newest submission; zero if there was none.
    pub(crate) fn demand_of(&self, trainer: &str) -> Demand {
        let demand = self.demand.borrow();
        demand.get(trainer).copied().unwrap_or_default()
    }

    /// The number of items of each trainer's newest submission, without trainers that have not asked for a long time.
    pub(crate) fn items_by_trainer(&self) -> SortedMap<Arc<str>, u64> {
        let mut newest: SortedMap<Arc<str>, &IndexEntry> = SortedMap::default();
        let entries = self.entries.borrow();
        for entry in entries.values() {
            let known = newest.get_or_insert_with(entry.trainer.clone(), || entry);
            if known.entered_at_ms < entry.entered_at_ms {
                *known = entry;
            }
        }
        let now_ms = time_of_day_ms();
        let mut items = SortedMap::default();
        for (trainer, entry) in newest.iter() {
            let counts_for_ms = match entry.is_ended {
                true => ENDED_DEMAND_MS,
                false => OPEN_DEMAND_MS,
            };
            if now_ms < entry.entered_at_ms + counts_for_ms {
                items.insert(trainer.clone(), entry.demand.items);
            }
        }
        items
    }

    /// Adds a submission whose items run at a service with `slots` slots.
    ///
    /// One that is sent again after the routes have changed stays in the regions, and so in the shard, of its first
    /// acceptance; in another shard it would be run a second time.
    pub(crate) async fn add(
        &self,
        submission: &ReceivedSubmission,
        service: &Arc<str>,
        slots: u64,
        residency: Residency,
    ) -> Result<(), StoreError> {
        let ReceivedSubmission { head, sizes, .. } = submission;
        let id = &head.id;
        if self.parts.routes.has_seen_residency() && !self.knows(id) {
            let looked_up = self.look_up(id).await;
            // Nothing has been written so far.
            looked_up.map_err(|error| StoreError::NotDone(error.to_string()))?;
        }
        let known = self.with_entry(id, IndexEntry::residency);
        let residency = known.unwrap_or(residency);
        let trainer = head.trainer().clone();
        let entry = IndexEntry {
            work_key: work_key(service, &trainer, slots),
            trainer,
            demand: Demand {
                tokens: sizes.expected_tokens,
                items: sizes.items as u64,
            },
            record_bytes: sizes.held_bytes() as u64,
            entered_at_ms: time_of_day_ms(),
            is_ended: false,
            allowed_regions: residency.regions().map(<[Arc<str>]>::to_vec),
            origin: self.origin(head, service),
        };
        self.on_residency(id, &entry);
        self.write(id, Some(&entry)).await
    }

    fn origin(&self, submission: &Submission, service: &Arc<str>) -> Option<SubmissionOrigin> {
        let has_regions = self.parts.topology.has_regions();
        has_regions.then(|| SubmissionOrigin {
            host: submission.host.clone(),
            path: submission.path.clone(),
            organisation: submission.organisation.clone(),
            service: service.clone(),
        })
    }

    /// Marks a submission as ended. If that fails, the submission's owner retries it.
    pub(crate) async fn mark_ended(&self, id: &Arc<str>) {
        let Some(entry) = self.with_entry(id, IndexEntry::clone) else {
            return;
        };
        let ended = IndexEntry {
            is_ended: true,
            ..entry
        };
        if let Err(error) = self.write(id, Some(&ended)).await {
            log::info!(submission = &**id, error:% = error; "submission not marked as ended in the index; its owner will retry");
        }
    }

    /// Removes a submission's entry.
    pub(crate) async fn remove(&self, id: &Arc<str>) -> Result<(), StoreError> {
        self.write(id, None).await
    }

    async fn write(&self, id: &Arc<str>, entry: Option<&IndexEntry>) -> Result<(), StoreError> {
        let value = entry.map(|entry| serde_json::to_vec(entry).expect("plain data"));
        let record = [(id.clone(), Bytes::from(value.unwrap_or_default()))];
        self.parts
            .store
            .append(Topic::Index, ONLY_PARTITION, &record, None)
            .await
            .map(|_| ())
    }
}

impl RecordView for SubmissionIndex {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let mut unconfirmed = self.unconfirmed.borrow_mut();
            if let Ok(at) = unconfirmed.binary_search(&record.key) {
                unconfirmed.remove(at);
            }
            drop(unconfirmed);
            let Some(value) = &record.value else {
                self.entries.borrow_mut().remove(&record.key);
                // One without a model is its own trainer, of which there may be any number.
                self.demand.borrow_mut().remove(&record.key);
                self.looked_up.borrow_mut().remove(&record.key);
                self.restricted.borrow_mut().remove(&record.key);
                continue;
            };
            match serde_json::from_slice::<IndexEntry>(value) {
                Ok(entry) => {
                    if !entry.is_ended {
                        let mut demand = self.demand.borrow_mut();
                        demand.insert(entry.trainer.clone(), entry.demand);
                    }
                    self.on_residency(&record.key, &entry);
                    self.entries.borrow_mut().insert(record.key.clone(), entry);
                }
                Err(error) if self.undecodable.is_new(&record.key) => {
                    log::error!(submission = &*record.key, error:% = error; "index entry cannot be decoded; ignoring it");
                }
                Err(_) => {}
            }
        }
        self.changed.notify_waiters();
    }

    fn on_caught_up(&self) {
        self.is_known.set(true);
    }

    /// Keeps the entries until the next load: a submission that runs must not stop for that time.
    fn on_gap(&self) {
        let entries = self.entries.borrow();
        *self.unconfirmed.borrow_mut() = entries.keys().cloned().collect();
    }

    fn on_loaded(&self, _next_offset: u64) {
        for id in self.unconfirmed.take() {
            self.entries.borrow_mut().remove(&id);
        }
        self.changed.notify_waiters();
    }
}
