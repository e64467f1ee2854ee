//! A daemon with stand-ins for the store and for an endpoint and an engine in each of two zones, one of which is evacuated.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

use borageshore_gateway::{Gateway, GatewayConfig};
use borageshore_net::{Clock, HttpClient, Timeouts, run_event_loop, sleep_ms};
use borageshore_standins::platform::{PlatformEngine, PlatformService, PlatformStore, StoreMode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};

const FIRST_PORT: u16 = 9_000;
const PORTS_PER_RANGE: u16 = 100;
const PORT_RANGES: u16 = 20;
/// An order is in force at all daemons within this time.
const IN_FORCE_MS: u64 = 1_000;
/// Longer than a read waits at the store.
const OUTAGE_MS: u64 = 1_500;
/// The calls that are made to see which zones are used.
const CALLS: usize = 24;
/// A load, the pauses of the orderer, and the longest time for which returned engines count as loading.
const LOADED_MS: u64 = 4_000;
const MODEL: &str = "m";
const ITEMS: usize = 6;
const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 500,
    first_byte_ms: 2_500,
};

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident => async $body:block)*) => {
        $($(#[$meta])* #[test] fn $name() { run_event_loop(async $body) })*
    };
}

/// A free address below the ephemeral ports, so that no connection takes it before the daemon binds it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let range = (std::process::id() % u32::from(PORT_RANGES)) as u16;
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_PER_RANGE;
        let port = FIRST_PORT + range * PORTS_PER_RANGE + number;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// The entry of an endpoint in the store.
fn entry(endpoint: &PlatformService, zone: &str) -> String {
    let entry = json!({
        "service": "app", "address": endpoint.address(), "zone": zone, "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    entry.to_string()
}

/// The entry of an engine in the store.
fn engine_entry(engine: &PlatformEngine, zone: &str) -> String {
    let entry = json!({
        "service": "llm", "address": engine.address(), "zone": zone, "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "seq": 1, "stage": "both", "born": engine.started_at_ms(),
        "models": [{ "name": MODEL, "version": 1, "adapters": [] }],
    });
    entry.to_string()
}

struct Deployment {
    store: PlatformStore,
    endpoints: Vec<PlatformService>,
    engines: Vec<PlatformEngine>,
}

struct Daemon {
    front: SocketAddr,
    client: HttpClient,
}

impl Deployment {
    /// Endpoints in the zones z1 and z2.
    fn open() -> Self {
        let store = PlatformStore::bind("127.0.0.1:0").unwrap();
        let route = |name: &str, kind: &str, service: &str| {
            json!({
                "name": name, "host": "h", "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 2_000,
                "target_latency_ms": 500, "max_attempts": 2, "service": service, "retention_s": 60,
            })
        };
        let routes = json!({
            "version": 1, "services": [], "limits": {},
            "routes": [route("safe", "safe", "app"), route("batch", "rollout", "llm")],
        });
        store.put("keyed.op", "config", routes.to_string().as_bytes());
        let (mut endpoints, mut engines) = (Vec::new(), Vec::new());
        for zone in ["z1", "z2"] {
            let id = format!("s-{zone}");
            let endpoint = PlatformService::bind("app", &id, Clock::start()).unwrap();
            store.put("keyed.servers", &id, entry(&endpoint, zone).as_bytes());
            endpoints.push(endpoint);
            let id = format!("e-{zone}");
            let engine = PlatformEngine::bind("llm", &id, MODEL, 1, Clock::start()).unwrap();
            store.put("keyed.servers", &id, engine_entry(&engine, zone).as_bytes());
            engines.push(engine);
        }
        Self {
            store,
            endpoints,
            engines,
        }
    }

    fn evacuate(&self, zone: &str) {
        self.store
            .put("keyed.op", format!("evacuate/{zone}"), b"{}");
    }

    /// Writes records, and drops them from the history before any daemon has read them.
    async fn lose_history<Write>(&self, write: Write)
    where
        Write: FnOnce(),
    {
        self.store.set_mode(StoreMode::Busy);
        // The reads that wait at the store end without these records.
        sleep_ms(OUTAGE_MS).await;
        write();
        self.store.drop_history();
        self.store.set_mode(StoreMode::Up);
    }

    fn end_evacuation(&self, zone: &str) {
        self.store.put("keyed.op", format!("evacuate/{zone}"), b"");
    }

    /// Starts a daemon and waits until it is ready.
    async fn start(&self, name: &str) -> Daemon {
        let [front, ready, directory, peers, metrics] = [(); 5].map(|()| free_address());
        let text = format!(
            "name: {name}\nzone: z1\nhttp_address: {front}\nready_address: {ready}\n\
             directory_address: {directory}\npeer_address: {peers}\nmetrics_address: {metrics}\n\
             processor_share: 0.5\nstore_address: {}\nstore_partitions: 2\naddress_ttl_s: 1\nstop_grace_s: 4\n\
             results_kept_s: 60\norder_lease_ms: 3000\nparallel_loads_percent: 100\nload_share_percent: 100\n",
            self.store.address()
        );
        let config = GatewayConfig::parse("test.yaml", &text).unwrap();
        let gateway = Gateway::spawn(config, "test.yaml".into()).unwrap();
        monoio::spawn(async move { gateway.run_until_stopped().await });
        let client = HttpClient::open();
        let request = || Request::get("/api/ready").body(Full::default()).unwrap();
        let address = ready.to_string();
        while !matches!(
            client.call(&address, request(), TIMEOUTS).await,
            Ok((StatusCode::OK, _))
        ) {
            sleep_ms(20).await;
        }
        Daemon { front, client }
    }

    /// The number of calls that each zone's endpoint has run.
    fn run_counts(&self) -> Vec<usize> {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.runs().len())
            .collect()
    }

    /// Makes calls, which must all be served; returns whether the zone z1 served any. The daemon prefers z1, its own.
    async fn uses_own_zone(&self, daemon: &Daemon, name: &str) -> bool {
        let before = self.run_counts();
        for number in 0..CALLS {
            let status = daemon.call(&format!("{name}-{number}")).await;
            assert_eq!(status, StatusCode::OK, "{name}-{number}");
        }
        self.run_counts()[0] > before[0]
    }

    /// Makes calls for as long as an order may take to be in force; returns whether z1 served any of the last ones.
    async fn uses_own_zone_in_the_end(&self, daemon: &Daemon, name: &str) -> bool {
        sleep_ms(IN_FORCE_MS).await;
        self.uses_own_zone(daemon, name).await
    }
}

impl Daemon {
    async fn call(&self, id: &str) -> StatusCode {
        self.post("/safe/x", id, "body".into()).await
    }

    /// Submits items that have no reward calls.
    async fn submit(&self, id: &str) -> StatusCode {
        let item = |number: usize| {
            json!({
                "id": format!("{id}-{number}"), "path": "/batch/x", "headers": { "X-Model": MODEL }, "body": "",
                "num_tokens": 20, "group": "g",
            })
        };
        let items: Vec<Value> = (0..ITEMS).map(item).collect();
        let body = json!({ "step": 1, "model": MODEL, "min_version": 1, "target_groups": 1, "items": items });
        self.post("/batch/x", id, body.to_string().into()).await
    }

    async fn post(&self, path: &str, id: &str, body: Bytes) -> StatusCode {
        let request = Request::post(path)
            .header("host", "h")
            .header("x-request-id", id)
            .header("x-deadline-ms", "2000")
            .body(Full::new(body))
            .unwrap();
        let answer = self
            .client
            .call(&self.front.to_string(), request, TIMEOUTS)
            .await;
        answer.unwrap().0
    }
}

cases! {
    /// An order is not followed, because of its damaged body, or not taken back.
    a_zone_is_left_and_used_again => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        assert!(deployment.uses_own_zone(&daemon, "before").await);
        deployment.store.put("keyed.op", "evacuate/z1", b"\xff{\"zo");
        assert!(!deployment.uses_own_zone_in_the_end(&daemon, "during").await);
        deployment.end_evacuation("z1");
        assert!(deployment.uses_own_zone_in_the_end(&daemon, "after").await);
    }

    /// The end of an order that is read together with it is overlooked.
    an_order_taken_back_at_once_is_not_in_force => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        deployment.evacuate("z1");
        deployment.end_evacuation("z1");
        assert!(deployment.uses_own_zone_in_the_end(&daemon, "after").await);
    }

    /// A zone that no endpoint is in stops the others, or the daemon.
    an_unknown_zone_changes_nothing => async {
        let deployment = Deployment::open();
        deployment.evacuate("z9");
        let daemon = deployment.start("vm-1").await;
        assert!(deployment.uses_own_zone(&daemon, "during").await);
    }

    /// Calls wait for their deadline, or reach a zone after all, when no other one is left.
    calls_are_refused_at_once_without_a_zone => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        deployment.evacuate("z1");
        deployment.evacuate("z2");
        sleep_ms(IN_FORCE_MS).await;
        let before = deployment.run_counts();
        let clock = Clock::start();
        for number in 0..CALLS {
            let status = daemon.call(&format!("refused-{number}")).await;
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        }
        assert!(clock.now_ms() < CALLS as u64 * 100, "{}", clock.now_ms());
        assert_eq!(deployment.run_counts(), before);
        deployment.end_evacuation("z2");
        assert!(!deployment.uses_own_zone_in_the_end(&daemon, "after").await);
    }

    /// Items are lost, or run in an evacuated zone, when no other one is left.
    items_wait_for_a_zone => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        let runs = || deployment.engines.iter().map(|engine| engine.runs().len()).collect::<Vec<_>>();
        deployment.evacuate("z1");
        deployment.evacuate("z2");
        sleep_ms(IN_FORCE_MS).await;
        assert_eq!(daemon.submit("step").await, StatusCode::ACCEPTED);
        sleep_ms(IN_FORCE_MS).await;
        assert_eq!(runs(), [0, 0]);
        deployment.end_evacuation("z2");
        sleep_ms(LOADED_MS).await;
        assert_eq!(runs(), [0, ITEMS]);
    }

    /// An engine of an evacuated zone is ordered to load, or misses a version for good.
    engines_there_get_no_orders_until_the_return => async {
        let deployment = Deployment::open();
        let _daemon = deployment.start("vm-1").await;
        let orders = || deployment.engines.iter().map(|engine| engine.orders().len()).collect::<Vec<_>>();
        deployment.evacuate("z1");
        sleep_ms(IN_FORCE_MS).await;
        let version = json!({ "model": MODEL, "version": 2 });
        deployment.store.put("keyed.op", "version/m", version.to_string().as_bytes());
        sleep_ms(LOADED_MS).await;
        assert_eq!(orders(), [0, 1]);
        deployment.end_evacuation("z1");
        sleep_ms(LOADED_MS).await;
        assert_eq!(orders(), [1, 1]);
    }

    /// A daemon that starts during an evacuation is ready before it has read of it.
    a_daemon_that_starts_knows_of_it => async {
        let deployment = Deployment::open();
        deployment.evacuate("z1");
        let daemon = deployment.start("vm-1").await;
        assert!(!deployment.uses_own_zone(&daemon, "started").await);
    }

    /// An outage of the store ends an evacuation.
    it_stands_while_the_store_is_down => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        deployment.evacuate("z1");
        sleep_ms(IN_FORCE_MS).await;
        deployment.store.set_mode(StoreMode::Silent);
        for round in 0..4 {
            assert!(!deployment.uses_own_zone_in_the_end(&daemon, &format!("down-{round}")).await);
        }
        deployment.store.set_mode(StoreMode::Up);
        assert!(!deployment.uses_own_zone_in_the_end(&daemon, "up").await);
    }

    /// The endpoint of an evacuated zone is used once it has restarted.
    an_endpoint_that_restarts_there_is_not_used => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        deployment.evacuate("z1");
        sleep_ms(IN_FORCE_MS).await;
        deployment.store.put("keyed.servers", "s-z1", b"");
        assert!(!deployment.uses_own_zone_in_the_end(&daemon, "gone").await);
        let entry = entry(&deployment.endpoints[0], "z1");
        deployment.store.put("keyed.servers", "s-z1", entry.as_bytes());
        assert!(!deployment.uses_own_zone_in_the_end(&daemon, "back").await);
        deployment.end_evacuation("z1");
        assert!(deployment.uses_own_zone_in_the_end(&daemon, "after").await);
    }

    /// The record that ended an evacuation expired before it was read: the zone is never used again.
    an_end_that_nobody_read_counts => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        deployment.evacuate("z1");
        assert!(!deployment.uses_own_zone_in_the_end(&daemon, "during").await);
        deployment.lose_history(|| deployment.end_evacuation("z1")).await;
        assert!(deployment.uses_own_zone_in_the_end(&daemon, "after").await);
    }

    /// An evacuation ends in between or for good when the history of the store is lost.
    it_stands_when_the_history_is_lost => async {
        let deployment = Deployment::open();
        let daemon = deployment.start("vm-1").await;
        deployment.evacuate("z1");
        sleep_ms(IN_FORCE_MS).await;
        deployment.lose_history(|| deployment.evacuate("z2-unknown")).await;
        for round in 0..3 {
            assert!(!deployment.uses_own_zone(&daemon, &format!("lost-{round}")).await);
            sleep_ms(IN_FORCE_MS / 2).await;
        }
    }
}
