//! The index of all stored submissions, which every daemon reads.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{Demand, IndexEntry, Submission, work_key};
use borageshore_platform::{KeyedRecord, StoreError, Topic};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    follow::{ONLY_PARTITION, RecordView},
    store_transport::Store,
    true_time::time_of_day_ms,
};

/// A submission that was not ended counts as demand for this long: the longest step of a trainer.
const OPEN_DEMAND_MS: u64 = 300_000;
/// One that was ended counts for this long after it was submitted, as its trainer trains before the next one.
const ENDED_DEMAND_MS: u64 = 60_000;

/// A submission that has not been ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenSubmission {
    pub(crate) id: Arc<str>,
    /// The key that selects the daemon that runs it.
    pub(crate) work_key: Arc<str>,
}

/// The index entries by submission.
#[derive(Debug)]
pub(crate) struct SubmissionIndex {
    store: Store,
    is_known: Cell<bool>,
    entries: RefCell<SortedMap<Arc<str>, IndexEntry>>,
    /// The demand of the newest submission of each trainer.
    demand: RefCell<SortedMap<Arc<str>, Demand>>,
    /// Notified when the index changes.
    pub(crate) changed: Notify,
}

impl SubmissionIndex {
    pub(crate) fn open(store: Store) -> Rc<Self> {
        Rc::new(Self {
            store,
            is_known: Cell::new(false),
            entries: RefCell::default(),
            demand: RefCell::default(),
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
        })
        .collect()
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
    pub(crate) async fn add(
        &self,
        submission: &Submission,
        service: &str,
        slots: u64,
    ) -> Result<(), StoreError> {
        let trainer = submission.trainer().clone();
        let entry = IndexEntry {
            work_key: work_key(service, &trainer, slots),
            trainer,
            demand: Demand {
                tokens: submission.expected_tokens(),
                items: submission.items.len() as u64,
            },
            entered_at_ms: time_of_day_ms(),
            is_ended: false,
        };
        self.write(&submission.id, Some(&entry)).await
    }

    /// Marks a submission as ended. If that fails, the submission's owner retries it.
    pub(crate) async fn mark_ended(&self, id: &Arc<str>) {
        let entry = self.entries.borrow().get(id).cloned();
        let Some(entry) = entry else {
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
        self.store
            .append(Topic::Index, ONLY_PARTITION, &record, None)
            .await
            .map(|_| ())
    }
}

impl RecordView for SubmissionIndex {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                self.entries.borrow_mut().remove(&record.key);
                continue;
            };
            match serde_json::from_slice::<IndexEntry>(value) {
                Ok(entry) => {
                    if !entry.is_ended {
                        let mut demand = self.demand.borrow_mut();
                        demand.insert(entry.trainer.clone(), entry.demand);
                    }
                    self.entries.borrow_mut().insert(record.key.clone(), entry);
                }
                Err(error) => {
                    log::error!(submission = &*record.key, error:% = error; "index entry cannot be decoded; ignoring it");
                }
            }
        }
        self.changed.notify_waiters();
    }

    fn on_caught_up(&self) {
        self.is_known.set(true);
    }

    fn on_gap(&self) {
        self.entries.borrow_mut().retain(|_, _| false);
    }
}
