//! Stand-ins that speak the platform's protocol: the store, engines, plain services, the receiver of
//! duty calls, and a proxy that injects network faults.
//!
//! Endpoints answer health checks on [`HEALTH_PATH`].
//!
//! They record the requests that they receive, so that tests can check the daemons from the outside.

mod arrivals;
mod crash;
mod duties;
mod engine;
mod listening_peer;
mod plain;
mod proxy;
mod store;

use std::borrow::Cow;

use borageshore_net::EdgeResponse;
use hyper::HeaderMap;

use crate::http::status;

pub use self::{
    arrivals::{Arrival, ColdSwitches, max_cold_requests_per_s},
    crash::{CRASH_MARK, CrashingRequest},
    duties::{DutyMode, PlatformDuties, ReceivedEndpointOrder, ReceivedReport},
    engine::{
        EngineSwitches, FAILING_BODY, IMPOSSIBLE_BODY, LONG_EVENT_COUNT, PlatformEngine,
        ReceivedOrder, RecordedRun, event_count, event_text,
    },
    listening_peer::ListeningPeer,
    plain::{PlainSwitches, PlatformService},
    proxy::{Proxy, ProxyMode},
    store::{PlatformStore, StoreMode},
};

/// Path of the health checks of endpoints.
pub const HEALTH_PATH: &str = "/health";
/// Interval at which an endpoint writes its entry while it is cold.
const COLD_HEARTBEAT_MS: u64 = 500;

/// The identity under which a request reached an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedCaller {
    /// The organisation named by the request, if any.
    pub organisation: Option<String>,
    /// Whether the request carried the caller's key.
    pub has_key: bool,
}

impl RecordedCaller {
    fn from_headers(headers: &HeaderMap) -> Self {
        Self {
            organisation: header(headers, "x-tenant").map(Into::into),
            has_key: headers.contains_key("authorization"),
        }
    }
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// Response to a health check, with the time for which the endpoint is cold.
fn health_response(instance: &str, is_draining: bool, cold_left_ms: u64) -> EdgeResponse {
    let mut response = status(if is_draining { 503 } else { 200 });
    let headers = response.headers_mut();
    headers.insert("x-instance-id", instance.parse().expect("plain text"));
    headers.insert("x-cold-ms", cold_left_ms.into());
    response
}

/// Returns a parameter's value in a query, decoded.
fn query_parameter<'q>(query: &'q str, name: &str) -> Option<Cow<'q, str>> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs.find(|(key, _)| key == name).map(|(_, value)| value)
}

/// A deterministic hash for generated sizes and signatures.
fn hash(text: &str) -> u64 {
    borageshore_base::rendezvous_weight("stand-in", text)
}
