//! The ledger: every submission with its results by position.

use std::sync::Arc;

use borageshore_base::SortedMap;
use bytes::Bytes;

use crate::{
    pieces::{self, PieceBuffer},
    record::{self, KeyKind, LedgerRecord},
    submission::{Item, ItemResult, Submission},
};

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A submission is accepted.
    Accepted(Arc<str>),
    /// A result stands at the next position of a submission.
    Listed(Arc<str>),
    /// A submission is ended.
    Ended(Arc<str>),
}

/// One submission.
#[derive(Debug, Default)]
pub struct SubmissionState {
    submission: Option<Arc<Submission>>,
    results: Vec<Arc<ItemResult>>,
    /// The items with a result, sorted.
    listed: Vec<Arc<str>>,
    is_ended: bool,
    seen_at_ms: u64,
}

impl SubmissionState {
    /// The submission, once its record is there.
    pub fn submission(&self) -> Option<&Arc<Submission>> {
        self.submission.as_ref()
    }

    /// The results by position.
    pub fn results(&self) -> &[Arc<ItemResult>] {
        &self.results
    }

    /// Says whether an item has a result.
    pub fn is_listed(&self, item: &str) -> bool {
        self.listed
            .binary_search_by(|listed| (**listed).cmp(item))
            .is_ok()
    }

    /// Says whether it was ended.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Says whether something is left to run.
    pub fn is_open(&self) -> bool {
        let is_whole = |submission: &Arc<Submission>| self.listed.len() >= submission.items.len();
        !self.is_ended && self.submission.as_ref().is_some_and(|s| !is_whole(s))
    }

    /// When this daemon first saw it; later than its acceptance, so nothing is given up too early.
    pub fn seen_at_ms(&self) -> u64 {
        self.seen_at_ms
    }

    /// An item by its id.
    pub fn item(&self, id: &str) -> Option<&Item> {
        let submission = self.submission.as_ref()?;
        submission.items.iter().find(|item| &*item.id == id)
    }

    fn list(&mut self, result: Arc<ItemResult>) -> bool {
        let position = self.listed.binary_search(&result.item);
        let Err(at) = position else {
            return false;
        };
        self.listed.insert(at, result.item.clone());
        self.results.push(result);
        true
    }
}

/// All submissions that are kept.
///
/// The first result of an item counts, by the order of the store; whoever else made one, made it in
/// vain. So it does no harm when two daemons run the same item.
#[derive(Debug, Default)]
pub struct Ledger {
    submissions: SortedMap<Arc<str>, SubmissionState>,
    pieces: PieceBuffer,
}

impl Ledger {
    /// Takes over a record; records of one partition come in the order of their offsets.
    pub fn apply(&mut self, key: &str, value: Option<&Bytes>, now_ms: u64) -> Option<Change> {
        let (whole_key, number, count) = pieces::split_key(key)?;
        let (submission, kind) = record::split_key(whole_key)?;
        let Some(value) = value else {
            if kind == KeyKind::Accept {
                self.submissions.remove(submission);
            }
            return None;
        };
        let value = self.pieces.push(whole_key, number, count, value.clone())?;
        let record = LedgerRecord::decode(submission, kind, &value)?;
        self.apply_record(record, now_ms)
    }

    fn apply_record(&mut self, record: LedgerRecord, now_ms: u64) -> Option<Change> {
        let id = record.submission().clone();
        let state = self
            .submissions
            .get_or_insert_with(id.clone(), || SubmissionState {
                seen_at_ms: now_ms,
                ..SubmissionState::default()
            });
        match record {
            LedgerRecord::Accept(submission) => {
                let is_first = state.submission.is_none();
                state.submission.get_or_insert(submission);
                is_first.then_some(Change::Accepted(id))
            }
            LedgerRecord::Result { result, .. } => state.list(result).then_some(Change::Listed(id)),
            LedgerRecord::End { .. } => {
                let is_first = !state.is_ended;
                state.is_ended = true;
                is_first.then_some(Change::Ended(id))
            }
        }
    }

    /// A submission.
    pub fn get(&self, id: &str) -> Option<&SubmissionState> {
        self.submissions.get(id)
    }

    /// All submissions by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &SubmissionState)> {
        self.submissions.iter()
    }
}
