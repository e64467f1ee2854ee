//! The route for token generation, answered at once or as a stream.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{Fault, ResultCode};
use borageshore_net::{EdgeRequest, EdgeResponse, stream_body};
use borageshore_routing::{Outcome, Workload};
use bytes::Bytes;
use hyper::Response;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::answer::{
    Answer, ran_header_value, read_request_json, request_options, respond, set_header,
};
use crate::{
    daemon::{Daemon, InFlight},
    generation::{
        Generation, GenerationFailure, SinkClosed, SwapPolicy, Token, TokenSink, generate,
    },
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateBody {
    prompt: Arc<str>,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    adapter: Option<Arc<str>>,
}

#[derive(Debug, Serialize)]
struct GenerateAnswer<'a> {
    request_id: &'a str,
    tokens: &'a [String],
    versions: &'a [Option<u64>],
}

pub(super) async fn on_generate(
    daemon: &Rc<Daemon>,
    service: &str,
    request: EdgeRequest,
    request_id: &Arc<str>,
) -> EdgeResponse {
    let options = match request_options(daemon, service, request.headers()) {
        Ok(options) => options,
        Err(answer) => return respond(answer),
    };
    let body: GenerateBody = match read_request_json(request).await {
        Ok(body) => body,
        Err(answer) => return respond(answer),
    };
    let generation = Generation {
        request_id: request_id.clone(),
        service: service.into(),
        node: options.node,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        adapter: body.adapter,
        workload: Workload::Live,
        deadline_ms: options.deadline_ms,
        swap_policy: SwapPolicy::Keep,
    };
    if body.stream {
        return stream_tokens(daemon, generation).await;
    }
    let mut collected = CollectedTokens::default();
    match generate(daemon, &generation, &mut collected).await {
        Ok(()) => respond(Answer::json(&GenerateAnswer {
            request_id,
            tokens: &collected.tokens,
            versions: &collected.versions,
        })),
        Err(failure) => respond(failure_answer(failure)),
    }
}

fn failure_answer(failure: GenerationFailure) -> Answer {
    let answer = Answer::fault(&failure.fault, failure.outcome);
    Answer {
        retry_after_ms: failure.retry_after_ms,
        ..answer
    }
}

#[derive(Debug, Default)]
struct CollectedTokens {
    tokens: Vec<String>,
    versions: Vec<Option<u64>>,
}

impl TokenSink for CollectedTokens {
    async fn on_token(&mut self, token: &Token) -> Result<(), SinkClosed> {
        self.tokens.push(token.text.clone());
        self.versions.push(token.version);
        Ok(())
    }

    fn on_restart(&mut self) {
        self.tokens.clear();
        self.versions.clear();
    }
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum StreamLine<'l> {
    Token {
        index: u64,
        text: &'l str,
        version: Option<u64>,
    },
    Done {
        token_count: u64,
    },
    Failed {
        code: u16,
        detail: &'l str,
    },
}

/// Answers with a stream of JSON lines. The response starts with the first token, so that an
/// earlier failure still gets its own HTTP status; the last line marks the answer as complete.
async fn stream_tokens(daemon: &Rc<Daemon>, generation: Generation) -> EdgeResponse {
    let (sender, body) = stream_body();
    let (start_sender, start_receiver) = oneshot::channel();
    let mut sink = StreamSink {
        sender,
        start_sender: Some(start_sender),
        token_count: 0,
    };
    let daemon = daemon.clone();
    monoio::spawn(async move {
        let _in_flight = InFlight::open(&daemon);
        let result = generate(&daemon, &generation, &mut sink).await;
        sink.finish(result).await;
    });
    match start_receiver.await {
        Ok(Ok(())) => {
            let mut response = Response::new(body);
            let headers = response.headers_mut();
            set_header(headers, "content-type", "application/x-ndjson");
            set_header(
                headers,
                "x-result-code",
                &ResultCode::Done.number().to_string(),
            );
            set_header(headers, "x-ran", ran_header_value(Outcome::Done));
            response
        }
        Ok(Err(failure)) => respond(failure_answer(failure)),
        Err(_) => respond(Answer::fault(
            &Fault::new(ResultCode::EndpointFailed, "stream"),
            Outcome::Unknown,
        )),
    }
}

struct StreamSink {
    sender: http_body_util::channel::Sender<Bytes, borageshore_net::StreamBodyError>,
    start_sender: Option<oneshot::Sender<Result<(), GenerationFailure>>>,
    token_count: u64,
}

impl StreamSink {
    async fn write(&mut self, line: &StreamLine<'_>) -> Result<(), SinkClosed> {
        if let Some(start_sender) = self.start_sender.take() {
            start_sender.send(Ok(())).map_err(|_| SinkClosed)?;
        }
        let mut encoded = serde_json::to_vec(line).expect("stream lines serialize to JSON");
        encoded.push(b'\n');
        self.sender
            .send_data(encoded.into())
            .await
            .map_err(|_| SinkClosed)
    }

    async fn finish(mut self, result: Result<(), GenerationFailure>) {
        let token_count = self.token_count;
        match result {
            Ok(()) => {
                let _ = self.write(&StreamLine::Done { token_count }).await;
            }
            Err(failure) => match self.start_sender.take() {
                Some(start_sender) => {
                    let _ = start_sender.send(Err(failure));
                }
                None => {
                    let code = failure.fault.code.number();
                    let line = StreamLine::Failed {
                        code,
                        detail: &failure.fault.detail,
                    };
                    let _ = self.write(&line).await;
                    // Without an abort, the truncated body would look complete to the caller.
                    self.sender.abort(std::io::Error::other(
                        "generation failed after the response had started",
                    ));
                }
            },
        }
    }
}

impl TokenSink for StreamSink {
    async fn on_token(&mut self, token: &Token) -> Result<(), SinkClosed> {
        let index = self.token_count;
        self.token_count += 1;
        self.write(&StreamLine::Token {
            index,
            text: &token.text,
            version: token.version,
        })
        .await
    }

    fn on_restart(&mut self) {}
}
