//! The record of an accepted submission, encoded and decoded without a second copy of its items in memory.

use std::{iter::FusedIterator, sync::Arc};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{
    packed_item::{OVERHEAD_BYTES, PackedItem},
    submission::{Item, Submission},
    value_chunks::{CHUNK_BYTES, chunk_key},
};

/// The id of an item and the name of its group, of which each item may have its own.
const ID_BYTES: usize = 2 * 24;
/// What follows the items.
const CLOSING: &[u8] = b"]}";

/// What accepting a submission has to know of its items.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ItemSizes {
    /// The number of items.
    pub items: usize,
    /// Sum of the items' length hints in tokens; an item without a hint counts as 1.
    pub expected_tokens: u64,
    /// The bytes of the encoded items.
    pub encoded_bytes: usize,
    /// The bytes of the largest one.
    pub largest_bytes: usize,
}

impl ItemSizes {
    /// About the memory that the submission takes at a daemon that holds its records, without results, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.encoded_bytes + self.items * (OVERHEAD_BYTES + ID_BYTES)
    }

    /// Adds an item.
    pub fn add(&mut self, item: &Item<'_>) {
        let mut counted = CountedBytes::default();
        serde_json::to_writer(&mut counted, item).expect("plain data");
        self.items += 1;
        self.expected_tokens += item.length_hint_tokens.unwrap_or(1);
        self.encoded_bytes += counted.0;
        self.largest_bytes = self.largest_bytes.max(counted.0);
    }
}

#[derive(Debug, Default)]
struct CountedBytes(usize);

impl std::io::Write for CountedBytes {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The chunks of an accepted submission's record, each encoded when it is taken.
#[derive(Debug)]
pub struct AcceptedRecord<Items> {
    value_key: String,
    items: Items,
    /// The bytes that are encoded but not taken.
    encoded: BytesMut,
    is_first_item: bool,
    is_closed: bool,
    number: usize,
    count: usize,
}

impl<'i, Items> AcceptedRecord<Items>
where
    Items: Iterator<Item = Item<'i>>,
{
    /// The record of a submission whose items are not in `head` but come from `items`, which `sizes` was made of.
    pub fn open(head: &Submission, sizes: ItemSizes, items: Items) -> Self {
        let head_text = serde_json::to_vec(head).expect("plain data");
        // The items are the last field, an empty list here.
        let before_items = &head_text[..head_text.len() - CLOSING.len()];
        let commas = sizes.items.saturating_sub(1);
        let bytes = head_text.len() + sizes.encoded_bytes + commas;
        Self {
            value_key: format!("{}:s", head.id),
            items,
            encoded: before_items.into(),
            is_first_item: true,
            is_closed: false,
            number: 0,
            count: bytes.div_ceil(CHUNK_BYTES),
        }
    }

    fn encode_next(&mut self) {
        let Some(item) = self.items.next() else {
            self.encoded.extend_from_slice(CLOSING);
            self.is_closed = true;
            return;
        };
        if !std::mem::replace(&mut self.is_first_item, false) {
            self.encoded.extend_from_slice(b",");
        }
        serde_json::to_writer((&mut self.encoded).writer(), &item).expect("plain data");
    }
}

impl<'i, Items> Iterator for AcceptedRecord<Items>
where
    Items: Iterator<Item = Item<'i>>,
{
    type Item = (Arc<str>, Bytes);

    fn next(&mut self) -> Option<Self::Item> {
        while !self.is_closed && self.encoded.len() < CHUNK_BYTES {
            self.encode_next();
        }
        if self.encoded.is_empty() {
            return None;
        }
        let bytes = self.encoded.len().min(CHUNK_BYTES);
        // A copy, as a part of the buffer would keep all of it.
        let chunk = self.encoded.copy_to_bytes(bytes);
        let key = chunk_key(&self.value_key, self.number, self.count);
        self.number += 1;
        Some((key, chunk))
    }
}

impl<'i, Items> FusedIterator for AcceptedRecord<Items> where Items: Iterator<Item = Item<'i>> {}

/// A submission as stored, with its items undecoded.
#[derive(Debug, Deserialize)]
struct StoredSubmission<'r> {
    id: Arc<str>,
    #[serde(default)]
    organisation: Option<Arc<str>>,
    host: Arc<str>,
    path: Arc<str>,
    model: Option<Arc<str>>,
    min_version: u64,
    target_groups: Option<usize>,
    #[serde(borrow)]
    items: Vec<&'r RawValue>,
}

/// Decodes a submission, whose items then refer to the record; `None` if it is malformed.
pub(crate) fn decode_accepted(record: &Bytes) -> Option<Submission> {
    let stored: StoredSubmission<'_> = serde_json::from_slice(record).ok()?;
    let mut items: Vec<PackedItem> = Vec::with_capacity(stored.items.len());
    for text in &stored.items {
        let item = PackedItem::within(record, text.get(), items.last())?;
        items.push(item);
    }
    Some(Submission {
        id: stored.id,
        organisation: stored.organisation,
        host: stored.host,
        path: stored.path,
        model: stored.model,
        min_version: stored.min_version,
        target_groups: stored.target_groups,
        items,
    })
}
