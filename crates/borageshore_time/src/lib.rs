//! An estimate of true time on a VM whose time of day may step.
//!
//! A daemon adds an offset to its monotonic clock. It takes the offset from a majority of its peers when it starts and
//! then only slews it towards the time of day. Pure arithmetic: no clock, no I/O.
//!
//! ```
//! use borageshore_time::{ClockSample, TrueTime};
//!
//! let mut time = TrueTime::new(1_000_000, 5_000);
//! assert_eq!(time.unix_ms(6_000), 1_001_000);
//! let peer = ClockSample { requested_at_ms: 6_000, responded_at_ms: 6_002, estimate_ms: 1_004_001, time_of_day_ms: 1_004_001 };
//! time.sync_to_peers(&[peer; 3]);
//! assert_eq!(time.unix_ms(6_001), 1_004_001);
//! ```

mod agreement;
mod true_time;

pub use self::{
    agreement::{Interval, majority_intersection},
    true_time::{ClockSample, TrueTime},
};
