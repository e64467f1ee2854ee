//! What daemons tell of each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a daemon says of itself, or its zone of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Serves and takes new work.
    Live,
    /// Takes no new callers: it serves what it has and goes, or it has just started.
    Leaving,
    /// Stopped, or silent for longer than the detector allows.
    Dead,
}

/// One daemon as gossip carries it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Rises with each start of the process.
    pub incarnation: u64,
    /// Rises with each heartbeat of the incarnation.
    pub counter: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub http_address: Arc<str>,
    /// Where peers connect.
    pub peer_address: Arc<str>,
    /// Where gossip arrives.
    pub gossip_address: Arc<str>,
    /// The state.
    pub state: MemberState,
}

impl MemberEntry {
    /// Says whether this entry tells something newer than `other` of the same daemon.
    pub fn supersedes(&self, other: &MemberEntry) -> bool {
        let rank = |entry: &MemberEntry| (entry.incarnation, entry.counter, entry.state);
        rank(self) > rank(other)
    }
}

/// A sign of life of a daemon that the receiver knows already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its counter.
    pub counter: u64,
}

/// What one datagram carries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GossipMessage {
    /// Whole entries: the sender's own, news, and a few others in turn.
    pub entries: Vec<MemberEntry>,
    /// Signs of life, a third of an entry's size.
    pub heartbeats: Vec<Heartbeat>,
}
