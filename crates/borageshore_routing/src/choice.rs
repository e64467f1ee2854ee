//! Load balancing: the choice of an endpoint for one request.

use std::sync::Arc;

use borageshore_base::rendezvous_weight;
use rand_core::Rng;

use crate::endpoint::{Endpoint, EndpointTable};

/// Bonus of an endpoint with a cached prefix, in percent of its slots. Bounded, so that a popular prefix does
/// not overload one endpoint.
const AFFINITY_BONUS_PERCENT: u64 = 50;
/// Penalty of an endpoint in another availability zone, in percent of its slots.
const CROSS_ZONE_COST_PERCENT: u64 = 25;

/// The properties of a request by which its endpoint is chosen.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'r> {
    /// The service.
    pub service: &'r str,
    /// The prompt prefix, if the request has one.
    pub prefix: Option<&'r str>,
    /// The availability zone of this daemon.
    pub zone: &'r str,
    /// The endpoints that earlier attempts were sent to.
    pub tried: &'r [Arc<str>],
}

/// Chooses the better of two random endpoints, with a bounded bonus for a cached prefix.
///
/// Load reports lag. If each daemon took the endpoint with the lowest reported load, all of them would choose
/// the same one; two random choices keep queues short without that.
pub fn choose_endpoint<Random>(
    table: &EndpointTable,
    request: ChoiceRequest<'_>,
    now_ms: u64,
    random: &mut Random,
) -> Option<Arc<str>>
where
    Random: Rng,
{
    let is_untried = |endpoint: &&Endpoint| !request.tried.contains(&endpoint.listing.name);
    let usable: Vec<&Endpoint> = table
        .usable(request.service, now_ms)
        .filter(is_untried)
        .collect();
    if usable.is_empty() {
        return None;
    }
    let preferred = affinity_endpoint(&usable, request.prefix);
    let count = usable.len() as u64;
    let first = usable[(random.next_u64() % count) as usize];
    let second = usable[(random.next_u64() % count) as usize];
    let candidates = [first, second].into_iter().chain(preferred);
    let cost = |endpoint: &&Endpoint| cost_of(endpoint, request.zone, preferred, now_ms);
    candidates
        .min_by_key(cost)
        .map(|endpoint| endpoint.listing.name.clone())
}

/// The endpoint that most likely has the prefix cached, by rendezvous hashing.
fn affinity_endpoint<'e>(usable: &[&'e Endpoint], prefix: Option<&str>) -> Option<&'e Endpoint> {
    let prefix = prefix?;
    let weight = |endpoint: &&&Endpoint| rendezvous_weight(prefix, &endpoint.listing.name);
    usable.iter().max_by_key(weight).copied()
}

/// Load in thousandths of the slots, less the bonus for a cached prefix, plus the penalty for another zone.
fn cost_of(endpoint: &Endpoint, zone: &str, preferred: Option<&Endpoint>, now_ms: u64) -> u64 {
    let mut cost = 10 * AFFINITY_BONUS_PERCENT + endpoint.load(now_ms) * 1_000 / endpoint.slots();
    if preferred.is_some_and(|preferred| preferred.listing.name == endpoint.listing.name) {
        cost -= 10 * AFFINITY_BONUS_PERCENT;
    }
    if &*endpoint.listing.zone != zone {
        cost += 10 * CROSS_ZONE_COST_PERCENT;
    }
    cost
}
