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
    /// The new value; `None` unsets the key, so that the inherited value holds again.
    pub value: Option<SettingValue>,
    /// The offset that last changed this key when the operator looked; 0 if nothing ever had.
    pub based_on: u64,
}

/// A change of one or more keys, accepted or rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Who asks for it.
    pub actor: Arc<str>,
    /// Why.
    pub reason: Arc<str>,
    /// The keys.
    pub edits: Vec<Edit>,
}

/// A record of the settings stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingsRecord {
    /// A proposed change.
    Change(SettingsChange),
    /// The state below an offset, for readers that start after retention cut the stream's head.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        next_offset: u64,
        /// The state.
        snapshot: SettingsSnapshot,
    },
}
