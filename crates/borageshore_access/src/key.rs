//! Keys of callers, known by their digests only.

use std::fmt;

const DIGEST_BYTES: usize = 32;

/// The digest of a key.
///
/// Keys are compared and looked up by it: the time that a comparison takes tells nothing of a key. The key itself is
/// dropped where it is decoded, so that it can be in no log, record or metric.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key as a caller presents it.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}
