//! Progress of texts under way, kept in the store: a successor goes on where the last owner was.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{PieceBatch, PieceJoiner, Text, TextPiece};
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::StoreError;
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::sync::Notify;

use crate::{ledger_view::Shard, members::Members, store_transport::Store};

/// The pace at which new events are stored; a full stop loses what was made since.
const SAVE_EVERY_MS: u64 = 250;
/// The pace falls by this much for each daemon that runs steps beyond ten, so that all of them together make
/// 80 appends a second at the most, of the 800 to 1,200 that the store takes.
const SAVE_EVERY_MS_PER_HOLDER: u64 = 25;
/// A text with fewer events is made again in a third of a second, no longer than a takeover takes.
const LEAST_EVENTS: usize = 10;
/// The bytes a second that all daemons together store: the store keeps 20 s of history or more, and takes
/// 400 MB of all topics.
const ALL_BYTES_PER_S: usize = 6_000_000;
/// The most bytes of events in a record: the store takes 256 KiB, and the encoding may double quotes and line
/// ends. A text of which more waits to be stored, in an outage of the store, is not stored any more: with a part
/// of its events it could not be said which versions made them. Usual ones have 9 to 65 kB in all.
const RECORD_BYTES: usize = 100_000;
/// The last records of a shard from which a reader learns where the pieces begin that are needed: eight
/// seconds of one daemon's, or four of two that write to the same shard. With the last 8 of a partition for
/// all submissions of a trainer, those of an owner that was cut off two seconds ago were not among them.
const TAIL_RECORDS: u64 = 32;

/// A run whose text is stored as it grows.
#[derive(Debug)]
struct SavedRun {
    item: Arc<str>,
    shard: Shard,
    /// The number of the next event to store.
    next_event: u64,
    unsaved: Vec<Bytes>,
    versions: Vec<u64>,
    /// Where its first piece lies; `None` before that was stored.
    began_at: Option<u64>,
}

impl SavedRun {
    fn unsaved_bytes(&self) -> usize {
        self.unsaved.iter().map(Bytes::len).sum()
    }

    /// Whether it is worth storing: a short text is, once it was begun with.
    fn is_due(&self) -> bool {
        let is_long = self.unsaved.len() >= LEAST_EVENTS || self.began_at.is_some();
        is_long && !self.unsaved.is_empty()
    }
}

/// Stores and restores texts under way.
///
/// Guards a step against the end of the daemon that runs it. Texts of seven seconds began again when all
/// processes stopped: the step took 12.4 s instead of 8, and two later ones were never asked for. What is
/// stored is only ever read by a successor; where it is missing or the store is away, texts begin again.
#[derive(Debug)]
pub(crate) struct Progress {
    store: Store,
    clock: Clock,
    members: Rc<Members>,
    /// Names this process among all that ever wrote.
    author: Arc<str>,
    partitions: u64,
    is_on: bool,
    runs: RefCell<SortedMap<u64, SavedRun>>,
    next_run: Cell<u64>,
    is_lost: Cell<bool>,
    began: Notify,
}

impl Progress {
    pub(crate) fn spawn(
        store: Store,
        clock: Clock,
        members: Rc<Members>,
        author: Arc<str>,
        partitions: u64,
        is_on: bool,
    ) -> Rc<Self> {
        let progress = Rc::new(Self {
            store,
            clock,
            members,
            author,
            partitions,
            is_on,
            runs: RefCell::default(),
            next_run: Cell::default(),
            is_lost: Cell::default(),
            began: Notify::new(),
        });
        monoio::spawn(progress.clone().run());
        progress
    }

    /// Begins to store the text of an item, with what there is of it already.
    pub(crate) fn begin(self: &Rc<Self>, submission: &str, item: &Arc<str>, text: &Text) -> Saving {
        let run = self.next_run.get() + 1;
        self.next_run.set(run);
        let saved = SavedRun {
            item: item.clone(),
            shard: Shard::of(submission, self.partitions),
            next_event: 1,
            unsaved: text.events().to_vec(),
            versions: text.versions().to_vec(),
            began_at: None,
        };
        if self.is_on && saved.unsaved_bytes() <= RECORD_BYTES {
            self.runs.borrow_mut().insert(run, saved);
        }
        self.began.notify_one();
        Saving {
            progress: self.clone(),
            run,
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            if self.runs.borrow().is_empty() {
                self.began.notified().await;
            }
            let holders = self.members.holder_count().max(1);
            let pause_ms = SAVE_EVERY_MS.max(holders as u64 * SAVE_EVERY_MS_PER_HOLDER);
            sleep_ms(pause_ms).await;
            self.save(bytes_a_turn(pause_ms, holders)).await;
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
        join_all(shards.iter().map(|(shard, runs)| self.append(*shard, runs))).await;
    }

    /// The runs to store now, with their shards: the longest texts first, as far as the bytes go.
    fn due(&self, bytes: usize) -> Vec<(Shard, u64)> {
        let runs = self.runs.borrow();
        let due = runs.iter().filter(|(_, run)| run.is_due());
        let mut due: Vec<(u64, &SavedRun)> = due.map(|(number, run)| (*number, run)).collect();
        due.sort_by_key(|(_, run)| Reverse(run.next_event + run.unsaved.len() as u64));
        let mut taken_bytes = 0;
        let fits = |(_, run): &(u64, &SavedRun)| {
            let is_first = taken_bytes == 0;
            taken_bytes += run.unsaved_bytes();
            is_first || taken_bytes <= bytes
        };
        let due = due.into_iter().take_while(fits);
        due.map(|(number, run)| (run.shard, number)).collect()
    }

    async fn append(&self, shard: Shard, due: &[u64]) {
        for numbers in self.records(due) {
            let Some((batch, stored_to)) = self.batch(shard, &numbers) else {
                continue;
            };
            let record = [(Arc::from(""), batch.encode())];
            let appended = self
                .store
                .append(shard.progress_topic(), shard.partition(), &record, None)
                .await;
            match appended {
                Ok(appended) => {
                    self.note_saved(&stored_to, appended.offset);
                    self.is_lost.replace(false);
                }
                Err(error) => {
                    self.note_loss(&error);
                    return;
                }
            }
        }
    }

    /// Shares runs out over records.
    fn records(&self, due: &[u64]) -> Vec<Vec<u64>> {
        let runs = self.runs.borrow();
        let mut records: Vec<Vec<u64>> = Vec::new();
        let mut bytes = RECORD_BYTES;
        for number in due {
            let run_bytes = runs.get(number).map_or(0, SavedRun::unsaved_bytes);
            if bytes + run_bytes > RECORD_BYTES {
                records.push(Vec::new());
                bytes = 0;
            }
            bytes += run_bytes;
            records.last_mut().expect("one was pushed").push(*number);
        }
        records
    }

    /// The pieces of some runs, and the event after the last of each; `None` if all have ended meanwhile.
    fn batch(&self, shard: Shard, numbers: &[u64]) -> Option<(PieceBatch, Vec<(u64, u64)>)> {
        let runs = self.runs.borrow();
        let known = numbers
            .iter()
            .filter_map(|number| Some((*number, runs.get(number)?)));
        let mut stored_to = Vec::new();
        let mut pieces = Vec::new();
        for (number, run) in known {
            stored_to.push((number, run.next_event + run.unsaved.len() as u64));
            let text = |event: &Bytes| String::from_utf8_lossy(event).into_owned();
            pieces.push(TextPiece {
                item: run.item.clone(),
                run: number,
                first_event: run.next_event,
                events: run.unsaved.iter().map(text).collect(),
                versions: run.versions.clone(),
            });
        }
        let of_shard = runs.values().filter(|run| run.shard == shard);
        let needed_from = of_shard.filter_map(|run| run.began_at).min();
        let batch = PieceBatch {
            author: self.author.clone(),
            needed_from: needed_from.unwrap_or(u64::MAX),
            pieces,
        };
        (!stored_to.is_empty()).then_some((batch, stored_to))
    }

    /// Notes what an append has stored; another one under way at the same time may have stored it too.
    fn note_saved(&self, stored_to: &[(u64, u64)], offset: u64) {
        let mut runs = self.runs.borrow_mut();
        for (number, stored_to) in stored_to {
            if let Some(run) = runs.get_mut(number) {
                let stored = stored_to.saturating_sub(run.next_event);
                run.unsaved.drain(..stored as usize);
                run.next_event += stored;
                run.began_at.get_or_insert(offset);
            }
        }
    }

    fn note_loss(&self, error: &StoreError) {
        if !self.is_lost.replace(true) {
            log::warn!(error:% = error; "texts under way are not stored, a successor would begin them again");
        }
    }

    /// Reads the texts under way of a submission's items, as far as they are stored.
    pub(crate) async fn restore(&self, submission: &str, within: u64) -> Vec<(Arc<str>, Text)> {
        if !self.is_on {
            return Vec::new();
        }
        let started_ms = self.clock.now_ms();
        match within_ms(
            within,
            self.read_texts(Shard::of(submission, self.partitions)),
        )
        .await
        {
            Some(Ok(texts)) => {
                let took_ms = self.clock.now_ms() - started_ms;
                log::info!(submission, texts = texts.len(), took_ms; "texts under way restored");
                texts
            }
            Some(Err(error)) => {
                log::warn!(submission, error:% = error; "texts under way cannot be read, they begin again");
                Vec::new()
            }
            None => {
                log::warn!(submission, within; "texts under way took too long to read, they begin again");
                Vec::new()
            }
        }
    }

    async fn read_texts(&self, shard: Shard) -> Result<Vec<(Arc<str>, Text)>, StoreError> {
        let (topic, partition) = (shard.progress_topic(), shard.partition());
        let end = self.store.end(topic, partition).await?;
        let tail = end.saturating_sub(TAIL_RECORDS);
        let last = self.read_batches(shard, tail, end).await?;
        let needed_from = last.iter().map(|batch| batch.needed_from).min();
        let needed_from = needed_from.unwrap_or(tail).min(tail);
        let earlier = self.read_batches(shard, needed_from, tail).await?;
        let mut joiner = PieceJoiner::default();
        for batch in earlier.into_iter().chain(last) {
            joiner.push(batch);
        }
        Ok(joiner.texts())
    }

    /// Reads the batches between two offsets, as far as they are still kept.
    async fn read_batches(
        &self,
        shard: Shard,
        from: u64,
        end: u64,
    ) -> Result<Vec<PieceBatch>, StoreError> {
        let mut next = from;
        let mut batches = Vec::new();
        while next < end {
            let (topic, partition) = (shard.progress_topic(), shard.partition());
            match self.store.read(topic, partition, next, 0).await {
                Ok(page) if page.records.is_empty() => break,
                Ok(page) => {
                    next += page.records.len() as u64;
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

/// This daemon's part of what all that run steps store.
fn bytes_a_turn(pause_ms: u64, holders: usize) -> usize {
    ALL_BYTES_PER_S * pause_ms as usize / 1_000 / holders
}

/// Stores the text of one run until it is dropped.
#[derive(Debug)]
pub(crate) struct Saving {
    progress: Rc<Progress>,
    run: u64,
}

impl Saving {
    /// Takes over the next event of the text.
    pub(crate) fn push(&self, data: Bytes, version: u64) {
        let mut runs = self.progress.runs.borrow_mut();
        if let Some(run) = runs.get_mut(&self.run) {
            run.unsaved.push(data);
            if !run.versions.contains(&version) {
                run.versions.push(version);
            }
            if run.unsaved_bytes() > RECORD_BYTES {
                log::info!(item = &*run.item; "too much of a text waits to be stored, it is not any more");
                runs.remove(&self.run);
            }
        }
    }
}

impl Drop for Saving {
    fn drop(&mut self) {
        self.progress.runs.borrow_mut().remove(&self.run);
    }
}
