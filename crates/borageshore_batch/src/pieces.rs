//! Values larger than a record, in several records of one append.

use std::sync::Arc;

use borageshore_base::SortedMap;
use bytes::{Bytes, BytesMut};

/// Well below the store's largest record of 256 KiB, key and lengths included.
const PIECE_BYTES: usize = 200 * 1024;

/// Cuts a value into records under `key/number/count`.
pub(crate) fn cut(key: &str, value: &Bytes) -> Vec<(Arc<str>, Bytes)> {
    let count = value.len().div_ceil(PIECE_BYTES).max(1);
    let piece = |number: usize| {
        let from = number * PIECE_BYTES;
        let to = value.len().min(from + PIECE_BYTES);
        let key = format!("{key}/{number}/{count}");
        (Arc::from(key), value.slice(from..to))
    };
    (0..count).map(piece).collect()
}

/// Splits a record's key into the value's key, the piece's number and the count of pieces.
pub(crate) fn split_key(key: &str) -> Option<(&str, usize, usize)> {
    let mut parts = key.rsplitn(3, '/');
    let count = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    let key = parts.next()?;
    (number < count).then_some((key, number, count))
}

/// Values of which some pieces are still missing.
#[derive(Debug, Default)]
pub(crate) struct PieceBuffer {
    waiting: SortedMap<Arc<str>, Vec<Option<Bytes>>>,
}

impl PieceBuffer {
    /// Takes a piece; returns the whole value once no piece is missing.
    pub(crate) fn push(
        &mut self,
        key: &str,
        number: usize,
        count: usize,
        piece: Bytes,
    ) -> Option<Bytes> {
        if count == 1 {
            return Some(piece);
        }
        let pieces = self
            .waiting
            .get_or_insert_with(key.into(), || vec![None; count]);
        if let Some(place) = pieces.get_mut(number) {
            *place = Some(piece);
        }
        if pieces.iter().any(Option::is_none) {
            return None;
        }
        let pieces = self.waiting.remove(key)?;
        let mut whole = BytesMut::new();
        for piece in pieces.into_iter().flatten() {
            whole.extend_from_slice(&piece);
        }
        Some(whole.freeze())
    }
}
