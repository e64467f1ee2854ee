//! Which daemons live, by what they and their watchers write to one log that every daemon reads.

use std::sync::Arc;

use borageshore_base::{SortedMap, rank_by_rendezvous};
use serde::{Deserialize, Serialize};

use crate::watch::Suspicion;

/// The shortest pause between two records of a daemon of which nothing changed.
const MIN_RECORD_INTERVAL_MS: u64 = 500;
/// Every record is read by every daemon: the pause grows with the square of their number, so that these
/// records cause 250 reads of the log a second at the most, of 2,000 and more that it takes. They tell a few
/// daemons of a death where datagrams do not pass; for many daemons watchers do.
const RECORD_INTERVAL_PER_PAIR_MS: u64 = 4;
/// Records that a daemon may miss before it is taken for dead.
const MAX_MISSED_RECORDS: u64 = 3;
/// Added for an append that waits and for the pace at which the log is read.
const READ_DELAY_ALLOWANCE_MS: u64 = 300;
/// The most by which one read moves the clock that silence is counted on.
const MAX_CLOCK_STEP_MS: u64 = 600;
/// A daemon that is suspected has this long to say that it lives. It reads the suspicion and writes its
/// record within 100 ms; a false alarm then changes nothing, where work was otherwise done twice.
pub const SUSPICION_TIMEOUT_MS: u64 = 250;
/// A daemon that has been dead for this long is forgotten with its records: a VM that was replaced does not
/// come back, and one that does writes its record again.
const DEAD_RETENTION_MS: u64 = 60_000;

/// Where a daemon is in its life, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PresenceState {
    /// It has no routes or endpoints yet.
    Starting,
    /// It takes callers and work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Its name, one for each VM.
    pub name: Arc<str>,
    /// Rises with each start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub http_address: Arc<str>,
    /// Where other daemons connect; empty if it is none that passes on calls to the store.
    #[serde(default)]
    pub peer_address: Arc<str>,
    /// Where it is in its life.
    pub state: PresenceState,
    /// Its processor, in percent of a core.
    pub capacity_percent: u64,
    /// The work that it runs; it stays the owner of this work as long as it lives.
    pub holds: Vec<Arc<str>>,
}

#[derive(Debug)]
struct KnownDaemon {
    presence: Presence,
    /// When its record was read, on the clock that reads move.
    at_ms: u64,
    /// Since when a watcher's suspicion stands, on the clock that goes on by itself.
    suspected_at_ms: Option<u64>,
}

impl KnownDaemon {
    fn is_dead(&self, now_ms: u64) -> bool {
        self.suspected_at_ms
            .is_some_and(|at_ms| now_ms >= at_ms + SUSPICION_TIMEOUT_MS)
    }
}

/// The daemons by their records, and by what watchers write of them.
///
/// A suspicion that is not refuted within [`SUSPICION_TIMEOUT_MS`] is a death. Besides, silence is counted on a
/// clock that moves only while the log is read with success, and by a bounded step for each read. While
/// the log is away, or this process stood still, nobody ages: else the first look after an outage would
/// declare every other daemon dead at once.
#[derive(Debug, Default)]
pub struct PresenceTable {
    daemons: SortedMap<Arc<str>, KnownDaemon>,
    clock_ms: u64,
    read_at_ms: u64,
    now_ms: u64,
    changes: u64,
}

impl PresenceTable {
    /// Notes that the log was read up to its end at `now_ms`.
    pub fn on_read(&mut self, now_ms: u64) {
        let step_ms = now_ms
            .saturating_sub(self.read_at_ms)
            .min(MAX_CLOCK_STEP_MS);
        self.clock_ms += step_ms;
        self.read_at_ms = now_ms;
        self.advance(now_ms);
    }

    /// Takes over the time, by which suspicions become deaths; says whether one did.
    pub fn advance(&mut self, now_ms: u64) -> bool {
        let before_ms = std::mem::replace(&mut self.now_ms, now_ms);
        let died = |daemon: &KnownDaemon| daemon.is_dead(now_ms) && !daemon.is_dead(before_ms);
        let has_died = self.daemons.values().any(died);
        self.changes += u64::from(has_died);
        has_died
    }

    /// Counts what changed of who lives and where; a record that says the same again is none.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Says whether the log was read yet.
    pub fn is_known(&self) -> bool {
        self.read_at_ms > 0
    }

    /// Takes over a daemon's record, which also refutes a suspicion; one of an earlier incarnation is out of
    /// date.
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

    /// Takes over a watcher's suspicion; the first one counts, until it is refuted.
    pub fn on_suspicion(&mut self, suspicion: &Suspicion, now_ms: u64) {
        if let Some(daemon) = self.daemons.get_mut(&suspicion.name)
            && daemon.presence.incarnation == suspicion.incarnation
        {
            daemon.suspected_at_ms.get_or_insert(now_ms);
        }
    }

    /// Says whether a suspicion of a daemon stands.
    pub fn is_suspected(&self, name: &str) -> bool {
        let daemon = self.daemons.get(name);
        daemon.is_some_and(|daemon| daemon.suspected_at_ms.is_some())
    }

    /// Forgets a daemon that left.
    pub fn on_left(&mut self, name: &str) {
        self.changes += u64::from(self.daemons.remove(name).is_some());
    }

    /// The daemons whose records may be removed, as they have been dead for long.
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

    /// The pause between two records of a daemon, by the number of daemons heard of.
    pub fn record_interval_ms(&self) -> u64 {
        let daemons = self.daemons.len() as u64;
        MIN_RECORD_INTERVAL_MS.max(daemons * daemons * RECORD_INTERVAL_PER_PAIR_MS)
    }

    fn dead_after_ms(&self) -> u64 {
        MAX_MISSED_RECORDS * self.record_interval_ms() + READ_DELAY_ALLOWANCE_MS
    }

    /// The daemons that live.
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

    /// The daemons that live and take callers and work.
    pub fn ready(&self) -> impl Iterator<Item = &Presence> {
        self.live()
            .filter(|presence| presence.state == PresenceState::Ready)
    }

    /// The daemon that runs a piece of work: one that holds it already, else the first by
    /// rendezvous for `key` among those that are able.
    ///
    /// Two daemons may answer differently for a moment; whoever uses this must bear two owners.
    pub fn owner_of(&self, work: &str, key: &str) -> Option<&str> {
        if let Some(holder) = self.holder_of(work) {
            return Some(holder);
        }
        rank_by_rendezvous(key, self.eligible()).into_iter().next()
    }

    /// The names of the daemons that take work of others: those with at least half of the largest
    /// processor. A small one would run the items of a step at a fraction of the engines' pace.
    pub fn eligible(&self) -> impl Iterator<Item = &str> {
        let largest = self.ready().map(|presence| presence.capacity_percent).max();
        let min_percent = largest.unwrap_or(0) / 2;
        self.ready()
            .filter(move |presence| presence.capacity_percent >= min_percent)
            .map(|presence| &*presence.name)
    }

    /// The first live daemon, by name, that says it runs a piece of work.
    pub fn holder_of(&self, work: &str) -> Option<&str> {
        let holds = |presence: &&Presence| presence.holds.iter().any(|held| &**held == work);
        self.live().find(holds).map(|holder| &*holder.name)
    }

    /// Where other daemons are asked to pass on calls to the store: those that are able to, of a zone first.
    pub fn peer_addresses(&self, own_name: &str, zone: &str) -> Vec<Arc<str>> {
        let eligible: Vec<&str> = self.eligible().collect();
        let others = self.ready().filter(|presence| {
            &*presence.name != own_name
                && !presence.peer_address.is_empty()
                && eligible.binary_search(&&*presence.name).is_ok()
        });
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            others.partition(|presence| &*presence.zone == zone);
        let all = same_zone.into_iter().chain(other_zones);
        all.map(|presence| presence.peer_address.clone()).collect()
    }

    /// The incarnation of a daemon, as far as is known.
    pub fn incarnation_of(&self, name: &str) -> Option<u64> {
        Some(self.daemons.get(name)?.presence.incarnation)
    }

    /// Where a daemon is reached.
    pub fn address_of(&self, name: &str) -> Option<Arc<str>> {
        let daemon = self.daemons.get(name)?;
        Some(daemon.presence.http_address.clone())
    }

    /// The addresses for a caller in an availability zone: those of its own zone if at least `min_count`
    /// are ready there, else all.
    pub fn addresses_for(&self, zone: &str, min_count: usize) -> Vec<Arc<str>> {
        let same_zone: Vec<Arc<str>> = self
            .ready()
            .filter(|presence| &*presence.zone == zone)
            .map(|presence| presence.http_address.clone())
            .collect();
        if same_zone.len() >= min_count {
            return same_zone;
        }
        let all = self.ready();
        all.map(|presence| presence.http_address.clone()).collect()
    }
}
