//! Ownership of shards of work: sessions, claims, epochs.
//!
//! Records of the `leases` stream are folded into a [`LeaseTable`]; the offset of an accepted claim
//! is the shard's epoch and the fencing number of every order given under it. A [`LeaseAgent`] in
//! each daemon decides when to renew, when to claim and whether it may act now.
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
