//! The start order of waiting items across the submissions of a service.
//!
//! The load: several trainers submit at about the same time, together more items than there are slots. In the order of
//! arrival, the long texts of one step wait for short ones of another step that have seconds to spare.

use crate::{item_rank::ItemRank, submission::Submission};

/// Hints are often wrong by this factor: an item may still be in time while its expected time divided by it fits.
const HINT_TOLERANCE: u64 = 2;
/// How long an item that can no longer be in time stays behind those that can. Its trainer goes on waiting for it.
const MAX_LATE_WAIT_MS: u64 = 1_000;

/// The mean hint of a submission's items that have one, expected of those without.
pub fn mean_hint_tokens(submission: &Submission) -> Option<u64> {
    let hints = submission
        .items
        .iter()
        .filter_map(|item| item.length_hint_tokens);
    let (count, sum) = hints.fold((0, 0_u64), |(count, sum), hint| {
        (count + 1, sum.saturating_add(hint))
    });
    sum.checked_div(count)
}

/// What the urgency of an item depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UrgencyRequest {
    /// When its submission arrived.
    pub arrived_at_ms: u64,
    /// Its rank in the submission.
    pub rank: ItemRank,
    /// How long after the arrival all results of the submission are due.
    pub result_due_ms: u64,
    /// The expected time to generate the rest of its text; 0 if nothing is known.
    pub remaining_ms: u64,
    /// The priority of its route; 0 is the highest.
    pub priority: u64,
}

/// The urgency of an item. It is computed once, when the item starts to wait; only its position depends on the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// The latest start for the expected time to fit. All items lose slack alike, so the least slack is the earliest
    /// of these.
    latest_start_ms: u64,
    /// From when on the item counts as late.
    late_at_ms: u64,
    priority: u64,
    rank: (u64, ItemRank),
}

impl Urgency {
    /// The urgency of an item.
    ///
    /// The expected time counts as at most the time allowed: a longer one is either wrong, or the text holds up its
    /// trainer for longest. So only waiting makes an item late, never its hint.
    pub fn new(request: UrgencyRequest) -> Self {
        let due_at_ms = request.arrived_at_ms.saturating_add(request.result_due_ms);
        let needed_ms = request.remaining_ms.min(request.result_due_ms);
        Self {
            latest_start_ms: due_at_ms - needed_ms,
            late_at_ms: due_at_ms - needed_ms / HINT_TOLERANCE,
            priority: request.priority,
            rank: (request.arrived_at_ms, request.rank),
        }
    }
}

/// How the start of an item is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOrder {
    /// By the arrival of its submission, then by its rank there.
    Ranked(u64, ItemRank),
    /// By its urgency.
    Urgent(Urgency),
}

/// The place of an item among those that wait; smaller ones start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartPosition {
    /// Late for the longest time allowed: first, so that its wait is bounded; the one that is late for longest leads.
    Aged(u64, (u64, ItemRank)),
    /// Without an urgency.
    Ranked(u64, ItemRank),
    /// May be in time: by the latest start.
    InTime(u64, (u64, ItemRank)),
    /// Late: by the route's priority, then the older submission, then the longer text.
    Late(u64, (u64, ItemRank)),
}

impl StartOrder {
    /// The item's place at a time.
    pub fn position(&self, now_ms: u64) -> StartPosition {
        let urgency = match self {
            StartOrder::Ranked(arrived_at_ms, rank) => {
                return StartPosition::Ranked(*arrived_at_ms, *rank);
            }
            StartOrder::Urgent(urgency) => urgency,
        };
        if now_ms < urgency.late_at_ms {
            StartPosition::InTime(urgency.latest_start_ms, urgency.rank)
        } else if now_ms < urgency.late_at_ms.saturating_add(MAX_LATE_WAIT_MS) {
            StartPosition::Late(urgency.priority, urgency.rank)
        } else {
            StartPosition::Aged(urgency.late_at_ms, urgency.rank)
        }
    }
}
