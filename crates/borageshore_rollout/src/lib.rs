//! Rollout jobs: groups of samples, their numbered delivery, and weight swaps.
//!
//! The owner of a job runs a [`JobController`]. Sample numbers are assigned through the job's ledger
//! stream ([`Ledger`]), and [`plan_swaps`] updates engines to new weights in waves. No I/O, no clock.
//!
//! ```
//! use borageshore_rollout::{StalenessBound, Segment};
//!
//! let bound = StalenessBound { versions: 1, age_ms: 1_000 };
//! let segments = [Segment { version: 4, token_count: 10 }];
//! assert!(bound.permits(&segments, 900, 5));
//! assert!(!bound.permits(&segments, 900, 6));
//! ```

mod controller;
mod ledger;
mod placement;
mod sample;
mod swap;

pub use self::{
    controller::{
        JobController, JobCounts, JobPlan, PullDecision, PullView, SampleOrder, WeightVersions,
    },
    ledger::{Ledger, LedgerRecord, LedgerSnapshot},
    placement::Placement,
    sample::{Delivery, Sample, Segment, StalenessBound},
    swap::{ReplicaView, SwapLimits, plan_swaps},
};
