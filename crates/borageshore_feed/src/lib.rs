//! Dissemination of a shared log: a few daemons of each availability zone read it, and all others read from them.
//!
//! [`FeedTree`] arranges the daemons of a zone as a tree, [`SourceSelector`] chooses where a daemon reads, and
//! [`RetainedLog`] holds what it passes on. Offsets are those of the log, so a daemon may change its source at any
//! time without reading anything twice. Nothing here does I/O or reads a clock.
//!
//! ```
//! use borageshore_feed::{FeedLimits, Readers, direct_readers};
//!
//! let limits = FeedLimits {
//!     read_bytes_per_s: Some(80_000_000),
//!     reads_per_s: Some(16_000),
//! };
//! assert_eq!(direct_readers(12, 3, limits), 12);
//! assert!(direct_readers(1_000, 5, limits) < 40);
//! ```

mod fallback;
mod limits;
mod order;
mod page;
mod retained;
mod selector;
mod tree;

pub use self::{
    fallback::Fallback,
    limits::{
        FallbackBudget, FallbackLoad, FeedLimits, Readers, direct_readers, encoded_bytes,
        read_interval_ms,
    },
    order::{LoadState, may_load},
    page::{InvalidPage, check_offsets, current_at_ms},
    retained::{Expired, LogRecord, LogSlice, RetainedLog},
    selector::{STALE_MS, SourceSelector},
    tree::{FeedCandidate, FeedTree},
};
