//! The submission API for trainers: accepts submissions into the store and answers reads from this daemon's view.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_batch::{LedgerRecord, ReceivedSubmission, SubmissionState};
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, EdgeResponse, within_ms};
use borageshore_platform::{
    StoreError, accepted_response, body_response, ok_response, refusal, results_response,
};
use borageshore_topology::Residency;
use bytes::Bytes;

use crate::{
    endpoints::Endpoints, ledger_view::LedgerView, routes::Routes, runner::ACCEPTANCE_MS,
    shard::Shard, store_transport::Store, submission_index::SubmissionIndex,
};

/// The maximum age of a view from which a read is answered without results. Every daemon must show a result within one
/// second after the first one has shown it; half of that second is left for the delivery of the response.
const MAX_VIEW_AGE_MS: u64 = 500;
/// The longest wait of a read for a result.
pub(crate) const MAX_WAIT_MS: u64 = 5_000;
/// The retry delay given to a reader when this daemon's view may be too old. The next read may succeed.
const READ_RETRY_AFTER_MS: u64 = 300;
/// The retry delay given for a submission that the store did not accept. Outages of the store last for seconds, but
/// another daemon may reach it sooner.
const SUBMIT_RETRY_AFTER_MS: u64 = 250;
/// The maximum bytes of one append; the store's limit is 2 MiB.
pub(crate) const MAX_APPEND_BYTES: usize = 1_500_000;

/// Handles the requests of trainers about submissions.
#[derive(Debug)]
pub(crate) struct Submissions {
    pub(crate) store: Store,
    pub(crate) clock: Clock,
    pub(crate) view: Rc<LedgerView>,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) routes: Rc<Routes>,
    pub(crate) endpoints: Rc<Endpoints>,
    pub(crate) instruments: Rc<Instruments>,
}

impl Submissions {
    /// The regions whose daemons may hold a submission. Its entry is looked up in the store if this daemon does not know
    /// it and submissions may be restricted.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, if there is no such submission or the store does not say.
    pub(crate) async fn residency_of(&self, id: &Arc<str>) -> Result<Residency, EdgeResponse> {
        if !self.index.knows(id) && self.routes.has_seen_residency() {
            match self.index.look_up(id).await {
                Ok(true) => {}
                Ok(false) => return Err(self.unknown_submission(id)),
                Err(error) => {
                    log::info!(submission = &**id, error:% = error; "index entry not read; refusing a request about the submission");
                    return Err(self.view_too_old(id));
                }
            }
        }
        Ok(self.index.residency_of(id))
    }

    /// The refusal for a submission of which there are no records where this daemon looked.
    ///
    /// Guards against "no such submission" from a daemon that does not follow the index, for one that was accepted under
    /// restrictions which were lifted before this daemon started: it is in another shard.
    async fn unknown(&self, id: &Arc<str>) -> EdgeResponse {
        if !self.index.may_be_elsewhere(id) {
            return self.unknown_submission(id);
        }
        match self.index.look_up(id).await {
            Ok(false) => self.unknown_submission(id),
            Ok(true) | Err(_) => self.view_too_old(id),
        }
    }

    /// Refuses a request about a submission that this daemon may not hold, after the daemons that may gave no answer.
    pub(crate) fn refuse_elsewhere(&self, id: &Arc<str>) -> EdgeResponse {
        self.instruments.count("residency", "not_read_here");
        log::info!(submission = &**id; "submission not read: it may not be held in this region, and no daemon inside answered");
        self.view_too_old(id)
    }

    /// Accepts a submission: the response is sent after all of it is in the store. Accepting it twice writes the
    /// same records twice, which is idempotent.
    ///
    /// The index entry is written first: a submission without one would be accepted but never run, while an entry
    /// without a submission only costs its owner a read.
    pub(crate) async fn accept(
        &self,
        submission: &ReceivedSubmission,
        service: &Arc<str>,
        residency: Residency,
    ) -> EdgeResponse {
        let id = submission.head.id.clone();
        if self.is_accepted(&id) {
            log::info!(submission = &*id; "submission accepted before");
            return accepted_response();
        }
        let started_at_ms = self.clock.now_ms();
        let items = submission.sizes.items;
        let slots = self.endpoints.slots_of(service);
        let indexed = self.index.add(submission, service, slots, residency);
        let appended = match indexed.await {
            Ok(()) => self.append(&id, submission.record()).await,
            Err(error) => Err(error),
        };
        let took_ms = self.clock.now_ms() - started_at_ms;
        let appended = match appended {
            Ok(()) if took_ms >= ACCEPTANCE_MS / 2 => self.enter_again(submission, service).await,
            appended => appended,
        };
        match appended {
            Ok(()) => {
                self.instruments.count("submission", "accepted");
                self.instruments.record_ms("accept", took_ms);
                log::info!(submission = &*id, items, took_ms; "submission accepted");
                accepted_response()
            }
            Err(error) => self.refuse_submission(&id, &error),
        }
    }

    /// Enters a stored submission in the index once more: the daemon that runs it may no longer wait for its records.
    async fn enter_again(
        &self,
        submission: &ReceivedSubmission,
        service: &Arc<str>,
    ) -> Result<(), StoreError> {
        let id = &submission.head.id;
        let slots = self.endpoints.slots_of(service);
        let residency = self.index.stored_within(id);
        let entered = self.index.add(submission, service, slots, residency).await;
        // The records are stored, so that the submission may run.
        entered.map_err(|error| StoreError::Unknown(error.to_string()))
    }

    fn refuse_submission(&self, id: &str, error: &StoreError) -> EdgeResponse {
        if self.is_accepted(id) {
            return accepted_response();
        }
        log::warn!(submission = id, error:% = error; "submission not accepted");
        self.instruments.count("submission", "not_accepted");
        match error {
            StoreError::Unknown(why) => {
                let fault = Fault::new(ResultCode::AcceptanceUnknown, why.clone());
                refusal(&fault, None)
            }
            other => {
                let fault = Fault::new(ResultCode::StoreUnavailable, other.to_string());
                refusal(&fault, Some(SUBMIT_RETRY_AFTER_MS))
            }
        }
    }

    /// Whether this daemon knows that a submission was accepted.
    pub(crate) fn is_accepted(&self, id: &str) -> bool {
        let is_accepted = |state: &SubmissionState| state.submission().is_some();
        self.view.with_loaded(id, is_accepted).unwrap_or(false)
    }

    /// Appends the chunks of a submission's record; appending it again has no further effect. A large record needs several
    /// appends and takes effect with its last chunk.
    async fn append<Chunks>(&self, submission: &str, chunks: Chunks) -> Result<(), StoreError>
    where
        Chunks: IntoIterator<Item = (Arc<str>, Bytes)>,
    {
        let shard = self.index.shard_of(submission);
        let mut batch: Vec<(Arc<str>, Bytes)> = Vec::new();
        let mut bytes = 0;
        for chunk in chunks {
            if bytes + chunk.1.len() > MAX_APPEND_BYTES {
                let full = std::mem::take(&mut batch);
                self.append_chunks(&shard, &full).await?;
                bytes = 0;
            }
            bytes += chunk.1.len();
            batch.push(chunk);
        }
        self.append_chunks(&shard, &batch).await
    }

    async fn append_chunks(
        &self,
        shard: &Shard,
        chunks: &[(Arc<str>, Bytes)],
    ) -> Result<(), StoreError> {
        let (topic, partition) = (shard.topic(), shard.partition());
        let store = shard.store(&self.store);
        let appended = store.append(topic, partition, chunks, None).await;
        appended.map(|_| ())
    }

    /// Responds with the results from position `after` on; waits up to `wait_ms`, limited by `MAX_WAIT_MS`, if there
    /// are none yet.
    ///
    /// "No such submission" is only reported after a new read of the store: the view may be older than a
    /// submission that was accepted by another daemon a moment ago.
    pub(crate) async fn results(&self, id: &Arc<str>, after: usize, wait_ms: u64) -> EdgeResponse {
        let deadline_ms = self.clock.now_ms() + wait_ms.min(MAX_WAIT_MS);
        if !self.view.load(id).await {
            return self.view_too_old(id);
        }
        loop {
            let changed = self.view.changed.notified();
            if let Some(page) = self.page(id, after, false) {
                return page;
            }
            let remaining_ms = deadline_ms.saturating_sub(self.clock.now_ms());
            if remaining_ms == 0 || self.is_complete(id) || !self.is_accepted(id) {
                break;
            }
            within_ms(remaining_ms, changed).await;
        }
        if !self.confirm_view(id).await {
            return self.view_too_old(id);
        }
        match self.page(id, after, true) {
            Some(page) => page,
            None if !self.view.confirm_now(id).await => self.view_too_old(id),
            None => match self.page(id, after, true) {
                Some(page) => page,
                None => self.unknown(id).await,
            },
        }
    }

    fn is_complete(&self, id: &str) -> bool {
        let is_complete = self.view.with_loaded(id, SubmissionState::is_complete);
        is_complete.unwrap_or(false)
    }

    /// Loads a submission and brings its view up to date, so that it has all results that any daemon has shown.
    async fn confirm_view(&self, id: &Arc<str>) -> bool {
        self.view.load(id).await && self.view.confirm(id, MAX_VIEW_AGE_MS).await
    }

    /// A page of results; `None` if the submission is not loaded, or if there are no results and `allow_empty` is
    /// false.
    fn page(&self, id: &str, after: usize, allow_empty: bool) -> Option<EdgeResponse> {
        let page = |state: &SubmissionState| {
            let total = state.submission()?.items.len();
            let results = state.results().get(after..).unwrap_or_default();
            let has_page = allow_empty || !results.is_empty();
            has_page.then(|| results_response(total, after, results))
        };
        self.view.with_loaded(id, page)?
    }

    /// Responds with the body of an item.
    pub(crate) async fn body(&self, id: &Arc<str>, item: &str) -> EdgeResponse {
        if let Some(body) = self.item_body(id, item) {
            return body;
        }
        if !self.confirm_view(id).await {
            return self.view_too_old(id);
        }
        if let Some(body) = self.item_body(id, item) {
            return body;
        }
        if !self.view.confirm_now(id).await {
            return self.view_too_old(id);
        }
        match self.item_body(id, item) {
            Some(body) => body,
            None => self.unknown(id).await,
        }
    }

    fn item_body(&self, id: &str, item: &str) -> Option<EdgeResponse> {
        let body = |state: &SubmissionState| {
            let item = state.item(item)?;
            Some(body_response(&item.unpack()))
        };
        self.view.with_loaded(id, body)?
    }

    /// Ends a submission: the response is sent after the end is in the store.
    pub(crate) async fn end(&self, id: &Arc<str>) -> EdgeResponse {
        if self.is_ended(id) {
            return ok_response();
        }
        if !self.is_accepted(id) && !self.confirm_view(id).await {
            return self.view_too_old(id);
        }
        if !self.is_accepted(id) && !self.view.confirm_now(id).await {
            return self.view_too_old(id);
        }
        if !self.is_accepted(id) {
            return self.unknown(id).await;
        }
        let record = LedgerRecord::End {
            submission: id.clone(),
        };
        match self.append(id, record.encode("")).await {
            Ok(()) => {
                log::info!(submission = &**id; "submission ended");
                self.index.mark_ended(id).await;
                ok_response()
            }
            Err(error) => {
                log::warn!(submission = &**id, error:% = error; "submission not ended");
                match error {
                    StoreError::Unknown(_) => {
                        refusal(&Fault::new(ResultCode::EndUnknown, &**id), None)
                    }
                    _ => self.view_too_old(id),
                }
            }
        }
    }

    fn is_ended(&self, id: &str) -> bool {
        let is_ended = self.view.with_loaded(id, SubmissionState::is_ended);
        is_ended.unwrap_or(false)
    }

    fn view_too_old(&self, id: &str) -> EdgeResponse {
        log::info!(submission = id; "request about a submission refused: its records are not current here");
        self.instruments.count("submission_request", "view_too_old");
        let fault = Fault::new(ResultCode::ViewTooOld, id);
        refusal(&fault, Some(READ_RETRY_AFTER_MS))
    }

    fn unknown_submission(&self, id: &str) -> EdgeResponse {
        log::info!(submission = id; "request about a submission refused: there is no such submission or item");
        self.instruments.count("submission_request", "unknown");
        refusal(&Fault::new(ResultCode::UnknownSubmission, id), None)
    }
}
