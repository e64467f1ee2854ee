//! Failure detection: each daemon is watched by a few others, whatever the number of all.
//!
//! A daemon sends a heartbeat to its watchers, which it finds on a ring of all daemons that live. A
//! watcher that hears nothing writes a [`Suspicion`] to the log that all read; the suspected daemon, if it
//! lives, writes its own record again, which clears it. What a daemon sends and what it reads so do not grow
//! with the number of daemons, and neither does the time until a death shows.

use std::sync::Arc;

use borageshore_base::{SortedMap, rendezvous_weight};
use serde::{Deserialize, Serialize};

use crate::presence::{Presence, PresenceState};

/// The pause between two heartbeats. Each costs three datagrams of some 70 bytes, 1 KB a second.
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// How many daemons watch one. With its availability zone a daemon loses none of them, and of three two
/// may die at the same moment without a later notice.
const WATCHERS_PER_DAEMON: usize = 3;
/// A watched daemon is suspected after this silence: three heartbeats may be lost, as datagrams are now and then.
const HEARTBEAT_TIMEOUT_MS: u64 = 700;
/// The second and third watcher wait so much longer each, so that one suspicion is written and not three: the
/// first one's is read within 60 ms.
const WATCHER_STAGGER_MS: u64 = 80;
/// How long a new watcher waits for the first heartbeat: the watched daemon may read of it a second later, while
/// both start.
const FIRST_HEARTBEAT_TIMEOUT_MS: u64 = 2_000;
/// A suspicion that was refuted though no heartbeat came doubles the patience up to this: where datagrams do not
/// pass, a daemon that lives is suspected twice a minute and not each second.
const MAX_HEARTBEAT_TIMEOUT_MS: u64 = 30_000;
/// Looks that are farther apart than the pause of a heartbeat and this had a pause of the watcher between them, or of
/// its VM. Heartbeats that came meanwhile wait in its socket.
const STALL_THRESHOLD_MS: u64 = 200;

/// A daemon that got no answer of the log for so long sends no heartbeats: it cannot keep what it makes, and its
/// work is better off with one that can. Ways through peers are tried within 0.6 s, a slow log answers in 0.3.
pub const HEARTBEAT_LOG_TIMEOUT_MS: u64 = 3_000;
/// A watcher that got no answer of the log for so long suspects nobody: its reads are answered every 1.2 s.
pub const WATCHER_LOG_TIMEOUT_MS: u64 = 1_500;

/// What a watcher writes of a daemon that has gone silent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The daemon.
    pub name: Arc<str>,
    /// The life that went silent; a later one is not meant.
    pub incarnation: u64,
    /// The watcher.
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

/// The daemons that live, on a ring.
///
/// The watchers of a daemon are those that follow it, of other availability zones first: a zone that loses
/// its power, or its links, takes none of the watchers of its daemons along.
#[derive(Debug, Default)]
pub struct WatchRing {
    members: Vec<RingMember>,
    /// The number of watchers in each zone.
    watchers_by_zone: Vec<usize>,
}

impl WatchRing {
    /// Puts daemons on a ring, in an order that has nothing to do with their names or zones.
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
        ring
    }

    /// Where the watchers of a daemon are reached.
    pub fn watchers_of(&self, name: &str) -> Vec<Arc<str>> {
        let Some(index) = self.members.iter().position(|member| &*member.name == name) else {
            return Vec::new();
        };
        let watchers = self.watchers_at(index).into_iter();
        watchers
            .map(|watcher| self.members[watcher].address.clone())
            .collect()
    }

    /// The daemons that a daemon watches, each with the number of watchers before it.
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
        let others = (index + 1..self.members.len()).chain(0..index);
        for other in others.filter(|other| self.members[*other].is_watcher) {
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
    /// Silence until then is suspicious.
    due_ms: u64,
    is_suspected: bool,
}

/// What a watcher knows of the daemons that it watches.
#[derive(Debug, Default)]
pub struct WatchTable {
    watched: SortedMap<Arc<str>, Watched>,
    /// How long a heartbeat is waited for after a suspicion that was refuted, for daemons of which none came since.
    timeouts_ms: SortedMap<Arc<str>, u64>,
    last_check_ms: u64,
}

impl WatchTable {
    /// Takes over which daemons are to be watched, each with the number of watchers before this one.
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

    /// Takes over a heartbeat that came from a daemon itself.
    pub fn on_heartbeat(&mut self, name: &str, now_ms: u64) {
        self.timeouts_ms.remove(name);
        if let Some(watched) = self.watched.get_mut(name) {
            watched.due_ms = now_ms + HEARTBEAT_TIMEOUT_MS + watched.rank * WATCHER_STAGGER_MS;
            watched.is_suspected = false;
        }
    }

    /// Notes that a watcher suspects a daemon: once is enough.
    pub fn on_suspicion(&mut self, name: &str) {
        if let Some(watched) = self.watched.get_mut(name) {
            watched.is_suspected = true;
        }
    }

    /// Takes over a daemon's own record in the log, with which it refutes a suspicion.
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

    /// The daemons that have gone silent and that nobody suspects yet; from now on this watcher does.
    ///
    /// Guards against a watcher that stood still itself: it would suspect all that it watches when it goes
    /// on. The time for which it did not look counts for nobody.
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

    /// Notes that a suspicion could not be written: it is due again after the pause of a heartbeat.
    pub fn on_suspicion_not_written(&mut self, name: &str, now_ms: u64) {
        if let Some(watched) = self.watched.get_mut(name) {
            watched.is_suspected = false;
            watched.due_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        }
    }

    /// Notes that this watcher does not read the log: it cannot see who refutes, and whoever does not reach the
    /// log either sends no heartbeats.
    ///
    /// Guards the end of an outage: daemons reach the log again within two seconds of each other, and the
    /// first ones would suspect the rest.
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
