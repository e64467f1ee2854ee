//! Callers: they ask for addresses, keep them for a while, and check that every answer is whole.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_net::{CallError, Clock, Connection, HttpClient, Timeouts, sleep_ms, within_ms};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HOST};
use serde::{Deserialize, Serialize};

use crate::engine::expected_token;

/// The longest time that histograms tell apart.
const LONGEST_MS: u64 = 3_600_000;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 15_000,
};
const STREAM_MS: u64 = 60_000;
/// How often a non-idempotent call is repeated under its key.
const KEY_ATTEMPTS: u32 = 4;

/// What callers do.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Daemons known from the start.
    pub daemons: Vec<Arc<str>>,
    /// Callers at once.
    pub callers: u64,
    /// How long.
    pub duration_ms: u64,
    /// Pause of a caller between two requests.
    pub pause_ms: u64,
    /// The settings node that the requests run under.
    pub node: Arc<str>,
    /// The engine service, if tokens are asked for.
    pub engine_service: Option<Arc<str>>,
    /// The plain service, if non-idempotent calls are made.
    pub plain_service: Option<Arc<str>>,
    /// Tokens of a request.
    pub max_tokens: u64,
    /// Distinguishes request keys and prompts of several programs.
    pub name: Arc<str>,
}

/// What callers saw.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CallerSummary {
    /// The settings node.
    pub node: Arc<str>,
    /// Whole streamed answers.
    pub streams_whole: u64,
    /// Streams that ended before their last line: a broken promise.
    pub streams_cut: u64,
    /// Answers with a wrong token: a broken promise.
    pub answers_wrong: u64,
    /// Non-idempotent calls answered as done.
    pub calls_done: u64,
    /// Calls whose final answer is that nobody knows.
    pub calls_unknown: u64,
    /// Requests refused as not run, for good.
    pub refused: u64,
    /// Addresses at which nobody listened, passed over.
    pub unreachable: u64,
    /// Median time of a whole answer.
    pub latency_ms_p50: u64,
    /// 99th percentile.
    pub latency_ms_p99: u64,
    /// Refusals by result code.
    pub codes: Vec<(u16, u64)>,
    /// Keys that were answered as not run.
    pub not_run_keys: Vec<Arc<str>>,
}

impl CallerSummary {
    /// The number of broken promises that callers can see by themselves.
    pub fn broken(&self) -> u64 {
        self.streams_cut + self.answers_wrong
    }
}

#[derive(Debug, Clone, Default, Deserialize)]
struct AddressList {
    addresses: Vec<Arc<str>>,
    ttl_ms: u64,
    request_key_prefix: Arc<str>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StreamLine {
    Token { index: u64, text: String },
    Done { token_count: u64 },
    Failed { code: u16 },
}

#[derive(Debug)]
struct Shared {
    options: CallerOptions,
    http: HttpClient,
    clock: Clock,
    summary: RefCell<CallerSummary>,
    latencies_ms: RefCell<Histogram<u64>>,
}

enum StreamEnd {
    Whole,
    Cut,
    Wrong,
}

/// Runs all callers to their end.
pub async fn run_callers(options: CallerOptions) -> CallerSummary {
    let summary = CallerSummary {
        node: options.node.clone(),
        ..CallerSummary::default()
    };
    let shared = Rc::new(Shared {
        http: HttpClient::open(),
        clock: Clock::start(),
        summary: RefCell::new(summary),
        latencies_ms: RefCell::new(
            Histogram::new_with_max(LONGEST_MS, 3).expect("three digits are supported"),
        ),
        options,
    });
    let callers = (0..shared.options.callers)
        .map(|number| monoio::spawn(Caller::open(&shared, number).run()));
    for caller in callers.collect::<Vec<_>>() {
        caller.await;
    }
    let mut summary = shared.summary.borrow().clone();
    let latencies_ms = shared.latencies_ms.borrow();
    summary.latency_ms_p50 = latencies_ms.value_at_quantile(0.5);
    summary.latency_ms_p99 = latencies_ms.value_at_quantile(0.99);
    summary
}

struct Caller {
    shared: Rc<Shared>,
    number: u64,
    list: AddressList,
    list_until_ms: u64,
    turn: usize,
    requests: u64,
}

impl Caller {
    fn open(shared: &Rc<Shared>, number: u64) -> Self {
        let turn = number as usize;
        Self {
            shared: shared.clone(),
            number,
            list: AddressList::default(),
            list_until_ms: 0,
            turn,
            requests: 0,
        }
    }

    async fn run(mut self) {
        // Callers do not start all at once.
        sleep_ms(self.number * 7 % 200).await;
        while self.shared.clock.now_ms() < self.shared.options.duration_ms {
            self.requests += 1;
            self.refresh_addresses().await;
            if let Some(service) = self.shared.options.engine_service.clone() {
                self.stream(&service).await;
            }
            if let Some(service) = self.shared.options.plain_service.clone() {
                self.call_once(&service).await;
            }
            sleep_ms(self.shared.options.pause_ms).await;
        }
    }

    async fn refresh_addresses(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        if now_ms < self.list_until_ms {
            return;
        }
        let known: Vec<Arc<str>> = self
            .list
            .addresses
            .iter()
            .chain(&self.shared.options.daemons)
            .cloned()
            .collect();
        for address in known {
            let path = format!(
                "/v1/addresses?caller={}-{}",
                self.shared.options.name, self.number
            );
            let request = Request::get(path)
                .body(Full::default())
                .expect("the head is valid");
            let Ok((StatusCode::OK, body)) =
                self.shared.http.call(&address, request, TIMEOUTS).await
            else {
                continue;
            };
            if let Ok(list) = serde_json::from_slice::<AddressList>(&body) {
                self.list_until_ms = now_ms + list.ttl_ms;
                self.list = list;
                return;
            }
        }
    }

    fn next_address(&mut self) -> Arc<str> {
        self.turn += 1;
        let addresses = if self.list.addresses.is_empty() {
            &self.shared.options.daemons
        } else {
            &self.list.addresses
        };
        addresses[self.turn % addresses.len()].clone()
    }

    async fn stream(&mut self, service: &str) {
        let prompt = format!(
            "{}-{}-{}",
            self.shared.options.name,
            self.number,
            self.requests % 4
        );
        let max_tokens = self.shared.options.max_tokens;
        let body = serde_json::json!({"prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let began_ms = self.shared.clock.now_ms();
        // An address at which nobody listens is passed over, as any client would.
        for _ in 0..self.list.addresses.len().max(1) {
            let address = self.next_address();
            let path = format!("/v1/services/{service}/generate");
            match self.open_stream(&address, &path, body.to_string()).await {
                Ok((sender, response)) if response.status() == StatusCode::OK => {
                    let end = read_stream(response, &prompt, max_tokens).await;
                    self.on_stream_end(end, began_ms);
                    self.shared.http.return_to_pool(&address, sender);
                    return;
                }
                Ok((_, response)) => {
                    self.on_refusal(&response);
                    return;
                }
                Err(CallError::NotSent(_)) => self.shared.summary.borrow_mut().unreachable += 1,
                Err(CallError::NoAnswer(_) | CallError::Disconnected(_)) => {
                    self.shared.summary.borrow_mut().streams_cut += 1;
                    return;
                }
            }
        }
    }

    async fn open_stream(
        &self,
        address: &str,
        path: &str,
        body: String,
    ) -> Result<(Connection, Response<Incoming>), CallError> {
        let request = Request::post(path)
            .header(HOST, address)
            .header("x-node", &*self.shared.options.node)
            .header("x-deadline-ms", "30000")
            .body(Full::new(body.into()))
            .expect("the head is valid");
        let mut sender = self.shared.http.connect(address, TIMEOUTS).await?;
        let response = self
            .shared
            .http
            .send(&mut sender, request, TIMEOUTS)
            .await?;
        Ok((sender, response))
    }

    fn on_stream_end(&self, end: StreamEnd, began_ms: u64) {
        let mut summary = self.shared.summary.borrow_mut();
        match end {
            StreamEnd::Whole => {
                summary.streams_whole += 1;
                let took_ms = self.shared.clock.now_ms() - began_ms;
                self.shared
                    .latencies_ms
                    .borrow_mut()
                    .saturating_record(took_ms.max(1));
            }
            StreamEnd::Cut => summary.streams_cut += 1,
            StreamEnd::Wrong => summary.answers_wrong += 1,
        }
    }

    fn on_refusal(&self, response: &Response<Incoming>) -> Option<u16> {
        let code = header(response, "x-result-code")?.parse().ok()?;
        let mut summary = self.shared.summary.borrow_mut();
        summary.refused += 1;
        match summary.codes.iter_mut().find(|(known, _)| *known == code) {
            Some((_, count)) => *count += 1,
            None => summary.codes.push((code, 1)),
        }
        Some(code)
    }

    /// Makes a non-idempotent call; repeats it under the same key while nobody knows.
    async fn call_once(&mut self, service: &str) {
        let prefix = &self.list.request_key_prefix;
        let key: Arc<str> = format!(
            "{prefix}.{}-{}-{}",
            self.shared.options.name, self.number, self.requests
        )
        .into();
        for _ in 0..KEY_ATTEMPTS {
            let address = self.next_address();
            let request = Request::post(format!("/v1/services/{service}/call/record"))
                .header(HOST, &*address)
                .header("x-node", &*self.shared.options.node)
                .header("x-request-key", &*key)
                .header("x-non-idempotent", "true")
                .body(Full::new(Bytes::from_static(b"{\"load\":\"cane trash\"}")))
                .expect("the head is valid");
            match self.send_call(&address, request).await {
                Some(ran) if ran == "yes" => {
                    self.shared.summary.borrow_mut().calls_done += 1;
                    return;
                }
                Some(ran) if ran == "no" => {
                    let mut summary = self.shared.summary.borrow_mut();
                    summary.refused += 1;
                    summary.not_run_keys.push(key);
                    return;
                }
                _ => sleep_ms(200).await,
            }
        }
        self.shared.summary.borrow_mut().calls_unknown += 1;
    }

    async fn send_call(&self, address: &str, request: Request<Full<Bytes>>) -> Option<String> {
        let mut sender = self.shared.http.connect(address, TIMEOUTS).await.ok()?;
        let response = self
            .shared
            .http
            .send(&mut sender, request, TIMEOUTS)
            .await
            .ok()?;
        let ran = header(&response, "x-ran");
        response.into_body().collect().await.ok()?;
        self.shared.http.return_to_pool(address, sender);
        ran
    }
}

fn header(response: &Response<Incoming>, name: &str) -> Option<String> {
    response
        .headers()
        .get(name)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

async fn read_stream(response: Response<Incoming>, prompt: &str, max_tokens: u64) -> StreamEnd {
    let collected = within_ms(STREAM_MS, response.into_body().collect()).await;
    let Some(Ok(body)) = collected else {
        return StreamEnd::Cut;
    };
    let body = body.to_bytes();
    let mut tokens = 0;
    for line in body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        match serde_json::from_slice(line) {
            Ok(StreamLine::Token { index, text })
                if index == tokens && text == expected_token(prompt, index) =>
            {
                tokens += 1;
            }
            Ok(StreamLine::Done { token_count })
                if token_count == tokens && tokens == max_tokens =>
            {
                return StreamEnd::Whole;
            }
            Ok(StreamLine::Failed { code }) => {
                eprintln!("a stream failed with code {code}");
                return StreamEnd::Cut;
            }
            _ => return StreamEnd::Wrong,
        }
    }
    StreamEnd::Cut
}
