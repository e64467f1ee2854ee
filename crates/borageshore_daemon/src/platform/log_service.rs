//! The HTTP client of the platform's log service.

use std::{rc::Rc, sync::Arc};

use borageshore_log::{LogError, LogPage, LogService};
use borageshore_net::{CallError, HttpClient, Timeouts};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;

use crate::metrics::{Direction, Metrics};

/// How long to wait for the answer to an append; after that its outcome is unknown.
const APPEND_TIMEOUT_MS: u64 = 3_000;
/// Extra time after a read's own `wait_ms` for its answer to arrive.
const READ_SLACK_MS: u64 = 2_000;
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The log service at one address.
#[derive(Debug, Clone)]
pub(crate) struct HttpLog {
    address: Arc<str>,
    http: HttpClient,
    metrics: Rc<Metrics>,
}

#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: u64,
}

impl HttpLog {
    /// Creates a client for the log service at `address`.
    pub(crate) fn open(address: Arc<str>, http: HttpClient, metrics: Rc<Metrics>) -> Self {
        Self {
            address,
            http,
            metrics,
        }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        first_byte_ms: u64,
    ) -> Result<(StatusCode, Bytes), LogError> {
        let timeouts = Timeouts {
            connect_ms: CONNECT_TIMEOUT_MS,
            first_byte_ms,
        };
        let answer = self.http.call(&self.address, request, timeouts).await;
        answer.map_err(|error| match error {
            CallError::NotSent(reason) => LogError::NotDone(reason),
            CallError::NoResponse(reason) | CallError::Disconnected(reason) => {
                LogError::Unknown(reason)
            }
        })
    }
}

impl LogService for HttpLog {
    async fn append(&self, stream: &str, records: &[String]) -> Result<u64, LogError> {
        let body = serde_json::to_vec(records).expect("strings serialize to JSON");
        self.metrics
            .on_control_bytes("log", Direction::Sent, body.len());
        let request = Request::post(format!("/streams/{stream}"))
            .body(Full::new(body.into()))
            .map_err(|error| LogError::NotDone(error.to_string()))?;
        let (status, body) = self.call(request, APPEND_TIMEOUT_MS).await?;
        if status == StatusCode::TOO_MANY_REQUESTS {
            return Err(LogError::NotDone("append rate limit exceeded".into()));
        }
        if !status.is_success() {
            return Err(LogError::Unknown(format!(
                "the log service answered with status {status}"
            )));
        }
        let appended: AppendResponse =
            serde_json::from_slice(&body).map_err(|error| LogError::Unknown(error.to_string()))?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from_offset: u64,
        wait_ms: u64,
    ) -> Result<LogPage, LogError> {
        let uri = format!("/streams/{stream}?from={from_offset}&wait_ms={wait_ms}");
        let request = Request::get(uri)
            .body(Full::default())
            .map_err(|error| LogError::NotDone(error.to_string()))?;
        let (status, body) = self.call(request, wait_ms + READ_SLACK_MS).await?;
        self.metrics
            .on_control_bytes("log", Direction::Received, body.len());
        if !status.is_success() {
            return Err(LogError::NotDone(format!(
                "the log service answered with status {status}"
            )));
        }
        serde_json::from_slice(&body).map_err(|error| LogError::Unknown(error.to_string()))
    }
}
