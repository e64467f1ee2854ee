//! Calls to the store, on this daemon's own way or through a peer.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
};

use borageshore_membership::{StoreCallOutcome, StoreFailover, StoreRoute};
use borageshore_net::{CallError, Clock, EdgeRequest, EdgeResponse, Handler, full_body, read_body};
use borageshore_platform::{StoreCall, StoreConnections, StoreTransport, is_store_answer};
use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::{Response, StatusCode};
use tokio::sync::Notify;

use crate::{
    quarantine::{CLEARED_PATH, CRASHES_PATH, Quarantine},
    server::server_limits,
    true_time::{CLOCK_PATH, SharedTime},
};

/// The store as this daemon calls it.
pub(crate) type Store = borageshore_platform::Store<StorePath>;

/// An append that has no answer by then is given to a peer as well. A slow store answers in 200 ms, and
/// an append may be repeated; a daemon that reaches nobody stops its heartbeats after 3 s.
const OWN_WAY_MS: u64 = 600;
/// What a peer may take beyond the store's own time.
const PEER_SLACK_MS: u64 = 200;
/// How many peers are asked for one call.
const PEERS_ASKED: usize = 2;

type Answer = Result<(StatusCode, Bytes), CallError>;

/// The ways to the store.
#[derive(Debug, Clone)]
pub(crate) struct StorePath {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    address: Arc<str>,
    clock: Clock,
    connections: StoreConnections,
    has_detour: bool,
    way: RefCell<StoreFailover>,
    peers: RefCell<Vec<Arc<str>>>,
    next_peer: Cell<usize>,
    /// When the store last answered, on either way.
    answered_at_ms: Cell<u64>,
    /// Told when the own way turns out to be closed.
    closed: Notify,
}

impl StorePath {
    pub(crate) fn open(address: Arc<str>, clock: Clock, has_detour: bool) -> Self {
        Self {
            inner: Rc::new(Inner {
                address,
                clock,
                connections: StoreConnections::default(),
                has_detour,
                way: RefCell::default(),
                peers: RefCell::default(),
                next_peer: Cell::default(),
                answered_at_ms: Cell::new(clock.now_ms()),
                closed: Notify::new(),
            }),
        }
    }

    /// Takes over where peers can be asked to pass calls on, the nearest first.
    pub(crate) fn set_peers(&self, peers: Vec<Arc<str>>) {
        if self.inner.has_detour {
            self.inner.peers.replace(peers);
        }
    }

    /// For how long the store has not answered, on either way.
    pub(crate) fn silent_ms(&self) -> u64 {
        let now_ms = self.inner.clock.now_ms();
        now_ms - self.inner.answered_at_ms.get()
    }

    /// Says whether calls go through peers.
    pub(crate) fn is_detour(&self) -> bool {
        self.inner.way.borrow().uses_peers()
    }

    /// Makes a call on this daemon's own way.
    async fn call_own(&self, call: &StoreCall) -> Answer {
        let inner = &self.inner;
        let answer = inner.connections.call_at(&inner.address, call).await;
        let is_open = inner
            .way
            .borrow_mut()
            .on_direct_result(is_answered(&answer), inner.clock.now_ms());
        if is_open {
            log::info!("this daemon's own way to the store is open again");
        }
        answer
    }

    /// Makes a call through a peer; if none has an answer, what leaves most open.
    async fn call_by_peer(&self, call: &StoreCall) -> Option<Answer> {
        let peers: Vec<Arc<str>> = self.inner.peers.borrow().clone();
        let call = StoreCall {
            first_byte_ms: call.first_byte_ms + PEER_SLACK_MS,
            ..call.clone()
        };
        let mut failed = None;
        for _ in 0..PEERS_ASKED.min(peers.len()) {
            let number = self.inner.next_peer.get() % peers.len();
            let answer = self.inner.connections.call_at(&peers[number], &call).await;
            if is_answered(&answer) {
                return Some(answer);
            }
            self.inner.next_peer.set(number + 1);
            let may_go_on = end_of(&answer).may_try_other_route(call.is_idempotent);
            failed = Some(worse(answer, failed));
            if !may_go_on {
                break;
            }
        }
        failed
    }

    fn note_peer(&self, answer: Option<&Answer>) {
        let is_ours = answer.is_some_and(is_answered);
        let now_ms = self.inner.clock.now_ms();
        if self.inner.way.borrow_mut().on_peer_result(is_ours, now_ms) {
            log::warn!("the store does not answer this daemon, peers pass its calls on");
            self.inner.closed.notify_waiters();
        }
    }

    /// The own way first; what gets no answer there goes to a peer.
    async fn call_own_first(&self, call: &StoreCall) -> Answer {
        let has_peers = !self.inner.peers.borrow().is_empty();
        let own = StoreCall {
            first_byte_ms: match call.is_append() && has_peers {
                true => call.first_byte_ms.min(OWN_WAY_MS),
                false => call.first_byte_ms,
            },
            ..call.clone()
        };
        let closed = self.inner.closed.notified();
        let answer = match select(pin!(self.call_own(&own)), pin!(closed)).await {
            Either::Left((answer, _)) => answer,
            // Only a read may still be waiting then, as appends are given up sooner.
            Either::Right(_) => Err(CallError::NoAnswer("the own way is closed".into())),
        };
        let is_in_doubt = {
            let way = self.inner.way.borrow();
            way.uses_peers() || way.may_ask_peers(self.inner.clock.now_ms())
        };
        let is_cut = call.is_append() && matches!(answer, Err(CallError::Disconnected(_)));
        let may_ask = has_peers && (is_in_doubt || is_cut);
        if !may_ask || !end_of(&answer).may_try_other_route(call.is_idempotent) {
            return answer;
        }
        let by_peer = self.call_by_peer(call).await;
        if is_in_doubt {
            self.note_peer(by_peer.as_ref());
        } else {
            let is_done = by_peer.as_ref().is_some_and(is_answered);
            log::info!(is_done; "an append was cut off, peers were asked to repeat it");
        }
        worse(answer, by_peer)
    }

    async fn call_by_peer_first(&self, call: &StoreCall) -> Answer {
        let by_peer = self.call_by_peer(call).await;
        match by_peer {
            Some(answer) if !end_of(&answer).may_try_other_route(call.is_idempotent) => answer,
            by_peer => {
                self.note_peer(by_peer.as_ref());
                let own = self.call_own(call).await;
                worse(own, by_peer)
            }
        }
    }
}

impl StoreTransport for StorePath {
    async fn call(&self, call: StoreCall) -> Answer {
        let now_ms = self.inner.clock.now_ms();
        let may_probe = call.is_append() && call.is_idempotent;
        let way = self.inner.way.borrow_mut().next_route(may_probe, now_ms);
        let answer = match way {
            StoreRoute::Direct => self.call_own_first(&call).await,
            StoreRoute::Peer => self.call_by_peer_first(&call).await,
        };
        if is_answered(&answer) {
            self.inner.answered_at_ms.set(self.inner.clock.now_ms());
        }
        answer
    }
}

fn is_answered(answer: &Answer) -> bool {
    end_of(answer) == StoreCallOutcome::Answered
}

fn end_of(answer: &Answer) -> StoreCallOutcome {
    match answer {
        Ok((status, _)) if is_store_answer(*status) => StoreCallOutcome::Answered,
        Ok((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
            StoreCallOutcome::Refused
        }
        Err(CallError::NotSent(_)) => StoreCallOutcome::Refused,
        Ok(_) | Err(CallError::NoAnswer(_) | CallError::Disconnected(_)) => StoreCallOutcome::Unknown,
    }
}

/// Of two tries the one that is answered, else the one that leaves more open: what one may have done is
/// not undone by the other's refusal.
fn worse(one: Answer, other: Option<Answer>) -> Answer {
    match other {
        Some(other) if end_of(&other).takes_precedence_over(end_of(&one)) => other,
        _ => one,
    }
}

/// What peers ask of this daemon: to pass calls on to the store, as long as it reaches that itself, to take over what
/// they tell of crashes, and to show its clocks.
#[derive(Debug, Clone)]
pub(crate) struct StoreRelay {
    pub(crate) path: StorePath,
    pub(crate) quarantine: Rc<Quarantine>,
    pub(crate) time: Rc<SharedTime>,
}

impl Handler for StoreRelay {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        if request.uri().path() == CRASHES_PATH {
            return self.quarantine.on_told(request).await;
        }
        if request.uri().path() == CLEARED_PATH {
            return self.quarantine.on_cleared(request).await;
        }
        if request.uri().path() == CLOCK_PATH {
            return self.time.show();
        }
        let (head, body) = request.into_parts();
        let Ok(body) = read_body(body, server_limits()).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let Some(call) = StoreCall::from_peer(head.method, target, body) else {
            return status(StatusCode::NOT_FOUND);
        };
        let now_ms = self.path.inner.clock.now_ms();
        if !self.path.inner.way.borrow().reaches_store(now_ms) {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match self.path.call_own(&call).await {
            Ok((answer, body)) => {
                let mut response = Response::new(full_body(body));
                *response.status_mut() = answer;
                response
            }
            Err(CallError::NotSent(_)) => status(StatusCode::SERVICE_UNAVAILABLE),
            Err(CallError::NoAnswer(_) | CallError::Disconnected(_)) => {
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
