//! The audit trail: what each settings record asked for and what became of it.

use std::sync::Arc;

use borageshore_base::Fault;
use serde::{Deserialize, Serialize};

use crate::value::SettingValue;

/// What the fold decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force from this offset on.
    Accepted,
    /// Without effect, and why.
    Rejected(Fault),
}

/// One edit with the value that it replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditedEdit {
    /// The node.
    pub node: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The revision the edit was based on.
    pub based_on: u64,
    /// The node's own value before.
    pub before: Option<SettingValue>,
    /// The node's own value asked for.
    pub after: Option<SettingValue>,
}

/// One settings change in the trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The record's offset, which is also the revision it created.
    pub offset: u64,
    /// When the log took it, by the log's clock.
    pub at_ms: u64,
    /// The daemon incarnation that appended it.
    pub writer: Arc<str>,
    /// The writer's sequence.
    pub sequence: u64,
    /// Who asked.
    pub actor: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
    /// What.
    pub edits: Vec<AuditedEdit>,
    /// The outcome.
    pub verdict: Verdict,
}
