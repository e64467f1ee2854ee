//! Forwards requests to other daemons: requests about a submission to its owner, new submissions to a daemon that can
//! reach the store.

use std::{cell::RefCell, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_net::{
    CallError, Clock, EdgeResponse, HttpClient, ResponseMemory, Timeouts, full_body,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
    http::request::Parts,
};

/// The header that marks a forwarded request, so that it is not forwarded again.
pub(crate) const FORWARDED_HEADER: &str = "borageshore-passed-on";
/// The connect timeout; peers are a few ms away.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// The time that a response may take beyond the wait that the caller asked for.
const RESPONSE_SLACK_MS: u64 = 600;
/// The largest response, the body of an item; a submission is at most as large.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// How long a peer that did not respond is avoided. Longer than it takes to detect its death, about a second.
const AVOIDANCE_MS: u64 = 2_000;

/// The time that a peer may take to write a submission to the store.
const SUBMIT_TIMEOUT_MS: u64 = 1_000;

/// The outcome of a forwarded submission.
#[derive(Debug)]
pub(crate) enum SubmitOutcome {
    /// A peer has accepted it.
    Accepted(EdgeResponse),
    /// A peer may have accepted it.
    Unknown,
    /// Certainly no peer has accepted it.
    NotAccepted,
}

/// Client for other daemons.
#[derive(Debug)]
pub(crate) struct Peers {
    http: HttpClient,
    clock: Clock,
    avoided_until_ms: RefCell<SortedMap<Arc<str>, u64>>,
}

impl Peers {
    pub(crate) fn open(clock: Clock, memory: ResponseMemory) -> Self {
        Self {
            http: HttpClient::open_within(MAX_RESPONSE_BYTES, memory),
            clock,
            avoided_until_ms: RefCell::default(),
        }
    }

    /// Forwards a request about a submission; `None` if the peer gives no definite response.
    pub(crate) async fn ask(
        &self,
        address: &Arc<str>,
        head: &Parts,
        wait_ms: u64,
    ) -> Option<EdgeResponse> {
        match self.forward(address, head, Bytes::new(), wait_ms).await {
            Ok((StatusCode::OK | StatusCode::NOT_FOUND, response)) => Some(response),
            Ok((status, _)) => {
                log::info!(peer = &**address, status = status.as_u16(); "peer gives no definite response");
                None
            }
            Err(_) => None,
        }
    }

    /// Forwards a submission to one peer after the other until one accepts it or may have accepted it.
    pub(crate) async fn submit(
        &self,
        addresses: &[Arc<str>],
        head: &Parts,
        body: &Bytes,
    ) -> SubmitOutcome {
        for address in addresses {
            match self
                .forward(address, head, body.clone(), SUBMIT_TIMEOUT_MS)
                .await
            {
                Ok((StatusCode::ACCEPTED, response)) => return SubmitOutcome::Accepted(response),
                // The peer refused it, so no part of it runs.
                Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::UNAUTHORIZED, _))
                | Err(CallError::NotSent(_)) => {}
                Ok(_) | Err(CallError::NoResponse(_) | CallError::Disconnected(_)) => {
                    return SubmitOutcome::Unknown;
                }
            }
        }
        SubmitOutcome::NotAccepted
    }

    async fn forward(
        &self,
        address: &Arc<str>,
        head: &Parts,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<(StatusCode, EdgeResponse), CallError> {
        if self.is_avoided(address) {
            return Err(CallError::NotSent(
                "peer is avoided after a recent failure".into(),
            ));
        }
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut request = Request::builder()
            .method(head.method.clone())
            .uri(target)
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        *request.headers_mut() = head.headers.clone();
        // The body is sent whole, whatever its original framing.
        for framing in [CONTENT_LENGTH, TRANSFER_ENCODING, CONNECTION] {
            request.headers_mut().remove(framing);
        }
        let forwarded = HeaderName::from_static(FORWARDED_HEADER);
        request.headers_mut().insert(forwarded, 1.into());
        let timeouts = Timeouts {
            connect_ms: CONNECT_TIMEOUT_MS,
            first_byte_ms: wait_ms + RESPONSE_SLACK_MS,
        };
        let called = self.http.call(address, request, timeouts).await;
        let (status, body) = called.inspect_err(|error| self.avoid(address, error))?;
        let mut response = Response::new(full_body(body));
        *response.status_mut() = status;
        Ok((status, response))
    }

    fn avoid(&self, address: &Arc<str>, error: &CallError) {
        log::info!(peer = &**address, error:% = error; "call to peer failed; avoiding it for a while");
        let until_ms = self.clock.now_ms() + AVOIDANCE_MS;
        let mut avoided = self.avoided_until_ms.borrow_mut();
        avoided.insert(address.clone(), until_ms);
    }

    fn is_avoided(&self, address: &Arc<str>) -> bool {
        let avoided = self.avoided_until_ms.borrow();
        let until_ms = avoided.get(address);
        until_ms.is_some_and(|until_ms| self.clock.now_ms() < *until_ms)
    }
}
