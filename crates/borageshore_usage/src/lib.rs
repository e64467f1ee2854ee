//! Usage accounting: the requests of each organisation that started in each window, counted once and reported once.
//!
//! Each daemon publishes cumulative totals of the requests that it sent. Totals only increase, so a total can be
//! applied repeatedly and out of order.
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
//! assert_eq!(totals.window_total(Window(7)).get("mill"), Some(&1));
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
