//! Assignment of trainers to daemons.

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

// Guards against overloaded engines: daemons that share engines see each other's load only through delayed reports.
#[test]
fn trainers_that_share_engines_are_run_by_one_daemon() {
    assert_eq!(keys(228).len(), 1);
    assert_ne!(work_key("llm", "a", 228), work_key("other", "a", 228));
}

// Guards against overloading one daemon with the streams of all engines.
#[test]
fn many_engines_are_shared_by_daemons_trainer_by_trainer() {
    assert!(keys(12_000).len() >= 10);
    assert_eq!(work_key("llm", "a", 12_000), work_key("llm", "a", 12_000));
}
