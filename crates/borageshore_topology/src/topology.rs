//! Availability zones and their regions.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::residency::Residency;

/// How far a zone is away, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// A zone of another region.
    OtherRegion,
    /// In a deployment of several regions, a zone whose region is not known.
    Unknown,
}

impl Distance {
    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Distance::SameZone => "same_zone",
            Distance::SameRegion => "same_region",
            Distance::OtherRegion => "other_region",
            Distance::Unknown => "unknown",
        }
    }
}

/// The zones of a deployment with their regions, seen from one zone.
#[derive(Debug, Clone)]
pub struct Topology {
    own_zone: Arc<str>,
    region_of: SortedMap<Arc<str>, Arc<str>>,
    region_count: usize,
}

impl Topology {
    /// Creates a topology from pairs of zone and region. Without any, all zones count as one region.
    pub fn open(own_zone: Arc<str>, zones: Vec<(Arc<str>, Arc<str>)>) -> Self {
        let mut regions: Vec<Arc<str>> = zones.iter().map(|(_, region)| region.clone()).collect();
        regions.sort_unstable();
        regions.dedup();
        let mut region_of = SortedMap::default();
        for (zone, region) in zones {
            region_of.insert(zone, region);
        }
        Self {
            own_zone,
            region_of,
            region_count: regions.len(),
        }
    }

    /// A deployment without regions.
    pub fn single_region(own_zone: Arc<str>) -> Self {
        Self::open(own_zone, Vec::new())
    }

    /// The zone that this topology is seen from.
    pub fn own_zone(&self) -> &Arc<str> {
        &self.own_zone
    }

    /// The region of [`Self::own_zone`], if it is known.
    pub fn own_region(&self) -> Option<&Arc<str>> {
        self.region_of(&self.own_zone)
    }

    /// The region of a zone, if it is known.
    pub fn region_of(&self, zone: &str) -> Option<&Arc<str>> {
        self.region_of.get(zone)
    }

    /// Whether the deployment spans several regions; where it does not, distances between regions play no part.
    pub fn has_regions(&self) -> bool {
        self.region_count > 1
    }

    /// The distance between two zones.
    pub fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        self.region_distance(self.region_of(from).map(|region| &**region), to)
    }

    /// The distance from somewhere in a region to another zone than the own one.
    pub fn region_distance(&self, region: Option<&str>, to: &str) -> Distance {
        if !self.has_regions() {
            return Distance::SameRegion;
        }
        match (region, self.region_of(to)) {
            (Some(one), Some(other)) if *one == **other => Distance::SameRegion,
            (Some(_), Some(_)) => Distance::OtherRegion,
            _ => Distance::Unknown,
        }
    }

    /// The distance from the own zone.
    pub fn distance_to(&self, zone: &str) -> Distance {
        self.distance(&self.own_zone, zone)
    }

    /// Whether a request with this residency may be served in a zone.
    pub fn allows(&self, residency: &Residency, zone: &str) -> bool {
        residency.allows(self.region_of(zone).map(|region| &**region))
    }

    /// Whether any zone of the deployment is in a region that a residency allows. Where none is, a request cannot be
    /// served until the routes or the settings change.
    pub fn has_region_of(&self, residency: &Residency) -> bool {
        let mut regions = self.region_of.values();
        !residency.is_restricted() || regions.any(|region| residency.allows(Some(region)))
    }

    /// The allowed regions that have no zone in the deployment.
    pub fn regions_without_zones(&self, residency: &Residency) -> Vec<Arc<str>> {
        let named = residency.regions().unwrap_or_default().iter();
        let has_zone = |region: &&Arc<str>| self.region_of.values().any(|known| known == *region);
        named.filter(|region| !has_zone(region)).cloned().collect()
    }
}
