//! Writes item results to the store.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::SortedMap;
use borageshore_batch::{ItemResult, LedgerRecord};
use borageshore_net::sleep_ms;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    shard::Shard, store_transport::Store, submission_index::SubmissionIndex,
    submissions::MAX_APPEND_BYTES,
};

/// Results that arrive within this time are appended together; trainers read twice a second.
const BATCH_WINDOW_MS: u64 = 15;
/// The pause after an append that failed.
const RETRY_MS: u64 = 120;

/// The bytes of results that may wait for the store before no other item is started. Texts that are being generated then
/// still add theirs.
const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// Appends queued results, one queue per shard, and retries until the store has them.
#[derive(Debug)]
pub(crate) struct Writer {
    store: Store,
    /// The name of this process, unique among all processes ever started.
    author: String,
    index: Rc<SubmissionIndex>,
    queues: RefCell<SortedMap<Shard, Rc<Queue>>>,
    attempts: RefCell<u64>,
    /// The bytes of the results that the store does not have yet.
    unwritten_bytes: Cell<usize>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: RefCell<Vec<LedgerRecord>>,
    in_flight: RefCell<usize>,
    added: Notify,
}

impl Writer {
    pub(crate) fn open(store: Store, author: String, index: Rc<SubmissionIndex>) -> Rc<Self> {
        Rc::new(Self {
            store,
            author,
            index,
            queues: RefCell::default(),
            attempts: RefCell::default(),
            unwritten_bytes: Cell::default(),
        })
    }

    /// Queues a result.
    pub(crate) fn write(self: &Rc<Self>, submission: Arc<str>, result: ItemResult) {
        let queue = self.queue(self.index.shard_of(&submission));
        self.add_bytes(result.held_bytes() as isize);
        queue.waiting.borrow_mut().push(LedgerRecord::Result {
            submission,
            result: Arc::new(result),
        });
        queue.added.notify_one();
    }

    /// The queue of a shard; its task is spawned with it.
    fn queue(self: &Rc<Self>, shard: Shard) -> Rc<Queue> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_or_insert_with(shard.clone(), || {
            let queue = Rc::<Queue>::default();
            monoio::spawn(self.clone().run(shard, queue.clone()));
            queue
        });
        queue.clone()
    }

    /// The number of results that the store does not have yet.
    pub(crate) fn unwritten(&self) -> usize {
        let queue_len =
            |queue: &Rc<Queue>| queue.waiting.borrow().len() + *queue.in_flight.borrow();
        self.queues.borrow().values().map(queue_len).sum()
    }

    /// The bytes of the results that the store does not have yet.
    pub(crate) fn unwritten_bytes(&self) -> usize {
        self.unwritten_bytes.get()
    }

    /// Whether so much waits for the store that no other item should be started.
    pub(crate) fn is_behind(&self) -> bool {
        self.unwritten_bytes.get() > MAX_WAITING_BYTES
    }

    fn add_bytes(&self, change: isize) {
        let unwritten_bytes = self.unwritten_bytes.get();
        self.unwritten_bytes
            .set(unwritten_bytes.saturating_add_signed(change));
    }

    async fn run(self: Rc<Self>, shard: Shard, queue: Rc<Queue>) {
        let store = shard.store(&self.store);
        loop {
            if queue.waiting.borrow().is_empty() {
                queue.added.notified().await;
                sleep_ms(BATCH_WINDOW_MS).await;
            }
            let records = queue.waiting.take();
            *queue.in_flight.borrow_mut() = records.len();
            let bytes: usize = records.iter().map(LedgerRecord::result_bytes).sum();
            self.append(&store, &shard, records).await;
            self.add_bytes(-(bytes as isize));
            *queue.in_flight.borrow_mut() = 0;
        }
    }

    /// Retries until the store confirms the append of all records.
    ///
    /// An append without a response may have succeeded, or succeed later. The retry uses a new key: the ledger takes
    /// the first result of an item and ignores the second.
    async fn append(&self, store: &Store, shard: &Shard, records: Vec<LedgerRecord>) {
        let mut next = 0;
        let mut is_failing = false;
        while next < records.len() {
            let (count, batch) = self.encode(&records[next..]);
            match store
                .append_once(shard.topic(), shard.partition(), &batch)
                .await
            {
                Ok(_) => next += count,
                Err(error) => {
                    if !std::mem::replace(&mut is_failing, true) {
                        log::warn!(shard = shard.number(), topic:? = shard.topic(), results = records.len(), error:% = error; "results not written to the store; retrying");
                    }
                    sleep_ms(RETRY_MS).await;
                }
            }
        }
    }

    /// Encodes as many records as fit into one append.
    fn encode(&self, records: &[LedgerRecord]) -> (usize, Vec<(Arc<str>, Bytes)>) {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut count = 0;
        for record in records {
            let encoded = record.encode(&self.next_attempt());
            bytes += encoded.iter().map(|(_, value)| value.len()).sum::<usize>();
            if bytes > MAX_APPEND_BYTES && count > 0 {
                break;
            }
            batch.extend(encoded);
            count += 1;
        }
        (count, batch)
    }

    fn next_attempt(&self) -> String {
        let mut attempts = self.attempts.borrow_mut();
        *attempts += 1;
        format!("{}.{attempts}", self.author)
    }
}
