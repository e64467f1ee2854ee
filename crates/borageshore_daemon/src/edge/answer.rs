//! HTTP answers, and the parsing of request headers, queries and bodies.

use std::sync::Arc;

use borageshore_api::FaultBody;
use borageshore_base::{Fault, ResultCode};
use borageshore_net::{BodyError, EdgeRequest, EdgeResponse, ServerLimits, full_body, read_body};
use borageshore_routing::Outcome;
use borageshore_settings::NodeKind;
use bytes::Bytes;
use hyper::{
    Response,
    header::{HeaderMap, HeaderValue},
};
use serde::Serialize;

use crate::daemon::{Daemon, Phase};

/// The header with the settings node that a request runs under.
const NODE_HEADER: &str = "x-node";
const DEADLINE_HEADER: &str = "x-deadline-ms";
pub(super) const JSON: &str = "application/json";

/// An answer, independent of its HTTP encoding.
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
    /// A JSON answer to a request that succeeded.
    pub(crate) fn json<Content>(content: &Content) -> Self
    where
        Content: Serialize,
    {
        let body = serde_json::to_vec(content).expect("answers serialize to JSON");
        Self::done(JSON, body)
    }

    /// An answer to a request that succeeded.
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

    /// An answer that reports a fault.
    pub(crate) fn fault(fault: &Fault, outcome: Outcome) -> Self {
        let body = FaultBody {
            code: fault.code.number(),
            meaning: fault.code.meaning().into(),
            detail: fault.detail.clone(),
        };
        let body = serde_json::to_vec(&body).expect("answers serialize to JSON");
        Self {
            code: fault.code,
            status: fault.code.http_status(),
            outcome,
            content_type: JSON.into(),
            body: body.into(),
            retry_after_ms: None,
        }
    }

    /// An answer that rejects a request before anything ran.
    pub(crate) fn refused<Detail>(code: ResultCode, detail: Detail) -> Self
    where
        Detail: Into<String>,
    {
        Self::fault(&Fault::new(code, detail), Outcome::NotRun)
    }
}

pub(super) fn text_header(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    headers.get(name)?.to_str().ok().map(Into::into)
}

pub(super) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

pub(super) fn respond(answer: Answer) -> EdgeResponse {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer
        .status
        .try_into()
        .unwrap_or(hyper::StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    set_header(headers, "content-type", &answer.content_type);
    set_header(headers, "x-result-code", &answer.code.number().to_string());
    set_header(headers, "x-ran", ran_header_value(answer.outcome));
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

pub(super) fn ran_header_value(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "no",
        Outcome::Done => "yes",
        Outcome::Unknown => "unknown",
    }
}

/// The value of a query parameter, without percent-decoding.
pub(crate) fn query<'q>(request: &'q EdgeRequest, name: &str) -> Option<&'q str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

pub(super) fn query_number(request: &EdgeRequest, name: &str, default: u64) -> Result<u64, Answer> {
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

/// Reads a request body within the default size and time limits of the server.
pub(crate) async fn read_request_body(request: EdgeRequest) -> Result<Bytes, Answer> {
    let read = read_body(request.into_body(), ServerLimits::default()).await;
    read.map_err(|fault| match fault {
        BodyError::TooLarge => Answer::refused(ResultCode::BodyTooLarge, "body"),
        BodyError::TooSlow => Answer::refused(
            ResultCode::MalformedRequest,
            "the body was not whole in time",
        ),
        BodyError::Malformed(why) => Answer::refused(ResultCode::MalformedRequest, why),
    })
}

/// Reads and parses a JSON request body.
pub(crate) async fn read_request_json<Content>(request: EdgeRequest) -> Result<Content, Answer>
where
    Content: serde::de::DeserializeOwned,
{
    let body = read_request_body(request).await?;
    let parsed = serde_json::from_slice(&body);
    parsed.map_err(|error| Answer::refused(ResultCode::MalformedRequest, format!("body: {error}")))
}

/// Options that a request sets by its headers.
pub(super) struct RequestOptions {
    pub(super) node: Arc<str>,
    pub(super) deadline_ms: u64,
}

pub(super) fn request_options(
    daemon: &Daemon,
    service: &str,
    headers: &HeaderMap,
) -> Result<RequestOptions, Answer> {
    if daemon.phase() == Phase::Starting {
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
    Ok(RequestOptions {
        node,
        deadline_ms: daemon.now_ms().saturating_add(allowed_ms),
    })
}
