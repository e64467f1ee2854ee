//! Which submissions this daemon runs, and their items under way.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{Ledger, Submission, SubmissionState, rank_items};
use borageshore_net::within_ms;
use futures_util::future::select;
use tokio::sync::Notify;

use crate::{
    item::{ItemContext, run_item},
    members::Members,
    submissions::LedgerView,
};

/// While submissions are open, owners are looked at again after this time: a daemon dies without a
/// record.
const RECHECK_MS: u64 = 250;

/// Tells futures to end.
#[derive(Debug, Default)]
struct Cancel {
    is_cancelled: Cell<bool>,
    told: Notify,
}

impl Cancel {
    fn cancel(&self) {
        self.is_cancelled.set(true);
        self.told.notify_waiters();
    }

    async fn cancelled(&self) {
        let told = self.told.notified();
        if !self.is_cancelled.get() {
            told.await;
        }
    }
}

/// Runs the open submissions that this daemon owns.
///
/// Ownership is a matter of each daemon's view of the heartbeats. Two owners for a moment make an
/// item twice, which its kind allows, and the ledger takes the first result; no owner for a moment
/// lets it wait. So no lease is needed here, and a takeover waits for nothing but the heartbeats.
#[derive(Debug)]
pub(crate) struct Runner {
    view: Rc<LedgerView>,
    members: Rc<Members>,
    context: Rc<ItemContext>,
    running: RefCell<SortedMap<Arc<str>, Rc<Cancel>>>,
}

struct Opened {
    submission: Arc<Submission>,
    seen_at_ms: u64,
    unlisted: Vec<usize>,
}

impl Runner {
    pub(crate) fn spawn(
        view: Rc<LedgerView>,
        members: Rc<Members>,
        context: Rc<ItemContext>,
    ) -> Rc<Self> {
        let runner = Rc::new(Self {
            view,
            members,
            context,
            running: RefCell::default(),
        });
        monoio::spawn(runner.clone().run());
        runner
    }

    /// The number of submissions under way here.
    pub(crate) fn running_count(&self) -> usize {
        self.running.borrow().len()
    }

    async fn run(self: Rc<Self>) {
        loop {
            let ledger_changed = pin!(self.view.changed.notified());
            let members_changed = pin!(self.members.changed.notified());
            let has_open = self.reconcile();
            let changed = select(ledger_changed, members_changed);
            if has_open {
                within_ms(RECHECK_MS, changed).await;
            } else {
                changed.await;
            }
        }
    }

    /// Starts what this daemon owns by now, stops what it does not; says whether any submission is
    /// open.
    fn reconcile(&self) -> bool {
        let open = self.view.with(|ledger| self.open_submissions(ledger));
        self.running.borrow_mut().retain(|id, cancel| {
            let stays = open.iter().any(|(open, is_own)| open == id && *is_own);
            if !stays {
                log::info!(submission = &**id; "submission left");
                cancel.cancel();
            }
            stays
        });
        for (id, _) in open.iter().filter(|(_, is_own)| *is_own) {
            if !self.running.borrow().contains_key(id) {
                self.start(id);
            }
        }
        let held = self.running.borrow().keys().cloned().collect();
        self.members.set_holds(held);
        !open.is_empty()
    }

    fn open_submissions(&self, ledger: &Ledger) -> Vec<(Arc<str>, bool)> {
        let open = ledger.iter().filter(|(_, state)| state.is_open());
        let is_own = |id: &str, state: &SubmissionState| {
            let key = state.submission().map_or(id, |known| known.work_key());
            self.members.owns(id, key)
        };
        open.map(|(id, state)| (id.clone(), is_own(id, state)))
            .collect()
    }

    fn start(&self, id: &Arc<str>) {
        let Some(opened) = self.view.with(|ledger| opened(ledger, id)) else {
            return;
        };
        log::info!(submission = &**id, items = opened.unlisted.len(); "submission taken over");
        let cancel = Rc::new(Cancel::default());
        let ranks = rank_items(&opened.submission);
        for index in opened.unlisted {
            let item = run_item(
                self.context.clone(),
                opened.submission.clone(),
                index,
                (opened.seen_at_ms, ranks[index]),
                opened.seen_at_ms,
            );
            let cancel = cancel.clone();
            monoio::spawn(async move {
                select(pin!(item), pin!(cancel.cancelled())).await;
            });
        }
        self.running.borrow_mut().insert(id.clone(), cancel);
    }
}

fn opened(ledger: &Ledger, id: &str) -> Option<Opened> {
    let state = ledger.get(id)?;
    let submission = state.submission()?.clone();
    let unlisted = |index: &usize| !state.is_listed(&submission.items[*index].id);
    let unlisted = (0..submission.items.len()).filter(unlisted).collect();
    Some(Opened {
        seen_at_ms: state.seen_at_ms(),
        unlisted,
        submission,
    })
}
