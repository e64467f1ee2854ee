//! What the processes share through the platform's log service.
//!
//! A record appended to a stream is a proposal; its offset orders it; every daemon folds the same
//! records with the same pure function ([`Fold`]) and so reaches the same verdict. This crate holds
//! the record envelope, the removal of duplicates ([`WriterTable`]), the writer that settles lost
//! answers ([`Proposer`]) and the reader that starts from snapshots ([`Follower`]).
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
