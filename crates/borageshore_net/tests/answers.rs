//! Bytes that HTTP does not define as a complete final response.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use borageshore_net::{CallError, HttpClient, Timeouts, run_event_loop};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 500,
    first_byte_ms: 300,
};
/// How long the server keeps a connection open after its answer.
const KEPT_OPEN: Duration = Duration::from_millis(50);
/// Longer than what a parser compares at once, so that each byte of a name is checked.
const NAME_BYTES: usize = 40;

/// Answers the first request on each connection with these bytes.
fn serve(answer: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.unwrap(), answer.clone());
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 1024]);
                let _ = stream.write_all(&answer);
                thread::sleep(KEPT_OPEN);
            });
        }
    });
    address
}

/// What a caller gets of an answer.
fn call(answer: &[u8]) -> Result<(StatusCode, Bytes), CallError> {
    let address = serve(answer.to_vec());
    run_event_loop(async {
        let client = HttpClient::open();
        let request = Request::get("/").body(Full::default()).unwrap();
        let called = client.call(&address, request, TIMEOUTS).await;
        if called.is_err() {
            assert!(!client.has_idle(&address), "the connection is used again");
        }
        called
    })
}

/// Checks that bytes are no answer, after which the request may have run.
fn check_rejected(answer: &[u8]) {
    let called = call(answer);
    let is_rejected = matches!(
        called,
        Err(CallError::NoResponse(_) | CallError::Disconnected(_))
    );
    assert!(is_rejected, "{}: {called:?}", answer.escape_ascii());
}

macro_rules! rejected {
    ($($name:ident: $answer:expr;)*) => {
        $(#[test] fn $name() { check_rejected($answer.as_ref()) })*
    };
}

// Guard against callers that get bytes which are no final response as an answer.
rejected! {
    status_000: "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok";
    status_099: "HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\nok";
    status_with_two_digits: "HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok";
    status_with_four_digits: "HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\nok";
    status_without_digits: "HTTP/1.1 OK\r\ncontent-length: 2\r\n\r\nok";
    status_with_a_sign: "HTTP/1.1 +20 OK\r\ncontent-length: 2\r\n\r\nok";
    status_with_a_letter_behind: "HTTP/1.1 200x OK\r\ncontent-length: 2\r\n\r\nok";
    status_100_alone: "HTTP/1.1 100 Continue\r\n\r\n";
    status_101: "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
    status_101_without_upgrade: "HTTP/1.1 101 OK\r\ncontent-length: 2\r\n\r\nok";
    status_199_alone: "HTTP/1.1 199 OK\r\ncontent-length: 2\r\n\r\nok";
    status_600: "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok";
    status_999: "HTTP/1.1 999 OK\r\ncontent-length: 2\r\n\r\nok";
    reason_with_a_control_byte: b"HTTP/1.1 200 O\x01K\r\ncontent-length: 2\r\n\r\nok";
    version_0_9: "HTTP/0.9 200 OK\r\ncontent-length: 2\r\n\r\nok";
    version_1_2: "HTTP/1.2 200 OK\r\ncontent-length: 2\r\n\r\nok";
    version_2: "HTTP/2.0 200 OK\r\ncontent-length: 2\r\n\r\nok";
    body_alone: "ok";
    name_with_a_blank: "HTTP/1.1 200 OK\r\nx y: z\r\ncontent-length: 2\r\n\r\nok";
    name_with_a_blank_behind: "HTTP/1.1 200 OK\r\nx : z\r\ncontent-length: 2\r\n\r\nok";
    name_with_a_blank_before: "HTTP/1.1 200 OK\r\n x: z\r\ncontent-length: 2\r\n\r\nok";
    length_with_a_blank_behind: "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok";
    name_with_a_tab: "HTTP/1.1 200 OK\r\nx\ty: z\r\ncontent-length: 2\r\n\r\nok";
    name_with_a_control_byte: b"HTTP/1.1 200 OK\r\nx\x01y: z\r\ncontent-length: 2\r\n\r\nok";
    name_with_nul: b"HTTP/1.1 200 OK\r\nx\0y: z\r\ncontent-length: 2\r\n\r\nok";
    name_with_a_carriage_return: "HTTP/1.1 200 OK\r\nx\ry: z\r\ncontent-length: 2\r\n\r\nok";
    name_with_a_byte_above_ascii: b"HTTP/1.1 200 OK\r\nx\xe9y: z\r\ncontent-length: 2\r\n\r\nok";
    empty_name: "HTTP/1.1 200 OK\r\n: z\r\ncontent-length: 2\r\n\r\nok";
    line_without_a_colon: "HTTP/1.1 200 OK\r\nxyz\r\ncontent-length: 2\r\n\r\nok";
    value_with_a_control_byte: b"HTTP/1.1 200 OK\r\nx: y\x01z\r\ncontent-length: 2\r\n\r\nok";
    value_with_nul: b"HTTP/1.1 200 OK\r\nx: y\0z\r\ncontent-length: 2\r\n\r\nok";
    value_with_a_carriage_return: "HTTP/1.1 200 OK\r\nx: y\rz\r\ncontent-length: 2\r\n\r\nok";
    value_with_delete: b"HTTP/1.1 200 OK\r\nx: y\x7fz\r\ncontent-length: 2\r\n\r\nok";
    value_over_two_lines: "HTTP/1.1 200 OK\r\nx: y\r\n z\r\ncontent-length: 2\r\n\r\nok";
    head_that_ends_early: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n";
    body_that_ends_early: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok";
    length_with_a_sign: "HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok";
    negative_length: "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok";
    length_with_a_fraction: "HTTP/1.1 200 OK\r\ncontent-length: 2.0\r\n\r\nok";
    length_without_digits: "HTTP/1.1 200 OK\r\ncontent-length: two\r\n\r\nok";
    empty_length: "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nok";
    length_beyond_64_bits: "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551618\r\n\r\nok";
    two_lengths: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok";
    two_lengths_in_a_line: "HTTP/1.1 200 OK\r\ncontent-length: 2, 1\r\n\r\nok";
    length_beside_chunks: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    coding_that_was_not_offered: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok";
    coding_that_is_not_defined: "HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    coding_below_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    coding_above_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    chunks_twice: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    empty_coding: "HTTP/1.1 200 OK\r\ntransfer-encoding:\r\n\r\nok";
    chunks_in_version_1_0: "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    chunk_without_a_size: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n";
    chunk_size_with_a_sign: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n";
    chunk_size_with_a_prefix: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n";
    chunk_size_beyond_64_bits: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n";
    chunk_longer_than_its_size: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n";
    chunks_that_end_early: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    trailer_with_a_blank_in_its_name: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx y: z\r\n\r\n";
    trailer_with_a_control_byte: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: \x01\r\n\r\n";
    interim_field_with_a_blank_in_its_name: "HTTP/1.1 103 Hints\r\nx y: z\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
}

macro_rules! accepted {
    ($($name:ident: $answer:expr => $status:literal, $body:literal;)*) => {
        $(#[test] fn $name() {
            let (status, body) = call($answer.as_ref()).unwrap();
            assert_eq!((status.as_u16(), &body[..]), ($status, &$body[..]));
        })*
    };
}

// Guard against valid answers that are taken for invalid ones.
accepted! {
    an_answer_with_a_length: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => 200, b"ok";
    an_answer_with_the_same_length_twice: "HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\nok" => 200, b"ok";
    an_answer_in_chunks: "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nz: z\r\n\r\n" => 200, b"ok";
    an_answer_that_ends_with_its_connection: "HTTP/1.0 200 OK\r\n\r\nok" => 200, b"ok";
    an_answer_without_a_reason: "HTTP/1.1 200 \r\ncontent-length: 2\r\n\r\nok" => 200, b"ok";
    an_answer_after_interim_ones: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok" => 200, b"ok";
    an_answer_without_a_body: "HTTP/1.1 204 No Content\r\n\r\n" => 204, b"";
    a_failure: "HTTP/1.1 599 Failed\r\ncontent-length: 2\r\n\r\nno" => 599, b"no";
    a_value_with_bytes_above_ascii: b"HTTP/1.1 200 OK\r\nx: \xe9\ty\r\ncontent-length: 2\r\n\r\nok" => 200, b"ok";
}

/// Whether a byte may be part of a field's name (RFC 9110, 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

// Guards against names that are checked only in part, depending on where the byte stands.
#[test]
fn each_byte_of_a_name_is_checked() {
    for position in 0..NAME_BYTES {
        for byte in [
            0, 1, 9, 0x1f, b' ', b'"', b'(', b',', b'/', b'@', b'[', b'{', 0x7f, 0x80, 0xff,
        ] {
            assert!(!is_token(byte));
            let mut name = [b'x'; NAME_BYTES];
            name[position] = byte;
            let answer = [
                b"HTTP/1.1 200 OK\r\n",
                &name[..],
                b": y\r\ncontent-length: 2\r\n\r\nok",
            ];
            check_rejected(&answer.concat());
        }
    }
}
