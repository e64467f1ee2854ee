//! Items as they are held: a part of their submission's record, decoded when they are run or asked for.
//!
//! A decoded item has a dozen strings of its own. Packed, those of a submission share one buffer.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Serialize, Serializer};
use serde_json::value::RawValue;

use crate::submission::Item;

/// The memory of an item beside its text: its entry, and its id and group with their counts.
pub(crate) const OVERHEAD_BYTES: usize = size_of::<PackedItem>() + 64;

/// An item in its encoded form.
#[derive(Clone, PartialEq, Eq)]
pub struct PackedItem {
    id: Arc<str>,
    group: Arc<str>,
    length_hint_tokens: Option<u64>,
    /// Valid JSON of an [`Item`].
    text: Bytes,
}

impl PackedItem {
    /// Encodes an item.
    pub fn pack(item: &Item<'_>) -> Self {
        let text = serde_json::to_vec(item).expect("plain data");
        Self::with_text(item, text.into())
    }

    /// Takes an item from the record that contains its text; `None` if that is not an item. `group` is the item before,
    /// which is often of the same group.
    pub(crate) fn within(record: &Bytes, text: &str, before: Option<&Self>) -> Option<Self> {
        let item: Item<'_> = serde_json::from_str(text).ok()?;
        let packed = Self::with_text(&item, record.slice_ref(text.as_bytes()));
        Some(match before {
            Some(before) if before.group == packed.group => Self {
                group: before.group.clone(),
                ..packed
            },
            _ => packed,
        })
    }

    fn with_text(item: &Item<'_>, text: Bytes) -> Self {
        Self {
            id: (&*item.id).into(),
            group: (&*item.group).into(),
            length_hint_tokens: item.length_hint_tokens,
            text,
        }
    }

    /// Its id.
    pub fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// The group; its items share a prompt.
    pub fn group(&self) -> &Arc<str> {
        &self.group
    }

    /// The trainer's estimate of the length in tokens; often inaccurate.
    pub fn length_hint_tokens(&self) -> Option<u64> {
        self.length_hint_tokens
    }

    /// Decodes the item.
    pub fn unpack(&self) -> Item<'_> {
        serde_json::from_slice(&self.text).expect("the text was an item when it was packed")
    }

    /// About the memory that the item takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        OVERHEAD_BYTES + self.id.len() + self.group.len() + self.text.len()
    }
}

impl fmt::Debug for PackedItem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, group, .. } = self;
        f.debug_struct("PackedItem")
            .field("id", id)
            .field("group", group)
            .field("bytes", &self.text.len())
            .finish()
    }
}

impl Serialize for PackedItem {
    fn serialize<Output>(&self, output: Output) -> Result<Output::Ok, Output::Error>
    where
        Output: Serializer,
    {
        let text: &RawValue = serde_json::from_slice(&self.text).expect("the text is JSON");
        text.serialize(output)
    }
}
