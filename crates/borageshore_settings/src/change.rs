//! The records of the settings stream.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{fold::SettingsSnapshot, value::SettingValue};

/// One key to set or unset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The node.
    pub node: Arc<str>,
    /// The key.
    pub key: Arc<str>,
    /// The new value; `None` unsets the key, which then inherits its value again.
    pub value: Option<SettingValue>,
    /// The revision of the key that the operator saw; 0 if the key had never been set.
    pub based_on: u64,
}

/// A change of one or more keys, accepted or rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// The operator who requests the change.
    pub actor: Arc<str>,
    /// The reason, for the audit trail.
    pub reason: Arc<str>,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

/// A record of the settings stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingsRecord {
    /// A proposed change.
    Change(SettingsChange),
    /// The state before an offset, for readers that start after the oldest records were removed.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        next_offset: u64,
        /// The folded state.
        snapshot: SettingsSnapshot,
    },
}
