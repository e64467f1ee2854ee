//! Callers and a trainer, who check every answer.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use borageshore_net::{
    CallError, Clock, HttpClient, Timeouts, response_body_error, sleep_ms, within_ms,
};
use borageshore_standins::platform::{CRASH_MARK, PlatformService, PlatformStore};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    keys::{CALLERS, Keys, TRAINERS},
    oracle::{KnownSubmission, Oracle, ReadResult, reward_id},
};

/// The host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// The model that is trained.
pub(crate) const MODEL: &str = "m0";
/// How many daemons a caller asks for addresses before it takes any.
const DIRECTORIES_ASKED: usize = 3;
/// How long a caller waits for a call.
pub(crate) const CALL_WAIT_MS: u64 = 2_000;
/// Groups of a step, the items of each, and how many groups the trainer waits for.
const STEP: (usize, usize, usize) = (6, 3, 5);
/// What one daemon has shown all daemons show after this time; the platform says so.
const SHOWN_BY_ALL_MS: u64 = 1_000;
/// The trainer gives a step up after this time.
const STEP_MS: u64 = 8_000;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 2_500,
};

/// What traffic needs of the rest.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) clock: Clock,
    pub(crate) fronts: Vec<SocketAddr>,
    pub(crate) directories: Vec<SocketAddr>,
    pub(crate) submit_at: Option<SocketAddr>,
    pub(crate) store: PlatformStore,
    pub(crate) oracle: Rc<Oracle>,
    pub(crate) keys: Rc<Keys>,
    pub(crate) until_ms: u64,
    /// What the names of steps begin with; "long" asks for long texts.
    pub(crate) step_name: &'static str,
    pub(crate) crashing_wait_ms: u64,
    pub(crate) has_crashing_item: bool,
    pub(crate) has_crashing_reward: bool,
    pub(crate) calls: Cell<usize>,
    pub(crate) calls_answered: Cell<usize>,
    /// When proper calls were told that they are held back as ones that crash endpoints.
    pub(crate) held_at_ms: RefCell<Vec<u64>>,
    /// Calls that crash endpoints and were refused for it.
    pub(crate) crashing_calls_held: Cell<usize>,
    /// When calls with a key in force were refused as nobody's.
    pub(crate) unauthorized_at_ms: RefCell<Vec<u64>>,
    /// Calls without success; status 0 stands for no answer.
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

    /// One of the addresses that a daemon gives out, after asking three of them at the most; any where
    /// none answers.
    async fn address(&self, random: &mut Pcg64Mcg) -> SocketAddr {
        self.resolve(random).await.0
    }

    /// As [`Traffic::address`], and whether a daemon gave the address out.
    pub(crate) async fn resolve(&self, random: &mut Pcg64Mcg) -> (SocketAddr, bool) {
        match self.resolve_all(random).await {
            Some(listed) => (pick(&listed, random), true),
            None => (pick(&self.fronts, random), false),
        }
    }

    /// The addresses that one of three different daemons gives out.
    pub(crate) async fn resolve_all(&self, random: &mut Pcg64Mcg) -> Option<Vec<SocketAddr>> {
        let first = (random.next_u64() % self.directories.len() as u64) as usize;
        let others = self.directories.iter().cycle().skip(first);
        let asked = DIRECTORIES_ASKED.min(self.directories.len());
        for directory in others.take(asked).copied() {
            match self.listed(directory).await {
                Some(listed) if !listed.is_empty() => return Some(listed),
                _ => {}
            }
        }
        None
    }

    /// The addresses that a daemon gives out.
    pub(crate) async fn listed(&self, directory: SocketAddr) -> Option<Vec<SocketAddr>> {
        let request = Request::get("/api/resolve?name=soak.example&region=r&zone=z1");
        let request = request.body(Full::<Bytes>::default()).expect("plain text");
        let client = HttpClient::open();
        let answer = client.call(&directory.to_string(), request, TIMEOUTS).await;
        let (status, body) = answer.ok()?;
        let listed: Addresses = serde_json::from_slice(&body).ok()?;
        (status == StatusCode::OK).then_some(listed.addresses)
    }

    /// Makes a request in the name of an organisation.
    async fn ask(
        &self,
        organisation: &str,
        front: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let client = HttpClient::open();
        self.ask_on(&client, organisation, front, (method, path), headers, body)
            .await
    }

    /// As [`Traffic::ask`], on a connection of a client.
    pub(crate) async fn ask_on(
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
        // What a caller says of itself counts for nothing.
        headers.push(("x-tenant", "another"));
        if let Some(key) = &key {
            headers.push(("authorization", key));
        }
        self.ask_with(client, front, method, path, &headers, body)
            .await
    }

    /// Makes a request on a connection of a client, which keeps it unless the daemon closes it.
    pub(crate) async fn ask_with(
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
            self.check_answer(headers, &head.headers);
        }
        match body {
            Some(Ok(body)) => {
                client.return_to_pool(&address, connection);
                Ok((head.status, body.to_bytes()))
            }
            Some(Err(error)) => Err(response_body_error(&error)),
            None => Err(CallError::NoResponse("the body took too long".into())),
        }
    }

    fn check_answer(&self, asked: &[(&str, &str)], answered: &hyper::HeaderMap) {
        let id = asked.iter().find(|(name, _)| *name == "x-request-id");
        let id = id.map_or("", |(_, id)| *id);
        let header = |name: &str| answered.get(name).and_then(|value| value.to_str().ok());
        if header("x-request-id") != Some(id) {
            self.oracle
                .broken(format!("call {id} got the answer to another one"));
        }
        if header("x-server-stamp") != Some(&PlatformService::stamp(id)) {
            self.oracle
                .broken(format!("call {id} got a success without its signature"));
        }
    }

    /// Makes an idempotent call once, at any daemon, and leaves when it has waited for long enough.
    pub(crate) async fn call_once(
        &self,
        id: &str,
        path: &str,
        body: &str,
        random: &mut Pcg64Mcg,
    ) -> Option<(StatusCode, Bytes)> {
        let front = self.address(random).await;
        if let Some(number) = self.fronts.iter().position(|known| *known == front) {
            self.oracle.asked_at.borrow_mut().insert(id.into(), number);
        }
        let wait = CALL_WAIT_MS.to_string();
        let headers = [("x-request-id", id), ("x-deadline-ms", &wait)];
        let body = Bytes::from(body.to_owned());
        let asking = self.ask(CALLERS, front, "POST", path, &headers, body);
        let answer = within_ms(self.crashing_wait_ms, asking).await;
        answer.and_then(Result::ok)
    }

    /// Trains: submits a step, reads it, ends it, names the next version.
    pub(crate) async fn train(self: Rc<Self>, mut random: Pcg64Mcg) {
        let mut step = 1;
        while !self.is_over() {
            let id = format!("{}-{step}", self.step_name);
            if self.submit(&id, step, &mut random).await {
                self.read_step(&id, &mut random).await;
                self.end(&id, &mut random).await;
            }
            step += 1;
            let version = json!({ "model": MODEL, "version": step });
            let key = format!("version/{MODEL}");
            self.store
                .put("keyed.op", &key, version.to_string().as_bytes());
        }
    }

    async fn submit(&self, id: &str, step: u64, random: &mut Pcg64Mcg) -> bool {
        let (groups, size, wanted) = STEP;
        let mut items = Vec::new();
        for number in 0..groups * size {
            let item = format!("{id}-item-{number}");
            // Two items of the first group, which the trainer does not wait for.
            let is_crashing_reward = self.has_crashing_reward && number == 0;
            let is_crashing_item = self.has_crashing_item && number == 1;
            let reward_body = match is_crashing_reward {
                true => BASE64_STANDARD.encode(format!("{CRASH_MARK}-reward")),
                false => String::new(),
            };
            let reward = json!({
                "id": reward_id(&item), "host": HOST, "path": "/safe/reward", "body": reward_body,
            });
            let item_body = match is_crashing_item {
                true => format!("{CRASH_MARK}-item"),
                false => item.clone(),
            };
            items.push(json!({
                "id": item, "path": "/batch/x", "headers": { "X-Model": MODEL, "X-Token-Count": "10,10" },
                "body": BASE64_STANDARD.encode(&item_body), "num_tokens": 20,
                "group": format!("{id}-{}", number / size), "scorer": reward,
            }));
        }
        let names = |item: &Value| item["id"].as_str().map(str::to_owned);
        let known = KnownSubmission {
            items: items.iter().filter_map(names).collect(),
            min_version: step.saturating_sub(1).max(1),
            is_refused: true,
            ..KnownSubmission::default()
        };
        self.oracle
            .submissions
            .borrow_mut()
            .insert(id.into(), known);
        let body = json!({
            "step": step, "model": MODEL, "min_version": step.saturating_sub(1).max(1),
            "target_groups": wanted, "items": items,
        });
        let body = Bytes::from(body.to_string());
        while !self.is_over() {
            let front = match self.submit_at {
                Some(front) => front,
                None => self.address(random).await,
            };
            let headers = [("x-request-id", id)];
            let answer = self
                .ask(TRAINERS, front, "POST", "/batch/x", &headers, body.clone())
                .await;
            let status = answer.map_or(0, |(status, _)| status.as_u16());
            if self.note_submitted(id, status) {
                return true;
            }
            sleep_ms(100).await;
        }
        false
    }

    /// Takes over the answer to a submission; says whether it was accepted.
    fn note_submitted(&self, id: &str, status: u16) -> bool {
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

    async fn read_step(&self, id: &str, random: &mut Pcg64Mcg) {
        let give_up_ms = self.clock.now_ms() + STEP_MS;
        let (groups, size, wanted) = STEP;
        let mut after = 0;
        let mut read = Vec::new();
        while self.clock.now_ms() < give_up_ms && !self.is_over() {
            let front = self.address(random).await;
            match self.read(id, after, front, 500).await {
                Some(count) => {
                    after += count;
                    read.push((self.clock.now_ms(), after));
                }
                None => sleep_ms(100).await,
            }
            self.read_as_another(id, front).await;
            // A reader goes back now and then, and must find what it has read.
            if random.next_u64().is_multiple_of(4) {
                self.read_again(id, &read, random).await;
            }
            if after >= groups * size || self.complete_groups(id) >= wanted {
                return;
            }
        }
    }

    /// Asks some daemon for a position that was read over a second ago: none may be without it by then.
    async fn read_again(&self, id: &str, read: &[(u64, usize)], random: &mut Pcg64Mcg) {
        let now_ms = self.clock.now_ms();
        let is_settled = |(at_ms, _): &&(u64, usize)| now_ms > at_ms + SHOWN_BY_ALL_MS;
        let settled = read
            .iter()
            .rev()
            .find(is_settled)
            .map_or(0, |(_, count)| *count);
        let front = self.address(random).await;
        if settled > 0 && self.read(id, settled - 1, front, 0).await == Some(0) {
            self.oracle.broken(format!(
                "{id}: {front} has nothing at {}, which was read",
                settled - 1
            ));
        }
    }

    /// Asks for a submission with another organisation's key: there is no such thing.
    async fn read_as_another(&self, id: &str, front: SocketAddr) {
        if self.keys.header_of(CALLERS).is_none() {
            return;
        }
        let asked = [
            ("GET", format!("/api/lots/{id}?after=0")),
            ("DELETE", format!("/api/lots/{id}")),
        ];
        for (method, path) in asked {
            let asking = self.ask(CALLERS, front, method, &path, &[], Bytes::new());
            let answer = asking.await;
            if answer.is_ok_and(|(status, _)| status == StatusCode::OK) {
                self.oracle.broken(format!(
                    "{id}: {method} by another organisation is answered at {front}"
                ));
            }
        }
    }

    fn complete_groups(&self, id: &str) -> usize {
        let (groups, size, _) = STEP;
        let submissions = self.oracle.submissions.borrow();
        let listed: Vec<&String> = submissions[id].results.values().map(|r| &r.id).collect();
        let is_complete = |group: &usize| {
            let mut items = (group * size..(group + 1) * size).map(|n| format!("{id}-item-{n}"));
            items.all(|item| listed.contains(&&item))
        };
        (0..groups).filter(is_complete).count()
    }

    /// Reads results from a position on; returns how many came.
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
            .ask(TRAINERS, front, "GET", &path, &headers, Bytes::new())
            .await
            .ok()?;
        if status == StatusCode::NOT_FOUND && self.must_be_known(id) {
            self.oracle
                .broken(format!("{id}: accepted and not found at {front}"));
        }
        let page: ResultsPage = serde_json::from_slice(&body).ok()?;
        let count = page.results.len();
        self.oracle.on_results(id, after, page.total, page.results);
        Some(count)
    }

    /// Says whether every daemon must know a submission by now.
    fn must_be_known(&self, id: &str) -> bool {
        let submissions = self.oracle.submissions.borrow();
        self.clock.now_ms() > submissions[id].accepted_at_ms + SHOWN_BY_ALL_MS
    }

    async fn end(&self, id: &str, random: &mut Pcg64Mcg) {
        while !self.is_over() {
            let front = self.address(random).await;
            let path = format!("/api/lots/{id}");
            let ending = self.ask(TRAINERS, front, "DELETE", &path, &[], Bytes::new());
            let answer = ending.await;
            if answer.is_ok_and(|(status, _)| status == StatusCode::OK) {
                return;
            }
            sleep_ms(100).await;
        }
    }
}

/// Draws one of some addresses.
pub(crate) fn pick(addresses: &[SocketAddr], random: &mut Pcg64Mcg) -> SocketAddr {
    addresses[(random.next_u64() % addresses.len() as u64) as usize]
}
