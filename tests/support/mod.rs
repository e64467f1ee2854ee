//! A fleet of daemon processes in zones of two regions, and a peer outside that records what it is sent.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    cell::RefCell,
    collections::BTreeSet,
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
};

use borageshore_net::{HttpClient, Timeouts, sleep_ms};
use borageshore_soak::{free_address, spawn_daemon};
use borageshore_standins::platform::{PlatformStore, Proxy};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// The host of all routes.
pub(crate) const HOST: &str = "app.example";
/// The key that callers send.
pub(crate) const KEY: &str = "k-1";

const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 500,
    first_byte_ms: 8_000,
};
/// The interval at which the recording peer renews its presence, which also refutes suspicions.
const PRESENCE_INTERVAL_MS: u64 = 100;

/// A route of one service; `kind` is one of the platform's.
pub(crate) fn route(name: &str, kind: &str, service: &str, allowed_regions: Value) -> Value {
    json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "service": service,
        "timeout_ms": 2_000, "target_latency_ms": 100, "max_attempts": 3, "result_due_ms": 7_500,
        "retention_s": 60, "allowed_regions": allowed_regions,
    })
}

/// Writes the routes as the operator does.
pub(crate) fn put_routes(
    store: &PlatformStore,
    version: u64,
    routes: &[Value],
    organisations: &[Value],
) {
    let text = json!({ "version": version, "routes": routes, "tenants": organisations });
    store.put("keyed.op", "config", text.to_string().as_bytes());
}

/// The status and body of a response; status 0 if there was none.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl Answer {
    /// The result code of a refusal; empty for other responses.
    pub(crate) fn code(&self) -> String {
        let refusal: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        refusal["code"].as_str().unwrap_or_default().to_owned()
    }
}

#[derive(Debug)]
struct Daemon {
    front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
    store: Proxy,
    child: RefCell<Option<Child>>,
}

/// Daemons, named `vm-0` and so on, with a store.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) store: PlatformStore,
    daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a daemon in each zone, of which the first letter names the region.
    pub(crate) async fn open(zones: &[&str]) -> Self {
        Self::open_with(zones, "").await
    }

    /// Like [`Fleet::open`], with a store so slow that two daemons read it for all.
    pub(crate) async fn open_fed(zones: &[&str]) -> Self {
        Self::open_with(zones, "store_read_mb_per_s: 0.03\n").await
    }

    /// Like [`Fleet::open`], with daemons that may use so much memory.
    pub(crate) async fn open_within(zones: &[&str], memory_mb: u64) -> Self {
        Self::open_with(zones, &format!("memory_mb: {memory_mb}\n")).await
    }

    async fn open_with(zones: &[&str], settings: &str) -> Self {
        let store = PlatformStore::bind("127.0.0.1:0").unwrap();
        let thread = format!("{:?}", thread::current().id());
        let folder = format!("residency-{}-{thread}", std::process::id());
        let folder = std::env::temp_dir().join(folder.replace(['(', ')'], ""));
        std::fs::create_dir_all(&folder).unwrap();
        let open = |(number, zone): (usize, &&str)| {
            let store = Proxy::bind(store.address()).unwrap();
            let daemon = Daemon {
                front: free_address().unwrap(),
                ready: free_address().unwrap(),
                directory: free_address().unwrap(),
                metrics: free_address().unwrap(),
                store,
                child: RefCell::default(),
            };
            let path = folder.join(format!("vm-{number}.yaml"));
            std::fs::write(path, daemon.settings(number, zone) + settings).unwrap();
            daemon
        };
        let daemons = zones.iter().enumerate().map(open).collect();
        let fleet = Self {
            store,
            daemons,
            folder,
        };
        for number in 0..zones.len() {
            fleet.start(number);
        }
        fleet
    }

    /// Starts a daemon that is not running.
    pub(crate) fn start(&self, number: usize) {
        let path = |suffix: &str| self.folder.join(format!("vm-{number}.{suffix}"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(path("log"))
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_borageshore"));
        command
            .args(["gateway", "--config"])
            .arg(path("yaml"))
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log));
        let child = spawn_daemon(&mut command).unwrap();
        self.daemons[number].child.replace(Some(child));
    }

    /// Kills a daemon.
    pub(crate) fn kill(&self, number: usize) {
        self.daemons[number].kill();
    }

    /// Asks a daemon to stop, as the platform does before maintenance.
    pub(crate) fn stop(&self, number: usize) {
        let child = self.daemons[number].child.borrow();
        let pid = child.as_ref().map(|child| child.id() as i32);
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            kill_process(pid, Signal::TERM).unwrap();
        }
    }

    /// Waits until all daemons are ready.
    pub(crate) async fn wait_until_ready(&self) {
        for daemon in &self.daemons {
            for _ in 0..100 {
                if self.get(daemon.ready, "/api/ready").await.status == 200 {
                    break;
                }
                sleep_ms(100).await;
            }
        }
        // Until all know that all are ready.
        sleep_ms(1_000).await;
    }

    /// Sends a request with the callers' key and host to a daemon.
    pub(crate) async fn request(
        &self,
        number: usize,
        method: &str,
        path: &str,
        id: &str,
        body: String,
    ) -> Answer {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST)
            .header("x-request-id", id)
            .header("x-deadline-ms", "3000")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(Bytes::from(body)));
        call(self.daemons[number].front, request.unwrap()).await
    }

    /// The addresses that a daemon's directory names to a caller of the host.
    pub(crate) async fn resolve(
        &self,
        number: usize,
        region: &str,
        zone: &str,
    ) -> BTreeSet<String> {
        let path = format!("/api/resolve?name={HOST}&region={region}&zone={zone}");
        let answer = self.get(self.daemons[number].directory, &path).await;
        let listed: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let listed = listed["addresses"].as_array().cloned().unwrap_or_default();
        let addresses = listed.iter().filter_map(Value::as_str);
        addresses.map(str::to_owned).collect()
    }

    /// The address of a daemon for callers.
    pub(crate) fn front(&self, number: usize) -> String {
        self.daemons[number].front.to_string()
    }

    /// The proxy between a daemon and the store.
    pub(crate) fn store_proxy(&self, number: usize) -> &Proxy {
        &self.daemons[number].store
    }

    /// The daemon whose record lists a submission.
    pub(crate) fn holder_of(&self, submission: &str) -> Option<usize> {
        let members = self.store.newest("keyed.members");
        let holds = |(name, value): &(String, Bytes)| {
            let record: Value = serde_json::from_slice(value).ok()?;
            let mut held = record["holds"].as_array()?.iter();
            held.find(|held| *held == submission)?;
            name.strip_prefix("vm-")?.parse().ok()
        };
        members.iter().find_map(holds)
    }

    /// The most memory that a daemon has used since it was started; 0 if it has ended.
    pub(crate) fn peak_memory_kb(&self, number: usize) -> u64 {
        let child = self.daemons[number].child.borrow();
        let id = child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let mut lines = status.lines();
        let line = lines.find(|line| line.starts_with("VmHWM"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// What a daemon has logged so far.
    pub(crate) fn log(&self, number: usize) -> String {
        let path = self.folder.join(format!("vm-{number}.log"));
        std::fs::read_to_string(path).unwrap()
    }

    /// A daemon's metrics.
    pub(crate) async fn metrics(&self, number: usize) -> String {
        let answer = self.get(self.daemons[number].metrics, "/metrics").await;
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Where the settings and logs of the daemons are; kept if the test fails.
    pub(crate) fn folder(&self) -> &Path {
        &self.folder
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Answer {
        let request = Request::builder().uri(path).body(Full::default());
        call(address, request.unwrap()).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Daemon {
    fn settings(&self, number: usize, zone: &str) -> String {
        let peers = free_address().unwrap();
        format!(
            "name: vm-{number}\nzone: {zone}\nhttp_address: {}\nready_address: {}\ndirectory_address: {}\n\
             peer_address: {peers}\nmetrics_address: {}\nprocessor_share: 0.5\nstore_address: {}\n\
             store_partitions: 2\naddress_ttl_s: 1\nstop_grace_s: 4\nresults_kept_s: 60\norder_lease_ms: 3000\n\
             parallel_loads_percent: 50\nload_share_percent: 50\ndeployment: residency\nzone_regions:\n\
             \x20 - {{ zone: a1, region: a }}\n  - {{ zone: a2, region: a }}\n  - {{ zone: b1, region: b }}\n",
            self.front,
            self.ready,
            self.directory,
            self.metrics,
            self.store.address(),
        )
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let client = HttpClient::open();
    match client.call(&address.to_string(), request, TIMEOUTS).await {
        Ok((status, body)) => Answer {
            status: status.as_u16(),
            body,
        },
        Err(_) => Answer {
            status: 0,
            body: Bytes::new(),
        },
    }
}

/// A peer that forwards calls to the store, and refuses requests of callers, and records what it is sent.
#[derive(Debug)]
pub(crate) struct Spy {
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Spy {
    /// Starts a peer in a zone and keeps its presence record fresh.
    pub(crate) fn open(store: &PlatformStore, name: &'static str, zone: &str) -> Self {
        let seen = Arc::<Mutex<Vec<u8>>>::default();
        let front = record(seen.clone(), None);
        let peer = record(seen.clone(), Some(store.address()));
        let presence = json!({
            "name": name, "incarnation": 1, "zone": zone, "http_address": front.to_string(),
            "peer_address": peer.to_string(), "state": "Ready", "capacity_percent": 50, "holds": [],
        });
        let store = store.clone();
        monoio::spawn(async move {
            loop {
                store.put("keyed.members", name, presence.to_string().as_bytes());
                sleep_ms(PRESENCE_INTERVAL_MS).await;
            }
        });
        Self { seen }
    }

    /// Whether it was sent a text.
    pub(crate) fn has_seen(&self, text: &str) -> bool {
        let seen = self.seen.lock().unwrap();
        let encoded = text.as_bytes();
        seen.windows(encoded.len()).any(|part| part == encoded)
    }
}

/// Records all bytes that arrive and forwards them to `target`; without one, refuses.
fn record(seen: Arc<Mutex<Vec<u8>>>, target: Option<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let seen = seen.clone();
            thread::spawn(move || serve(stream, &seen, target));
        }
    });
    address
}

fn serve(mut stream: TcpStream, seen: &Mutex<Vec<u8>>, target: Option<SocketAddr>) -> Option<()> {
    let mut forward = match target {
        Some(target) => Some(TcpStream::connect(target).ok()?),
        None => None,
    };
    if let Some(forward) = &forward {
        let (mut answers, mut back) = (forward.try_clone().ok()?, stream.try_clone().ok()?);
        thread::spawn(move || std::io::copy(&mut answers, &mut back));
    }
    let mut bytes = [0; 16 * 1024];
    loop {
        let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
        seen.lock().unwrap().extend_from_slice(&bytes[..count]);
        match &mut forward {
            Some(forward) => forward.write_all(&bytes[..count]).ok()?,
            None => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
                return stream.write_all(refusal.as_bytes()).ok();
            }
        }
    }
}
