//! Subsetting: the endpoints that a daemon observes.

use borageshore_base::rank_within;

use crate::endpoint::EndpointListing;

/// Up to this number of endpoints, every daemon observes all of them.
const MAX_OBSERVED_BY_ALL: usize = 64;

/// The endpoints of a list that the daemon `own` observes.
///
/// In a small deployment these are all. In a large one each endpoint is observed by `observers` daemons of
/// its zone, chosen by rendezvous hashing: the load is even, and a daemon that joins or leaves moves only its
/// own share. Endpoints of a zone without any daemons get no work.
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
