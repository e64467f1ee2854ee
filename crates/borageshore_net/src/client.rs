//! An HTTP client that knows whether a request was handed over.

use std::{cell::RefCell, fmt, net::SocketAddr, pin::pin, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
    header::HOST,
};
use monoio::{io::IntoPollIo, net::TcpStream};
use monoio_compat::hyper::MonoioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::oneshot;

use crate::event_loop::within_ms;

/// The most idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// The largest body that is collected whole.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed, and with it whether the request can have run.
#[derive(Debug)]
pub enum CallError {
    /// Nothing was handed over.
    NotSent(String),
    /// The request was handed over and no usable answer came.
    NoAnswer(String),
    /// The request was handed over and its connection ended before the whole answer: the other side
    /// has ended, or something between the two has.
    Disconnected(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(why) => write!(f, "not sent: {why}"),
            CallError::NoAnswer(why) => write!(f, "no answer: {why}"),
            CallError::Disconnected(why) => write!(f, "broken off: {why}"),
        }
    }
}

impl std::error::Error for CallError {}

/// How long to wait for what.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// For a new connection.
    pub connect_ms: u64,
    /// For the head of the answer.
    pub first_byte_ms: u64,
}

/// A connection that takes one request after the other.
///
/// Dropping it closes the socket at once, also while an answer is under way: endpoints stop work on
/// a request when its connection closes, so a request given up here does not go on there.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Its drop ends the task that drives the socket.
    _task_guard: oneshot::Sender<()>,
}

/// A client with a pool of idle connections by address.
///
/// Guards against connections that went silent for good: after a time-out all idle connections to
/// that address are dropped ([`HttpClient::discard_idle`]), so the next request opens a new one.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    idle: Rc<RefCell<SortedMap<Arc<str>, Vec<Connection>>>>,
}

impl HttpClient {
    /// Opens a client without connections.
    pub fn open() -> Self {
        Self::default()
    }

    /// Drops the idle connections to an address.
    pub fn discard_idle(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Says whether an idle connection to an address is open.
    pub fn has_idle(&self, address: &str) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(address).into_iter().flatten();
        let mut usable = connections.filter(|connection| connection.sender.is_ready());
        usable.next().is_some()
    }

    /// Returns a connection for one request: an idle one, or a new one.
    pub async fn connect(
        &self,
        address: &str,
        timeouts: Timeouts,
    ) -> Result<Connection, CallError> {
        while let Some(connection) = self.take_idle(address) {
            if connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        self.connect_new(address, timeouts).await
    }

    /// Opens a new connection, for requests that must not meet a stale one.
    pub async fn connect_new(
        &self,
        address: &str,
        timeouts: Timeouts,
    ) -> Result<Connection, CallError> {
        let target: SocketAddr = address
            .parse()
            .map_err(|error| CallError::NotSent(format!("{address}: {error}")))?;
        let connecting = within_ms(timeouts.connect_ms, TcpStream::connect_addr(target)).await;
        let stream = match connecting {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(CallError::NotSent(error.to_string())),
            None => return Err(CallError::NotSent("connecting took too long".into())),
        };
        let _ = stream.set_nodelay(true);
        let stream = stream
            .into_poll_io()
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let handshake = Builder::new().handshake(MonoioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::NotSent(error.to_string()))?;
        let (task_guard, closed) = oneshot::channel();
        monoio::spawn(async move {
            let (connection, closed) = (pin!(connection), pin!(closed));
            if let Either::Left((Err(error), _)) = select(connection, closed).await {
                log::debug!("connection to {target} ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            _task_guard: task_guard,
        })
    }

    /// Sends a request over a connection and waits for the head of the answer.
    pub async fn send(
        &self,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<Response<Incoming>, CallError> {
        let sending = connection.sender.try_send_request(request);
        match within_ms(timeouts.first_byte_ms, sending).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(mut error)) => {
                // Hyper gives the request back only when no byte of it was written.
                match error.take_message() {
                    Some(_) => Err(CallError::NotSent(error.into_error().to_string())),
                    None => Err(response_error(&error.into_error())),
                }
            }
            None => Err(CallError::NoAnswer("no first byte in time".into())),
        }
    }

    /// Keeps a connection whose answer was read to the end.
    pub fn return_to_pool(&self, address: &str, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_or_insert_with(address.into(), Vec::new);
        connections.retain(|connection| !connection.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Makes a whole call and collects the body.
    pub async fn call(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
        timeouts: Timeouts,
    ) -> Result<(StatusCode, Bytes), CallError> {
        set_host(&mut request, address);
        let mut connection = self.connect(address, timeouts).await?;
        let response = self
            .send(&mut connection, request, timeouts)
            .await
            .inspect_err(|error| {
                if !matches!(error, CallError::NotSent(_)) {
                    self.discard_idle(address);
                }
            })?;
        let status = response.status();
        let body = collect(response.into_body(), timeouts.first_byte_ms).await?;
        self.return_to_pool(address, connection);
        Ok((status, body))
    }

    /// Sends JSON and reads JSON.
    pub async fn call_json<Payload, Answer>(
        &self,
        address: &str,
        method: &str,
        path: &str,
        body: &Payload,
        timeouts: Timeouts,
    ) -> Result<(StatusCode, Answer), CallError>
    where
        Payload: Serialize,
        Answer: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).expect("messages are plain data");
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let (status, body) = self.call(address, request, timeouts).await?;
        let answer = serde_json::from_slice(&body);
        answer.map(|answer| (status, answer)).map_err(|error| {
            CallError::NoAnswer(format!(
                "{status}: {error}: {}",
                String::from_utf8_lossy(&body)
            ))
        })
    }

    fn take_idle(&self, address: &str) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(address)?.pop()
    }
}

/// Names the address as the host unless the request names one.
fn set_host(request: &mut Request<Full<Bytes>>, address: &str) {
    if let Ok(host) = address.parse() {
        request.headers_mut().entry(HOST).or_insert(host);
    }
}

async fn collect(body: Incoming, timeout_ms: u64) -> Result<Bytes, CallError> {
    let collecting = Limited::new(body, MAX_BODY_BYTES).collect();
    match within_ms(timeout_ms, collecting).await {
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        Some(Err(error)) => Err(response_body_error(&*error)),
        None => Err(CallError::NoAnswer("the body took too long".into())),
    }
}

/// Why a body could not be collected: its connection ended, or its bytes make no body.
pub fn response_body_error(error: &(dyn std::error::Error + 'static)) -> CallError {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) => response_error(error),
        None => CallError::NoAnswer(error.to_string()),
    }
}

/// Tells bytes that make no answer, of a side that lives, from the end of the connection.
pub fn response_error(error: &hyper::Error) -> CallError {
    match error.is_parse() {
        true => CallError::NoAnswer(error.to_string()),
        false => CallError::Disconnected(error.to_string()),
    }
}
