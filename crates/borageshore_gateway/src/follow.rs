//! Following a partition of the store.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use borageshore_batch::ViewPosition;
use borageshore_net::{Clock, boot_time_ms, sleep_ms};
use borageshore_platform::{KeyedRecord, Page, StoreError, Topic};

use crate::store_transport::Store;

/// How long a read waits at the store for a record. A connection that went silent shows when the
/// answer is late by more than the store's slack, so this bounds how old a view can get unnoticed.
const WAIT_MS: u64 = 1_200;
/// The pause after a failed read.
const RETRY_MS: u64 = 150;

/// The most reads that confirm a view: pages of a megabyte, and a partition takes 20 MB a second.
const CONFIRMING_READS: usize = 40;

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

/// What is followed, and how.
#[derive(Debug, Clone)]
pub(crate) struct FollowSpec {
    pub(crate) store: Store,
    pub(crate) topic: Topic,
    pub(crate) partition: u64,
    pub(crate) begin: Begin,
    pub(crate) clock: Clock,
    /// Records that come close together are read together: the pause before the next read.
    pub(crate) pause_ms: u64,
}

/// A followed partition.
#[derive(Debug)]
pub(crate) struct Follow<Folded> {
    spec: FollowSpec,
    position: RefCell<ViewPosition>,
    is_lost: Cell<bool>,
    is_stopped: Cell<bool>,
    fold: Rc<Folded>,
}

impl<Folded> Follow<Folded>
where
    Folded: Fold + 'static,
{
    /// Follows a partition on the present event loop.
    pub(crate) fn spawn(spec: FollowSpec, fold: Rc<Folded>) -> Rc<Self> {
        let follow = Rc::new(Self {
            spec,
            position: RefCell::default(),
            is_lost: Cell::new(false),
            is_stopped: Cell::new(false),
            fold,
        });
        monoio::spawn(follow.clone().run());
        follow
    }

    /// The offset after the last applied record; `None` before the first read.
    pub(crate) fn next_offset(&self) -> Option<u64> {
        self.position.borrow().next_offset()
    }

    /// Makes sure that the view is no older than `age_ms`, by reads of its own if need be.
    pub(crate) async fn confirm(&self, age_ms: u64) -> bool {
        let is_whole = || self.is_whole_within(age_ms);
        is_whole() || self.read_until(is_whole).await
    }

    /// Brings the view up to what the store has by now, whatever was read a moment ago.
    pub(crate) async fn confirm_now(&self) -> bool {
        let since_ms = self.spec.clock.now_ms();
        let is_whole = || self.position.borrow().is_current_since(since_ms);
        self.read_until(is_whole).await
    }

    async fn read_until<Whole>(&self, is_whole: Whole) -> bool
    where
        Whole: Fn() -> bool,
    {
        for _ in 0..CONFIRMING_READS {
            if self.read(0).await.is_err() || is_whole() {
                break;
            }
        }
        is_whole()
    }

    /// Says whether the view was whole within the last `age_ms`.
    pub(crate) fn is_whole_within(&self, age_ms: u64) -> bool {
        let position = self.position.borrow();
        position.is_current_within(age_ms, self.spec.clock.now_ms())
    }

    /// When the newest question was asked whose answer made the view whole, on the clock that counts suspensions.
    pub(crate) fn asked_at_ms(&self) -> Option<u64> {
        self.position.borrow().requested_at_ms()
    }

    /// Ends the following once the present read is over.
    pub(crate) fn stop(&self) {
        self.is_stopped.set(true);
    }

    async fn run(self: Rc<Self>) {
        while !self.is_stopped.get() {
            let read = match self.next_offset() {
                None => self.load().await,
                Some(_) => self.read(WAIT_MS).await,
            };
            match read {
                Ok(0) => {}
                Ok(_) => sleep_ms(self.spec.pause_ms).await,
                Err(StoreError::Expired { first }) => {
                    log::info!(topic:? = self.spec.topic, partition = self.spec.partition, first; "history is gone, the view begins anew");
                    self.position.borrow_mut().reset();
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
        let asked_at_ms = boot_time_ms();
        let page = match self.spec.begin {
            Begin::Newest => {
                self.spec
                    .store
                    .newest(self.spec.topic, self.spec.partition, "")
                    .await?
            }
            Begin::End => Page {
                end: self
                    .spec
                    .store
                    .end(self.spec.topic, self.spec.partition)
                    .await?,
                records: Vec::new(),
            },
        };
        Ok(self.take(page, 0, asked_at_ms))
    }

    async fn read(&self, wait_ms: u64) -> Result<usize, StoreError> {
        let Some(from) = self.next_offset() else {
            return Err(StoreError::NotDone("nothing was read yet".into()));
        };
        let spec = &self.spec;
        let asked_at_ms = boot_time_ms();
        let page = spec
            .store
            .read(spec.topic, spec.partition, from, wait_ms)
            .await?;
        Ok(self.take(page, from, asked_at_ms))
    }

    /// Applies what is new: two reads may bring the same records.
    fn take(&self, page: Page, from: u64, asked_at_ms: u64) -> usize {
        if self.is_stopped.get() {
            return 0;
        }
        let applied = self.next_offset().unwrap_or(0);
        let new = page
            .records
            .partition_point(|record| record.offset < applied);
        let records = &page.records[new..];
        let after_last = page.records.last().map_or(from, |last| last.offset + 1);
        let is_whole = self.move_to(after_last, page.end);
        if is_whole {
            self.fold.on_fresh();
        }
        if self.is_lost.replace(false) {
            log::info!(topic:? = self.spec.topic, partition = self.spec.partition; "store regained");
        }
        if !records.is_empty() {
            self.fold.apply(records);
        }
        if is_whole {
            self.position.borrow_mut().on_response(asked_at_ms);
        }
        records.len()
    }

    /// Moves to the end of a read; says whether the view is whole now.
    fn move_to(&self, after_last: u64, end: u64) -> bool {
        let now_ms = self.spec.clock.now_ms();
        let mut position = self.position.borrow_mut();
        if position.next_offset().is_some() {
            return position.on_page(after_last, end, now_ms);
        }
        position.on_snapshot(end, now_ms);
        true
    }

    fn note_loss(&self, error: &StoreError) {
        if !self.is_lost.replace(true) {
            log::warn!(topic:? = self.spec.topic, partition = self.spec.partition, error:% = error; "store lost");
        }
    }
}
