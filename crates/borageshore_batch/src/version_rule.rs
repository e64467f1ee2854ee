//! The model versions that may generate a text.

/// What a submission and its route require of the versions that generate a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRule {
    /// The oldest version that may generate an event.
    pub min_version: u64,
    /// Whether one version has to generate all events.
    pub is_single: bool,
}

impl VersionRule {
    /// The version that has to generate all further events of a text with events of `versions`, if there is one.
    pub fn pinned_version(&self, versions: &[u64]) -> Option<u64> {
        versions.last().copied().filter(|_| self.is_single)
    }

    /// Whether `version` may generate the next event of a text with events of `versions`.
    pub fn allows_next(&self, versions: &[u64], version: u64) -> bool {
        match self.pinned_version(versions) {
            Some(pinned) => version == pinned,
            None => version >= self.min_version,
        }
    }
}
