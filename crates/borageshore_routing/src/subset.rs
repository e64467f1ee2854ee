//! Which endpoints a daemon observes.

use borageshore_base::rank_within;

use crate::endpoint::EndpointListing;

/// Up to this many endpoints are observed by every daemon.
const MAX_OBSERVED_BY_ALL: usize = 64;

/// The endpoints that `own` observes of a list.
///
/// Of a small deployment that is all of them. Of a large one each endpoint is observed by `observers`
/// daemons of its own zone, by rendezvous hashing: shares are even, and a daemon that comes or goes
/// moves only its own. The endpoints of a zone whose daemons are all gone get no work meanwhile.
pub fn subset_of(
    listed: Vec<EndpointListing>,
    own: &str,
    zone: &str,
    peers: &[&str],
    observers: usize,
) -> Vec<EndpointListing> {
    if listed.len() <= MAX_OBSERVED_BY_ALL {
        return listed;
    }
    let is_observed = |listing: &EndpointListing| {
        *listing.zone == *zone
            && rank_within(&listing.name, own, peers.iter().copied(), observers).is_some()
    };
    listed.into_iter().filter(is_observed).collect()
}
