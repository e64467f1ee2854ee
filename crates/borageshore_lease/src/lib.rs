//! Leases on shards of work, with epochs as fencing tokens.
//!
//! Records of the `leases` stream are folded into a [`LeaseTable`]. A shard's epoch follows from the
//! offset of the accepted claim and is the fencing token in the orders of its owner. A
//! [`LeaseAgent`] in each daemon decides when to renew, when to claim and whether the daemon may act.
//!
//! ```
//! use borageshore_lease::margin_ms;
//!
//! assert!(margin_ms(5_000) < 5_000 / 4, "a holder keeps most of its time");
//! ```

mod agent;
mod table;

pub use self::{
    agent::{Candidacy, LeaseAgent, candidacies_of, margin_ms},
    table::{LeaseRecord, LeaseSnapshot, LeaseTable, Session, Shard, ShardClaim},
};
