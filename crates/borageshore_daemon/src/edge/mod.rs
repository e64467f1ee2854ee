//! The HTTP interface for callers, trainers and operators.

mod answer;
mod call;
mod generate;
mod trainer;

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_base::ResultCode;
use borageshore_net::{EdgeRequest, EdgeResponse, Handler};
use hyper::{Method, header::HeaderMap};

pub(crate) use self::answer::{Answer, query, read_request_json};
use self::answer::{JSON, respond, set_header, text_header};
use crate::{
    addresses, admin,
    daemon::{Daemon, InFlight, Phase},
};

/// The HTTP request handler of a daemon.
#[derive(Debug)]
pub(crate) struct Edge {
    daemon: Rc<Daemon>,
}

impl Edge {
    /// Creates the handler of a daemon.
    pub(crate) fn open(daemon: Rc<Daemon>) -> Self {
        Self { daemon }
    }
}

impl Handler for Edge {
    async fn handle(&self, request: EdgeRequest, remote: SocketAddr) -> EdgeResponse {
        let daemon = &self.daemon;
        let _in_flight = InFlight::open(daemon);
        let started_at_ms = daemon.now_ms();
        let request_id = request_id(daemon, request.headers());
        let (route, mut response) = dispatch(daemon, request, remote, &request_id).await;
        let code = code_of(&response);
        daemon
            .metrics
            .on_request(route, code, daemon.now_ms() - started_at_ms);
        set_header(response.headers_mut(), "x-request-id", &request_id);
        if daemon.phase() == Phase::Draining {
            // Makes the caller connect to another address before this daemon closes the connection.
            set_header(response.headers_mut(), "connection", "close");
        }
        response
    }
}

fn request_id(daemon: &Daemon, headers: &HeaderMap) -> Arc<str> {
    let given = text_header(headers, "x-request-id").filter(|id| id.len() <= 128);
    given.unwrap_or_else(|| {
        format!("{}-{:016x}", daemon.session, daemon.random_below(u64::MAX)).into()
    })
}

fn code_of(response: &EdgeResponse) -> ResultCode {
    let number = response
        .headers()
        .get("x-result-code")
        .and_then(|value| value.to_str().ok());
    let number = number.and_then(|text| text.parse().ok());
    number
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::Done)
}

async fn dispatch(
    daemon: &Rc<Daemon>,
    request: EdgeRequest,
    remote: SocketAddr,
    request_id: &Arc<str>,
) -> (&'static str, EdgeResponse) {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    let method = request.method().clone();
    match (&method, parts.as_slice()) {
        (&Method::GET, ["healthz"]) => ("healthz", respond(Answer::done("text/plain", "alive\n"))),
        (&Method::GET, ["readyz"]) => ("readyz", respond(readiness(daemon))),
        (&Method::GET, ["metrics"]) => (
            "metrics",
            respond(Answer::done(
                "text/plain; version=0.0.4",
                daemon.metrics.to_text(),
            )),
        ),
        (&Method::GET, ["v1", "addresses"]) => (
            "addresses",
            respond(on_addresses(daemon, &request, remote).await),
        ),
        (&Method::POST, ["v1", "services", service, "generate"]) => (
            "generate",
            generate::on_generate(daemon, service, request, request_id).await,
        ),
        (_, ["v1", "services", service, "call", rest @ ..]) => (
            "call",
            call::on_call(daemon, service, &rest.join("/"), request).await,
        ),
        (&Method::GET, ["v1", "jobs", job, "samples"]) => (
            "samples",
            respond(trainer::on_pull(daemon, job, &request).await),
        ),
        (&Method::POST, ["v1", "jobs", job, "weights"]) => (
            "weights",
            respond(trainer::on_weights(daemon, job, request).await),
        ),
        (_, ["v1", "admin", rest @ ..]) => {
            ("admin", respond(admin::handle(daemon, rest, request).await))
        }
        _ => (
            "unknown",
            respond(Answer::refused(
                ResultCode::UnknownRoute,
                format!("{method} {path}"),
            )),
        ),
    }
}

fn readiness(daemon: &Daemon) -> Answer {
    match daemon.phase() {
        Phase::Ready => Answer::done("text/plain", "ready\n"),
        Phase::Starting => Answer::refused(ResultCode::NotReady, "no settings yet"),
        Phase::Draining | Phase::Stopped => Answer::refused(ResultCode::Draining, "leaving"),
    }
}

async fn on_addresses(daemon: &Rc<Daemon>, request: &EdgeRequest, remote: SocketAddr) -> Answer {
    if daemon.phase() == Phase::Starting {
        return Answer::refused(ResultCode::NotReady, "no settings yet");
    }
    let caller = query(request, "caller").map_or_else(|| remote.ip().to_string(), str::to_owned);
    Answer::done(JSON, addresses::for_caller(daemon, &caller).await)
}
