//! Stand-ins that speak the protocol of the users' platform: the store, engines, plain services, and
//! a proxy that harms connections.
//!
//! They record what they see, so that a test can check the daemons' promises from the outside.

mod crash;
mod engine;
mod plain;
mod proxy;
mod store;

use hyper::HeaderMap;

pub use self::{
    crash::{CRASH_MARK, CrashingSend},
    engine::{
        EngineSwitches, GivenOrder, LONG_EVENTS, PlatformEngine, SeenRun, event_text, events_of,
    },
    plain::{PlainSwitches, PlatformService},
    proxy::{Proxy, ProxyMode},
    store::{PlatformStore, StoreMode},
};

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn query<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// A small hash for made-up sizes and signatures.
fn mixed(text: &str) -> u64 {
    borageshore_base::rendezvous_weight("stand-in", text)
}
