//! Questions about a submission, passed on to the daemon that knows it.

use std::{cell::RefCell, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_net::{Clock, EdgeResponse, HttpClient, Timeouts, full_body};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, http::request::Parts};

/// Marks a request that a peer has passed on, so that it is not passed on again.
pub(crate) const PASSED_ON: &str = "borageshore-passed-on";
/// A peer is a few ms away.
const CONNECT_MS: u64 = 200;
/// What an answer may take beyond the time that the reader wants to wait.
const ANSWER_SLACK_MS: u64 = 600;
/// A peer that did not answer is not asked for this long; others see its death in about two seconds.
const AVOID_MS: u64 = 2_000;

/// The client of peers.
#[derive(Debug)]
pub(crate) struct Peers {
    http: HttpClient,
    clock: Clock,
    avoided_until_ms: RefCell<SortedMap<Arc<str>, u64>>,
}

impl Peers {
    pub(crate) fn open(clock: Clock) -> Self {
        Self {
            http: HttpClient::open(),
            clock,
            avoided_until_ms: RefCell::default(),
        }
    }

    /// Passes a request without a body on; `None` if the peer has no sure answer.
    pub(crate) async fn ask(
        &self,
        address: &Arc<str>,
        head: &Parts,
        wait_ms: u64,
    ) -> Option<EdgeResponse> {
        if self.is_avoided(address) {
            return None;
        }
        let mut request = Request::builder()
            .method(head.method.clone())
            .uri(head.uri.path_and_query()?.as_str())
            .header(PASSED_ON, "1")
            .body(Full::<Bytes>::default())
            .ok()?;
        for (name, value) in &head.headers {
            request.headers_mut().insert(name, value.clone());
        }
        let timeouts = Timeouts {
            connect_ms: CONNECT_MS,
            first_byte_ms: wait_ms + ANSWER_SLACK_MS,
        };
        match self.http.call(address, request, timeouts).await {
            Ok((status, body)) if is_sure(status) => {
                let mut response = Response::new(full_body(body));
                *response.status_mut() = status;
                Some(response)
            }
            Ok((status, _)) => {
                log::info!(peer = &**address, status = status.as_u16(); "peer is not sure");
                None
            }
            Err(error) => {
                log::info!(peer = &**address, error:% = error; "peer does not answer");
                let until_ms = self.clock.now_ms() + AVOID_MS;
                let mut avoided = self.avoided_until_ms.borrow_mut();
                avoided.insert(address.clone(), until_ms);
                None
            }
        }
    }

    fn is_avoided(&self, address: &Arc<str>) -> bool {
        let avoided = self.avoided_until_ms.borrow();
        let until_ms = avoided.get(address);
        until_ms.is_some_and(|until_ms| self.clock.now_ms() < *until_ms)
    }
}

fn is_sure(status: StatusCode) -> bool {
    matches!(status, StatusCode::OK | StatusCode::NOT_FOUND)
}
