//! Conversions between wire structures and the membership types.

use borageshore_membership::{GossipMessage, Heartbeat, MemberEntry, MemberState};

use crate::generated::{WireGossip, WireHeartbeat, WireMember, WireMemberState};

/// Converts a gossip message to its wire form.
pub fn gossip_to_wire(message: &GossipMessage) -> WireGossip {
    let heartbeat = |heartbeat: &Heartbeat| WireHeartbeat {
        name: heartbeat.name.to_string(),
        incarnation: heartbeat.incarnation as i64,
        counter: heartbeat.counter as i64,
    };
    WireGossip {
        members: message.entries.iter().map(member_to_wire).collect(),
        heartbeats: message.heartbeats.iter().map(heartbeat).collect(),
    }
}

/// Converts a gossip message from its wire form; omits entries in a state that this release does not know.
pub fn gossip_from_wire(gossip: WireGossip) -> GossipMessage {
    let heartbeat = |heartbeat: WireHeartbeat| Heartbeat {
        name: heartbeat.name.into(),
        incarnation: heartbeat.incarnation as u64,
        counter: heartbeat.counter as u64,
    };
    GossipMessage {
        entries: gossip
            .members
            .into_iter()
            .filter_map(member_from_wire)
            .collect(),
        heartbeats: gossip.heartbeats.into_iter().map(heartbeat).collect(),
    }
}

/// Converts a member entry to its wire form.
pub fn member_to_wire(entry: &MemberEntry) -> WireMember {
    let state = match entry.state {
        MemberState::Live => WireMemberState::LIVE,
        MemberState::Leaving => WireMemberState::LEAVING,
        MemberState::Dead => WireMemberState::DEAD,
    };
    WireMember {
        name: entry.name.to_string(),
        incarnation: entry.incarnation as i64,
        counter: entry.counter as i64,
        zone: entry.zone.to_string(),
        http_address: entry.http_address.to_string(),
        peer_address: entry.peer_address.to_string(),
        gossip_address: entry.gossip_address.to_string(),
        state,
    }
}

/// Converts a member entry from its wire form; `None` in a state that this release does not know.
pub fn member_from_wire(member: WireMember) -> Option<MemberEntry> {
    let state = match member.state {
        WireMemberState::LIVE => MemberState::Live,
        WireMemberState::LEAVING => MemberState::Leaving,
        WireMemberState::DEAD => MemberState::Dead,
        _ => return None,
    };
    Some(MemberEntry {
        name: member.name.into(),
        incarnation: member.incarnation as u64,
        counter: member.counter as u64,
        zone: member.zone.into(),
        http_address: member.http_address.into(),
        peer_address: member.peer_address.into(),
        gossip_address: member.gossip_address.into(),
        state,
    })
}
