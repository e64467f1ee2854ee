//! The HTTP client of plain services, which receive requests unchanged.

use std::sync::Arc;

use borageshore_net::{CallError, HttpClient, Timeouts};
use borageshore_routing::{Attempt, AttemptEvent};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The header by which an endpoint states that it refused a request without running any of it.
const NOT_RUN_HEADER: &str = "x-not-run";

/// A request to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainCall {
    pub(crate) method: Arc<str>,
    pub(crate) path: Arc<str>,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) request_key: Arc<str>,
}

/// The answer of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Bytes,
}

/// Which connection a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// An idle connection if there is one.
    Pooled,
    /// A new connection. An idle one may have been dropped by a middlebox, and a call that must not
    /// be repeated would needlessly end with an unknown outcome.
    Fresh,
}

/// Forwards a call to one endpoint and records its progress in `attempt`.
pub(crate) async fn call_plain(
    http: &HttpClient,
    address: &str,
    call: &PlainCall,
    connection: ConnectionUse,
    timeouts: Timeouts,
    attempt: &mut Attempt,
) -> Result<PlainAnswer, CallError> {
    attempt.on_event(AttemptEvent::Start);
    let request = Request::builder()
        .method(&*call.method)
        .uri(&*call.path)
        .header(HOST, address)
        .header("content-type", &*call.content_type)
        .header("x-request-key", &*call.request_key)
        .body(Full::new(call.body.clone()))
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    let mut sender = match connection {
        ConnectionUse::Pooled => http.connect(address, timeouts).await?,
        ConnectionUse::Fresh => http.connect_new(address, timeouts).await?,
    };
    attempt.on_event(AttemptEvent::Connected);
    let sent = http.send(&mut sender, request, timeouts).await;
    if !matches!(sent, Err(CallError::NotSent(_))) {
        attempt.on_event(AttemptEvent::Sent);
    }
    let response = sent.inspect_err(|_| http.discard_idle_connections(address))?;
    let status = response.status().as_u16();
    let is_refusal = response.headers().contains_key(NOT_RUN_HEADER);
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    let content_type: Arc<str> = content_type.unwrap_or("application/octet-stream").into();
    let body = response.into_body();
    let reading = http.read_body(body, MAX_ANSWER_BYTES, timeouts.first_byte_ms);
    let body = reading.await?;
    http.return_to_pool(address, sender);
    if is_refusal {
        // The endpoint states that nothing ran, so the attempt counts as refused before sending.
        *attempt = Attempt::open();
        attempt.on_event(AttemptEvent::Refused);
        return Err(CallError::NotSent(format!("refused with status {status}")));
    }
    attempt.on_event(AttemptEvent::Answered);
    Ok(PlainAnswer {
        status,
        content_type,
        body,
    })
}
