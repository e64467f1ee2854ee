//! Saves unfinished texts to the store, so that a new owner resumes them after a takeover.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{
    EngineReport, HeldKind, PieceBatch, PieceJoiner, Text, TextPiece, WorkHold, WorkMemory,
};
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::StoreError;
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::sync::Notify;

use crate::{
    endpoints::Endpoints, members::Members, shard::Shard, store_transport::Store,
    submission_index::SubmissionIndex, text_cache::most_text_bytes, true_time::time_of_day_ms,
};

/// The minimum interval at which new events are saved; a crash loses the events since the last save.
const SAVE_INTERVAL_MS: u64 = 250;
/// The interval per daemon that runs submissions. From ten daemons on, it keeps the appends of all of them together at
/// a constant rate, at most 80 a second. The store takes 800 to 1,200.
const SAVE_INTERVAL_MS_PER_HOLDER: u64 = 25;
/// The minimum number of events for a text to be saved; fewer are generated again within the time that a takeover
/// takes.
const MIN_EVENTS: usize = 10;
/// The maximum bytes a second that all daemons together save: the store keeps at least 20 s of history, and 400 MB in
/// all topics.
const MAX_TOTAL_BYTES_PER_S: usize = 6_000_000;
/// The maximum bytes of events in a record: the store's limit is 256 KiB, and the encoding may double the size of
/// quotes and line breaks. A text with more unsaved bytes, as in an outage of the store, is no longer saved: if only a
/// part of its events were, they could not be matched to the versions that generated them. Most texts have 9 to 65 kB.
const MAX_RECORD_BYTES: usize = 100_000;
/// The number of records at the end of a shard in which a reader looks for the offset of the oldest needed piece: eight
/// seconds of one daemon's records, or four if two write to the same shard. It must be enough to find the last records
/// of an owner whose death was detected some seconds later. The last 8 records of a partition for all submissions of a
/// trainer did not include those of an owner that was cut off two seconds before.
const TAIL_RECORDS: u64 = 32;
/// The minimum interval at which the latencies of engines are saved in a shard, with the texts. It must be short enough
/// that the last [`TAIL_RECORDS`] hold one.
const SAVE_LATENCIES_INTERVAL_MS: u64 = 2_000;
/// Older latencies of engines are ignored: engines have turned slow or fast again since.
const MAX_LATENCIES_AGE_MS: u64 = 15_000;

/// The run of an item whose text is being saved.
#[derive(Debug)]
struct SavedRun {
    item: Arc<str>,
    shard: Shard,
    /// The number of the first unsaved event, counted from 1.
    next_event: u64,
    unsaved: Vec<Bytes>,
    versions: Vec<u64>,
    /// The offset of its first piece; `None` until that is saved.
    first_offset: Option<u64>,
}

impl SavedRun {
    fn unsaved_bytes(&self) -> usize {
        self.unsaved.iter().map(Bytes::len).sum()
    }

    /// Whether its unsaved events are to be saved: fewer than `MIN_EVENTS` only if earlier events of the text were
    /// saved.
    fn is_due(&self) -> bool {
        let is_worth_storing = self.unsaved.len() >= MIN_EVENTS || self.first_offset.is_some();
        is_worth_storing && !self.unsaved.is_empty()
    }
}

/// Dependencies of [`Progress`].
#[derive(Debug)]
pub(crate) struct ProgressParts {
    pub(crate) store: Store,
    pub(crate) clock: Clock,
    pub(crate) members: Rc<Members>,
    pub(crate) endpoints: Rc<Endpoints>,
    /// The name of this process, unique among all processes ever started.
    pub(crate) author: Arc<str>,
    pub(crate) index: Rc<SubmissionIndex>,
    /// Bounds the texts that are restored at once.
    pub(crate) memory: WorkMemory,
    pub(crate) is_enabled: bool,
}

/// Saves and restores unfinished texts.
///
/// Guards against a step that takes much longer when the daemon that runs it dies. When texts of seven seconds
/// restarted after a stop of all processes, a step took 12.4 s instead of 8, and two later ones were never asked. Only
/// a new owner reads what is saved; texts that are missing, or that cannot be read during an outage of the store,
/// restart.
#[derive(Debug)]
pub(crate) struct Progress {
    store: Store,
    clock: Clock,
    members: Rc<Members>,
    endpoints: Rc<Endpoints>,
    /// The name of this process, unique among all processes ever started.
    author: Arc<str>,
    index: Rc<SubmissionIndex>,
    memory: WorkMemory,
    is_enabled: bool,
    runs: RefCell<SortedMap<u64, SavedRun>>,
    next_run: Cell<u64>,
    /// When the latencies of engines were last compared for saving, by shard.
    latencies_compared_at_ms: RefCell<SortedMap<Shard, u64>>,
    is_failing: Cell<bool>,
    run_added: Notify,
}

impl Progress {
    pub(crate) fn spawn(parts: ProgressParts) -> Rc<Self> {
        let ProgressParts {
            store,
            clock,
            members,
            endpoints,
            author,
            index,
            memory,
            is_enabled,
        } = parts;
        let progress = Rc::new(Self {
            store,
            clock,
            members,
            endpoints,
            author,
            index,
            memory,
            is_enabled,
            runs: RefCell::default(),
            next_run: Cell::default(),
            latencies_compared_at_ms: RefCell::default(),
            is_failing: Cell::default(),
            run_added: Notify::new(),
        });
        monoio::spawn(progress.clone().run());
        progress
    }

    /// Starts to save the text of an item, including the events that it already has.
    pub(crate) fn start_saving(
        self: &Rc<Self>,
        submission: &str,
        item: &Arc<str>,
        text: &Text,
    ) -> SaveHandle {
        let run = self.next_run.get() + 1;
        self.next_run.set(run);
        let saved = SavedRun {
            item: item.clone(),
            shard: self.index.shard_of(submission),
            next_event: 1,
            unsaved: text.events().to_vec(),
            versions: text.versions().to_vec(),
            first_offset: None,
        };
        if self.is_enabled && saved.unsaved_bytes() <= MAX_RECORD_BYTES {
            self.runs.borrow_mut().insert(run, saved);
        }
        self.run_added.notify_one();
        SaveHandle {
            progress: self.clone(),
            run,
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            if self.runs.borrow().is_empty() {
                self.run_added.notified().await;
            }
            let holders = self.members.holder_count().max(1);
            let interval_ms = SAVE_INTERVAL_MS.max(holders as u64 * SAVE_INTERVAL_MS_PER_HOLDER);
            sleep_ms(interval_ms).await;
            self.save(bytes_per_save(interval_ms, holders)).await;
        }
    }

    async fn save(&self, bytes: usize) {
        let mut shards: Vec<(Shard, Vec<u64>)> = Vec::new();
        for (shard, run) in self.due(bytes) {
            match shards.iter_mut().find(|(known, _)| *known == shard) {
                Some((_, runs)) => runs.push(run),
                None => shards.push((shard, vec![run])),
            }
        }
        join_all(shards.iter().map(|(shard, runs)| self.append(shard, runs))).await;
    }

    /// The runs to save now, with their shards: the longest texts first, up to a total of `bytes`.
    fn due(&self, bytes: usize) -> Vec<(Shard, u64)> {
        let runs = self.runs.borrow();
        let due = runs.iter().filter(|(_, run)| run.is_due());
        let mut due: Vec<(u64, &SavedRun)> = due.map(|(number, run)| (*number, run)).collect();
        due.sort_by_key(|(_, run)| Reverse(run.next_event + run.unsaved.len() as u64));
        let mut total_bytes = 0;
        let fits = |(_, run): &(u64, &SavedRun)| {
            let is_first = total_bytes == 0;
            total_bytes += run.unsaved_bytes();
            is_first || total_bytes <= bytes
        };
        let due = due.into_iter().take_while(fits);
        due.map(|(number, run)| (run.shard.clone(), number))
            .collect()
    }

    async fn append(&self, shard: &Shard, due: &[u64]) {
        let store = shard.store(&self.store);
        for numbers in self.records(due) {
            let Some((batch, stored_until)) = self.batch(shard, &numbers) else {
                continue;
            };
            let record = [(Arc::from(""), batch.encode())];
            let appended = store
                .append(shard.progress_topic(), shard.partition(), &record, None)
                .await;
            match appended {
                Ok(appended) => {
                    self.on_saved(&stored_until, appended.offset);
                    self.is_failing.replace(false);
                }
                Err(error) => {
                    self.on_store_error(&error);
                    return;
                }
            }
        }
    }

    /// Groups runs into records of at most `MAX_RECORD_BYTES`.
    fn records(&self, due: &[u64]) -> Vec<Vec<u64>> {
        let runs = self.runs.borrow();
        let mut records: Vec<Vec<u64>> = Vec::new();
        let mut bytes = MAX_RECORD_BYTES;
        for number in due {
            let run_bytes = runs.get(number).map_or(0, SavedRun::unsaved_bytes);
            if bytes + run_bytes > MAX_RECORD_BYTES {
                records.push(Vec::new());
                bytes = 0;
            }
            bytes += run_bytes;
            records.last_mut().expect("one was pushed").push(*number);
        }
        records
    }

    /// The unsaved pieces of some runs, and the number after the last event of each; `None` if all runs have ended.
    fn batch(&self, shard: &Shard, numbers: &[u64]) -> Option<(PieceBatch, Vec<(u64, u64)>)> {
        let runs = self.runs.borrow();
        let known = numbers
            .iter()
            .filter_map(|number| Some((*number, runs.get(number)?)));
        let mut stored_until = Vec::new();
        let mut pieces = Vec::new();
        for (number, run) in known {
            stored_until.push((number, run.next_event + run.unsaved.len() as u64));
            let text = |event: &Bytes| String::from_utf8_lossy(event).into_owned();
            pieces.push(TextPiece {
                item: run.item.clone(),
                run: number,
                first_event: run.next_event,
                events: run.unsaved.iter().map(text).collect(),
                versions: run.versions.clone(),
            });
        }
        let shard_runs = runs.values().filter(|run| run.shard == *shard);
        let needed_from = shard_runs.filter_map(|run| run.first_offset).min();
        if stored_until.is_empty() {
            return None;
        }
        let batch = PieceBatch {
            author: self.author.clone(),
            needed_from: needed_from.unwrap_or(u64::MAX),
            pieces,
            engines: self.engine_report(shard),
        };
        Some((batch, stored_until))
    }

    /// What to save of the engines' latencies with the next texts of a shard.
    fn engine_report(&self, shard: &Shard) -> Option<EngineReport> {
        let now_ms = self.clock.now_ms();
        let mut compared_at_ms = self.latencies_compared_at_ms.borrow_mut();
        compared_at_ms.retain(|_, at_ms| now_ms < *at_ms + SAVE_LATENCIES_INTERVAL_MS);
        if compared_at_ms.contains_key(shard) {
            return None;
        }
        // Counts without a report too: the cost of the comparison grows with the number of engines.
        compared_at_ms.insert(shard.clone(), now_ms);
        let latencies = self.endpoints.latencies_to_hand_over();
        (!latencies.is_empty()).then(|| EngineReport {
            at_unix_ms: time_of_day_ms(),
            latencies,
        })
    }

    /// Takes over what the last owner of a shard measured of the engines.
    fn take_over_latencies(&self, batches: &[PieceBatch]) {
        // The last one in the order of the store: the VMs' times of day differ.
        let mut reports = batches.iter().filter_map(|batch| batch.engines.as_ref());
        let Some(report) = reports.next_back() else {
            return;
        };
        let age_ms = time_of_day_ms().abs_diff(report.at_unix_ms);
        if age_ms >= MAX_LATENCIES_AGE_MS {
            log::info!(age_ms; "saved latencies of engines are too old; all engines count as equal");
            return;
        }
        let taken = self.endpoints.take_over_latencies(&report.latencies);
        log::info!(engines = report.latencies.len(), taken, age_ms; "took over the latencies of engines");
    }

    /// Removes saved events from the runs; an overlapping append may have removed some already.
    fn on_saved(&self, stored_until: &[(u64, u64)], offset: u64) {
        let mut runs = self.runs.borrow_mut();
        for (number, stored_until) in stored_until {
            if let Some(run) = runs.get_mut(number) {
                let stored = stored_until.saturating_sub(run.next_event);
                run.unsaved.drain(..stored as usize);
                run.next_event += stored;
                run.first_offset.get_or_insert(offset);
            }
        }
    }

    fn on_store_error(&self, error: &StoreError) {
        if !self.is_failing.replace(true) {
            log::warn!(error:% = error; "unfinished texts not saved; a new owner would restart them");
        }
    }

    /// Reads the saved texts in a submission's shard; none if that fails or exceeds the timeout.
    pub(crate) async fn restore(&self, submission: &str, timeout_ms: u64) -> Vec<(Arc<str>, Text)> {
        if !self.is_enabled {
            return Vec::new();
        }
        let started_at_ms = self.clock.now_ms();
        match within_ms(
            timeout_ms,
            self.read_texts(&self.index.shard_of(submission)),
        )
        .await
        {
            Some(Ok(texts)) => {
                let took_ms = self.clock.now_ms() - started_at_ms;
                log::info!(submission, texts = texts.len(), took_ms; "restored the saved texts of unfinished items");
                texts
            }
            Some(Err(error)) => {
                log::warn!(submission, error:% = error; "saved texts cannot be read; unfinished items restart");
                Vec::new()
            }
            None => {
                log::warn!(submission, within = timeout_ms; "read of saved texts timed out; unfinished items restart");
                Vec::new()
            }
        }
    }

    async fn read_texts(&self, shard: &Shard) -> Result<Vec<(Arc<str>, Text)>, StoreError> {
        let (topic, partition) = (shard.progress_topic(), shard.partition());
        let end = shard.store(&self.store).end(topic, partition).await?;
        let tail = end.saturating_sub(TAIL_RECORDS);
        let mut hold = self.memory.hold(HeldKind::Texts, 0);
        let last = self.read_batches(shard, tail, end, &mut hold).await?;
        let needed_from = last.iter().map(|batch| batch.needed_from).min();
        let needed_from = needed_from.unwrap_or(tail).min(tail);
        self.take_over_latencies(&last);
        let earlier = self
            .read_batches(shard, needed_from, tail, &mut hold)
            .await?;
        let mut joiner = PieceJoiner::default();
        for batch in earlier.into_iter().chain(last) {
            joiner.push(batch);
        }
        Ok(joiner.texts())
    }

    /// Reads the batches between two offsets; skips those that have expired in the store.
    async fn read_batches(
        &self,
        shard: &Shard,
        from: u64,
        end: u64,
        hold: &mut WorkHold,
    ) -> Result<Vec<PieceBatch>, StoreError> {
        let store = shard.store(&self.store);
        let mut next = from;
        let mut batches = Vec::new();
        while next < end {
            let (topic, partition) = (shard.progress_topic(), shard.partition());
            match store.read(topic, partition, next, 0).await {
                Ok(page) if page.records.is_empty() => break,
                Ok(page) => {
                    next += page.records.len() as u64;
                    let values = page.records.iter().flat_map(|record| &record.value);
                    let page_bytes: u64 = values.map(|value| value.len() as u64).sum();
                    let bytes = hold.bytes() + page_bytes;
                    // Several submissions may be taken over at once.
                    if bytes > most_text_bytes(&self.memory) || !hold.try_set(bytes) {
                        let why = "more saved texts than there is memory for";
                        return Err(StoreError::NotDone(why.into()));
                    }
                    let values = page.records.into_iter().filter_map(|record| record.value);
                    batches.extend(values.filter_map(|value| PieceBatch::decode(&value)));
                }
                Err(StoreError::Expired { first }) if first > next => next = first,
                Err(error) => return Err(error),
            }
        }
        Ok(batches)
    }
}

/// The bytes that this daemon may save at a time: an equal share of `MAX_TOTAL_BYTES_PER_S`.
fn bytes_per_save(interval_ms: u64, holders: usize) -> usize {
    MAX_TOTAL_BYTES_PER_S * interval_ms as usize / 1_000 / holders
}

/// Saves the text of one run until it is dropped.
#[derive(Debug)]
pub(crate) struct SaveHandle {
    progress: Rc<Progress>,
    run: u64,
}

impl SaveHandle {
    /// Adds the next event of the text.
    pub(crate) fn push(&self, data: Bytes, version: u64) {
        let mut runs = self.progress.runs.borrow_mut();
        if let Some(run) = runs.get_mut(&self.run) {
            run.unsaved.push(data);
            if !run.versions.contains(&version) {
                run.versions.push(version);
            }
            if run.unsaved_bytes() > MAX_RECORD_BYTES {
                log::info!(item = &*run.item; "too many unsaved bytes of a text; no longer saving it");
                runs.remove(&self.run);
            }
        }
    }
}

impl Drop for SaveHandle {
    fn drop(&mut self) {
        self.progress.runs.borrow_mut().remove(&self.run);
    }
}
