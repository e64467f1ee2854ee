//! Reads the shared topics from the store.

use std::rc::Rc;

use borageshore_feed::{FallbackLoad, LogRecord, Readers, encoded_bytes, read_interval_ms};
use borageshore_net::{boot_time_ms, sleep_ms, within_ms};
use borageshore_platform::{KeyedRecord, StoreError};

use super::{Feed, FeedTopic, Phase, TopicPage, start::FIRST_READERS};
use crate::follow::{LONG_POLL_MS, ONLY_PARTITION};

/// How long a read waits at the store if other daemons depend on this one, so that they know soon that nothing has
/// changed, or that this daemon no longer hears from the store.
const ROOT_POLL_MS: u64 = 500;
/// The least pause after a read that brought records of members or endpoints, if other daemons depend on this one.
const COLLECT_MS: u64 = 100;
/// The least pause after a failed read.
const MIN_RETRY_MS: u64 = 150;
/// The interval at which a daemon that does not read the store checks whether it has to.
const ROLE_CHECK_MS: u64 = 200;

impl Feed {
    /// Reads a topic from the store whenever this daemon has to.
    pub(super) async fn read_directly(self: Rc<Self>, topic: FeedTopic) {
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
                Ok(0) => {}
                Ok(_) => {
                    sleep_ms(self.read_pause_ms(topic)).await;
                }
                Err(StoreError::Expired { first }) => {
                    log::info!(topic:?, first; "records expired before they were read; loading the topic again");
                    self.log(topic).reset();
                }
                Err(error) => {
                    log::debug!(topic:?, error:% = error; "could not read a topic; retrying");
                    self.pause_after_failure(topic).await;
                }
            }
        }
    }

    /// Waits after a failed read. A daemon that is no reader, and so one of many, does not read before its next turn.
    async fn pause_after_failure(&self, topic: FeedTopic) {
        self.parts.instruments.count("feed_read", "failed");
        let log = self.log(topic);
        let failures = log.failures.replace(log.failures.get() + 1);
        if self.is_joined_reader() {
            return sleep_ms(self.retry_ms(topic, failures)).await;
        }
        let load = match *self.phase.borrow() {
            Phase::Joined => FallbackLoad::All,
            _ => FallbackLoad::Members,
        };
        let (budget, random, now_ms) = (self.fallback_budget(), self.random(), self.now_ms());
        let mut selector = self.selector.borrow_mut();
        selector.on_direct_failure(budget, load, random, now_ms);
    }

    fn is_joined_reader(&self) -> bool {
        *self.phase.borrow() == Phase::Joined && self.is_reader()
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
    fn retry_ms(&self, topic: FeedTopic, failures: u32) -> u64 {
        if !self.has_readers() {
            return self.paced_ms(MIN_RETRY_MS);
        }
        let readers = Readers {
            readers: self.readers(),
            daemons: self.fallback_budget().daemons,
            partitions: FeedTopic::ALL.len(),
            limits: self.parts.limits,
        };
        let is_loading = !self.log(topic).is_whole();
        readers.retry_ms(MIN_RETRY_MS, is_loading, failures, self.random())
    }

    fn paced_ms(&self, min_ms: u64) -> u64 {
        let mut readers = self.readers();
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
        self.on_read(topic, added);
        Ok(added)
    }

    /// Loads the newest record of each key. A part that fails is asked for again, and the parts before it are kept.
    async fn load_newest(&self, topic: FeedTopic) -> Result<usize, StoreError> {
        let requested_at_ms = boot_time_ms();
        let mut page_requested_at_ms = requested_at_ms;
        let store = &self.parts.store;
        let mut records: Vec<KeyedRecord> = Vec::new();
        let mut first_end = None;
        let mut reader = store.newest_pages(topic.store_topic(), ONLY_PARTITION, "");
        loop {
            let page = match reader.next_page().await {
                Ok(Some(page)) => page,
                Ok(None) => break,
                Err(_)
                    if !records.is_empty()
                        && self.is_joined_reader()
                        && self.reads_directly(topic) =>
                {
                    self.pause_after_failure(topic).await;
                    page_requested_at_ms = boot_time_ms();
                    continue;
                }
                Err(error) => return Err(error),
            };
            self.load_progressed_at_ms.set(boot_time_ms());
            first_end.get_or_insert(page.end);
            let pause_ms = self.page_pause_ms(&page.records, page_requested_at_ms);
            records.extend(page.records);
            if reader.has_more() {
                sleep_ms(pause_ms).await;
                page_requested_at_ms = boot_time_ms();
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
        self.on_read(topic, added);
        Ok(added)
    }

    /// The pause between two parts of a topic, the first of which was requested at `requested_at_ms`.
    fn page_pause_ms(&self, records: &[KeyedRecord], requested_at_ms: u64) -> u64 {
        if !self.has_readers() {
            return 0;
        }
        let bytes: usize = records.iter().map(LogRecord::bytes).sum();
        let readers = self.readers();
        let interval_ms = self
            .parts
            .limits
            .page_interval_ms(readers, encoded_bytes(bytes));
        interval_ms.saturating_sub(boot_time_ms().saturating_sub(requested_at_ms))
    }

    fn on_read(&self, topic: FeedTopic, added: usize) {
        self.log(topic).failures.set(0);
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
