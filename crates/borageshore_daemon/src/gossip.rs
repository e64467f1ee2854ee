//! Membership gossip over UDP, authenticated with the peers' shared token.

use std::{io, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_membership::{GOSSIP_INTERVAL_MS, GossipMessage};
use borageshore_net::{ReceivePace, sleep_ms};
use borageshore_wire::{
    MembersReply, MembersRequest, PeerReply, PeerRequest, WireGossip, decode, encode,
    gossip_from_wire, gossip_to_wire, member_from_wire, member_to_wire,
};
use monoio::net::udp::UdpSocket;

use crate::{daemon::Daemon, metrics::Direction};

/// Receive buffer size, which limits the length of a datagram.
const DATAGRAM_BYTES: usize = 8 * 1024;
/// Length of the truncated keyed hash that precedes the payload of each datagram.
const TAG_BYTES: usize = 16;
const MEMBERS_TIMEOUT_MS: u64 = 2_000;
const KEY_CONTEXT: &str = "borageshore gossip datagrams v1";

/// Binds the gossip socket and starts the send and receive loops.
pub(crate) fn bind(daemon: &Rc<Daemon>) -> io::Result<Rc<UdpSocket>> {
    let socket = Rc::new(UdpSocket::bind(&*daemon.config.gossip_address)?);
    let key = blake3::derive_key(KEY_CONTEXT, daemon.config.peer_token.as_bytes());
    monoio::spawn(receive_loop(daemon.clone(), socket.clone(), key));
    monoio::spawn(send_loop(daemon.clone(), socket.clone(), key));
    Ok(socket)
}

async fn send_loop(daemon: Rc<Daemon>, socket: Rc<UdpSocket>, key: [u8; 32]) {
    loop {
        let now_ms = daemon.now_ms();
        let seed = daemon.random_below(u64::MAX);
        let messages = {
            let mut membership = daemon.membership.borrow_mut();
            membership.advance(now_ms);
            membership.gossip(seed, now_ms)
        };
        send_all(&daemon, &socket, &key, messages).await;
        sleep_ms(GOSSIP_INTERVAL_MS).await;
    }
}

/// Sends a change of this daemon's own state immediately instead of at the next tick.
pub(crate) async fn announce(daemon: &Rc<Daemon>, socket: &Rc<UdpSocket>) {
    let key = blake3::derive_key(KEY_CONTEXT, daemon.config.peer_token.as_bytes());
    let messages = daemon.membership.borrow().final_messages(daemon.now_ms());
    send_all(daemon, socket, &key, messages).await;
}

async fn send_all(
    daemon: &Daemon,
    socket: &UdpSocket,
    key: &[u8; 32],
    messages: Vec<(Arc<str>, GossipMessage)>,
) {
    for (address, message) in messages {
        let Ok(target) = address.parse::<SocketAddr>() else {
            continue;
        };
        let Ok(payload) = encode(&gossip_to_wire(&message)) else {
            continue;
        };
        let mut datagram = tag(key, &payload).to_vec();
        datagram.extend_from_slice(&payload);
        daemon
            .metrics
            .on_control_bytes("gossip", Direction::Sent, datagram.len());
        let _ = socket.send_to(datagram, target).await;
    }
}

async fn receive_loop(daemon: Rc<Daemon>, socket: Rc<UdpSocket>, key: [u8; 32]) {
    let mut buffer = vec![0_u8; DATAGRAM_BYTES];
    let mut pace = ReceivePace::default();
    loop {
        pace.on_message().await;
        let (received, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        let Ok((length, _)) = received else {
            sleep_ms(10).await;
            continue;
        };
        daemon
            .metrics
            .on_control_bytes("gossip", Direction::Received, length);
        on_datagram(&daemon, &key, &buffer[..length]);
    }
}

/// Handles a datagram; drops it unless its keyed hash is valid.
///
/// Guards against forged gossip that declares daemons dead or redirects callers.
fn on_datagram(daemon: &Rc<Daemon>, key: &[u8; 32], datagram: &[u8]) {
    let Some((offered, payload)) = datagram.split_at_checked(TAG_BYTES) else {
        return;
    };
    let expected = tag(key, payload);
    if !bool::from(subtle::ConstantTimeEq::ct_eq(offered, &expected[..])) {
        return;
    }
    let Ok(gossip) = decode::<WireGossip>(payload) else {
        return;
    };
    let message = gossip_from_wire(gossip);
    let sender = message
        .entries
        .first()
        .map(|entry| entry.peer_address.clone());
    let now_ms = daemon.now_ms();
    daemon.membership.borrow_mut().on_message(message, now_ms);
    if let Some(sender) = sender
        && daemon.member_sync.replace(MemberSync::Started) == MemberSync::Pending
    {
        monoio::spawn(sync_members(daemon.clone(), sender));
    }
}

/// Whether the full member list was requested from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberSync {
    Pending,
    Started,
}

/// Requests all members from the first peer that sent gossip, since datagrams carry only a few each.
/// A failed request is repeated with the sender of the next datagram.
async fn sync_members(daemon: Rc<Daemon>, address: Arc<str>) {
    let request = PeerRequest::Members(MembersRequest::new());
    match daemon
        .peers
        .call(&address, &request, MEMBERS_TIMEOUT_MS)
        .await
    {
        Ok(PeerReply::Members(reply)) => {
            let now_ms = daemon.now_ms();
            let mut membership = daemon.membership.borrow_mut();
            for entry in reply.members.into_iter().filter_map(member_from_wire) {
                membership.on_entry(entry, now_ms);
            }
        }
        _ => daemon.member_sync.set(MemberSync::Pending),
    }
}

/// Answers a peer's request for all members.
pub(crate) fn on_peer_members(daemon: &Daemon) -> MembersReply {
    let membership = daemon.membership.borrow();
    let entries = membership.entries(daemon.now_ms());
    MembersReply::new(
        entries
            .map(|(entry, _)| member_to_wire(entry))
            .collect::<Vec<_>>(),
    )
}

fn tag(key: &[u8; 32], payload: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, payload);
    let mut tag = [0_u8; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}
