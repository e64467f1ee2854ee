//! Entries of the index of stored submissions.

use std::sync::Arc;

use borageshore_topology::Residency;
use serde::{Deserialize, Serialize};

/// The work that a submission requests from the engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Tokens that its items are expected to generate; engines are shared among models by it.
    #[serde(rename = "expected_tokens")]
    pub tokens: u64,
    /// Number of items; 0 in entries written by older daemons.
    #[serde(default)]
    pub items: u64,
}

/// What selects a submission's route and organisation, to look up the regions that they allow now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionOrigin {
    /// The host of its route.
    pub host: Arc<str>,
    /// The request path.
    pub path: Arc<str>,
    /// The organisation that owns it; `None` where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Arc<str>>,
    /// The service that runs its items.
    pub service: Arc<str>,
}

/// An entry of the index, stored under the submission's id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Key that selects the daemon that runs the submission; see [`work_key`](crate::work_key).
    pub work_key: Arc<str>,
    /// The trainer that the submission belongs to; empty in entries written by older daemons.
    #[serde(default)]
    pub trainer: Arc<str>,
    /// The requested work.
    #[serde(flatten)]
    pub demand: Demand,
    /// About the memory that the submission takes at a daemon that holds its records, in bytes; 0 in entries written by
    /// older daemons.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub record_bytes: u64,
    /// When the entry was written, by the clock of the daemon that wrote it.
    pub entered_at_ms: u64,
    /// Whether the submission was ended.
    pub is_ended: bool,
    /// The regions that were allowed when it was accepted, which select its shard; `None`, as in entries written by older
    /// daemons, for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<Arc<str>>>,
    /// Its route and organisation; `None` in deployments of one region and in entries written by older daemons.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<SubmissionOrigin>,
}

fn is_unknown(bytes: &u64) -> bool {
    *bytes == 0
}

impl IndexEntry {
    /// The regions that were allowed when the submission was accepted.
    pub fn residency(&self) -> Residency {
        match &self.allowed_regions {
            Some(regions) => Residency::within(regions.clone()),
            None => Residency::anywhere(),
        }
    }

    /// Returns whether the submission's records may be removed: it is ended and its retention period is over.
    /// `clock_skew_ms` allows for differences between the clocks of VMs.
    pub fn is_expired(&self, retention_ms: u64, clock_skew_ms: u64, now_ms: u64) -> bool {
        self.is_ended && now_ms > self.entered_at_ms + retention_ms + clock_skew_ms
    }
}
