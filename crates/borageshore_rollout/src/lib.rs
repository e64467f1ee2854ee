//! Rollout jobs: groups of samples, their delivery by number, and weight swaps.
//!
//! The owner of a job runs a [`JobController`]; its deliveries are agreed through the job's ledger
//! stream ([`Ledger`]), and [`plan_swaps`] brings engines to new weights in waves. All of it is pure.
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
