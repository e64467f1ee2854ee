//! Submissions: accepted into the store, read from the fold.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode, rendezvous_weight};
use borageshore_batch::{Ledger, LedgerRecord, Submission, SubmissionState};
use borageshore_net::{Clock, EdgeResponse, within_ms};
use borageshore_platform::{
    KeyedRecord, Store, StoreError, Topic, accepted, body_answer, ended, refusal, results_page,
};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::follow::{Fold, Follow};

/// Readers are told that there is nothing only by a view that is no older. A result that one daemon
/// has shown must be shown by all a second later; this leaves half of it for the answer's way.
const VIEW_AGE_MS: u64 = 500;
/// The longest that a reader is kept waiting for a result.
const WAIT_AT_MOST_MS: u64 = 5_000;
/// Readers come back after this time when the view may be too old; the next read may succeed.
const READ_AGAIN_MS: u64 = 300;
/// A submission that the store did not take comes back after this time: outages of the store last
/// for seconds, and another daemon may reach it.
const SUBMIT_AGAIN_MS: u64 = 250;
/// The most bytes of one append; the store takes 2 MiB.
const APPEND_BYTES: usize = 1_500_000;
/// Records of results come in bursts; reading them together saves most of the reads.
const FOLLOW_PAUSE_MS: u64 = 25;

/// The partition of a submission's records.
pub(crate) fn partition_of(submission: &str, partitions: u64) -> u64 {
    rendezvous_weight("partition", submission) % partitions.max(1)
}

/// The fold of all submissions.
#[derive(Debug)]
pub(crate) struct LedgerView {
    ledger: RefCell<Ledger>,
    clock: Clock,
    /// Told at each record.
    pub(crate) changed: Notify,
}

impl LedgerView {
    /// Runs a function on the ledger.
    pub(crate) fn with<Use, Made>(&self, make: Use) -> Made
    where
        Use: FnOnce(&Ledger) -> Made,
    {
        make(&self.ledger.borrow())
    }
}

impl Fold for LedgerView {
    fn apply(&self, records: &[KeyedRecord]) {
        let now_ms = self.clock.now_ms();
        let mut ledger = self.ledger.borrow_mut();
        for record in records {
            ledger.apply(&record.key, record.value.as_ref(), now_ms);
        }
        drop(ledger);
        self.changed.notify_waiters();
    }
}

/// The submissions as trainers reach them.
#[derive(Debug)]
pub(crate) struct Submissions {
    store: Store,
    clock: Clock,
    pub(crate) view: Rc<LedgerView>,
    follows: Vec<Rc<Follow<LedgerView>>>,
}

impl Submissions {
    pub(crate) fn spawn(store: Store, partitions: u64, clock: Clock) -> Rc<Self> {
        let view = Rc::new(LedgerView {
            ledger: RefCell::default(),
            clock,
            changed: Notify::new(),
        });
        let follow = |partition| {
            let (store, view) = (store.clone(), view.clone());
            Follow::spawn(store, Topic::Batch, partition, clock, FOLLOW_PAUSE_MS, view)
        };
        Rc::new(Self {
            follows: (0..partitions).map(follow).collect(),
            store,
            clock,
            view,
        })
    }

    /// Says whether all partitions were read once.
    pub(crate) fn is_known(&self) -> bool {
        self.follows
            .iter()
            .all(|follow| follow.next_offset().is_some())
    }

    /// Accepts a submission: it is in the store, whole, before the trainer hears so.
    pub(crate) async fn accept(&self, submission: Submission) -> EdgeResponse {
        let id = submission.id.clone();
        if self.is_accepted(&id) {
            log::info!(submission = &*id; "submission accepted before");
            return accepted();
        }
        let items = submission.items.len();
        let record = LedgerRecord::Accept(Arc::new(submission));
        match self.append(&record).await {
            Ok(()) => {
                log::info!(submission = &*id, items; "submission accepted");
                accepted()
            }
            Err(error) => self.not_accepted(&id, &error),
        }
    }

    fn not_accepted(&self, id: &str, error: &StoreError) -> EdgeResponse {
        if self.is_accepted(id) {
            return accepted();
        }
        log::warn!(submission = id, error:% = error; "submission not accepted");
        match error {
            StoreError::Uncertain(why) => {
                let fault = Fault::new(ResultCode::AcceptanceUnknown, why.clone());
                refusal(&fault, None)
            }
            other => {
                let fault = Fault::new(ResultCode::StoreUnavailable, other.to_string());
                refusal(&fault, Some(SUBMIT_AGAIN_MS))
            }
        }
    }

    fn is_accepted(&self, id: &str) -> bool {
        let is_accepted = |state: &SubmissionState| state.submission().is_some();
        self.view
            .with(|ledger| ledger.get(id).is_some_and(is_accepted))
    }

    /// Appends a record whose repetition changes nothing. Only the last append, which completes it,
    /// may stay uncertain.
    async fn append(&self, record: &LedgerRecord) -> Result<(), StoreError> {
        let partition = self.partition_of(record.submission());
        let pieces = record.encode("");
        let mut batch: Vec<(Arc<str>, Bytes)> = Vec::new();
        let mut bytes = 0;
        for piece in pieces {
            if bytes + piece.1.len() > APPEND_BYTES {
                let full = std::mem::take(&mut batch);
                self.store
                    .append(Topic::Batch, partition, &full, None)
                    .await?;
                bytes = 0;
            }
            bytes += piece.1.len();
            batch.push(piece);
        }
        self.store
            .append(Topic::Batch, partition, &batch, None)
            .await?;
        Ok(())
    }

    /// Answers with the results from a position on, waiting for the first one.
    pub(crate) async fn results(&self, id: &str, after: usize, wait_ms: u64) -> EdgeResponse {
        let until_ms = self.clock.now_ms() + wait_ms.min(WAIT_AT_MOST_MS);
        loop {
            let changed = self.view.changed.notified();
            if let Some(page) = self.page(id, after, false) {
                return page;
            }
            let left_ms = until_ms.saturating_sub(self.clock.now_ms());
            let is_whole = self.is_whole(id);
            if left_ms == 0 || is_whole || !self.is_accepted(id) {
                break;
            }
            within_ms(left_ms, changed).await;
        }
        if !self.confirm(id).await {
            return unsure(id);
        }
        match self.page(id, after, true) {
            Some(page) => page,
            None => unknown(id),
        }
    }

    fn is_whole(&self, id: &str) -> bool {
        let is_whole = |state: &SubmissionState| {
            let items = state.submission().map_or(0, |known| known.items.len());
            state.results().len() >= items
        };
        self.view
            .with(|ledger| ledger.get(id).is_some_and(is_whole))
    }

    /// A page of results, or an empty one where `even_empty` says so.
    fn page(&self, id: &str, after: usize, even_empty: bool) -> Option<EdgeResponse> {
        self.view.with(|ledger| {
            let state = ledger.get(id)?;
            let total = state.submission()?.items.len();
            let results = state.results().get(after..).unwrap_or_default();
            let is_given = even_empty || !results.is_empty();
            is_given.then(|| results_page(total, after, results))
        })
    }

    /// Answers with the body of an item.
    pub(crate) async fn body(&self, id: &str, item: &str) -> EdgeResponse {
        if let Some(body) = self.item_body(id, item) {
            return body;
        }
        if !self.confirm(id).await {
            return unsure(id);
        }
        self.item_body(id, item).unwrap_or_else(|| unknown(id))
    }

    fn item_body(&self, id: &str, item: &str) -> Option<EdgeResponse> {
        let body = |ledger: &Ledger| ledger.get(id)?.item(item).map(body_answer);
        self.view.with(body)
    }

    /// Ends a submission: the store has the end before the trainer hears so.
    pub(crate) async fn end(&self, id: &Arc<str>) -> EdgeResponse {
        if self.is_ended(id) {
            return ended();
        }
        if !self.is_accepted(id) && !self.confirm(id).await {
            return unsure(id);
        }
        if !self.is_accepted(id) {
            return unknown(id);
        }
        let record = LedgerRecord::End {
            submission: id.clone(),
        };
        match self.append(&record).await {
            Ok(()) => {
                log::info!(submission = &**id; "submission ended");
                ended()
            }
            Err(error) => {
                log::warn!(submission = &**id, error:% = error; "submission not ended");
                unsure(id)
            }
        }
    }

    fn is_ended(&self, id: &str) -> bool {
        self.view
            .with(|ledger| ledger.get(id).is_some_and(SubmissionState::is_ended))
    }

    async fn confirm(&self, id: &str) -> bool {
        let partition = self.partition_of(id) as usize;
        self.follows[partition].confirm(VIEW_AGE_MS).await
    }

    fn partition_of(&self, id: &str) -> u64 {
        partition_of(id, self.follows.len() as u64)
    }
}

fn unsure(id: &str) -> EdgeResponse {
    let fault = Fault::new(ResultCode::ViewTooOld, id);
    refusal(&fault, Some(READ_AGAIN_MS))
}

fn unknown(id: &str) -> EdgeResponse {
    refusal(&Fault::new(ResultCode::UnknownSubmission, id), None)
}
