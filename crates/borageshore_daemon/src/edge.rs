//! The interface to callers, trainers and operators over HTTP.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_api::FaultBody;
use borageshore_base::{Fault, ResultCode};
use borageshore_net::{
    BodyFault, EdgeRequest, EdgeResponse, Handler, ServerLimits, full_body, read_body, stream_body,
};
use borageshore_routing::{Idempotent, Outcome, Workload};
use borageshore_settings::NodeKind;
use bytes::Bytes;
use hyper::{
    Method, Response,
    header::{HeaderMap, HeaderValue},
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    addresses, admin,
    calls::{CallAnswer, ServiceCall, call_service},
    daemon::{Daemon, InFlight, Life},
    generation::{Generation, GenerationFailure, Gone, OnSwap, Token, TokenSink, generate},
    jobs,
};

/// The header that names the settings node a request runs under.
const NODE_HEADER: &str = "x-node";
const KEY_HEADER: &str = "x-request-key";
const NON_IDEMPOTENT_HEADER: &str = "x-non-idempotent";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const JSON: &str = "application/json";

/// What an answer is, before it becomes HTTP.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) code: ResultCode,
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) retry_after_ms: Option<u64>,
}

impl Answer {
    /// A JSON answer of a request that was carried out.
    pub(crate) fn json<Content>(content: &Content) -> Self
    where
        Content: Serialize,
    {
        let body = serde_json::to_vec(content).expect("answers are plain data");
        Self::done(JSON, body)
    }

    /// An answer of a request that was carried out.
    pub(crate) fn done<Content>(content_type: &str, body: Content) -> Self
    where
        Content: Into<Bytes>,
    {
        Self {
            code: ResultCode::Done,
            status: 200,
            outcome: Outcome::Done,
            content_type: content_type.into(),
            body: body.into(),
            retry_after_ms: None,
        }
    }

    /// A fault.
    pub(crate) fn fault(fault: &Fault, outcome: Outcome) -> Self {
        let body = FaultBody {
            code: fault.code.number(),
            meaning: fault.code.meaning().into(),
            detail: fault.detail.clone(),
        };
        let body = serde_json::to_vec(&body).expect("answers are plain data");
        Self {
            code: fault.code,
            status: fault.code.http_status(),
            outcome,
            content_type: JSON.into(),
            body: body.into(),
            retry_after_ms: None,
        }
    }

    /// A refusal before anything ran.
    pub(crate) fn refused<Detail>(code: ResultCode, detail: Detail) -> Self
    where
        Detail: Into<String>,
    {
        Self::fault(&Fault::new(code, detail), Outcome::NotRun)
    }
}

/// The handler of the edge.
#[derive(Debug)]
pub(crate) struct Edge {
    daemon: Rc<Daemon>,
}

impl Edge {
    /// Opens the edge of a daemon.
    pub(crate) fn open(daemon: Rc<Daemon>) -> Self {
        Self { daemon }
    }
}

impl Handler for Edge {
    async fn handle(&self, request: EdgeRequest, remote: SocketAddr) -> EdgeResponse {
        let daemon = &self.daemon;
        let _in_flight = InFlight::open(daemon);
        let started_at_ms = daemon.now_ms();
        let request_id = request_id(daemon, request.headers());
        let (route, mut response) = dispatch(daemon, request, remote, &request_id).await;
        let code = code_of(&response);
        daemon
            .metrics
            .on_request(route, code, daemon.now_ms() - started_at_ms);
        set_header(response.headers_mut(), "x-request-id", &request_id);
        if daemon.life() == Life::Draining {
            // Moves the caller to another address before the connection is closed under it.
            set_header(response.headers_mut(), "connection", "close");
        }
        response
    }
}

fn request_id(daemon: &Daemon, headers: &HeaderMap) -> Arc<str> {
    let given = text_header(headers, "x-request-id").filter(|id| id.len() <= 128);
    given.unwrap_or_else(|| {
        format!("{}-{:016x}", daemon.session, daemon.random_below(u64::MAX)).into()
    })
}

fn code_of(response: &EdgeResponse) -> ResultCode {
    let number = response
        .headers()
        .get("x-result-code")
        .and_then(|value| value.to_str().ok());
    let number = number.and_then(|text| text.parse().ok());
    number
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Done)
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    headers.get(name)?.to_str().ok().map(Into::into)
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

async fn dispatch(
    daemon: &Rc<Daemon>,
    request: EdgeRequest,
    remote: SocketAddr,
    request_id: &Arc<str>,
) -> (&'static str, EdgeResponse) {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = request.method().clone();
    match (&method, parts.as_slice()) {
        (&Method::GET, ["healthz"]) => ("healthz", respond(Answer::done("text/plain", "alive\n"))),
        (&Method::GET, ["readyz"]) => ("readyz", respond(readiness(daemon))),
        (&Method::GET, ["metrics"]) => (
            "metrics",
            respond(Answer::done(
                "text/plain; version=0.0.4",
                daemon.metrics.to_text(),
            )),
        ),
        (&Method::GET, ["v1", "addresses"]) => (
            "addresses",
            respond(on_addresses(daemon, &request, remote).await),
        ),
        (&Method::POST, ["v1", "services", service, "generate"]) => (
            "generate",
            on_generate(daemon, service, request, request_id).await,
        ),
        (_, ["v1", "services", service, "call", rest @ ..]) => (
            "call",
            on_call(daemon, service, &rest.join("/"), request).await,
        ),
        (&Method::GET, ["v1", "jobs", job, "samples"]) => {
            ("samples", respond(on_pull(daemon, job, &request).await))
        }
        (&Method::POST, ["v1", "jobs", job, "weights"]) => {
            ("weights", respond(on_weights(daemon, job, request).await))
        }
        (_, ["v1", "admin", rest @ ..]) => {
            ("admin", respond(admin::handle(daemon, rest, request).await))
        }
        _ => (
            "unknown",
            respond(Answer::refused(
                ResultCode::UnknownRoute,
                format!("{method} {path}"),
            )),
        ),
    }
}

fn respond(answer: Answer) -> EdgeResponse {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer
        .status
        .try_into()
        .unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    set_header(headers, "content-type", &answer.content_type);
    set_header(headers, "x-result-code", &answer.code.number().to_string());
    set_header(headers, "x-ran", ran(answer.outcome));
    if let Some(retry_after_ms) = answer.retry_after_ms {
        set_header(
            headers,
            "retry-after",
            &retry_after_ms.div_ceil(1_000).max(1).to_string(),
        );
        set_header(headers, "x-retry-after-ms", &retry_after_ms.to_string());
    }
    response
}

fn ran(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "no",
        Outcome::Done => "yes",
        Outcome::Unknown => "unknown",
    }
}

fn readiness(daemon: &Daemon) -> Answer {
    match daemon.life() {
        Life::Ready => Answer::done("text/plain", "ready\n"),
        Life::Starting => Answer::refused(ResultCode::NotReady, "no settings yet"),
        Life::Draining | Life::Stopped => Answer::refused(ResultCode::Draining, "leaving"),
    }
}

/// The value of a query parameter.
pub(crate) fn query<'q>(request: &'q EdgeRequest, name: &str) -> Option<&'q str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn query_number(request: &EdgeRequest, name: &str, default: u64) -> Result<u64, Answer> {
    let Some(text) = query(request, name) else {
        return Ok(default);
    };
    let refuse = |_| {
        Answer::refused(
            ResultCode::MalformedRequest,
            format!("{name}: '{text}' is no whole number"),
        )
    };
    text.parse().map_err(refuse)
}

async fn on_addresses(daemon: &Rc<Daemon>, request: &EdgeRequest, remote: SocketAddr) -> Answer {
    if daemon.life() == Life::Starting {
        return Answer::refused(ResultCode::NotReady, "no settings yet");
    }
    let caller = query(request, "caller").map_or_else(|| remote.ip().to_string(), str::to_owned);
    Answer::done(JSON, addresses::for_caller(daemon, &caller).await)
}

/// Reads a body within the limits of the edge.
pub(crate) async fn body_of(request: EdgeRequest) -> Result<Bytes, Answer> {
    let read = read_body(request.into_body(), ServerLimits::default()).await;
    read.map_err(|fault| match fault {
        BodyFault::TooLarge => Answer::refused(ResultCode::BodyTooLarge, "body"),
        BodyFault::TooSlow => Answer::refused(
            ResultCode::MalformedRequest,
            "the body was not whole in time",
        ),
        BodyFault::Malformed(why) => Answer::refused(ResultCode::MalformedRequest, why),
    })
}

/// Reads a JSON body.
pub(crate) async fn json_of<Content>(request: EdgeRequest) -> Result<Content, Answer>
where
    Content: serde::de::DeserializeOwned,
{
    let body = body_of(request).await?;
    let parsed = serde_json::from_slice(&body);
    parsed.map_err(|error| Answer::refused(ResultCode::MalformedRequest, format!("body: {error}")))
}

/// What the head of a request says of how to treat it.
struct Terms {
    node: Arc<str>,
    deadline_ms: u64,
}

fn terms(daemon: &Daemon, service: &str, headers: &HeaderMap) -> Result<Terms, Answer> {
    if daemon.life() == Life::Starting {
        return Err(Answer::refused(ResultCode::NotReady, "no settings yet"));
    }
    let node = text_header(headers, NODE_HEADER).unwrap_or_else(|| service.into());
    let (is_service, node_exists) = daemon.settings.with_fold(|fold| {
        let tree = fold.tree();
        (
            tree.exists(service) && tree.kind(service) == NodeKind::Service,
            tree.exists(&node),
        )
    });
    if !is_service {
        return Err(Answer::refused(ResultCode::UnknownService, service));
    }
    if !node_exists {
        return Err(Answer::refused(
            ResultCode::MissingNode,
            format!("{NODE_HEADER}: {node}"),
        ));
    }
    let given = headers
        .get(DEADLINE_HEADER)
        .map(|value| value.to_str().unwrap_or("").parse());
    let allowed_ms = match given {
        None => daemon.setting(&node, "queue_deadline_ms"),
        Some(Ok(allowed_ms)) => allowed_ms,
        Some(Err(_)) => {
            return Err(Answer::refused(
                ResultCode::MalformedRequest,
                format!("{DEADLINE_HEADER}: no whole number"),
            ));
        }
    };
    Ok(Terms {
        node,
        deadline_ms: daemon.now_ms().saturating_add(allowed_ms),
    })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateBody {
    prompt: Arc<str>,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    adapter: Option<Arc<str>>,
}

#[derive(Debug, Serialize)]
struct GenerateAnswer<'a> {
    request_id: &'a str,
    tokens: &'a [String],
    versions: &'a [Option<u64>],
}

async fn on_generate(
    daemon: &Rc<Daemon>,
    service: &str,
    request: EdgeRequest,
    request_id: &Arc<str>,
) -> EdgeResponse {
    let terms = match terms(daemon, service, request.headers()) {
        Ok(terms) => terms,
        Err(answer) => return respond(answer),
    };
    let body: GenerateBody = match json_of(request).await {
        Ok(body) => body,
        Err(answer) => return respond(answer),
    };
    let generation = Generation {
        request_id: request_id.clone(),
        service: service.into(),
        node: terms.node,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        adapter: body.adapter,
        workload: Workload::Live,
        deadline_ms: terms.deadline_ms,
        on_swap: OnSwap::Keep,
    };
    if body.stream {
        return stream_tokens(daemon, generation).await;
    }
    let mut collected = CollectedTokens::default();
    match generate(daemon, &generation, &mut collected).await {
        Ok(()) => respond(Answer::json(&GenerateAnswer {
            request_id,
            tokens: &collected.tokens,
            versions: &collected.versions,
        })),
        Err(failure) => respond(failed(failure)),
    }
}

fn failed(failure: GenerationFailure) -> Answer {
    let answer = Answer::fault(&failure.fault, failure.outcome);
    Answer {
        retry_after_ms: failure.retry_after_ms,
        ..answer
    }
}

#[derive(Debug, Default)]
struct CollectedTokens {
    tokens: Vec<String>,
    versions: Vec<Option<u64>>,
}

impl TokenSink for CollectedTokens {
    async fn on_token(&mut self, token: &Token) -> Result<(), Gone> {
        self.tokens.push(token.text.clone());
        self.versions.push(token.version);
        Ok(())
    }

    fn on_restart(&mut self) {
        self.tokens.clear();
        self.versions.clear();
    }
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum StreamLine<'l> {
    Token {
        index: u64,
        text: &'l str,
        version: Option<u64>,
    },
    Done {
        token_count: u64,
    },
    Failed {
        code: u16,
        detail: &'l str,
    },
}

/// Answers with a stream of JSON lines. The head is sent with the first token, so that a refusal
/// before it still comes with its own status; the last line says that the answer is whole.
async fn stream_tokens(daemon: &Rc<Daemon>, generation: Generation) -> EdgeResponse {
    let (sender, body) = stream_body();
    let (first, begun) = oneshot::channel();
    let mut sink = StreamSink {
        sender,
        first: Some(first),
        token_count: 0,
    };
    let daemon = daemon.clone();
    monoio::spawn(async move {
        let _in_flight = InFlight::open(&daemon);
        let ended = generate(&daemon, &generation, &mut sink).await;
        sink.finish(ended).await;
    });
    match begun.await {
        Ok(Ok(())) => {
            let mut response = Response::new(body);
            let headers = response.headers_mut();
            set_header(headers, "content-type", "application/x-ndjson");
            set_header(
                headers,
                "x-result-code",
                &ResultCode::Done.number().to_string(),
            );
            set_header(headers, "x-ran", ran(Outcome::Done));
            response
        }
        Ok(Err(failure)) => respond(failed(failure)),
        Err(_) => respond(Answer::fault(
            &Fault::new(ResultCode::EndpointFailed, "stream"),
            Outcome::Unknown,
        )),
    }
}

struct StreamSink {
    sender: http_body_util::channel::Sender<Bytes, borageshore_net::BodyError>,
    first: Option<oneshot::Sender<Result<(), GenerationFailure>>>,
    token_count: u64,
}

impl StreamSink {
    async fn write(&mut self, line: &StreamLine<'_>) -> Result<(), Gone> {
        if let Some(first) = self.first.take() {
            first.send(Ok(())).map_err(|_| Gone)?;
        }
        let mut encoded = serde_json::to_vec(line).expect("lines are plain data");
        encoded.push(b'\n');
        self.sender
            .send_data(encoded.into())
            .await
            .map_err(|_| Gone)
    }

    async fn finish(mut self, ended: Result<(), GenerationFailure>) {
        let token_count = self.token_count;
        match ended {
            Ok(()) => {
                let _ = self.write(&StreamLine::Done { token_count }).await;
            }
            Err(failure) => match self.first.take() {
                Some(first) => {
                    let _ = first.send(Err(failure));
                }
                None => {
                    let code = failure.fault.code.number();
                    let line = StreamLine::Failed {
                        code,
                        detail: &failure.fault.detail,
                    };
                    let _ = self.write(&line).await;
                    // Without this the body would end as if it were whole.
                    self.sender
                        .abort(std::io::Error::other("the answer was cut"));
                }
            },
        }
    }
}

impl TokenSink for StreamSink {
    async fn on_token(&mut self, token: &Token) -> Result<(), Gone> {
        let index = self.token_count;
        self.token_count += 1;
        self.write(&StreamLine::Token {
            index,
            text: &token.text,
            version: token.version,
        })
        .await
    }

    fn on_restart(&mut self) {}
}

async fn on_call(
    daemon: &Rc<Daemon>,
    service: &str,
    rest: &str,
    request: EdgeRequest,
) -> EdgeResponse {
    let terms = match terms(daemon, service, request.headers()) {
        Ok(terms) => terms,
        Err(answer) => return respond(answer),
    };
    let headers = request.headers();
    let idempotent = if headers.contains_key(NON_IDEMPOTENT_HEADER) {
        Idempotent::No
    } else {
        Idempotent::Yes
    };
    let request_key = text_header(headers, KEY_HEADER).unwrap_or_else(|| own_key(daemon));
    let content_type = text_header(headers, "content-type").unwrap_or_else(|| JSON.into());
    let method: Arc<str> = request.method().as_str().into();
    let path = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let body = match body_of(request).await {
        Ok(body) => body,
        Err(answer) => return respond(answer),
    };
    let call = ServiceCall {
        service: service.into(),
        node: terms.node,
        method,
        path: path.into(),
        content_type,
        body,
        request_key: request_key.clone(),
        idempotent,
        deadline_ms: terms.deadline_ms,
    };
    let answered = call_service(daemon, call).await;
    let mut response = respond(call_answer(answered));
    set_header(response.headers_mut(), KEY_HEADER, &request_key);
    response
}

/// A key for a caller that brought none: its request runs at most once, as it cannot be repeated.
fn own_key(daemon: &Daemon) -> Arc<str> {
    let prefix = daemon.keys.borrow().prefix(daemon.now_ms());
    format!("{prefix}.{:016x}", daemon.random_below(u64::MAX)).into()
}

fn call_answer(answered: CallAnswer) -> Answer {
    let CallAnswer {
        outcome,
        answer,
        retry_after_ms,
    } = answered;
    if answer.code != ResultCode::Done {
        let fault = Fault::new(answer.code, answer.detail);
        return Answer {
            retry_after_ms,
            ..Answer::fault(&fault, outcome)
        };
    }
    Answer {
        code: answer.code,
        status: answer.status,
        outcome,
        content_type: answer.content_type,
        body: answer.body.into(),
        retry_after_ms,
    }
}

fn is_trainer(daemon: &Daemon, request: &EdgeRequest) -> Result<(), Answer> {
    let offered = admin::bearer(request);
    let is_known = daemon
        .config
        .trainer_token
        .as_ref()
        .is_some_and(|token| token.matches(offered));
    if is_known {
        Ok(())
    } else {
        Err(Answer::refused(ResultCode::Unauthorized, "trainer token"))
    }
}

async fn on_pull(daemon: &Rc<Daemon>, job: &str, request: &EdgeRequest) -> Answer {
    let pull = match pull_of(daemon, job, request) {
        Ok(pull) => pull,
        Err(answer) => return answer,
    };
    match jobs::pull(daemon, pull).await {
        Ok(body) => Answer::done(JSON, body),
        Err(code) => {
            let answer = Answer::refused(code, job);
            Answer {
                retry_after_ms: Some(500),
                ..answer
            }
        }
    }
}

fn pull_of(daemon: &Daemon, job: &str, request: &EdgeRequest) -> Result<jobs::Pull, Answer> {
    is_trainer(daemon, request)?;
    if daemon.life() == Life::Starting {
        return Err(Answer::refused(ResultCode::NotReady, "no settings yet"));
    }
    Ok(jobs::Pull {
        job: job.into(),
        cursor: query_number(request, "cursor", 0)?,
        seen_epoch: query_number(request, "epoch", 0)?,
        max_samples: query_number(request, "max", 64)?.max(1),
        wait_ms: query_number(request, "wait_ms", 1_000)?,
    })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WeightsBody {
    version: u64,
}

async fn on_weights(daemon: &Rc<Daemon>, job: &str, request: EdgeRequest) -> Answer {
    if let Err(answer) = is_trainer(daemon, &request) {
        return answer;
    }
    match json_of::<WeightsBody>(request).await {
        Ok(body) => admin::publish_weights(daemon, job, body.version).await,
        Err(answer) => answer,
    }
}
