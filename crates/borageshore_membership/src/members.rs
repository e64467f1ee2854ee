//! The membership list and failure detector of the gossip protocol.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::entry::{GossipMessage, Heartbeat, MemberEntry, MemberState};

/// The interval between two rounds of gossip, which carry the heartbeats.
pub const GOSSIP_INTERVAL_MS: u64 = 1_000;
/// A daemon of this zone is suspected, and gets no new work, this long after its last heartbeat.
const SUSPECT_AFTER_MS: u64 = 4_000;
/// A daemon of this zone counts as dead this long after its last heartbeat.
const DEAD_AFTER_MS: u64 = 10_000;
/// A longer gap between two ticks means that this process was paused.
const PAUSE_THRESHOLD_MS: u64 = 3 * GOSSIP_INTERVAL_MS;
/// How long a dead daemon is kept in the list, so that old gossip does not revive it.
const DEAD_RETENTION_MS: u64 = 120_000;
/// The minimum number of entries of other zones that a daemon receives in one tick; see `gossip`.
const REMOTE_ENTRIES_PER_TICK: u64 = 16;
/// How many refreshes of an entry of another zone may be missed before its timeouts start.
const MAX_MISSED_REMOTE_REFRESHES: u64 = 6;
/// In how many messages a change is sent with priority.
pub(crate) const CHANGE_TRANSMISSIONS: u32 = 8;

/// The state of a daemon according to the local failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heartbeats arrive in time.
    Alive,
    /// Heartbeats are late; the daemon gets no new work and keeps what it has.
    Suspect,
    /// Heartbeats stopped for too long, or the daemon was declared dead.
    Dead,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) entry: MemberEntry,
    pub(crate) advanced_at_ms: u64,
    pub(crate) transmissions_left: u32,
}

/// All daemons known to this one.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: MemberEntry,
    pub(crate) seeds: Vec<Arc<str>>,
    pub(crate) members: SortedMap<Arc<str>, Member>,
    pub(crate) rotation: usize,
    last_tick_ms: u64,
}

impl Membership {
    /// Creates a membership of this daemon alone; `seeds` are gossip addresses of other daemons.
    pub fn open(own: MemberEntry, seeds: Vec<Arc<str>>, now_ms: u64) -> Self {
        Self {
            own,
            seeds,
            members: SortedMap::default(),
            rotation: 0,
            last_tick_ms: now_ms,
        }
    }

    /// This daemon's own entry.
    pub fn own(&self) -> &MemberEntry {
        &self.own
    }

    /// Announces that this daemon accepts callers.
    ///
    /// Guards against callers that are sent to a daemon without settings: a starting daemon is
    /// [`MemberState::Leaving`], which is not listed, until this call.
    pub fn enter(&mut self) {
        self.own.state = MemberState::Live;
        self.own.counter += 1;
    }

    /// Announces that this daemon is leaving.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.counter += 1;
    }

    /// Announces that this daemon has stopped.
    pub fn stop(&mut self) {
        self.own.state = MemberState::Dead;
        self.own.counter += 1;
    }

    /// Advances the time to `now_ms`, counts a heartbeat of this daemon and declares silent daemons dead.
    ///
    /// Guards against declaring others dead after a pause of this process (SIGSTOP, a stalled VM): the
    /// length of the gap between two ticks is added to all deadlines.
    pub fn advance(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        self.own.counter += 1;
        if gap_ms > PAUSE_THRESHOLD_MS {
            for (_, member) in self.members.iter_mut() {
                member.advanced_at_ms += gap_ms;
            }
        }
        self.declare_dead(now_ms);
        self.members.retain(|_, member| {
            member.entry.state != MemberState::Dead
                || now_ms < member.advanced_at_ms + DEAD_RETENTION_MS
        });
    }

    /// Declares silent daemons of this zone dead, which gossip spreads to all daemons.
    ///
    /// Guards against an isolated observer: if more than half of the zone is silent, the fault is more likely this
    /// daemon's own, so nothing is declared. `health` still reports them as dead.
    fn declare_dead(&mut self, now_ms: u64) {
        let zone = self.own.zone.clone();
        let in_zone =
            |member: &&Member| member.entry.zone == zone && member.entry.state != MemberState::Dead;
        let zone_size = self.members.values().filter(in_zone).count();
        let silent: Vec<Arc<str>> = self
            .members
            .values()
            .filter(in_zone)
            .filter(|member| now_ms >= member.advanced_at_ms + DEAD_AFTER_MS)
            .map(|member| member.entry.name.clone())
            .collect();
        if silent.len() * 2 > zone_size && zone_size > 2 {
            return;
        }
        for name in silent {
            let member = self.members.get_mut(&name).expect("listed just now");
            member.entry.state = MemberState::Dead;
            member.advanced_at_ms = now_ms;
            member.transmissions_left = CHANGE_TRANSMISSIONS;
        }
    }

    /// Processes a received entry; entries that are not newer than the known one are ignored.
    pub fn on_entry(&mut self, entry: MemberEntry, now_ms: u64) {
        if entry.name == self.own.name {
            self.refute(&entry);
            return;
        }
        let Some(member) = self.members.get_mut(&entry.name) else {
            if entry.state != MemberState::Dead {
                let member = Member {
                    advanced_at_ms: now_ms,
                    transmissions_left: CHANGE_TRANSMISSIONS,
                    entry,
                };
                self.members.insert(member.entry.name.clone(), member);
            }
            return;
        };
        if !entry.supersedes(&member.entry) {
            return;
        }
        let changed =
            entry.incarnation != member.entry.incarnation || entry.state != member.entry.state;
        if changed {
            member.transmissions_left = CHANGE_TRANSMISSIONS;
        }
        member.advanced_at_ms = now_ms;
        member.entry = entry;
    }

    /// Processes a heartbeat. Those of unknown daemons or incarnations are ignored, as a full entry is
    /// sent with every change and a starting daemon fetches all entries from a peer.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let Some(member) = self.members.get_mut(&heartbeat.name) else {
            return;
        };
        let is_same_incarnation = heartbeat.incarnation == member.entry.incarnation;
        if !is_same_incarnation || heartbeat.counter <= member.entry.counter {
            return;
        }
        member.entry.counter = heartbeat.counter;
        member.advanced_at_ms = now_ms;
        if member.entry.state == MemberState::Dead {
            member.entry.state = MemberState::Live;
            member.transmissions_left = CHANGE_TRANSMISSIONS;
        }
    }

    /// Processes a received message.
    pub fn on_message(&mut self, message: GossipMessage, now_ms: u64) {
        for entry in message.entries {
            self.on_entry(entry, now_ms);
        }
        for heartbeat in &message.heartbeats {
            self.on_heartbeat(heartbeat, now_ms);
        }
    }

    /// Refutes a newer entry about this daemon, such as one that declares it dead, by raising the counter above it.
    fn refute(&mut self, received: &MemberEntry) {
        if received.incarnation == self.own.incarnation && received.supersedes(&self.own) {
            self.own.counter = received.counter + 1;
        }
    }

    /// The health of a daemon; `Dead` if it is unknown.
    pub fn health(&self, name: &str, now_ms: u64) -> Health {
        if name == &*self.own.name {
            return Health::Alive;
        }
        self.members
            .get(name)
            .map_or(Health::Dead, |member| self.health_of(member, now_ms))
    }

    pub(crate) fn health_of(&self, member: &Member, now_ms: u64) -> Health {
        if member.entry.state == MemberState::Dead {
            return Health::Dead;
        }
        let silent_ms = now_ms.saturating_sub(member.advanced_at_ms);
        let slack_ms = self.remote_slack_ms(member);
        if silent_ms >= DEAD_AFTER_MS + slack_ms {
            return Health::Dead;
        }
        if silent_ms >= SUSPECT_AFTER_MS + slack_ms {
            Health::Suspect
        } else {
            Health::Alive
        }
    }

    /// The extra time allowed for heartbeats of other zones, which arrive less often the more daemons there are.
    fn remote_slack_ms(&self, member: &Member) -> u64 {
        if member.entry.zone == self.own.zone {
            return 0;
        }
        let refresh_ms = self.members.len() as u64 * GOSSIP_INTERVAL_MS / REMOTE_ENTRIES_PER_TICK;
        refresh_ms * MAX_MISSED_REMOTE_REFRESHES
    }

    /// The entry of a daemon, this one included.
    pub fn entry(&self, name: &str) -> Option<&MemberEntry> {
        if name == &*self.own.name {
            return Some(&self.own);
        }
        self.members.get(name).map(|member| &member.entry)
    }

    /// All daemons that are not dead, this one first.
    pub fn entries(&self, now_ms: u64) -> impl Iterator<Item = (&MemberEntry, Health)> {
        let others = self
            .members
            .values()
            .map(move |m| (&m.entry, self.health_of(m, now_ms)));
        let own = std::iter::once((&self.own, Health::Alive));
        own.chain(others.filter(|(_, health)| *health != Health::Dead))
    }

    /// The daemons that may get new work, including this one if it is live.
    pub fn usable(&self, now_ms: u64) -> impl Iterator<Item = &MemberEntry> {
        self.entries(now_ms)
            .filter(|(entry, health)| *health == Health::Alive && entry.state == MemberState::Live)
            .map(|(entry, _)| entry)
    }

    /// The usable daemons of one availability zone.
    pub fn usable_in_zone<'m>(
        &'m self,
        zone: &'m str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'m MemberEntry> {
        self.usable(now_ms)
            .filter(move |entry| &*entry.zone == zone)
    }

    /// The time of the last tick.
    pub fn now_ms(&self) -> u64 {
        self.last_tick_ms
    }
}
