//! The interface of the platform's append-only log service.

use std::{fmt, future::Future};

use serde::{Deserialize, Serialize};

/// A record as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The position in the stream, from 0.
    pub offset: u64,
    /// When the record was appended, by the log service's clock.
    pub at_ms: u64,
    /// The encoded record.
    pub data: String,
}

/// The response to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that is still retained.
    pub first_offset: u64,
    /// The offset that the next append will get.
    pub end_offset: u64,
    /// Records from the offset that was asked for, or from `first_offset` when that is later.
    pub records: Vec<LogRecord>,
}

/// Why a call to the log service failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogError {
    /// The call had no effect.
    NotDone(String),
    /// No valid response; whether the call took effect is unknown.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::NotDone(why) => write!(f, "refused: {why}"),
            LogError::Unknown(why) => write!(f, "outcome unknown: {why}"),
        }
    }
}

impl std::error::Error for LogError {}

/// The platform's log service.
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
