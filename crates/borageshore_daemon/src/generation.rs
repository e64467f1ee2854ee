//! Token generation: runs a request over one or more attempts until its answer is complete.

use std::{future::Future, rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_net::{CallError, Timeouts};
use borageshore_routing::{
    Attempt, AttemptEvent, ChoiceRequest, Idempotent, Outcome, Workload, choose_endpoint,
};
use borageshore_topology::Residency;

use crate::{
    admission::AdmissionRequest,
    daemon::Daemon,
    platform::engine::{ChunkStream, Engine, EngineChunk, EngineRequest},
};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Length in bytes of the prompt prefix by which engines that likely have it cached are preferred.
const PREFIX_BYTES: usize = 256;

/// A request for tokens, made by a caller or for a training sample.
#[derive(Debug, Clone)]
pub(crate) struct Generation {
    pub(crate) request_id: Arc<str>,
    pub(crate) service: Arc<str>,
    /// The settings node that the request runs under.
    pub(crate) node: Arc<str>,
    pub(crate) prompt: Arc<str>,
    pub(crate) max_tokens: u64,
    pub(crate) adapter: Option<Arc<str>>,
    pub(crate) workload: Workload,
    pub(crate) deadline_ms: u64,
    pub(crate) swap_policy: SwapPolicy,
}

/// What happens to a generation when the engine's weights change during it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SwapPolicy {
    /// Continue; each token carries the version that produced it.
    Keep,
    /// Start over, so that a single version produces all tokens.
    Restart,
}

/// A token and the weight version that produced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token {
    pub(crate) text: String,
    pub(crate) version: Option<u64>,
}

/// The receiver of generated tokens.
pub(crate) trait TokenSink {
    /// Receives a token; returns [`SinkClosed`] if no more tokens are wanted.
    fn on_token(&mut self, token: &Token) -> impl Future<Output = Result<(), SinkClosed>>;

    /// Discards all tokens received so far; called only under [`SwapPolicy::Restart`].
    fn on_restart(&mut self);
}

/// The error of a sink that accepts no more tokens.
#[derive(Debug)]
pub(crate) struct SinkClosed;

/// Why a generation ended without a complete answer.
#[derive(Debug, Clone)]
pub(crate) struct GenerationFailure {
    pub(crate) fault: Fault,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after_ms: Option<u64>,
}

enum AttemptEnd {
    Finished,
    Restart,
    CallerGone,
    Failed(CallError),
}

/// Generates the complete answer; after a failed attempt, the next one resumes after the last valid
/// token.
pub(crate) async fn generate<Sink>(
    daemon: &Rc<Daemon>,
    generation: &Generation,
    sink: &mut Sink,
) -> Result<(), GenerationFailure>
where
    Sink: TokenSink,
{
    let _slot = acquire_slot(daemon, generation).await?;
    daemon.retry_budget.borrow_mut().on_request();
    let mut produced: Vec<Token> = Vec::new();
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut outcome = Outcome::NotRun;
    loop {
        let Some(endpoint) = choose(daemon, generation, &tried) else {
            return Err(no_endpoint(generation, outcome));
        };
        let mut attempt = Attempt::open();
        daemon.endpoints.borrow_mut().on_start(&endpoint);
        let mut guard = EndpointRequestGuard::open(daemon, &endpoint);
        let end = attempt_once(
            daemon,
            generation,
            &endpoint,
            &mut produced,
            sink,
            &mut attempt,
        )
        .await;
        if attempt.outcome() != Outcome::NotRun {
            outcome = Outcome::Unknown;
        }
        match end {
            AttemptEnd::Finished => {
                guard.succeeded();
                return Ok(());
            }
            AttemptEnd::CallerGone => {
                return Err(failure(
                    ResultCode::EndpointLost,
                    "the caller went away",
                    outcome,
                ));
            }
            AttemptEnd::Restart => {
                produced.clear();
                sink.on_restart();
            }
            AttemptEnd::Failed(error) => {
                guard.failed();
                log::debug!(
                    "attempt of {} at {endpoint} failed: {error}",
                    generation.request_id
                );
                tried.push(endpoint);
                check_retry(daemon, generation, &attempt, outcome, &error)?;
            }
        }
    }
}

async fn acquire_slot(
    daemon: &Rc<Daemon>,
    generation: &Generation,
) -> Result<crate::admission::Slot, GenerationFailure> {
    let request = AdmissionRequest {
        node: generation.node.clone(),
        importance: daemon.setting(&generation.node, "importance"),
        workload: generation.workload,
        deadline_ms: generation.deadline_ms,
    };
    let acquired = daemon
        .admission_queue(&generation.service)
        .acquire(daemon, request)
        .await;
    acquired.map_err(|refusal| GenerationFailure {
        fault: refusal.fault,
        outcome: Outcome::NotRun,
        retry_after_ms: Some(refusal.retry_after_ms),
    })
}

fn choose(daemon: &Daemon, generation: &Generation, tried: &[Arc<str>]) -> Option<Arc<str>> {
    let prefix_end = generation.prompt.floor_char_boundary(PREFIX_BYTES);
    let request = ChoiceRequest {
        service: &generation.service,
        prefix: Some(&generation.prompt[..prefix_end]),
        topology: &daemon.topology,
        residency: &Residency::anywhere(),
        tried,
    };
    let now_ms = daemon.now_ms();
    daemon
        .with_random(|random| choose_endpoint(&daemon.endpoints.borrow(), request, now_ms, random))
}

/// Returns an error if no further attempt is allowed. Generation is idempotent, so only the
/// deadline and the retry budget limit the attempts.
fn check_retry(
    daemon: &Daemon,
    generation: &Generation,
    attempt: &Attempt,
    outcome: Outcome,
    error: &CallError,
) -> Result<(), GenerationFailure> {
    let in_time = daemon.now_ms() < generation.deadline_ms;
    let allowed = attempt.may_retry(Idempotent::Yes) && in_time;
    if allowed && daemon.retry_budget.borrow_mut().try_retry() {
        daemon.metrics.on_retry();
        return Ok(());
    }
    Err(failure(
        ResultCode::EndpointFailed,
        &error.to_string(),
        outcome,
    ))
}

fn no_endpoint(generation: &Generation, outcome: Outcome) -> GenerationFailure {
    let mut failure = failure(ResultCode::NoEndpoint, &generation.service, outcome);
    failure.retry_after_ms = Some(1_000);
    failure
}

fn failure(code: ResultCode, detail: &str, outcome: Outcome) -> GenerationFailure {
    GenerationFailure {
        fault: Fault::new(code, detail),
        outcome,
        retry_after_ms: None,
    }
}

async fn attempt_once<Sink>(
    daemon: &Rc<Daemon>,
    generation: &Generation,
    endpoint: &Arc<str>,
    produced: &mut Vec<Token>,
    sink: &mut Sink,
    attempt: &mut Attempt,
) -> AttemptEnd
where
    Sink: TokenSink,
{
    let Some(address) = daemon
        .endpoints
        .borrow()
        .get(endpoint)
        .map(|e| e.listing.address.clone())
    else {
        return AttemptEnd::Failed(CallError::NotSent("the endpoint has gone".into()));
    };
    let request = engine_request(daemon, generation, produced);
    let first_byte_ms = daemon.setting(&generation.node, "first_byte_timeout_ms");
    let timeouts = Timeouts {
        connect_ms: CONNECT_TIMEOUT_MS,
        first_byte_ms,
    };
    attempt.on_event(AttemptEvent::Start);
    attempt.on_event(AttemptEvent::Connected);
    let mut chunks = match daemon.engine.generate(&address, &request, timeouts).await {
        Ok((chunks, report)) => {
            attempt.on_event(AttemptEvent::Sent);
            if let Some(report) = report {
                daemon
                    .endpoints
                    .borrow_mut()
                    .on_report(endpoint, report, daemon.now_ms());
            }
            chunks
        }
        Err(error) => {
            if !matches!(error, CallError::NotSent(_)) {
                attempt.on_event(AttemptEvent::Sent);
            }
            return AttemptEnd::Failed(error);
        }
    };
    let chunk_timeout_ms = daemon.setting(&generation.node, "chunk_timeout_ms");
    let mut progress_at_ms = daemon.now_ms();
    loop {
        // Chunks of other requests are no progress.
        let silent_ms = daemon.now_ms() - progress_at_ms;
        if silent_ms >= chunk_timeout_ms {
            daemon.http.discard_idle_connections(&address);
            let error = CallError::NoResponse("no chunk of the request in time".into());
            return AttemptEnd::Failed(error);
        }
        let known_tokens = produced.len();
        match chunks.next_chunk(chunk_timeout_ms - silent_ms).await {
            Err(error) => {
                daemon.http.discard_idle_connections(&address);
                return AttemptEnd::Failed(error);
            }
            Ok(None) => {
                return AttemptEnd::Failed(CallError::NoResponse("the stream ended early".into()));
            }
            Ok(Some(chunk)) => {
                if let Some(end) = on_chunk(daemon, generation, chunk, produced, sink).await {
                    if matches!(end, AttemptEnd::Finished) {
                        attempt.on_event(AttemptEvent::Answered);
                        chunks.release();
                    }
                    return end;
                }
                if produced.len() as u64 > generation.max_tokens {
                    let error = CallError::NoResponse("more tokens than were asked for".into());
                    return AttemptEnd::Failed(error);
                }
                if produced.len() > known_tokens {
                    progress_at_ms = daemon.now_ms();
                }
            }
        }
    }
}

fn engine_request(daemon: &Daemon, generation: &Generation, produced: &[Token]) -> EngineRequest {
    EngineRequest {
        request_id: generation.request_id.clone(),
        prompt: generation.prompt.clone(),
        max_tokens: generation.max_tokens,
        resume_tokens: produced.iter().map(|token| token.text.clone()).collect(),
        priority: daemon.setting(&generation.node, "importance"),
        adapter: generation.adapter.clone(),
    }
}

/// Processes one chunk; returns how the attempt ended, or `None` if it continues.
///
/// Guards against late and misrouted chunks: a chunk of another request, or one with an unexpected
/// index, is dropped and counted.
async fn on_chunk<Sink>(
    daemon: &Daemon,
    generation: &Generation,
    chunk: EngineChunk,
    produced: &mut Vec<Token>,
    sink: &mut Sink,
) -> Option<AttemptEnd>
where
    Sink: TokenSink,
{
    if chunk.request_id != generation.request_id || chunk.index != produced.len() as u64 {
        daemon.metrics.on_dropped_chunk();
        return None;
    }
    let Some(text) = chunk.token else {
        return Some(AttemptEnd::Finished);
    };
    let swapped = produced
        .last()
        .is_some_and(|last| last.version != chunk.version);
    if swapped && generation.swap_policy == SwapPolicy::Restart {
        return Some(AttemptEnd::Restart);
    }
    let token = Token {
        text,
        version: chunk.version,
    };
    if sink.on_token(&token).await.is_err() {
        return Some(AttemptEnd::CallerGone);
    }
    produced.push(token);
    None
}

/// Counts a request as in flight at an endpoint; dropping it without a result counts as cancelled.
#[derive(Debug)]
pub(crate) struct EndpointRequestGuard {
    daemon: Rc<Daemon>,
    endpoint: Option<Arc<str>>,
}

impl EndpointRequestGuard {
    /// Takes over a request that was already counted by `on_start`.
    pub(crate) fn open(daemon: &Rc<Daemon>, endpoint: &Arc<str>) -> Self {
        Self {
            daemon: daemon.clone(),
            endpoint: Some(endpoint.clone()),
        }
    }

    /// Reports that the endpoint answered.
    pub(crate) fn succeeded(&mut self) {
        if let Some(endpoint) = self.endpoint.take() {
            self.daemon.endpoints.borrow_mut().on_success(&endpoint);
        }
    }

    /// Reports that the endpoint failed.
    pub(crate) fn failed(&mut self) {
        if let Some(endpoint) = self.endpoint.take() {
            let now_ms = self.daemon.now_ms();
            self.daemon
                .endpoints
                .borrow_mut()
                .on_failure(&endpoint, now_ms);
        }
    }
}

impl Drop for EndpointRequestGuard {
    fn drop(&mut self) {
        if let Some(endpoint) = self.endpoint.take() {
            self.daemon.endpoints.borrow_mut().on_cancelled(&endpoint);
        }
    }
}
