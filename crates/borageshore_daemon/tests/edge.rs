//! The HTTP interface against malformed, oversized and unauthorized requests.
//!
//! The cases are those of `docs/decisions/0003-http.md`.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

macro_rules! edge_cases {
    ($($name:ident: $request:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let answer = ask(&$request);
                assert!(answer.starts_with($expected), "{answer}");
            }
        )*
    };
}

edge_cases! {
    alive: request("GET /healthz HTTP/1.1", "") => "HTTP/1.1 200";
    unknown_path: request("GET /nothing HTTP/1.1", "") => "HTTP/1.1 404";
    two_different_lengths: request("POST /v1/services/s/generate HTTP/1.1", "content-length: 2\r\ncontent-length: 3\r\n") => "HTTP/1.1 400";
    negative_length: request("POST /v1/services/s/generate HTTP/1.1", "content-length: -1\r\n") => "HTTP/1.1 400";
    malformed_chunk: chunked("zz\r\nhello\r\n0\r\n\r\n") => "HTTP/1.1 400";
    huge_header: request("GET /healthz HTTP/1.1", &format!("x-filler: {}\r\n", "a".repeat(2_000_000))) => "HTTP/1.1 431";
    body_too_large: request("POST /v1/admin/settings HTTP/1.1", "authorization: Bearer operator\r\ncontent-length: 99999999\r\n") => "HTTP/1.1 413";
    no_token: request("GET /v1/admin/status HTTP/1.1", "") => "HTTP/1.1 401";
    wrong_token: request("POST /v1/admin/drain HTTP/1.1", "authorization: Bearer operato\r\n") => "HTTP/1.1 401";
    no_trainer_token: request("GET /v1/jobs/j/samples HTTP/1.1", "") => "HTTP/1.1 401";
    unknown_service: with_body("/v1/services/s/generate", r#"{"prompt":"p","max_tokens":1}"#) => "HTTP/1.1 404";
    not_json: with_body("/v1/admin/settings", "{") => "HTTP/1.1 400";
}

fn request(line: &str, headers: &str) -> String {
    format!("{line}\r\nhost: edge\r\n{headers}\r\n")
}

fn chunked(body: &str) -> String {
    let headers = "authorization: Bearer operator\r\ntransfer-encoding: chunked\r\n";
    format!(
        "{}{body}",
        request("POST /v1/admin/settings HTTP/1.1", headers)
    )
}

fn with_body(path: &str, body: &str) -> String {
    let headers = format!(
        "authorization: Bearer operator\r\ncontent-length: {}\r\n",
        body.len()
    );
    format!(
        "{}{body}",
        request(&format!("POST {path} HTTP/1.1"), &headers)
    )
}

/// Sends raw bytes to a new daemon and returns the start of its answer.
fn ask(request: &str) -> String {
    let mut stream = TcpStream::connect(support::spawn_daemon()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let request = request.to_owned();
    let mut writing = stream.try_clone().unwrap();
    // The server may refuse and close the connection before it has read the whole request.
    let writer = thread::spawn(move || writing.write_all(request.as_bytes()).is_ok());
    let mut answer = vec![0_u8; 4_096];
    let length = stream.read(&mut answer).unwrap();
    drop(stream);
    writer.join().unwrap();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against connections that never send a complete request head: they must be closed after
/// `head_timeout_ms`, or they would use up the connection limit.
#[test]
fn half_a_request_line() {
    let mut stream = TcpStream::connect(support::spawn_daemon()).unwrap();
    stream.write_all(b"GET /heal").unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 408"));
}
