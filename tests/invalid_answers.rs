//! Endpoints, the platform and peers whose answers are no final responses of HTTP.

use std::{
    io::{Read, Write},
    net::TcpListener,
    rc::Rc,
    thread,
    time::Duration,
};

use borageshore_base::SortedMap;
use borageshore_batch::{Item, RewardCall};
use borageshore_diagnostics::Instruments;
use borageshore_net::{CallError, Clock, Deadline, ResponseMemory, run_event_loop};
use borageshore_platform::{
    AttemptError, DutyClient, DutyError, DutyHolder, EndpointClient, EndpointTarget,
    GenerationError, GenerationRequest, OutboundRequest, RequestPurpose, Store, StoreCall,
    StoreConnections, StoreError, StoreTransport, Topic, VersionOrder,
};
use borageshore_topology::Distance;
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};

const TIMEOUT_MS: u64 = 500;
/// How long the server keeps a connection open after its answer.
const KEPT_OPEN: Duration = Duration::from_millis(50);

/// Heads that HTTP does not define as those of a final response. What they say besides, that nothing was run or that all
/// is well, must not count.
const HEADS: [&str; 15] = [
    "HTTP/1.1 000 OK\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n",
    "HTTP/1.1 600 OK\r\n",
    "HTTP/1.1 999 OK\r\n",
    "HTTP/1.1 2000 OK\r\n",
    "HTTP/1.1 200 OK\r\nx y: z\r\n",
    "HTTP/1.1 200 OK\r\nx\x01y: z\r\n",
    "HTTP/1.1 200 OK\r\nx : z\r\n",
    "HTTP/1.1 200 OK\r\n: z\r\n",
    "HTTP/1.1 200 OK\r\nx: y\x01z\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
    "HTTP/1.1 503 Busy\r\nx y: z\r\n",
    "HTTP/1.1 412 Failed\r\nx y: z\r\n",
    "HTTP/1.1 421 Misdirected\r\nx y: z\r\n",
];

/// A response that would count as an answer on each path, but for its head.
fn answer(head: &str) -> Vec<u8> {
    let body = r#"{"offset":1,"end":2,"items":[],"has_more":false,"models":[]}"#;
    format!(
        "{head}x-server-stamp: s\r\nx-not-executed: 1\r\nx-weight-versions: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Answers the first request on each connection with these bytes.
fn serve(answer: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.unwrap(), answer.clone());
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4 * 1024]);
                let _ = stream.write_all(&answer);
                thread::sleep(KEPT_OPEN);
            });
        }
    });
    address
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
    EndpointClient::open(
        Rc::new(Instruments::open()),
        ResponseMemory::of_process(None),
    )
}

fn may_have_run(error: &AttemptError) -> bool {
    matches!(error, AttemptError::Unknown(_) | AttemptError::Broken(_))
}

async fn forwarded(address: &str, outbound: &OutboundRequest, purpose: RequestPurpose) -> bool {
    let deadline = Deadline::after(Clock::start(), TIMEOUT_MS);
    let target = target(address);
    let called = client().call(&target, outbound, purpose, deadline).await;
    called.is_err_and(|error| may_have_run(&error))
}

fn outbound() -> OutboundRequest {
    OutboundRequest {
        id: "call".into(),
        host: "app.example".into(),
        method: Method::POST,
        target: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        organisation: None,
    }
}

async fn call(address: &str) -> bool {
    forwarded(address, &outbound(), RequestPurpose::Call).await
}

async fn reward_call(address: &str) -> bool {
    let call = RewardCall {
        id: "reward".into(),
        host: "app.example".into(),
        path: "/".into(),
        body_base64: "".into(),
    };
    let outbound = OutboundRequest::reward(&call);
    forwarded(address, &outbound, RequestPurpose::Reward).await
}

async fn item(address: &str) -> bool {
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
        first_byte_ms: TIMEOUT_MS,
    };
    let generated = client().generate(&target(address), &request).await;
    matches!(generated, Err(GenerationError::Attempt(error)) if may_have_run(&error))
}

async fn report(address: &str) -> bool {
    let reported = client().report(&target(address)).await;
    reported.is_err_and(|error| may_have_run(&error))
}

async fn order(address: &str) -> bool {
    let order = VersionOrder {
        model: "model".into(),
        version: 2,
        holder: "daemon".into(),
        epoch: 1,
        after_orders: 0,
    };
    let ordered = client().order(&target(address), &order).await;
    ordered.is_err_and(|error| may_have_run(&error))
}

async fn duty_call(address: &str) -> bool {
    let holder = DutyHolder {
        name: "daemon".into(),
        epoch: 1,
    };
    let client = DutyClient::open(address.into());
    let counts = SortedMap::default();
    let reported = client.report_usage(&holder, 1, &counts, || true).await;
    matches!(reported, Err(DutyError::Unknown(_)))
}

/// Calls the store, or a peer that forwards to it, at an address.
struct At<'a>(&'a str, StoreConnections);

impl StoreTransport for At<'_> {
    async fn call(&self, call: StoreCall) -> Result<(StatusCode, Bytes), CallError> {
        self.1.call_at(self.0, &call).await
    }
}

async fn append(address: &str) -> bool {
    let store = Store::open(At(address, StoreConnections::open()));
    let record = [("key".into(), Bytes::from_static(b"value"))];
    let appended = store.append(Topic::Index, 0, &record, Some(7)).await;
    matches!(appended, Err(StoreError::Unknown(_)))
}

async fn read(address: &str) -> bool {
    let store = Store::open(At(address, StoreConnections::open()));
    let read = store.newest(Topic::Index, 0, "").await;
    matches!(read, Err(StoreError::Unknown(_)))
}

macro_rules! paths {
    ($($path:ident => $name:ident;)*) => {
        $(#[test] fn $name() {
            for head in HEADS {
                let address = serve(answer(head));
                run_event_loop(async {
                    assert!($path(&address).await, "counts as an answer: {head:?}");
                });
            }
        })*
    };
}

// Guard against requests that count as answered, or as not run, by bytes that are no answer.
paths! {
    call => calls_have_no_answer;
    reward_call => reward_calls_have_no_answer;
    item => items_have_no_answer;
    report => reports_have_no_answer;
    order => orders_have_no_answer;
    duty_call => duty_calls_have_no_answer;
    append => appends_have_no_answer;
    read => reads_of_the_store_have_no_answer;
}

// Guards against an answer of the platform that counts although it breaks off.
#[test]
fn a_duty_call_whose_answer_ends_early_has_none() {
    let address = serve(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok".to_vec());
    run_event_loop(async {
        assert!(duty_call(&address).await);
    });
}

// Guards against a sum that overflows, which ends the daemon or makes a busy endpoint look idle.
#[test]
fn a_load_out_of_range_is_ignored() {
    for load in [
        "18446744073709551615,1,8",
        "1,18446744073709551615,8",
        "1,1,18446744073709551615",
    ] {
        let head =
            format!("HTTP/1.1 200 OK\r\nx-server-load: {load}\r\ncontent-length: 2\r\n\r\nok");
        let address = serve(head.into_bytes());
        let deadline = Deadline::after(Clock::start(), TIMEOUT_MS);
        let target = target(&address);
        let outbound = outbound();
        let answer = run_event_loop(async {
            let client = client();
            let called = client.call(&target, &outbound, RequestPurpose::Call, deadline);
            called.await.unwrap()
        });
        assert_eq!(
            (answer.status, answer.load),
            (StatusCode::OK, None),
            "{load}"
        );
    }
}

// Guards against numbers of a report that no sum can hold.
#[test]
fn a_report_out_of_range_is_none() {
    let largest = u64::MAX;
    for body in [
        format!(r#"{{"num_running":{largest}}}"#),
        format!(r#"{{"seq":{largest}}}"#),
        format!(r#"{{"models":[{{"name":"m","version":{largest},"adapters":[]}}]}}"#),
    ] {
        let length = body.len();
        let address = serve(
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes(),
        );
        assert!(run_event_loop(report(&address)), "{body}");
    }
}
