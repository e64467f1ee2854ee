//! The HTTP client of the platform's VM list.

use std::sync::Arc;

use borageshore_net::{CallError, HttpClient, Timeouts};
use borageshore_routing::{EndpointListing, EndpointState};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;

const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 3_000,
};

/// An entry of the VM list.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Vm {
    name: Arc<str>,
    service: Arc<str>,
    zone: Arc<str>,
    address: Arc<str>,
    state: VmState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

/// A version of the VM list.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct VmList {
    /// Increases with each change.
    pub(crate) version: u64,
    vms: Vec<Vm>,
}

impl VmList {
    /// Converts the entries to endpoint listings.
    pub(crate) fn into_endpoints(self) -> Vec<EndpointListing> {
        let to_listing = |vm: Vm| EndpointListing {
            name: vm.name,
            service: vm.service,
            zone: vm.zone,
            address: vm.address,
            state: match vm.state {
                VmState::Live => EndpointState::Live,
                VmState::Leaving => EndpointState::Leaving,
            },
        };
        self.vms.into_iter().map(to_listing).collect()
    }
}

/// Reads the list, `None` if it is not newer than `known_version`; also returns the size of the
/// answer's body in bytes.
pub(crate) async fn read_vm_list(
    http: &HttpClient,
    address: &str,
    known_version: u64,
) -> Result<(Option<VmList>, usize), CallError> {
    let request = Request::get(format!("/vms?known={known_version}"))
        .body(Full::<Bytes>::default())
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    let (status, body) = http.call(address, request, TIMEOUTS).await?;
    if status == StatusCode::NOT_MODIFIED || status == StatusCode::NO_CONTENT {
        return Ok((None, 0));
    }
    let list =
        serde_json::from_slice(&body).map_err(|error| CallError::NoResponse(error.to_string()))?;
    Ok((Some(list), body.len()))
}
