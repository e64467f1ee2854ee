//! Membership and failure detection of daemons.
//!
//! [`Membership`] is a gossip protocol over UDP: each tick a daemon sends its own entry and a bounded number
//! of others to a few peers, mostly in its own availability zone. It does no I/O: the daemon passes in the
//! time, a random seed and received messages, and sends what is returned.
//!
//! Where all daemons read one log, [`PresenceTable`] replaces gossip: the log carries changes of membership, and
//! [`WatchTable`] detects failures by heartbeats.
//!
//! ```
//! use borageshore_membership::{MemberEntry, MemberState, Membership};
//!
//! let own = MemberEntry {
//!     name: "vm-1".into(),
//!     incarnation: 1,
//!     counter: 0,
//!     zone: "suva-hall".into(),
//!     http_address: "127.0.0.1:1".into(),
//!     peer_address: "127.0.0.1:2".into(),
//!     gossip_address: "127.0.0.1:3".into(),
//!     state: MemberState::Live,
//! };
//! let membership = Membership::open(own, Vec::new(), 0);
//! assert_eq!(membership.address_list("a caller", 4), ["127.0.0.1:1".into()]);
//! ```

mod addresses;
mod entry;
mod gossip;
mod members;
mod presence;
mod relay;
mod store_failover;
mod watch;

pub use self::{
    entry::{GossipMessage, Heartbeat, MemberEntry, MemberState},
    members::{GOSSIP_INTERVAL_MS, Health, Membership},
    presence::{
        AddressRequest, Presence, PresenceState, PresenceTable, SUSPICION_TIMEOUT_MS, StorePeer,
    },
    relay::{RelaySource, relay_source},
    store_failover::{PROBE_INTERVAL_MS, StoreCallOutcome, StoreFailover, StoreRoute},
    watch::{
        HEARTBEAT_INTERVAL_MS, HEARTBEAT_LOG_TIMEOUT_MS, Suspicion, WATCHER_LOG_TIMEOUT_MS,
        WatchRing, WatchTable,
    },
};
