//! Addresses of daemons, for callers and for requests between daemons.

use std::sync::Arc;

use borageshore_base::{first_by_rendezvous, rank_by_rendezvous};
use borageshore_membership::{AddressRequest, Presence, PresenceState};
use borageshore_topology::Residency;

use super::Members;

/// With fewer addresses in its zone, a caller is also given addresses of other zones, so that it can fail over.
const MIN_ADDRESSES: usize = 2;

impl Members {
    /// The addresses of the daemons that are asked in turn to change a submission: its holder, else the one that the
    /// rendezvous hash selects; none if that is this daemon.
    pub(crate) fn owner_addresses(&self, submission: &str, residency: &Residency) -> Vec<Arc<str>> {
        let table = self.table.borrow();
        let allows = self.inside(residency);
        let owner = table.owner_within(submission, submission, allows);
        self.addresses_from(owner, submission, residency)
    }

    /// The addresses of the daemons that are asked in turn to read a submission: the owner, or one of this region that
    /// reads for it; none if that is this daemon.
    pub(crate) fn reader_addresses(
        &self,
        submission: &str,
        residency: &Residency,
    ) -> Vec<Arc<str>> {
        let table = self.table.borrow();
        let allows = self.inside(residency);
        let reader = table.reader_within(submission, submission, &self.topology, allows);
        self.addresses_from(reader, submission, residency)
    }

    /// The address of `first`, and of another daemon where this one may not hold the submission itself.
    fn addresses_from(
        &self,
        first: Option<&str>,
        submission: &str,
        residency: &Residency,
    ) -> Vec<Arc<str>> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let Some(first) = first.filter(|first| *first != &*own.name) else {
            return Vec::new();
        };
        let allows = self.inside(residency);
        let others = table.eligible_within(allows);
        let others = others.filter(|name| *name != first && *name != &*own.name);
        let second = match allows(&own) {
            true => None,
            false => first_by_rendezvous(submission, others),
        };
        let asked = std::iter::once(first).chain(second);
        asked.filter_map(|name| table.address_of(name)).collect()
    }

    /// HTTP addresses of up to `count` other eligible daemons in allowed regions, those of this region first, in an order
    /// that varies with time.
    pub(crate) fn choose_eligible(&self, count: usize, residency: &Residency) -> Vec<Arc<str>> {
        let own_name = self.own_name();
        let table = self.table.borrow();
        let salt = self.clock.now_ms().to_string();
        let eligible = table.eligible_within(self.inside(residency));
        let others = eligible.filter(|name| *name != &*own_name);
        let mut ranked = rank_by_rendezvous(&salt, others);
        ranked.sort_by_key(|name| !table.is_in_region(name, &self.topology));
        let picked = ranked.into_iter().take(count);
        picked.filter_map(|name| table.address_of(name)).collect()
    }

    /// Peer addresses of up to `count` other daemons, in an order that varies with time.
    pub(crate) fn choose_peer_addresses(&self, count: usize) -> Vec<Arc<str>> {
        let own = self.own.borrow();
        let peers = self
            .table
            .borrow()
            .peer_addresses(&own.name, &self.topology);
        let salt = self.clock.now_us().to_string();
        let ranked = rank_by_rendezvous(&salt, peers.iter().map(|peer| &**peer));
        ranked.into_iter().take(count).map(Into::into).collect()
    }

    /// The regions in which a daemon is ready, sorted.
    pub(crate) fn ready_regions(&self) -> Vec<Arc<str>> {
        let table = self.table.borrow();
        let region = |presence: &Presence| self.topology.region_of(&presence.zone).cloned();
        let mut regions: Vec<Arc<str>> = table.ready().filter_map(region).collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    /// The region of a caller: the one that it says, if the deployment has it, else that of its zone.
    pub(crate) fn region_of_caller(&self, region: Option<&str>, zone: &str) -> Option<Arc<str>> {
        let said = region.map(Arc::<str>::from);
        let is_known = |region: &Arc<str>| {
            let said = Residency::within(vec![region.clone()]);
            self.topology.has_region_of(&said)
        };
        said.filter(is_known)
            .or_else(|| self.topology.region_of(zone).cloned())
    }

    /// The HTTP addresses for a caller.
    pub(crate) fn addresses_for(&self, request: AddressRequest<'_>) -> Vec<Arc<str>> {
        let own = self.own.borrow();
        let table = self.table.borrow();
        let mut addresses = table.addresses_for(request, &self.topology, MIN_ADDRESSES);
        if addresses.is_empty() && own.state == PresenceState::Ready {
            addresses.push(own.http_address.clone());
        }
        if own.state == PresenceState::Draining {
            addresses.retain(|address| *address != own.http_address);
        }
        addresses
    }
}
