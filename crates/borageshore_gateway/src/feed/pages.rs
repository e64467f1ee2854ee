//! Encoding of shared topics in messages between daemons.

use borageshore_feed::{InvalidPage, check_offsets, current_at_ms};
use borageshore_platform::KeyedRecord;
use borageshore_wire::{WireFeedPage, WireFeedRecord};
use bytes::Bytes;

use super::{FeedTopic, TopicPage, topics::FeedPosition};

pub(super) fn encode_record(record: &KeyedRecord) -> WireFeedRecord {
    let value = record.value.as_ref().map(|value| value.to_vec());
    WireFeedRecord::new(record.offset as i64, record.key.to_string(), value)
}

/// Decodes a page that was requested from `from` on at `requested_at_ms`, in ms of the boot-time clock, and that the peer
/// held for `held_ms`.
pub(super) fn decode_page(
    page: WireFeedPage,
    from: u64,
    requested_at_ms: u64,
    held_ms: i64,
) -> Result<TopicPage, InvalidPage> {
    let offsets = page.records.iter().map(|record| record.offset);
    let next_offset = check_offsets(from, offsets, page.next_offset)?;
    let age_ms = page.age_ms.filter(|_| page.is_whole);
    let current_at_ms = age_ms
        .map(|age_ms| current_at_ms(requested_at_ms, held_ms, age_ms))
        .transpose()?
        .flatten();
    let decode = |record: WireFeedRecord| KeyedRecord {
        offset: record.offset as u64,
        key: record.key.into(),
        value: record.value.map(Bytes::from),
    };
    Ok(TopicPage {
        from,
        records: page.records.into_iter().map(decode).collect(),
        next_offset,
        is_whole: page.is_whole,
        current_at_ms,
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
