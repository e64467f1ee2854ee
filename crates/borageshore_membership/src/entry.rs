//! The entries and messages of the gossip protocol.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The state of a daemon, as announced by itself or declared by another daemon of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Serves and accepts new work.
    Live,
    /// Accepts no new callers, because it is draining or has just started.
    Leaving,
    /// Stopped, or declared dead by the failure detector.
    Dead,
}

/// The full entry of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Increases with each heartbeat of the incarnation.
    pub counter: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address for callers.
    pub http_address: Arc<str>,
    /// The address for peers.
    pub peer_address: Arc<str>,
    /// The address for gossip datagrams.
    pub gossip_address: Arc<str>,
    /// The announced or declared state.
    pub state: MemberState,
}

impl MemberEntry {
    /// Whether this entry is newer than `other` of the same daemon.
    pub fn supersedes(&self, other: &MemberEntry) -> bool {
        let rank = |entry: &MemberEntry| (entry.incarnation, entry.counter, entry.state);
        rank(self) > rank(other)
    }
}

/// A compact update for a daemon whose full entry the receiver already has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The daemon's name.
    pub name: Arc<str>,
    /// The incarnation that the heartbeat belongs to.
    pub incarnation: u64,
    /// The heartbeat counter of the incarnation.
    pub counter: u64,
}

/// The content of one datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipMessage {
    /// Full entries: the sender's own, recent changes, and a few others in rotation.
    pub entries: Vec<MemberEntry>,
    /// Heartbeats, each about a third of the size of an entry.
    pub heartbeats: Vec<Heartbeat>,
}
