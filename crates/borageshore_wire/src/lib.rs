//! The messages between daemons: thrift structures, compact protocol.
//!
//! Gossip is one message in a datagram; everything else is a length-prefixed frame over TCP.
//!
//! ```
//! use borageshore_wire::{FollowRequest, PeerRequest, decode, encode};
//!
//! let request = PeerRequest::Follow(FollowRequest::new("settings".to_string(), 0, 1_000));
//! let bytes = encode(&request).unwrap();
//! assert_eq!(decode::<PeerRequest>(&bytes).unwrap(), request);
//! ```

mod codec;
mod convert;
// Written by the thrift compiler; see `tools/generate-wire`.
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::nursery)]
#[rustfmt::skip]
mod generated;

pub use self::{
    codec::{MAX_FRAME_BYTES, decode, encode},
    convert::{gossip_from_wire, gossip_to_wire, member_from_wire, member_to_wire},
    generated::*,
};
