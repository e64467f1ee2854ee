//! The memory budget of a server: callers who send slowly or do not read, beside others.

use std::{
    cell::Cell,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    thread,
    time::Duration,
};

use borageshore_net::{
    Clock, EdgeRequest, EdgeResponse, Handler, HeldBodyError, HttpClient, HttpServer, MemoryBudget,
    MemoryLimits, ServerLimits, Timeouts, full_body, json_response, run_event_loop, sleep_ms,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 10_000,
    first_byte_ms: 10_000,
};
/// In which a server that does what it should not would do it.
const SETTLED_MS: u64 = 150;
/// What should happen is awaited for this long, so that a busy machine fails no test.
const WAIT_TIMEOUT_MS: u64 = 20_000;
const POLL_MS: u64 = 5;
/// Longer than a response may stall.
const STALLED_MS: u64 = 2_600;
const MIB: u64 = 1024 * 1024;
/// Far more than the buffers of a connection's two sockets.
const LARGE_BYTES: usize = 24 * 1024 * 1024;
const GET_LARGE: &[u8] = b"GET /large HTTP/1.1\r\nhost: memory.example\r\n\r\n";

/// Answers GET with a large response, and POST with the length of the body.
struct Sizes {
    budget: MemoryBudget,
    large: Bytes,
    handled: Rc<Cell<usize>>,
}

impl Handler for Sizes {
    async fn handle(&self, request: EdgeRequest, _remote: SocketAddr) -> EdgeResponse {
        self.handled.set(self.handled.get() + 1);
        if request.uri().path() == "/large" {
            return Response::new(full_body(self.large.clone()));
        }
        let limits = ServerLimits::default();
        match self.budget.read_body(request.into_body(), limits).await {
            Ok(held) => json_response(200, &held.bytes.len()),
            Err(HeldBodyError::OverMemory) => json_response(503, &"over memory"),
            Err(HeldBodyError::Body(error)) => json_response(400, &format!("{error:?}")),
        }
    }
}

struct Running {
    budget: MemoryBudget,
    server: HttpServer,
    /// The number of requests that the handler got.
    handled: Rc<Cell<usize>>,
}

fn run(refuse_mib: u64, close_mib: u64) -> Running {
    let limits = MemoryLimits {
        refuse_bodies_bytes: refuse_mib * MIB,
        close_connections_bytes: close_mib * MIB,
    };
    let budget = MemoryBudget::spawn(limits, Clock::start());
    let handled = Rc::<Cell<usize>>::default();
    let handler = Sizes {
        budget: budget.clone(),
        large: vec![b'x'; LARGE_BYTES].into(),
        handled: handled.clone(),
    };
    let limits = ServerLimits::default();
    let bound = HttpServer::bind_within("127.0.0.1:0", limits, Some(budget.clone()), handler);
    let server = bound.unwrap();
    Running {
        budget,
        server,
        handled,
    }
}

impl Running {
    /// A caller that sends `bytes` and reads nothing.
    async fn send(&self, bytes: &[u8]) -> TcpStream {
        let handled = self.handled.get();
        let mut stream = TcpStream::connect(self.server.address()).unwrap();
        stream.write_all(bytes).unwrap();
        stream.set_nonblocking(true).unwrap();
        until(|| self.handled.get() > handled).await;
        sleep_ms(SETTLED_MS).await;
        stream
    }

    /// A caller that sends a head for `declared` bytes, and `sent` of them.
    async fn send_body(&self, declared: usize, sent: usize) -> TcpStream {
        let head = format!(
            "POST / HTTP/1.1\r\nhost: memory.example\r\ncontent-length: {declared}\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + sent, b'x');
        self.send(&bytes).await
    }

    /// Posts a body and returns the status of the response.
    async fn post(&self, size: usize) -> StatusCode {
        let body = Full::new(Bytes::from(vec![b'x'; size]));
        let request = Request::post("/").body(body).unwrap();
        let address = self.server.address().to_string();
        let answered = HttpClient::open().call(&address, request, TIMEOUTS).await;
        answered.expect("callers that send and read are answered").0
    }

    async fn read_large(&self) -> usize {
        let request = Request::get("/large").body(Full::default()).unwrap();
        let address = self.server.address().to_string();
        let answered = HttpClient::open().call(&address, request, TIMEOUTS).await;
        answered.expect("callers that read are answered").1.len()
    }
}

/// Waits until something has happened.
async fn until<Condition>(condition: Condition)
where
    Condition: Fn() -> bool,
{
    for _ in 0..WAIT_TIMEOUT_MS / POLL_MS {
        if condition() {
            return;
        }
        sleep_ms(POLL_MS).await;
    }
    panic!("it did not happen");
}

/// Reads `enough` bytes, or until the connection ends; returns the bytes, and whether it has ended.
async fn read(stream: &mut TcpStream, enough: usize) -> (Vec<u8>, bool) {
    let (mut read, mut buffer) = (Vec::new(), vec![0; 256 * 1024]);
    let mut pauses = 0;
    while read.len() < enough {
        match stream.read(&mut buffer) {
            Ok(0) => return (read, true),
            Ok(bytes) => read.extend_from_slice(&buffer[..bytes]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                pauses += 1;
                assert!(
                    pauses < WAIT_TIMEOUT_MS / POLL_MS,
                    "{} bytes came",
                    read.len()
                );
                sleep_ms(POLL_MS).await;
            }
            Err(_) => return (read, true),
        }
    }
    (read, false)
}

/// Whether the server has neither sent anything nor closed the connection.
fn is_silent(stream: &TcpStream) -> bool {
    let peeked = stream.peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() { run_event_loop(async $body) })*
    };
}

cases! {
    // Guards against a daemon that is killed for its memory because callers do not read their responses.
    many_slow_readers_hold_no_more_than_the_limit_and_others_are_answered => {
        let running = run(16, 50);
        let mut readers = Vec::new();
        for _ in 0..8 {
            readers.push(running.send(GET_LARGE).await);
            assert!(running.budget.held_bytes() <= 50 * MIB);
        }
        assert_eq!(running.post(500).await, 200);
        assert_eq!(running.read_large().await, LARGE_BYTES);
        assert!(running.budget.closed_connections() >= 4);
        let (read, is_closed) = read(&mut readers[0], LARGE_BYTES).await;
        assert!(is_closed && read.len() < LARGE_BYTES, "the longest unread is closed first");
    }

    // Guards against responses that stay until their callers' connections break.
    a_response_without_progress_is_dropped_while_much_is_held => {
        let running = run(2, 500);
        let _reader = running.send(GET_LARGE).await;
        assert!(running.budget.held_bytes() > 2 * MIB);
        until(|| running.budget.closed_connections() == 1).await;
        assert_eq!(running.budget.held_bytes(), 0);
        until(|| running.server.open_connections() == 0).await;
    }

    // Guards against closing the connections of callers that pause while there is room.
    a_slow_reader_is_left_alone_while_little_is_held => {
        let running = run(100, 500);
        let mut reader = running.send(GET_LARGE).await;
        sleep_ms(STALLED_MS).await;
        let (read, is_closed) = read(&mut reader, LARGE_BYTES + 1).await;
        assert!(read.len() > LARGE_BYTES && !is_closed);
        until(|| running.budget.held_bytes() == 0).await;
        assert_eq!(running.budget.closed_connections(), 0);
    }

    // Guards against breaking off the responses of sound callers after the daemon itself was paused.
    a_pause_of_the_process_does_not_count_as_a_stall => {
        let running = run(2, 500);
        let mut reader = running.send(GET_LARGE).await;
        thread::sleep(Duration::from_millis(STALLED_MS));
        sleep_ms(SETTLED_MS).await;
        let (read, is_closed) = read(&mut reader, LARGE_BYTES + 1).await;
        assert!(read.len() > LARGE_BYTES && !is_closed);
        assert_eq!(running.budget.closed_connections(), 0);
    }

    // Guards against a caller that sends requests without reading and so makes the daemon hold all responses.
    a_connection_holds_one_response => {
        let running = run(500, 500);
        let mut caller = running.send(&GET_LARGE.repeat(6)).await;
        assert_eq!(running.handled.get(), 1);
        let (read, _) = read(&mut caller, 6 * LARGE_BYTES + 1).await;
        assert!(read.len() > 6 * LARGE_BYTES);
        assert_eq!(running.handled.get(), 6);
    }

    // Guards against a connection that hangs after a response without a body.
    a_connection_goes_on_after_a_response_without_a_body => {
        let running = run(500, 500);
        let head = b"HEAD /large HTTP/1.1\r\nhost: memory.example\r\n\r\n";
        let mut caller = running.send(&[head, GET_LARGE].concat()).await;
        let (read, _) = read(&mut caller, LARGE_BYTES + 1).await;
        assert!(read.len() > LARGE_BYTES);
        until(|| running.budget.held_bytes() == 0).await;
    }

    // Guards against large bodies that fill the memory, and against refusing the small requests of live callers.
    large_bodies_are_refused_and_small_ones_served_while_much_is_held => {
        let running = run(2, 500);
        assert_eq!(running.post(MIB as usize).await, 200);
        let mut senders = Vec::new();
        for _ in 0..4 {
            senders.push(running.send_body(520_000, 515_000).await);
        }
        until(|| running.budget.held_bytes() == 4 * 515_000).await;
        assert_eq!(running.post(100_000).await, 503);
        assert_eq!(running.post(600).await, 200);
        // Refused before any of it has come.
        let mut sender = running.send_body(100_000, 0).await;
        let (response, _) = read(&mut sender, 12).await;
        assert!(response.starts_with(b"HTTP/1.1 503"));
        assert_eq!(running.budget.refused_bodies(), 2);
    }

    // Guards against callers that send large bodies slowly and so fill the memory together.
    many_slow_senders_hold_no_more_than_the_limit => {
        let running = run(2, 500);
        let mut senders = Vec::new();
        for _ in 0..8 {
            senders.push(running.send_body(MIB as usize, 600_000).await);
            assert!(running.budget.held_bytes() <= 2 * MIB);
            assert_eq!(running.post(600).await, 200);
        }
        let (response, _) = read(&mut senders[7], 12).await;
        assert!(response.starts_with(b"HTTP/1.1 503"));
        assert!(is_silent(&senders[0]), "the first ones go on");
        drop(senders);
        until(|| running.budget.held_bytes() == 0).await;
        assert_eq!(running.post(MIB as usize).await, 200);
    }

    // Guards against a body of unknown length that grows past the limit.
    a_body_without_a_length_is_refused_when_it_does_not_fit => {
        let running = run(1, 500);
        let mut bytes = b"POST / HTTP/1.1\r\nhost: memory.example\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for _ in 0..20 {
            bytes.extend_from_slice(b"10000\r\n");
            bytes.resize(bytes.len() + 0x10000, b'x');
            bytes.extend_from_slice(b"\r\n");
        }
        let mut sender = running.send(&bytes).await;
        let (response, _) = read(&mut sender, 12).await;
        assert!(response.starts_with(b"HTTP/1.1 503"));
        assert_eq!(running.budget.held_bytes(), 0);
    }
}
