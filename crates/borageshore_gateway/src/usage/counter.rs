//! Counts this daemon's requests and writes the totals to the store.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::rendezvous_weight;
use borageshore_net::sleep_ms;
use borageshore_platform::{StoreError, Topic};
use borageshore_usage::{OwnCounts, UsageTiming, Window};
use bytes::Bytes;
use tokio::sync::Notify;

use super::records::{TotalWriter, total_record};
use crate::{members::Members, store_transport::Store, true_time::SharedTime};

/// The pause between two appends, per live daemon, so that all daemons together make at most 200 appends a second. A
/// daemon that is killed loses the counts of one pause.
const PAUSE_MS_PER_DAEMON: u64 = 5;
/// The minimum pause between two appends.
const MIN_PAUSE_MS: u64 = 50;
/// The pause after a failed append.
const RETRY_MS: u64 = 300;

/// Counts requests by organisation and window.
///
/// A count is appended at once, and those of the following pause in one batch: a daemon that is killed loses nothing at
/// low rates and a small part at high rates.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    timing: UsageTiming,
    time: Rc<SharedTime>,
    store: Store,
    members: Rc<Members>,
    partitions: u64,
    counts: RefCell<OwnCounts>,
    /// Part of the keys; incremented after an append with an unknown outcome, so that a late write cannot overwrite a
    /// newer total.
    generation: Cell<u64>,
    is_writing: Cell<bool>,
    /// Whether the last append failed.
    is_failing: Cell<bool>,
    counted: Notify,
}

impl UsageCounter {
    pub(crate) fn spawn(
        timing: UsageTiming,
        time: Rc<SharedTime>,
        store: Store,
        members: Rc<Members>,
        partitions: u64,
    ) -> Rc<Self> {
        let counter = Rc::new(Self {
            timing,
            time,
            store,
            members,
            partitions: partitions.max(1),
            counts: RefCell::default(),
            generation: Cell::new(0),
            is_writing: Cell::new(false),
            is_failing: Cell::new(false),
            counted: Notify::new(),
        });
        monoio::spawn(counter.clone().run());
        counter
    }

    /// Whether any count is not in the store yet.
    pub(crate) fn has_unwritten(&self) -> bool {
        self.is_writing.get() || self.counts.borrow().is_dirty()
    }

    fn add(&self, organisation: &Arc<str>, started_at_ms: u64) {
        let window = Window::at(started_at_ms, self.timing.window_ms);
        self.counts.borrow_mut().add(window, organisation, 1);
        self.counted.notify_one();
    }

    async fn run(self: Rc<Self>) {
        loop {
            self.counted.notified().await;
            while self.counts.borrow().is_dirty() {
                self.is_writing.set(true);
                let flushed = self.flush().await;
                self.is_writing.set(false);
                let live_daemons = self.members.count() as u64;
                match flushed {
                    Ok(()) => {
                        self.is_failing.set(false);
                        sleep_ms(MIN_PAUSE_MS.max(live_daemons * PAUSE_MS_PER_DAEMON)).await;
                    }
                    Err(error) => {
                        if !self.is_failing.replace(true) {
                            log::info!(error:% = error; "usage counts not written to the store; retrying");
                        }
                        sleep_ms(RETRY_MS).await;
                    }
                }
            }
        }
    }

    async fn flush(&self) -> Result<(), StoreError> {
        let oldest = self.timing.first_reportable(self.time.unix_ms());
        self.counts.borrow_mut().expire_before(oldest);
        let dirty = self.counts.borrow_mut().take_dirty();
        let (name, incarnation) = self.members.own_identity();
        let writer = TotalWriter {
            incarnation: format!("{name}.{incarnation}").into(),
            generation: self.generation.get(),
        };
        let records: Vec<(Arc<str>, Bytes)> = dirty
            .iter()
            .map(|(window, counts)| total_record(*window, &writer, counts))
            .collect();
        if records.is_empty() {
            return Ok(());
        }
        let partition = rendezvous_weight("usage", &name) % self.partitions;
        let appended = self
            .store
            .append(Topic::Usage, partition, &records, None)
            .await;
        if let Err(error) = &appended {
            if let StoreError::Unknown(_) = error {
                self.generation.set(self.generation.get() + 1);
            }
            let windows = dirty.iter().map(|(window, _)| *window);
            self.counts.borrow_mut().mark_dirty(windows);
        }
        appended.map(|_| ())
    }
}

/// A request of an organisation. It is counted once, when dropped, in the window in which the first attempt that ran or
/// may have run began.
#[derive(Debug)]
pub(crate) struct RequestUsage {
    /// The counter and the organisation; `None` if the request is not counted.
    counted: Option<(Rc<UsageCounter>, Arc<str>)>,
    /// The start of each attempt in estimated true time; `None` for one that did not run.
    attempts: RefCell<Vec<Option<u64>>>,
}

impl RequestUsage {
    /// A request without attempts.
    pub(crate) fn begin(
        counter: Option<&Rc<UsageCounter>>,
        organisation: Option<&Arc<str>>,
    ) -> Self {
        Self {
            counted: counter.cloned().zip(organisation.cloned()),
            attempts: RefCell::default(),
        }
    }

    /// Records the start of an attempt; returns its number.
    pub(crate) fn on_attempt(&self) -> usize {
        let mut attempts = self.attempts.borrow_mut();
        let now_ms = self
            .counted
            .as_ref()
            .map(|(counter, _)| counter.time.unix_ms());
        attempts.push(now_ms);
        attempts.len() - 1
    }

    /// Records that an attempt certainly did not run.
    pub(crate) fn on_not_run(&self, number: usize) {
        if let Some(attempt) = self.attempts.borrow_mut().get_mut(number) {
            *attempt = None;
        }
    }
}

impl Drop for RequestUsage {
    fn drop(&mut self) {
        let started_at_ms = self.attempts.borrow().iter().flatten().min().copied();
        if let (Some((counter, organisation)), Some(started_at_ms)) = (&self.counted, started_at_ms)
        {
            counter.add(organisation, started_at_ms);
        }
    }
}
