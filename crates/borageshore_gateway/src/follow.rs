//! Reads a partition of the store continuously and applies its records to a view.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use borageshore_batch::ViewPosition;
use borageshore_net::{Clock, boot_time_ms, sleep_ms};
use borageshore_platform::{KeyedRecord, StoreError, Topic};

use crate::store_transport::Store;

/// How long a read waits at the store for a record. A dead connection is detected when the response is late, so
/// this limits the age that a view can reach unnoticed.
pub(crate) const LONG_POLL_MS: u64 = 1_200;
/// The pause after a failed read.
const RETRY_MS: u64 = 150;

/// The maximum number of reads to confirm a view: a page has a megabyte, and a partition accepts 20 MB a second.
const MAX_CONFIRM_READS: usize = 40;

/// The partition of topics that every daemon reads as a whole: a single one gives their records a total order.
pub(crate) const ONLY_PARTITION: u64 = 0;

/// A view that is built from the records of a partition.
pub(crate) trait RecordView {
    /// Applies records, in the order of their offsets.
    fn apply(&self, records: &[KeyedRecord]);
    /// Called when a read reached the end of the partition, before its records are applied.
    fn on_caught_up(&self) {}
    /// Called when records may have been missed; the next ones are those that [`RecordSource::load`] returns.
    fn on_gap(&self) {}
    /// Called when the records that [`RecordSource::load`] returned have been applied; they reach up to `next_offset`.
    fn on_loaded(&self, _next_offset: u64) {}
}

/// Where a follower reads a partition.
pub(crate) trait RecordSource {
    fn topic(&self) -> Topic;
    fn partition(&self) -> u64;
    /// Reads what a view starts with.
    fn load(&self) -> impl Future<Output = Result<SourcePage, StoreError>>;
    /// Reads records from an offset on; waits up to `wait_ms` if there are none yet.
    fn read(&self, from: u64, wait_ms: u64)
    -> impl Future<Output = Result<SourcePage, StoreError>>;
}

/// Records that a source returned, by offset.
#[derive(Debug)]
pub(crate) struct SourcePage {
    pub(crate) records: Vec<KeyedRecord>,
    /// The offset at which the next read continues.
    pub(crate) next_offset: u64,
    /// When the request was sent to the store that showed these records to reach the end of the partition, in ms of
    /// the boot-time clock; `None` if they don't, or if that is known from an earlier page.
    pub(crate) current_at_ms: Option<u64>,
}

/// Where a follower starts, and restarts after a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartFrom {
    /// At the newest record of each key.
    Newest,
    /// At the end of the partition.
    End,
}

/// A partition that is read from the store.
#[derive(Debug, Clone)]
pub(crate) struct StorePartition {
    pub(crate) store: Store,
    pub(crate) topic: Topic,
    pub(crate) partition: u64,
    pub(crate) start_from: StartFrom,
}

impl RecordSource for StorePartition {
    fn topic(&self) -> Topic {
        self.topic
    }

    fn partition(&self) -> u64 {
        self.partition
    }

    async fn load(&self) -> Result<SourcePage, StoreError> {
        let requested_at_ms = boot_time_ms();
        let (store, topic, partition) = (&self.store, self.topic, self.partition);
        let (records, end) = match self.start_from {
            StartFrom::Newest => {
                let page = store.newest(topic, partition, "").await?;
                (page.records, page.end)
            }
            StartFrom::End => (Vec::new(), store.end(topic, partition).await?),
        };
        Ok(SourcePage {
            records,
            next_offset: end,
            current_at_ms: Some(requested_at_ms),
        })
    }

    async fn read(&self, from: u64, wait_ms: u64) -> Result<SourcePage, StoreError> {
        let requested_at_ms = boot_time_ms();
        let read = self.store.read(self.topic, self.partition, from, wait_ms);
        let page = read.await?;
        let next_offset = page.records.last().map_or(from, |last| last.offset + 1);
        Ok(SourcePage {
            records: page.records,
            next_offset,
            current_at_ms: (next_offset >= page.end).then_some(requested_at_ms),
        })
    }
}

/// The settings of a follower.
#[derive(Debug, Clone)]
pub(crate) struct FollowSpec<Source> {
    pub(crate) source: Source,
    pub(crate) clock: Clock,
    /// The pause after a read that brought records, so that those that follow closely are read together.
    pub(crate) pause_ms: u64,
}

/// Follows a partition and applies its records to a view.
#[derive(Debug)]
pub(crate) struct Follower<View, Source = StorePartition> {
    spec: FollowSpec<Source>,
    position: RefCell<ViewPosition>,
    is_failing: Cell<bool>,
    is_stopped: Cell<bool>,
    view: Rc<View>,
}

impl<View, Source> Follower<View, Source>
where
    View: RecordView + 'static,
    Source: RecordSource + 'static,
{
    /// Starts to follow a partition on the current thread's event loop.
    pub(crate) fn spawn(spec: FollowSpec<Source>, view: Rc<View>) -> Rc<Self> {
        let follower = Rc::new(Self {
            spec,
            position: RefCell::default(),
            is_failing: Cell::new(false),
            is_stopped: Cell::new(false),
            view,
        });
        monoio::spawn(follower.clone().run());
        follower
    }

    /// The offset after the last applied record; `None` before the first read.
    pub(crate) fn next_offset(&self) -> Option<u64> {
        self.position.borrow().next_offset()
    }

    /// Brings the view to an age of at most `age_ms`, with additional reads if necessary; returns whether that
    /// succeeded.
    pub(crate) async fn confirm(&self, age_ms: u64) -> bool {
        let is_current = || self.is_current_within(age_ms);
        is_current() || self.read_until(is_current).await
    }

    /// Brings the view up to the present end of the partition, always with a new read; returns whether that
    /// succeeded.
    pub(crate) async fn confirm_now(&self) -> bool {
        let since_ms = self.spec.clock.now_ms();
        let is_current = || self.position.borrow().is_current_since(since_ms);
        self.read_until(is_current).await
    }

    async fn read_until<Current>(&self, is_current: Current) -> bool
    where
        Current: Fn() -> bool,
    {
        for _ in 0..MAX_CONFIRM_READS {
            if self.read(0).await.is_err() || is_current() {
                break;
            }
        }
        is_current()
    }

    /// Returns whether the view was up to date within the last `age_ms`.
    pub(crate) fn is_current_within(&self, age_ms: u64) -> bool {
        let position = self.position.borrow();
        position.is_current_within(age_ms, self.spec.clock.now_ms())
    }

    /// When the newest read that brought the view up to date was sent, in ms of the boot-time clock, which also runs
    /// during suspension.
    pub(crate) fn requested_at_ms(&self) -> Option<u64> {
        self.position.borrow().requested_at_ms()
    }

    /// Stops the follower after the current read.
    pub(crate) fn stop(&self) {
        self.is_stopped.set(true);
    }

    async fn run(self: Rc<Self>) {
        while !self.is_stopped.get() {
            let read = match self.next_offset() {
                None => self.load().await,
                Some(_) => self.read(LONG_POLL_MS).await,
            };
            match read {
                Ok(0) => {}
                Ok(_) => sleep_ms(self.spec.pause_ms).await,
                Err(StoreError::Expired { first }) => {
                    log::info!(topic:? = self.spec.source.topic(), partition = self.spec.source.partition(), first; "records expired before they were read; restarting the view");
                    self.position.borrow_mut().reset();
                    self.view.on_gap();
                }
                Err(error) => {
                    self.on_store_error(&error);
                    sleep_ms(RETRY_MS).await;
                }
            }
        }
    }

    async fn load(&self) -> Result<usize, StoreError> {
        let page = self.spec.source.load().await?;
        let next_offset = page.next_offset;
        let applied = self.take(page);
        if !self.is_stopped.get() {
            self.view.on_loaded(next_offset);
        }
        Ok(applied)
    }

    async fn read(&self, wait_ms: u64) -> Result<usize, StoreError> {
        let Some(from) = self.next_offset() else {
            return Err(StoreError::NotDone("nothing was read yet".into()));
        };
        let page = self.spec.source.read(from, wait_ms).await?;
        if self.next_offset().is_none() {
            // After a gap the view begins with what the next load returns.
            return Err(StoreError::NotDone("records were missed meanwhile".into()));
        }
        Ok(self.take(page))
    }

    /// Applies the records that are new, as two reads may return the same ones; returns their number.
    fn take(&self, page: SourcePage) -> usize {
        if self.is_stopped.get() {
            return 0;
        }
        let applied = self.next_offset().unwrap_or(0);
        let first_new = page
            .records
            .partition_point(|record| record.offset < applied);
        let records = &page.records[first_new..];
        if self.move_to(&page) {
            self.view.on_caught_up();
        }
        if self.is_failing.replace(false) {
            log::info!(topic:? = self.spec.source.topic(), partition = self.spec.source.partition(); "store regained");
        }
        if !records.is_empty() {
            self.view.apply(records);
        }
        if let Some(current_at_ms) = page.current_at_ms {
            self.position.borrow_mut().on_response(current_at_ms);
        }
        records.len()
    }

    /// Moves the position behind a page's records; returns whether the view is up to date now.
    fn move_to(&self, page: &SourcePage) -> bool {
        let now_ms = self.spec.clock.now_ms();
        let mut position = self.position.borrow_mut();
        if position.next_offset().is_none() {
            position.on_snapshot(page.next_offset, now_ms);
            return true;
        }
        let end = match page.current_at_ms {
            Some(_) => page.next_offset,
            None => u64::MAX,
        };
        position.on_page(page.next_offset, end, now_ms)
    }

    fn on_store_error(&self, error: &StoreError) {
        if !self.is_failing.replace(true) {
            log::warn!(topic:? = self.spec.source.topic(), partition = self.spec.source.partition(), error:% = error; "store lost");
        }
    }
}
