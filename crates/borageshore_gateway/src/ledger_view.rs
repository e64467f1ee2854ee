//! This daemon's view of the submissions: new records as they come, older ones when they are needed.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::{SortedMap, rendezvous_weight};
use borageshore_batch::{Ledger, LedgerRecord, OpenSubmission, Submission, SubmissionState};
use borageshore_net::Clock;
use borageshore_platform::{KeyedRecord, Store, Topic};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::follow::{Begin, Fold, Follow, ONLY_PARTITION};

/// Records of results come in bursts; reading them together saves most of the reads.
const FOLLOW_PAUSE_MS: u64 = 25;
/// A trainer repeats a submission within seconds. A record that accepts one, read later than this
/// after the view began, is the first of it; before that it may be the second.
const REPEATED_WITHIN_MS: u64 = 10_000;

/// The partition of a submission's records.
pub(crate) fn partition_of(submission: &str, partitions: u64) -> u64 {
    rendezvous_weight("partition", submission) % partitions.max(1)
}

/// The submissions as this daemon knows them.
#[derive(Debug)]
pub(crate) struct LedgerView {
    store: Store,
    clock: Clock,
    partitions: u64,
    ledger: RefCell<Ledger>,
    open: RefCell<SortedMap<Arc<str>, OpenSubmission>>,
    loading: RefCell<Vec<Arc<str>>>,
    follows: RefCell<Vec<Rc<Follow<PartitionFold>>>>,
    open_follow: RefCell<Option<Rc<Follow<OpenFold>>>>,
    /// Told when anything changed.
    pub(crate) changed: Notify,
}

impl LedgerView {
    /// Follows all partitions on the present event loop.
    pub(crate) fn spawn(store: Store, partitions: u64, clock: Clock) -> Rc<Self> {
        let view = Rc::new(Self {
            store: store.clone(),
            clock,
            partitions,
            ledger: RefCell::default(),
            open: RefCell::default(),
            loading: RefCell::default(),
            follows: RefCell::default(),
            open_follow: RefCell::default(),
            changed: Notify::new(),
        });
        let follow = |partition| {
            let fold = PartitionFold {
                view: view.clone(),
                partition,
                began_at_ms: Cell::new(None),
            };
            Follow::spawn(
                store.clone(),
                Topic::Batch,
                partition,
                Begin::End,
                clock,
                FOLLOW_PAUSE_MS,
                Rc::new(fold),
            )
        };
        *view.follows.borrow_mut() = (0..partitions).map(follow).collect();
        let open_follow = Follow::spawn(
            store,
            Topic::Open,
            ONLY_PARTITION,
            Begin::Newest,
            clock,
            FOLLOW_PAUSE_MS,
            Rc::new(OpenFold { view: view.clone() }),
        );
        *view.open_follow.borrow_mut() = Some(open_follow);
        view
    }

    /// Says whether every partition is being followed.
    pub(crate) fn is_known(&self) -> bool {
        let follows = self.follows.borrow();
        let open_follow = self.open_follow.borrow();
        let is_open_known = open_follow
            .as_ref()
            .is_some_and(|follow| follow.next_offset().is_some());
        is_open_known && follows.iter().all(|follow| follow.next_offset().is_some())
    }

    /// Runs a function on the ledger.
    pub(crate) fn with<Use, Made>(&self, make: Use) -> Made
    where
        Use: FnOnce(&Ledger) -> Made,
    {
        make(&self.ledger.borrow())
    }

    /// Runs a function on a submission whose records are all here.
    pub(crate) fn with_loaded<Use, Made>(&self, id: &str, make: Use) -> Option<Made>
    where
        Use: FnOnce(&SubmissionState) -> Made,
    {
        let ledger = self.ledger.borrow();
        let state = ledger.get(id).filter(|state| state.is_loaded())?;
        Some(make(state))
    }

    /// The submissions that are not ended, with what decides who runs them.
    pub(crate) fn open(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let open = self.open.borrow();
        open.iter()
            .map(|(id, entry)| (id.clone(), entry.work_key.clone()))
            .collect()
    }

    /// Says whether an earlier acceptance of a submission would be known here.
    pub(crate) fn is_settled(&self, id: &str) -> bool {
        let follows = self.follows.borrow();
        follows[self.partition_of(id) as usize].fold().is_settled()
    }

    /// Makes sure that the view of a submission's partition is no older than `age_ms`.
    pub(crate) async fn confirm(&self, id: &str, age_ms: u64) -> bool {
        let follow = self.follows.borrow()[self.partition_of(id) as usize].clone();
        follow.confirm(age_ms).await
    }

    /// Reads the records of a submission unless they are here; says whether they are now.
    pub(crate) async fn load(&self, id: &Arc<str>) -> bool {
        loop {
            let changed = self.changed.notified();
            if self.with_loaded(id, |_| ()).is_some() {
                return true;
            }
            if !self.loading.borrow().contains(id) {
                break;
            }
            changed.await;
        }
        self.loading.borrow_mut().push(id.clone());
        let _loading = Loading { view: self, id };
        self.load_now(id).await
    }

    async fn load_now(&self, id: &Arc<str>) -> bool {
        let partition = self.partition_of(id);
        let follow = self.follows.borrow()[partition as usize].clone();
        // What is read now must reach to where the follower began, so it has to have begun.
        if follow.next_offset().is_none() {
            return false;
        }
        let prefix = LedgerRecord::key_prefix(id);
        match self.store.newest(Topic::Batch, partition, &prefix).await {
            Ok(page) => {
                let entries = page.records.into_iter().filter_map(entry).collect();
                let now_ms = self.clock.now_ms();
                self.ledger.borrow_mut().load(id, entries, page.end, now_ms);
                log::info!(submission = &**id, end = page.end; "submission loaded");
                true
            }
            Err(error) => {
                log::warn!(submission = &**id, error:% = error; "submission not loaded");
                false
            }
        }
    }

    /// The records that tell the index of an accepted and of an ended submission.
    pub(crate) fn open_record(submission: &Submission) -> (Arc<str>, Bytes) {
        let entry = OpenSubmission {
            work_key: submission.work_key().clone(),
        };
        let value = serde_json::to_vec(&entry).expect("plain data");
        (submission.id.clone(), value.into())
    }

    /// Takes a submission out of the index; left in, it costs its owner a look.
    pub(crate) async fn close(&self, id: &Arc<str>) {
        let record = [(id.clone(), Bytes::new())];
        let closed = self
            .store
            .append(Topic::Open, ONLY_PARTITION, &record, None)
            .await;
        if let Err(error) = closed {
            log::info!(submission = &**id, error:% = error; "submission stays in the index for now");
        }
    }

    fn partition_of(&self, id: &str) -> u64 {
        partition_of(id, self.partitions)
    }
}

/// Marks a submission as being loaded.
struct Loading<'v> {
    view: &'v LedgerView,
    id: &'v Arc<str>,
}

impl Drop for Loading<'_> {
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

/// Folds one partition of the submissions' records.
#[derive(Debug)]
pub(crate) struct PartitionFold {
    view: Rc<LedgerView>,
    partition: u64,
    began_at_ms: Cell<Option<u64>>,
}

impl PartitionFold {
    fn is_settled(&self) -> bool {
        let began_at_ms = self.began_at_ms.get();
        began_at_ms.is_some_and(|began| self.view.clock.now_ms() >= began + REPEATED_WITHIN_MS)
    }
}

impl Fold for PartitionFold {
    fn apply(&self, records: &[KeyedRecord]) {
        let now_ms = self.view.clock.now_ms();
        let begins = self.is_settled();
        let mut ledger = self.view.ledger.borrow_mut();
        for record in records {
            match entry(record.clone()) {
                Some(entry) => ledger.apply(entry, begins, now_ms),
                None => ledger.remove(&record.key),
            }
        }
        drop(ledger);
        self.view.changed.notify_waiters();
    }

    fn on_fresh(&self) {
        if self.began_at_ms.get().is_none() {
            self.began_at_ms.set(Some(self.view.clock.now_ms()));
        }
    }

    fn on_gap(&self) {
        self.began_at_ms.set(None);
        let (partition, partitions) = (self.partition, self.view.partitions);
        let is_lost = |id: &str| partition_of(id, partitions) == partition;
        self.view.ledger.borrow_mut().unload(is_lost);
        self.view.changed.notify_waiters();
    }
}

/// Folds the index of open submissions.
#[derive(Debug)]
struct OpenFold {
    view: Rc<LedgerView>,
}

impl Fold for OpenFold {
    fn apply(&self, records: &[KeyedRecord]) {
        let mut open = self.view.open.borrow_mut();
        for record in records {
            let Some(value) = &record.value else {
                open.remove(&record.key);
                continue;
            };
            match serde_json::from_slice(value) {
                Ok(entry) => {
                    open.insert(record.key.clone(), entry);
                }
                Err(error) => {
                    log::error!(submission = &*record.key, error:% = error; "an entry of the index cannot be read");
                }
            }
        }
        drop(open);
        self.view.changed.notify_waiters();
    }

    fn on_gap(&self) {
        self.view.open.borrow_mut().retain(|_, _| false);
    }
}
