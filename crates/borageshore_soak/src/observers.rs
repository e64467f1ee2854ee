//! Other callers of the trainer's organisation: they read its submissions from any position, request bodies of items, and
//! resend submissions and ends of submissions, at any daemon.

use std::{net::SocketAddr, rc::Rc};

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{Arrival, RecordedRun, event_count};
use bytes::Bytes;
use hyper::StatusCode;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use crate::{
    faults::Targets,
    keys::TRAINER_ORG,
    oracle::{KnownSubmission, Oracle, reward_id},
    traffic::{FAILING_ITEM, IMPOSSIBLE_ITEM, MAX_ATTEMPTS, PROPAGATION_MS, Traffic, pick},
};

const OBSERVER_COUNT: usize = 3;
const PAUSE_MS: u64 = 30;
/// Observers ask for one of the newest submissions.
const NEWEST_SUBMISSIONS: usize = 4;
/// Submissions are resent only within this time after their acceptance.
const RESENT_WITHIN_MS: u64 = 4_000;
/// Time from the acknowledgement of a submission's end until none of its items may run.
const CANCELLATION_MS: u64 = 3_000;
/// A daemon is bound by times only if it and its way to the store have been undisturbed for this long.
const IN_TOUCH_MS: u64 = 4_000;
/// Runs of an item that can never be done, as a multiple of the attempts allowed.
const MAX_FAILED_RUNS: usize = 3;

/// An item that an engine answered with 422 or 500, and when.
type FailedRun = (String, u64);

/// A body that a daemon said it does not have.
#[derive(Debug, Clone)]
pub(crate) struct MissingBody {
    submission: String,
    item: String,
    front: SocketAddr,
    at_ms: u64,
    /// Whether the item might have been listed or its submission ended by then.
    is_allowed: bool,
}

pub(crate) fn spawn(traffic: &Rc<Traffic>, random: &mut Pcg64Mcg) {
    for _ in 0..OBSERVER_COUNT {
        let random = rand_core::SeedableRng::seed_from_u64(random.next_u64());
        monoio::spawn(observe(traffic.clone(), random));
    }
}

async fn observe(traffic: Rc<Traffic>, mut random: Pcg64Mcg) {
    while !traffic.is_over() {
        sleep_ms(PAUSE_MS).await;
        let Some((id, known)) = pick_submission(&traffic.oracle, &mut random) else {
            continue;
        };
        let front = pick(&traffic.fronts, &mut random);
        match random.next_u64() % 4 {
            0 => {
                let position = random.next_u64() as usize % (known.results.len() + 1);
                monoio::spawn(read_from(traffic.clone(), id, known, position, front));
            }
            1 => {
                let item = &known.items[random.next_u64() as usize % known.items.len()];
                request_body(&traffic, &id, item, &known, front).await;
            }
            2 => resend_submission(&traffic, &id, &known, front).await,
            _ => resend_end(&traffic, &id, &known, front).await,
        }
    }
}

fn pick_submission(oracle: &Oracle, random: &mut Pcg64Mcg) -> Option<(String, KnownSubmission)> {
    let submissions = oracle.submissions.borrow();
    let accepted = submissions.iter().filter(|(_, known)| known.is_accepted);
    let mut accepted: Vec<_> = accepted.collect();
    accepted.sort_by_key(|(_, known)| std::cmp::Reverse(known.accepted_at_ms));
    accepted.truncate(NEWEST_SUBMISSIONS);
    let count = accepted.len().max(1);
    let picked = accepted.get(random.next_u64() as usize % count)?;
    Some((picked.0.clone(), picked.1.clone()))
}

/// Reads from a position on, once every daemon must have what was read there before.
async fn read_from(
    traffic: Rc<Traffic>,
    id: String,
    known: KnownSubmission,
    position: usize,
    front: SocketAddr,
) {
    sleep_ms(PROPAGATION_MS).await;
    let count = traffic.read(&id, position, front, 0).await;
    if position < known.results.len() && count == Some(0) {
        traffic.oracle.record_violation(format!(
            "{id}: {front} has no result at position {position}, which was read before"
        ));
    }
    traffic.oracle.observed(count.is_some());
}

async fn request_body(
    traffic: &Traffic,
    id: &str,
    item: &str,
    known: &KnownSubmission,
    front: SocketAddr,
) {
    let path = format!("/api/items/{id}?id={item}");
    let asked_at_ms = traffic.clock.now_ms();
    let asking = traffic.request_as(TRAINER_ORG, front, "GET", &path, &[], Bytes::new());
    let answer = asking.await;
    let oracle = &traffic.oracle;
    oracle.observed(answer.is_ok());
    let Ok((status, body)) = answer else { return };
    if status == StatusCode::OK && body != known.bodies[item] {
        oracle.record_violation(format!("{id}: {front} returns wrong bytes for {item}"));
    }
    if status != StatusCode::NOT_FOUND {
        return;
    }
    let submissions = oracle.submissions.borrow();
    let known = &submissions[id];
    let is_listed = known.results.values().any(|result| result.id == item);
    let is_settled = asked_at_ms > known.accepted_at_ms + PROPAGATION_MS;
    oracle.missing_bodies.borrow_mut().push(MissingBody {
        submission: id.into(),
        item: item.into(),
        front,
        at_ms: asked_at_ms,
        is_allowed: is_listed || known.is_ending || !is_settled,
    });
}

async fn resend_submission(
    traffic: &Traffic,
    id: &str,
    known: &KnownSubmission,
    front: SocketAddr,
) {
    if traffic.clock.now_ms() > known.accepted_at_ms + RESENT_WITHIN_MS {
        return;
    }
    let path = Traffic::submission_path(id);
    let headers = [("x-request-id", id)];
    let body = known.body.clone();
    let asking = traffic.request_as(TRAINER_ORG, front, "POST", path, &headers, body);
    let answer = asking.await;
    let oracle = &traffic.oracle;
    oracle.observed(answer.is_ok());
    match answer.map(|(status, _)| status.as_u16()) {
        Ok(202 | 429 | 500..) | Err(_) => {}
        Ok(status) => oracle.record_violation(format!(
            "{id}: was accepted, but resent to {front} it was answered with {status}"
        )),
    }
}

/// Ends a submission again that its trainer has ended.
async fn resend_end(traffic: &Traffic, id: &str, known: &KnownSubmission, front: SocketAddr) {
    let now_ms = traffic.clock.now_ms();
    let is_settled = now_ms > known.accepted_at_ms + PROPAGATION_MS;
    if known.ended_at_ms.is_none() || !is_settled {
        return;
    }
    let path = format!("/api/lots/{id}");
    let asking = traffic.request_as(TRAINER_ORG, front, "DELETE", &path, &[], Bytes::new());
    let answer = asking.await;
    let oracle = &traffic.oracle;
    oracle.observed(answer.is_ok());
    match answer.map(|(status, _)| status.as_u16()) {
        Ok(200 | 429 | 500..) | Err(_) => {}
        Ok(status) => oracle.record_violation(format!(
            "{id}: its end, resent to {front}, was answered with {status}"
        )),
    }
}

/// Checks what reached the endpoints of the submissions that were observed.
pub(crate) fn check(targets: &Targets) {
    let oracle = &targets.oracle;
    let engines = targets.engines.iter();
    let items: Vec<Arrival> = engines.flat_map(|(engine, _)| engine.arrivals()).collect();
    let services = targets.services.iter();
    let rewards: Vec<Arrival> = services
        .flat_map(|(service, _)| service.arrivals())
        .collect();
    let engines = targets.engines.iter();
    let runs: Vec<RecordedRun> = engines.flat_map(|(engine, _)| engine.runs()).collect();
    let engines = targets.engines.iter();
    let failed = engines.flat_map(|(engine, _)| engine.failed_runs());
    let failed: Vec<FailedRun> = failed.collect();
    check_missing_bodies(oracle, &runs, &failed);
    for (id, known) in oracle.submissions.borrow().iter() {
        check_ended(oracle, id, known, &items, &rewards);
        check_given_up(oracle, id, known, &failed);
    }
}

/// Checks that a daemon has the body of each item that no engine has finished and that can't be given up yet.
fn check_missing_bodies(oracle: &Oracle, runs: &[RecordedRun], failed: &[FailedRun]) {
    for missing in oracle.missing_bodies.borrow().iter() {
        let MissingBody {
            submission,
            item,
            front,
            at_ms,
            ..
        } = missing;
        let is_finished = |run: &RecordedRun| {
            let last_event = run.events.last().map_or(0, |(event, _)| *event);
            run.item == *item && run.at_ms <= *at_ms && last_event == event_count(item)
        };
        let has_failed = failed
            .iter()
            .any(|(name, failed_at_ms)| name == item && failed_at_ms <= at_ms);
        if !missing.is_allowed && !has_failed && !runs.iter().any(is_finished) {
            oracle.record_violation(format!(
                "{submission}: {front} has no body of {item} at {at_ms} ms, which is not finished"
            ));
        }
    }
}

/// Checks that nothing of a submission runs after its end, though the submission was resent.
fn check_ended(
    oracle: &Oracle,
    id: &str,
    known: &KnownSubmission,
    items: &[Arrival],
    rewards: &[Arrival],
) {
    let Some(ended_at_ms) = known.ended_at_ms else {
        return;
    };
    let is_late = |arrival: &&Arrival| {
        arrival.at_ms > ended_at_ms + CANCELLATION_MS
            && !oracle.is_disturbed(&arrival.id, arrival.at_ms, IN_TOUCH_MS)
    };
    let is_of = |arrival: &&Arrival| known.items.contains(&arrival.id);
    let is_reward_of =
        |arrival: &&Arrival| known.items.iter().any(|item| reward_id(item) == arrival.id);
    let late_items = items.iter().filter(is_late).filter(is_of);
    let late_rewards = rewards.iter().filter(is_late).filter(is_reward_of);
    let mut late = late_items.chain(late_rewards);
    if let Some(first) = late.next() {
        let (item, after_ms, more) = (&first.id, first.at_ms - ended_at_ms, late.count());
        oracle.record_violation(format!(
            "{id}: {item} reached an endpoint {after_ms} ms after the submission was ended; {more} more did"
        ));
    }
}

/// Checks that items are given up only when they may be, and not run for ever.
fn check_given_up(oracle: &Oracle, id: &str, known: &KnownSubmission, failed: &[FailedRun]) {
    for item in &known.items {
        let failed = failed.iter().filter(|(name, _)| name == item);
        let (needed, allowed) = match item {
            _ if item.ends_with(IMPOSSIBLE_ITEM) => (1, MAX_FAILED_RUNS),
            _ if item.ends_with(FAILING_ITEM) => (MAX_ATTEMPTS, MAX_FAILED_RUNS * MAX_ATTEMPTS),
            _ => (usize::MAX, usize::MAX),
        };
        let runs = failed.clone().count();
        if known.given_up_before_end.contains(item) && runs < needed {
            oracle.record_violation(format!("{id}: {item} was given up after {runs} runs"));
        }
        let in_touch = failed.filter(|(_, at_ms)| !oracle.is_disturbed(item, *at_ms, IN_TOUCH_MS));
        let runs = in_touch.count();
        if runs > allowed {
            oracle.record_violation(format!(
                "{id}: {item}, which always fails, ran {runs} times"
            ));
        }
    }
}
