//! The address list for callers, with the prefix for their request keys.

use std::{rc::Rc, sync::Arc};

use borageshore_wire::{AddressReply, AddressRequest, PeerReply, PeerRequest};
use serde::Serialize;

use crate::daemon::{Daemon, Phase};

/// How long a draining daemon waits for a peer's address list.
const PEER_TIMEOUT_MS: u64 = 1_000;

#[derive(Debug, Serialize)]
struct AddressList {
    addresses: Vec<Arc<str>>,
    ttl_ms: u64,
    request_key_prefix: String,
}

/// The address list for a caller, as JSON.
///
/// A draining daemon returns the list of a peer: with the key prefix of the draining daemon, calls
/// that the caller makes after the daemon has stopped would end with an unknown outcome.
pub(crate) async fn for_caller(daemon: &Rc<Daemon>, caller: &str) -> String {
    if daemon.phase() != Phase::Draining {
        return local_address_list(daemon, caller);
    }
    match fetch_from_peer(daemon, caller).await {
        Some(body) => body,
        None => local_address_list(daemon, caller),
    }
}

async fn fetch_from_peer(daemon: &Rc<Daemon>, caller: &str) -> Option<String> {
    let peers: Vec<Arc<str>> = {
        let membership = daemon.membership.borrow();
        let usable = membership.usable(daemon.now_ms());
        usable.map(|entry| entry.peer_address.clone()).collect()
    };
    let chosen = daemon.random_below(peers.len() as u64) as usize;
    let address = peers.get(chosen)?;
    let request = PeerRequest::Addresses(AddressRequest::new(caller.to_owned()));
    match daemon.peers.call(address, &request, PEER_TIMEOUT_MS).await {
        Ok(PeerReply::Addresses(reply)) => Some(reply.body),
        _ => None,
    }
}

/// Answers a draining peer that asks on behalf of a caller.
pub(crate) fn on_peer_addresses(daemon: &Daemon, request: &AddressRequest) -> AddressReply {
    AddressReply::new(local_address_list(daemon, &request.caller))
}

fn local_address_list(daemon: &Daemon, caller: &str) -> String {
    let count = daemon.root_setting("address_count") as usize;
    let list = AddressList {
        addresses: daemon.membership.borrow().address_list(caller, count),
        ttl_ms: daemon.root_setting("address_ttl_ms"),
        request_key_prefix: daemon.keys.borrow().prefix(daemon.now_ms()).to_string(),
    };
    serde_json::to_string(&list).expect("address lists serialize to JSON")
}
