//! Runs the submissions that this daemon owns.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{HeldKind, Submission, SubmissionState, WorkHold, share_bytes};
use borageshore_diagnostics::Instruments;
use borageshore_net::{sleep_ms, within_ms};
use futures_util::future::select;

use crate::{
    item::{ItemContext, ItemQueue},
    ledger_view::LedgerView,
    mechanisms::Mechanism,
    members::Members,
    submission_index::{OpenSubmission, SubmissionIndex},
    waits::ResidencyWaits,
};

/// The interval at which ownership is checked while submissions are open; the death of a daemon causes no notification.
const RECHECK_INTERVAL_MS: u64 = 250;

/// The pause before a failed read of a submission's records is retried.
const LOAD_RETRY_MS: u64 = 200;

/// How long a takeover waits for saved texts: four reads of a slow store. A text that restarts instead takes up
/// to seven seconds more.
const RESTORE_TIMEOUT_MS: u64 = 1_000;

/// How long a submission of which only a part is stored counts as being accepted. An acceptance that takes longer enters
/// it in the index again.
pub(crate) const ACCEPTANCE_MS: u64 = 10_000;

/// The gauge of the submissions that no daemon in their allowed regions can run.
const WAITING_GAUGE: &str = "submissions_waiting_for_residency";
/// Cancelled items return their texts to the cache within this time.
const CANCEL_MS: u64 = 100;

/// Runs the open submissions that this daemon owns.
///
/// Each daemon derives ownership from its own view of the live members. Two daemons that own a submission for a moment
/// run its items twice, which is safe because the ledger takes the first result; a submission without an owner waits.
/// So ownership needs no lease, and a takeover waits only for the failure detector.
#[derive(Debug)]
pub(crate) struct Runner {
    view: Rc<LedgerView>,
    index: Rc<SubmissionIndex>,
    members: Rc<Members>,
    context: Rc<ItemContext>,
    running: RefCell<SortedMap<Arc<str>, Rc<ItemQueue>>>,
    loading: RefCell<Vec<Arc<str>>>,
    /// Where the texts of each open submission may be.
    origins: RefCell<SortedMap<Arc<str>, Origin>>,
    /// Whether the index was loaded at the last call of `update_origins`.
    has_read_index: Cell<bool>,
    restoring: RefCell<Vec<Arc<str>>>,
    residency_waits: ResidencyWaits,
    /// The own submissions of which nothing was left to run when their records were loaded, with the time of their index
    /// entry. Once evicted, their records are not loaded again to run them.
    settled: RefCell<SortedMap<Arc<str>, u64>>,
    /// Whether the last load of an own submission found no memory.
    is_short_of_memory: Cell<bool>,
}

/// Whether saved texts of a submission have to be restored before it is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// No other process ran the submission, or its texts have been restored.
    Here,
    /// Another daemon, or an earlier incarnation of this one, may have run it.
    Elsewhere,
}

/// A submission with the indices of its items that have no result yet.
struct Unfinished {
    submission: Arc<Submission>,
    seen_at_ms: u64,
    pending: Vec<usize>,
}

impl Runner {
    pub(crate) fn spawn(
        view: Rc<LedgerView>,
        index: Rc<SubmissionIndex>,
        members: Rc<Members>,
        context: Rc<ItemContext>,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        let runner = Rc::new(Self {
            view,
            index,
            members,
            context,
            running: RefCell::default(),
            loading: RefCell::default(),
            origins: RefCell::default(),
            has_read_index: Cell::new(false),
            restoring: RefCell::default(),
            residency_waits: ResidencyWaits::open(WAITING_GAUGE, instruments),
            settled: RefCell::default(),
            is_short_of_memory: Cell::default(),
        });
        monoio::spawn(runner.clone().run());
        runner
    }

    /// The number of submissions that run on this daemon.
    pub(crate) fn running_count(&self) -> usize {
        self.running.borrow().len()
    }

    /// The numbers of unfinished items here that are started, and that are not.
    pub(crate) fn item_counts(&self) -> (u64, u64) {
        let running = self.running.borrow();
        let pending: usize = running.values().map(|queue| queue.pending()).sum();
        (self.context.started_total.count(), pending as u64)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let ledger_changed = pin!(self.view.changed.notified());
            let index_changed = pin!(self.index.changed.notified());
            let members_changed = pin!(self.members.changed.notified());
            let has_open = self.reconcile();
            let records_changed = select(ledger_changed, index_changed);
            let changed = select(records_changed, members_changed);
            if has_open {
                within_ms(RECHECK_INTERVAL_MS, changed).await;
            } else {
                changed.await;
            }
        }
    }

    /// Starts the submissions that this daemon now owns and cancels those it no longer owns; returns whether any
    /// submission is open.
    fn reconcile(self: &Rc<Self>) -> bool {
        let open = self.index.open_submissions();
        let is_own = |known: &&OpenSubmission| {
            let OpenSubmission {
                id,
                work_key,
                residency,
                ..
            } = known;
            self.members.owns(id, work_key, residency)
        };
        let mut own: Vec<&OpenSubmission> = open.iter().filter(is_own).collect();
        // If there is no memory for all, the oldest run first.
        own.sort_by_key(|known| known.entered_at_ms);
        self.update_origins(&open, &own);
        self.running.borrow_mut().retain(|id, queue| {
            // `None` if records may have been missed; the items continue until the submission is loaded again.
            let is_open = self.view.with_loaded(id, SubmissionState::is_open);
            let is_own = own.iter().any(|known| known.id == *id);
            let keeps_running = is_own && is_open.unwrap_or(true);
            if !keeps_running {
                log::info!(submission = &**id; "submission ended or owned by another daemon; cancelling its items");
                queue.cancel();
                if !self.index.may_hold(id) {
                    self.remove_texts(queue.submission());
                }
            }
            keeps_running
        });
        let waits =
            |known: &&OpenSubmission| !self.view.is_loaded(&known.id) && !self.is_settled(known);
        if !own.iter().any(waits) {
            self.context.memory.set_wanted(0);
        }
        let is_own = |id: &Arc<str>| own.iter().any(|known| known.id == *id);
        self.settled.borrow_mut().retain(|id, _| is_own(id));
        let needed = own.iter().filter(|known| !self.is_settled(known));
        let mut needed: Vec<Arc<str>> = needed.map(|known| known.id.clone()).collect();
        needed.sort_unstable();
        self.view.set_needed(needed);
        for known in &own {
            self.view.touch(&known.id);
            if !self.running.borrow().contains_key(&known.id) {
                self.take_over(known);
            }
        }
        for queue in self.running.borrow().values() {
            queue.refresh();
        }
        self.members.set_holds(self.held_submissions(&own));
        self.report_waiting(&open);
        !open.is_empty()
    }

    /// Reports the open submissions that wait because no daemon in their allowed regions may own them.
    fn report_waiting(&self, open: &[OpenSubmission]) {
        let mut waiting: SortedMap<Arc<str>, u64> = SortedMap::default();
        for known in open {
            let (id, work_key) = (&known.id, &known.work_key);
            if self.members.reports_wait(id, work_key, &known.residency) {
                *waiting.get_or_insert_with(known.service.clone(), || 0) += 1;
            }
        }
        self.residency_waits.report(waiting);
    }

    /// Removes the texts of a submission that this daemon may no longer hold.
    fn remove_texts(&self, submission: &Arc<Submission>) {
        let (submission, texts) = (submission.clone(), self.context.texts.clone());
        monoio::spawn(async move {
            sleep_ms(CANCEL_MS).await;
            for item in &submission.items {
                texts.remove(&submission.scoped_item_id(item.id()));
            }
        });
    }

    /// The submissions that this daemon runs, and the complete ones that are not ended yet.
    ///
    /// Readers are sent to the holder. A complete submission stays held so that the trainer's last read of a step does
    /// not go to a daemon that has to load the records first. Loading takes 0.3 s of a step of 8 s.
    fn held_submissions(&self, own: &[&OpenSubmission]) -> Vec<Arc<str>> {
        let running = self.running.borrow();
        let awaits_end = |id: &Arc<str>| {
            let is_enabled = self
                .context
                .mechanisms
                .is_enabled(Mechanism::HeldUntilEnded);
            let awaits_end =
                |state: &SubmissionState| is_enabled && state.is_complete() && !state.is_ended();
            self.view.with_loaded(id, awaits_end).unwrap_or(false)
        };
        let ids = own.iter().map(|known| &known.id);
        let mut held: Vec<Arc<str>> = ids
            .filter(|id| running.contains_key(*id) || awaits_end(id))
            .cloned()
            .collect();
        held.sort_unstable();
        held
    }

    /// Updates where the texts of each open submission may be: a submission that this daemon owns as soon as it appears
    /// in the index was not run by another process.
    fn update_origins(&self, open: &[OpenSubmission], own: &[&OpenSubmission]) {
        let has_read_index = self.has_read_index.replace(self.index.is_known());
        let mut origins = self.origins.borrow_mut();
        origins.retain(|id, _| open.iter().any(|known| known.id == *id));
        for known in open {
            let is_own = own.iter().any(|own| own.id == known.id);
            let is_new = !origins.contains_key(&known.id);
            if is_new && is_own && has_read_index {
                origins.insert(known.id.clone(), Origin::Here);
            } else if is_new || !is_own {
                origins.insert(known.id.clone(), Origin::Elsewhere);
            }
        }
    }

    fn take_over(self: &Rc<Self>, known: &OpenSubmission) {
        let id = &known.id;
        let needs_restore = self.origins.borrow().get(id) == Some(&Origin::Elsewhere);
        if needs_restore {
            self.restore(id);
        }
        let now_ms = self.context.clock.now_ms();
        let step = self.view.with_loaded(id, |state| next_step(state, now_ms));
        let Some(step) = step else {
            if !self.is_settled(known) {
                self.load(id);
            }
            return;
        };
        match step {
            NextStep::Run if needs_restore => {}
            NextStep::Run => self.start(id),
            NextStep::MarkEnded => {
                let (index, id) = (self.index.clone(), id.clone());
                monoio::spawn(async move { index.mark_ended(&id).await });
            }
            NextStep::Wait => {}
            NextStep::Nothing => {
                let mut settled = self.settled.borrow_mut();
                settled.insert(id.clone(), known.entered_at_ms);
            }
        }
    }

    /// Whether nothing of a submission was left to run when its records were last loaded.
    fn is_settled(&self, known: &OpenSubmission) -> bool {
        self.settled.borrow().get(&known.id) == Some(&known.entered_at_ms)
    }

    /// Restores a submission's saved texts, unless that is already in progress.
    fn restore(self: &Rc<Self>, id: &Arc<str>) {
        if self.restoring.borrow().contains(id) {
            return;
        }
        self.restoring.borrow_mut().push(id.clone());
        let (runner, id) = (self.clone(), id.clone());
        monoio::spawn(async move {
            let context = &runner.context;
            let texts = context.progress.restore(&id, RESTORE_TIMEOUT_MS).await;
            context.texts.restore(texts);
            runner.restoring.borrow_mut().retain(|other| *other != id);
            runner.origins.borrow_mut().insert(id, Origin::Here);
            runner.index.changed.notify_waiters();
        });
    }

    /// Loads a submission's records, unless that is already in progress.
    fn load(self: &Rc<Self>, id: &Arc<str>) {
        {
            let loading = self.loading.borrow();
            // Several that each take a part of the memory that is left could keep each other from completing.
            let is_next = loading.is_empty() || !self.is_short_of_memory.get();
            if loading.contains(id) || !is_next {
                return;
            }
        }
        self.loading.borrow_mut().push(id.clone());
        let (runner, id) = (self.clone(), id.clone());
        monoio::spawn(async move {
            let is_loaded = runner.view.load(&id).await;
            let refused_bytes = runner.view.refused_bytes(&id).filter(|_| !is_loaded);
            runner.is_short_of_memory.set(refused_bytes.is_some());
            let memory = &runner.context.memory;
            memory.set_wanted(refused_bytes.unwrap_or(0));
            if !is_loaded {
                sleep_ms(LOAD_RETRY_MS).await;
            }
            runner.loading.borrow_mut().retain(|loading| *loading != id);
        });
    }

    fn start(&self, id: &Arc<str>) {
        let Some(Some(unfinished)) = self.view.with_loaded(id, unfinished) else {
            return;
        };
        let Some(hold) = self.hold_items(unfinished.pending.len()) else {
            return;
        };
        log::info!(submission = &**id, items = unfinished.pending.len(); "submission taken over");
        let Unfinished {
            submission,
            seen_at_ms,
            pending,
        } = unfinished;
        let queue = ItemQueue::spawn(self.context.clone(), submission, seen_at_ms, &pending, hold);
        self.running.borrow_mut().insert(id.clone(), queue);
    }

    /// Holds memory for the items that a submission starts in any case. Without room it is tried again at the next check:
    /// the submissions that run make room when they end.
    fn hold_items(&self, items_left: usize) -> Option<WorkHold> {
        let memory = &self.context.memory;
        let bytes = share_bytes(items_left);
        let has_room = self.view.make_room(bytes);
        // Records alone may take all the memory; one submission runs in any case.
        match has_room || self.running.borrow().is_empty() {
            true => Some(memory.hold(HeldKind::Started, bytes)),
            false => None,
        }
    }
}

/// What the owner of an open submission does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Run,
    /// The submission is ended, but its index entry does not say so yet.
    MarkEnded,
    /// The submission is being accepted.
    Wait,
    /// All items have results, or the submission was not accepted.
    Nothing,
}

fn next_step(state: &SubmissionState, now_ms: u64) -> NextStep {
    if state.is_ended() {
        NextStep::MarkEnded
    } else if state.is_open() {
        NextStep::Run
    } else if state.submission().is_none() && now_ms < state.first_seen_at_ms() + ACCEPTANCE_MS {
        NextStep::Wait
    } else {
        NextStep::Nothing
    }
}

fn unfinished(state: &SubmissionState) -> Option<Unfinished> {
    let submission = state.submission()?.clone();
    let pending = |index: &usize| !state.has_result(submission.items[*index].id());
    let pending = (0..submission.items.len()).filter(pending).collect();
    Some(Unfinished {
        seen_at_ms: state.first_seen_at_ms(),
        pending,
        submission,
    })
}
