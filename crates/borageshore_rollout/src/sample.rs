//! Samples, the weight versions that produced them, and the staleness bound.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A run of tokens that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The version, as the engine reported it with each chunk.
    pub version: u64,
    /// The number of tokens.
    pub token_count: u64,
}

/// A finished sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The id of the sample, unique over all owners of the job.
    pub id: Arc<str>,
    /// The group, whose samples share one prompt.
    pub group: u64,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The generated tokens.
    pub tokens: Vec<String>,
    /// The weight versions that produced the tokens, in order.
    pub segments: Vec<Segment>,
    /// The score, if the job has a scorer.
    pub score: Option<f64>,
    /// The age at delivery, from the start of generation.
    pub age_ms: u64,
}

/// The response to a trainer's pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    /// The owner's epoch, a fencing token.
    pub epoch: u64,
    /// The cursor of the next pull. Numbers up to it that are not in `samples` are never delivered.
    pub through: u64,
    /// The newest weight version known to the owner.
    pub target_version: u64,
    /// The samples by number.
    pub samples: Vec<(u64, Sample)>,
}

/// The staleness bound of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// The greatest permitted distance to the target version.
    pub versions: u64,
    /// The greatest permitted age, from the start of generation.
    pub age_ms: u64,
}

impl StalenessBound {
    /// Whether a sample with these segments and this age may be delivered.
    ///
    /// A sample without a known version is never permitted, because its staleness is unknown.
    pub fn permits(&self, segments: &[Segment], age_ms: u64, target_version: u64) -> bool {
        let Some(oldest) = segments.iter().map(|segment| segment.version).min() else {
            return false;
        };
        target_version.saturating_sub(oldest) <= self.versions && age_ms <= self.age_ms
    }
}
