//! The items of a submission that have no result yet, and which of them are started.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use borageshore_batch::{
    ItemRank, StartWindow, StartedItems, Submission, WorkHold, mean_hint_tokens, rank_items,
};
use futures_util::future::select;
use tokio::sync::Notify;

use super::{ItemContext, ItemSchedule, run_item};

/// How far a started item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    Placed,
    Generated,
}

/// The started items of all submissions, against the bound that the memory of the process sets.
#[derive(Debug)]
pub(crate) struct StartedTotal {
    count: Cell<u64>,
    most: u64,
}

impl StartedTotal {
    pub(crate) fn open(most: u64) -> Rc<Self> {
        Rc::new(Self {
            count: Cell::default(),
            most,
        })
    }

    /// The number of started items that have no result yet.
    pub(crate) fn count(&self) -> u64 {
        self.count.get()
    }
}

/// Starts the items of a submission in their order, as engines can run them.
#[derive(Debug)]
pub(crate) struct ItemQueue {
    context: Rc<ItemContext>,
    submission: Arc<Submission>,
    seen_at_ms: u64,
    mean_hint_tokens: Option<u64>,
    /// The items that are not started, the next one last.
    pending: RefCell<Vec<ItemRank>>,
    started: Cell<StartedItems>,
    slots: Cell<u64>,
    is_cancelled: Cell<bool>,
    cancelled: Notify,
    /// For the items that it may start in any case.
    _hold: WorkHold,
}

impl ItemQueue {
    /// Starts to run the items at the positions `pending` of a submission.
    pub(crate) fn spawn(
        context: Rc<ItemContext>,
        submission: Arc<Submission>,
        seen_at_ms: u64,
        pending: &[usize],
        hold: WorkHold,
    ) -> Rc<Self> {
        let ranks = rank_items(&submission);
        let mut pending: Vec<ItemRank> = pending.iter().map(|index| ranks[*index]).collect();
        pending.sort_unstable_by(|rank, other| other.cmp(rank));
        let queue = Rc::new(Self {
            context,
            mean_hint_tokens: mean_hint_tokens(&submission),
            submission,
            seen_at_ms,
            pending: RefCell::new(pending),
            started: Cell::default(),
            slots: Cell::default(),
            is_cancelled: Cell::default(),
            cancelled: Notify::new(),
            _hold: hold,
        });
        queue.refresh();
        queue
    }

    pub(crate) fn submission(&self) -> &Arc<Submission> {
        &self.submission
    }

    /// The number of items that are not started.
    pub(crate) fn pending(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Starts the items for which there is room by now: the slots, the memory and the store's pace change without notice.
    pub(crate) fn refresh(self: &Rc<Self>) {
        if self.pending.borrow().is_empty() {
            return;
        }
        let Submission { host, path, .. } = &*self.submission;
        let route = self.context.routes.find(host, path);
        let service = route.as_ref().and_then(|route| route.main_service());
        let endpoints = &self.context.endpoints;
        self.slots
            .set(service.map_or(0, |service| endpoints.slots_of(service)));
        self.start_items();
    }

    /// Cancels the started items and starts no others.
    pub(crate) fn cancel(&self) {
        self.is_cancelled.set(true);
        self.pending.borrow_mut().clear();
        self.cancelled.notify_waiters();
    }

    async fn until_cancelled(&self) {
        let cancelled = self.cancelled.notified();
        if !self.is_cancelled.get() {
            cancelled.await;
        }
    }

    fn start_items(self: &Rc<Self>) {
        let has_room = !self.context.writer.is_behind() && !self.context.memory.is_exceeded();
        if self.pending.borrow().is_empty() || !has_room {
            return;
        }
        let total = &self.context.started_total;
        let window = StartWindow {
            slots: self.slots.get(),
            started_by_all: total.count.get(),
            most_started: total.most,
        };
        for _ in 0..window.free(self.started.get()) {
            let Some(rank) = self.pending.borrow_mut().pop() else {
                return;
            };
            self.start(rank);
        }
    }

    fn start(self: &Rc<Self>, rank: ItemRank) {
        let item = &self.submission.items[rank.index()];
        let schedule = ItemSchedule {
            seen_at_ms: self.seen_at_ms,
            rank,
            hint_tokens: item.length_hint_tokens().or(self.mean_hint_tokens),
        };
        let started = StartedItem::begin(self);
        let (context, submission, queue) =
            (self.context.clone(), self.submission.clone(), self.clone());
        monoio::spawn(async move {
            let running = run_item(context, submission, schedule, started);
            select(pin!(running), pin!(queue.until_cancelled())).await;
        });
    }

    fn count(&self, stage: Stage, change: i64) {
        let mut started = self.started.get();
        let count = match stage {
            Stage::Waiting => &mut started.waiting,
            Stage::Placed => &mut started.placed,
            Stage::Generated => &mut started.generated,
        };
        *count = count.saturating_add_signed(change);
        self.started.set(started);
    }
}

/// A started item, counted in its queue until it is dropped.
#[derive(Debug)]
pub(crate) struct StartedItem {
    queue: Rc<ItemQueue>,
    stage: Cell<Stage>,
}

impl StartedItem {
    fn begin(queue: &Rc<ItemQueue>) -> Self {
        queue.count(Stage::Waiting, 1);
        let total = &queue.context.started_total.count;
        total.set(total.get() + 1);
        Self {
            queue: queue.clone(),
            stage: Cell::new(Stage::Waiting),
        }
    }

    /// The item is sent to an engine for the first time.
    pub(super) fn on_placed(&self) {
        self.enter(Stage::Placed);
    }

    /// The item's text is complete.
    pub(super) fn on_generated(&self) {
        self.enter(Stage::Generated);
    }

    fn enter(&self, stage: Stage) {
        let before = self.stage.replace(stage);
        if before != stage {
            self.queue.count(before, -1);
            self.queue.count(stage, 1);
            self.queue.start_items();
        }
    }
}

impl Drop for StartedItem {
    fn drop(&mut self) {
        self.queue.count(self.stage.get(), -1);
        let total = &self.queue.context.started_total.count;
        total.set(total.get() - 1);
        self.queue.start_items();
    }
}
