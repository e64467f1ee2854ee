//! Following a partition of the store.

use std::{cell::Cell, rc::Rc};

use borageshore_net::{Clock, sleep_ms};
use borageshore_platform::{KeyedRecord, Page, Store, StoreError, Topic};

/// How long a read waits at the store for a record. A connection that went silent shows when the
/// answer is late by more than the store's slack, so this bounds how old a view can get unnoticed.
const WAIT_MS: u64 = 1_200;
/// The pause after a failed read.
const RETRY_MS: u64 = 150;

/// The partition of topics that are read whole by everybody: one read brings all their records, in one
/// order.
pub(crate) const ONLY_PARTITION: u64 = 0;

/// Folds the records of a partition.
pub(crate) trait Fold {
    /// Takes records in the order of their offsets.
    fn apply(&self, records: &[KeyedRecord]);
    /// Notes that all records up to now were applied.
    fn on_fresh(&self) {}
    /// Notes that records may have been missed: what comes next begins at the newest records, or at
    /// the end.
    fn on_gap(&self) {}
}

/// Where a follower begins, and goes on after a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Begin {
    /// With the newest record of each key.
    Newest,
    /// With what is appended from now on.
    End,
}

/// A followed partition.
#[derive(Debug)]
pub(crate) struct Follow<Folded> {
    store: Store,
    topic: Topic,
    partition: u64,
    begin: Begin,
    clock: Clock,
    /// Records that come close together are read together: the pause before the next read.
    pause_ms: u64,
    /// The next offset; `None` until the newest records were read.
    next: Cell<Option<u64>>,
    fresh_at_ms: Cell<Option<u64>>,
    is_lost: Cell<bool>,
    is_stopped: Cell<bool>,
    fold: Rc<Folded>,
}

impl<Folded> Follow<Folded>
where
    Folded: Fold + 'static,
{
    /// Follows a partition on the present event loop.
    pub(crate) fn spawn(
        store: Store,
        topic: Topic,
        partition: u64,
        begin: Begin,
        clock: Clock,
        pause_ms: u64,
        fold: Rc<Folded>,
    ) -> Rc<Self> {
        let follow = Rc::new(Self {
            store,
            topic,
            partition,
            begin,
            clock,
            pause_ms,
            next: Cell::new(None),
            fresh_at_ms: Cell::new(None),
            is_lost: Cell::new(false),
            is_stopped: Cell::new(false),
            fold,
        });
        monoio::spawn(follow.clone().run());
        follow
    }

    /// The offset after the last applied record; `None` before the first read.
    pub(crate) fn next_offset(&self) -> Option<u64> {
        self.next.get()
    }

    /// How long ago the view was known to be whole; `None` before the first read.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        Some(self.clock.now_ms() - self.fresh_at_ms.get()?)
    }

    /// Makes sure that the view is no older than `age_ms`, by a read of its own if need be.
    pub(crate) async fn confirm(&self, age_ms: u64) -> bool {
        if self.age_ms().is_some_and(|age| age <= age_ms) {
            return true;
        }
        self.read(0).await.is_ok()
    }

    /// Ends the following once the present read is over.
    pub(crate) fn stop(&self) {
        self.is_stopped.set(true);
    }

    async fn run(self: Rc<Self>) {
        while !self.is_stopped.get() {
            let read = match self.next.get() {
                None => self.load().await,
                Some(_) => self.read(WAIT_MS).await,
            };
            match read {
                Ok(0) => {}
                Ok(_) => sleep_ms(self.pause_ms).await,
                Err(StoreError::Expired { first }) => {
                    log::info!(topic:? = self.topic, partition = self.partition, first; "history is gone, the view begins anew");
                    self.next.set(None);
                    self.fold.on_gap();
                }
                Err(error) => {
                    self.note_loss(&error);
                    sleep_ms(RETRY_MS).await;
                }
            }
        }
    }

    async fn load(&self) -> Result<usize, StoreError> {
        let page = match self.begin {
            Begin::Newest => self.store.newest(self.topic, self.partition, "").await?,
            Begin::End => Page {
                end: self.store.end(self.topic, self.partition).await?,
                records: Vec::new(),
            },
        };
        Ok(self.take(page, 0))
    }

    async fn read(&self, wait_ms: u64) -> Result<usize, StoreError> {
        let Some(from) = self.next.get() else {
            return Err(StoreError::NotDone("nothing was read yet".into()));
        };
        let page = self
            .store
            .read(self.topic, self.partition, from, wait_ms)
            .await?;
        Ok(self.take(page, from))
    }

    /// Applies what is new: two reads may bring the same records.
    fn take(&self, page: Page, from: u64) -> usize {
        if self.is_stopped.get() {
            return 0;
        }
        let applied = self.next.get().unwrap_or(0);
        let new = page
            .records
            .partition_point(|record| record.offset < applied);
        let records = &page.records[new..];
        let after_last = page.records.last().map_or(from, |last| last.offset + 1);
        let is_snapshot = self.next.get().is_none();
        let next = if is_snapshot { page.end } else { after_last };
        self.next.set(Some(applied.max(next)));
        if after_last >= page.end || is_snapshot {
            self.fresh_at_ms.set(Some(self.clock.now_ms()));
            self.fold.on_fresh();
        }
        if self.is_lost.replace(false) {
            log::info!(topic:? = self.topic, partition = self.partition; "store regained");
        }
        if !records.is_empty() {
            self.fold.apply(records);
        }
        records.len()
    }

    fn note_loss(&self, error: &StoreError) {
        if !self.is_lost.replace(true) {
            log::warn!(topic:? = self.topic, partition = self.partition, error:% = error; "store lost");
        }
    }
}
