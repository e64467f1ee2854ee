//! Mutual exclusion for duties that one daemon performs at a time, for a receiver that checks no epochs and cannot be
//! queried.
//!
//! Before it acts, the holder appends an announcement to the store, on the condition that it has read all earlier
//! records; the record's offset is its epoch. A holder that was replaced during a pause therefore cannot announce
//! anything. An action announced just before the pause is sent within a short time or not at all ([`SendWindow`]), and
//! a successor waits for that time plus the lease on each subject that the holder may be acting on ([`DutyLeases`]).
//! All times are on a monotonic clock that also runs during suspension.
//!
//! ```
//! use borageshore_duty::{DutyLeases, DutyTiming};
//!
//! let timing = DutyTiming { lease_ms: 3_000, send_window_ms: 500, margin_ms: 300 };
//! let mut leases = DutyLeases::open(timing.takeover_delay_ms());
//! leases.on_loaded(0);
//! leases.on_announcement(&"vm-1".into(), &["usage".into()], &[], 10_000);
//! assert!(leases.may_act("vm-1", "usage", 10_100));
//! assert!(!leases.may_act("vm-2", "usage", 10_100));
//! assert!(leases.may_act("vm-2", "usage", 13_800));
//! ```

mod holder;
mod leases;
mod timing;

pub use self::{
    holder::choose_holder,
    leases::DutyLeases,
    timing::{DutyTiming, SendWindow},
};
