//! The index of submissions that are not ended: small, and read by every daemon.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_batch::{OpenSubmission, Submission};
use borageshore_platform::{KeyedRecord, Store, StoreError, Topic};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::follow::{Fold, ONLY_PARTITION};

/// The open submissions by id.
#[derive(Debug)]
pub(crate) struct OpenIndex {
    store: Store,
    open: RefCell<SortedMap<Arc<str>, OpenSubmission>>,
    /// The expected tokens of the newest submission by work key; stays when that is ended.
    demand: RefCell<SortedMap<Arc<str>, u64>>,
    /// Told when the index changed.
    pub(crate) changed: Notify,
}

impl OpenIndex {
    pub(crate) fn open(store: Store) -> Rc<Self> {
        Rc::new(Self {
            store,
            open: RefCell::default(),
            demand: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// The submissions that are not ended, with what decides who runs them.
    pub(crate) fn list(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let open = self.open.borrow();
        open.iter()
            .map(|(id, entry)| (id.clone(), entry.work_key.clone()))
            .collect()
    }

    /// The tokens that the newest submission of a work key is expected to make.
    pub(crate) fn demand_tokens(&self, work_key: &str) -> u64 {
        self.demand.borrow().get(work_key).copied().unwrap_or(0)
    }

    /// Enters a submission.
    pub(crate) async fn enter(&self, submission: &Submission) -> Result<(), StoreError> {
        let entry = OpenSubmission {
            work_key: submission.work_key().clone(),
            expected_tokens: submission.expected_tokens(),
        };
        let value = serde_json::to_vec(&entry).expect("plain data");
        self.write(&submission.id, value.into()).await
    }

    /// Takes a submission out; left in, it costs its owner a look.
    pub(crate) async fn close(&self, id: &Arc<str>) {
        if let Err(error) = self.write(id, Bytes::new()).await {
            log::info!(submission = &**id, error:% = error; "submission stays in the index for now");
        }
    }

    async fn write(&self, id: &Arc<str>, value: Bytes) -> Result<(), StoreError> {
        let record = [(id.clone(), value)];
        self.store
            .append(Topic::Open, ONLY_PARTITION, &record, None)
            .await
            .map(|_| ())
    }
}

impl Fold for OpenIndex {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                self.open.borrow_mut().remove(&record.key);
                continue;
            };
            match serde_json::from_slice::<OpenSubmission>(value) {
                Ok(entry) => {
                    let mut demand = self.demand.borrow_mut();
                    demand.insert(entry.work_key.clone(), entry.expected_tokens);
                    self.open.borrow_mut().insert(record.key.clone(), entry);
                }
                Err(error) => {
                    log::error!(submission = &*record.key, error:% = error; "an entry of the index cannot be read");
                }
            }
        }
        self.changed.notify_waiters();
    }

    fn on_gap(&self) {
        self.open.borrow_mut().retain(|_, _| false);
    }
}
