//! The failure detector.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::entry::{GossipMessage, Heartbeat, MemberEntry, MemberState};

/// The time between two heartbeats.
pub const TICK_MS: u64 = 1_000;
/// Silence after which a daemon of the own zone gets no new work.
const SUSPECT_MS: u64 = 4_000;
/// Silence after which a daemon of the own zone counts as dead.
const DEAD_MS: u64 = 10_000;
/// A tick later than this means that this process itself was paused.
const PAUSE_THRESHOLD_MS: u64 = 3 * TICK_MS;
/// How long a dead daemon is remembered, so that old gossip does not revive it.
const DEAD_RETENTION_MS: u64 = 120_000;
/// Entries of other zones that a daemon hears in one tick at the least; see `gossip`.
const REMOTE_ENTRIES_PER_TICK: u64 = 16;
/// How many refreshes of a remote entry may be missed before it counts as silent.
const MAX_MISSED_REMOTE_REFRESHES: u64 = 6;
/// In how many messages a change is repeated first of all.
pub(crate) const CHANGE_TRANSMISSIONS: u32 = 8;

/// How the local detector sees a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heard of lately.
    Alive,
    /// Silent for a while; gets no new work, keeps what it has.
    Suspect,
    /// Silent for too long, or said to be dead.
    Dead,
}

#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) entry: MemberEntry,
    pub(crate) advanced_at_ms: u64,
    pub(crate) transmissions_left: u32,
}

/// All daemons as this one sees them.
#[derive(Debug)]
pub struct Membership {
    pub(crate) own: MemberEntry,
    pub(crate) seeds: Vec<Arc<str>>,
    pub(crate) members: SortedMap<Arc<str>, Member>,
    pub(crate) rotation: usize,
    last_tick_ms: u64,
}

impl Membership {
    /// Opens a membership that knows this daemon and the gossip addresses of some others.
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

    /// Announces that this daemon takes callers from now on.
    ///
    /// Guards against callers sent to a daemon that has just started and has no settings yet: it opens
    /// its membership as [`MemberState::Leaving`], so nobody lists it before this.
    pub fn enter(&mut self) {
        self.own.state = MemberState::Live;
        self.own.counter += 1;
    }

    /// Announces that this daemon leaves.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.counter += 1;
    }

    /// Announces that this daemon has stopped.
    pub fn stop(&mut self) {
        self.own.state = MemberState::Dead;
        self.own.counter += 1;
    }

    /// Advances time: counts the own heartbeat and gives up on the silent.
    ///
    /// Guards against blaming others for an own pause (SIGSTOP, a stalled VM): the gap shows as a late
    /// tick, and every deadline moves by it, so others get a full period to be heard again.
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

    /// Marks silent daemons of the own zone as dead for everybody.
    ///
    /// Guards against a cut-off observer: when more than half of the zone looks silent at once, the
    /// fault is more likely here, so the verdict is kept local (`health` still avoids them).
    fn declare_dead(&mut self, now_ms: u64) {
        let zone = self.own.zone.clone();
        let in_zone =
            |member: &&Member| member.entry.zone == zone && member.entry.state != MemberState::Dead;
        let zone_size = self.members.values().filter(in_zone).count();
        let silent: Vec<Arc<str>> = self
            .members
            .values()
            .filter(in_zone)
            .filter(|member| now_ms >= member.advanced_at_ms + DEAD_MS)
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

    /// Takes in one entry; says nothing of entries that are no news.
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

    /// Takes in a sign of life. One of an unknown daemon or incarnation is passed over: the whole
    /// entry comes as news, and a daemon that starts asks a peer for all entries.
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

    /// Takes in a datagram.
    pub fn on_message(&mut self, message: GossipMessage, now_ms: u64) {
        for entry in message.entries {
            self.on_entry(entry, now_ms);
        }
        for heartbeat in &message.heartbeats {
            self.on_heartbeat(heartbeat, now_ms);
        }
    }

    /// Outbids a rumour about this daemon: a verdict of death, or a counter of an earlier life.
    fn refute(&mut self, received: &MemberEntry) {
        if received.incarnation == self.own.incarnation && received.supersedes(&self.own) {
            self.own.counter = received.counter + 1;
        }
    }

    /// How the detector sees a daemon; `Dead` for one it has never heard of.
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
        if silent_ms >= DEAD_MS + slack_ms {
            return Health::Dead;
        }
        if silent_ms >= SUSPECT_MS + slack_ms {
            Health::Suspect
        } else {
            Health::Alive
        }
    }

    /// Heartbeats of other zones come around less often the more daemons there are.
    fn remote_slack_ms(&self, member: &Member) -> u64 {
        if member.entry.zone == self.own.zone {
            return 0;
        }
        let refresh_ms = self.members.len() as u64 * TICK_MS / REMOTE_ENTRIES_PER_TICK;
        refresh_ms * MAX_MISSED_REMOTE_REFRESHES
    }

    /// The entry of a daemon, this one included.
    pub fn entry(&self, name: &str) -> Option<&MemberEntry> {
        if name == &*self.own.name {
            return Some(&self.own);
        }
        self.members.get(name).map(|member| &member.entry)
    }

    /// All known daemons that are not dead, this one first.
    pub fn entries(&self, now_ms: u64) -> impl Iterator<Item = (&MemberEntry, Health)> {
        let others = self
            .members
            .values()
            .map(move |m| (&m.entry, self.health_of(m, now_ms)));
        let own = std::iter::once((&self.own, Health::Alive));
        own.chain(others.filter(|(_, health)| *health != Health::Dead))
    }

    /// The daemons that may be given new work, this one included unless it leaves.
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
