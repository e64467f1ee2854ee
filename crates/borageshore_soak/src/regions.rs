//! The world with regions: zones, restricted routes and callers, evacuations and cold endpoints, and their checks.
//!
//! The checks go by what reached the endpoints, what the store sent to the daemons, and what daemons passed on to a fake
//! one. Bodies between the real daemons can't be seen from outside: these connect to the address that callers use, so
//! no proxy can stand between them.

use std::rc::Rc;

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{Arrival, ColdSwitches, HEALTH_PATH, max_cold_requests_per_s};
use bytes::Bytes;
use hyper::StatusCode;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::{
    daemons::DaemonProcess, faults::Targets, keys::CALLER_ORG, oracle::Oracle, traffic::Traffic,
    usage::began_unix_ms,
};

/// The zones, each with its region.
pub(crate) const ZONES: [(&str, &str); 3] = [("z1", "north"), ("z2", "north"), ("z3", "south")];
/// The region of the restricted routes.
pub(crate) const HOME_REGION: &str = "north";
/// Begins the bodies of items that are restricted to [`HOME_REGION`]; in the store, bodies are in base64.
pub(crate) const BODY_MARKER: &str = "home-only";
const BODY_MARKER_BASE64: &[u8] = b"aG9tZS1vbmx5";
/// The organisation that is restricted to [`GUEST_REGION`].
pub(crate) const GUEST_ORG: &str = "dock";
const GUEST_REGION: &str = "south";
/// Stands for the regions of a request whose route and organisation have none in common.
const NO_REGION: &str = "no region";
/// Restricted callers: name, organisation and path.
const RESTRICTED_CALLERS: [(&str, &str, &str); 3] = [
    ("home", CALLER_ORG, "/home/x"),
    ("guest", GUEST_ORG, "/safe/x"),
    (UNSERVABLE, GUEST_ORG, "/home/x"),
];
/// The caller that no endpoint may serve.
const UNSERVABLE: &str = "nowhere";
/// Name of the fake daemon.
const LISTENING_PEER: &str = "listening-peer";
const CALL_PAUSE_MS: u64 = 60;

/// Time from the acknowledgement of an evacuation until nothing may reach the zone's endpoints.
const EVACUATION_BOUND_MS: u64 = 5_000;
/// A daemon is bound by times only if it and its way to the store have been undisturbed for this long.
const IN_TOUCH_MS: u64 = 4_000;
/// A daemon that resumes from a pause may still pass on what it received before for this long.
const RESUME_GRACE_MS: u64 = 300;
/// Requests held by a link reach an endpoint together when it is released; those of this time before don't count.
const LINK_RELEASE_MS: u64 = 1_000;
/// How long an endpoint is cold after a restart.
const COLD_START_MS: u64 = 3_000;
/// Requests a second that a cold endpoint tolerates, by what factor they may be exceeded, and how many more may come.
const COLD_PER_S: usize = 4;
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: usize = 5;
/// Requests a second that crash a cold endpoint.
const COLD_CRASH_PER_S: usize = 24;

/// An evacuation of a zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evacuation {
    pub(crate) zone: &'static str,
    pub(crate) acknowledged_at_ms: u64,
    pub(crate) until_ms: u64,
}

/// A fault of the link to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct HarmedLink {
    pub(crate) endpoint: String,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

/// What one endpoint received.
struct Received {
    endpoint: String,
    zone: &'static str,
    region: &'static str,
    arrivals: Vec<Arrival>,
}

/// The zone and region of the daemon, engine or service endpoint with a number.
pub(crate) fn place_of(number: usize) -> (&'static str, &'static str) {
    ZONES[number % ZONES.len()]
}

/// A daemon's settings of its place.
pub(crate) fn settings(number: usize) -> String {
    let entry = |(zone, region): &(&str, &str)| format!("{{zone: {zone}, region: {region}}}");
    let entries: Vec<String> = ZONES.iter().map(entry).collect();
    let (zone, _) = place_of(number);
    format!(
        "zone: {zone}\nzone_regions: [{}]\ncold_excess: {COLD_EXCESS}\ncold_slack: {COLD_SLACK}",
        entries.join(", ")
    )
}

/// Adds restricted routes and organisations to the routes, and cold starts to the services.
pub(crate) fn add_to_routes(config: &mut Value) {
    let restricted = |name: &str, like: &Value| {
        let mut route = like.clone();
        route["name"] = name.into();
        route["path_prefix"] = format!("/{name}/").into();
        route["allowed_regions"] = json!([HOME_REGION]);
        route
    };
    let routes = config["routes"].as_array_mut().expect("a list");
    let (safe, batch) = (routes[0].clone(), routes[2].clone());
    routes.push(restricted("home", &safe));
    routes.push(restricted("home-batch", &batch));
    let service = |name: &str| {
        json!({
            "name": name, "health_path": HEALTH_PATH, "cold_start_s": COLD_START_MS as f64 / 1e3,
            "cold_per_s": COLD_PER_S,
        })
    };
    config["services"] = json!([service("app"), service("llm")]);
    config["tenants"] = json!([
        { "name": GUEST_ORG, "api_keys": ["dock-key"], "allowed_regions": [GUEST_REGION] },
    ]);
}

/// Puts the endpoints into their zones and makes them cold after each restart.
pub(crate) fn set_up_endpoints(targets: &Targets) {
    let switches = ColdSwitches {
        after_restart_ms: COLD_START_MS,
        crash_at_requests: COLD_CRASH_PER_S,
    };
    for daemon in &targets.daemons {
        daemon.store.look_for(BODY_MARKER_BASE64);
    }
    for (number, (engine, proxy)) in targets.engines.iter().enumerate() {
        engine.set_zone(place_of(number).0);
        engine.set_cold_switches(switches);
        engine.list(&targets.store, &proxy.address().to_string(), "ready");
    }
    for (number, (service, proxy)) in targets.services.iter().enumerate() {
        service.set_zone(place_of(number).0);
        service.set_cold_switches(switches);
        service.list(&targets.store, &proxy.address().to_string(), "ready");
    }
}

/// Records what was passed on to the fake daemon, and daemons outside the region of the restricted submissions with how often their responses from the store contained a
/// body of an item of these. Callers ask only daemons of the region about them.
pub(crate) fn record_bodies_outside(targets: &Targets) {
    let mut report = targets.oracle.regions.borrow_mut();
    let passed_on = targets.listening_peer.bodies();
    let contains = |body: &Bytes, text: &[u8]| body.windows(text.len()).any(|part| part == text);
    // Callers whose address list names the fake daemon send it calls of their own.
    let passed_on = passed_on.iter().filter(|body| contains(body, b"\"items\""));
    let is_restricted = |body: &&Bytes| contains(body, BODY_MARKER_BASE64);
    report.submissions_passed_on = (
        passed_on.clone().count(),
        passed_on.filter(is_restricted).count(),
    );
    for (number, daemon) in targets.daemons.iter().enumerate() {
        let (name, seen) = (&daemon.name, daemon.store.markers_seen());
        if place_of(number).1 != HOME_REGION && seen > 0 {
            report.bodies_outside.push(format!("{name}: {seen}"));
        }
    }
}

/// The region in which a request may be served, by its id; `None` for any.
fn allowed_region(id: &str) -> Option<&'static str> {
    let id = id.strip_prefix("reward-").unwrap_or(id);
    match id.split('-').next() {
        Some("home") => Some(HOME_REGION),
        Some("guest") => Some(GUEST_REGION),
        Some(UNSERVABLE) => Some(NO_REGION),
        _ => None,
    }
}

/// The organisation of a call, by its id.
pub(crate) fn organisation_of(id: &str) -> &'static str {
    let is_of = |caller: &&(&str, &str, &str)| id.split('-').next() == Some(caller.0);
    let caller = RESTRICTED_CALLERS.iter().find(is_of);
    caller.map_or(CALLER_ORG, |(_, organisation, _)| organisation)
}

/// The query of a caller in a zone, with the zone's region, for addresses of daemons.
pub(crate) fn resolve_query(place: (&str, &str)) -> String {
    let (zone, region) = place;
    format!("name=soak.example&region={region}&zone={zone}")
}

/// Makes calls that may be served in some regions only, until traffic ends.
pub(crate) fn spawn_restricted_callers(traffic: &Rc<Traffic>, random: &mut Pcg64Mcg) {
    for (number, _) in RESTRICTED_CALLERS.iter().enumerate() {
        let random = rand_core::SeedableRng::seed_from_u64(random.next_u64());
        monoio::spawn(run_restricted_caller(traffic.clone(), number, random));
    }
}

async fn run_restricted_caller(traffic: Rc<Traffic>, caller: usize, mut random: Pcg64Mcg) {
    let (name, organisation, path) = RESTRICTED_CALLERS[caller];
    let mut number = 0;
    while !traffic.is_over() {
        number += 1;
        let id = format!("{name}-{number}");
        let began_ms = traffic.clock.now_ms();
        let asking = traffic.call_once(organisation, &id, path, "body", &mut random);
        let status = asking.await.map(|(status, _)| status);
        record_restricted_call(&traffic, name, &id, status, began_ms);
        sleep_ms(CALL_PAUSE_MS).await;
    }
}

fn record_restricted_call(
    traffic: &Traffic,
    name: &str,
    id: &str,
    status: Option<StatusCode>,
    began_ms: u64,
) {
    let (oracle, now_ms) = (&traffic.oracle, traffic.clock.now_ms());
    let mut report = oracle.regions.borrow_mut();
    match status {
        Some(StatusCode::OK) if name == UNSERVABLE => {
            oracle.record_violation(format!("call {id} was answered but has no region"));
        }
        Some(StatusCode::OK) => report.restricted_answered += 1,
        Some(StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST | StatusCode::UNAUTHORIZED) => {
            oracle.record_violation(format!("call {id} was rejected with {status:?}"));
        }
        _ if name == UNSERVABLE && !oracle.is_disturbed(id, now_ms, IN_TOUCH_MS) => {
            report.unservable_waits_ms.push(now_ms - began_ms);
        }
        _ if name == UNSERVABLE => {}
        _ => report.restricted_unanswered += 1,
    }
}

impl Targets {
    /// Writes the heartbeat of the fake daemon, which counts as ready until its watchers suspect it.
    pub(crate) fn announce_listening_peer(&self) {
        let (zone, _) = ZONES[ZONES.len() - 1];
        let (name, incarnation) = (
            LISTENING_PEER,
            began_unix_ms(self.clock) + self.clock.now_ms(),
        );
        let heartbeat = json!({
            "name": name, "incarnation": incarnation, "zone": zone,
            "http_address": self.listening_peer.address(), "state": "Ready", "capacity_percent": 50, "holds": [],
        });
        let heartbeat = heartbeat.to_string();
        self.store.put("keyed.members", name, heartbeat.as_bytes());
    }

    /// Evacuates a zone for a while, unless one is evacuated already.
    pub(crate) async fn evacuate(&self, zone: usize, length_ms: u64) {
        let now_ms = self.clock.now_ms();
        let (zone, _) = ZONES[zone];
        let index = {
            let mut evacuations = self.oracle.evacuations.borrow_mut();
            if evacuations.iter().any(|one| one.until_ms == u64::MAX) {
                return;
            }
            evacuations.push(Evacuation {
                zone,
                acknowledged_at_ms: now_ms,
                until_ms: u64::MAX,
            });
            evacuations.len() - 1
        };
        let key = format!("evacuate/{zone}");
        self.store.put("keyed.op", &key, b"{}");
        sleep_ms(length_ms).await;
        self.oracle.evacuations.borrow_mut()[index].until_ms = self.clock.now_ms();
        self.store.put("keyed.op", &key, b"");
    }

    pub(crate) fn make_zone_cold(&self, zone: usize, for_ms: u64) {
        for (engine, _) in self.engines.iter().skip(zone).step_by(ZONES.len()) {
            engine.become_cold(for_ms);
        }
        for (service, _) in self.services.iter().skip(zone).step_by(ZONES.len()) {
            service.become_cold(for_ms);
        }
    }

    /// Records that the link to an endpoint is faulty; returns the index of the record.
    pub(crate) fn begin_link_harm(&self, endpoint: String) -> usize {
        let mut harmed = self.oracle.harmed_links.borrow_mut();
        harmed.push(HarmedLink {
            endpoint,
            from_ms: self.clock.now_ms(),
            until_ms: u64::MAX,
        });
        harmed.len() - 1
    }

    pub(crate) fn end_link_harm(&self, index: usize) {
        self.oracle.harmed_links.borrow_mut()[index].until_ms = self.clock.now_ms();
    }
}

/// Checks what the endpoints received.
pub(crate) fn check(targets: &Targets) {
    let oracle = &targets.oracle;
    for received in received(targets) {
        check_residency(oracle, &received);
        check_evacuations(oracle, &received);
        check_cold(oracle, &received);
    }
}

fn received(targets: &Targets) -> Vec<Received> {
    let engines = targets.engines.iter().map(|(engine, _)| engine.arrivals());
    let services = targets
        .services
        .iter()
        .map(|(service, _)| service.arrivals());
    let of = |kind: &str, number: usize, arrivals: Vec<Arrival>| {
        let (zone, region) = place_of(number);
        Received {
            endpoint: format!("{kind}-{number}"),
            zone,
            region,
            arrivals,
        }
    };
    let engines = engines.enumerate().map(|(n, all)| of("e", n, all));
    let services = services.enumerate().map(|(n, all)| of("s", n, all));
    engines.chain(services).collect()
}

/// Checks that no request reached an endpoint outside the regions of its route and its organisation.
fn check_residency(oracle: &Oracle, received: &Received) {
    let is_outside = |arrival: &&Arrival| {
        allowed_region(&arrival.id).is_some_and(|allowed| allowed != received.region)
    };
    let mut outside = received.arrivals.iter().filter(is_outside);
    if let Some(first) = outside.next() {
        let (id, at_ms, more) = (&first.id, first.at_ms, outside.count());
        let (endpoint, region) = (&received.endpoint, received.region);
        oracle.record_violation(format!(
            "request {id} reached {endpoint} in region {region} at {at_ms} ms, outside its regions; {more} more did"
        ));
    }
}

/// Checks that nothing reaches the endpoints of an evacuated zone after [`EVACUATION_BOUND_MS`].
fn check_evacuations(oracle: &Oracle, received: &Received) {
    let evacuations = oracle.evacuations.borrow();
    for evacuation in evacuations.iter().filter(|one| one.zone == received.zone) {
        let bound_ms = evacuation.acknowledged_at_ms + EVACUATION_BOUND_MS;
        let arrivals = received.arrivals.iter();
        let late =
            arrivals.filter(|arrival| (bound_ms..evacuation.until_ms).contains(&arrival.at_ms));
        let late: Vec<&Arrival> = late.collect();
        let mut in_touch = late.iter().filter(|arrival| {
            let is_harmed = is_link_harmed(oracle, &received.endpoint, arrival.at_ms, IN_TOUCH_MS);
            !is_harmed && is_in_touch(oracle, arrival)
        });
        if let Some(first) = in_touch.next() {
            let (id, more) = (&first.id, in_touch.count());
            let (endpoint, zone) = (&received.endpoint, received.zone);
            let after_ms = first.at_ms - evacuation.acknowledged_at_ms;
            oracle.record_violation(format!(
                "request {id} reached {endpoint} {after_ms} ms after the evacuation of {zone} was acknowledged; {more} more did"
            ));
        }
        let is_after = |arrival: &&Arrival| arrival.at_ms > evacuation.until_ms;
        let mut report = oracle.regions.borrow_mut();
        report.requests_after_return += received.arrivals.iter().filter(is_after).count();
        let text = |arrival: &&Arrival| {
            format!(
                "{} at {} ms to {}",
                arrival.id, arrival.at_ms, received.endpoint
            )
        };
        report.late_in_evacuated_zones.extend(late.iter().map(text));
    }
}

fn is_in_touch(oracle: &Oracle, arrival: &Arrival) -> bool {
    let resumed = oracle.resumed_at_ms.borrow();
    let was_resumed = resumed.iter().any(|(_, resumed_ms)| {
        (*resumed_ms..resumed_ms + RESUME_GRACE_MS).contains(&arrival.at_ms)
    });
    !was_resumed && !oracle.is_disturbed(&arrival.id, arrival.at_ms, IN_TOUCH_MS)
}

/// Checks that an endpoint gets no more than it tolerates in any second in which it is cold, from all daemons together.
fn check_cold(oracle: &Oracle, received: &Received) {
    let counts = |arrival: &&Arrival| {
        !is_link_harmed(oracle, &received.endpoint, arrival.at_ms, LINK_RELEASE_MS)
    };
    let arrivals: Vec<Arrival> = received.arrivals.iter().filter(counts).cloned().collect();
    let (count, from_ms) = max_cold_requests_per_s(&arrivals);
    let bound = (COLD_PER_S as f64 * COLD_EXCESS) as usize + COLD_SLACK;
    if count > bound {
        let endpoint = &received.endpoint;
        oracle.record_violation(format!(
            "{endpoint} was cold and got {count} requests in the second from {from_ms} ms; it may get {bound}"
        ));
    }
    let mut report = oracle.regions.borrow_mut();
    report.max_cold_requests_per_s = report.max_cold_requests_per_s.max(count);
    report.cold_requests += received
        .arrivals
        .iter()
        .filter(|arrival| arrival.is_cold)
        .count();
}

/// Whether the link to an endpoint was harmed at `at_ms` or up to `before_ms` earlier.
fn is_link_harmed(oracle: &Oracle, endpoint: &str, at_ms: u64, before_ms: u64) -> bool {
    let harmed = oracle.harmed_links.borrow();
    harmed.iter().any(|link| {
        let until_ms = link.until_ms.saturating_add(before_ms);
        link.endpoint == endpoint && (link.from_ms..until_ms).contains(&at_ms)
    })
}

/// Checks that every running daemon is listed for callers of its own zone by all running daemons after recovery.
pub(crate) async fn check_running_daemons_are_listed(traffic: &Traffic, daemons: &[DaemonProcess]) {
    for asked in daemons.iter().filter(|daemon| daemon.is_running()) {
        for (number, daemon) in daemons.iter().enumerate() {
            let query = resolve_query(place_of(number));
            let listed = traffic.listed(asked.directory, &query).await;
            if daemon.is_running() && !listed.unwrap_or_default().contains(&daemon.front) {
                let (name, asked) = (&daemon.name, &asked.name);
                traffic.oracle.record_violation(format!(
                    "{name} is not listed by {asked} for callers of its zone after recovery"
                ));
            }
        }
    }
}
