//! Calls to the store, on the direct route or through a peer.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use borageshore_membership::{StoreCallOutcome, StoreFailover, StorePeer, StoreRoute};
use borageshore_net::{CallError, Clock, EdgeRequest, EdgeResponse, Handler, full_body, read_body};
use borageshore_platform::{StoreCall, StoreConnections, StoreTransport, is_store_response};
use borageshore_topology::Topology;
use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::{Response, StatusCode};
use tokio::sync::Notify;

use crate::{
    feed::{FEED_PATH, Feed, REGISTER_PATH},
    quarantine::{CLEARED_PATH, CRASHES_PATH, Quarantine},
    server::peer_limits,
    true_time::{CLOCK_PATH, SharedTime},
};

/// The store client, whose calls fail over to peers.
pub(crate) type Store = borageshore_platform::Store<FailoverTransport>;

/// The timeout of an append on the direct route before it is repeated through a peer. Longer than a slow store's 200
/// ms, and short enough that both routes are tried before the heartbeats stop after 3 s. An append may be repeated.
const DIRECT_APPEND_TIMEOUT_MS: u64 = 600;
/// The time that a peer may add to the store's response time.
const PEER_SLACK_MS: u64 = 200;
/// The number of peers that are tried for one call.
const MAX_PEERS_TRIED: usize = 2;

type CallResult = Result<(StatusCode, Bytes), CallError>;

/// A store transport that falls back to peers when the store does not answer directly.
#[derive(Debug, Clone)]
pub(crate) struct FailoverTransport {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    address: Arc<str>,
    clock: Clock,
    topology: Rc<Topology>,
    connections: StoreConnections,
    may_use_peers: bool,
    failover: RefCell<StoreFailover>,
    peers: RefCell<Vec<StorePeer>>,
    next_peer: Cell<usize>,
    /// When the store last answered, on either route, or a peer passed on that it had.
    responded_at_ms: Cell<u64>,
    /// Whether this daemon reads the store all the time.
    reads_directly: Cell<bool>,
    /// Notified when calls switch from the direct route to peers.
    switched_to_peers: Notify,
}

impl FailoverTransport {
    pub(crate) fn open(
        address: Arc<str>,
        clock: Clock,
        topology: Rc<Topology>,
        may_use_peers: bool,
    ) -> Self {
        Self {
            inner: Rc::new(Inner {
                address,
                clock,
                topology,
                connections: StoreConnections::open(),
                may_use_peers,
                failover: RefCell::default(),
                peers: RefCell::default(),
                next_peer: Cell::default(),
                responded_at_ms: Cell::new(clock.now_ms()),
                reads_directly: Cell::new(true),
                switched_to_peers: Notify::new(),
            }),
        }
    }

    /// Replaces the peers that forward calls, nearest first.
    pub(crate) fn set_peers(&self, peers: Vec<StorePeer>) {
        if self.inner.may_use_peers {
            self.inner.peers.replace(peers);
        }
    }

    /// Records that the store had answered a peer this long ago.
    pub(crate) fn on_heard(&self, age_ms: u64) {
        let heard_at_ms = self.inner.clock.now_ms().saturating_sub(age_ms);
        let responded_at_ms = self.inner.responded_at_ms.get();
        self.inner
            .responded_at_ms
            .set(responded_at_ms.max(heard_at_ms));
    }

    /// Sets whether this daemon reads the store all the time. One that does not may be able to forward calls although
    /// the store has not answered it for long.
    pub(crate) fn set_reads_directly(&self, reads_directly: bool) {
        self.inner.reads_directly.set(reads_directly);
    }

    /// The time since the store last answered, on either route or to a peer that this daemon reads from.
    pub(crate) fn silent_ms(&self) -> u64 {
        let now_ms = self.inner.clock.now_ms();
        now_ms - self.inner.responded_at_ms.get()
    }

    /// Whether calls go through peers first.
    pub(crate) fn uses_peers(&self) -> bool {
        self.inner.failover.borrow().uses_peers()
    }

    /// Makes a call on the direct route.
    async fn call_direct(&self, call: &StoreCall) -> CallResult {
        let inner = &self.inner;
        let answer = inner.connections.call_at(&inner.address, call).await;
        let is_restored = inner
            .failover
            .borrow_mut()
            .on_direct_result(is_answered(&answer), inner.clock.now_ms());
        if is_restored {
            log::info!("store answers directly again; no longer sending store calls through peers");
        }
        answer
    }

    /// The addresses of the peers that may see what a call writes or reads.
    fn peers_for(&self, call: &StoreCall) -> Vec<Arc<str>> {
        let topology = &self.inner.topology;
        let is_allowed = |peer: &&StorePeer| topology.allows(&call.residency, &peer.zone);
        let peers = self.inner.peers.borrow();
        let allowed = peers.iter().filter(is_allowed);
        allowed.map(|peer| peer.address.clone()).collect()
    }

    /// Makes a call through a peer. If none returns the store's answer, returns the failure that [`dominant_result`]
    /// selects; `None` if there are no peers.
    async fn call_via_peer(&self, call: &StoreCall) -> Option<CallResult> {
        let peers = self.peers_for(call);
        let call = StoreCall {
            first_byte_ms: call.first_byte_ms + PEER_SLACK_MS,
            ..call.clone()
        };
        let mut failed = None;
        for _ in 0..MAX_PEERS_TRIED.min(peers.len()) {
            let index = self.inner.next_peer.get() % peers.len();
            let answer = self.inner.connections.call_at(&peers[index], &call).await;
            if is_answered(&answer) {
                return Some(answer);
            }
            self.inner.next_peer.set(index + 1);
            let may_try_next = outcome_of(&answer).may_try_other_route(call.is_idempotent);
            failed = Some(dominant_result(answer, failed));
            if !may_try_next {
                break;
            }
        }
        failed
    }

    fn on_peer_result(&self, call: &StoreCall, answer: Option<&CallResult>) {
        let has_answered = answer.is_some_and(is_answered);
        if call.residency.is_restricted() && !has_answered {
            // Says nothing about the peers that may not see this call.
            return;
        }
        let now_ms = self.inner.clock.now_ms();
        if self
            .inner
            .failover
            .borrow_mut()
            .on_peer_result(has_answered, now_ms)
        {
            log::warn!("store does not answer directly; sending store calls through peers");
            self.inner.switched_to_peers.notify_waiters();
        }
    }

    /// Tries the direct route, then peers if the call has no answer and may be repeated.
    async fn call_direct_first(&self, call: &StoreCall) -> CallResult {
        let has_peers = !self.peers_for(call).is_empty();
        let direct_call = StoreCall {
            first_byte_ms: match call.is_append() && has_peers {
                true => call.first_byte_ms.min(DIRECT_APPEND_TIMEOUT_MS),
                false => call.first_byte_ms,
            },
            ..call.clone()
        };
        let switched_to_peers = self.inner.switched_to_peers.notified();
        let answer = match select(
            pin!(self.call_direct(&direct_call)),
            pin!(switched_to_peers),
        )
        .await
        {
            Either::Left((answer, _)) => answer,
            // Only reads wait this long: an append with peers available times out sooner.
            Either::Right(_) => Err(CallError::NoResponse("calls switched to peers".into())),
        };
        let is_direct_suspect = {
            let failover = self.inner.failover.borrow();
            failover.uses_peers() || failover.may_ask_peers(self.inner.clock.now_ms())
        };
        let is_connection_broken =
            call.is_append() && matches!(answer, Err(CallError::Disconnected(_)));
        let may_ask = has_peers && (is_direct_suspect || is_connection_broken);
        if !may_ask || !outcome_of(&answer).may_try_other_route(call.is_idempotent) {
            return answer;
        }
        let peer_result = self.call_via_peer(call).await;
        if is_direct_suspect {
            self.on_peer_result(call, peer_result.as_ref());
        } else {
            let is_done = peer_result.as_ref().is_some_and(is_answered);
            log::info!(is_done; "connection broke during an append; peers were asked to repeat it");
        }
        dominant_result(answer, peer_result)
    }

    async fn call_via_peer_first(&self, call: &StoreCall) -> CallResult {
        if call.residency.is_restricted() && self.peers_for(call).is_empty() {
            let why = "no direct answer of the store, and no peer in an allowed region";
            return Err(CallError::NotSent(why.into()));
        }
        let peer_result = self.call_via_peer(call).await;
        match peer_result {
            Some(answer) if !outcome_of(&answer).may_try_other_route(call.is_idempotent) => answer,
            peer_result => {
                self.on_peer_result(call, peer_result.as_ref());
                let direct_result = self.call_direct(call).await;
                dominant_result(direct_result, peer_result)
            }
        }
    }
}

impl StoreTransport for FailoverTransport {
    async fn call(&self, call: StoreCall) -> CallResult {
        let now_ms = self.inner.clock.now_ms();
        let may_probe = call.is_append() && call.is_idempotent;
        let route = self
            .inner
            .failover
            .borrow_mut()
            .next_route(may_probe, now_ms);
        let answer = match route {
            StoreRoute::Direct => self.call_direct_first(&call).await,
            StoreRoute::Peer => self.call_via_peer_first(&call).await,
        };
        if is_answered(&answer) {
            self.inner.responded_at_ms.set(self.inner.clock.now_ms());
        }
        answer
    }
}

fn is_answered(answer: &CallResult) -> bool {
    outcome_of(answer) == StoreCallOutcome::Answered
}

fn outcome_of(answer: &CallResult) -> StoreCallOutcome {
    match answer {
        Ok((status, _)) if is_store_response(*status) => StoreCallOutcome::Answered,
        Ok((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
            StoreCallOutcome::Refused
        }
        Err(CallError::NotSent(_)) => StoreCallOutcome::Refused,
        Ok(_) | Err(CallError::NoResponse(_) | CallError::Disconnected(_)) => {
            StoreCallOutcome::Unknown
        }
    }
}

/// The result of a call that was tried on two routes: an answer if there is one, else an unknown outcome before a
/// refusal, as the attempt with the unknown outcome may have taken effect.
fn dominant_result(first: CallResult, second: Option<CallResult>) -> CallResult {
    match second {
        Some(second) if outcome_of(&second).takes_precedence_over(outcome_of(&first)) => second,
        _ => first,
    }
}

/// Serves requests of peers: forwards store calls while the direct route works, passes on shared topics, and handles
/// quarantine messages and clock requests.
#[derive(Debug, Clone)]
pub(crate) struct PeerHandler {
    pub(crate) store_transport: FailoverTransport,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) time: Rc<SharedTime>,
    pub(crate) feed: Rc<Feed>,
}

impl Handler for PeerHandler {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        if request.uri().path() == CRASHES_PATH {
            return self.quarantine.on_crash_reports(request).await;
        }
        if request.uri().path() == CLEARED_PATH {
            return self.quarantine.on_cleared(request).await;
        }
        if request.uri().path() == FEED_PATH {
            return self.feed.on_poll(request).await;
        }
        if request.uri().path() == REGISTER_PATH {
            return self.feed.on_register(request).await;
        }
        if request.uri().path() == CLOCK_PATH {
            return self.time.clock_response();
        }
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, peer_limits()).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let Some(call) = StoreCall::from_peer(head.method, target, body) else {
            return status(StatusCode::NOT_FOUND);
        };
        let now_ms = self.store_transport.inner.clock.now_ms();
        let inner = &self.store_transport.inner;
        let reads_directly = inner.reads_directly.get();
        if !inner
            .failover
            .borrow()
            .reaches_store(reads_directly, now_ms)
        {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match self.store_transport.call_direct(&call).await {
            Ok((answer, body)) => {
                let mut response = Response::new(full_body(body));
                *response.status_mut() = answer;
                response
            }
            Err(CallError::NotSent(_)) => status(StatusCode::SERVICE_UNAVAILABLE),
            Err(CallError::NoResponse(_) | CallError::Disconnected(_)) => {
                status(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }
}

fn status(status: StatusCode) -> EdgeResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
