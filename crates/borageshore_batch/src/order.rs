//! Which items of a submission come first.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::submission::Submission;

/// An item's place in the line; smaller ones start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRank {
    /// Groups that the trainer will hardly wait for come last.
    is_spare: bool,
    /// The place of the group.
    group: usize,
    /// The place within the group.
    item: usize,
}

struct Group<'s> {
    name: &'s Arc<str>,
    first_index: usize,
    longest_hint: u64,
}

/// Ranks the items of a submission, in its own order.
///
/// A step is over when `target_groups` groups are complete, so its time is that of the longest text
/// among them. The groups whose longest text is expected to be the longest of all are left for the
/// end, as many as the trainer does not wait for; among the others the longest start first, since a
/// long text that starts late ends last. Within a group the longest starts first as well.
///
/// Groups that the trainer sent before come first in the submission, are always waited for and so
/// are never left for the end; they make up at most half of `target_groups`.
pub fn rank_items(submission: &Submission) -> Vec<ItemRank> {
    let groups = groups_of(submission);
    let target = submission.target_groups.unwrap_or(groups.len());
    let spare_count = groups.len().saturating_sub(target);
    let mut by_length: Vec<&Group<'_>> = groups.iter().collect();
    by_length.sort_by_key(|group| (std::cmp::Reverse(group.longest_hint), group.first_index));
    let always_waited_for = target / 2;
    let mut spares: Vec<&Arc<str>> = by_length
        .iter()
        .filter(|group| group.first_index >= always_waited_for)
        .take(spare_count)
        .map(|group| group.name)
        .collect();
    spares.sort_unstable();
    let places: SortedMap<&Arc<str>, usize> = by_length
        .iter()
        .enumerate()
        .map(|(place, group)| (group.name, place))
        .collect();
    let rank = |(index, item): (usize, &crate::Item)| ItemRank {
        is_spare: spares.binary_search(&&item.group).is_ok(),
        group: places.get(&&item.group).copied().unwrap_or(index),
        item: usize::MAX - item.length_hint_tokens.unwrap_or(0) as usize,
    };
    submission.items.iter().enumerate().map(rank).collect()
}

fn groups_of(submission: &Submission) -> Vec<Group<'_>> {
    let mut groups: Vec<Group<'_>> = Vec::new();
    for item in &submission.items {
        let hint = item.length_hint_tokens.unwrap_or(0);
        match groups.iter_mut().find(|group| group.name == &item.group) {
            Some(group) => group.longest_hint = group.longest_hint.max(hint),
            None => groups.push(Group {
                name: &item.group,
                first_index: groups.len(),
                longest_hint: hint,
            }),
        }
    }
    groups
}
