//! An HTTP server with limits on connections and request sizes.

use std::{
    cell::Cell, convert::Infallible, future::Future, io, net::SocketAddr, pin::pin, rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::{Either as Race, select};
use http_body_util::{
    Either, Full,
    channel::{Channel, Sender},
};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1::Builder,
    service::service_fn,
};
use monoio::{
    io::IntoPollIo,
    net::{ListenerOpts, TcpListener, TcpStream},
};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use serde::Serialize;
use tokio::sync::Notify;

use crate::{
    event_loop::{ReceivePace, sleep_ms, within_ms},
    memory::{AccountedIo, ConnectionAccount, HeldBodyError, MemoryBudget, read_body_while},
    metered::{MeteredIo, ReadCredit, ReceivedBody},
};

/// The pause after a failed accept.
const ACCEPT_RETRY_MS: u64 = 50;
/// On shutdown, the accept queue counts as empty when no connection arrives for this long.
const ACCEPT_DRAIN_MS: u64 = 2;
/// The number of chunks that are buffered for a slow reader before the writer blocks.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// The error that ends a streamed body early.
pub type StreamBodyError = io::Error;
/// A response body: complete, or streamed with back-pressure.
pub type EdgeBody = Either<Full<Bytes>, Channel<Bytes, StreamBodyError>>;
/// A request as received by a [`Handler`].
pub type EdgeRequest = Request<ReceivedBody>;
/// A response as returned by a [`Handler`].
pub type EdgeResponse = Response<EdgeBody>;

/// Limits on connections and requests.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum size of a request head; at least 8 KiB are allowed.
    pub head_bytes: usize,
    /// The maximum size of a request body.
    pub body_bytes: usize,
    /// The timeout for a complete request head, also between two requests of a connection.
    pub head_timeout_ms: u64,
    /// The timeout for a complete request body.
    pub body_timeout_ms: u64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
        }
    }
}

/// Handles requests.
pub trait Handler {
    /// Handles one request from `remote`.
    fn handle(
        &self,
        request: EdgeRequest,
        remote: SocketAddr,
    ) -> impl Future<Output = EdgeResponse>;
}

#[derive(Debug, Default)]
struct ServerState {
    open: Cell<usize>,
    refused: Cell<u64>,
    is_stopping: Cell<bool>,
    stopping: Notify,
    is_closed: Cell<bool>,
    closed: Notify,
}

/// What the connections of a server share.
#[derive(Debug)]
struct ServerParts<Service> {
    limits: ServerLimits,
    budget: Option<MemoryBudget>,
    handler: Service,
    shared: Rc<ServerState>,
}

/// A handle to a running server.
#[derive(Debug, Clone)]
pub struct HttpServer {
    address: SocketAddr,
    shared: Rc<ServerState>,
}

impl HttpServer {
    /// Binds an address and serves it on the current event loop.
    pub fn bind<Service>(address: &str, limits: ServerLimits, handler: Service) -> io::Result<Self>
    where
        Service: Handler + 'static,
    {
        Self::bind_within(address, limits, None, handler)
    }

    /// Like [`HttpServer::bind`]; responses count in a budget of memory until they are written out, if there is one.
    pub fn bind_within<Service>(
        address: &str,
        limits: ServerLimits,
        budget: Option<MemoryBudget>,
        handler: Service,
    ) -> io::Result<Self>
    where
        Service: Handler + 'static,
    {
        let listener = bind_listener(address)?;
        let server = Self {
            address: listener.local_addr()?,
            shared: Rc::default(),
        };
        let server_parts = ServerParts {
            limits,
            budget,
            handler,
            shared: server.shared.clone(),
        };
        monoio::spawn(accept_loop(listener, Rc::new(server_parts)));
        Ok(server)
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open.get()
    }

    /// Returns the number of connections refused because of the limit.
    pub fn refused_connections(&self) -> u64 {
        self.shared.refused.get()
    }

    /// Closes idle connections at once and every other connection after its next response: those that
    /// serve a request, those that wait for their first one, and those that are opened later.
    pub fn stop_gracefully(&self) {
        self.shared.is_stopping.set(true);
        self.shared.stopping.notify_waiters();
    }

    /// Stops listening. Connections already in the accept queue are still served.
    pub fn close(&self) {
        self.shared.is_closed.set(true);
        self.shared.closed.notify_waiters();
    }
}

/// Binds an address exclusively.
///
/// monoio sets `SO_REUSEPORT` by default, which lets two processes bind the same address and spreads
/// connections over both.
pub fn bind_listener(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

async fn accept_loop<Service>(listener: TcpListener, server: Rc<ServerParts<Service>>)
where
    Service: Handler + 'static,
{
    let shared = &server.shared;
    let mut pace = ReceivePace::default();
    while !shared.is_closed.get() {
        pace.on_message().await;
        let closed = shared.closed.notified();
        match select(pin!(listener.accept()), pin!(closed)).await {
            Race::Left((Ok(accepted), _)) => spawn_connection(accepted, &server),
            // Probably out of file descriptors: pause instead of spinning.
            Race::Left((Err(_), _)) => sleep_ms(ACCEPT_RETRY_MS).await,
            Race::Right(_) => {}
        }
    }
    // Dropping the listener would reset the connections in its accept queue.
    while let Some(Ok(accepted)) = within_ms(ACCEPT_DRAIN_MS, listener.accept()).await {
        spawn_connection(accepted, &server);
    }
}

fn spawn_connection<Service>(
    (stream, remote): (TcpStream, SocketAddr),
    server: &Rc<ServerParts<Service>>,
) where
    Service: Handler + 'static,
{
    let shared = &server.shared;
    if shared.open.get() >= server.limits.connections {
        shared.refused.set(shared.refused.get() + 1);
        return;
    }
    shared.open.set(shared.open.get() + 1);
    let server = server.clone();
    monoio::spawn(async move {
        let budget = server.budget.as_ref();
        let account = budget.map(|budget| Rc::new(budget.connection(remote)));
        let serving = serve_connection(stream, remote, server.clone(), account.clone());
        let served = match &account {
            // First, so that a connection that is to be closed takes no other request.
            Some(account) => match select(pin!(account.closing()), pin!(serving)).await {
                Race::Left(_) => Ok(()),
                Race::Right((served, _)) => served,
            },
            None => serving.await,
        };
        if let Err(error) = served {
            log::debug!("connection from {remote} ended: {error}");
        }
        let shared = &server.shared;
        shared.open.set(shared.open.get() - 1);
    });
}

async fn serve_connection<Service>(
    stream: TcpStream,
    remote: SocketAddr,
    server: Rc<ServerParts<Service>>,
    account: Option<Rc<ConnectionAccount>>,
) -> Result<(), Box<dyn std::error::Error>>
where
    Service: Handler + 'static,
{
    let (limits, shared) = (server.limits, &server.shared);
    let _ = stream.set_nodelay(true);
    let credit = ReadCredit::open();
    let io = MonoioIo::new(MeteredIo::new(stream.into_poll_io()?, credit.clone()));
    let io = AccountedIo::new(io, account.clone());
    let has_request = Rc::new(Cell::new(false));
    let service = service_fn(|request: Request<Incoming>| {
        has_request.set(true);
        credit.restart();
        let request = request.map(|body| ReceivedBody::new(body, credit.clone()));
        let (server, account) = (server.clone(), account.clone());
        async move {
            let mut response = server.handler.handle(request, remote).await;
            if server.shared.is_stopping.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            if let Some(account) = &account {
                account.on_response(response.body());
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = Builder::new();
    builder.timer(MonoioTimer);
    builder.max_buf_size(limits.head_bytes.max(8 * 1024));
    builder.header_read_timeout(Duration::from_millis(limits.head_timeout_ms));
    let mut connection = pin!(builder.serve_connection(io, service));
    let stopping = pin!(shared.stopping.notified());
    if !shared.is_stopping.get() {
        match select(connection.as_mut(), stopping).await {
            Race::Left((ended, _)) => return ended.map_err(Into::into),
            // A graceful shutdown makes hyper close a connection that has had no request yet, although
            // its first one may already be in transit.
            Race::Right(_) if has_request.get() => connection.as_mut().graceful_shutdown(),
            Race::Right(_) => {}
        }
    }
    connection.await.map_err(Into::into)
}

/// Creates a complete body.
pub fn full_body<Content>(content: Content) -> EdgeBody
where
    Content: Into<Bytes>,
{
    Either::Left(Full::new(content.into()))
}

/// Creates an empty body.
pub fn empty_body() -> EdgeBody {
    full_body(Bytes::new())
}

/// Creates a streamed body and its sender.
pub fn stream_body() -> (Sender<Bytes, StreamBodyError>, EdgeBody) {
    let (sender, channel) = Channel::new(STREAM_BUFFER_CHUNKS);
    (sender, Either::Right(channel))
}

/// Creates a JSON response.
pub fn json_response<Content>(status: u16, content: &Content) -> EdgeResponse
where
    Content: Serialize,
{
    let body = serde_json::to_vec(content).expect("responses serialize to JSON");
    Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("the response head is valid")
}

/// Reads a request body within the limits.
pub async fn read_body(mut body: ReceivedBody, limits: ServerLimits) -> Result<Bytes, BodyError> {
    let read = read_body_while(&mut body, limits, |_| true).await;
    read.map_err(|error| match error {
        HeldBodyError::Body(error) => error,
        HeldBodyError::OverMemory => BodyError::TooLarge,
    })
}

/// Why a request body could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// Larger than the limit.
    TooLarge,
    /// Not complete within the timeout.
    TooSlow,
    /// Invalid chunks, or the connection failed.
    Malformed(String),
}
