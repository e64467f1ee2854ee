//! Bytes without end, in a head or a body, from a server or a caller.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use borageshore_net::{
    CallError, EdgeRequest, EdgeResponse, Handler, HttpClient, HttpServer, ResponseMemory,
    ServerLimits, Timeouts, full_body, read_body, run_event_loop, sleep_ms, within_ms,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};

/// A writer that is not stopped stops here, so that a fault fails the test instead of blocking it.
const ENDLESS_BYTES: usize = 512 * 1024 * 1024;
const ENDLESS_MS: u64 = 6_000;
/// What the sockets of both sides may hold, beyond what was read.
const SOCKETS_BYTES: usize = 16 * 1024 * 1024;
/// The largest body that the client reads.
const MAX_BODY_BYTES: usize = 1024 * 1024;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 500,
    first_byte_ms: 500,
};
/// The time after a bound in which the connection must be closed.
const SLACK_MS: u64 = 500;

/// What is written without end after a beginning.
#[derive(Debug, Clone, Copy)]
struct Endless {
    begin: &'static str,
    repeat: &'static str,
    is_slow: bool,
}

impl Endless {
    /// Writes until the other side closes; returns the bytes that it took.
    fn write(self, mut stream: TcpStream) -> usize {
        let _ = stream.set_write_timeout(Some(Duration::from_millis(ENDLESS_MS)));
        let _ = stream.set_nodelay(true);
        let started_at = Instant::now();
        let block = self.repeat.repeat(64 * 1024 / self.repeat.len() + 1);
        let mut written_bytes = 0;
        while written_bytes < ENDLESS_BYTES
            && started_at.elapsed() < Duration::from_millis(ENDLESS_MS)
        {
            let rest = match self.begin.as_bytes().get(written_bytes..) {
                Some(rest) if !rest.is_empty() => rest,
                _ => &block.as_bytes()[(written_bytes - self.begin.len()) % block.len()..],
            };
            let is_repeating = written_bytes >= self.begin.len();
            let part = match self.is_slow && is_repeating {
                true => &rest[..1],
                false => rest,
            };
            match stream.write(part) {
                Ok(bytes) => written_bytes += bytes,
                Err(_) => break,
            }
            if self.is_slow {
                thread::sleep(Duration::from_millis(2));
            }
        }
        written_bytes
    }
}

/// Answers each request on a connection with an endless answer.
fn serve(endless: Endless) -> (String, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, written_bytes) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, sender) = (stream.unwrap(), sender.clone());
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 1024]);
                let _ = sender.send(endless.write(stream));
            });
        }
    });
    (address, written_bytes)
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::default()).unwrap()
}

fn took_bytes(written_bytes: &mpsc::Receiver<usize>) -> usize {
    let longest = Duration::from_millis(2 * ENDLESS_MS);
    written_bytes.recv_timeout(longest).unwrap()
}

/// The longest of some sleeps of 10 ms.
async fn longest_pause(sleeps: usize) -> Duration {
    let mut longest = Duration::ZERO;
    for _ in 0..sleeps {
        let before = Instant::now();
        sleep_ms(10).await;
        longest = longest.max(before.elapsed());
    }
    longest
}

/// Calls a server that answers without end: the call fails as one without a valid answer, in time, and the server
/// finds the connection closed.
fn check_answer(endless: Endless) {
    let (address, written_bytes) = serve(endless);
    let started_at = Instant::now();
    run_event_loop(async {
        let client = HttpClient::open_limited(MAX_BODY_BYTES);
        let ticking = monoio::spawn(longest_pause(20));
        let called = client.call(&address, request(), TIMEOUTS).await;
        assert!(
            matches!(called, Err(CallError::NoResponse(_))),
            "{called:?}"
        );
        assert!(
            !client.has_idle(&address),
            "the connection went to the pool"
        );
        let longest = ticking.await;
        assert!(
            longest < Duration::from_millis(SLACK_MS),
            "timers stood still for {longest:?}"
        );
    });
    let most_ms = 2 * TIMEOUTS.first_byte_ms + SLACK_MS;
    assert!(
        started_at.elapsed() < Duration::from_millis(most_ms),
        "took {:?}",
        started_at.elapsed()
    );
    let taken_bytes = took_bytes(&written_bytes);
    let most_bytes = MAX_BODY_BYTES + SOCKETS_BYTES;
    assert!(
        taken_bytes < most_bytes,
        "the client took {taken_bytes} bytes"
    );
}

struct ReadsBodies;

impl Handler for ReadsBodies {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        let read = read_body(request.into_body(), LIMITS).await;
        Response::new(full_body(format!("{:?}", read.map(|body| body.len()))))
    }
}

const LIMITS: ServerLimits = ServerLimits {
    connections: 64,
    head_bytes: 16 * 1024,
    body_bytes: 1024 * 1024,
    head_timeout_ms: 500,
    body_timeout_ms: 500,
};

/// Sends a request without end to a server: it closes the connection in time, and other callers are answered meanwhile.
fn check_request(endless: Endless) {
    run_event_loop(async {
        let server = HttpServer::bind("127.0.0.1:0", LIMITS, ReadsBodies).unwrap();
        let address = server.address();
        let (sender, written_bytes) = mpsc::channel();
        let started_at = Instant::now();
        thread::spawn(move || {
            let stream = TcpStream::connect(address).unwrap();
            let _ = sender.send((endless.write(stream), started_at.elapsed()));
        });
        sleep_ms(100).await;
        let other = HttpClient::open();
        let answered = other.call(&address.to_string(), request(), TIMEOUTS).await;
        assert!(answered.is_ok(), "{answered:?}");
        let ended = within_ms(2 * ENDLESS_MS, async {
            loop {
                match written_bytes.try_recv() {
                    Ok(ended) => return ended,
                    Err(_) => sleep_ms(10).await,
                }
            }
        });
        let (taken_bytes, took) = ended.await.unwrap();
        let most_ms = LIMITS.head_timeout_ms + LIMITS.body_timeout_ms + SLACK_MS;
        assert!(
            took < Duration::from_millis(most_ms),
            "the connection was open for {took:?}"
        );
        assert!(
            taken_bytes < LIMITS.body_bytes + SOCKETS_BYTES,
            "the server took {taken_bytes} bytes"
        );
    });
}

macro_rules! endless {
    ($check:expr; $($name:ident: $begin:expr, $repeat:expr;)*) => {
        $(mod $name {
            use super::*;
            #[test]
            fn flood() { $check(Endless { begin: $begin, repeat: $repeat, is_slow: false }) }
            #[test]
            fn a_byte_at_a_time() { $check(Endless { begin: $begin, repeat: $repeat, is_slow: true }) }
        })*
    };
}

// Guard against answers without end that hold memory, the processor or an attempt until the other side gives up.
endless! { check_answer;
    answer_of_garbage: "", "\0\x17~ no answer \r\n";
    answer_with_a_status_line_without_end: "HTTP/1.1 200 ", "O";
    answer_with_a_header_without_end: "HTTP/1.1 200 OK\r\nx: ", "y";
    answer_with_headers_without_end: "HTTP/1.1 200 OK\r\n", "x: y\r\n";
    answer_of_interim_responses: "", "HTTP/1.1 102 Processing\r\n\r\n";
    answer_with_a_chunk_size_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0";
    answer_with_blanks_after_a_chunk_size: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5", " ";
    answer_with_a_chunk_extension_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "x";
    answer_with_an_invalid_chunk: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "body\r\n";
    answer_with_trailers_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n";
    answer_with_a_body_until_the_end: "HTTP/1.1 200 OK\r\n\r\n", "body";
    answer_with_a_huge_length: "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n", "body";
    answer_in_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n";
    error_in_chunks: "HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n";
}

// Guard against requests without end that hold memory, the processor or a connection.
endless! { check_request;
    request_of_garbage: "", "\0\x17~ no request \r\n";
    request_of_empty_lines: "", "\r\n";
    request_with_a_target_without_end: "GET /", "x";
    request_with_headers_without_end: "GET / HTTP/1.1\r\n", "x: y\r\n";
    request_with_a_huge_length: "POST / HTTP/1.1\r\ncontent-length: 99999999999999\r\n\r\n", "body";
    request_in_chunks: "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n";
    request_with_a_chunk_size_without_end: "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", "0";
    request_with_trailers_without_end: "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n";
}

// Guards against bytes after a complete answer that are taken for the next one, or read without end, on an idle
// connection.
#[test]
fn bytes_after_an_answer_close_its_connection() {
    let (address, written_bytes) = serve(Endless {
        begin: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        repeat: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        is_slow: false,
    });
    run_event_loop(async {
        let client = HttpClient::open();
        let (_, body) = client.call(&address, request(), TIMEOUTS).await.unwrap();
        assert_eq!(&body[..], b"ok");
        sleep_ms(50).await;
        assert!(!client.has_idle(&address));
    });
    assert!(took_bytes(&written_bytes) < SOCKETS_BYTES);
}

// Guards against a process that runs out of memory when many servers answer without end, and against a small answer
// that fails beside them.
#[test]
fn endless_answers_share_the_memory() {
    const LIMIT_BYTES: u64 = 8 * 1024 * 1024;
    let endless = Endless {
        begin: "HTTP/1.1 200 OK\r\n\r\n",
        repeat: "body",
        is_slow: false,
    };
    let (address, _written_bytes) = serve(endless);
    run_event_loop(async {
        let server = HttpServer::bind("127.0.0.1:0", LIMITS, ReadsBodies).unwrap();
        let sound = server.address().to_string();
        let memory = ResponseMemory::within(LIMIT_BYTES);
        let client = HttpClient::open_within(usize::MAX, memory.clone());
        let ended = Rc::new(Cell::new(0));
        for _ in 0..24 {
            let (client, address, ended) = (client.clone(), address.clone(), ended.clone());
            monoio::spawn(async move {
                let called = client.call(&address, request(), TIMEOUTS).await;
                if matches!(called, Err(CallError::NoResponse(_))) {
                    ended.set(ended.get() + 1);
                }
            });
        }
        let mut most_bytes = 0;
        let started_at = Instant::now();
        while ended.get() < 24 {
            most_bytes = most_bytes.max(memory.held_bytes());
            let answered = client.call(&sound, request(), TIMEOUTS).await;
            assert!(answered.is_ok(), "{answered:?}");
            assert!(
                started_at.elapsed() < Duration::from_millis(ENDLESS_MS),
                "{} of 24 calls have ended without an answer",
                ended.get()
            );
            sleep_ms(2).await;
        }
        assert!(
            (1..=LIMIT_BYTES).contains(&most_bytes),
            "{most_bytes} bytes"
        );
        assert_eq!(memory.held_bytes(), 0);
    });
}

// Guards against timers that stand still while many servers send bodies in short chunks.
#[test]
fn timers_run_beside_many_endless_answers() {
    let (address, _written_bytes) = serve(Endless {
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeat: "1\r\nx\r\n",
        is_slow: false,
    });
    run_event_loop(async {
        let client = HttpClient::open();
        for _ in 0..16 {
            let (client, address) = (client.clone(), address.clone());
            monoio::spawn(async move { client.call(&address, request(), TIMEOUTS).await });
        }
        let longest = longest_pause(40).await;
        assert!(longest < Duration::from_millis(SLACK_MS), "{longest:?}");
    });
}

// Guards against log lines of the size of a body that is no answer.
#[test]
fn an_error_quotes_little_of_a_body() {
    let (address, _written_bytes) = serve(Endless {
        begin: "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n",
        repeat: "no answer",
        is_slow: false,
    });
    run_event_loop(async {
        let client = HttpClient::open();
        let called = client
            .call_json::<_, u64>(&address, "POST", "/", &(), TIMEOUTS)
            .await;
        let error = format!("{:?}", called.unwrap_err());
        assert!(error.contains("no answer") && error.len() < 500, "{error}");
    });
}
