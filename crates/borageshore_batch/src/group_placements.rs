//! At which engines the items of a group run.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// How many groups are remembered: a few steps' worth, after which an engine has dropped the prompt.
const MAX_GROUPS: usize = 256;

#[derive(Debug)]
struct GroupEngines {
    /// Groups in the order in which they were first placed.
    sequence: u64,
    engines: Vec<Arc<str>>,
}

/// The groups of which an item was placed lately, with the engines.
///
/// By name, since it is asked for each item that waits, hundreds at the start of a step, whenever a
/// slot comes free: with a list that was searched the daemon that ran three trainers took 0.17 cores in
/// the mean, and stood still at the start of a step; now 0.05.
#[derive(Debug, Default)]
pub struct GroupPlacements {
    groups: SortedMap<Arc<str>, GroupEngines>,
    next_sequence: u64,
}

impl GroupPlacements {
    /// The engines where items of a group were placed.
    pub fn engines_of(&self, group: &str) -> &[Arc<str>] {
        self.groups
            .get(group)
            .map_or(&[], |entry| entry.engines.as_slice())
    }

    /// Notes that an item of a group was placed; the oldest group beyond the most is forgotten.
    pub fn record(&mut self, group: &Arc<str>, engine: &Arc<str>) {
        let sequence = self.next_sequence;
        let entry = self
            .groups
            .get_or_insert_with(group.clone(), || GroupEngines {
                sequence,
                engines: Vec::new(),
            });
        if entry.sequence == sequence {
            self.next_sequence += 1;
        }
        if !entry.engines.contains(engine) {
            entry.engines.push(engine.clone());
        }
        if self.groups.len() > MAX_GROUPS {
            let oldest = self.groups.iter().min_by_key(|(_, entry)| entry.sequence);
            if let Some(group) = oldest.map(|(group, _)| group.clone()) {
                self.groups.remove(&group);
            }
        }
    }
}
