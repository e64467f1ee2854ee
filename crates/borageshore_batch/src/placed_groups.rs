//! At which engines the items of a group run.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// How many groups are remembered: a few steps' worth, after which an engine has dropped the prompt.
const MOST_GROUPS: usize = 256;

#[derive(Debug)]
struct Places {
    /// Groups in the order in which they were first placed.
    number: u64,
    engines: Vec<Arc<str>>,
}

/// The groups of which an item was placed lately, with the engines.
///
/// By name, since it is asked for each item that waits, hundreds at the start of a step, whenever a
/// slot comes free: with a list that was searched the daemon that ran three trainers took 0.17 cores in
/// the mean, and stood still at the start of a step; now 0.05.
#[derive(Debug, Default)]
pub struct PlacedGroups {
    groups: SortedMap<Arc<str>, Places>,
    next_number: u64,
}

impl PlacedGroups {
    /// The engines where items of a group were placed.
    pub fn engines_of(&self, group: &str) -> &[Arc<str>] {
        self.groups
            .get(group)
            .map_or(&[], |places| places.engines.as_slice())
    }

    /// Notes that an item of a group was placed; the oldest group beyond the most is forgotten.
    pub fn place(&mut self, group: &Arc<str>, engine: &Arc<str>) {
        let number = self.next_number;
        let places = self.groups.get_or_insert_with(group.clone(), || Places {
            number,
            engines: Vec::new(),
        });
        if places.number == number {
            self.next_number += 1;
        }
        if !places.engines.contains(engine) {
            places.engines.push(engine.clone());
        }
        if self.groups.len() > MOST_GROUPS {
            let oldest = self.groups.iter().min_by_key(|(_, places)| places.number);
            if let Some(group) = oldest.map(|(group, _)| group.clone()) {
                self.groups.remove(&group);
            }
        }
    }
}
