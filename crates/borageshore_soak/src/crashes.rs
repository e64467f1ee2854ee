//! Requests that crash the endpoints that run them: repeats such requests, restarts the endpoints, and checks the
//! bound on the endpoints that one request may crash.

use std::{collections::BTreeMap, rc::Rc};

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{
    CRASH_MARK, CrashingRequest, PlatformEngine, PlatformService,
};
use hyper::StatusCode;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use crate::{calls::is_held, faults::Targets, keys::CALLER_ORG, oracle::Oracle, traffic::Traffic};

/// Time from an endpoint's crash to its restart.
const RESTART_DELAY_MS: u64 = 1_000;
/// Mean pause between two repeats of a crashing call.
const MEAN_REPEAT_PAUSE_MS: u64 = 500;
/// Number of crashes after which daemons must hold a request back.
const CRASHES_UNTIL_KNOWN: usize = 3;
/// Time for a crash to become known to all daemons that are not disturbed.
const PROPAGATION_MS: u64 = 3_000;
/// Maximum number of times that a request may reach endpoints after that.
const MAX_LATER_REQUESTS: usize = 3;

/// Minimum time between two sends of an item under which engines keep crashing, once [`CRASHES_UNTIL_KNOWN`] are known.
const ITEM_INTERVAL_MS: u64 = 2_000;

/// A period in which a daemon, or all of them, were faulty or had no access to the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Disturbance {
    /// Index of the daemon; all if `None`.
    pub(crate) daemon: Option<usize>,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

impl Traffic {
    /// The body of the reward call of an item with this number in its step; marked if it crashes endpoints. A single
    /// one is in the first group, which the trainer does not need to finish a step.
    pub(crate) fn reward_body(&self, crash_mark: &str, item: &str, number: usize) -> String {
        match (self.has_crashing_reward, self.has_crashing_rewards) {
            (true, _) if number == 0 => format!("{crash_mark}-reward"),
            (_, true) => format!("{crash_mark}-{item}"),
            _ => String::new(),
        }
    }

    /// Whether a step was accepted while requests crashed endpoints, so that its items stay owed.
    pub(crate) fn is_kept(&self, id: &str) -> bool {
        let accepted_at_ms = self.oracle.submissions.borrow()[id].accepted_at_ms;
        self.crash_until_ms
            .is_some_and(|until_ms| accepted_at_ms < until_ms)
    }
}

/// Restarts an endpoint of the plain service after each crash, as a new instance.
pub(crate) async fn restart_service_after_crashes(targets: Rc<Targets>, number: usize) {
    let (service, proxy) = &targets.services[number];
    let mut starts = 1;
    loop {
        service.wait_for_crash().await;
        proxy.close();
        sleep_ms(RESTART_DELAY_MS).await;
        service.unlist(&targets.store);
        starts += 1;
        service.restart_after_crash(&format!("s-{number}-{starts}"));
        match proxy.reopen() {
            Ok(()) => service.list(&targets.store, &proxy.address().to_string(), "ready"),
            Err(error) => targets
                .oracle
                .record_violation(format!("s-{number} cannot be restarted: {error}")),
        }
    }
}

/// Restarts an engine after each crash, under the same id.
pub(crate) async fn restart_engine_after_crashes(targets: Rc<Targets>, number: usize) {
    let (engine, proxy) = &targets.engines[number];
    loop {
        engine.wait_for_crash().await;
        proxy.close();
        sleep_ms(RESTART_DELAY_MS).await;
        engine.restart_after_crash();
        match proxy.reopen() {
            Ok(()) => engine.list(&targets.store, &proxy.address().to_string(), "ready"),
            Err(error) => targets
                .oracle
                .record_violation(format!("e-{number} cannot be restarted: {error}")),
        }
    }
}

/// Repeats one crashing call at random daemons, as a caller would that does not know why it fails.
pub(crate) async fn run_crashing_caller(traffic: Rc<Traffic>, number: usize, mut random: Pcg64Mcg) {
    let body = format!("{CRASH_MARK}-{number}");
    let mut repeats = 0;
    let mut was_held = false;
    while !traffic.is_over() {
        repeats += 1;
        let id = format!("{body}-{repeats}");
        let asking = traffic.call_once(CALLER_ORG, &id, "/safe/crash", &body, &mut random);
        if let Some((status, body)) = asking.await {
            if status == StatusCode::OK {
                traffic.oracle.record_violation(format!(
                    "call {id} crashes its endpoints but was answered with success"
                ));
            }
            if is_held(&body) && !std::mem::replace(&mut was_held, true) {
                let held = traffic.crashing_calls_held.get();
                traffic.crashing_calls_held.set(held + 1);
            }
        }
        sleep_ms(MEAN_REPEAT_PAUSE_MS / 2 + random.next_u64() % MEAN_REPEAT_PAUSE_MS).await;
    }
}

/// Returns all crashing requests that reached endpoints.
pub(crate) fn crashing_requests(
    services: &[PlatformService],
    engines: &[PlatformEngine],
) -> Vec<CrashingRequest> {
    let at_services = services.iter().flat_map(PlatformService::crashing_requests);
    let at_engines = engines.iter().flat_map(PlatformEngine::crashing_requests);
    at_services.chain(at_engines).collect()
}

/// Checks that a request that crashed [`CRASHES_UNTIL_KNOWN`] endpoints reaches at most [`MAX_LATER_REQUESTS`] more.
pub(crate) fn check_crash_bound(
    oracle: &Oracle,
    requests: Vec<CrashingRequest>,
    crash_after_ms: u64,
) {
    for (body, requests) in group_by_body(requests) {
        let mut crashes = requests.iter().filter(|request| request.has_crashed);
        let Some(third) = crashes.nth(CRASHES_UNTIL_KNOWN - 1) else {
            continue;
        };
        let known_at_ms = third.at_ms + crash_after_ms + PROPAGATION_MS;
        let counts = |request: &&CrashingRequest| {
            request.at_ms > known_at_ms
                && !oracle.is_disturbed(&request.id, request.at_ms, PROPAGATION_MS)
        };
        let later = requests.iter().filter(counts).count();
        if later > MAX_LATER_REQUESTS {
            let ended = requests
                .iter()
                .filter(|request| request.has_crashed)
                .count();
            oracle.record_violation(format!(
                "{body}: sent {later} more times after it had crashed three endpoints; it crashed {ended} in total"
            ));
        }
    }
}

/// Checks that an item under which engines keep crashing is sent at most once in [`ITEM_INTERVAL_MS`].
pub(crate) fn check_item_pace(oracle: &Oracle, requests: Vec<CrashingRequest>) {
    for (body, requests) in group_by_body(requests) {
        let mut crashes = requests.iter().filter(|request| request.has_crashed);
        let Some(third) = crashes.nth(CRASHES_UNTIL_KNOWN - 1) else {
            continue;
        };
        let known_at_ms = third.at_ms + PROPAGATION_MS;
        let counts = |request: &&CrashingRequest| {
            request.at_ms > known_at_ms
                && !oracle.is_disturbed(&request.id, request.at_ms, PROPAGATION_MS)
        };
        let later: Vec<u64> = requests.iter().filter(counts).map(|r| r.at_ms).collect();
        let lasted_ms = later.last().map_or(0, |last_ms| last_ms - known_at_ms);
        let allowed = 1 + lasted_ms / ITEM_INTERVAL_MS;
        if later.len() as u64 > allowed {
            oracle.record_violation(format!(
                "{body}: sent {} times in the last {lasted_ms} ms in which engines crashed under it, {allowed} are allowed",
                later.len()
            ));
        }
    }
}

/// Checks at `due_ms` that each item which was accepted while engines crashed has its result.
pub(crate) async fn check_owed_items(traffic: Rc<Traffic>, due_ms: u64) {
    sleep_ms(due_ms.saturating_sub(traffic.clock.now_ms())).await;
    let kept: Vec<String> = {
        let submissions = traffic.oracle.submissions.borrow();
        let accepted = submissions.iter().filter(|(_, known)| known.is_accepted);
        let ids = accepted.map(|(id, _)| id.clone());
        ids.filter(|id| traffic.is_kept(id)).collect()
    };
    for id in kept {
        for front in &traffic.fronts {
            let after = traffic.oracle.submissions.borrow()[&id].results.len();
            traffic.read(&id, after, *front, 0).await;
        }
        let submissions = traffic.oracle.submissions.borrow();
        let known = &submissions[&id];
        let done = known
            .results
            .values()
            .filter(|result| result.state == "done");
        let done: Vec<&str> = done.map(|result| &*result.id).collect();
        let is_missing = |item: &&String| !done.contains(&item.as_str());
        let missing: Vec<&String> = known.items.iter().filter(is_missing).collect();
        if !missing.is_empty() {
            traffic.oracle.record_violation(format!(
                "{id}: {} of {} items have no result although no engine crashed for a while: {missing:?}",
                missing.len(),
                known.items.len()
            ));
        }
    }
}

fn group_by_body(all: Vec<CrashingRequest>) -> BTreeMap<String, Vec<CrashingRequest>> {
    let mut requests: BTreeMap<String, Vec<CrashingRequest>> = BTreeMap::new();
    for request in all {
        requests
            .entry(request.body.clone())
            .or_default()
            .push(request);
    }
    for requests in requests.values_mut() {
        requests.sort_by_key(|request| request.at_ms);
    }
    requests
}
