//! The record envelope, which makes appends idempotent.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

/// How long an inactive writer is kept in the table, by the log service's clock.
///
/// Much longer than a writer retries an append, so no writer still waits for a copy that arrives
/// later.
const WRITER_TTL_MS: u64 = 3_600_000;

/// The number of admitted records between two removals of inactive writers.
const EXPIRY_INTERVAL_RECORDS: u64 = 1_024;

/// A record body with the writer and sequence number that identify it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<Body> {
    /// The writing process: daemon name and incarnation.
    pub writer: Arc<str>,
    /// The writer's record number in this stream, from 1 without gaps.
    pub sequence: u64,
    /// The content of the record.
    pub body: Body,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WriterEntry {
    last_sequence: u64,
    last_at_ms: u64,
}

/// The last sequence number of each writer, for deduplicating retried appends.
///
/// A writer has one append in flight and retries it with the same sequence number, so a number at or
/// below the last one seen is always a duplicate. Expiry depends only on the timestamps in the
/// records, so every fold expires them at the same offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterTable {
    writers: SortedMap<Arc<str>, WriterEntry>,
    admitted: u64,
}

impl WriterTable {
    /// Records the sequence number and returns whether it is new.
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
        if self.admitted.is_multiple_of(EXPIRY_INTERVAL_RECORDS) {
            self.writers
                .retain(|_, entry| entry.last_at_ms + WRITER_TTL_MS >= at_ms);
        }
        true
    }

    /// Returns the number of writers in the table.
    pub fn len(&self) -> usize {
        self.writers.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.writers.is_empty()
    }
}
