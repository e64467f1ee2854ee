//! Liveness by heartbeats that every daemon reads from one log.

use std::sync::Arc;

use borageshore_base::{SortedMap, rank_by_rendezvous};
use serde::{Deserialize, Serialize};

/// The pause between two heartbeats of a daemon. Each costs one append of the 800 a second that the
/// log takes for all daemons together.
pub const HEARTBEAT_MS: u64 = 500;
/// Silence after which a daemon is taken for dead: three heartbeats and what a slow append takes.
/// Too early costs work done twice, too late costs a step the time that its items stand still.
const DEAD_AFTER_MS: u64 = 1_700;
/// The most by which one read moves the clock that silence is counted on.
const CLOCK_STEP_MS: u64 = 600;

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
    /// Where it is in its life.
    pub state: PresenceState,
    /// The work that it runs; it stays the owner of this work as long as it lives.
    pub holds: Vec<Arc<str>>,
}

#[derive(Debug)]
struct Seen {
    presence: Presence,
    at_ms: u64,
}

/// The daemons by their heartbeats.
///
/// Silence is counted on a clock that moves only while the log is read with success, and by a
/// bounded step for each read. While the log is away, or this process stood still, nobody ages: else
/// the first look after an outage would declare every other daemon dead at once.
#[derive(Debug, Default)]
pub struct PresenceTable {
    seen: SortedMap<Arc<str>, Seen>,
    clock_ms: u64,
    read_at_ms: u64,
}

impl PresenceTable {
    /// Notes that the log was read up to its end at `now_ms`.
    pub fn on_read(&mut self, now_ms: u64) {
        let step_ms = now_ms.saturating_sub(self.read_at_ms).min(CLOCK_STEP_MS);
        self.clock_ms += step_ms;
        self.read_at_ms = now_ms;
    }

    /// Takes over a heartbeat; one of an earlier incarnation is out of date.
    pub fn on_presence(&mut self, presence: Presence) {
        let known = self.seen.get(&presence.name);
        if known.is_some_and(|known| known.presence.incarnation > presence.incarnation) {
            return;
        }
        let seen = Seen {
            at_ms: self.clock_ms,
            presence,
        };
        self.seen.insert(seen.presence.name.clone(), seen);
    }

    /// Forgets a daemon that said goodbye.
    pub fn on_goodbye(&mut self, name: &str) {
        self.seen.remove(name);
    }

    /// The daemons that live.
    pub fn live(&self) -> impl Iterator<Item = &Presence> {
        let is_live = |seen: &&Seen| self.clock_ms < seen.at_ms + DEAD_AFTER_MS;
        self.seen
            .values()
            .filter(is_live)
            .map(|seen| &seen.presence)
    }

    /// The daemons that live and take callers and work.
    pub fn ready(&self) -> impl Iterator<Item = &Presence> {
        self.live()
            .filter(|presence| presence.state == PresenceState::Ready)
    }

    /// The daemon that runs a piece of work: one that holds it already, else the first by
    /// rendezvous for `key` among those that are ready.
    ///
    /// Two daemons may answer differently for a moment; whoever uses this must bear two owners.
    pub fn owner_of(&self, work: &str, key: &str) -> Option<&str> {
        if let Some(holder) = self.holder_of(work) {
            return Some(holder);
        }
        let ready = self.ready().map(|presence| &*presence.name);
        rank_by_rendezvous(key, ready).into_iter().next()
    }

    /// The first live daemon, by name, that says it runs a piece of work.
    pub fn holder_of(&self, work: &str) -> Option<&str> {
        let holds = |presence: &&Presence| presence.holds.iter().any(|held| &**held == work);
        self.live().find(holds).map(|holder| &*holder.name)
    }

    /// Where a daemon is reached.
    pub fn address_of(&self, name: &str) -> Option<Arc<str>> {
        let seen = self.seen.get(name)?;
        Some(seen.presence.http_address.clone())
    }

    /// The addresses for a caller in an availability zone: those of its own zone if at least `least`
    /// are ready there, else all.
    pub fn addresses_for(&self, zone: &str, least: usize) -> Vec<Arc<str>> {
        let near: Vec<Arc<str>> = self
            .ready()
            .filter(|presence| &*presence.zone == zone)
            .map(|presence| presence.http_address.clone())
            .collect();
        if near.len() >= least {
            return near;
        }
        let all = self.ready();
        all.map(|presence| presence.http_address.clone()).collect()
    }
}
