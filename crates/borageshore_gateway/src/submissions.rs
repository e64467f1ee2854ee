//! Submissions as trainers reach them: accepted into the store, read from this daemon's view.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_batch::{LedgerRecord, Submission, SubmissionState};
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, EdgeResponse, within_ms};
use borageshore_platform::{
    StoreError, accepted_response, body_response, ok_response, refusal, results_response,
};
use bytes::Bytes;

use crate::{
    endpoints::Endpoints,
    ledger_view::{LedgerView, Shard},
    store_transport::Store,
    submission_index::SubmissionIndex,
};

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

/// The submissions as trainers reach them.
#[derive(Debug)]
pub(crate) struct Submissions {
    store: Store,
    clock: Clock,
    partitions: u64,
    view: Rc<LedgerView>,
    index: Rc<SubmissionIndex>,
    endpoints: Rc<Endpoints>,
    instruments: Rc<Instruments>,
}

impl Submissions {
    pub(crate) fn open(
        store: Store,
        partitions: u64,
        clock: Clock,
        view: Rc<LedgerView>,
        index: Rc<SubmissionIndex>,
        endpoints: Rc<Endpoints>,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        Rc::new(Self {
            store,
            clock,
            partitions,
            view,
            index,
            endpoints,
            instruments,
        })
    }

    /// Accepts a submission: it is in the store, whole, before the trainer hears so. Accepting it
    /// twice writes the same records twice, which changes nothing.
    ///
    /// The index comes first: a submission without its entry would be accepted and run by nobody,
    /// an entry without its submission costs its owner a look.
    pub(crate) async fn accept(&self, submission: Submission, service: &str) -> EdgeResponse {
        let id = submission.id.clone();
        if self.is_accepted(&id) {
            log::info!(submission = &*id; "submission accepted before");
            return accepted_response();
        }
        let started_ms = self.clock.now_ms();
        let items = submission.items.len();
        let slots = self.endpoints.slots_of(service);
        let entered = self.index.enter(&submission, service, slots).await;
        let record = LedgerRecord::Accept(Arc::new(submission));
        let appended = match entered {
            Ok(()) => self.append(&record).await,
            Err(error) => Err(error),
        };
        match appended {
            Ok(()) => {
                let took_ms = self.clock.now_ms() - started_ms;
                self.instruments.count("submission", "accepted");
                self.instruments.record_ms("accept", took_ms);
                log::info!(submission = &*id, items, took_ms; "submission accepted");
                accepted_response()
            }
            Err(error) => self.not_accepted(&id, &error),
        }
    }

    fn not_accepted(&self, id: &str, error: &StoreError) -> EdgeResponse {
        if self.is_accepted(id) {
            return accepted_response();
        }
        log::warn!(submission = id, error:% = error; "submission not accepted");
        self.instruments.count("submission", "not_accepted");
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
        self.view.with_loaded(id, is_accepted).unwrap_or(false)
    }

    /// Appends a record whose repetition changes nothing. Only the last append, which completes it,
    /// may stay uncertain.
    async fn append(&self, record: &LedgerRecord) -> Result<(), StoreError> {
        let shard = Shard::of(record.submission(), self.partitions);
        let mut batch: Vec<(Arc<str>, Bytes)> = Vec::new();
        let mut bytes = 0;
        for piece in record.encode("") {
            if bytes + piece.1.len() > APPEND_BYTES {
                let full = std::mem::take(&mut batch);
                self.append_pieces(shard, &full).await?;
                bytes = 0;
            }
            bytes += piece.1.len();
            batch.push(piece);
        }
        self.append_pieces(shard, &batch).await
    }

    async fn append_pieces(
        &self,
        shard: Shard,
        pieces: &[(Arc<str>, Bytes)],
    ) -> Result<(), StoreError> {
        let (topic, partition) = (shard.topic(), shard.partition());
        let appended = self.store.append(topic, partition, pieces, None).await;
        appended.map(|_| ())
    }

    /// Answers with the results from a position on, waiting for the first one.
    ///
    /// "No such submission" is said only after a read of its own: a view that was whole half a second ago knows
    /// nothing of a submission that was accepted 20 ms ago, and its trainer would be told 404.
    pub(crate) async fn results(&self, id: &Arc<str>, after: usize, wait_ms: u64) -> EdgeResponse {
        let until_ms = self.clock.now_ms() + wait_ms.min(WAIT_AT_MOST_MS);
        if !self.view.load(id).await {
            return unsure(id);
        }
        loop {
            let changed = self.view.changed.notified();
            if let Some(page) = self.page(id, after, false) {
                return page;
            }
            let left_ms = until_ms.saturating_sub(self.clock.now_ms());
            if left_ms == 0 || self.is_whole(id) || !self.is_accepted(id) {
                break;
            }
            within_ms(left_ms, changed).await;
        }
        if !self.is_sure(id).await {
            return unsure(id);
        }
        match self.page(id, after, true) {
            Some(page) => page,
            None if !self.view.confirm_now(id).await => unsure(id),
            None => self.page(id, after, true).unwrap_or_else(|| unknown(id)),
        }
    }

    fn is_whole(&self, id: &str) -> bool {
        let is_whole = self.view.with_loaded(id, SubmissionState::is_complete);
        is_whole.unwrap_or(false)
    }

    /// Makes sure that all that was ever shown of a submission is here.
    async fn is_sure(&self, id: &Arc<str>) -> bool {
        self.view.load(id).await && self.view.confirm(id, VIEW_AGE_MS).await
    }

    /// A page of results, or an empty one where `even_empty` says so.
    fn page(&self, id: &str, after: usize, even_empty: bool) -> Option<EdgeResponse> {
        let page = |state: &SubmissionState| {
            let total = state.submission()?.items.len();
            let results = state.results().get(after..).unwrap_or_default();
            let is_given = even_empty || !results.is_empty();
            is_given.then(|| results_response(total, after, results))
        };
        self.view.with_loaded(id, page)?
    }

    /// Answers with the body of an item.
    pub(crate) async fn body(&self, id: &Arc<str>, item: &str) -> EdgeResponse {
        if let Some(body) = self.item_body(id, item) {
            return body;
        }
        if !self.is_sure(id).await {
            return unsure(id);
        }
        if let Some(body) = self.item_body(id, item) {
            return body;
        }
        if !self.view.confirm_now(id).await {
            return unsure(id);
        }
        self.item_body(id, item).unwrap_or_else(|| unknown(id))
    }

    fn item_body(&self, id: &str, item: &str) -> Option<EdgeResponse> {
        let body = |state: &SubmissionState| state.item(item).map(body_response);
        self.view.with_loaded(id, body)?
    }

    /// Ends a submission: the store has the end before the trainer hears so.
    pub(crate) async fn end(&self, id: &Arc<str>) -> EdgeResponse {
        if self.is_ended(id) {
            return ok_response();
        }
        if !self.is_accepted(id) && !self.is_sure(id).await {
            return unsure(id);
        }
        if !self.is_accepted(id) && !self.view.confirm_now(id).await {
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
                self.index.close(id).await;
                ok_response()
            }
            Err(error) => {
                log::warn!(submission = &**id, error:% = error; "submission not ended");
                match error {
                    StoreError::Uncertain(_) => {
                        refusal(&Fault::new(ResultCode::EndUnknown, &**id), None)
                    }
                    _ => unsure(id),
                }
            }
        }
    }

    fn is_ended(&self, id: &str) -> bool {
        let is_ended = self.view.with_loaded(id, SubmissionState::is_ended);
        is_ended.unwrap_or(false)
    }
}

fn unsure(id: &str) -> EdgeResponse {
    let fault = Fault::new(ResultCode::ViewTooOld, id);
    refusal(&fault, Some(READ_AGAIN_MS))
}

fn unknown(id: &str) -> EdgeResponse {
    refusal(&Fault::new(ResultCode::UnknownSubmission, id), None)
}
