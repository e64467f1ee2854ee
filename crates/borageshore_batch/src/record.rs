//! The records of the ledger and their encoding.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    accepted_record::decode_accepted,
    submission::{ItemResult, Submission},
    value_chunks,
};

/// A change of the ledger, as stored.
///
/// The store compacts by key: it keeps the newest record of each. `Accept` and `End` always encode to the same bytes,
/// so their keys are fixed. A result gets a new key for each append attempt: its position is that of its first record,
/// which a retry under the same key would replace for readers that start later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerRecord {
    /// A submission was accepted.
    Accept(Arc<Submission>),
    /// An item has a result.
    Result {
        /// The submission's id.
        submission: Arc<str>,
        /// The result.
        result: Arc<ItemResult>,
    },
    /// A submission was ended.
    End {
        /// The submission's id.
        submission: Arc<str>,
    },
}

/// The kind of a record, as encoded in its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyKind {
    Accept,
    Result,
    End,
}

impl LedgerRecord {
    /// The id of the submission that the record belongs to.
    pub fn submission(&self) -> &Arc<str> {
        match self {
            LedgerRecord::Accept(submission) => &submission.id,
            LedgerRecord::Result { submission, .. } | LedgerRecord::End { submission } => {
                submission
            }
        }
    }

    /// About the memory that the result takes, in bytes; 0 for the other records.
    pub fn result_bytes(&self) -> usize {
        match self {
            LedgerRecord::Result { result, .. } => result.held_bytes(),
            LedgerRecord::Accept(_) | LedgerRecord::End { .. } => 0,
        }
    }

    /// The prefix of the keys of a submission's records; no other key starts with it.
    pub fn key_prefix(submission: &str) -> String {
        format!("{submission}:")
    }

    /// Encodes the record as keyed records of one append. `attempt` must be unique for each append attempt.
    pub fn encode(&self, attempt: &str) -> Vec<(Arc<str>, Bytes)> {
        let submission = self.submission();
        match self {
            LedgerRecord::Accept(accepted) => {
                value_chunks::split(&format!("{submission}:s"), &to_json(accepted))
            }
            LedgerRecord::Result { result, .. } => {
                value_chunks::split(&format!("{submission}:r:{attempt}"), &to_json(result))
            }
            LedgerRecord::End { .. } => {
                value_chunks::split(&format!("{submission}:e"), &Bytes::from_static(b"{}"))
            }
        }
    }

    pub(crate) fn decode(submission: &str, kind: KeyKind, value: &Bytes) -> Option<Self> {
        Some(match kind {
            KeyKind::Accept => LedgerRecord::Accept(Arc::new(decode_accepted(value)?)),
            KeyKind::Result => LedgerRecord::Result {
                submission: submission.into(),
                result: from_json(value)?,
            },
            KeyKind::End => LedgerRecord::End {
                submission: submission.into(),
            },
        })
    }
}

/// Splits a value's key into the submission id and the kind of record.
pub(crate) fn split_key(key: &str) -> Option<(&str, KeyKind)> {
    let mut parts = key.split(':');
    let submission = parts.next()?;
    let kind = match parts.next()? {
        "s" => KeyKind::Accept,
        "r" => KeyKind::Result,
        "e" => KeyKind::End,
        _ => return None,
    };
    Some((submission, kind))
}

fn to_json<Value>(value: &Value) -> Bytes
where
    Value: Serialize,
{
    serde_json::to_vec(value)
        .expect("records are plain data")
        .into()
}

fn from_json<Value>(text: &[u8]) -> Option<Arc<Value>>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(text).ok().map(Arc::new)
}
