//! Batch submissions: what was accepted, which results stand at which position, what runs next.
//!
//! Everything here is pure. Records of the store come in with their offsets and all daemons fold
//! them alike ([`Ledger`]); which daemon runs a submission, which items come first, where an item
//! goes and which engines load new weights are functions of what is handed in.
//!
//! ```
//! use borageshore_batch::{Ledger, LedgerRecord};
//!
//! let mut ledger = Ledger::default();
//! let end = LedgerRecord::End { submission: "s1".into() }.encode("vm-1.1.0");
//! for (key, value) in end {
//!     ledger.apply(&key, Some(&value), 0);
//! }
//! assert!(ledger.get("s1").unwrap().is_ended());
//! ```

mod ledger;
mod order;
mod pieces;
mod placement;
mod record;
mod submission;
mod swaps;

pub use self::{
    ledger::{Change, Ledger, SubmissionState},
    order::{ItemRank, rank_items},
    placement::{EngineView, PlacementRequest, choose_engine},
    record::LedgerRecord,
    submission::{Item, ItemResult, ItemState, NamedVersion, RewardCall, Submission},
    swaps::{EngineVersions, SwapLimits, SwapRound, plan_round},
};
