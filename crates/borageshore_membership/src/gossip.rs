//! Selection of the gossip targets and messages of a tick.

use std::sync::Arc;

use crate::{
    entry::{GossipMessage, Heartbeat, MemberEntry, MemberState},
    members::{Health, Member, Membership},
};

/// How many peers of this zone get a message in a tick.
const ZONE_FANOUT: usize = 2;
/// How many peers of other zones get a message in a tick.
const REMOTE_FANOUT: usize = 1;
/// The maximum number of full entries in a message before the rotating ones, including the sender's own.
const ENTRIES_PER_MESSAGE: usize = 12;
/// The number of full entries sent in rotation, which makes up for changes whose messages were all lost.
const ROTATING_ENTRIES: usize = 1;
/// The maximum number of heartbeats in a message.
const HEARTBEATS_PER_MESSAGE: usize = 16;
/// How many of the heartbeats are reserved for the sender's zone.
const ZONE_HEARTBEATS_PER_MESSAGE: usize = 8;

impl Membership {
    /// Returns the messages of this tick by target address; `seed` randomises the choice of peers.
    pub fn gossip(&mut self, seed: u64, now_ms: u64) -> Vec<(Arc<str>, GossipMessage)> {
        let targets = self.targets(seed, now_ms);
        let messages = targets.into_iter().map(|target| (target, self.compose()));
        messages.collect()
    }

    /// Returns messages with this daemon's own entry to all peers of its zone, for a daemon that stops.
    pub fn final_messages(&self, now_ms: u64) -> Vec<(Arc<str>, GossipMessage)> {
        let zone = &self.own.zone;
        let peers = self
            .entries(now_ms)
            .skip(1)
            .filter(|(entry, _)| entry.zone == *zone);
        let message = GossipMessage {
            entries: vec![self.own.clone()],
            heartbeats: Vec::new(),
        };
        peers
            .map(|(entry, _)| (entry.gossip_address.clone(), message.clone()))
            .collect()
    }

    fn targets(&self, seed: u64, now_ms: u64) -> Vec<Arc<str>> {
        let own_zone = &self.own.zone;
        let reachable = |member: &&Member| self.health_of(member, now_ms) != Health::Dead;
        let (same_zone, other_zones): (Vec<&Member>, Vec<&Member>) = self
            .members
            .values()
            .filter(reachable)
            .partition(|member| member.entry.zone == *own_zone);
        let mut targets = choose_addresses(&same_zone, ZONE_FANOUT, seed);
        targets.extend(choose_addresses(
            &other_zones,
            REMOTE_FANOUT,
            seed.rotate_left(32),
        ));
        // Contacting seeds lets a restarted or isolated daemon find the others again.
        if let Some(address) = choose_seed(&self.seeds, seed)
            && (targets.is_empty() || seed.is_multiple_of(8))
            && *address != self.own.gossip_address
        {
            targets.push(address.clone());
        }
        targets
    }

    fn compose(&mut self) -> GossipMessage {
        let mut message = GossipMessage {
            entries: vec![self.own.clone()],
            heartbeats: Vec::new(),
        };
        for (_, member) in self.members.iter_mut() {
            if member.transmissions_left > 0 && message.entries.len() < ENTRIES_PER_MESSAGE {
                member.transmissions_left -= 1;
                message.entries.push(member.entry.clone());
            }
        }
        let rotating = self
            .rotated_members()
            .map(|member| member.entry.clone())
            .take(ROTATING_ENTRIES);
        message.entries.extend(rotating);
        let zone = self.own.zone.clone();
        self.add_heartbeats(&mut message, ZONE_HEARTBEATS_PER_MESSAGE, |entry| {
            entry.zone == zone
        });
        self.add_heartbeats(&mut message, HEARTBEATS_PER_MESSAGE, |_| true);
        self.rotation = self
            .rotation
            .wrapping_add(HEARTBEATS_PER_MESSAGE - ROTATING_ENTRIES);
        message
    }

    /// All members, starting at a position that advances with each message.
    fn rotated_members(&self) -> impl Iterator<Item = &Member> {
        let count = self.members.len();
        let start = if count == 0 { 0 } else { self.rotation % count };
        self.members
            .values()
            .skip(start)
            .chain(self.members.values().take(start))
    }

    /// Adds heartbeats of `wanted` members until the message holds `limit` of them.
    fn add_heartbeats<Wanted>(&self, message: &mut GossipMessage, limit: usize, wanted: Wanted)
    where
        Wanted: Fn(&MemberEntry) -> bool,
    {
        for member in self.rotated_members() {
            if message.heartbeats.len() >= limit {
                return;
            }
            let entry = &member.entry;
            let is_listed = message
                .heartbeats
                .iter()
                .any(|listed| listed.name == entry.name);
            if !is_listed && entry.state != MemberState::Dead && wanted(entry) {
                message.heartbeats.push(Heartbeat {
                    name: entry.name.clone(),
                    incarnation: entry.incarnation,
                    counter: entry.counter,
                });
            }
        }
    }
}

fn choose_addresses(members: &[&Member], count: usize, seed: u64) -> Vec<Arc<str>> {
    if members.is_empty() {
        return Vec::new();
    }
    let start = seed as usize % members.len();
    let chosen = (0..count.min(members.len())).map(|step| members[(start + step) % members.len()]);
    chosen
        .map(|member| member.entry.gossip_address.clone())
        .collect()
}

fn choose_seed(seeds: &[Arc<str>], seed: u64) -> Option<&Arc<str>> {
    if seeds.is_empty() {
        None
    } else {
        seeds.get((seed >> 16) as usize % seeds.len())
    }
}
