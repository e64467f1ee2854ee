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

    fn list(&self, store: &PlatformStore, id: &str, service: &str) {
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "a1", "version": "v1", "slots": 6,
            "state": "ready", "cold_left_ms": 0, "seq": 1,
        });
        store.put("keyed.servers", id, entry.to_string().as_bytes());
    }
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
        faulty.list(&fleet.store, "faulty", "app");
        once.list(&fleet.store, "once", "records");
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
}
