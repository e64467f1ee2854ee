//! The route for calls to plain services.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_net::{EdgeRequest, EdgeResponse};
use borageshore_routing::Idempotent;

use super::answer::{
    Answer, JSON, read_request_body, request_options, respond, set_header, text_header,
};
use crate::{
    calls::{CallAnswer, ServiceCall, call_service},
    daemon::Daemon,
};

const KEY_HEADER: &str = "x-request-key";
const NON_IDEMPOTENT_HEADER: &str = "x-non-idempotent";

pub(super) async fn on_call(
    daemon: &Rc<Daemon>,
    service: &str,
    rest: &str,
    request: EdgeRequest,
) -> EdgeResponse {
    let options = match request_options(daemon, service, request.headers()) {
        Ok(options) => options,
        Err(answer) => return respond(answer),
    };
    let headers = request.headers();
    let idempotent = if headers.contains_key(NON_IDEMPOTENT_HEADER) {
        Idempotent::No
    } else {
        Idempotent::Yes
    };
    let request_key =
        text_header(headers, KEY_HEADER).unwrap_or_else(|| generate_request_key(daemon));
    let content_type = text_header(headers, "content-type").unwrap_or_else(|| JSON.into());
    let method: Arc<str> = request.method().as_str().into();
    let path = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let body = match read_request_body(request).await {
        Ok(body) => body,
        Err(answer) => return respond(answer),
    };
    let call = ServiceCall {
        service: service.into(),
        node: options.node,
        method,
        path: path.into(),
        content_type,
        body,
        request_key: request_key.clone(),
        idempotent,
        deadline_ms: options.deadline_ms,
    };
    let answered = call_service(daemon, call).await;
    let mut response = respond(call_answer(answered));
    set_header(response.headers_mut(), KEY_HEADER, &request_key);
    response
}

/// Generates a request key for a caller that sent none.
fn generate_request_key(daemon: &Daemon) -> Arc<str> {
    let prefix = daemon.keys.borrow().prefix(daemon.now_ms());
    format!("{prefix}.{:016x}", daemon.random_below(u64::MAX)).into()
}

fn call_answer(answered: CallAnswer) -> Answer {
    let CallAnswer {
        outcome,
        answer,
        retry_after_ms,
    } = answered;
    if answer.code != ResultCode::Done {
        let fault = Fault::new(answer.code, answer.detail);
        return Answer {
            retry_after_ms,
            ..Answer::fault(&fault, outcome)
        };
    }
    Answer {
        code: answer.code,
        status: answer.status,
        outcome,
        content_type: answer.content_type,
        body: answer.body.into(),
        retry_after_ms,
    }
}
