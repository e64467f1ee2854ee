//! The index of submissions whose records are kept.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a submission asks of the engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The tokens that its items are expected to make, for sharing engines among models.
    #[serde(rename = "expected_tokens")]
    pub tokens: u64,
    /// Its items; entries of older daemons do not say, 0.
    #[serde(default)]
    pub items: u64,
}

/// An entry of the index, under the submission's id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Decides which daemon runs it.
    pub work_key: Arc<str>,
    /// Who trains with it; entries of older daemons do not say.
    #[serde(default)]
    pub trainer: Arc<str>,
    /// What it asks of the engines.
    #[serde(flatten)]
    pub demand: Demand,
    /// When it was entered, by the clock of the daemon that did.
    pub entered_at_ms: u64,
    /// Whether it was ended.
    pub is_ended: bool,
}

impl IndexEntry {
    /// Says whether its records may be removed: it is ended, and the time for which results are kept
    /// is over. `clock_skew_ms` covers clocks that differ between VMs.
    pub fn is_expired(&self, retention_ms: u64, clock_skew_ms: u64, now_ms: u64) -> bool {
        self.is_ended && now_ms > self.entered_at_ms + retention_ms + clock_skew_ms
    }
}
