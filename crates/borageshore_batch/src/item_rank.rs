//! The start order of a submission's items.

use crate::{packed_item::PackedItem, submission::Submission};

/// The scheduling rank of an item; smaller ranks start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRank {
    /// Decreases with the expected length, so that long texts start first.
    inverse_length: u64,
    /// The index in the submission, which keeps items of a group together among equal lengths.
    index: usize,
}

impl ItemRank {
    /// The position of the item in its submission.
    pub fn index(self) -> usize {
        self.index
    }
}

/// Ranks the items of a submission, longest expected text first; the ranks are in the order of the items.
///
/// A step ends when `target_groups` groups are complete, so its longest text bounds its duration. Items are ranked
/// across groups: run group by group, a long text would wait for short texts of earlier groups. A text of six seconds
/// waited two.
///
/// No group is deferred, although the trainer may not wait for all of them: an incomplete group is resubmitted with a
/// later step, which waits for it, and a deferred group would start there from the beginning. With 29 groups of 4 texts
/// at 72 slots the last step of half a minute was asked 0.9 s sooner without deferring (standard error 0.3 s).
pub fn rank_items(submission: &Submission) -> Vec<ItemRank> {
    let rank = |(index, item): (usize, &PackedItem)| ItemRank {
        inverse_length: u64::MAX - item.length_hint_tokens().unwrap_or(0),
        index,
    };
    submission.items.iter().enumerate().map(rank).collect()
}
