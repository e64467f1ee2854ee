//! Generated answers are complete even if engines send chunks of other requests or stall.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use borageshore_net::{HttpClient, HttpServer, Timeouts, run_event_loop, sleep_ms};
use borageshore_standins::{
    engine::{EngineOptions, EngineStandin, EngineSwitches},
    expected_token,
    vm_list::{Vm, VmState},
};
use serde_json::{Value, json};

const TOKENS: u64 = 30;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 20_000,
};

/// A daemon in front of two engines.
struct Fixture {
    daemon: String,
    engines: Vec<HttpServer>,
    http: HttpClient,
}

/// An engine that answers each request with a line without end, or the same one again and again.
fn bind_endless(line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4 * 1024]);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                while stream.write_all(line.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    address
}

impl Fixture {
    async fn open() -> Self {
        Self::open_beside(None).await
    }

    /// Opens a daemon in front of two engines and another one.
    async fn open_beside(other: Option<SocketAddr>) -> Self {
        let options = EngineOptions {
            step_ms: 2,
            ..EngineOptions::default()
        };
        let engines: Vec<HttpServer> = (0..2)
            .map(|_| EngineStandin::bind("127.0.0.1:0", options.clone()).unwrap())
            .collect();
        let addresses = engines.iter().map(HttpServer::address).chain(other);
        let vms = addresses.enumerate().map(|(number, address)| Vm {
            name: format!("engine-{number}").into(),
            service: "llm".into(),
            zone: "suva-hall".into(),
            address: address.to_string().into(),
            state: VmState::Live,
        });
        let daemon = support::open_daemon(vms.collect()).await;
        let fixture = Self {
            daemon,
            engines,
            http: HttpClient::open(),
        };
        fixture.configure().await;
        fixture
    }

    async fn configure(&self) {
        let edit = |key: &str, value: Value| json!({"node": "llm", "key": key, "value": value, "based_on": 0});
        let edits = [
            edit("parent", json!("root")),
            edit("kind", json!("service")),
            edit("chunk_timeout_ms", json!(500)),
            edit("first_byte_timeout_ms", json!(2_000)),
        ];
        let change = json!({"actor": "test", "reason": "test", "edits": edits});
        let request = support::operator_request("/v1/admin/settings", &change);
        let (status, body) = self
            .http
            .call(&self.daemon, request, TIMEOUTS)
            .await
            .unwrap();
        assert_eq!(status, 200, "{body:?}");
        while self.generate("warm up").await.is_none() {
            // The VM list has not been read yet.
            sleep_ms(20).await;
        }
    }

    async fn switch(&self, engine: usize, switches: EngineSwitches) {
        let address = self.engines[engine].address().to_string();
        let answer =
            self.http
                .call_json::<_, Value>(&address, "POST", "/switches", &switches, TIMEOUTS);
        answer.await.unwrap();
    }

    /// Generates tokens; `None` if the request fails.
    async fn generate(&self, prompt: &str) -> Option<Vec<String>> {
        let body = json!({"prompt": prompt, "max_tokens": TOKENS});
        let answer = self
            .http
            .call_json::<_, Value>(
                &self.daemon,
                "POST",
                "/v1/services/llm/generate",
                &body,
                TIMEOUTS,
            )
            .await;
        let (status, answer) = answer.unwrap();
        (status == 200).then(|| serde_json::from_value(answer["tokens"].clone()).unwrap())
    }

    async fn assert_complete(&self, prompt: &str) {
        let expected: Vec<String> = (0..TOKENS)
            .map(|index| expected_token(prompt, index))
            .collect();
        assert_eq!(self.generate(prompt).await, Some(expected), "{prompt}");
    }
}

macro_rules! fixture_tests {
    ($($name:ident: |$fixture:ident| $steps:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run_event_loop(async {
                    let $fixture = Fixture::open().await;
                    $steps
                });
            }
        )*
    };
}

fixture_tests! {
    // Chunks of another request in a caller's stream are dropped; the answer has only its own
    // tokens, in order.
    crossed_chunks_are_dropped: |fixture| {
        for engine in 0..2 {
            fixture.switch(engine, EngineSwitches { cross_chunks: 8, ..EngineSwitches::default() }).await;
        }
        for number in 0..4 {
            fixture.assert_complete(&format!("crossed {number}")).await;
        }
    };

    // An engine stops sending while its connections stay open. The chunk timeout detects this, and
    // the other engine resumes after the last received token.
    stalled_engine_is_left: |fixture| {
        fixture.switch(0, EngineSwitches { stall_ms: 60_000, ..EngineSwitches::default() }).await;
        for number in 0..6 {
            fixture.assert_complete(&format!("stalled {number}")).await;
        }
    };

    // Both engines stall briefly; the answer is still complete.
    short_stalls_are_survived: |fixture| {
        for engine in 0..2 {
            fixture.switch(engine, EngineSwitches { stall_ms: 100, ..EngineSwitches::default() }).await;
        }
        fixture.assert_complete("short stall").await;
    };
}

macro_rules! endless_engines {
    ($($name:ident: $line:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run_event_loop(async {
                    let fixture = Fixture::open_beside(Some(bind_endless($line))).await;
                    for number in 0..6 {
                        fixture.assert_complete(&format!("endless {number}")).await;
                    }
                });
            }
        )*
    };
}

// Guard against requests that wait for an engine that sends without end and makes no progress.
endless_engines! {
    a_line_without_end_is_left: "x";
    empty_lines_are_left: "\n";
    chunks_of_another_request_without_end_are_left: "{\"request_id\":\"x\",\"index\":0,\"token\":\"t\",\"version\":1}\n";
}
