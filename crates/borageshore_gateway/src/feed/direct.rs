//! Reads the shared topics from the store.

use std::{rc::Rc, sync::Arc};

use borageshore_feed::read_interval_ms;
use borageshore_net::{boot_time_ms, sleep_ms, within_ms};
use borageshore_platform::{KeyedRecord, StoreError};

use super::{Feed, FeedTopic, TopicPage, start::FIRST_READERS};
use crate::follow::{LONG_POLL_MS, ONLY_PARTITION};

/// How long a read waits at the store if other daemons depend on this one, so that they know soon that nothing has
/// changed, or that this daemon no longer hears from the store.
const ROOT_POLL_MS: u64 = 500;
/// The least pause after a read that brought records of members or endpoints, if other daemons depend on this one.
const COLLECT_MS: u64 = 100;
/// The least pause after a failed read.
const MIN_RETRY_MS: u64 = 150;
/// The limit of the doublings of that pause.
const MAX_DOUBLINGS: u32 = 4;
/// The interval at which a daemon that does not read the store checks whether it has to.
const ROLE_CHECK_MS: u64 = 200;

impl Feed {
    /// Reads a topic from the store whenever this daemon has to.
    pub(super) async fn read_directly(self: Rc<Self>, topic: FeedTopic) {
        let mut failures = 0;
        loop {
            if !self.reads_directly(topic) {
                within_ms(ROLE_CHECK_MS, self.role_changed.notified()).await;
                continue;
            }
            let next_offset = self.log(topic).records.borrow().next_offset();
            let read = match next_offset {
                None => self.load_newest(topic).await,
                Some(from) => self.read_from(topic, from, self.poll_ms()).await,
            };
            match read {
                Ok(0) => failures = 0,
                Ok(_) => {
                    failures = 0;
                    sleep_ms(self.read_pause_ms(topic)).await;
                }
                Err(StoreError::Expired { first }) => {
                    log::info!(topic:?, first; "records expired before they were read; loading the topic again");
                    self.log(topic).reset();
                }
                Err(error) => {
                    log::debug!(topic:?, error:% = error; "could not read a topic; retrying");
                    self.parts.instruments.count("feed_read", "failed");
                    sleep_ms(self.retry_ms(failures)).await;
                    failures += 1;
                }
            }
        }
    }

    /// Reads what is new in a topic from the store at once, whatever the source of this daemon is.
    pub(super) async fn refresh(&self, topic: FeedTopic) -> Result<(), StoreError> {
        let from = self.log(topic).records.borrow().next_offset();
        let Some(from) = from else {
            return Err(StoreError::NotDone("nothing was read yet".into()));
        };
        self.read_from(topic, from, 0).await.map(|_| ())
    }

    fn poll_ms(&self) -> u64 {
        match self.tree().is_flat() {
            true => LONG_POLL_MS,
            false => ROOT_POLL_MS,
        }
    }

    /// The pause after a read that brought records. Where others depend on this daemon, it keeps the reads of all within
    /// their share of the store's calls, however fast records come.
    fn read_pause_ms(&self, topic: FeedTopic) -> u64 {
        match self.tree().is_flat() && !self.is_first_start.get() {
            true => topic.pause_ms(),
            false if topic.is_urgent() => self.paced_ms(topic.pause_ms()),
            false => self.paced_ms(COLLECT_MS),
        }
    }

    /// The pause before a failed read is repeated. Where others depend on this daemon it doubles with each failure and
    /// varies, so that the load falls below what the store gives however many daemons read it.
    fn retry_ms(&self, failures: u32) -> u64 {
        let pause_ms = self.paced_ms(MIN_RETRY_MS);
        if self.tree().is_flat() {
            return pause_ms;
        }
        let pause_ms = pause_ms << failures.min(MAX_DOUBLINGS);
        pause_ms / 2 + self.random() % pause_ms
    }

    fn paced_ms(&self, min_ms: u64) -> u64 {
        let mut readers = self.tree().readers();
        if self.is_first_start.get() {
            readers = readers.max(FIRST_READERS);
        }
        read_interval_ms(readers, FeedTopic::ALL.len(), self.parts.limits, min_ms)
    }

    async fn read_from(
        &self,
        topic: FeedTopic,
        from: u64,
        wait_ms: u64,
    ) -> Result<usize, StoreError> {
        let requested_at_ms = boot_time_ms();
        let store = &self.parts.store;
        let page = store
            .read(topic.store_topic(), ONLY_PARTITION, from, wait_ms)
            .await?;
        if page.end < from {
            log::warn!(topic:?, from, end = page.end; "records of a peer lie behind the end of the topic; discarding them");
            self.log(topic).reset();
            return Ok(0);
        }
        let next_offset = page.records.last().map_or(from, |last| last.offset + 1);
        let is_whole = next_offset >= page.end;
        let added = self.add(
            topic,
            TopicPage {
                from,
                records: page.records,
                next_offset,
                is_whole,
                current_at_ms: is_whole.then_some(requested_at_ms),
            },
        );
        self.on_read(added);
        Ok(added)
    }

    /// Loads the newest record of each key. A part that fails is asked for again, and the parts before it are kept.
    async fn load_newest(&self, topic: FeedTopic) -> Result<usize, StoreError> {
        let requested_at_ms = boot_time_ms();
        let store = &self.parts.store;
        let mut records: Vec<KeyedRecord> = Vec::new();
        let mut first_end = None;
        let mut failures = 0;
        let mut after: Arc<str> = "".into();
        loop {
            let read = store.newest_chunk(topic.store_topic(), ONLY_PARTITION, &after);
            let chunk = match read.await {
                Ok(chunk) => chunk,
                Err(_) if !records.is_empty() && self.reads_directly(topic) => {
                    self.parts.instruments.count("feed_read", "failed");
                    sleep_ms(self.retry_ms(failures)).await;
                    failures += 1;
                    continue;
                }
                Err(error) => return Err(error),
            };
            first_end.get_or_insert(chunk.end);
            records.extend(chunk.records);
            match chunk.next_after {
                Some(key) => after = key,
                None => break,
            }
        }
        records.sort_by_key(|record| record.offset);
        // Records that were appended after the first part are read again in the order of their offsets.
        let next_offset = first_end.unwrap_or(0);
        records.retain(|record| record.offset < next_offset);
        let added = self.add(
            topic,
            TopicPage {
                from: 0,
                records,
                next_offset,
                is_whole: true,
                current_at_ms: Some(requested_at_ms),
            },
        );
        self.on_read(added);
        Ok(added)
    }

    fn on_read(&self, added: usize) {
        let outcome = match added {
            0 => "confirmed",
            _ => "records",
        };
        self.parts.instruments.count("feed_read", outcome);
        let now_ms = self.now_ms();
        if self.is_current() {
            self.selector.borrow_mut().on_progress(now_ms);
        }
    }
}
