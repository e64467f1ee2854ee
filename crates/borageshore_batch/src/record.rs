//! The records from which every daemon folds the ledger.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    submission::{ItemResult, Submission},
    value_chunks,
};

/// A change of the ledger.
///
/// The store keeps the newest record of each key for good. Accepting and ending write the same
/// bytes whenever they are repeated, so they have fixed keys. A result has a key of its own for
/// each attempt to append it: its position is the place of its first record, and a second record
/// under the same key would take that place away from readers that start later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerRecord {
    /// A submission is accepted.
    Accept(Arc<Submission>),
    /// An item has a result.
    Result {
        /// The submission.
        submission: Arc<str>,
        /// The result.
        result: Arc<ItemResult>,
    },
    /// A submission is ended.
    End {
        /// The submission.
        submission: Arc<str>,
    },
}

/// What a key says of its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyKind {
    Accept,
    Result,
    End,
}

impl LedgerRecord {
    /// The submission that it belongs to.
    pub fn submission(&self) -> &Arc<str> {
        match self {
            LedgerRecord::Accept(submission) => &submission.id,
            LedgerRecord::Result { submission, .. } | LedgerRecord::End { submission } => {
                submission
            }
        }
    }

    /// What all keys of a submission's records begin with, and only they.
    pub fn key_prefix(submission: &str) -> String {
        format!("{submission}:")
    }

    /// Encodes it as keyed records of one append; `attempt` names this attempt to append it and no
    /// other.
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

    pub(crate) fn decode(submission: &str, kind: KeyKind, value: &[u8]) -> Option<Self> {
        Some(match kind {
            KeyKind::Accept => LedgerRecord::Accept(from_json(value)?),
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

/// Splits the key of a whole value into the submission and the kind of record.
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
