//! The envelope that makes an append idempotent.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

/// How long a silent writer is remembered, by the log's clock.
///
/// A writer gives up on an append long before this, so a copy that arrives later cannot come from a
/// writer that still acts on it.
const WRITER_TTL_MS: u64 = 3_600_000;

/// How many admitted records pass between two prunings of silent writers.
const PRUNE_INTERVAL_RECORDS: u64 = 1_024;

/// A record body with the identity of its append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<Body> {
    /// The writing process: daemon name and incarnation.
    pub writer: Arc<str>,
    /// Counts the writer's records in this stream from 1, without gaps.
    pub sequence: u64,
    /// What is proposed.
    pub body: Body,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WriterEntry {
    last_sequence: u64,
    last_at_ms: u64,
}

/// Remembers the last sequence of each writer, so that a repeated append has no second effect.
///
/// Guards against the lost answer: an append takes effect, its answer is lost, the writer appends the
/// same record again. A writer has one append in flight and repeats it under the same sequence, so a
/// sequence at or below the last one seen is always a copy. Pruning depends on the log's clock in the
/// records only, so every fold prunes at the same offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterTable {
    writers: SortedMap<Arc<str>, WriterEntry>,
    admitted: u64,
}

impl WriterTable {
    /// Says whether the record is new, and remembers it.
    pub fn admit(&mut self, writer: &Arc<str>, sequence: u64, at_ms: u64) -> bool {
        let entry = self
            .writers
            .get_or_insert_with(writer.clone(), || WriterEntry {
                last_sequence: 0,
                last_at_ms: at_ms,
            });
        if sequence <= entry.last_sequence {
            return false;
        }
        entry.last_sequence = sequence;
        entry.last_at_ms = at_ms;
        self.admitted += 1;
        if self.admitted.is_multiple_of(PRUNE_INTERVAL_RECORDS) {
            self.writers
                .retain(|_, entry| entry.last_at_ms + WRITER_TTL_MS >= at_ms);
        }
        true
    }

    /// The number of writers remembered.
    pub fn len(&self) -> usize {
        self.writers.len()
    }

    /// Says whether no writer is remembered.
    pub fn is_empty(&self) -> bool {
        self.writers.is_empty()
    }
}
