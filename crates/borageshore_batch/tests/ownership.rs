//! Which submissions go to the same daemon.

use std::sync::Arc;

use borageshore_batch::work_key;

const TRAINERS: [&str; 27] = [
    "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s",
    "t", "u", "v", "w", "x", "y", "z", "aa",
];

fn keys(slots: u64) -> Vec<Arc<str>> {
    let mut keys: Vec<Arc<str>> = TRAINERS
        .iter()
        .map(|trainer| work_key("llm", trainer, slots))
        .collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

// The longest texts of a step come half a second late whenever another trainer's step begins.
// Each trainer's items were placed by a daemon of its own; it saw the others' items at an engine by
// reports that were 100 ms old, and filled engines that were full.
#[test]
fn trainers_that_share_engines_are_run_by_one_daemon() {
    assert_eq!(keys(228).len(), 1);
    assert_ne!(work_key("llm", "a", 228), work_key("other", "a", 228));
}

// One daemon of half a core cannot read the texts of 2,000 engines.
#[test]
fn many_engines_are_shared_by_daemons_trainer_by_trainer() {
    assert!(keys(12_000).len() >= 10);
    assert_eq!(work_key("llm", "a", 12_000), work_key("llm", "a", 12_000));
}
