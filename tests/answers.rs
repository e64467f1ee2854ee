//! Daemons as real processes before endpoints whose answers are no final responses of HTTP.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{PlatformService, PlatformStore};
use futures_util::future::join_all;
use serde_json::json;
use support::{Fleet, put_routes, route};

/// How long a daemon takes to apply a record of the operator or of an endpoint.
const APPLY_MS: u64 = 400;
/// Enough requests at the same time that each endpoint gets some.
const REQUESTS: usize = 12;
/// The memory of a small VM.
const MEMORY_MB: u64 = 120;
/// A writer that is not stopped stops here, after 512 MiB, so that a fault fails the test instead of blocking it.
const MAX_FLOOD_BLOCKS: usize = 8 * 1024;
/// What must not reach a caller.
const MARK: &str = "bytes-of-no-answer";

/// Heads that HTTP does not define as those of a final response.
const HEADS: [&str; 6] = [
    "HTTP/1.1 000 OK\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n",
    "HTTP/1.1 999 OK\r\n",
    "HTTP/1.1 200 OK\r\nx y: z\r\n",
    "HTTP/1.1 200 OK\r\nx\x01y: z\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n",
];

/// An endpoint that answers each request with a head and a marked body.
#[derive(Debug)]
struct Faulty {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Faulty {
    fn open(head: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::<AtomicUsize>::default();
        let counted = requests.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let counted = counted.clone();
                thread::spawn(move || {
                    let mut request = [0; 4 * 1024];
                    if stream.read(&mut request).is_ok_and(|bytes| bytes > 0) {
                        counted.fetch_add(1, Ordering::Relaxed);
                    }
                    let answer = format!(
                        "{head}x-server-stamp: {MARK}\r\ncontent-length: {}\r\n\r\n{MARK}",
                        MARK.len()
                    );
                    let _ = stream.write_all(answer.as_bytes());
                    // Waits until the daemon closes.
                    let _ = stream.read(&mut request);
                });
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

fn list(store: &PlatformStore, id: &str, service: &str, address: SocketAddr) {
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "a1", "version": "v1", "slots": 6,
        "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    store.put("keyed.servers", id, entry.to_string().as_bytes());
}

/// Sends requests to a route of a service with a faulty and, for requests that may be repeated, a sound endpoint.
fn check(head: &'static str) {
    run_event_loop(async {
        let fleet = Fleet::open(&["a1"]).await;
        let routes = [
            route("safe", "safe", "app", json!([])),
            route("once", "unsafe", "records", json!([])),
        ];
        put_routes(&fleet.store, 1, &routes, &[]);
        let sound = PlatformService::bind("app", "sound", Clock::start()).unwrap();
        sound.set_zone("a1");
        sound.list(&fleet.store, &sound.address().to_string(), "ready");
        let (faulty, once) = (Faulty::open(head), Faulty::open(head));
        list(&fleet.store, "faulty", "app", faulty.address);
        list(&fleet.store, "once", "records", once.address);
        fleet.wait_until_ready().await;
        sleep_ms(APPLY_MS).await;
        let ids: Vec<String> = (0..REQUESTS)
            .map(|number| format!("safe-{number}"))
            .collect();
        let requests = ids
            .iter()
            .map(|id| fleet.request(0, "GET", "/safe/x", id, String::new()));
        for (id, answer) in ids.iter().zip(join_all(requests).await) {
            let text = String::from_utf8_lossy(&answer.body);
            assert_eq!((answer.status, &*text), (200, &*format!("answer to {id}")));
        }
        assert!(faulty.requests() > 0, "{head:?} was never sent");
        let answer = fleet
            .request(0, "POST", "/once/x", "once", "body".into())
            .await;
        let text = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, once.requests()), (502, 1), "{head:?}");
        assert!(!text.contains(MARK), "{text}");
    });
}

/// Answers each request with a beginning and then the same bytes until the daemon closes.
fn flood(begin: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4 * 1024]);
                let block = repeated.repeat(64 * 1024 / repeated.len());
                let mut taken = stream.write_all(begin.as_bytes());
                for _ in 0..MAX_FLOOD_BLOCKS {
                    if taken.is_err() {
                        break;
                    }
                    taken = stream.write_all(block.as_bytes());
                }
            });
        }
    });
    address
}

/// Has many callers call an endpoint that answers without end, beside callers of a sound one.
fn check_flood(begin: &'static str, repeated: &'static str) {
    run_event_loop(async {
        let fleet = Fleet::open_within(&["a1"], MEMORY_MB).await;
        let routes = [
            route("safe", "safe", "app", json!([])),
            route("once", "unsafe", "records", json!([])),
        ];
        put_routes(&fleet.store, 1, &routes, &[]);
        let sound = PlatformService::bind("app", "sound", Clock::start()).unwrap();
        sound.set_zone("a1");
        sound.list(&fleet.store, &sound.address().to_string(), "ready");
        list(&fleet.store, "flood", "records", flood(begin, repeated));
        fleet.wait_until_ready().await;
        sleep_ms(APPLY_MS).await;
        let ids: Vec<String> = (0..REQUESTS).map(|number| number.to_string()).collect();
        let flooded = ids
            .iter()
            .map(|id| fleet.request(0, "POST", "/once/x", id, "body".into()));
        let others = async {
            for id in &ids {
                let answer = fleet.request(0, "GET", "/safe/x", id, String::new()).await;
                assert_eq!(answer.status, 200, "beside {repeated:?} after {begin:?}");
                sleep_ms(50).await;
            }
        };
        let (flooded, ()) = monoio::join!(join_all(flooded), others);
        let statuses: Vec<u16> = flooded.iter().map(|answer| answer.status).collect();
        assert!(
            statuses.iter().all(|status| matches!(status, 502..=504)),
            "{statuses:?}"
        );
        let peak_kb = fleet.peak_memory_kb(0);
        assert!((1..MEMORY_MB * 1024).contains(&peak_kb), "{peak_kb} KB");
    });
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A caller gets bytes that are no answer as the answer to its request, or a request that must not run twice is sent
    // again after them.
    callers_get_nothing_of_bytes_that_are_no_answer => {
        for head in HEADS {
            check(head);
        }
    }

    // A daemon keeps all bytes of an endpoint that answers without end, runs out of memory and ends with the requests of
    // other callers.
    answers_without_end_leave_other_callers_alone => {
        check_flood("", "no answer ");
        check_flood("HTTP/1.1 200 OK\r\n", "x: y\r\n");
        check_flood("HTTP/1.1 200 OK\r\nx-server-stamp: s\r\n\r\n", "body");
        check_flood("HTTP/1.1 200 OK\r\nx-server-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n");
    }
}
