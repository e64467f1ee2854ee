//! The list of daemon addresses for a caller.

use std::sync::Arc;

use borageshore_base::rank_by_rendezvous;

use crate::members::Membership;

impl Membership {
    /// Up to `count` addresses for one caller, chosen by rendezvous hashing, those of this zone first.
    ///
    /// Only live daemons that are not suspected are listed. The list is never empty: if there are none,
    /// it holds this daemon's own address.
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
