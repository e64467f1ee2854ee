//! The state of batch submissions, built by replaying the records of the store.

use std::sync::Arc;

use borageshore_base::SortedMap;
use bytes::Bytes;

use crate::{
    packed_item::PackedItem,
    record::{self, KeyKind, LedgerRecord},
    submission::{ItemResult, ItemState, Submission},
    value_chunks::{self, ChunkBuffer},
    version_rule::VersionRule,
};

/// A record of the store: offset, key and value.
pub type LedgerEntry = (u64, Arc<str>, Bytes);

/// The state of one submission.
#[derive(Debug, Default)]
pub struct SubmissionState {
    /// Whether all older records have been applied.
    is_loaded: bool,
    /// New records received before the older ones were loaded.
    pending: Vec<LedgerEntry>,
    chunks: ChunkBuffer,
    submission: Option<Arc<Submission>>,
    results: Vec<Arc<ItemResult>>,
    /// Ids of the items with a result, sorted.
    finished_items: Vec<Arc<str>>,
    /// About the memory of the submission and its results.
    complete_bytes: usize,
    is_ended: bool,
    first_seen_at_ms: u64,
}

impl SubmissionState {
    /// Returns whether all older records have been applied. Until then the other accessors may be incomplete.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// The submission, or `None` until its record has been applied.
    pub fn submission(&self) -> Option<&Arc<Submission>> {
        self.submission.as_ref()
    }

    /// The results in the order of the store; the index of a result is its position for readers.
    pub fn results(&self) -> &[Arc<ItemResult>] {
        &self.results
    }

    /// Returns whether an item has a result.
    pub fn has_result(&self, item: &str) -> bool {
        self.finished_items
            .binary_search_by(|known| (**known).cmp(item))
            .is_ok()
    }

    /// Returns whether the submission was ended.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Returns whether every item has a result.
    pub fn is_complete(&self) -> bool {
        let all_have_results =
            |submission: &Arc<Submission>| self.finished_items.len() >= submission.items.len();
        self.submission.as_ref().is_some_and(all_have_results)
    }

    /// Returns whether the submission was ended or every item has a result.
    pub fn is_finished(&self) -> bool {
        self.is_ended || self.is_complete()
    }

    /// Returns whether the submission still has items to run.
    pub fn is_open(&self) -> bool {
        !self.is_ended && self.submission.is_some() && !self.is_complete()
    }

    /// When this daemon began to track the submission, in ms of its clock. The timeouts of items count from it.
    pub fn first_seen_at_ms(&self) -> u64 {
        self.first_seen_at_ms
    }

    /// Looks up an item by its id.
    pub fn item(&self, id: &str) -> Option<&PackedItem> {
        let submission = self.submission.as_ref()?;
        submission.items.iter().find(|item| &**item.id() == id)
    }

    /// About the memory that the records take, in bytes.
    pub fn held_bytes(&self) -> usize {
        let value_bytes = |(_, _, value): &LedgerEntry| value.len();
        let pending_bytes: usize = self.pending.iter().map(value_bytes).sum();
        self.complete_bytes + self.chunks.held_bytes() + pending_bytes
    }

    fn apply(&mut self, (_, key, value): LedgerEntry) {
        let Some((value_key, number, count)) = value_chunks::split_key(&key) else {
            return;
        };
        let Some((id, kind)) = record::split_key(value_key) else {
            return;
        };
        let complete = self.chunks.push(value_key, number, count, value);
        let record = complete.and_then(|complete| LedgerRecord::decode(id, kind, &complete));
        match record {
            Some(LedgerRecord::Accept(submission)) if self.submission.is_none() => {
                self.complete_bytes += submission.held_bytes();
                self.submission = Some(submission);
            }
            Some(LedgerRecord::Accept(_)) => {}
            Some(LedgerRecord::Result { result, .. }) => self.add_result(result),
            Some(LedgerRecord::End { .. }) => self.is_ended = true,
            None => {}
        }
    }

    fn add_result(&mut self, result: Arc<ItemResult>) {
        if let Err(at) = self.finished_items.binary_search(&result.item) {
            self.finished_items.insert(at, result.item.clone());
            self.complete_bytes += result.held_bytes();
            self.results.push(result);
        }
    }
}

/// The submissions that this daemon runs or serves.
///
/// Only the first result of an item in the order of the store counts, so two daemons may run the same item.
///
/// A daemon tracks only the submissions that it runs or is asked for: if every daemon read every record, reads of
/// the store would grow with the square of the number of daemons.
#[derive(Debug, Default)]
pub struct Ledger {
    submissions: SortedMap<Arc<str>, SubmissionState>,
}

impl Ledger {
    /// Starts to collect new records of a submission; [`Ledger::load`] adds the older ones.
    pub fn track(&mut self, id: &Arc<str>, now_ms: u64) {
        self.submissions
            .get_or_insert_with(id.clone(), || SubmissionState {
                first_seen_at_ms: now_ms,
                ..SubmissionState::default()
            });
    }

    /// Applies a new record of a tracked submission. Records of a partition must come in the order of their offsets.
    pub fn apply(&mut self, entry: LedgerEntry) {
        let state = entry_key(&entry.1).and_then(|(id, _)| self.submissions.get_mut(id));
        let Some(state) = state else {
            return;
        };
        if state.is_loaded {
            state.apply(entry);
        } else {
            state.pending.push(entry);
        }
    }

    /// Applies all records of a submission below the offset `end`, which must have been read after [`Ledger::track`].
    ///
    /// Entries at or after `end` are ignored: a paged read is no snapshot and may lack earlier ones. They arrive
    /// through [`Ledger::apply`].
    pub fn load(&mut self, id: &str, entries: Vec<LedgerEntry>, end: u64) {
        let state = self.submissions.get_mut(id);
        let Some(state) = state.filter(|state| !state.is_loaded) else {
            return;
        };
        let pending = std::mem::take(&mut state.pending);
        let before_end = entries.into_iter().filter(|(offset, ..)| *offset < end);
        let after_end = pending.into_iter().filter(|(offset, ..)| *offset >= end);
        let mut all: Vec<LedgerEntry> = before_end.chain(after_end).collect();
        all.sort_by_key(|(offset, ..)| *offset);
        for entry in all {
            state.apply(entry);
        }
        state.is_loaded = true;
    }

    /// Removes the submissions for which `is_removed` returns true, because their records are no longer followed or
    /// some were missed.
    pub fn remove_if<Remove>(&mut self, is_removed: Remove)
    where
        Remove: Fn(&str) -> bool,
    {
        self.submissions.retain(|id, _| !is_removed(id));
    }

    /// Returns the state of a tracked submission.
    pub fn get(&self, id: &str) -> Option<&SubmissionState> {
        self.submissions.get(id)
    }

    /// Finds a finished result of the same item in any submission of the organisation, generated by versions that `rule`
    /// allows and scored by the same reward call.
    ///
    /// Trainers resubmit groups that were incomplete at the end of a step under the same ids; their finished items
    /// need not be generated again.
    pub fn earlier_result(
        &self,
        of: &Submission,
        item: &PackedItem,
        rule: VersionRule,
    ) -> Option<Arc<ItemResult>> {
        let is_same_organisation = |state: &&SubmissionState| {
            let known = state.submission.as_ref();
            known.is_some_and(|known| known.organisation == of.organisation)
        };
        let states = self.submissions.values().filter(is_same_organisation);
        let reusable = |state: &SubmissionState| {
            let known = state.item(item.id())?;
            let result = state
                .results
                .iter()
                .find(|result| result.item == *item.id())?;
            let is_done =
                result.state == ItemState::Done && known.unpack().reward == item.unpack().reward;
            (is_done && rule.allows(&result.versions)).then(|| result.clone())
        };
        let mut candidates = states.filter(|state| state.has_result(item.id()));
        candidates.find_map(reusable)
    }
}

/// Parses a key of the store into the submission id and the kind of record.
fn entry_key(key: &str) -> Option<(&str, KeyKind)> {
    let (value_key, ..) = value_chunks::split_key(key)?;
    record::split_key(value_key)
}
