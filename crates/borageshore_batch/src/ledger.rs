//! The ledger: every submission with its results by position.

use std::sync::Arc;

use borageshore_base::SortedMap;
use bytes::Bytes;

use crate::{
    pieces::{self, PieceBuffer},
    record::{self, KeyKind, LedgerRecord},
    submission::{Item, ItemResult, ItemState, Submission},
};

/// A record of the store: offset, key, value.
pub type LedgerEntry = (u64, Arc<str>, Bytes);

/// One submission.
#[derive(Debug, Default)]
pub struct SubmissionState {
    /// Whether every record from the first one on was applied.
    is_loaded: bool,
    /// Records that came before the earlier ones were loaded.
    pending: Vec<LedgerEntry>,
    submission: Option<Arc<Submission>>,
    results: Vec<Arc<ItemResult>>,
    /// The items with a result, sorted.
    listed: Vec<Arc<str>>,
    is_ended: bool,
    seen_at_ms: u64,
}

impl SubmissionState {
    /// Says whether every record from the first one on was applied; if not, nothing else that is
    /// said of it can be relied on.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

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

    fn apply(&mut self, pieces: &mut PieceBuffer, (_, key, value): &LedgerEntry) {
        let Some((whole_key, number, count)) = pieces::split_key(key) else {
            return;
        };
        let Some((id, kind)) = record::split_key(whole_key) else {
            return;
        };
        let whole = pieces.push(whole_key, number, count, value.clone());
        let record = whole.and_then(|whole| LedgerRecord::decode(id, kind, &whole));
        match record {
            Some(LedgerRecord::Accept(submission)) => {
                self.submission.get_or_insert(submission);
            }
            Some(LedgerRecord::Result { result, .. }) => self.list(result),
            Some(LedgerRecord::End { .. }) => self.is_ended = true,
            None => {}
        }
    }

    fn list(&mut self, result: Arc<ItemResult>) {
        if let Err(at) = self.listed.binary_search(&result.item) {
            self.listed.insert(at, result.item.clone());
            self.results.push(result);
        }
    }
}

/// The submissions that this daemon has heard of.
///
/// The first result of an item counts, by the order of the store; whoever else made one, made it in
/// vain. So it does no harm when two daemons run the same item.
///
/// A daemon reads new records as they come and the records of older submissions when it needs them:
/// if all daemons that start together read everything, the store is busy with it for longer than a
/// caller waits, and reads that were given up are asked for again.
#[derive(Debug, Default)]
pub struct Ledger {
    submissions: SortedMap<Arc<str>, SubmissionState>,
    pieces: PieceBuffer,
}

impl Ledger {
    /// Takes over a new record; records of one partition come in the order of their offsets.
    ///
    /// `begins` says whether an accepting record that is seen first is the first there is: it may be
    /// the repetition of one from before this daemon began to read.
    pub fn apply(&mut self, entry: LedgerEntry, begins: bool, now_ms: u64) {
        let Some((id, kind)) = entry_key(&entry.1) else {
            return;
        };
        let is_first = begins && kind == KeyKind::Accept;
        let state = self
            .submissions
            .get_or_insert_with(id.into(), || SubmissionState {
                is_loaded: is_first,
                seen_at_ms: now_ms,
                ..SubmissionState::default()
            });
        if state.is_loaded {
            state.apply(&mut self.pieces, &entry);
        } else {
            state.pending.push(entry);
        }
    }

    /// Removes a submission whose records were removed.
    pub fn remove(&mut self, key: &str) {
        if let Some((id, KeyKind::Accept)) = entry_key(key) {
            self.submissions.remove(id);
        }
    }

    /// Takes over all records of a submission that the store had at `end`, which must not lie before
    /// the first offset that was ever given to [`Ledger::apply`]. Later records are left out: a read
    /// in pages may have missed others before them, and they come by `apply`.
    pub fn load(&mut self, id: &str, entries: Vec<LedgerEntry>, end: u64, now_ms: u64) {
        let state = self
            .submissions
            .get_or_insert_with(id.into(), || SubmissionState {
                seen_at_ms: now_ms,
                ..SubmissionState::default()
            });
        if state.is_loaded {
            return;
        }
        let pending = std::mem::take(&mut state.pending);
        let before_end = entries.into_iter().filter(|(offset, ..)| *offset < end);
        let after_end = pending.into_iter().filter(|(offset, ..)| *offset >= end);
        let mut all: Vec<LedgerEntry> = before_end.chain(after_end).collect();
        all.sort_by_key(|(offset, ..)| *offset);
        for entry in &all {
            state.apply(&mut self.pieces, entry);
        }
        state.is_loaded = true;
    }

    /// Forgets what is known of the submissions for which `is_lost` holds: some of their records were
    /// missed, so they have to be loaded again.
    pub fn unload<Lost>(&mut self, is_lost: Lost)
    where
        Lost: Fn(&str) -> bool,
    {
        for (id, state) in self.submissions.iter_mut() {
            if is_lost(id) {
                let seen_at_ms = state.seen_at_ms;
                *state = SubmissionState {
                    seen_at_ms,
                    ..SubmissionState::default()
                };
            }
        }
    }

    /// A submission.
    pub fn get(&self, id: &str) -> Option<&SubmissionState> {
        self.submissions.get(id)
    }

    /// The result of an item in another submission, made under `min_version` or newer ones and scored
    /// by the same reward call.
    ///
    /// Trainers send groups again that were not complete at the end of a step, under the same ids;
    /// what was finished of them need not be made again.
    pub fn earlier_result(&self, item: &Item, min_version: u64) -> Option<Arc<ItemResult>> {
        let states = self.submissions.values();
        let fits = |state: &SubmissionState| {
            let known = state.item(&item.id)?;
            let result = state.results.iter().find(|result| result.item == item.id)?;
            let is_done = result.state == ItemState::Done && known.reward == item.reward;
            let is_new = result
                .versions
                .iter()
                .all(|version| *version >= min_version);
            (is_done && is_new).then(|| result.clone())
        };
        let mut listed = states.filter(|state| state.is_listed(&item.id));
        listed.find_map(fits)
    }

    /// The expected tokens of a model's newest submission, for sharing engines among models.
    pub fn demand_tokens(&self, model: &str) -> u64 {
        let of_model = self.submissions.values().filter(|state| {
            let submission = state.submission.as_ref();
            submission.is_some_and(|known| known.model.as_deref() == Some(model))
        });
        let newest = of_model.max_by_key(|state| state.seen_at_ms);
        let submission = newest.and_then(|state| state.submission.as_ref());
        submission.map_or(0, |submission| {
            let hints = submission.items.iter().map(|item| item.length_hint_tokens);
            hints.map(|hint| hint.unwrap_or(1)).sum()
        })
    }

    /// All submissions by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &SubmissionState)> {
        self.submissions.iter()
    }
}

/// The submission and the kind of record that a key of the store names.
fn entry_key(key: &str) -> Option<(&str, KeyKind)> {
    let (whole_key, ..) = pieces::split_key(key)?;
    record::split_key(whole_key)
}
