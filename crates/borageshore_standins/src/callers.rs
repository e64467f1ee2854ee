//! Callers that generate load: they fetch daemon addresses, cache them for their TTL and verify every
//! response.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_net::{
    CallError, Clock, Connection, HttpClient, ReceivedBody, Timeouts, sleep_ms, within_ms,
};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, header::HOST};
use serde::{Deserialize, Serialize};

use crate::engine::expected_token;

/// Upper bound of the latency histogram; longer times saturate.
const MAX_RECORDABLE_MS: u64 = 3_600_000;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 15_000,
};
const STREAM_TIMEOUT_MS: u64 = 60_000;
/// Maximum attempts of a non-idempotent call under one request key.
const MAX_ATTEMPTS_PER_KEY: u32 = 4;

/// Configuration of [`run_callers`].
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Addresses of daemons to start with.
    pub daemons: Vec<Arc<str>>,
    /// Number of concurrent callers.
    pub callers: u64,
    /// How long callers send requests.
    pub duration_ms: u64,
    /// Pause of each caller between two rounds of requests.
    pub pause_ms: u64,
    /// The settings node that the requests run under.
    pub node: Arc<str>,
    /// The engine service to stream tokens from, if any.
    pub engine_service: Option<Arc<str>>,
    /// The plain service to send non-idempotent calls to, if any.
    pub plain_service: Option<Arc<str>>,
    /// Tokens to request for each stream.
    pub max_tokens: u64,
    /// Distinguishes the request keys and prompts of concurrent processes.
    pub name: Arc<str>,
}

/// Results of all callers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CallerSummary {
    /// The settings node.
    pub node: Arc<str>,
    /// Streams that were received completely.
    pub streams_whole: u64,
    /// Streams that ended before their last line; each is a violation.
    pub streams_cut: u64,
    /// Streams with an unexpected token or line; each is a violation.
    pub answers_wrong: u64,
    /// Non-idempotent calls that were reported as run.
    pub calls_done: u64,
    /// Non-idempotent calls whose outcome was unknown after the last attempt.
    pub calls_unknown: u64,
    /// Requests that were refused without being run.
    pub refused: u64,
    /// Addresses that could not be reached; the next one was tried.
    pub unreachable: u64,
    /// Median latency of a complete stream.
    pub latency_ms_p50: u64,
    /// 99th percentile of that latency.
    pub latency_ms_p99: u64,
    /// Refusals by result code.
    pub codes: Vec<(u16, u64)>,
    /// Request keys of calls that were reported as not run.
    pub not_run_keys: Vec<Arc<str>>,
}

impl CallerSummary {
    /// The number of violations that callers can detect.
    pub fn violation_count(&self) -> u64 {
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

enum StreamOutcome {
    Complete,
    Truncated,
    Mismatched,
}

/// Runs all callers for the configured duration.
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
            Histogram::new_with_max(MAX_RECORDABLE_MS, 3).expect("three digits are supported"),
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
    address_list: AddressList,
    list_expires_at_ms: u64,
    address_index: usize,
    requests: u64,
}

impl Caller {
    fn open(shared: &Rc<Shared>, number: u64) -> Self {
        let address_index = number as usize;
        Self {
            shared: shared.clone(),
            number,
            address_list: AddressList::default(),
            list_expires_at_ms: 0,
            address_index,
            requests: 0,
        }
    }

    async fn run(mut self) {
        // Staggers the starts of the callers.
        sleep_ms(self.number * 7 % 200).await;
        while self.shared.clock.now_ms() < self.shared.options.duration_ms {
            self.requests += 1;
            self.refresh_addresses().await;
            if let Some(service) = self.shared.options.engine_service.clone() {
                self.stream(&service).await;
            }
            if let Some(service) = self.shared.options.plain_service.clone() {
                self.call_non_idempotent(&service).await;
            }
            sleep_ms(self.shared.options.pause_ms).await;
        }
    }

    async fn refresh_addresses(&mut self) {
        let now_ms = self.shared.clock.now_ms();
        if now_ms < self.list_expires_at_ms {
            return;
        }
        let candidates: Vec<Arc<str>> = self
            .address_list
            .addresses
            .iter()
            .chain(&self.shared.options.daemons)
            .cloned()
            .collect();
        for address in candidates {
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
            if let Ok(address_list) = serde_json::from_slice::<AddressList>(&body) {
                self.list_expires_at_ms = now_ms + address_list.ttl_ms;
                self.address_list = address_list;
                return;
            }
        }
    }

    fn next_address(&mut self) -> Arc<str> {
        self.address_index += 1;
        let addresses = if self.address_list.addresses.is_empty() {
            &self.shared.options.daemons
        } else {
            &self.address_list.addresses
        };
        addresses[self.address_index % addresses.len()].clone()
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
        let started_at_ms = self.shared.clock.now_ms();
        // Tries the next address if a daemon cannot be reached.
        for _ in 0..self.address_list.addresses.len().max(1) {
            let address = self.next_address();
            let path = format!("/v1/services/{service}/generate");
            match self.open_stream(&address, &path, body.to_string()).await {
                Ok((sender, response)) if response.status() == StatusCode::OK => {
                    let outcome = read_stream(response, &prompt, max_tokens).await;
                    self.record_stream(outcome, started_at_ms);
                    self.shared.http.return_to_pool(&address, sender);
                    return;
                }
                Ok((_, response)) => {
                    self.record_refusal(&response);
                    return;
                }
                Err(CallError::NotSent(_)) => self.shared.summary.borrow_mut().unreachable += 1,
                Err(CallError::NoResponse(_) | CallError::Disconnected(_)) => {
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
    ) -> Result<(Connection, Response<ReceivedBody>), CallError> {
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

    fn record_stream(&self, outcome: StreamOutcome, started_at_ms: u64) {
        let mut summary = self.shared.summary.borrow_mut();
        match outcome {
            StreamOutcome::Complete => {
                summary.streams_whole += 1;
                let latency_ms = self.shared.clock.now_ms() - started_at_ms;
                self.shared
                    .latencies_ms
                    .borrow_mut()
                    .saturating_record(latency_ms.max(1));
            }
            StreamOutcome::Truncated => summary.streams_cut += 1,
            StreamOutcome::Mismatched => summary.answers_wrong += 1,
        }
    }

    fn record_refusal(&self, response: &Response<ReceivedBody>) -> Option<u16> {
        let code = header(response, "x-result-code")?.parse().ok()?;
        let mut summary = self.shared.summary.borrow_mut();
        summary.refused += 1;
        match summary.codes.iter_mut().find(|(known, _)| *known == code) {
            Some((_, count)) => *count += 1,
            None => summary.codes.push((code, 1)),
        }
        Some(code)
    }

    /// Sends a non-idempotent call; retries under the same request key while the outcome is
    /// unknown.
    async fn call_non_idempotent(&mut self, service: &str) {
        let prefix = &self.address_list.request_key_prefix;
        let key: Arc<str> = format!(
            "{prefix}.{}-{}-{}",
            self.shared.options.name, self.number, self.requests
        )
        .into();
        for _ in 0..MAX_ATTEMPTS_PER_KEY {
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

fn header(response: &Response<ReceivedBody>, name: &str) -> Option<String> {
    response
        .headers()
        .get(name)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

async fn read_stream(
    response: Response<ReceivedBody>,
    prompt: &str,
    max_tokens: u64,
) -> StreamOutcome {
    let collected = within_ms(STREAM_TIMEOUT_MS, response.into_body().collect()).await;
    let Some(Ok(body)) = collected else {
        return StreamOutcome::Truncated;
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
                return StreamOutcome::Complete;
            }
            Ok(StreamLine::Failed { code }) => {
                eprintln!("a stream failed with code {code}");
                return StreamOutcome::Truncated;
            }
            _ => return StreamOutcome::Mismatched,
        }
    }
    StreamOutcome::Truncated
}
