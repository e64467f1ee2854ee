//! Splits values that exceed the store's record size into several records of one append.

use std::sync::Arc;

use borageshore_base::SortedMap;
use bytes::{Bytes, BytesMut};

/// Leaves room for the key and the lengths within the store's record limit of 256 KiB.
pub(crate) const CHUNK_BYTES: usize = 200 * 1024;

/// The key of one chunk of a value.
pub(crate) fn chunk_key(value_key: &str, number: usize, count: usize) -> Arc<str> {
    format!("{value_key}/{number}/{count}").into()
}

/// Splits a value into records with the keys `key/number/count`.
pub(crate) fn split(key: &str, value: &Bytes) -> Vec<(Arc<str>, Bytes)> {
    let count = value.len().div_ceil(CHUNK_BYTES).max(1);
    let chunk = |number: usize| {
        let from = number * CHUNK_BYTES;
        let to = value.len().min(from + CHUNK_BYTES);
        (chunk_key(key, number, count), value.slice(from..to))
    };
    (0..count).map(chunk).collect()
}

/// Splits a record's key into the value's key, the chunk number and the chunk count.
pub(crate) fn split_key(key: &str) -> Option<(&str, usize, usize)> {
    let mut parts = key.rsplitn(3, '/');
    let count = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    let key = parts.next()?;
    (number < count).then_some((key, number, count))
}

/// Collects the chunks of values until each is complete.
#[derive(Debug, Default)]
pub(crate) struct ChunkBuffer {
    incomplete: SortedMap<Arc<str>, Vec<Option<Bytes>>>,
}

impl ChunkBuffer {
    /// Adds a chunk; returns the value once all its chunks are there.
    pub(crate) fn push(
        &mut self,
        key: &str,
        number: usize,
        count: usize,
        chunk: Bytes,
    ) -> Option<Bytes> {
        if count == 1 {
            return Some(chunk);
        }
        let chunks = self
            .incomplete
            .get_or_insert_with(key.into(), || vec![None; count]);
        if let Some(slot) = chunks.get_mut(number) {
            *slot = Some(chunk);
        }
        if chunks.iter().any(Option::is_none) {
            return None;
        }
        let chunks = self.incomplete.remove(key)?;
        let bytes = chunks.iter().flatten().map(Bytes::len).sum();
        let mut value = BytesMut::with_capacity(bytes);
        // Each chunk is released once it is copied.
        for chunk in chunks.into_iter().flatten() {
            value.extend_from_slice(&chunk);
        }
        Some(value.freeze())
    }

    /// The bytes of the values that are not complete.
    pub(crate) fn held_bytes(&self) -> usize {
        let chunks = self.incomplete.values().flatten().flatten();
        chunks.map(Bytes::len).sum()
    }
}
