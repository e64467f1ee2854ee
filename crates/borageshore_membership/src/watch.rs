//! Heartbeat failure detection in which a fixed number of daemons watch each daemon.
//!
//! A daemon sends heartbeats to its watchers, which follow it on a ring of all live daemons. A watcher
//! that misses them appends a [`Suspicion`] to the shared log; a suspected daemon that is alive refutes it by
//! appending its own record again. Heartbeat traffic per daemon and the detection time do not depend on the
//! number of daemons.

use std::sync::Arc;

use borageshore_base::{SortedMap, rendezvous_weight};
use serde::{Deserialize, Serialize};

use crate::presence::{Presence, PresenceState};

/// The interval between two heartbeats of a daemon to each of its watchers. Each costs three datagrams of some 70
/// bytes, 1 KB a second.
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// How many daemons watch each daemon. Its failure is left to new watchers only if all of them fail together with it.
/// With its availability zone a daemon loses none of them, and of three two may fail at the same moment.
const WATCHERS_PER_DAEMON: usize = 3;
/// A daemon is suspected this long after its last heartbeat; up to three lost datagrams are tolerated.
const HEARTBEAT_TIMEOUT_MS: u64 = 700;
/// The delay per rank before a watcher suspects, so that lower ranks read the first watcher's suspicion instead of
/// appending their own. That one is read within 60 ms.
const WATCHER_STAGGER_MS: u64 = 80;
/// The timeout of a new watcher for the first heartbeat, as the watched daemon may learn of the watcher later.
const FIRST_HEARTBEAT_TIMEOUT_MS: u64 = 2_000;
/// The upper bound of the timeout, which doubles with each suspicion that is refuted without a heartbeat. The backoff
/// limits false suspicions of live daemons whose datagrams are lost.
const MAX_HEARTBEAT_TIMEOUT_MS: u64 = 30_000;
/// Checks that are further apart than the heartbeat interval plus this mean that the watcher's process or VM was
/// paused. Heartbeats that arrived meanwhile are still in its socket buffer.
const STALL_THRESHOLD_MS: u64 = 200;

/// A daemon stops its heartbeats after this time without an answer from the log, so that its work moves to a daemon
/// that can store results. Long enough for slow answers and for failover to a peer. Peers are tried within 0.6 s, and a
/// slow log answers in 0.3 s.
pub const HEARTBEAT_LOG_TIMEOUT_MS: u64 = 3_000;
/// A watcher raises no suspicions after this time without an answer from the log. It exceeds the interval at which
/// waiting reads are answered.
pub const WATCHER_LOG_TIMEOUT_MS: u64 = 1_500;

/// A record that a watcher appends when a daemon's heartbeats stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The suspected daemon.
    pub name: Arc<str>,
    /// The suspected incarnation; later ones are not affected.
    pub incarnation: u64,
    /// The watcher's name.
    pub by: Arc<str>,
}

#[derive(Debug)]
struct RingMember {
    weight: u64,
    name: Arc<str>,
    zone: usize,
    address: Arc<str>,
    is_watcher: bool,
}

/// A ring of all live daemons, which assigns watchers.
///
/// The watchers of a daemon are the next ones on the ring in other availability zones, and in its own zone only
/// if there are too few. Guards against a zone failure that stops a daemon together with its watchers.
#[derive(Debug, Default)]
pub struct WatchRing {
    members: Vec<RingMember>,
    /// The indices of those that watch.
    watchers: Vec<usize>,
    /// The number of watchers in each zone.
    watchers_by_zone: Vec<usize>,
}

impl WatchRing {
    /// Builds the ring in hash order, independent of the order of names and zones.
    pub fn of<'p, Members>(members: Members) -> Self
    where
        Members: Iterator<Item = &'p Presence>,
    {
        let mut ring = Self::default();
        let mut zones: Vec<&str> = Vec::new();
        for member in members {
            let zone = zones.iter().position(|zone| *zone == &*member.zone);
            let zone = zone.unwrap_or_else(|| {
                zones.push(&member.zone);
                ring.watchers_by_zone.push(0);
                zones.len() - 1
            });
            let is_watcher =
                member.state == PresenceState::Ready && !member.peer_address.is_empty();
            ring.watchers_by_zone[zone] += usize::from(is_watcher);
            ring.members.push(RingMember {
                weight: rendezvous_weight("watch", &member.name),
                name: member.name.clone(),
                zone,
                address: member.peer_address.clone(),
                is_watcher,
            });
        }
        ring.members
            .sort_by(|a, b| a.weight.cmp(&b.weight).then_with(|| a.name.cmp(&b.name)));
        let is_watcher = |index: &usize| ring.members[*index].is_watcher;
        ring.watchers = (0..ring.members.len()).filter(is_watcher).collect();
        ring
    }

    /// The addresses to which a daemon sends its heartbeats; empty if it is not on the ring.
    pub fn watchers_of(&self, name: &str) -> Vec<Arc<str>> {
        let Some(index) = self.members.iter().position(|member| &*member.name == name) else {
            return Vec::new();
        };
        let watchers = self.watchers_at(index).into_iter();
        watchers
            .map(|watcher| self.members[watcher].address.clone())
            .collect()
    }

    /// The daemons that a daemon watches, each with its rank among the watchers, starting at 0.
    pub fn watched_by(&self, name: &str) -> Vec<(Arc<str>, u64)> {
        let mut watched = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            let watchers = self.watchers_at(index);
            let rank = watchers
                .iter()
                .position(|watcher| &*self.members[*watcher].name == name);
            if let Some(rank) = rank {
                watched.push((member.name.clone(), rank as u64));
            }
        }
        watched
    }

    fn watchers_at(&self, index: usize) -> Vec<usize> {
        let own_zone = self.members[index].zone;
        let all: usize = self.watchers_by_zone.iter().sum();
        let in_other_zones = all - self.watchers_by_zone[own_zone];
        let mut same_zone_slots = WATCHERS_PER_DAEMON - in_other_zones.min(WATCHERS_PER_DAEMON);
        let mut slots_left = WATCHERS_PER_DAEMON;
        let mut watchers = Vec::with_capacity(WATCHERS_PER_DAEMON);
        let after = self.watchers.partition_point(|watcher| *watcher <= index);
        let (before, after) = self.watchers.split_at(after);
        let others = after.iter().chain(before).copied();
        for other in others.filter(|other| *other != index) {
            if self.members[other].zone == own_zone {
                if same_zone_slots == 0 {
                    continue;
                }
                same_zone_slots -= 1;
            }
            watchers.push(other);
            slots_left -= 1;
            if slots_left == 0 {
                break;
            }
        }
        watchers
    }
}

#[derive(Debug)]
struct Watched {
    rank: u64,
    /// When the daemon is suspected unless a heartbeat arrives before.
    due_ms: u64,
    is_suspected: bool,
}

/// The heartbeat deadlines of the daemons that one watcher watches.
#[derive(Debug, Default)]
pub struct WatchTable {
    watched: SortedMap<Arc<str>, Watched>,
    /// Backed-off timeouts of daemons that refuted a suspicion and have sent no heartbeat since.
    timeouts_ms: SortedMap<Arc<str>, u64>,
    last_check_ms: u64,
}

impl WatchTable {
    /// Replaces the set of watched daemons, each with this watcher's rank; known deadlines are kept.
    pub fn set_watched(&mut self, daemons: Vec<(Arc<str>, u64)>, now_ms: u64) {
        let is_watched = |name: &Arc<str>| daemons.iter().any(|(watched, _)| watched == name);
        self.watched.retain(|name, _| is_watched(name));
        for (name, rank) in daemons {
            let due_ms = now_ms + self.timeout_ms_of(&name) + rank * WATCHER_STAGGER_MS;
            let watched = self.watched.get_or_insert_with(name, || Watched {
                rank,
                due_ms,
                is_suspected: false,
            });
            watched.rank = rank;
        }
    }

    /// Processes a heartbeat that was received from a daemon.
    pub fn on_heartbeat(&mut self, name: &str, now_ms: u64) {
        self.timeouts_ms.remove(name);
        if let Some(watched) = self.watched.get_mut(name) {
            watched.due_ms = now_ms + HEARTBEAT_TIMEOUT_MS + watched.rank * WATCHER_STAGGER_MS;
            watched.is_suspected = false;
        }
    }

    /// Records that some watcher suspects a daemon, so that this one does not suspect it as well.
    pub fn on_suspicion(&mut self, name: &str) {
        if let Some(watched) = self.watched.get_mut(name) {
            watched.is_suspected = true;
        }
    }

    /// Processes a daemon's own record in the log, which refutes a suspicion.
    pub fn on_record(&mut self, name: &Arc<str>, now_ms: u64) {
        let timeout_ms = self.timeout_ms_of(name);
        let Some(watched) = self.watched.get_mut(name) else {
            return;
        };
        if std::mem::take(&mut watched.is_suspected) {
            watched.due_ms = now_ms + timeout_ms;
            let doubled_ms = (2 * timeout_ms).min(MAX_HEARTBEAT_TIMEOUT_MS);
            self.timeouts_ms.insert(name.clone(), doubled_ms);
        } else {
            watched.due_ms = watched.due_ms.max(now_ms + HEARTBEAT_TIMEOUT_MS);
        }
    }

    /// Returns the daemons whose deadline has passed and that nobody suspects yet, and marks them as suspected.
    ///
    /// Guards against a watcher that resumes after a pause and suspects all that it watches: the time of the
    /// pause is added to every deadline.
    pub fn take_silent(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        let elapsed_ms = now_ms.saturating_sub(self.last_check_ms);
        self.last_check_ms = now_ms;
        let stalled_ms = match elapsed_ms > HEARTBEAT_INTERVAL_MS + STALL_THRESHOLD_MS {
            true => elapsed_ms,
            false => 0,
        };
        let mut silent = Vec::new();
        for (name, watched) in self.watched.iter_mut() {
            watched.due_ms += stalled_ms;
            if now_ms >= watched.due_ms && !watched.is_suspected {
                watched.is_suspected = true;
                silent.push(name.clone());
            }
        }
        silent
    }

    /// Records that a suspicion could not be appended; it is due again after one heartbeat interval.
    pub fn on_suspicion_not_written(&mut self, name: &str, now_ms: u64) {
        if let Some(watched) = self.watched.get_mut(name) {
            watched.is_suspected = false;
            watched.due_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        }
    }

    /// Postpones all deadlines while this watcher cannot read the log.
    ///
    /// Guards against false suspicions at the end of an outage of the log: daemons that cannot reach it send no
    /// heartbeats, and they reach it again at different times.
    pub fn on_log_unreachable(&mut self, now_ms: u64) {
        self.last_check_ms = now_ms;
        for (_, watched) in self.watched.iter_mut() {
            watched.due_ms = watched.due_ms.max(now_ms + FIRST_HEARTBEAT_TIMEOUT_MS);
        }
    }

    fn timeout_ms_of(&self, name: &str) -> u64 {
        let timeout_ms = self.timeouts_ms.get(name).copied();
        timeout_ms.unwrap_or(FIRST_HEARTBEAT_TIMEOUT_MS)
    }
}
