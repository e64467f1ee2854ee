//! Usage: how many requests of each organisation began to run in each window, counted once, reported once.
//!
//! Each daemon counts what it sent and adds up what it has counted; totals only rise, so that a total may be told
//! again, late, or by a reader that has seen it before.
//!
//! ```
//! use borageshore_usage::{OwnCounts, Totals, Window};
//!
//! let mut own = OwnCounts::default();
//! own.add(Window(7), &"mill".into(), 1);
//! let mut totals = Totals::default();
//! for (window, counts) in own.take_dirty() {
//!     totals.merge(window, &"vm-1.12".into(), &counts);
//!     totals.merge(window, &"vm-1.12".into(), &counts);
//! }
//! assert_eq!(totals.of(Window(7)).get("mill"), Some(&1));
//! ```

mod own_counts;
mod reports;
mod totals;
mod window;

pub use self::{
    own_counts::OwnCounts,
    reports::{Reports, UsageTiming},
    totals::Totals,
    window::Window,
};

use std::sync::Arc;

use borageshore_base::SortedMap;

/// Requests by organisation.
pub type Counts = SortedMap<Arc<str>, u64>;
