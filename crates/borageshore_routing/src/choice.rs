//! The choice of an endpoint for one request.

use std::sync::Arc;

use borageshore_base::rendezvous_weight;
use rand_core::Rng;

use crate::endpoint::{Endpoint, EndpointTable};

/// What a cached prefix is worth, in percent of an endpoint's slots. Bounded, so that a popular
/// prefix cannot heap all its requests on one endpoint.
const AFFINITY_BONUS_PERCENT: u64 = 50;
/// What another availability zone costs, in percent of an endpoint's slots.
const CROSS_ZONE_COST_PERCENT: u64 = 25;

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'r> {
    /// The service.
    pub service: &'r str,
    /// The caller's prompt prefix, if the request has one.
    pub prefix: Option<&'r str>,
    /// The availability zone of this daemon.
    pub zone: &'r str,
    /// Endpoints that were tried already.
    pub tried: &'r [Arc<str>],
}

/// Chooses the better of two random endpoints, with a bounded bonus for a cached prefix.
///
/// Two choices suffice to keep queues short even though reports lag; taking the least loaded by a
/// lagging report would send every daemon to the same endpoint at once.
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

/// The endpoint that most likely has the prefix cached: requests of one prefix meet there.
fn affinity_endpoint<'e>(usable: &[&'e Endpoint], prefix: Option<&str>) -> Option<&'e Endpoint> {
    let prefix = prefix?;
    let weight = |endpoint: &&&Endpoint| rendezvous_weight(prefix, &endpoint.listing.name);
    usable.iter().max_by_key(weight).copied()
}

/// Load in thousandths of the slots, less the bonus, plus the price of distance.
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
