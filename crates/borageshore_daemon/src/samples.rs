//! Generation of a sample: tokens from an engine, then a score from the scorer.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_rollout::Segment;
use borageshore_routing::{Idempotent, Outcome, Workload};
use borageshore_wire::{SampleReply, SampleRequest, WireSegment};
use serde::{Deserialize, Serialize};

use crate::{
    calls::{ServiceCall, call_service},
    daemon::{Daemon, InFlight, Phase},
    generation::{Generation, SinkClosed, SwapPolicy, Token, TokenSink, generate},
    peer_server::failed_sample,
};

/// A generated sample, before the job's owner records it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct GeneratedSample {
    pub(crate) tokens: Vec<String>,
    pub(crate) segments: Vec<Segment>,
    pub(crate) score: Option<f64>,
}

/// A sample to generate.
#[derive(Debug, Clone)]
pub(crate) struct SampleTask {
    pub(crate) job: Arc<str>,
    pub(crate) sample_id: Arc<str>,
    pub(crate) prompt: Arc<str>,
    pub(crate) max_tokens: u64,
    pub(crate) deadline_ms: u64,
}

#[derive(Debug, Serialize)]
struct ScoreRequest<'s> {
    sample_id: &'s str,
    prompt: &'s str,
    tokens: &'s [String],
}

#[derive(Debug, Deserialize)]
struct ScoreResponse {
    score: f64,
}

#[derive(Debug, Default)]
struct TokenCollector {
    tokens: Vec<Token>,
}

impl TokenSink for TokenCollector {
    async fn on_token(&mut self, token: &Token) -> Result<(), SinkClosed> {
        self.tokens.push(token.clone());
        Ok(())
    }

    fn on_restart(&mut self) {
        self.tokens.clear();
    }
}

/// Generates a sample on an engine that this daemon observes, and scores it if the job has a scorer.
pub(crate) async fn generate_sample(
    daemon: &Rc<Daemon>,
    task: &SampleTask,
) -> Result<GeneratedSample, Fault> {
    let _in_flight = InFlight::open(daemon);
    let Some(service) = daemon.setting_text(&task.job, "service") else {
        return Err(Fault::new(ResultCode::UnknownJob, &*task.job));
    };
    let swap_policy = match daemon.setting_text(&task.job, "swap_policy").as_deref() {
        Some("restart") => SwapPolicy::Restart,
        _ => SwapPolicy::Keep,
    };
    let generation = Generation {
        request_id: task.sample_id.clone(),
        service,
        node: task.job.clone(),
        prompt: task.prompt.clone(),
        max_tokens: task.max_tokens,
        adapter: Some(task.job.clone()),
        workload: Workload::Training,
        deadline_ms: task.deadline_ms,
        swap_policy,
    };
    let mut collector = TokenCollector::default();
    generate(daemon, &generation, &mut collector)
        .await
        .map_err(|failure| failure.fault)?;
    let segments = segments_by_version(&collector.tokens)?;
    let tokens: Vec<String> = collector
        .tokens
        .into_iter()
        .map(|token| token.text)
        .collect();
    let score = score(daemon, task, &tokens).await?;
    Ok(GeneratedSample {
        tokens,
        segments,
        score,
    })
}

/// Groups consecutive tokens of the same weight version into segments.
///
/// Fails if a token has no version, since its segment would be attributed to a wrong version.
fn segments_by_version(tokens: &[Token]) -> Result<Vec<Segment>, Fault> {
    let mut segments: Vec<Segment> = Vec::new();
    for token in tokens {
        let Some(version) = token.version else {
            return Err(Fault::new(
                ResultCode::EndpointFailed,
                "a token without a weight version",
            ));
        };
        match segments.last_mut() {
            Some(last) if last.version == version => last.token_count += 1,
            _ => segments.push(Segment {
                version,
                token_count: 1,
            }),
        }
    }
    Ok(segments)
}

async fn score(
    daemon: &Rc<Daemon>,
    task: &SampleTask,
    tokens: &[String],
) -> Result<Option<f64>, Fault> {
    let Some(scorer) = daemon.setting_text(&task.job, "scorer") else {
        return Ok(None);
    };
    let request = ScoreRequest {
        sample_id: &task.sample_id,
        prompt: &task.prompt,
        tokens,
    };
    let call = ServiceCall {
        service: scorer,
        node: task.job.clone(),
        method: "POST".into(),
        path: "/score".into(),
        content_type: "application/json".into(),
        body: serde_json::to_vec(&request)
            .expect("samples are plain data")
            .into(),
        request_key: task.sample_id.clone(),
        idempotent: Idempotent::Yes,
        deadline_ms: task.deadline_ms,
    };
    let answered = call_service(daemon, call).await;
    if answered.outcome != Outcome::Done {
        return Err(Fault::new(answered.answer.code, answered.answer.detail));
    }
    let response: ScoreResponse = serde_json::from_slice(&answered.answer.body)
        .map_err(|error| Fault::new(ResultCode::EndpointFailed, format!("scorer: {error}")))?;
    Ok(Some(response.score))
}

/// Generates a sample for a peer.
pub(crate) async fn on_peer_sample(daemon: &Rc<Daemon>, request: SampleRequest) -> SampleReply {
    if daemon.phase.get() != Phase::Ready {
        return failed_sample(Fault::new(ResultCode::Draining, &*daemon.config.name));
    }
    let task = SampleTask {
        job: request.job.into(),
        sample_id: request.sample_id.into(),
        prompt: request.prompt.into(),
        max_tokens: request.max_tokens.max(1) as u64,
        deadline_ms: daemon.now_ms() + request.deadline_ms.max(0) as u64,
    };
    match generate_sample(daemon, &task).await {
        Ok(generated) => SampleReply {
            code: i32::from(ResultCode::Done.number()),
            detail: String::new(),
            tokens: generated.tokens,
            segments: generated.segments.iter().map(to_wire).collect(),
            score: generated.score.map(Into::into),
        },
        Err(fault) => failed_sample(fault),
    }
}

fn to_wire(segment: &Segment) -> WireSegment {
    WireSegment::new(segment.version as i64, segment.token_count as i64)
}

/// Converts a peer's reply to a sample or to the fault that it reports.
pub(crate) fn sample_from_reply(reply: SampleReply) -> Result<GeneratedSample, Fault> {
    if reply.code != i32::from(ResultCode::Done.number()) {
        let code =
            ResultCode::from_number(reply.code as u16).unwrap_or(ResultCode::PeerUnavailable);
        return Err(Fault::new(code, reply.detail));
    }
    let from_wire = |segment: WireSegment| Segment {
        version: segment.version as u64,
        token_count: segment.token_count as u64,
    };
    Ok(GeneratedSample {
        tokens: reply.tokens,
        segments: reply.segments.into_iter().map(from_wire).collect(),
        score: reply.score.map(|score| score.into_inner()),
    })
}
