//! Calls to plain services; non-idempotent calls run at most once per request key.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_membership::Health;
use borageshore_net::{CallError, Timeouts};
use borageshore_routing::{
    Attempt, ChoiceRequest, Idempotent, KeyDecision, KeyPrefix, Outcome, StoredAnswer, Workload,
    choose_endpoint,
};
use borageshore_topology::Residency;
use borageshore_wire::{CallReply, CallRequest, PeerReply, PeerRequest};
use bytes::Bytes;

use crate::{
    admission::AdmissionRequest,
    daemon::Daemon,
    generation::EndpointRequestGuard,
    peer_server::failed_call,
    platform::plain::{ConnectionUse, PlainCall, call_plain},
};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Extra time after the call's deadline for the answer of the peer to arrive.
const FORWARD_SLACK_MS: u64 = 1_000;
/// The interval at which a repeated call checks for the answer of the first one.
const ANSWER_POLL_MS: u64 = 500;

/// A call to a service, as received by the edge.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    pub(crate) service: Arc<str>,
    /// The settings node that the call runs under.
    pub(crate) node: Arc<str>,
    pub(crate) method: Arc<str>,
    pub(crate) path: Arc<str>,
    pub(crate) content_type: Arc<str>,
    pub(crate) body: Bytes,
    pub(crate) request_key: Arc<str>,
    pub(crate) idempotent: Idempotent,
    pub(crate) deadline_ms: u64,
}

/// The answer to the caller.
#[derive(Debug, Clone)]
pub(crate) struct CallAnswer {
    pub(crate) outcome: Outcome,
    pub(crate) answer: StoredAnswer,
    pub(crate) retry_after_ms: Option<u64>,
}

impl CallAnswer {
    /// An answer made by this daemon instead of an endpoint.
    pub(crate) fn fault(fault: Fault, outcome: Outcome) -> Self {
        let answer = StoredAnswer {
            code: fault.code,
            status: fault.code.http_status(),
            content_type: "text/plain".into(),
            body: Vec::new(),
            detail: fault.detail,
        };
        Self {
            outcome,
            answer,
            retry_after_ms: None,
        }
    }
}

/// Runs a call, either here or, if it is not idempotent, at the daemon that owns its request key.
pub(crate) async fn call_service(daemon: &Rc<Daemon>, call: ServiceCall) -> CallAnswer {
    if call.idempotent == Idempotent::Yes {
        return run(daemon, &call).await;
    }
    let Some(prefix) = KeyPrefix::parse(&call.request_key) else {
        let fault = Fault::new(ResultCode::KeyWithoutPrefix, &*call.request_key);
        return CallAnswer::fault(fault, Outcome::NotRun);
    };
    if daemon.keys.borrow().owns(&prefix) {
        return run_once(daemon, &call, &prefix).await;
    }
    forward(daemon, &call, &prefix).await
}

/// Runs a call whose key this incarnation owns, or returns the answer of an earlier run.
async fn run_once(daemon: &Rc<Daemon>, call: &ServiceCall, prefix: &KeyPrefix) -> CallAnswer {
    loop {
        let decision = daemon
            .keys
            .borrow_mut()
            .decide(&call.request_key, prefix, daemon.now_ms());
        match decision {
            KeyDecision::Run => return run_and_record(daemon, call).await,
            KeyDecision::Replay(answer) => {
                let outcome = replayed_outcome(answer.code);
                return CallAnswer {
                    outcome,
                    answer,
                    retry_after_ms: None,
                };
            }
            KeyDecision::Refuse(code) => {
                let outcome = if code == ResultCode::KeyMemoryFull {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                };
                return CallAnswer::fault(Fault::new(code, &*call.request_key), outcome);
            }
            KeyDecision::Wait if daemon.now_ms() >= call.deadline_ms => {
                let fault = Fault::new(
                    ResultCode::EndpointLost,
                    "the first call of this key still runs",
                );
                return CallAnswer::fault(fault, Outcome::Unknown);
            }
            KeyDecision::Wait => {
                borageshore_net::within_ms(ANSWER_POLL_MS, daemon.keys_answered.notified()).await;
            }
        }
    }
}

fn replayed_outcome(code: ResultCode) -> Outcome {
    if code == ResultCode::Done {
        Outcome::Done
    } else {
        Outcome::Unknown
    }
}

/// Runs the call and records its answer, on a separate task, so that the answer is recorded even
/// if the caller disconnects.
async fn run_and_record(daemon: &Rc<Daemon>, call: &ServiceCall) -> CallAnswer {
    let (daemon, call) = (daemon.clone(), call.clone());
    let running = monoio::spawn(async move {
        let answer = run(&daemon, &call).await;
        let mut keys = daemon.keys.borrow_mut();
        match answer.outcome {
            Outcome::NotRun => keys.on_not_run(&call.request_key),
            Outcome::Done | Outcome::Unknown => {
                keys.on_answer(&call.request_key, answer.answer.clone());
            }
        }
        drop(keys);
        daemon.keys_answered.notify_waiters();
        answer
    });
    running.await
}

/// Forwards the call to the daemon that owns its key.
///
/// Guards against a second run: no other daemon runs the key, and if forwarding fails, the outcome
/// is unknown, since this or an earlier copy of the call may have reached the owner.
async fn forward(daemon: &Rc<Daemon>, call: &ServiceCall, prefix: &KeyPrefix) -> CallAnswer {
    let owner = {
        let membership = daemon.membership.borrow();
        let is_gone = membership.health(&prefix.daemon, daemon.now_ms()) == Health::Dead;
        let entry = membership.entry(&prefix.daemon);
        let entry = entry.filter(|entry| entry.incarnation == prefix.incarnation && !is_gone);
        entry.map(|entry| entry.peer_address.clone())
    };
    let Some(address) = owner else {
        let fault = Fault::new(ResultCode::KeyOwnerGone, prefix.to_string());
        return CallAnswer::fault(fault, Outcome::Unknown);
    };
    let remaining_ms = call.deadline_ms.saturating_sub(daemon.now_ms());
    let request = PeerRequest::Call(to_wire(call, remaining_ms));
    match daemon
        .peers
        .call(&address, &request, remaining_ms + FORWARD_SLACK_MS)
        .await
    {
        Ok(PeerReply::Call(reply)) => from_wire(reply),
        Ok(_) => CallAnswer::fault(
            Fault::new(ResultCode::KeyOwnerGone, "wrong reply"),
            Outcome::Unknown,
        ),
        Err(error) => {
            let fault = Fault::new(ResultCode::KeyOwnerGone, format!("{prefix}: {error}"));
            CallAnswer::fault(fault, Outcome::Unknown)
        }
    }
}

/// Handles a call forwarded by a peer.
pub(crate) async fn on_peer_call(daemon: &Rc<Daemon>, request: CallRequest) -> CallReply {
    let Some(prefix) = KeyPrefix::parse(&request.request_key) else {
        return failed_call(Fault::new(
            ResultCode::KeyWithoutPrefix,
            request.request_key,
        ));
    };
    if !daemon.keys.borrow().owns(&prefix) {
        return failed_call(Fault::new(ResultCode::KeyOwnerGone, request.request_key));
    }
    let call = ServiceCall {
        service: request.service_name.into(),
        node: request.node.into(),
        method: request.method.into(),
        path: request.path.into(),
        content_type: request.content_type.into(),
        body: request.body.into(),
        request_key: request.request_key.into(),
        idempotent: Idempotent::No,
        deadline_ms: daemon.now_ms() + request.deadline_ms.max(0) as u64,
    };
    let CallAnswer { answer, .. } = run_once(daemon, &call, &prefix).await;
    CallReply {
        code: i32::from(answer.code.number()),
        status: i32::from(answer.status),
        content_type: answer.content_type.to_string(),
        body: answer.body,
        detail: answer.detail,
    }
}

fn to_wire(call: &ServiceCall, remaining_ms: u64) -> CallRequest {
    CallRequest {
        service_name: call.service.to_string(),
        node: call.node.to_string(),
        method: call.method.to_string(),
        path: call.path.to_string(),
        content_type: call.content_type.to_string(),
        body: call.body.to_vec(),
        request_key: call.request_key.to_string(),
        idempotent: false,
        deadline_ms: remaining_ms as i64,
    }
}

fn from_wire(reply: CallReply) -> CallAnswer {
    let code = ResultCode::from_number(reply.code as u16).unwrap_or(ResultCode::KeyOwnerGone);
    let answer = StoredAnswer {
        code,
        status: reply.status as u16,
        content_type: reply.content_type.into(),
        body: reply.body,
        detail: reply.detail,
    };
    CallAnswer {
        outcome: outcome_from_code(code),
        answer,
        retry_after_ms: None,
    }
}

/// Derives from a result code whether the request ran.
fn outcome_from_code(code: ResultCode) -> Outcome {
    match code {
        ResultCode::Done => Outcome::Done,
        ResultCode::KeyMemoryFull
        | ResultCode::NoEndpoint
        | ResultCode::QueueFull
        | ResultCode::DeadlineBeforeStart
        | ResultCode::Draining
        | ResultCode::NotReady
        | ResultCode::UnknownService => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// Runs a call at an endpoint and retries it at others if repeating it is safe.
async fn run(daemon: &Rc<Daemon>, call: &ServiceCall) -> CallAnswer {
    let request = AdmissionRequest {
        node: call.node.clone(),
        importance: daemon.setting(&call.node, "importance"),
        workload: Workload::Live,
        deadline_ms: call.deadline_ms,
    };
    let _slot = match daemon
        .admission_queue(&call.service)
        .acquire(daemon, request)
        .await
    {
        Ok(slot) => slot,
        Err(refusal) => {
            let answer = CallAnswer::fault(refusal.fault, Outcome::NotRun);
            return CallAnswer {
                retry_after_ms: Some(refusal.retry_after_ms),
                ..answer
            };
        }
    };
    daemon.retry_budget.borrow_mut().on_request();
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut outcome = Outcome::NotRun;
    loop {
        let Some(endpoint) = choose(daemon, call, &tried) else {
            let answer =
                CallAnswer::fault(Fault::new(ResultCode::NoEndpoint, &*call.service), outcome);
            return CallAnswer {
                retry_after_ms: Some(1_000),
                ..answer
            };
        };
        let mut attempt = Attempt::open();
        let error = match attempt_once(daemon, call, &endpoint, &mut attempt).await {
            Ok(answer) => {
                return CallAnswer {
                    outcome: Outcome::Done,
                    answer,
                    retry_after_ms: None,
                };
            }
            Err(error) => error,
        };
        if attempt.outcome() != Outcome::NotRun {
            outcome = Outcome::Unknown;
        }
        tried.push(endpoint);
        let in_time = daemon.now_ms() < call.deadline_ms;
        let allowed = attempt.may_retry(call.idempotent) && in_time;
        if !allowed || !daemon.retry_budget.borrow_mut().try_retry() {
            let code = match outcome {
                Outcome::NotRun => ResultCode::NoEndpoint,
                _ => ResultCode::EndpointLost,
            };
            return CallAnswer::fault(Fault::new(code, error.to_string()), outcome);
        }
        daemon.metrics.on_retry();
    }
}

fn choose(daemon: &Daemon, call: &ServiceCall, tried: &[Arc<str>]) -> Option<Arc<str>> {
    let request = ChoiceRequest {
        service: &call.service,
        prefix: None,
        topology: &daemon.topology,
        residency: &Residency::anywhere(),
        tried,
    };
    let now_ms = daemon.now_ms();
    daemon
        .with_random(|random| choose_endpoint(&daemon.endpoints.borrow(), request, now_ms, random))
}

async fn attempt_once(
    daemon: &Rc<Daemon>,
    call: &ServiceCall,
    endpoint: &Arc<str>,
    attempt: &mut Attempt,
) -> Result<StoredAnswer, CallError> {
    let Some(address) = daemon
        .endpoints
        .borrow()
        .get(endpoint)
        .map(|e| e.listing.address.clone())
    else {
        return Err(CallError::NotSent("the endpoint has gone".into()));
    };
    daemon.endpoints.borrow_mut().on_start(endpoint);
    let mut guard = EndpointRequestGuard::open(daemon, endpoint);
    let connection = match call.idempotent {
        Idempotent::Yes => ConnectionUse::Pooled,
        Idempotent::No => ConnectionUse::Fresh,
    };
    let remaining_ms = call.deadline_ms.saturating_sub(daemon.now_ms());
    let first_byte_ms = daemon
        .setting(&call.node, "first_byte_timeout_ms")
        .min(remaining_ms);
    let timeouts = Timeouts {
        connect_ms: CONNECT_TIMEOUT_MS,
        first_byte_ms,
    };
    let plain = PlainCall {
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        request_key: call.request_key.clone(),
    };
    let answered = call_plain(
        &daemon.http,
        &address,
        &plain,
        connection,
        timeouts,
        attempt,
    )
    .await;
    match answered {
        Ok(answer) => {
            guard.succeeded();
            Ok(StoredAnswer {
                code: ResultCode::Done,
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body.to_vec(),
                detail: String::new(),
            })
        }
        Err(error) => {
            guard.failed();
            Err(error)
        }
    }
}
