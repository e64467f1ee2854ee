//! Load balancing: the choice of an endpoint for one request.

use std::{cmp::Reverse, sync::Arc};

use borageshore_base::rendezvous_weight;
use borageshore_topology::{Distance, Residency, Topology};
use rand_core::Rng;

use crate::endpoint::{Endpoint, EndpointTable};

/// Bonus of an endpoint with a cached prefix, in percent of its slots. Bounded, so that a popular prefix does
/// not overload one endpoint.
const AFFINITY_BONUS_PERCENT: u64 = 50;
/// Penalty of an endpoint in another availability zone, in percent of its slots.
const CROSS_ZONE_COST_PERCENT: u64 = 25;
/// Penalty of an endpoint in another region, in percent of its slots. One there that is idle and connected costs more than
/// one here with a free slot and no connection, and less than a full one, where a call waits for longer than it travels.
const CROSS_REGION_COST_PERCENT: u64 = 120;

/// Penalty of an endpoint to which the daemon has no idle connection, in percent of its slots, where endpoints report
/// slowdowns. A new connection takes one of the endpoint's slots for its handshake, and hundreds of daemons may open
/// one each to a few endpoints.
const NEW_CONNECTION_COST_PERCENT: u64 = 25;
/// How often the share of requests that failed lately counts in the cost, where endpoints report slowdowns. Two failures
/// in close succession outweigh an idle connection in the own zone; otherwise a daemon that makes few calls would keep to
/// an endpoint that fails part of them, and is ejected for that only after many.
const FAILURE_COST_FACTOR: u64 = 3;
/// Endpoints whose costs differ by no more than this, in percent of their slots, count as equal, and one of them is
/// drawn. Otherwise all daemons that have read the same reports would turn to the same endpoint.
const EQUAL_COST_PERCENT: u64 = 5;
/// A service of up to this many usable endpoints is compared whole where they report slowdowns: among few endpoints, two
/// random draws often hit a slow one twice.
const MAX_COMPARED_WHOLE: usize = 8;

/// The number of endpoints of a large service that a daemon calls.
const SUBSET_SIZE: usize = 32;
/// All endpoints of a service are called by each daemon up to this number.
const MIN_SUBSET_SERVICE: usize = 2 * SUBSET_SIZE;

/// The properties of a request by which its endpoint is chosen.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'r> {
    /// The service.
    pub service: &'r str,
    /// The prompt prefix, if the request has one.
    pub prefix: Option<&'r str>,
    /// The deployment's zones, seen from this daemon's.
    pub topology: &'r Topology,
    /// The regions in which the request may be served.
    pub residency: &'r Residency,
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
    let usable = untried(table, request, now_ms);
    choose_among(&usable, request, now_ms, random).map(|chosen| chosen.listing.name.clone())
}

/// What a daemon that calls a service knows besides its table of endpoints.
#[derive(Debug, Clone, Copy)]
pub struct CallingDaemon<'d, HasIdle> {
    /// Its name.
    pub name: &'d str,
    /// Whether it has an idle connection to an endpoint; asked only where endpoints report slowdowns.
    pub has_idle: HasIdle,
}

/// Chooses an endpoint for a call of a daemon, from a subset of its own in a large service.
///
/// Guards against a connection for nearly each call: of thousands of endpoints, a daemon seldom uses one twice while its
/// connection is open. Daemons have different subsets, preferably of their own zone, so that all endpoints get calls. If
/// the chosen endpoint is full, all are considered.
///
/// Where endpoints of the service report how slow their VMs are, or the deployment spans regions, that and the cost of a
/// new connection count too, and a small service is compared whole.
pub fn choose_from_subset<'t, Random, HasIdle>(
    table: &'t EndpointTable,
    daemon: CallingDaemon<'_, HasIdle>,
    request: ChoiceRequest<'t>,
    now_ms: u64,
    random: &mut Random,
) -> Option<Arc<str>>
where
    Random: Rng,
    HasIdle: Fn(&Endpoint) -> bool,
{
    let usable = untried(table, request, now_ms);
    let subset = subset_of_usable(&usable, daemon.name, request.topology);
    let is_uneven = table.reports_slowdowns(request.service) || request.topology.has_regions();
    let choose = |among: &[&'t Endpoint], random: &mut Random| -> Option<&'t Endpoint> {
        match is_uneven {
            true => choose_among_uneven(among, request, &daemon.has_idle, now_ms, random),
            false => choose_among(among, request, now_ms, random),
        }
    };
    let chosen = choose(&subset, random)?;
    let chosen = match chosen.load(now_ms) < chosen.slots() || subset.len() == usable.len() {
        true => chosen,
        false => choose(&usable, random)?,
    };
    Some(chosen.listing.name.clone())
}

fn untried<'t>(
    table: &'t EndpointTable,
    request: ChoiceRequest<'t>,
    now_ms: u64,
) -> Vec<&'t Endpoint> {
    let is_untried = |endpoint: &&Endpoint| !request.tried.contains(&endpoint.listing.name);
    let is_allowed = |endpoint: &&Endpoint| {
        let zone = &endpoint.listing.zone;
        request.topology.allows(request.residency, zone)
    };
    let usable = table.usable(request.service, now_ms);
    let untried = usable.filter(is_untried).filter(is_allowed).collect();
    warm_first(table, untried, now_ms)
}

/// Leaves cold endpoints out as long as a warm one has a free slot.
fn warm_first<'t>(
    table: &EndpointTable,
    usable: Vec<&'t Endpoint>,
    now_ms: u64,
) -> Vec<&'t Endpoint> {
    if !table.cold().is_in_force() {
        return usable;
    }
    let is_warm = |endpoint: &&Endpoint| !table.cold().is_cold(&endpoint.listing, now_ms);
    let warm: Vec<&Endpoint> = usable.iter().copied().filter(is_warm).collect();
    let has_free_slot = |endpoint: &&Endpoint| endpoint.load(now_ms) < endpoint.slots();
    match warm.iter().any(has_free_slot) {
        true => warm,
        false => usable,
    }
}

fn subset_of_usable<'e>(
    usable: &[&'e Endpoint],
    own: &str,
    topology: &Topology,
) -> Vec<&'e Endpoint> {
    if usable.len() <= MIN_SUBSET_SERVICE {
        return usable.to_vec();
    }
    let within = |most: Distance| -> Vec<&'e Endpoint> {
        let is_near = |endpoint: &&&Endpoint| distance_to(endpoint, topology) <= most;
        usable.iter().filter(is_near).copied().collect()
    };
    let mut subset = within(Distance::SameZone);
    if subset.len() < SUBSET_SIZE && topology.has_regions() {
        subset = within(Distance::SameRegion);
    }
    if subset.len() < SUBSET_SIZE {
        subset = usable.to_vec();
    }
    subset.sort_by_cached_key(|endpoint| Reverse(rendezvous_weight(own, &endpoint.listing.name)));
    subset.truncate(SUBSET_SIZE);
    subset
}

fn choose_among<'e, Random>(
    usable: &[&'e Endpoint],
    request: ChoiceRequest<'_>,
    now_ms: u64,
    random: &mut Random,
) -> Option<&'e Endpoint>
where
    Random: Rng,
{
    if usable.is_empty() {
        return None;
    }
    let preferred = affinity_endpoint(usable, request.prefix);
    let count = usable.len() as u64;
    let first = usable[(random.next_u64() % count) as usize];
    let second = usable[(random.next_u64() % count) as usize];
    let candidates = [first, second].into_iter().chain(preferred);
    let cost = |endpoint: &&Endpoint| cost_of(endpoint, request.topology, preferred, now_ms);
    candidates.min_by_key(cost)
}

/// Chooses among endpoints that differ in speed or distance.
///
/// Reported loads and slowdowns lag, so equally good endpoints are drawn from at random, and a slow one keeps the share
/// of the load that fits its speed: its cost grows with the slowdown and with the requests on it.
fn choose_among_uneven<'e, Random, HasIdle>(
    usable: &[&'e Endpoint],
    request: ChoiceRequest<'_>,
    has_idle: HasIdle,
    now_ms: u64,
    random: &mut Random,
) -> Option<&'e Endpoint>
where
    Random: Rng,
    HasIdle: Fn(&Endpoint) -> bool,
{
    if usable.is_empty() {
        return None;
    }
    let preferred = affinity_endpoint(usable, request.prefix);
    let mut draw = |count: usize| (random.next_u64() % count as u64) as usize;
    let drawn: Vec<&Endpoint>;
    let compared = match usable.len() <= MAX_COMPARED_WHOLE {
        true => usable,
        false => {
            let of_two = draw_by_region(usable, request.topology, &mut draw);
            drawn = of_two.into_iter().chain(preferred).collect();
            &drawn
        }
    };
    let cost = |endpoint: &Endpoint| {
        let mut cost = penalties_of(endpoint, request.topology, preferred);
        if !has_idle(endpoint) {
            cost += 10 * NEW_CONNECTION_COST_PERCENT;
        }
        cost += FAILURE_COST_FACTOR * endpoint.recent_failure_permille(now_ms);
        let filled = (endpoint.load(now_ms) + 1) * 1_000 / endpoint.slots();
        cost + filled * endpoint.slowdown_percent(now_ms) / 100
    };
    let costs: Vec<u64> = compared.iter().map(|endpoint| cost(endpoint)).collect();
    let limit = costs.iter().min()? + 10 * EQUAL_COST_PERCENT;
    let is_equal = |at: &usize| costs[*at] <= limit;
    let equal: Vec<usize> = (0..compared.len()).filter(is_equal).collect();
    Some(compared[equal[draw(equal.len())]])
}

/// Draws two endpoints of the own region and one of the others, or two of all where that makes no difference.
fn draw_by_region<'e, Draw>(
    usable: &[&'e Endpoint],
    topology: &Topology,
    mut draw: Draw,
) -> Vec<&'e Endpoint>
where
    Draw: FnMut(usize) -> usize,
{
    let is_near = |endpoint: &&Endpoint| distance_to(endpoint, topology) <= Distance::SameRegion;
    let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = usable.iter().copied().partition(is_near);
    let (first, second) = match near.is_empty() {
        true => (&far, &[][..]),
        false => (&near, &far[..]),
    };
    let mut drawn = vec![first[draw(first.len())], first[draw(first.len())]];
    if !second.is_empty() {
        drawn.push(second[draw(second.len())]);
    }
    drawn
}

fn distance_to(endpoint: &Endpoint, topology: &Topology) -> Distance {
    topology.distance_to(&endpoint.listing.zone)
}

/// The endpoint that most likely has the prefix cached, by rendezvous hashing.
fn affinity_endpoint<'e>(usable: &[&'e Endpoint], prefix: Option<&str>) -> Option<&'e Endpoint> {
    let prefix = prefix?;
    let weight = |endpoint: &&&Endpoint| rendezvous_weight(prefix, &endpoint.listing.name);
    usable.iter().max_by_key(weight).copied()
}

/// Load in thousandths of the slots, and the penalties.
fn cost_of(
    endpoint: &Endpoint,
    topology: &Topology,
    preferred: Option<&Endpoint>,
    now_ms: u64,
) -> u64 {
    penalties_of(endpoint, topology, preferred) + endpoint.load(now_ms) * 1_000 / endpoint.slots()
}

/// The penalties for an endpoint without the cached prefix and for its distance, in thousandths of the slots.
fn penalties_of(endpoint: &Endpoint, topology: &Topology, preferred: Option<&Endpoint>) -> u64 {
    let mut cost = 10 * AFFINITY_BONUS_PERCENT;
    if preferred.is_some_and(|preferred| preferred.listing.name == endpoint.listing.name) {
        cost = 0;
    }
    let distance_percent = match distance_to(endpoint, topology) {
        Distance::SameZone => 0,
        Distance::SameRegion => CROSS_ZONE_COST_PERCENT,
        Distance::OtherRegion | Distance::Unknown => CROSS_REGION_COST_PERCENT,
    };
    cost + 10 * distance_percent
}
