//! Which daemons live, and which of them callers should use.
//!
//! Heartbeats travel by gossip over UDP: each tick a daemon sends its own entry and a bounded number
//! of others to a few peers, mostly in its own availability zone. [`Membership`] is pure: the shell
//! gives it time, a seed and messages, and sends what it returns.
//!
//! Where all daemons read one log, [`PresenceTable`] takes gossip's place: the log carries what changes, and
//! [`WatchTable`] tells who has gone silent.
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
    members::{Health, Membership, TICK_MS},
    presence::{Presence, PresenceState, PresenceTable, SUSPICION_TIMEOUT_MS},
    relay::{RelaySource, relay_source},
    store_failover::{PROBE_INTERVAL_MS, StoreCallOutcome, StoreFailover, StoreRoute},
    watch::{
        HEARTBEAT_INTERVAL_MS, HEARTBEAT_LOG_TIMEOUT_MS, Suspicion, WATCHER_LOG_TIMEOUT_MS,
        WatchRing, WatchTable,
    },
};
