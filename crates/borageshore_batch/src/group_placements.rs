//! The engines on which items of a group were placed.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// The maximum number of groups that are kept: those of a few steps, after which engines have evicted the shared
/// prompt.
const MAX_GROUPS: usize = 256;

#[derive(Debug)]
struct GroupEngines {
    /// Increases with each group that is first placed; the smallest is evicted first.
    sequence: u64,
    engines: Vec<Arc<str>>,
}

/// The engines of recently placed groups.
///
/// Keyed by group, since it is queried for every waiting item whenever a slot becomes free. With a list that was
/// searched, a daemon that ran three trainers used 0.17 cores in the mean instead of 0.05.
#[derive(Debug, Default)]
pub struct GroupPlacements {
    groups: SortedMap<Arc<str>, GroupEngines>,
    next_sequence: u64,
}

impl GroupPlacements {
    /// The engines on which items of a group were placed; empty if the group is not known.
    pub fn engines_of(&self, group: &str) -> &[Arc<str>] {
        self.groups
            .get(group)
            .map_or(&[], |entry| entry.engines.as_slice())
    }

    /// Records the placement of an item; evicts the oldest group beyond `MAX_GROUPS`.
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
