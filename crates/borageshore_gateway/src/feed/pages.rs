//! Encoding of shared topics in messages between daemons, and the checks of what a peer sends.

use borageshore_platform::KeyedRecord;
use borageshore_wire::{WireFeedPage, WireFeedRecord};
use bytes::Bytes;

use super::{FeedTopic, TopicPage, topics::FeedPosition};

/// Why a page of a peer is refused as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InvalidPage {
    /// The topic has no such number, or was not asked for.
    UnknownTopic,
    /// An offset is negative, not ascending, or outside the page.
    Offsets,
    /// The age is negative.
    Age,
}

pub(super) fn encode_record(record: &KeyedRecord) -> WireFeedRecord {
    let value = record.value.as_ref().map(|value| value.to_vec());
    WireFeedRecord::new(record.offset as i64, record.key.to_string(), value)
}

/// Decodes a page that was requested from `from` on. `answered_at_ms` is a time before the peer answered, in ms of this
/// daemon's boot-time clock.
pub(super) fn decode_page(
    page: WireFeedPage,
    from: u64,
    answered_at_ms: u64,
) -> Result<TopicPage, InvalidPage> {
    let next_offset = u64::try_from(page.next_offset).map_err(|_| InvalidPage::Offsets)?;
    let mut expected = from;
    let mut records = Vec::with_capacity(page.records.len());
    for record in page.records {
        let offset = u64::try_from(record.offset).map_err(|_| InvalidPage::Offsets)?;
        if offset < expected || offset >= next_offset {
            return Err(InvalidPage::Offsets);
        }
        expected = offset + 1;
        records.push(KeyedRecord {
            offset,
            key: record.key.into(),
            value: record.value.map(Bytes::from),
        });
    }
    if next_offset < from {
        return Err(InvalidPage::Offsets);
    }
    let current_at_ms = match page.age_ms {
        Some(age_ms) => {
            let age_ms = u64::try_from(age_ms).map_err(|_| InvalidPage::Age)?;
            answered_at_ms.checked_sub(age_ms)
        }
        None => None,
    };
    Ok(TopicPage {
        from,
        records,
        next_offset,
        is_whole: page.is_whole,
        current_at_ms: current_at_ms.filter(|_| page.is_whole),
    })
}

/// The topic of a page, if it is one of those that were requested.
pub(super) fn topic_of(
    page: &WireFeedPage,
    positions: &[(FeedTopic, FeedPosition)],
) -> Result<(FeedTopic, FeedPosition), InvalidPage> {
    let topic = FeedTopic::from_number(page.topic).ok_or(InvalidPage::UnknownTopic)?;
    let requested = positions.iter().find(|(requested, _)| *requested == topic);
    requested.copied().ok_or(InvalidPage::UnknownTopic)
}
