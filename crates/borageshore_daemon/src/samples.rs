//! Making one sample: tokens from an engine, then the scorer's verdict.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_rollout::Segment;
use borageshore_routing::{Idempotent, Outcome, Workload};
use borageshore_wire::{SampleReply, SampleRequest, WireSegment};
use serde::{Deserialize, Serialize};

use crate::{
    calls::{ServiceCall, call_service},
    daemon::{Daemon, InFlight, Life},
    generation::{Generation, SinkClosed, SwapPolicy, Token, TokenSink, generate},
    peer_server::failed_sample,
};

/// A sample as the worker made it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct MadeSample {
    pub(crate) tokens: Vec<String>,
    pub(crate) segments: Vec<Segment>,
    pub(crate) score: Option<f64>,
}

/// An order for a sample.
#[derive(Debug, Clone)]
pub(crate) struct SampleJob {
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
struct ScoreAnswer {
    score: f64,
}

#[derive(Debug, Default)]
struct Collected {
    tokens: Vec<Token>,
}

impl TokenSink for Collected {
    async fn on_token(&mut self, token: &Token) -> Result<(), SinkClosed> {
        self.tokens.push(token.clone());
        Ok(())
    }

    fn on_restart(&mut self) {
        self.tokens.clear();
    }
}

/// Makes a sample on an engine that this daemon observes.
pub(crate) async fn make_sample(
    daemon: &Rc<Daemon>,
    order: &SampleJob,
) -> Result<MadeSample, Fault> {
    let _in_flight = InFlight::open(daemon);
    let Some(service) = daemon.setting_text(&order.job, "service") else {
        return Err(Fault::new(ResultCode::UnknownJob, &*order.job));
    };
    let swap_policy = match daemon.setting_text(&order.job, "swap_policy").as_deref() {
        Some("restart") => SwapPolicy::Restart,
        _ => SwapPolicy::Keep,
    };
    let generation = Generation {
        request_id: order.sample_id.clone(),
        service,
        node: order.job.clone(),
        prompt: order.prompt.clone(),
        max_tokens: order.max_tokens,
        adapter: Some(order.job.clone()),
        workload: Workload::Training,
        deadline_ms: order.deadline_ms,
        swap_policy,
    };
    let mut collected = Collected::default();
    generate(daemon, &generation, &mut collected)
        .await
        .map_err(|failure| failure.fault)?;
    let segments = attribute(&collected.tokens)?;
    let tokens: Vec<String> = collected
        .tokens
        .into_iter()
        .map(|token| token.text)
        .collect();
    let score = score(daemon, order, &tokens).await?;
    Ok(MadeSample {
        tokens,
        segments,
        score,
    })
}

/// Folds the versions that the engine reported with each token into segments.
///
/// Guards against a wrong attribution: a token without a version means that the engine itself did
/// not know, so the whole sample is given up rather than guessed at.
fn attribute(tokens: &[Token]) -> Result<Vec<Segment>, Fault> {
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
    order: &SampleJob,
    tokens: &[String],
) -> Result<Option<f64>, Fault> {
    let Some(scorer) = daemon.setting_text(&order.job, "scorer") else {
        return Ok(None);
    };
    let request = ScoreRequest {
        sample_id: &order.sample_id,
        prompt: &order.prompt,
        tokens,
    };
    let call = ServiceCall {
        service: scorer,
        node: order.job.clone(),
        method: "POST".into(),
        path: "/score".into(),
        content_type: "application/json".into(),
        body: serde_json::to_vec(&request)
            .expect("samples are plain data")
            .into(),
        request_key: order.sample_id.clone(),
        idempotent: Idempotent::Yes,
        deadline_ms: order.deadline_ms,
    };
    let answered = call_service(daemon, call).await;
    if answered.outcome != Outcome::Done {
        return Err(Fault::new(answered.answer.code, answered.answer.detail));
    }
    let verdict: ScoreAnswer = serde_json::from_slice(&answered.answer.body)
        .map_err(|error| Fault::new(ResultCode::EndpointFailed, format!("scorer: {error}")))?;
    Ok(Some(verdict.score))
}

/// Answers a peer that orders a sample.
pub(crate) async fn on_peer_sample(daemon: &Rc<Daemon>, request: SampleRequest) -> SampleReply {
    if daemon.life.get() != Life::Ready {
        return failed_sample(Fault::new(ResultCode::Draining, &*daemon.config.name));
    }
    let order = SampleJob {
        job: request.job.into(),
        sample_id: request.sample_id.into(),
        prompt: request.prompt.into(),
        max_tokens: request.max_tokens.max(1) as u64,
        deadline_ms: daemon.now_ms() + request.deadline_ms.max(0) as u64,
    };
    match make_sample(daemon, &order).await {
        Ok(made) => SampleReply {
            code: i32::from(ResultCode::Done.number()),
            detail: String::new(),
            tokens: made.tokens,
            segments: made.segments.iter().map(to_wire).collect(),
            score: made.score.map(Into::into),
        },
        Err(fault) => failed_sample(fault),
    }
}

fn to_wire(segment: &Segment) -> WireSegment {
    WireSegment::new(segment.version as i64, segment.token_count as i64)
}

/// Reads a peer's sample.
pub(crate) fn from_reply(reply: SampleReply) -> Result<MadeSample, Fault> {
    if reply.code != i32::from(ResultCode::Done.number()) {
        let code =
            ResultCode::from_number(reply.code as u16).unwrap_or(ResultCode::PeerUnavailable);
        return Err(Fault::new(code, reply.detail));
    }
    let from_wire = |segment: WireSegment| Segment {
        version: segment.version as u64,
        token_count: segment.token_count as u64,
    };
    Ok(MadeSample {
        tokens: reply.tokens,
        segments: reply.segments.into_iter().map(from_wire).collect(),
        score: reply.score.map(|score| score.into_inner()),
    })
}
