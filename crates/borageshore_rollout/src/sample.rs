//! Samples and their attribution.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A run of tokens that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The version, as the engine reported it with each chunk.
    pub version: u64,
    /// How many tokens.
    pub token_count: u64,
}

/// A finished sample.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Its name, unique over all owners of the job.
    pub id: Arc<str>,
    /// The group, which shares one prompt.
    pub group: u64,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The tokens.
    pub tokens: Vec<String>,
    /// The versions that produced them, in order.
    pub segments: Vec<Segment>,
    /// The scorer's verdict.
    pub score: Option<f64>,
    /// Age at hand-over, from the start of generation.
    pub age_ms: u64,
}

/// What the trainer is given in answer to a pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delivery {
    /// The owner's fencing number.
    pub epoch: u64,
    /// The cursor to present next. Numbers up to it that are not in `samples` were given up.
    pub through: u64,
    /// The newest weight version that the owner knew of.
    pub target_version: u64,
    /// The samples with their numbers.
    pub samples: Vec<(u64, Sample)>,
}

/// The staleness bound of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBound {
    /// The greatest permitted distance to the newest version.
    pub versions: u64,
    /// The greatest permitted age.
    pub age_ms: u64,
}

impl StalenessBound {
    /// Says whether a sample of these segments and this age may be handed over.
    ///
    /// A sample without a known version is never fresh: it could not be attributed.
    pub fn permits(&self, segments: &[Segment], age_ms: u64, target_version: u64) -> bool {
        let Some(oldest) = segments.iter().map(|segment| segment.version).min() else {
            return false;
        };
        target_version.saturating_sub(oldest) <= self.versions && age_ms <= self.age_ms
    }
}
