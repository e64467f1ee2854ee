//! Which items of a submission come first.

use std::{cmp::Reverse, sync::Arc};

use crate::submission::{Item, Submission};

/// An item's place in the line; smaller ones start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRank {
    /// Groups that the trainer will hardly wait for come last.
    is_spare: bool,
    /// The longer the text is expected to be, the earlier it starts.
    shortness: u64,
    /// The place in the submission, which keeps the items of a group together among equals.
    index: usize,
}

struct Group<'s> {
    name: &'s Arc<str>,
    first_index: usize,
    longest_hint_tokens: u64,
}

/// Ranks the items of a submission, in its own order.
///
/// A step is over when `target_groups` groups are complete, so it takes as long as the longest text
/// among them; one that starts late ends late. The longest texts of all groups start first, whatever
/// their group: with whole groups one after the other, a text of six seconds waited two for short
/// ones of earlier groups. The groups whose longest text is expected to be the longest of all are
/// left for the end, as many as the trainer does not wait for.
///
/// Groups that the trainer sent before come first in the submission, are always waited for and so
/// are never left for the end; they make up at most half of `target_groups`.
pub fn rank_items(submission: &Submission) -> Vec<ItemRank> {
    let groups = groups_of(submission);
    let spares = spare_groups(&groups, submission.target_groups);
    let rank = |(index, item): (usize, &Item)| ItemRank {
        is_spare: spares.binary_search(&&item.group).is_ok(),
        shortness: u64::MAX - hint(item),
        index,
    };
    submission.items.iter().enumerate().map(rank).collect()
}

fn spare_groups<'s>(groups: &[Group<'s>], target_groups: Option<usize>) -> Vec<&'s Arc<str>> {
    let target = target_groups.unwrap_or(groups.len());
    let spare_count = groups.len().saturating_sub(target);
    let may_be_carried_over = target / 2;
    let mut by_length: Vec<&Group<'_>> = groups[may_be_carried_over.min(groups.len())..]
        .iter()
        .collect();
    by_length.sort_by_key(|group| (Reverse(group.longest_hint_tokens), group.first_index));
    let spares = by_length.into_iter().take(spare_count);
    let mut spares: Vec<&Arc<str>> = spares.map(|group| group.name).collect();
    spares.sort_unstable();
    spares
}

fn groups_of(submission: &Submission) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for item in &submission.items {
        match groups.iter_mut().find(|group| group.name == &item.group) {
            Some(group) => group.longest_hint_tokens = group.longest_hint_tokens.max(hint(item)),
            None => groups.push(Group {
                name: &item.group,
                first_index: groups.len(),
                longest_hint_tokens: hint(item),
            }),
        }
    }
    groups
}

fn hint(item: &Item) -> u64 {
    item.length_hint_tokens.unwrap_or(0)
}
