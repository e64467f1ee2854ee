//! Placement of sample groups on daemons.

use std::sync::Arc;

use borageshore_base::{SortedMap, rendezvous_weight};

/// Assigns groups to daemons and counts the attempts in flight.
///
/// A group stays on one daemon, whose engines then have its prompt cached. A new group goes to the
/// daemon with the fewest samples of this job in flight, because a step is only complete when its
/// slowest daemon is done; rendezvous hashing breaks ties.
#[derive(Debug, Default)]
pub struct Placement {
    daemon_by_group: SortedMap<u64, Arc<str>>,
    in_flight: SortedMap<Arc<str>, u64>,
}

impl Placement {
    /// Selects a daemon for an attempt at a sample and counts the attempt; `None` without daemons.
    pub fn place(&mut self, group: u64, attempt: u32, daemons: &[&str]) -> Option<Arc<str>> {
        let assigned = self
            .daemon_by_group
            .get(&group)
            .filter(|assigned| daemons.contains(&&***assigned))
            .cloned();
        let chosen = match (assigned, attempt) {
            (Some(assigned), 0) => assigned,
            // A further attempt goes to another daemon, as the first daemon may be the cause of the delay.
            (Some(assigned), _) => self
                .least_loaded(group, daemons, Some(&assigned))
                .unwrap_or(assigned),
            (None, _) => {
                let chosen = self.least_loaded(group, daemons, None)?;
                self.daemon_by_group.insert(group, chosen.clone());
                chosen
            }
        };
        *self.in_flight.get_or_insert_with(chosen.clone(), || 0) += 1;
        Some(chosen)
    }

    /// Removes an attempt from the count after success or failure.
    pub fn on_attempt_end(&mut self, daemon: &str) {
        if let Some(count) = self.in_flight.get_mut(daemon) {
            *count = count.saturating_sub(1);
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    /// Removes the assignments of groups below `group`, the oldest open one.
    pub fn remove_below(&mut self, group: u64) {
        self.daemon_by_group.retain(|known, _| *known >= group);
    }

    fn least_loaded(
        &self,
        group: u64,
        daemons: &[&str],
        excluded: Option<&Arc<str>>,
    ) -> Option<Arc<str>> {
        let key = group.to_string();
        let candidates = daemons
            .iter()
            .filter(|daemon| excluded.is_none_or(|assigned| **assigned != ***daemon));
        let rank = |daemon: &&&str| {
            let load = self.in_flight.get(**daemon).copied().unwrap_or(0);
            (load, std::cmp::Reverse(rendezvous_weight(&key, daemon)))
        };
        candidates.min_by_key(rank).map(|daemon| Arc::from(*daemon))
    }
}
