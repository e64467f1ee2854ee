//! Orders for endpoints: how many reclaimable (spot) endpoints each availability zone should have.
//!
//! The load that this answers: trainers submit all items of a step at once, and any of them may be the one that the step
//! waits for, so each item needs a slot. Regular endpoints stay as the operator left them; what they lack is ordered as
//! spot endpoints, spread evenly over the zones, because a reclaim takes all spot endpoints of a zone.
//!
//! ```
//! use borageshore_scaling::{ScalingLimits, ScalingPlanner, ServiceView, ZoneView};
//!
//! let limits = ScalingLimits { min: 1, max: 8, boot_ms: 4_000, has_spot: true, ..ScalingLimits::default() };
//! let zones = vec![ZoneView::regular("zone-a", 2), ZoneView::regular("zone-b", 2)];
//! let view = ServiceView { needed_slots: 40, regular_slots: 24, slots_each: 6, zones };
//! let orders = ScalingPlanner::default().plan("llm", &limits, &view, 0);
//! let counts: Vec<u64> = orders.iter().map(|order| order.count).collect();
//! assert_eq!(counts, [2, 1]);
//! ```

mod limits;
mod planner;
mod spread;
mod view;

pub use self::{
    limits::ScalingLimits,
    planner::{LeftOut, OrderOutcome, ScalingPlanner, Setback, SpotOrder},
    view::{AnnouncedOrder, KindCount, ServiceView, ZoneView},
};
