//! The start order of waiting items across the submissions of a service.
//!
//! The load: several trainers submit at about the same time, together more items than there are slots. In the order of
//! arrival, the long texts of one step wait for short ones of another step that have seconds to spare.

use crate::{item_rank::ItemRank, packed_item::PackedItem, submission::Submission};

/// Hints are often wrong by this factor: an item may still be in time while its expected time divided by it fits.
const HINT_TOLERANCE: u64 = 2;
/// How long an item that can no longer be in time stays behind those that can. Its trainer goes on waiting for it.
const MAX_LATE_WAIT_MS: u64 = 1_000;

/// The mean hint of a submission's items that have one, expected of those without.
pub fn mean_hint_tokens(submission: &Submission) -> Option<u64> {
    let hints = submission
        .items
        .iter()
        .filter_map(PackedItem::length_hint_tokens);
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
    /// From when on it starts before others even in an overload: twice the time allowed after its arrival.
    overdue_at_ms: u64,
    needed_ms: u64,
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
            overdue_at_ms: due_at_ms.saturating_add(request.result_due_ms),
            needed_ms,
            priority: request.priority,
            rank: (request.arrived_at_ms, request.rank),
        }
    }
}

/// Whether the waiting items of a service can be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceLoad {
    /// They may be, as far as the sum of their expected times tells.
    Normal,
    /// Not all of them can be, in whatever order they start.
    Overloaded,
}

/// The expected times of the waiting items of a service, added up once a round.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    needed_ms: u64,
    last_due_at_ms: u64,
}

impl Backlog {
    /// Adds an item; one without an urgency does not count.
    pub fn add(&mut self, order: &StartOrder) {
        if let StartOrder::Urgent(urgency) = order {
            let due_at_ms = urgency.latest_start_ms.saturating_add(urgency.needed_ms);
            self.last_due_at_ms = self.last_due_at_ms.max(due_at_ms);
            self.needed_ms = self.needed_ms.saturating_add(urgency.needed_ms);
        }
    }

    /// Whether the items take longer than all slots have until the last of them is due.
    pub fn service_load(&self, slots: u64, now_ms: u64) -> ServiceLoad {
        let left_ms = self.last_due_at_ms.saturating_sub(now_ms);
        match self.needed_ms > slots.saturating_mul(left_ms) {
            true => ServiceLoad::Overloaded,
            false => ServiceLoad::Normal,
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
    ///
    /// In an overload, least slack first would start a part of each step and complete none in time. So all items count as
    /// late then, which completes whole steps, and their wait is bounded by twice the time allowed.
    pub fn position(&self, now_ms: u64, load: ServiceLoad) -> StartPosition {
        let urgency = match self {
            StartOrder::Ranked(arrived_at_ms, rank) => {
                return StartPosition::Ranked(*arrived_at_ms, *rank);
            }
            StartOrder::Urgent(urgency) => urgency,
        };
        if load == ServiceLoad::Overloaded {
            return match now_ms < urgency.overdue_at_ms {
                true => StartPosition::Late(urgency.priority, urgency.rank),
                false => StartPosition::Aged(urgency.late_at_ms, urgency.rank),
            };
        }
        if now_ms < urgency.late_at_ms {
            StartPosition::InTime(urgency.latest_start_ms, urgency.rank)
        } else if now_ms < urgency.late_at_ms.saturating_add(MAX_LATE_WAIT_MS) {
            StartPosition::Late(urgency.priority, urgency.rank)
        } else {
            StartPosition::Aged(urgency.late_at_ms, urgency.rank)
        }
    }
}
