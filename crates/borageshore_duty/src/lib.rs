//! Duties that one holder has at a time, where the other side checks nothing and nothing can be read back.
//!
//! A holder announces what it is about to do in a record of the store, appended on the condition that it has read all
//! records before; the record's offset is its epoch. So a holder that was replaced while it stood still cannot
//! announce anything. What it announced just before leaves within a short time or not at all ([`SendWindow`]), and a
//! successor lets that time and the lease pass for each subject that the holder may be acting on ([`DutyLeases`]).
//! Times are those of a clock that counts suspensions.
//!
//! ```
//! use borageshore_duty::{DutyLeases, DutyTiming};
//!
//! let terms = DutyTiming { lease_ms: 3_000, send_window_ms: 500, margin_ms: 300 };
//! let mut leases = DutyLeases::open(0, terms.takeover_delay_ms());
//! leases.on_announcement(&"vm-1".into(), &["usage".into()], &[], 10_000);
//! assert!(leases.may_act("vm-1", "usage", 10_100));
//! assert!(!leases.may_act("vm-2", "usage", 10_100));
//! assert!(leases.may_act("vm-2", "usage", 13_800));
//! ```

mod holder;
mod leases;
mod timing;

pub use self::{
    holder::select_holder,
    leases::DutyLeases,
    timing::{DutyTiming, SendWindow},
};
