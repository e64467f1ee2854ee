//! The shared topics as sources of this daemon's views.

use std::{cell::Cell, rc::Rc};

use borageshore_net::within_ms;
use borageshore_platform::{StoreError, Topic};

use super::{Feed, FeedTopic};
use crate::follow::{LONG_POLL_MS, ONLY_PARTITION, RecordSource, SourcePage};

/// A shared topic, read from what this daemon keeps of it.
#[derive(Debug)]
pub(crate) struct FeedTopicSource {
    feed: Rc<Feed>,
    topic: FeedTopic,
    /// The `current_at_ms` of the last page.
    returned_current_at_ms: Cell<Option<u64>>,
}

impl FeedTopicSource {
    pub(crate) fn open(feed: &Rc<Feed>, topic: FeedTopic) -> Self {
        Self {
            feed: feed.clone(),
            topic,
            returned_current_at_ms: Cell::new(None),
        }
    }

    /// The records from an offset on, if there are any or the topic was confirmed to have none.
    fn page(&self, from: u64) -> Result<Option<SourcePage>, StoreError> {
        let log = self.feed.log(self.topic);
        let records = log.records.borrow();
        let Some(next_offset) = records.next_offset() else {
            return Err(StoreError::Expired { first: 0 });
        };
        let current_at_ms = log.current_at_ms.get();
        let is_confirmed = current_at_ms > self.returned_current_at_ms.get();
        if next_offset <= from && !is_confirmed {
            return Ok(None);
        }
        let slice =
            records
                .read(from, None, usize::MAX)
                .map_err(|expired| StoreError::Expired {
                    first: expired.first,
                })?;
        self.returned_current_at_ms.set(current_at_ms);
        Ok(Some(SourcePage {
            records: slice.records.to_vec(),
            next_offset: slice.next_offset,
            current_at_ms: current_at_ms.filter(|_| is_confirmed && slice.is_whole),
        }))
    }
}

impl RecordSource for FeedTopicSource {
    fn topic(&self) -> Topic {
        self.topic.store_topic()
    }

    fn partition(&self) -> u64 {
        ONLY_PARTITION
    }

    /// Waits until the topic is whole: a view that has missed records compares what it knows with all newest records.
    async fn load(&self) -> Result<SourcePage, StoreError> {
        loop {
            let changed = self.feed.log(self.topic).changed.notified();
            if self.feed.log(self.topic).is_whole()
                && let Some(page) = self.page(0)?
            {
                return Ok(page);
            }
            within_ms(LONG_POLL_MS, changed).await;
        }
    }

    /// Without a wait, reads the store at once.
    async fn read(&self, from: u64, wait_ms: u64) -> Result<SourcePage, StoreError> {
        if wait_ms == 0 {
            self.feed.refresh(self.topic).await?;
        }
        let changed = self.feed.log(self.topic).changed.notified();
        if let Some(page) = self.page(from)? {
            return Ok(page);
        }
        within_ms(wait_ms, changed).await;
        let page = self.page(from)?;
        Ok(page.unwrap_or(SourcePage {
            records: Vec::new(),
            next_offset: from,
            current_at_ms: None,
        }))
    }
}
