//! State replication through the platform's log service.
//!
//! A record appended to a stream is a proposal, ordered by its offset. Every daemon applies the same
//! records with the same deterministic state machine ([`Fold`]) and reaches the same state. This
//! crate has the record envelope, deduplication ([`WriterTable`]), the writer that retries appends
//! with an unknown outcome ([`Proposer`]) and the reader that can start from snapshots
//! ([`Follower`]).
//!
//! ```
//! use borageshore_log::{Envelope, WriterTable};
//!
//! let envelope = Envelope { writer: "vm-1.7".into(), sequence: 1, body: "hello" };
//! let mut writers = WriterTable::default();
//! assert!(writers.admit(&envelope.writer, envelope.sequence, 10));
//! assert!(!writers.admit(&envelope.writer, envelope.sequence, 11), "a repeated append is ignored");
//! ```

mod envelope;
mod follower;
mod proposer;
mod service;

pub use self::{
    envelope::{Envelope, WriterTable},
    follower::{Fold, Follower, FollowerState},
    proposer::{Proposal, Proposer, ProposerAction},
    service::{LogError, LogPage, LogRecord, LogService},
};
