//! The order of a step's items.

use borageshore_batch::{Item, Submission, rank_items};

fn step(groups: &[&[u64]], target_groups: usize) -> Submission {
    let mut items = Vec::new();
    for (group, hints) in groups.iter().enumerate() {
        for (place, hint) in hints.iter().enumerate() {
            items.push(Item {
                id: format!("{group}-{place}").into(),
                group: format!("g{group}").into(),
                path: "/p/".into(),
                headers: Vec::new(),
                body_base64: "".into(),
                length_hint_tokens: Some(*hint),
                reward: None,
            });
        }
    }
    Submission {
        id: "s1".into(),
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
        .map(|place| &*step.items[place].id)
        .collect()
}

/// When the last needed item ends, if `slots` items run at once and each takes as long as its hint.
fn makespan(step: &Submission, order: &[&str], slots: usize, needed: &[&str]) -> u64 {
    let mut free_at = vec![0; slots];
    let mut last = 0;
    for id in order {
        let item = step.items.iter().find(|item| &*item.id == *id).unwrap();
        let slot = (0..slots).min_by_key(|slot| free_at[*slot]).unwrap();
        free_at[slot] += item.length_hint_tokens.unwrap();
        if needed.contains(id) {
            last = last.max(free_at[slot]);
        }
    }
    last
}

#[test]
fn the_group_that_is_not_waited_for_comes_last() {
    let step = step(&[&[10, 10], &[10, 10], &[90, 10], &[20, 10]], 3);
    assert_eq!(order(&step)[6..], ["2-0", "2-1"]);
}

#[test]
fn a_group_that_was_sent_before_is_never_left_for_the_end() {
    let step = step(&[&[90, 10], &[10, 10], &[20, 10]], 2);
    assert_eq!(order(&step)[0], "0-0");
    assert_eq!(order(&step)[4..], ["2-0", "2-1"]);
}

// A step of 6 s takes 8: its longest text waits for two short ones of earlier groups.
// Whole groups went one after the other, longest group first, and the slots were full with the
// short texts of the first groups when the long text of a later one was due.
#[test]
fn long_texts_of_all_groups_start_before_short_ones() {
    let step = step(
        &[&[100, 20, 20, 20], &[95, 20, 20, 20], &[94, 20, 20, 20]],
        3,
    );
    let ids: Vec<&str> = step.items.iter().map(|item| &*item.id).collect();
    let order = order(&step);
    assert_eq!(order[..3], ["0-0", "1-0", "2-0"]);
    assert_eq!(makespan(&step, &order, 5, &ids), 100);
    assert_eq!(makespan(&step, &ids, 5, &ids), 134, "group after group");
}
