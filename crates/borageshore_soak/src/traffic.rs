//! Requests of callers and of a trainer, and the checks of each response.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use borageshore_net::{
    CallError, Clock, HttpClient, Timeouts, response_body_error, sleep_ms, within_ms,
};
use borageshore_standins::platform::{
    CRASH_MARK, FAILING_BODY, IMPOSSIBLE_BODY, PlatformService, PlatformStore,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    keys::{CALLER_ORG, Keys, TRAINER_ORG},
    oracle::{KnownSubmission, Oracle, ReadResult, reward_id},
    regions::{BODY_MARKER, HOME_REGION, place_of, resolve_query},
};

/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Name of the trained model.
pub(crate) const MODEL: &str = "m0";
/// Ends of the ids of the items that an engine answers with 422, and with 500.
pub(crate) const IMPOSSIBLE_ITEM: &str = "-item-0";
pub(crate) const FAILING_ITEM: &str = "-item-2";
/// `max_attempts` of all routes.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// Where some items can never be done, the trainer ends every n-th step soon, with most items still to run; its items
/// generate many events.
const EARLY_END_EVERY: u64 = 3;
const EARLY_END_MS: u64 = 60;
/// Number of daemons that a caller asks for addresses before it picks any daemon.
const MAX_DIRECTORIES_ASKED: usize = 3;
/// Timeout of a call.
pub(crate) const CALL_WAIT_MS: u64 = 2_000;
/// Groups of a step, items of each group, and number of groups that the trainer waits for.
const STEP_SHAPE: (usize, usize, usize) = (6, 3, 5);
/// Time after which every daemon must return what one daemon has returned, as the platform requires.
pub(crate) const PROPAGATION_MS: u64 = 1_000;
/// Time after which the trainer abandons a step.
const STEP_TIMEOUT_MS: u64 = 8_000;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 2_500,
};

/// Shared state of all callers and the trainer.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) clock: Clock,
    pub(crate) fronts: Vec<SocketAddr>,
    pub(crate) directories: Vec<SocketAddr>,
    pub(crate) submit_to: Option<SocketAddr>,
    pub(crate) store: PlatformStore,
    pub(crate) oracle: Rc<Oracle>,
    pub(crate) keys: Rc<Keys>,
    pub(crate) until_ms: u64,
    /// Prefix of the ids of steps; one with "long" makes engines generate many events.
    pub(crate) step_name: &'static str,
    /// Whether each step contains items that can never be done, and the trainer waits for all.
    pub(crate) has_failing_items: bool,
    /// Whether callers ask for addresses from zones of several regions, and every other step is restricted to one.
    pub(crate) has_regions: bool,
    pub(crate) crashing_call_timeout_ms: u64,
    pub(crate) crashing_items: usize,
    pub(crate) has_crashing_reward: bool,
    pub(crate) has_crashing_rewards: bool,
    /// When requests stop crashing endpoints; steps accepted before are not ended.
    pub(crate) crash_until_ms: Option<u64>,
    pub(crate) calls: Cell<usize>,
    pub(crate) calls_answered: Cell<usize>,
    /// When harmless calls were refused because they were held back.
    pub(crate) harmless_held_at_ms: RefCell<Vec<u64>>,
    /// Crashing calls that were held back.
    pub(crate) crashing_calls_held: Cell<usize>,
    /// When calls with a valid key were refused as unauthorized.
    pub(crate) unauthorized_at_ms: RefCell<Vec<u64>>,
    /// Calls without success; status 0 stands for no response.
    pub(crate) unanswered: RefCell<Vec<String>>,
}

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
}

#[derive(Debug, Deserialize)]
struct ResultsPage {
    total: usize,
    results: Vec<ReadResult>,
}

impl Traffic {
    pub(crate) fn is_over(&self) -> bool {
        self.clock.now_ms() >= self.until_ms
    }

    /// Picks one of the addresses that a daemon lists, or any daemon if none of those asked returns addresses.
    async fn pick_address(&self, random: &mut Pcg64Mcg) -> SocketAddr {
        self.resolve(random).await.0
    }

    /// Picks a daemon for a request about a submission: one of its region if it is restricted to one.
    async fn pick_front(&self, id: &str, random: &mut Pcg64Mcg) -> SocketAddr {
        if !id.starts_with("home") {
            return self.pick_address(random).await;
        }
        let numbered = self.fronts.iter().enumerate();
        let at_home = numbered.filter(|(number, _)| place_of(*number).1 == HOME_REGION);
        let at_home: Vec<SocketAddr> = at_home.map(|(_, front)| *front).collect();
        pick(&at_home, random)
    }

    /// As [`Traffic::pick_address`], and whether the address came from a daemon's list.
    pub(crate) async fn resolve(&self, random: &mut Pcg64Mcg) -> (SocketAddr, bool) {
        match self.resolve_all(random).await {
            Some(listed) => (pick(&listed, random), true),
            None => (pick(&self.fronts, random), false),
        }
    }

    /// Returns the addresses listed by the first of up to [`MAX_DIRECTORIES_ASKED`] daemons that lists any.
    pub(crate) async fn resolve_all(&self, random: &mut Pcg64Mcg) -> Option<Vec<SocketAddr>> {
        let first = (random.next_u64() % self.directories.len() as u64) as usize;
        let others = self.directories.iter().cycle().skip(first);
        let asked = MAX_DIRECTORIES_ASKED.min(self.directories.len());
        let query = match self.has_regions {
            true => resolve_query(place_of(random.next_u64() as usize)),
            false => resolve_query(("z1", "r")),
        };
        for directory in others.take(asked).copied() {
            match self.listed(directory, &query).await {
                Some(listed) if !listed.is_empty() => return Some(listed),
                _ => {}
            }
        }
        None
    }

    /// Returns the addresses that a daemon lists in answer to a query.
    pub(crate) async fn listed(
        &self,
        directory: SocketAddr,
        query: &str,
    ) -> Option<Vec<SocketAddr>> {
        let request = Request::get(format!("/api/resolve?{query}"));
        let request = request.body(Full::<Bytes>::default()).expect("plain text");
        let client = HttpClient::open();
        let answer = client.call(&directory.to_string(), request, TIMEOUTS).await;
        let (status, body) = answer.ok()?;
        let listed: Addresses = serde_json::from_slice(&body).ok()?;
        (status == StatusCode::OK).then_some(listed.addresses)
    }

    /// Sends a request with the key of an organisation.
    pub(crate) async fn request_as(
        &self,
        organisation: &str,
        front: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let client = HttpClient::open();
        self.request_as_on(&client, organisation, front, (method, path), headers, body)
            .await
    }

    /// As [`Traffic::request_as`], on a connection of a client.
    pub(crate) async fn request_as_on(
        &self,
        client: &HttpClient,
        organisation: &str,
        front: SocketAddr,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let key = self.keys.header_of(organisation);
        let mut headers = headers.to_vec();
        // Daemons must ignore an organisation that the caller claims in a header.
        headers.push(("x-tenant", "another"));
        if let Some(key) = &key {
            headers.push(("authorization", key));
        }
        self.request_on(client, front, method, path, &headers, body)
            .await
    }

    /// Sends a request on a connection of the client's pool, which keeps it unless the daemon closes it.
    pub(crate) async fn request_on(
        &self,
        client: &HttpClient,
        front: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).expect("plain text");
        let address = front.to_string();
        let mut connection = client.connect(&address, TIMEOUTS).await?;
        let response = client.send(&mut connection, request, TIMEOUTS).await?;
        let (head, body) = response.into_parts();
        let collecting = http_body_util::BodyExt::collect(body);
        let body = within_ms(TIMEOUTS.first_byte_ms, collecting).await;
        if body.is_some() && method == "POST" && head.status == StatusCode::OK {
            self.check_response_headers(headers, &head.headers);
        }
        match body {
            Some(Ok(body)) => {
                client.return_to_pool(&address, connection);
                Ok((head.status, body.to_bytes()))
            }
            Some(Err(error)) => Err(response_body_error(&error)),
            None => Err(CallError::NoResponse("the response body timed out".into())),
        }
    }

    fn check_response_headers(&self, asked: &[(&str, &str)], answered: &hyper::HeaderMap) {
        let id = asked.iter().find(|(name, _)| *name == "x-request-id");
        let id = id.map_or("", |(_, id)| *id);
        let header = |name: &str| answered.get(name).and_then(|value| value.to_str().ok());
        if header("x-request-id") != Some(id) {
            self.oracle
                .record_violation(format!("call {id} got the response of another call"));
        }
        if header("x-server-stamp") != Some(&PlatformService::signature(id)) {
            self.oracle.record_violation(format!(
                "call {id} got a success without the signature of its service"
            ));
        }
    }

    /// Makes an idempotent call once, at any daemon; disconnects after the timeout of crashing calls.
    pub(crate) async fn call_once(
        &self,
        organisation: &str,
        id: &str,
        path: &str,
        body: &str,
        random: &mut Pcg64Mcg,
    ) -> Option<(StatusCode, Bytes)> {
        let front = self.pick_address(random).await;
        self.record_daemon(id, front);
        let wait = CALL_WAIT_MS.to_string();
        let headers = [("x-request-id", id), ("x-deadline-ms", &wait)];
        let body = Bytes::from(body.to_owned());
        let asking = self.request_as(organisation, front, "POST", path, &headers, body);
        let answer = within_ms(self.crashing_call_timeout_ms, asking).await;
        answer.and_then(Result::ok)
    }

    /// Records which daemon an attempt is sent to.
    pub(crate) fn record_daemon(&self, id: &str, front: SocketAddr) {
        if let Some(number) = self.fronts.iter().position(|known| *known == front) {
            let mut daemon_by_attempt = self.oracle.daemon_by_attempt.borrow_mut();
            daemon_by_attempt.insert(id.into(), number);
        }
    }

    /// Repeats until traffic ends: submits a step, reads its results, ends it, and publishes the next version.
    pub(crate) async fn run_trainer(self: Rc<Self>, mut random: Pcg64Mcg) {
        let mut step = 1;
        while !self.is_over() {
            let is_restricted = self.has_regions && step % 2 == 1;
            let is_ended_early = self.has_failing_items && step % EARLY_END_EVERY == 0;
            let id = match (is_ended_early, is_restricted) {
                (true, _) => format!("long-step-{step}"),
                (false, true) => format!("home-{}-{step}", self.step_name),
                (false, false) => format!("{}-{step}", self.step_name),
            };
            if self.submit(&id, step, &mut random).await {
                if is_ended_early {
                    sleep_ms(EARLY_END_MS).await;
                } else {
                    self.read_step_results(&id, &mut random).await;
                }
                if !self.is_kept(&id) {
                    self.end_submission(&id, &mut random).await;
                }
            }
            step += 1;
            let version = json!({ "model": MODEL, "version": step });
            let key = format!("version/{MODEL}");
            self.store
                .put("keyed.op", &key, version.to_string().as_bytes());
        }
    }

    async fn submit(&self, id: &str, step: u64, random: &mut Pcg64Mcg) -> bool {
        let (groups, size, wanted) = self.step_shape();
        let path = Self::submission_path(id);
        // A request on another route is another request, so its body differs too.
        let (reward_path, crash_mark) = match id.starts_with("home") {
            true => ("/home/reward", format!("{CRASH_MARK}-home")),
            false => ("/safe/reward", CRASH_MARK.to_owned()),
        };
        let mut bodies = BTreeMap::new();
        let mut items = Vec::new();
        for number in 0..groups * size {
            let item = format!("{id}-item-{number}");
            let is_crashing_item = (1..=self.crashing_items).contains(&number);
            let reward_body = self.reward_body(&crash_mark, &item, number);
            let reward = json!({
                "id": reward_id(&item), "host": HOST, "path": reward_path,
                "body": BASE64_STANDARD.encode(reward_body),
            });
            let item_body = match is_crashing_item {
                true => format!("{crash_mark}-{item}"),
                false if self.has_failing_items && item.ends_with(IMPOSSIBLE_ITEM) => {
                    IMPOSSIBLE_BODY.into()
                }
                false if self.has_failing_items && item.ends_with(FAILING_ITEM) => {
                    FAILING_BODY.into()
                }
                // The marker is looked for where the body must not be sent.
                false if id.starts_with("home") => format!("{BODY_MARKER}{item}"),
                false => item.clone(),
            };
            bodies.insert(item.clone(), Bytes::from(item_body.clone()));
            items.push(json!({
                "id": item, "path": path, "headers": { "X-Model": MODEL, "X-Token-Count": "10,10" },
                "body": BASE64_STANDARD.encode(&item_body), "num_tokens": 20,
                "group": format!("{id}-{}", number / size), "scorer": reward,
            }));
        }
        let names = |item: &Value| item["id"].as_str().map(str::to_owned);
        let body = json!({
            "step": step, "model": MODEL, "min_version": step.saturating_sub(1).max(1),
            "target_groups": wanted, "items": items,
        });
        let body = Bytes::from(body.to_string());
        let known = KnownSubmission {
            body: body.clone(),
            bodies,
            items: items.iter().filter_map(names).collect(),
            min_version: step.saturating_sub(1).max(1),
            is_refused: true,
            ..KnownSubmission::default()
        };
        self.oracle
            .submissions
            .borrow_mut()
            .insert(id.into(), known);
        while !self.is_over() {
            let front = match self.submit_to {
                Some(front) => front,
                None => self.pick_front(id, random).await,
            };
            let headers = [("x-request-id", id)];
            let answer = self
                .request_as(TRAINER_ORG, front, "POST", path, &headers, body.clone())
                .await;
            let status = answer.map_or(0, |(status, _)| status.as_u16());
            if self.record_submit_status(id, status) {
                return true;
            }
            sleep_ms(100).await;
        }
        false
    }

    /// The path of a submission, by its id.
    pub(crate) fn submission_path(id: &str) -> &'static str {
        match id.starts_with("home") {
            true => "/home-batch/x",
            false => "/batch/x",
        }
    }

    /// The shape of a step; the trainer waits for all groups if some items can never be done.
    fn step_shape(&self) -> (usize, usize, usize) {
        let (groups, size, wanted) = STEP_SHAPE;
        match self.has_failing_items {
            true => (groups, size, groups),
            false => (groups, size, wanted),
        }
    }

    /// Records the status of a submission attempt; returns whether the submission is accepted.
    fn record_submit_status(&self, id: &str, status: u16) -> bool {
        let mut submissions = self.oracle.submissions.borrow_mut();
        let known = submissions.get_mut(id).expect("entered before it was sent");
        let is_refusal = matches!(status, 429 | 503);
        let failed = self.oracle.not_accepted.get() + usize::from(status != 202);
        self.oracle.not_accepted.set(failed);
        known.is_refused &= is_refusal;
        if status == 202 && !known.is_accepted {
            known.accepted_at_ms = self.clock.now_ms();
        }
        known.is_accepted |= status == 202;
        known.is_accepted
    }

    async fn read_step_results(&self, id: &str, random: &mut Pcg64Mcg) {
        let deadline_ms = self.clock.now_ms() + STEP_TIMEOUT_MS;
        let (groups, size, wanted) = self.step_shape();
        let mut after = 0;
        let mut read = Vec::new();
        while self.clock.now_ms() < deadline_ms && !self.is_over() {
            let front = self.pick_front(id, random).await;
            match self.read(id, after, front, 500).await {
                Some(count) => {
                    after += count;
                    read.push((self.clock.now_ms(), after));
                }
                None => sleep_ms(100).await,
            }
            self.read_as_other_organisation(id, front).await;
            // Results that were read must stay readable.
            if random.next_u64().is_multiple_of(4) {
                self.reread(id, &read, random).await;
            }
            if after >= groups * size || self.complete_groups(id) >= wanted {
                return;
            }
        }
    }

    /// Reads a position again that was read more than [`PROPAGATION_MS`] ago: every daemon must have it.
    async fn reread(&self, id: &str, read: &[(u64, usize)], random: &mut Pcg64Mcg) {
        let now_ms = self.clock.now_ms();
        let is_settled = |(at_ms, _): &&(u64, usize)| now_ms > at_ms + PROPAGATION_MS;
        let settled = read
            .iter()
            .rev()
            .find(is_settled)
            .map_or(0, |(_, count)| *count);
        let front = self.pick_front(id, random).await;
        if settled > 0 && self.read(id, settled - 1, front, 0).await == Some(0) {
            self.oracle.record_violation(format!(
                "{id}: {front} has no result at position {}, which was read before",
                settled - 1
            ));
        }
    }

    /// Requests a submission with another organisation's key, which must not succeed.
    async fn read_as_other_organisation(&self, id: &str, front: SocketAddr) {
        if self.keys.header_of(CALLER_ORG).is_none() {
            return;
        }
        let asked = [
            ("GET", format!("/api/lots/{id}?after=0")),
            ("DELETE", format!("/api/lots/{id}")),
        ];
        for (method, path) in asked {
            let asking = self.request_as(CALLER_ORG, front, method, &path, &[], Bytes::new());
            let answer = asking.await;
            if answer.is_ok_and(|(status, _)| status == StatusCode::OK) {
                self.oracle.record_violation(format!(
                    "{id}: {method} by another organisation succeeded at {front}"
                ));
            }
        }
    }

    fn complete_groups(&self, id: &str) -> usize {
        let (groups, size, _) = STEP_SHAPE;
        let submissions = self.oracle.submissions.borrow();
        let listed: Vec<&String> = submissions[id].results.values().map(|r| &r.id).collect();
        let is_complete = |group: &usize| {
            let mut items = (group * size..(group + 1) * size).map(|n| format!("{id}-item-{n}"));
            items.all(|item| listed.contains(&&item))
        };
        (0..groups).filter(is_complete).count()
    }

    /// Reads results from a position on; returns their number, or `None` if there was no valid response.
    pub(crate) async fn read(
        &self,
        id: &str,
        after: usize,
        front: SocketAddr,
        wait_ms: u64,
    ) -> Option<usize> {
        let path = format!("/api/lots/{id}?after={after}");
        let wait = wait_ms.to_string();
        let headers = [("x-wait-ms", wait.as_str())];
        let (status, body) = self
            .request_as(TRAINER_ORG, front, "GET", &path, &headers, Bytes::new())
            .await
            .ok()?;
        if status == StatusCode::NOT_FOUND && self.must_be_known(id) {
            self.oracle
                .record_violation(format!("{id}: was accepted but is not found at {front}"));
        }
        let page: ResultsPage = serde_json::from_slice(&body).ok()?;
        let count = page.results.len();
        self.oracle
            .record_results(id, after, page.total, page.results);
        Some(count)
    }

    /// Returns whether every daemon must know a submission by now.
    fn must_be_known(&self, id: &str) -> bool {
        let submissions = self.oracle.submissions.borrow();
        self.clock.now_ms() > submissions[id].accepted_at_ms + PROPAGATION_MS
    }

    fn change_known<Change>(&self, id: &str, change: Change)
    where
        Change: FnOnce(&mut KnownSubmission),
    {
        let mut submissions = self.oracle.submissions.borrow_mut();
        change(submissions.get_mut(id).expect("entered before it was sent"));
    }

    async fn end_submission(&self, id: &str, random: &mut Pcg64Mcg) {
        while !self.is_over() {
            let front = self.pick_front(id, random).await;
            let path = format!("/api/lots/{id}");
            self.change_known(id, |known| known.is_ending = true);
            let ending = self.request_as(TRAINER_ORG, front, "DELETE", &path, &[], Bytes::new());
            let answer = ending.await;
            if answer.is_ok_and(|(status, _)| status == StatusCode::OK) {
                let now_ms = self.clock.now_ms();
                self.change_known(id, |known| known.ended_at_ms = Some(now_ms));
                return;
            }
            sleep_ms(100).await;
        }
    }
}

/// Picks a random address.
pub(crate) fn pick(addresses: &[SocketAddr], random: &mut Pcg64Mcg) -> SocketAddr {
    addresses[(random.next_u64() % addresses.len() as u64) as usize]
}
