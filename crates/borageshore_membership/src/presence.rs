//! Liveness and work ownership of daemons, from records in a log that every daemon reads.

use std::{cmp::Reverse, sync::Arc};

use borageshore_base::{SortedMap, first_by_rendezvous, rendezvous_weight};
use borageshore_topology::{Distance, Residency, Topology};
use serde::{Deserialize, Serialize};

use crate::watch::Suspicion;

/// The minimum interval between two records of a daemon whose state has not changed.
const MIN_RECORD_INTERVAL_MS: u64 = 500;
/// The record interval is this times the square of the number of daemons. Every daemon reads every record, so this
/// limits all daemons together to 250 record reads a second. The log takes 2,000 and more. These records tell a few
/// daemons of a death where datagrams do not pass; for many daemons the watchers do.
const RECORD_INTERVAL_PER_PAIR_MS: u64 = 4;
/// How many record intervals may pass without a record before a daemon counts as dead.
const MAX_MISSED_RECORDS: u64 = 3;
/// The allowance for delayed appends and for the interval between reads of the log.
const READ_DELAY_ALLOWANCE_MS: u64 = 300;
/// The maximum by which one read of the log advances the clock on which the age of records is measured.
const MAX_CLOCK_STEP_MS: u64 = 600;
/// How long a suspected daemon has to refute the suspicion before it counts as dead. Guards against work that is taken
/// over, and done twice, because of a false suspicion. A daemon reads the suspicion and writes its record within 100
/// ms.
pub const SUSPICION_TIMEOUT_MS: u64 = 250;
/// Records of a daemon that has been dead for this long are removed; if it comes back, it writes its record again. A VM
/// that was replaced does not come back.
const DEAD_RETENTION_MS: u64 = 60_000;

/// The maximum number of addresses that callers use.
const MAX_ADDRESSES: usize = 64;
/// The rendezvous key that selects addresses; the same on all daemons.
const ADDRESSES_KEY: &str = "addresses";

/// The lifecycle state that a daemon reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PresenceState {
    /// It has not loaded routes and endpoints yet.
    Starting,
    /// It accepts callers and new work.
    Ready,
    /// It finishes its current work and accepts no more.
    Draining,
}

/// A request of a caller for the addresses of daemons.
#[derive(Debug, Clone, Copy)]
pub struct AddressRequest<'r> {
    /// The caller's availability zone.
    pub zone: &'r str,
    /// The caller's region; `None` if it does not say, so that its zone's counts.
    pub region: Option<&'r str>,
    /// The regions whose daemons may be listed.
    pub candidates: &'r Residency,
}

impl AddressRequest<'_> {
    /// How far a daemon's zone is away from the caller.
    fn distance_to(&self, zone: &str, topology: &Topology) -> Distance {
        let region = self.region.or_else(|| Some(topology.region_of(self.zone)?));
        match zone == self.zone {
            true => Distance::SameZone,
            false => topology.region_distance(region, zone),
        }
    }
}

/// The record that a daemon writes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The daemon's name, unique for each VM.
    pub name: Arc<str>,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address for callers.
    pub http_address: Arc<str>,
    /// The address for other daemons; empty if this one does not forward calls to the store.
    #[serde(default)]
    pub peer_address: Arc<str>,
    /// The lifecycle state.
    pub state: PresenceState,
    /// The CPU capacity, in percent of a core.
    pub capacity_percent: u64,
    /// The work that the daemon runs and owns as long as it is alive.
    pub holds: Vec<Arc<str>>,
}

/// A daemon that forwards calls to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePeer {
    /// Its address for other daemons.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

#[derive(Debug)]
struct KnownDaemon {
    presence: Presence,
    /// When the record was read, on the `clock_ms` of the table.
    at_ms: u64,
    /// When the first unrefuted suspicion was read, on the `now_ms` of the table.
    suspected_at_ms: Option<u64>,
}

impl KnownDaemon {
    fn is_dead(&self, now_ms: u64) -> bool {
        self.suspected_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms + SUSPICION_TIMEOUT_MS)
    }
}

/// All known daemons, from their own records and their watchers' suspicions.
///
/// A daemon counts as dead if a suspicion is not refuted within [`SUSPICION_TIMEOUT_MS`], or if its records stop. The
/// age of records is measured on a clock that only successful reads of the log advance, by a bounded step each. This
/// guards against declaring all daemons dead after an outage of the log or a pause of this process.
#[derive(Debug, Default)]
pub struct PresenceTable {
    daemons: SortedMap<Arc<str>, KnownDaemon>,
    clock_ms: u64,
    read_at_ms: u64,
    now_ms: u64,
    changes: u64,
}

impl PresenceTable {
    /// Records that the log was read up to its end at `now_ms`.
    pub fn on_read(&mut self, now_ms: u64) {
        let step_ms = now_ms
            .saturating_sub(self.read_at_ms)
            .min(MAX_CLOCK_STEP_MS);
        self.clock_ms += step_ms;
        self.read_at_ms = now_ms;
        self.advance(now_ms);
    }

    /// Advances the time to `now_ms`; returns whether a suspicion has timed out since the time was last advanced.
    pub fn advance(&mut self, now_ms: u64) -> bool {
        let before_ms = std::mem::replace(&mut self.now_ms, now_ms);
        let died = |daemon: &KnownDaemon| daemon.is_dead(now_ms) && !daemon.is_dead(before_ms);
        let has_died = self.daemons.values().any(died);
        self.changes += u64::from(has_died);
        has_died
    }

    /// The number of changes of membership or state so far; a repeated record does not count.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether the log has been read at least once.
    pub fn is_known(&self) -> bool {
        self.read_at_ms > 0
    }

    /// Processes a daemon's record, which also refutes a suspicion. Records of earlier incarnations are ignored.
    pub fn on_presence(&mut self, presence: Presence) {
        let known = self.daemons.get(&presence.name);
        if known.is_some_and(|known| known.presence.incarnation > presence.incarnation) {
            return;
        }
        let is_same = known.is_some_and(|known| {
            known.suspected_at_ms.is_none()
                && known.presence.state == presence.state
                && known.presence.incarnation == presence.incarnation
        });
        self.changes += u64::from(!is_same);
        let daemon = KnownDaemon {
            at_ms: self.clock_ms,
            suspected_at_ms: None,
            presence,
        };
        self.daemons.insert(daemon.presence.name.clone(), daemon);
    }

    /// Processes a watcher's suspicion. Its timeout runs from the first one that is not refuted.
    pub fn on_suspicion(&mut self, suspicion: &Suspicion, now_ms: u64) {
        if let Some(daemon) = self.daemons.get_mut(&suspicion.name)
            && daemon.presence.incarnation == suspicion.incarnation
        {
            daemon.suspected_at_ms.get_or_insert(now_ms);
        }
    }

    /// Whether a daemon is under a suspicion that it has not refuted.
    pub fn is_suspected(&self, name: &str) -> bool {
        let daemon = self.daemons.get(name);
        daemon.is_some_and(|daemon| daemon.suspected_at_ms.is_some())
    }

    /// Removes a daemon that left.
    pub fn on_left(&mut self, name: &str) {
        self.changes += u64::from(self.daemons.remove(name).is_some());
    }

    /// The daemons that have been dead for so long that their records may be removed.
    pub fn expired(&self) -> Vec<Arc<str>> {
        let dead_after_ms = self.dead_after_ms() + DEAD_RETENTION_MS;
        let is_expired = |daemon: &&KnownDaemon| {
            let is_long_ago = |at_ms: u64| self.now_ms >= at_ms + DEAD_RETENTION_MS;
            daemon.suspected_at_ms.is_some_and(is_long_ago)
                || self.clock_ms >= daemon.at_ms + dead_after_ms
        };
        let expired = self.daemons.values().filter(is_expired);
        expired.map(|daemon| daemon.presence.name.clone()).collect()
    }

    /// The interval between two records of a daemon, which grows with the number of known daemons.
    pub fn record_interval_ms(&self) -> u64 {
        let daemons = self.daemons.len() as u64;
        MIN_RECORD_INTERVAL_MS.max(daemons * daemons * RECORD_INTERVAL_PER_PAIR_MS)
    }

    fn dead_after_ms(&self) -> u64 {
        MAX_MISSED_RECORDS * self.record_interval_ms() + READ_DELAY_ALLOWANCE_MS
    }

    /// The daemons that are alive, in any state.
    pub fn live(&self) -> impl Iterator<Item = &Presence> {
        let dead_after_ms = self.dead_after_ms();
        let is_live = move |daemon: &&KnownDaemon| {
            self.clock_ms < daemon.at_ms + dead_after_ms && !daemon.is_dead(self.now_ms)
        };
        self.daemons
            .values()
            .filter(is_live)
            .map(|daemon| &daemon.presence)
    }

    /// The live daemons that accept callers and work.
    pub fn ready(&self) -> impl Iterator<Item = &Presence> {
        self.live()
            .filter(|presence| presence.state == PresenceState::Ready)
    }

    /// The owner of a piece of work: the daemon that runs it already, else the first eligible one by rendezvous
    /// hashing of `key`.
    ///
    /// Daemons may disagree for a short time, so the work must tolerate two owners.
    pub fn owner_of(&self, work: &str, key: &str) -> Option<&str> {
        self.owner_within(work, key, |_| true)
    }

    /// The owner of a piece of work that only daemons for which `allows` returns true may hold: like
    /// [`Self::owner_of`] among these.
    pub fn owner_within<Allows>(&self, work: &str, key: &str, allows: Allows) -> Option<&str>
    where
        Allows: Fn(&Presence) -> bool + Copy,
    {
        if let Some(holder) = self.holder_within(work, allows) {
            return Some(holder);
        }
        first_by_rendezvous(key, self.eligible_within(allows))
    }

    /// The daemon from which those of the own region read a piece of work: its owner if that is in the region, else an
    /// eligible daemon of the region, which reads the log for all of them.
    ///
    /// Guards against results that cross regions with each read. Those of other regions come from the log once.
    pub fn reader_of(&self, work: &str, key: &str, topology: &Topology) -> Option<&str> {
        self.reader_within(work, key, topology, |_| true)
    }

    /// The reader of a piece of work that only daemons for which `allows` returns true may hold: like
    /// [`Self::reader_of`] among these.
    pub fn reader_within<Allows>(
        &self,
        work: &str,
        key: &str,
        topology: &Topology,
        allows: Allows,
    ) -> Option<&str>
    where
        Allows: Fn(&Presence) -> bool + Copy,
    {
        let owner = self.owner_within(work, key, allows)?;
        if self.is_in_region(owner, topology) {
            return Some(owner);
        }
        let near = self
            .eligible_within(allows)
            .filter(|name| self.is_in_region(name, topology));
        first_by_rendezvous(work, near).or(Some(owner))
    }

    /// Whether a known daemon is in the region of the topology's own zone.
    pub fn is_in_region(&self, name: &str, topology: &Topology) -> bool {
        self.daemons.get(name).is_some_and(|daemon| {
            topology.distance_to(&daemon.presence.zone) <= Distance::SameRegion
        })
    }

    /// The daemon that will own work which nobody runs, once those that start are ready.
    ///
    /// Guards against a start of all daemons at which each of them, ready before it knows that others are, takes over all
    /// work and reads the records of all of it.
    pub fn prospective_owner_of(&self, key: &str) -> Option<&str> {
        self.prospective_owner_within(key, |_| true)
    }

    /// The same among the daemons for which `allows` returns true.
    pub fn prospective_owner_within<Allows>(&self, key: &str, allows: Allows) -> Option<&str>
    where
        Allows: Fn(&Presence) -> bool + Copy,
    {
        let serving = || {
            let allowed = self.live().filter(move |presence| allows(presence));
            allowed.filter(|presence| presence.state != PresenceState::Draining)
        };
        let largest = serving().map(|presence| presence.capacity_percent).max();
        let min_percent = largest.unwrap_or(0) / 2;
        let large = serving().filter(|presence| presence.capacity_percent >= min_percent);
        first_by_rendezvous(key, large.map(|presence| &*presence.name))
    }

    /// The names of the daemons that may own work: ready ones with at least half of the largest CPU capacity.
    /// Smaller ones could not keep up with the engines.
    pub fn eligible(&self) -> impl Iterator<Item = &str> {
        self.eligible_within(|_| true)
    }

    /// The names of the daemons that may own work among those for which `allows` returns true.
    pub fn eligible_within<Allows>(&self, allows: Allows) -> impl Iterator<Item = &str>
    where
        Allows: Fn(&Presence) -> bool + Copy,
    {
        let min_percent = self.min_eligible_percent(allows);
        self.ready()
            .filter(move |presence| allows(presence) && presence.capacity_percent >= min_percent)
            .map(|presence| &*presence.name)
    }

    /// Whether a ready daemon with this CPU capacity may own work among those for which `allows` returns true.
    pub fn has_eligible_capacity<Allows>(&self, capacity_percent: u64, allows: Allows) -> bool
    where
        Allows: Fn(&Presence) -> bool + Copy,
    {
        capacity_percent >= self.min_eligible_percent(allows)
    }

    fn min_eligible_percent<Allows>(&self, allows: Allows) -> u64
    where
        Allows: Fn(&Presence) -> bool + Copy,
    {
        let allowed = self.ready().filter(|presence| allows(presence));
        let largest = allowed.map(|presence| presence.capacity_percent).max();
        largest.unwrap_or(0) / 2
    }

    /// The first live daemon, by name, whose record lists a piece of work.
    pub fn holder_of(&self, work: &str) -> Option<&str> {
        self.holder_within(work, |_| true)
    }

    /// The first live daemon, by name, for which `allows` returns true and whose record lists a piece of work.
    pub fn holder_within<Allows>(&self, work: &str, allows: Allows) -> Option<&str>
    where
        Allows: Fn(&Presence) -> bool,
    {
        let holds = |presence: &&Presence| presence.holds.iter().any(|held| &**held == work);
        let mut allowed = self.live().filter(|presence| allows(presence));
        allowed.find(holds).map(|holder| &*holder.name)
    }

    /// The addresses of eligible daemons that forward calls to the store, nearest first.
    pub fn peer_addresses(&self, own_name: &str, topology: &Topology) -> Vec<Arc<str>> {
        let peers = self.store_peers(own_name, topology).into_iter();
        peers.map(|peer| peer.address).collect()
    }

    /// The eligible daemons that forward calls to the store, nearest first.
    pub fn store_peers(&self, own_name: &str, topology: &Topology) -> Vec<StorePeer> {
        let eligible: Vec<&str> = self.eligible().collect();
        let others = self.ready().filter(|presence| {
            &*presence.name != own_name
                && !presence.peer_address.is_empty()
                && eligible.binary_search(&&*presence.name).is_ok()
        });
        let mut peers: Vec<&Presence> = others.collect();
        peers.sort_by_key(|presence| topology.distance_to(&presence.zone));
        let peer = |presence: &&Presence| StorePeer {
            address: presence.peer_address.clone(),
            zone: presence.zone.clone(),
        };
        peers.iter().map(peer).collect()
    }

    /// The latest known incarnation of a daemon.
    pub fn incarnation_of(&self, name: &str) -> Option<u64> {
        Some(self.daemons.get(name)?.presence.incarnation)
    }

    /// The address of a daemon for callers.
    pub fn address_of(&self, name: &str) -> Option<Arc<str>> {
        let daemon = self.daemons.get(name)?;
        Some(daemon.presence.http_address.clone())
    }

    /// The addresses for a caller: those in its availability zone if at least `min_count` are ready there, else those
    /// in its region, else those in all candidate regions, nearest first. At most 64, the same ones on all daemons, as
    /// callers close their connections to addresses that a newer list lacks.
    pub fn addresses_for(
        &self,
        request: AddressRequest<'_>,
        topology: &Topology,
        min_count: usize,
    ) -> Vec<Arc<str>> {
        let candidates = self
            .ready()
            .filter(|presence| topology.allows(request.candidates, &presence.zone));
        let mut listed: Vec<(Distance, &Presence)> = candidates
            .map(|presence| (request.distance_to(&presence.zone, topology), presence))
            .collect();
        for most in [Distance::SameZone, Distance::SameRegion] {
            let near = listed.iter().filter(|(distance, _)| *distance <= most);
            if near.count() >= min_count {
                listed.retain(|(distance, _)| *distance <= most);
                break;
            }
        }
        if listed.len() > MAX_ADDRESSES {
            listed.sort_by_cached_key(|(distance, presence)| {
                let weight = rendezvous_weight(ADDRESSES_KEY, &presence.name);
                (topology.has_regions().then_some(*distance), Reverse(weight))
            });
            listed.truncate(MAX_ADDRESSES);
        }
        let addresses = listed
            .iter()
            .map(|(_, presence)| presence.http_address.clone());
        addresses.collect()
    }
}
