//! The audit trail: each requested settings change with its outcome.

use std::sync::Arc;

use borageshore_base::Fault;
use serde::{Deserialize, Serialize};

use crate::value::SettingValue;

/// The outcome of a settings change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Applied.
    Accepted,
    /// Rejected without effect, with the reason.
    Rejected(Fault),
}

/// One edit with the value that it replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditedEdit {
    /// The node.
    pub node: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The revision that the edit is based on.
    pub based_on: u64,
    /// The node's own value before the change.
    pub before: Option<SettingValue>,
    /// The requested value; `None` unsets the key.
    pub after: Option<SettingValue>,
}

/// A settings change in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The record's offset; an accepted change creates the revision `offset + 1`.
    pub offset: u64,
    /// When the record was appended, by the log service's clock.
    pub at_ms: u64,
    /// The daemon incarnation that appended it.
    pub writer: Arc<str>,
    /// The writer's sequence number.
    pub sequence: u64,
    /// The operator who requested the change.
    pub actor: Arc<str>,
    /// The reason given.
    pub reason: Arc<str>,
    /// The requested edits.
    pub edits: Vec<AuditedEdit>,
    /// Whether the change was accepted.
    pub verdict: Verdict,
}
