//! The start order of a step's items.

use borageshore_batch::{Item, PackedItem, Submission, rank_items};

fn step(groups: &[&[u64]], target_groups: usize) -> Submission {
    let mut items = Vec::new();
    for (group, hints) in groups.iter().enumerate() {
        for (place, hint) in hints.iter().enumerate() {
            items.push(PackedItem::pack(&Item {
                id: format!("{group}-{place}").into(),
                group: format!("g{group}").into(),
                path: "/p/".into(),
                headers: Vec::new(),
                body_base64: "".into(),
                length_hint_tokens: Some(*hint),
                reward: None,
            }));
        }
    }
    Submission {
        id: "s1".into(),
        organisation: None,
        host: "h".into(),
        path: "/p/".into(),
        model: None,
        min_version: 0,
        target_groups: Some(target_groups),
        items,
    }
}

fn order(step: &Submission) -> Vec<&str> {
    let ranks = rank_items(step);
    let mut places: Vec<usize> = (0..ranks.len()).collect();
    places.sort_by_key(|place| ranks[*place]);
    places
        .into_iter()
        .map(|place| &**step.items[place].id())
        .collect()
}

/// When the last needed item finishes, with `slots` concurrent items that each take as long as their hint.
fn makespan(step: &Submission, order: &[&str], slots: usize, needed: &[&str]) -> u64 {
    let mut free_at = vec![0; slots];
    let mut last = 0;
    for id in order {
        let item = step.items.iter().find(|item| **item.id() == **id).unwrap();
        let slot = (0..slots).min_by_key(|slot| free_at[*slot]).unwrap();
        free_at[slot] += item.length_hint_tokens().unwrap();
        if needed.contains(id) {
            last = last.max(free_at[slot]);
        }
    }
    last
}

#[test]
fn no_group_is_deferred() {
    let step = step(&[&[10, 10], &[10, 10], &[90, 10], &[20, 10]], 3);
    assert_eq!(order(&step)[..2], ["2-0", "3-0"]);
}

// Guards against running group by group: the longest text of a later group would wait while short texts of earlier
// groups occupy all slots.
#[test]
fn long_texts_of_all_groups_start_before_short_ones() {
    let step = step(
        &[&[100, 20, 20, 20], &[95, 20, 20, 20], &[94, 20, 20, 20]],
        3,
    );
    let ids: Vec<&str> = step.items.iter().map(|item| &**item.id()).collect();
    let order = order(&step);
    assert_eq!(order[..3], ["0-0", "1-0", "2-0"]);
    assert_eq!(makespan(&step, &order, 5, &ids), 100);
    assert_eq!(makespan(&step, &ids, 5, &ids), 134, "group after group");
}

/// A simulated trainer: 29 groups of 4 texts per step on 72 slots. It waits for 26 groups and for all resubmitted ones.
/// A tenth of the texts is five times as long as the others, and hints are inaccurate. Texts of resubmitted groups are
/// generated from the start, because their earlier events are too old.
mod load {
    use std::cmp::Reverse;

    use rand_core::{Rng, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    const GROUPS: usize = 29;
    const SIZE: usize = 4;
    const TARGET: usize = 26;
    const SLOTS: usize = 72;
    const STEPS: usize = 200;
    /// The length limit of a text, in events.
    const LONGEST: u64 = 197;

    #[derive(Debug, Clone)]
    struct Group {
        /// Length in events and hint of each text.
        texts: Vec<(u64, u64)>,
        is_resubmitted: bool,
    }

    fn text(random: &mut Pcg64Mcg) -> (u64, u64) {
        let mean = if random.next_u64().is_multiple_of(10) {
            137
        } else {
            27
        };
        let spread = 30 + random.next_u64() % 170;
        let events = (mean * spread / 100).clamp(1, LONGEST);
        let hint = events * (50 + random.next_u64() % 150) / 100;
        (events, hint.max(1))
    }

    fn group(random: &mut Pcg64Mcg) -> Group {
        Group {
            texts: (0..SIZE).map(|_| text(random)).collect(),
            is_resubmitted: false,
        }
    }

    /// When each group is complete if texts start in the order of `rank`.
    fn complete_at<Rank>(groups: &[Group], rank: Rank) -> Vec<u64>
    where
        Rank: Fn(usize, usize) -> (bool, Reverse<u64>),
    {
        let pairs = |group| (0..SIZE).map(move |text| (group, text));
        let mut queue: Vec<(usize, usize)> = (0..groups.len()).flat_map(pairs).collect();
        queue.sort_by_key(|(group, text)| rank(*group, *text));
        let mut free_at = vec![0; SLOTS];
        let mut complete = vec![0; groups.len()];
        for (group, text) in queue {
            let slot = (0..SLOTS).min_by_key(|slot| free_at[*slot]).unwrap();
            free_at[slot] += groups[group].texts[text].0;
            complete[group] = complete[group].max(free_at[slot]);
        }
        complete
    }

    /// The mean duration of a step, in events; with `defer`, the groups with the longest hints start last.
    fn mean_step(defer: bool) -> u64 {
        let mut random = Pcg64Mcg::seed_from_u64(7);
        let mut resubmitted: Vec<Group> = Vec::new();
        let mut total = 0;
        for _ in 0..STEPS {
            let mut groups = std::mem::take(&mut resubmitted);
            while groups.len() < GROUPS {
                groups.push(group(&mut random));
            }
            let longest = |group: &Group| group.texts.iter().map(|(_, hint)| *hint).max();
            let mut by_length: Vec<usize> = (TARGET / 2..GROUPS).collect();
            by_length.sort_by_key(|group| Reverse(longest(&groups[*group])));
            let deferred = &by_length[..GROUPS - TARGET];
            let complete = complete_at(&groups, |group, text| {
                let is_deferred = defer && deferred.contains(&group);
                (is_deferred, Reverse(groups[group].texts[text].1))
            });
            let mut times = complete.clone();
            times.sort_unstable();
            let resubmitted_groups = (0..GROUPS).filter(|group| groups[*group].is_resubmitted);
            let needed = resubmitted_groups
                .map(|group| complete[group])
                .max()
                .unwrap_or(0);
            let end = needed.max(times[TARGET - 1]);
            total += end;
            for (group, at) in groups.into_iter().zip(complete) {
                if at > end {
                    resubmitted.push(Group {
                        is_resubmitted: true,
                        ..group
                    });
                }
            }
        }
        total / STEPS as u64
    }

    // Guards against deferring the groups with the longest texts: they are resubmitted with a later step, which waits
    // for them while they start from the beginning.
    #[test]
    fn steps_are_shorter_when_no_group_is_deferred() {
        let (deferred, not_deferred) = (mean_step(true), mean_step(false));
        assert!(
            not_deferred * 100 < deferred * 97,
            "{not_deferred} events a step, {deferred} before"
        );
    }
}
