//! Callers of the plain service: how they choose a daemon, and what they check of each response.

use std::{net::SocketAddr, rc::Rc};

use borageshore_base::ResultCode;
use borageshore_net::{CallError, HttpClient, sleep_ms};
use bytes::Bytes;
use hyper::StatusCode;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::{
    daemons::ADDRESS_TTL_S,
    keys::CALLER_ORG,
    traffic::{CALL_WAIT_MS, Traffic, pick},
};

/// The pause between two calls of a caller.
const CALL_PAUSE_MS: u64 = 40;
/// [`Discovery::CachedList`] refreshes a list of addresses after this many times its time to live.
const CACHED_TTLS: u64 = 3;

/// How a caller chooses the daemon of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    /// Resolves addresses before each call and opens a connection for it.
    PerCall,
    /// Caches a list of addresses for as long as callers may, and opens a connection for each call.
    CachedList,
    /// Reuses a connection until the daemon closes it or announces that it will.
    KeptConnection,
}

/// What a caller reuses for its next call.
#[derive(Debug, Default)]
struct CallerState {
    addresses: Vec<SocketAddr>,
    listed_at_ms: u64,
    client: HttpClient,
}

/// The daemon that a call is sent to.
#[derive(Debug, Clone, Copy)]
struct Target {
    front: SocketAddr,
    /// Whether the address came from a daemon's list.
    is_listed: bool,
}

impl Traffic {
    /// Makes calls until traffic ends, every other one of a kind that must run at most once.
    pub(crate) async fn call(self: Rc<Self>, name: String, mode: Discovery, mut random: Pcg64Mcg) {
        let mut state = CallerState::default();
        let mut number = 0;
        while !self.is_over() {
            number += 1;
            let id = format!("{name}-{number}");
            let target = self.choose_target(mode, &mut state, &mut random).await;
            self.make_call(&id, number % 2 == 0, target, &state.client)
                .await;
            sleep_ms(CALL_PAUSE_MS).await;
        }
    }

    async fn choose_target(
        &self,
        mode: Discovery,
        state: &mut CallerState,
        random: &mut Pcg64Mcg,
    ) -> Target {
        match mode {
            Discovery::PerCall => {
                state.client = HttpClient::open();
                let (front, is_listed) = self.resolve(random).await;
                Target { front, is_listed }
            }
            Discovery::CachedList => {
                state.client = HttpClient::open();
                let age_ms = self.clock.now_ms() - state.listed_at_ms;
                if state.addresses.is_empty() || age_ms >= CACHED_TTLS * ADDRESS_TTL_S * 1_000 {
                    self.refresh_addresses(state, random).await;
                }
                Target {
                    front: pick(&state.addresses, random),
                    is_listed: true,
                }
            }
            Discovery::KeptConnection => {
                let open = state.addresses.first().copied();
                let open = open.filter(|front| state.client.has_idle(&front.to_string()));
                if open.is_none() {
                    let (front, _) = self.resolve(random).await;
                    state.addresses = vec![front];
                }
                Target {
                    front: state.addresses[0],
                    is_listed: true,
                }
            }
        }
    }

    /// Asks for addresses until a daemon returns some.
    async fn refresh_addresses(&self, state: &mut CallerState, random: &mut Pcg64Mcg) {
        loop {
            let asked_at_ms = self.clock.now_ms();
            if let Some(addresses) = self.resolve_all(random).await {
                state.addresses = addresses;
                state.listed_at_ms = asked_at_ms;
                return;
            }
            sleep_ms(CALL_PAUSE_MS).await;
        }
    }

    async fn make_call(
        &self,
        id: &str,
        is_at_most_once: bool,
        target: Target,
        client: &HttpClient,
    ) {
        let Target { front, is_listed } = target;
        let path = if is_at_most_once {
            "/once/x"
        } else {
            "/safe/x"
        };
        let wait = CALL_WAIT_MS.to_string();
        let headers = [("x-request-id", id), ("x-deadline-ms", &wait)];
        let began_ms = self.clock.now_ms();
        self.oracle
            .call_deadlines_ms
            .borrow_mut()
            .insert(id.into(), began_ms + CALL_WAIT_MS);
        self.record_daemon(id, front);
        let key = self.keys.header_of(CALLER_ORG);
        let body = Bytes::from("body");
        let answer = self
            .request_as_on(client, CALLER_ORG, front, ("POST", path), &headers, body)
            .await;
        let at_ms = self.clock.now_ms();
        self.calls.set(self.calls.get() + 1);
        let status = match &answer {
            Ok((status, body)) => {
                self.check_call(id, *status, body, at_ms);
                status.as_u16()
            }
            Err(_) => 0,
        };
        if status != 200 {
            let why = answer.as_ref().err().map(CallError::to_string);
            let why = why.unwrap_or_default();
            self.unanswered.borrow_mut().push(format!(
                "{id} at {front} (listed: {is_listed}): status {status} at {at_ms} ms, sent at {began_ms} ms, {why}"
            ));
        }
        // A call whose key was revoked while it was in flight may be refused.
        if status == 401 && key == self.keys.header_of(CALLER_ORG) {
            self.unauthorized_at_ms.borrow_mut().push(at_ms);
        }
        if is_at_most_once {
            let said_not_run = matches!(status, 408 | 421 | 429 | 503);
            let mut at_most_once_calls = self.oracle.at_most_once_calls.borrow_mut();
            at_most_once_calls.insert(id.into(), said_not_run);
        }
    }

    fn check_call(&self, id: &str, status: StatusCode, body: &Bytes, at_ms: u64) {
        if status == StatusCode::OK {
            self.calls_answered.set(self.calls_answered.get() + 1);
            if *body != format!("answer to {id}") {
                self.oracle
                    .record_violation(format!("call {id} got a truncated or wrong body"));
            }
        }
        if is_held(body) {
            self.harmless_held_at_ms.borrow_mut().push(at_ms);
        }
        if matches!(status, StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST) {
            self.oracle
                .record_violation(format!("call {id} was rejected with {status}"));
        }
    }
}

/// Returns whether a response says that the call is held back because it crashes endpoints.
pub(crate) fn is_held(body: &Bytes) -> bool {
    let code = ResultCode::HeldBack.to_string();
    serde_json::from_slice::<Value>(body).is_ok_and(|body| body["code"] == *code)
}
