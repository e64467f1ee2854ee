//! Endpoints, and the platform, that answer without end.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use borageshore_base::SortedMap;
use borageshore_batch::Item;
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, Deadline, ResponseMemory, run_event_loop, sleep_ms};
use borageshore_platform::{
    AttemptError, DutyClient, DutyError, DutyHolder, EndpointClient, EndpointTarget,
    GenerationRequest, OutboundRequest, RequestPurpose, StoreCall, StoreConnections, VersionOrder,
};
use borageshore_topology::{Distance, Residency};
use bytes::Bytes;
use hyper::{HeaderMap, Method};

/// A writer that is not stopped stops here, so that a fault fails the test instead of blocking it.
const ENDLESS_BYTES: usize = 512 * 1024 * 1024;
const ENDLESS_MS: u64 = 6_000;
/// What the sockets of both sides may hold, beyond what was read.
const SOCKETS_BYTES: usize = 16 * 1024 * 1024;
const EVENT_TIMEOUT_MS: u64 = 400;
const CALL_TIMEOUT_MS: u64 = 600;
const SLACK_MS: u64 = 600;
/// The memory of a small process.
const SMALL_PROCESS_MB: u64 = 120;
/// How long the close of a connection may take to reach the other side.
const CLOSE_MS: u64 = 500;

/// The bytes that are written every 5 ms; for [`FLOOD`], all that are taken.
type Pace = usize;
const FLOOD: Pace = usize::MAX;

/// Answers a request with a beginning and numbered parts without end; returns the address, and the bytes that were
/// taken until the connection was closed.
fn serve<Part>(begin: &'static str, part: Part, pace: Pace) -> (String, mpsc::Receiver<usize>)
where
    Part: Fn(u64) -> String + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, taken_bytes) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4 * 1024]);
        let _ = sender.send(write(stream, begin, part, pace));
    });
    (address, taken_bytes)
}

fn write<Part>(mut stream: TcpStream, begin: &str, part: Part, pace: Pace) -> usize
where
    Part: Fn(u64) -> String,
{
    let _ = stream.set_write_timeout(Some(Duration::from_millis(ENDLESS_MS)));
    let _ = stream.set_nodelay(true);
    let started_at = Instant::now();
    let mut unwritten = begin.as_bytes().to_vec();
    let (mut taken_bytes, mut number) = (0, 0);
    while taken_bytes < ENDLESS_BYTES && started_at.elapsed() < Duration::from_millis(ENDLESS_MS) {
        while unwritten.len() < 64 * 1024 {
            number += 1;
            unwritten.extend_from_slice(part(number).as_bytes());
        }
        let most_bytes = unwritten.len().min(match taken_bytes < begin.len() {
            true => begin.len() - taken_bytes,
            false => pace,
        });
        match stream.write(&unwritten[..most_bytes]) {
            Ok(bytes) => {
                unwritten.drain(..bytes);
                taken_bytes += bytes;
            }
            Err(_) => break,
        }
        if pace != FLOOD {
            thread::sleep(Duration::from_millis(5));
        }
    }
    taken_bytes
}

fn target(address: &str) -> EndpointTarget {
    EndpointTarget {
        instance: "engine".into(),
        id: "engine".into(),
        started_at_ms: None,
        address: address.into(),
        distance: Distance::SameZone,
    }
}

fn client() -> EndpointClient {
    EndpointClient::open(Rc::new(Instruments::open()), memory())
}

fn memory() -> ResponseMemory {
    ResponseMemory::of_process(Some(SMALL_PROCESS_MB))
}

/// Waits until the endpoint finds its connection closed; returns the bytes that were taken.
async fn took_bytes(taken_bytes: &mpsc::Receiver<usize>) -> usize {
    for _ in 0..CLOSE_MS / 10 {
        if let Ok(bytes) = taken_bytes.try_recv() {
            return bytes;
        }
        sleep_ms(10).await;
    }
    panic!("the connection was not closed");
}

const STREAM: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-weight-versions: 1\r\n\r\n";

/// Reads a stream without end until it fails, which must be soon after its last event.
fn check_stream<Part>(part: Part, pace: Pace, most_ms: u64)
where
    Part: Fn(u64) -> String + Send + 'static,
{
    let (address, taken_bytes) = serve(STREAM, part, pace);
    let started_at = Instant::now();
    run_event_loop(async {
        let item = Item {
            id: "item".into(),
            group: "".into(),
            path: "/".into(),
            headers: Vec::new(),
            body_base64: "".into(),
            length_hint_tokens: None,
            reward: None,
        };
        let request = GenerationRequest {
            host: "engines.example",
            organisation: None,
            item: &item,
            last_event: 0,
            priority: 0,
            purpose: RequestPurpose::Item,
            first_byte_ms: EVENT_TIMEOUT_MS,
        };
        let target = target(&address);
        let mut generation = client().generate(&target, &request).await.unwrap();
        loop {
            match generation.next_event(EVENT_TIMEOUT_MS).await {
                Ok(event) => assert!(event.is_some(), "the stream counts as complete"),
                Err(AttemptError::Unknown(_)) => break,
                Err(error) => panic!("{error}"),
            }
        }
        let most = Duration::from_millis(most_ms + SLACK_MS);
        assert!(
            started_at.elapsed() < most,
            "took {:?}",
            started_at.elapsed()
        );
        drop(generation);
        assert!(took_bytes(&taken_bytes).await < SOCKETS_BYTES);
    });
}

macro_rules! streams {
    ($($name:ident: $part:expr, $pace:expr, within $most_ms:expr;)*) => {
        $(#[test] fn $name() { check_stream($part, $pace, $most_ms) })*
    };
}

// Guard against streams that keep their slot without progress, or whose text grows without end.
streams! {
    comments_are_no_progress: |_| ":\n\n".into(), 3, within EVENT_TIMEOUT_MS;
    a_flood_of_comments_is_no_progress: |_| ": still here\n\n".into(), FLOOD, within EVENT_TIMEOUT_MS;
    an_event_a_byte_at_a_time_ends: |_| "data".into(), 1, within EVENT_TIMEOUT_MS;
    a_line_without_end_ends: |_| "data: x".into(), FLOOD, within EVENT_TIMEOUT_MS;
    the_same_event_again_is_no_progress: |_| "id: 1\ndata: x\n\n".into(), 30, within EVENT_TIMEOUT_MS;
    a_text_without_end_ends: |number| format!("id: {number}\ndata: x\n\n"), FLOOD, within 3_000;
}

/// Makes a call that fails in time, and whose connection is closed.
async fn check_call<Call>(call: Call, taken_bytes: mpsc::Receiver<usize>)
where
    Call: Future<Output = bool>,
{
    let started_at = Instant::now();
    assert!(call.await, "the bytes count as an answer");
    let most = Duration::from_millis(2 * CALL_TIMEOUT_MS + SLACK_MS);
    let took = started_at.elapsed();
    assert!(took < most, "took {took:?}");
    let taken_bytes = took_bytes(&taken_bytes).await;
    assert!(taken_bytes < SOCKETS_BYTES, "{taken_bytes} bytes");
}

/// Whether a forwarded call has no valid answer.
async fn call_fails(address: &str) -> bool {
    let outbound = OutboundRequest {
        id: "call".into(),
        host: "endless.example".into(),
        method: Method::GET,
        target: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        organisation: None,
    };
    let deadline = Deadline::after(Clock::start(), CALL_TIMEOUT_MS);
    let called = client()
        .call(&target(address), &outbound, RequestPurpose::Call, deadline)
        .await;
    matches!(called, Err(AttemptError::Unknown(_)))
}

async fn report_fails(address: &str) -> bool {
    client().report(&target(address)).await.is_err()
}

async fn order_fails(address: &str) -> bool {
    let order = VersionOrder {
        model: "model".into(),
        version: 2,
        holder: "daemon".into(),
        epoch: 1,
        after_orders: 0,
    };
    client().order(&target(address), &order).await.is_err()
}

async fn store_call_fails(address: &str) -> bool {
    let call = StoreCall {
        method: Method::GET,
        target: "/api/log-read?topic=t&part=0&from=0".into(),
        body: Bytes::new(),
        first_byte_ms: CALL_TIMEOUT_MS,
        is_idempotent: true,
        residency: Residency::anywhere(),
    };
    let connections = StoreConnections::open();
    connections.call_at(address, &call).await.is_err()
}

async fn duty_call_fails(address: &str) -> bool {
    let holder = DutyHolder {
        name: "daemon".into(),
        epoch: 1,
    };
    let client = DutyClient::open(address.into());
    let counts = SortedMap::default();
    let reported = client.report_usage(&holder, 1, &counts, || true);
    matches!(reported.await, Err(DutyError::Unknown(_)))
}

macro_rules! calls {
    ($($name:ident: $call:ident, $begin:expr, $part:expr;)*) => {
        $(mod $name {
            use super::*;
            #[test]
            fn flood() { run(FLOOD) }
            #[test]
            fn a_byte_at_a_time() { run(1) }
            fn run(pace: Pace) {
                run_event_loop(async {
                    let (address, taken_bytes) = serve($begin, |_| $part.into(), pace);
                    check_call($call(&address), taken_bytes).await;
                });
            }
        })*
    };
}

const BODY: &str = "HTTP/1.1 200 OK\r\nx-server-stamp: s\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nx-server-stamp: s\r\n\r\n";

// Guard against calls that wait for an answer without end, or hold it in memory.
calls! {
    heads_of_calls: call_fails, "HTTP/1.1 200 OK\r\n", "x: y\r\n";
    bodies_of_calls: call_fails, BODY, "body";
    errors_of_calls: call_fails, FAILED, "body";
    heads_of_reports: report_fails, "", "no answer\r\n";
    bodies_of_reports: report_fails, BODY, "[";
    heads_of_orders: order_fails, "HTTP/1.1 ", "2";
    bodies_of_orders: order_fails, BODY, "body";
    heads_of_the_store: store_call_fails, "", "HTTP/1.1 100 Continue\r\n\r\n";
    bodies_of_the_store: store_call_fails, BODY, "\0\0\0\0";
    bodies_of_duty_calls: duty_call_fails, BODY, "body";
}

// Guards against a wait for the store that lasts as long as a peer's request says, or overflows.
#[test]
fn the_wait_of_a_peer_is_limited() {
    let target = format!("/api/log-read?topic=t&part=0&from=0&wait_ms={}", u64::MAX);
    let call = StoreCall::from_peer(Method::GET, &target, Bytes::new()).unwrap();
    assert!(call.first_byte_ms < 60_000, "{}", call.first_byte_ms);
}
