//! A fake VM list in which each change becomes visible after a lag.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, sync::Arc};

use borageshore_net::{Clock, EdgeRequest, EdgeResponse, Handler, HttpServer, json_response};
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::http;

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Arc<str>,
    /// The service that it is an endpoint of.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The address that it listens on.
    pub address: Arc<str>,
    /// Its state.
    pub state: VmState,
}

/// The state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to shut down.
    Leaving,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Listing {
    version: u64,
    vms: Vec<Vm>,
}

#[derive(Debug)]
struct State {
    /// All versions, each with the time from which it is visible.
    versions: Vec<(u64, Listing)>,
    lag_ms: u64,
    clock: Clock,
}

/// A running VM list.
#[derive(Debug, Clone)]
pub struct VmListStandin {
    state: Rc<RefCell<State>>,
}

impl VmListStandin {
    /// Binds an address and serves a list.
    pub fn bind(address: &str, vms: Vec<Vm>, lag_ms: u64) -> io::Result<HttpServer> {
        let versions = vec![(0, Listing { version: 1, vms })];
        let state = State {
            versions,
            lag_ms,
            clock: Clock::start(),
        };
        HttpServer::bind(
            address,
            http::limits(),
            Self {
                state: Rc::new(RefCell::new(state)),
            },
        )
    }

    fn visible_listing(&self) -> Listing {
        let state = self.state.borrow();
        let now_ms = state.clock.now_ms();
        let visible = state
            .versions
            .iter()
            .rev()
            .find(|(visible_from_ms, _)| now_ms >= *visible_from_ms);
        visible
            .expect("the first version is visible from the start")
            .1
            .clone()
    }

    async fn replace(&self, request: EdgeRequest) -> EdgeResponse {
        let vms: Vec<Vm> = match http::read_json(request).await {
            Ok(vms) => vms,
            Err(response) => return response,
        };
        let mut state = self.state.borrow_mut();
        let version = state
            .versions
            .last()
            .map_or(1, |(_, listing)| listing.version + 1);
        let visible_from_ms = state.clock.now_ms() + state.lag_ms;
        state
            .versions
            .push((visible_from_ms, Listing { version, vms }));
        json_response(200, &version)
    }
}

impl Handler for VmListStandin {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        if request.method() == Method::POST {
            return self.replace(request).await;
        }
        let visible = self.visible_listing();
        if http::query_number(&request, "known") == Some(visible.version) {
            return http::status(304);
        }
        json_response(200, &visible)
    }
}
