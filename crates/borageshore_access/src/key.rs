//! Callers' keys, kept only as digests.

use std::fmt;

const DIGEST_BYTES: usize = 32;

/// The BLAKE3 digest of a key.
///
/// Keys are compared and looked up by digest, so the duration of a comparison reveals nothing about a key. The key
/// itself is dropped where it is decoded and cannot appear in a log, record or metric.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key as sent by a caller.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}
