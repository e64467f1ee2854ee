//! Values larger than a record, in several records of one append.

use std::sync::Arc;

use borageshore_base::SortedMap;
use bytes::{Bytes, BytesMut};

/// Well below the store's largest record of 256 KiB, key and lengths included.
const CHUNK_BYTES: usize = 200 * 1024;

/// Cuts a value into records under `key/number/count`.
pub(crate) fn split(key: &str, value: &Bytes) -> Vec<(Arc<str>, Bytes)> {
    let count = value.len().div_ceil(CHUNK_BYTES).max(1);
    let chunk = |number: usize| {
        let from = number * CHUNK_BYTES;
        let to = value.len().min(from + CHUNK_BYTES);
        let key = format!("{key}/{number}/{count}");
        (Arc::from(key), value.slice(from..to))
    };
    (0..count).map(chunk).collect()
}

/// Splits a record's key into the value's key, the chunk's number and the count of chunks.
pub(crate) fn split_key(key: &str) -> Option<(&str, usize, usize)> {
    let mut parts = key.rsplitn(3, '/');
    let count = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    let key = parts.next()?;
    (number < count).then_some((key, number, count))
}

/// Values of which some chunks are still missing.
#[derive(Debug, Default)]
pub(crate) struct ChunkBuffer {
    incomplete: SortedMap<Arc<str>, Vec<Option<Bytes>>>,
}

impl ChunkBuffer {
    /// Takes a chunk; returns the value once no chunk is missing.
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
        let mut value = BytesMut::new();
        for chunk in chunks.into_iter().flatten() {
            value.extend_from_slice(&chunk);
        }
        Some(value.freeze())
    }
}
