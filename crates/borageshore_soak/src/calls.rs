//! Callers of the plain service: how they come to a daemon, and what they check of each answer.

use std::{net::SocketAddr, rc::Rc};

use borageshore_base::ResultCode;
use borageshore_net::{CallError, HttpClient, sleep_ms};
use bytes::Bytes;
use hyper::StatusCode;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::{
    daemons::ADDRESS_TTL_S,
    keys::CALLERS,
    traffic::{CALL_WAIT_MS, Traffic, pick},
};

/// The pause between two calls of a caller.
const CALL_PAUSE_MS: u64 = 40;
/// Some callers keep a list of addresses for as many times its time to live.
const CACHED_TTLS: u64 = 3;

/// How a caller comes to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    /// Asks for addresses before each call and opens a connection for it.
    PerCall,
    /// Keeps a list of addresses as long as callers may, and opens a connection for each call.
    CachedList,
    /// Uses a connection until the daemon closes it or answers that it will.
    KeptConnection,
}

/// What a caller keeps between two calls.
#[derive(Debug, Default)]
struct CallerState {
    addresses: Vec<SocketAddr>,
    listed_at_ms: u64,
    client: HttpClient,
}

/// Where a call goes.
#[derive(Debug, Clone, Copy)]
struct Target {
    front: SocketAddr,
    /// Whether a daemon gave the address out.
    is_listed: bool,
}

impl Traffic {
    /// Makes calls, every other one of a kind that may run once at the most.
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

    /// Asks for addresses until a daemon gives some out.
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
        let key = self.keys.header_of(CALLERS);
        let body = Bytes::from("body");
        let answer = self
            .request_as_on(client, CALLERS, front, ("POST", path), &headers, body)
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
                "{id} at {front} (listed: {is_listed}): status {status} by {at_ms} ms, begun at {began_ms} ms, {why}"
            ));
        }
        // One whose key was taken away meanwhile may be refused.
        if status == 401 && key == self.keys.header_of(CALLERS) {
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
                    .record_violation(format!("call {id} got a body that is not whole"));
            }
        }
        if is_held(body) {
            self.held_at_ms.borrow_mut().push(at_ms);
        }
        if matches!(status, StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST) {
            self.oracle
                .record_violation(format!("call {id} was denied with {status}"));
        }
    }
}

/// Says whether a refusal is of a call that crashes endpoints.
pub(crate) fn is_held(body: &Bytes) -> bool {
    let code = ResultCode::HeldBack.to_string();
    serde_json::from_slice::<Value>(body).is_ok_and(|body| body["code"] == *code)
}
