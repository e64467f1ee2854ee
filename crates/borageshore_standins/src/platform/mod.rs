//! Stand-ins that speak the platform's protocol: the store, engines, plain services, the receiver of
//! duty calls, and a proxy that injects network faults.
//!
//! They record the requests that they receive, so that tests can check the daemons from the outside.

mod crash;
mod duties;
mod engine;
mod plain;
mod proxy;
mod store;

use hyper::HeaderMap;

pub use self::{
    crash::{CRASH_MARK, CrashingRequest},
    duties::{DutyMode, PlatformDuties, ReceivedEndpointOrder, ReceivedReport},
    engine::{
        EngineSwitches, LONG_EVENT_COUNT, PlatformEngine, ReceivedOrder, RecordedRun, event_count,
        event_text,
    },
    plain::{PlainSwitches, PlatformService},
    proxy::{Proxy, ProxyMode},
    store::{PlatformStore, StoreMode},
};

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

fn query_parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// A deterministic hash for generated sizes and signatures.
fn hash(text: &str) -> u64 {
    borageshore_base::rendezvous_weight("stand-in", text)
}
