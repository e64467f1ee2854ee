//! The tree through which the daemons of a zone read the log.

use std::{cmp::Reverse, sync::Arc};

use borageshore_base::rendezvous_weight;

use crate::limits::{FallbackBudget, FallbackLoad, FeedLimits, direct_readers};

/// How many daemons read from one, which bounds what it sends to this multiple of what it receives.
const FANOUT: usize = 8;
/// The rendezvous key that orders equal daemons; the same on all daemons.
const RANKING_KEY: &str = "feed";

/// A daemon as a possible source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedCandidate {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it is in the region of the daemon that compares candidates.
    pub is_same_region: bool,
    /// Its address for other daemons.
    pub address: Arc<str>,
    /// Its CPU capacity, in percent of a core.
    pub capacity_percent: u64,
    /// Whether it serves; one that starts has less to pass on.
    pub is_ready: bool,
}

/// A daemon's place among the daemons of its zone.
///
/// Ranked by readiness, capacity and rendezvous hash, the first daemons of a zone read the log, and each one serves the
/// next eight. Every daemon computes this from its own list of members; where the lists differ for a moment, a
/// daemon may read from one that is not above it, and leaves it when what that passes on is old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeedTree {
    position: usize,
    roots: usize,
    daemons: usize,
    readers: usize,
    zones: usize,
    limits: FeedLimits,
    /// The daemons of the zone but this one, by rank.
    zone: Vec<Arc<str>>,
    /// The daemons of other zones of the region.
    other_zones: Vec<Arc<str>>,
    /// The daemons of other regions.
    other_regions: Vec<Arc<str>>,
}

impl FeedTree {
    /// Builds the tree of the daemon `own`, which counts as a member even if the candidates do not list it.
    pub fn of<Candidates>(own: &FeedCandidate, candidates: Candidates, limits: FeedLimits) -> Self
    where
        Candidates: IntoIterator<Item = FeedCandidate>,
    {
        let is_other = |candidate: &FeedCandidate| candidate.name != own.name;
        let others: Vec<FeedCandidate> = candidates.into_iter().filter(is_other).collect();
        let daemons = others.len() + 1;
        let mut zones: Vec<&str> = others.iter().map(|other| &*other.zone).collect();
        zones.push(&own.zone);
        zones.sort_unstable();
        zones.dedup();
        let zones = zones.len();
        let readers = direct_readers(daemons, zones, limits);
        let (mut zone, other_zones): (Vec<FeedCandidate>, Vec<FeedCandidate>) =
            others.into_iter().partition(|other| other.zone == own.zone);
        let (other_zones, other_regions): (Vec<FeedCandidate>, Vec<FeedCandidate>) = other_zones
            .into_iter()
            .partition(|other| other.is_same_region);
        zone.sort_by_cached_key(rank);
        let position = zone.partition_point(|other| rank(other) < rank(own));
        let address = |candidate: FeedCandidate| candidate.address;
        Self {
            position,
            roots: (readers * (zone.len() + 1)).div_ceil(daemons),
            daemons,
            readers,
            zones,
            limits,
            zone: zone.into_iter().map(address).collect(),
            other_zones: other_zones.into_iter().map(address).collect(),
            other_regions: other_regions.into_iter().map(address).collect(),
        }
    }

    /// Whether this daemon reads the log directly.
    pub fn is_root(&self) -> bool {
        self.position < self.roots
    }

    /// This daemon's rank in its zone, from 0.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Whether all daemons read the log directly.
    pub fn is_flat(&self) -> bool {
        self.readers >= self.daemons
    }

    /// The number of daemons that read the log directly.
    pub fn readers(&self) -> usize {
        self.readers
    }

    /// How far this daemon is behind the roots of its zone, in ranks.
    pub fn distance(&self) -> usize {
        self.position.saturating_sub(self.roots)
    }

    /// The number of daemons.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// What all daemons together may read if they are no readers and their peers bring nothing.
    pub fn fallback_budget(&self) -> FallbackBudget {
        FallbackBudget {
            daemons: self.daemons,
            limits: self.limits,
        }
    }

    /// When it is this daemon's turn to read the log if no daemon of any zone is kept current, counted from the first
    /// one: those next to the roots are current again before the others ask.
    pub fn fallback_turn_ms(&self) -> u64 {
        let interval_ms = self.fallback_budget().load_interval_ms(FallbackLoad::All);
        (self.distance() * self.zones) as u64 * interval_ms
    }

    /// The daemon that this one reads from; `None` for a root.
    pub fn parent(&self) -> Option<&Arc<str>> {
        let distance = self.position.checked_sub(self.roots)?;
        self.zone.get(distance / FANOUT)
    }

    /// A daemon of this zone, one above this daemon if `random` picks among several; `None` if it has no peers.
    pub fn zone_peer(&self, random: u64) -> Option<&Arc<str>> {
        let above = match self.position {
            0 => self.zone.len(),
            position => position.min(self.zone.len()),
        };
        pick(&self.zone[..above], random)
    }

    /// A daemon of another zone of the region, or of this zone if there are no others.
    pub fn region_peer(&self, random: u64) -> Option<&Arc<str>> {
        pick(&self.other_zones, random).or_else(|| self.zone_peer(random))
    }

    /// A daemon of another region, or of this one if there are no others.
    pub fn remote_peer(&self, random: u64) -> Option<&Arc<str>> {
        pick(&self.other_regions, random).or_else(|| self.region_peer(random))
    }
}

fn rank(candidate: &FeedCandidate) -> (Reverse<(bool, u64)>, u64, Arc<str>) {
    (
        Reverse((candidate.is_ready, candidate.capacity_percent)),
        rendezvous_weight(RANKING_KEY, &candidate.name),
        candidate.name.clone(),
    )
}

fn pick(addresses: &[Arc<str>], random: u64) -> Option<&Arc<str>> {
    let index = random.checked_rem(addresses.len() as u64)?;
    addresses.get(index as usize)
}
