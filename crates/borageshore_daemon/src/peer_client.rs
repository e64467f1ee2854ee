//! The client for requests to other daemons (peers).

use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_net::{read_frame, within_ms, write_frame};
use borageshore_wire::{MAX_FRAME_BYTES, PeerReply, PeerRequest, decode, encode};
use monoio::net::TcpStream;

use crate::{
    config::Secret,
    metrics::{Direction, Metrics},
};

/// Maximum number of idle connections per peer.
const MAX_IDLE_PER_PEER: usize = 16;
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Why a request to a peer failed.
#[derive(Debug)]
pub(crate) struct PeerError(String);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PeerError {}

/// A connection pool for peers.
///
/// Each connection carries one request at a time, so that an answer cannot be matched to another
/// request.
#[derive(Debug)]
pub(crate) struct PeerClient {
    token: Secret,
    idle: RefCell<SortedMap<Arc<str>, Vec<TcpStream>>>,
    metrics: Rc<Metrics>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub(crate) fn open(token: Secret, metrics: Rc<Metrics>) -> Self {
        Self {
            token,
            idle: RefCell::default(),
            metrics,
        }
    }

    /// Sends a request to a peer and waits for its answer.
    ///
    /// Guards against half-open connections: a failed call closes all idle connections to that
    /// peer, and the connection of a call that timed out is not reused.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerReply, PeerError> {
        let answered = within_ms(timeout_ms, self.exchange(address, request)).await;
        let answered = answered.unwrap_or_else(|| Err(PeerError("no answer in time".into())));
        if answered.is_err() {
            self.idle.borrow_mut().remove(address);
        }
        answered
    }

    async fn exchange(&self, address: &str, request: &PeerRequest) -> Result<PeerReply, PeerError> {
        let payload = encode(request).map_err(to_peer_error)?;
        let idle = self.idle.borrow_mut().get_mut(address).and_then(Vec::pop);
        let mut stream = match idle {
            Some(stream) => stream,
            None => self.connect(address).await?,
        };
        write_frame(&mut stream, &payload)
            .await
            .map_err(to_peer_error)?;
        let reply = read_frame(&mut stream, MAX_FRAME_BYTES)
            .await
            .map_err(to_peer_error)?;
        if matches!(request, PeerRequest::Follow(_)) {
            self.metrics
                .on_control_bytes("peer", Direction::Sent, payload.len());
            self.metrics
                .on_control_bytes("peer", Direction::Received, reply.len());
        }
        let reply = decode(&reply).map_err(to_peer_error)?;
        self.return_to_pool(address, stream);
        Ok(reply)
    }

    async fn connect(&self, address: &str) -> Result<TcpStream, PeerError> {
        let target: SocketAddr = address.parse().map_err(to_peer_error)?;
        let connected = within_ms(CONNECT_TIMEOUT_MS, TcpStream::connect_addr(target)).await;
        let connected = connected.ok_or_else(|| PeerError("connecting took too long".into()))?;
        let mut stream = connected.map_err(to_peer_error)?;
        let _ = stream.set_nodelay(true);
        write_frame(&mut stream, self.token.as_bytes())
            .await
            .map_err(to_peer_error)?;
        Ok(stream)
    }

    fn return_to_pool(&self, address: &str, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_or_insert_with(address.into(), Vec::new);
        if streams.len() < MAX_IDLE_PER_PEER {
            streams.push(stream);
        }
    }
}

fn to_peer_error<Cause>(cause: Cause) -> PeerError
where
    Cause: fmt::Display,
{
    PeerError(cause.to_string())
}
