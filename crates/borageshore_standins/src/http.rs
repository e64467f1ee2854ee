//! HTTP helpers shared by the stand-ins.

use borageshore_net::{
    EdgeRequest, EdgeResponse, ServerLimits, full_body, json_response, read_body,
};
use hyper::Response;
use serde::de::DeserializeOwned;

/// Larger than the limits of daemons, since a snapshot is sent in one append.
const LIMITS: ServerLimits = ServerLimits {
    connections: 16_384,
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    head_timeout_ms: 60_000,
    body_timeout_ms: 60_000,
};

/// The server limits of all stand-ins.
pub(crate) fn limits() -> ServerLimits {
    LIMITS
}

/// A response without a body.
pub(crate) fn status(code: u16) -> EdgeResponse {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = code.try_into().expect("a constant of this crate");
    response
}

/// Reads a JSON body; the error is a response with status 400.
pub(crate) async fn read_json<Content>(request: EdgeRequest) -> Result<Content, EdgeResponse>
where
    Content: DeserializeOwned,
{
    let body = read_body(request.into_body(), LIMITS)
        .await
        .map_err(|_| status(400))?;
    serde_json::from_slice(&body).map_err(|error| json_response(400, &error.to_string()))
}

/// A numeric query parameter.
pub(crate) fn query_number(request: &EdgeRequest, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
