//! Batch submissions: accepted requests, their results by position, scheduling and weight loading.
//!
//! This crate does no I/O and reads no clock. All daemons replay the records of the store into the same state
//! ([`Ledger`]). Which daemon runs a submission, the order of its items, the engine of an item and the engines that
//! load new weights are pure functions of their arguments.
//!
//! ```
//! use borageshore_batch::{Ledger, LedgerRecord};
//!
//! let mut ledger = Ledger::default();
//! let end = LedgerRecord::End { submission: "s1".into() }.encode("vm-1.1.0");
//! let end = end.into_iter().map(|(key, value)| (0, key, value)).collect();
//! ledger.track(&"s1".into(), 0);
//! ledger.load("s1", end, 1);
//! assert!(ledger.get("s1").unwrap().is_ended());
//! ```

mod accepted_record;
mod departure;
mod event_latencies;
mod generation_times;
mod group_placements;
mod index_entry;
mod instance;
mod item_rank;
mod ledger;
mod loss_backoff;
mod order_lease;
mod ownership;

mod packed_item;
mod placement;
mod received_submission;
mod record;
mod reward_latencies;
mod reward_queue;
mod start_window;
mod submission;
mod swaps;
mod text;
mod text_pieces;
mod urgency;
mod value_chunks;
mod version_pin;
mod version_rule;
mod view_position;
mod work_memory;

pub use self::{
    accepted_record::{AcceptedRecord, ItemSizes},
    departure::{Departure, gets_free_slot, on_departure, on_evacuation},
    event_latencies::{EngineLatency, EventLatencies},
    generation_times::{FinishedText, GenerationTimes},
    group_placements::GroupPlacements,
    index_entry::{Demand, IndexEntry, SubmissionOrigin},
    instance::{INSTANCE_SEPARATOR, instance_name},
    item_rank::{ItemRank, rank_items},
    ledger::{Ledger, LedgerEntry, SubmissionState},
    loss_backoff::LossBackoff,
    order_lease::OrderLeases,
    ownership::work_key,
    packed_item::PackedItem,
    placement::{
        EngineView, PlacementRequest, RunningItem, can_take, choose_better_engine, choose_engine,
    },
    received_submission::{DecodeItem, ReceivedSubmission},
    record::LedgerRecord,
    reward_latencies::RewardLatencies,
    reward_queue::{RewardQueue, RewardRank, reward_slot_limit},
    start_window::{StartWindow, StartedItems, most_started, share_bytes},
    submission::{Header, Item, ItemResult, ItemState, ModelVersion, RewardCall, Submission},
    swaps::{
        EngineState, EngineVersions, ModelTarget, SwapLimits, SwapRound, load_candidates,
        plan_round,
    },
    text::{Text, TextError},
    text_pieces::{EngineReport, PieceBatch, PieceJoiner, TextPiece},
    urgency::{
        Backlog, ServiceLoad, StartOrder, StartPosition, Urgency, UrgencyRequest, mean_hint_tokens,
    },
    version_pin::{PinnedWait, VersionPin},
    version_rule::VersionRule,
    view_position::ViewPosition,
    work_memory::{HeldKind, WorkHold, WorkLimits, WorkMemory},
};
