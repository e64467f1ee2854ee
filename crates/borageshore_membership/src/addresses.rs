//! The address list that callers ask for.

use std::sync::Arc;

use borageshore_base::rank_by_rendezvous;

use crate::members::Membership;

impl Membership {
    /// A small, stable list for one caller, spread over the daemons by rendezvous hashing.
    ///
    /// Daemons of this zone come first. Leaving, suspected and dead daemons are not listed; when that
    /// leaves none, this daemon names itself, for an answer that fails beats an empty one.
    pub fn address_list(&self, caller: &str, count: usize) -> Vec<Arc<str>> {
        let now_ms = self.now_ms();
        let own_zone = self.own().zone.clone();
        let same_zone = self
            .usable(now_ms)
            .filter(|entry| entry.zone == own_zone)
            .map(|entry| &*entry.name);
        let other_zones = self
            .usable(now_ms)
            .filter(|entry| entry.zone != own_zone)
            .map(|entry| &*entry.name);
        let mut ranked = rank_by_rendezvous(caller, same_zone);
        ranked.extend(rank_by_rendezvous(caller, other_zones));
        ranked.truncate(count);
        let address = |name: &str| self.entry(name).map(|entry| entry.http_address.clone());
        let listed: Vec<Arc<str>> = ranked.into_iter().filter_map(address).collect();
        if listed.is_empty() {
            vec![self.own().http_address.clone()]
        } else {
            listed
        }
    }
}
