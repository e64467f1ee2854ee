//! The index of submissions that are not ended.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An entry of the index, under the submission's id; it is removed when the submission ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSubmission {
    /// Decides which daemon runs it.
    pub work_key: Arc<str>,
    /// The tokens that its items are expected to make, for sharing engines among models.
    pub expected_tokens: u64,
}
