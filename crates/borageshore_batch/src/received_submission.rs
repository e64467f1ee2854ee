//! A submission as a trainer sent it.

use std::{borrow::Cow, fmt, ops::Range};

use bytes::Bytes;

use crate::{
    accepted_record::{AcceptedRecord, ItemSizes},
    submission::{Item, Submission},
};

/// Decodes the text of an item; the error names the field.
pub type DecodeItem = for<'t> fn(&'t str) -> Result<Item<'t>, String>;

/// A valid submission as received. Its items are decoded one by one: together they take several times the memory of
/// the text.
pub struct ReceivedSubmission {
    /// The submission without its items.
    pub head: Submission,
    /// The number and the sizes of its items.
    pub sizes: ItemSizes,
    text: Bytes,
    /// Where the items are in the text.
    ranges: Vec<Range<usize>>,
    decode: DecodeItem,
}

impl fmt::Debug for ReceivedSubmission {
    /// Leaves out the text, as headers of its items may contain credentials.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReceivedSubmission")
            .field("head", &self.head)
            .field("sizes", &self.sizes)
            .finish()
    }
}

impl ReceivedSubmission {
    /// Takes a submission whose `items` are parts of its text.
    ///
    /// # Errors
    ///
    /// Why an item is not valid, or that there is none, or that two have one id.
    pub fn open<'t, Texts>(
        head: Submission,
        text: &'t Bytes,
        items: Texts,
        decode: DecodeItem,
    ) -> Result<Self, String>
    where
        Texts: Iterator<Item = &'t str>,
    {
        let mut sizes = ItemSizes::default();
        let mut ranges = Vec::new();
        let mut ids: Vec<Cow<'t, str>> = Vec::new();
        for item_text in items {
            let item = decode(item_text)?;
            sizes.add(&item);
            ids.push(item.id);
            let start = item_text.as_ptr() as usize - text.as_ptr() as usize;
            ranges.push(start..start + item_text.len());
        }
        if ids.is_empty() {
            return Err("items: there is none".into());
        }
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err("items: an id stands twice".into());
        }
        Ok(Self {
            head,
            sizes,
            text: text.clone(),
            ranges,
            decode,
        })
    }

    /// Its items, in their order.
    pub fn items(&self) -> impl Iterator<Item = Item<'_>> {
        let texts = self.ranges.iter().map(|range| &self.text[range.clone()]);
        let texts = texts.filter_map(|text| std::str::from_utf8(text).ok());
        // All were valid when the submission was received.
        texts.filter_map(|text| (self.decode)(text).ok())
    }

    /// The record that stores it, encoded chunk by chunk.
    pub fn record(&self) -> AcceptedRecord<impl Iterator<Item = Item<'_>>> {
        AcceptedRecord::open(&self.head, self.sizes, self.items())
    }
}
