//! Incremental storage of unfinished texts, so that another daemon can resume them.

use std::{cmp::Reverse, sync::Arc};

use borageshore_base::SortedMap;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize};

use crate::{event_latencies::EngineLatency, text::Text};

/// Consecutive events of one run of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPiece {
    /// The key of the item's text; see [`Submission::scoped_item_id`](crate::Submission::scoped_item_id).
    pub item: Arc<str>,
    /// The number of the run, unique within the author.
    pub run: u64,
    /// The number of the first event, counted from 1.
    pub first_event: u64,
    /// The data of the events.
    pub events: Vec<String>,
    /// The versions of the weights that generated any of them.
    pub versions: Vec<u64>,
}

/// The pieces written by one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceBatch {
    /// The name of the process that wrote them, unique among all processes ever started.
    pub author: Arc<str>,
    /// The offset of the oldest piece that the author's unfinished texts still need.
    pub needed_from: u64,
    /// The pieces.
    pub pieces: Vec<TextPiece>,
    /// What the author measured of engines, if it is due. A garbled report counts as absent: the pieces matter more.
    #[serde(
        default,
        deserialize_with = "readable",
        skip_serializing_if = "Option::is_none"
    )]
    pub engines: Option<EngineReport>,
}

/// The lasting latencies of engines that the author of a batch measured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The Unix time at which they were written, in ms.
    pub at_unix_ms: u64,
    /// The latencies that differ from the median.
    pub latencies: Vec<EngineLatency>,
}

/// Decodes a field that counts as absent if it is garbled.
fn readable<'de, Reader>(reader: Reader) -> Result<Option<EngineReport>, Reader::Error>
where
    Reader: Deserializer<'de>,
{
    serde_json::Value::deserialize(reader).map(|value| serde_json::from_value(value).ok())
}

impl PieceBatch {
    /// Encodes the batch as a record.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).expect("plain data").into()
    }

    /// Decodes a record; `None` if it is not a batch.
    pub fn decode(record: &[u8]) -> Option<Self> {
        serde_json::from_slice(record).ok()
    }
}

/// Item, author and number of a run.
type RunKey = (Arc<str>, Arc<str>, u64);

/// Joins stored pieces into texts.
///
/// A joined text is always a prefix of the text of one run, with its versions, whichever records are lost, duplicated
/// or late: pieces of different runs are never mixed, each run is stored from its first event on, a piece after a gap
/// is dropped, and events that are already there are skipped.
#[derive(Debug, Default)]
pub struct PieceJoiner {
    runs: SortedMap<RunKey, Text>,
}

impl PieceJoiner {
    /// Adds a batch; batches must come in the order of the store.
    pub fn push(&mut self, batch: PieceBatch) {
        for piece in batch.pieces {
            let key = (piece.item.clone(), batch.author.clone(), piece.run);
            let text = self.runs.get_or_insert_with(key, Text::default);
            let events = piece.events.into_iter().map(Bytes::from);
            text.extend(piece.first_event, events, &piece.versions);
        }
    }

    /// The texts of all runs, sorted by item and then by length, longest first.
    pub fn texts(&self) -> Vec<(Arc<str>, Text)> {
        let runs = self.runs.iter();
        let mut texts: Vec<_> = runs
            .map(|((item, ..), text)| (item.clone(), text.clone()))
            .collect();
        texts.sort_by(|(item, text), (other_item, other)| {
            let lengths = (Reverse(text.last_event()), Reverse(other.last_event()));
            item.cmp(other_item).then(lengths.0.cmp(&lengths.1))
        });
        texts
    }
}
