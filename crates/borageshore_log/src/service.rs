//! The interface to the platform's append-only log.

use std::{fmt, future::Future};

use serde::{Deserialize, Serialize};

/// One record as the log keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Time at which the log took the record, by the log's clock.
    pub at_ms: u64,
    /// The record itself.
    pub data: String,
}

/// An answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset still kept.
    pub first_offset: u64,
    /// The offset that the next append will get.
    pub end_offset: u64,
    /// Records from the offset that was asked for, or from `first_offset` when that is later.
    pub records: Vec<LogRecord>,
}

/// Why the log did not answer as asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The log refused the call before any effect.
    Refused(String),
    /// No usable answer; the call may or may not have taken effect.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Refused(why) => write!(f, "refused: {why}"),
            LogError::Unknown(why) => write!(f, "outcome unknown: {why}"),
        }
    }
}

impl std::error::Error for LogError {}

/// The platform's log service. One adapter implements it over HTTP.
pub trait LogService {
    /// Appends records in order, all or none, and returns the offset of the first.
    fn append(
        &self,
        stream: &str,
        records: &[String],
    ) -> impl Future<Output = Result<u64, LogError>>;

    /// Reads from `from_offset`, waiting up to `wait_ms` for a first record.
    fn read(
        &self,
        stream: &str,
        from_offset: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<LogPage, LogError>>;
}
