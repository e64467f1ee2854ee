//! The regions in which requests may be served and their data kept.

use std::sync::Arc;

/// The regions in which a request may be served, cached and stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Residency {
    /// Sorted; `None` for any region.
    regions: Option<Arc<[Arc<str>]>>,
}

impl Residency {
    /// No restriction.
    pub fn anywhere() -> Self {
        Self::default()
    }

    /// Restricts to regions; with none, nothing is allowed anywhere.
    pub fn within(mut regions: Vec<Arc<str>>) -> Self {
        regions.sort_unstable();
        regions.dedup();
        Self {
            regions: Some(regions.into()),
        }
    }

    /// The regions that both allow.
    pub fn intersect(&self, other: &Self) -> Self {
        let (Some(own), Some(others)) = (&self.regions, &other.regions) else {
            return match self.regions {
                Some(_) => self.clone(),
                None => other.clone(),
            };
        };
        let is_in_both = |region: &&Arc<str>| others.binary_search(region).is_ok();
        Self {
            regions: Some(own.iter().filter(is_in_both).cloned().collect()),
        }
    }

    /// Whether only some regions, or none, are allowed.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// Whether no region is allowed, so that a request cannot be served anywhere.
    pub fn is_empty(&self) -> bool {
        self.regions
            .as_ref()
            .is_some_and(|regions| regions.is_empty())
    }

    /// Whether a region is allowed; one that is not known is allowed only where all are.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match (&self.regions, region) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(regions), Some(region)) => regions
                .binary_search_by(|allowed| (**allowed).cmp(region))
                .is_ok(),
        }
    }

    /// The allowed regions, sorted; `None` if all are.
    pub fn regions(&self) -> Option<&[Arc<str>]> {
        self.regions.as_deref()
    }
}
