//! The HTTP client of inference engines: token streams, load reports and weight orders.

use std::{collections::VecDeque, future::Future, sync::Arc};

use borageshore_net::{CallError, Connection, HttpClient, ReceivedBody, Timeouts, within_ms};
use borageshore_routing::LoadReport;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, StatusCode,
    header::{HOST, HeaderMap},
};
use serde::{Deserialize, Serialize};

/// Maximum length of a line in a stream.
const MAX_LINE_BYTES: usize = 1024 * 1024;
/// How long to wait for the end of a body after its last chunk.
const BODY_END_TIMEOUT_MS: u64 = 1_000;
const ORDER_TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 3_000,
};

/// A request to generate tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The request identifier; the engine repeats it in every chunk.
    pub request_id: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Maximum number of tokens, including `resume_tokens`.
    pub max_tokens: u64,
    /// Tokens that an earlier attempt has already produced.
    pub resume_tokens: Vec<String>,
    /// The priority; higher values are served first.
    pub priority: u64,
    /// The adapter whose weights are used; `None` for the base model.
    pub adapter: Option<Arc<str>>,
}

/// One line of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineChunk {
    /// The identifier of the request that the chunk belongs to.
    pub request_id: Arc<str>,
    /// The zero-based index of the token.
    pub index: u64,
    /// The token; `None` in the last line.
    pub token: Option<String>,
    /// The weight version that produced it; `None` if the engine does not know it.
    pub version: Option<u64>,
}

/// The weight versions of one adapter in an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReport {
    /// The adapter.
    pub adapter: Arc<str>,
    /// The version in use; `None` if it is not known.
    pub version: Option<u64>,
    /// The version being loaded, if any.
    pub loading: Option<u64>,
}

/// An engine's report of its load and weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of running and queued requests.
    pub requests: u64,
    /// Maximum number of requests that run concurrently.
    pub slots: u64,
    /// The weight versions, by adapter.
    pub adapters: Vec<AdapterReport>,
}

/// An order to load a weight version. It is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The adapter.
    pub adapter: Arc<str>,
    /// The weight version to load.
    pub version: u64,
    /// The fencing token of the daemon that gives the order.
    pub epoch: u64,
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine executes the order.
    Accepted,
    /// The engine has seen a higher fencing token.
    StaleEpoch,
}

/// An engine's stream of chunks.
pub trait ChunkStream {
    /// Returns the next chunk, or `None` at the end of the body.
    fn next_chunk(
        &mut self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Option<EngineChunk>, CallError>>;

    /// Returns the connection to the pool if the body ends after the last chunk.
    fn release(self);
}

/// A client of inference engines.
pub trait Engine {
    /// The token stream of a generation.
    type Chunks: ChunkStream;

    /// Starts a generation. Returns [`CallError::NotSent`] also if the engine refuses the request.
    fn generate(
        &self,
        address: &str,
        request: &EngineRequest,
        timeouts: Timeouts,
    ) -> impl Future<Output = Result<(Self::Chunks, Option<LoadReport>), CallError>>;

    /// Reads the engine's report; also returns the size of the answer's body in bytes.
    fn report(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<(EngineReport, usize), CallError>>;

    /// Sends an order to the engine.
    fn order(
        &self,
        address: &str,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderResponse, CallError>>;
}

/// A client of engines over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    http: HttpClient,
}

impl HttpEngine {
    /// Creates a client that uses the connections of `http`.
    pub fn open(http: HttpClient) -> Self {
        Self { http }
    }
}

impl Engine for HttpEngine {
    type Chunks = HttpChunks;

    async fn generate(
        &self,
        address: &str,
        request: &EngineRequest,
        timeouts: Timeouts,
    ) -> Result<(HttpChunks, Option<LoadReport>), CallError> {
        let body = serde_json::to_vec(request).expect("engine messages serialize to JSON");
        let request = Request::post("/generate")
            .header(HOST, address)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let mut sender = self.http.connect(address, timeouts).await?;
        let response = self.http.send(&mut sender, request, timeouts).await;
        let response = response.inspect_err(|_| self.http.discard_idle_connections(address))?;
        if response.status() != StatusCode::OK {
            return Err(CallError::NotSent(format!(
                "refused with status {}",
                response.status()
            )));
        }
        let report = load_report(response.headers());
        let chunks = HttpChunks {
            http: self.http.clone(),
            address: address.into(),
            sender,
            body: response.into_body(),
            buffer: Vec::new(),
            lines: VecDeque::new(),
        };
        Ok((chunks, report))
    }

    async fn report(&self, address: &str) -> Result<(EngineReport, usize), CallError> {
        let request = Request::get("/load")
            .body(Full::default())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let (_, body) = self.http.call(address, request, ORDER_TIMEOUTS).await?;
        let report = serde_json::from_slice(&body);
        let report = report.map_err(|error| CallError::NoResponse(error.to_string()))?;
        Ok((report, body.len()))
    }

    async fn order(&self, address: &str, order: &EngineOrder) -> Result<OrderResponse, CallError> {
        let body = serde_json::to_vec(order).expect("engine messages serialize to JSON");
        let request = Request::post("/order")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let (status, _) = self.http.call(address, request, ORDER_TIMEOUTS).await?;
        match status {
            StatusCode::CONFLICT => Ok(OrderResponse::StaleEpoch),
            status if status.is_success() => Ok(OrderResponse::Accepted),
            status => Err(CallError::NoResponse(format!("status {status}"))),
        }
    }
}

/// The load that engines report in the headers of each answer, which saves a separate request.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse().ok();
    Some(LoadReport {
        requests: number("x-load-requests")?,
        slots: number("x-load-slots")?,
        slowdown_percent: None,
    })
}

/// A token stream as the JSON lines of an HTTP body.
#[derive(Debug)]
pub struct HttpChunks {
    http: HttpClient,
    address: Arc<str>,
    /// Returned to the pool once the body is read to its end.
    sender: Connection,
    body: ReceivedBody,
    buffer: Vec<u8>,
    lines: VecDeque<EngineChunk>,
}

impl HttpChunks {
    fn parse_lines(&mut self, data: &[u8]) -> Result<(), CallError> {
        self.buffer.extend_from_slice(data);
        let Some(end) = self.buffer.iter().rposition(|byte| *byte == b'\n') else {
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(CallError::NoResponse(
                    "a line of the stream is too long".into(),
                ));
            }
            return Ok(());
        };
        let complete: Vec<u8> = self.buffer.drain(..=end).collect();
        for line in complete
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
        {
            let chunk = serde_json::from_slice(line);
            self.lines
                .push_back(chunk.map_err(|error| CallError::NoResponse(error.to_string()))?);
        }
        Ok(())
    }
}

impl HttpChunks {
    async fn read_chunk(&mut self) -> Result<Option<EngineChunk>, CallError> {
        loop {
            if let Some(chunk) = self.lines.pop_front() {
                return Ok(Some(chunk));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(CallError::NoResponse(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.parse_lines(&data)?;
                    }
                }
            }
        }
    }
}

impl ChunkStream for HttpChunks {
    fn release(mut self) {
        monoio::spawn(async move {
            if let Some(None) = within_ms(BODY_END_TIMEOUT_MS, self.body.frame()).await {
                self.http.return_to_pool(&self.address, self.sender);
            }
        });
    }

    async fn next_chunk(&mut self, timeout_ms: u64) -> Result<Option<EngineChunk>, CallError> {
        let read = within_ms(timeout_ms, self.read_chunk()).await;
        read.unwrap_or_else(|| Err(CallError::NoResponse("no chunk in time".into())))
    }
}
