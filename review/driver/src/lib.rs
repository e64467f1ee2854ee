//! Starts the project's daemons as separate processes, with a proxy between each of them and the store.

use std::{
    cell::RefCell,
    fs::File,
    future::Future,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
};

use borageshore_net::{Clock, HttpClient, Timeouts, run_event_loop, sleep_ms, within_ms};
use borageshore_soak::free_address;
use borageshore_standins::platform::{PlatformService, PlatformStore, Proxy};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// The host of all routes.
pub const HOST: &str = "review.example";
/// Bounds of the installation, as on the sheet of `lsgm-rollout`.
pub const LEASE_MS: u64 = 3_000;
pub const STOP_GRACE_S: u64 = 8;
/// A case that takes longer couldn't run.
const LIMIT_MS: u64 = 110_000;

const TIMEOUTS: Timeouts = Timeouts {
    connect_ms: 1_000,
    first_byte_ms: 4_000,
};

/// Runs a case on an event loop, for at most `LIMIT_MS`. Its daemons end with it.
pub fn play<Case>(case: Case) -> ExitCode
where
    Case: Future<Output = ExitCode>,
{
    let limited = async { within_ms(LIMIT_MS, case).await.unwrap_or(ExitCode::from(2)) };
    run_event_loop(limited)
}

/// Returns whether the disruption is to be injected; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, written to `record.txt`.
#[derive(Debug)]
pub struct Record {
    clock: Clock,
    file: RefCell<File>,
}

impl Record {
    pub fn open(clock: Clock) -> Self {
        let folder = std::env::var("CASE_FOLDER").expect("set by run.sh");
        let file =
            File::create(PathBuf::from(folder).join("record.txt")).expect("a writable folder");
        Self {
            clock,
            file: RefCell::new(file),
        }
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.clock.now_ms();
        let line = format!("{:>7.3} s  {text}", at_ms as f64 / 1_000.0);
        println!("{line}");
        let _ = writeln!(self.file.borrow_mut(), "{line}");
    }
}

/// One daemon process.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peer: SocketAddr,
    /// The link to the store.
    pub store: Proxy,
    folder: PathBuf,
    child: RefCell<Option<Child>>,
}

impl Daemon {
    /// Writes the settings that `deploy/gateway.yaml` gives on a small installation; does not start the process.
    pub fn open(name: &str, store: &PlatformStore, folder: &std::path::Path) -> Self {
        let proxy = Proxy::bind(store.address()).unwrap();
        let daemon = Self {
            name: name.into(),
            front: free_address().unwrap(),
            ready: free_address().unwrap(),
            directory: free_address().unwrap(),
            peer: free_address().unwrap(),
            store: proxy,
            folder: folder.into(),
            child: RefCell::default(),
        };
        let metrics = free_address().unwrap();
        let Daemon {
            front,
            ready,
            directory,
            peer,
            store,
            ..
        } = &daemon;
        let text = format!(
            "name: {name}\nzone: z1\nzone_regions: [{{zone: z1, region: r1}}]\nhttp_address: {front}\n\
             ready_address: {ready}\ndirectory_address: {directory}\npeer_address: {peer}\nmetrics_address: {metrics}\n\
             processor_share: 0.5\nstore_address: {}\nstore_partitions: 8\nstore_reads_per_s: 2000.0\n\
             store_read_mb_per_s: 80.0\nis_first_start: false\naddress_ttl_s: 2\nstop_grace_s: {STOP_GRACE_S}\n\
             results_kept_s: 120\norder_lease_ms: {LEASE_MS}\n\
             features: [base, drain, config, cost, recover, samples, stream, engine, batch, platform]\nmemory_mb: 280\n\
             parallel_loads_percent: 22\nload_share_percent: 50\ndeployment: review\n",
            store.address(),
        );
        std::fs::write(daemon.path("yaml"), text).unwrap();
        daemon
    }

    fn path(&self, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}.{suffix}", self.name))
    }

    /// Starts the process.
    pub fn start(&self) {
        let program = std::env::var("BORAGESHORE").expect("set by run.sh");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))
            .unwrap();
        let child = Command::new(program)
            .args(["gateway", "--config"])
            .arg(self.path("yaml"))
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn();
        self.child.replace(Some(child.expect("the daemon starts")));
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.borrow().as_ref().map(|child| child.id() as i32);
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub async fn is_ready(&self) -> bool {
        request(self.ready, "GET", "/api/ready", &[], "").await.0 == 200
    }

    /// Waits until it reports ready, for at most `limit_ms`.
    pub async fn wait_until_ready(&self, limit_ms: u64) -> bool {
        for _ in 0..limit_ms / 20 {
            if self.is_ready().await {
                return true;
            }
            sleep_ms(20).await;
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends one request on a new channel; status 0 if there was no complete response.
pub async fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (u16, Bytes) {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    match HttpClient::open()
        .call(&address.to_string(), request, TIMEOUTS)
        .await
    {
        Ok((status, body)) => (status.as_u16(), body),
        Err(_) => (0, Bytes::new()),
    }
}

/// What a manifest says of the batch route.
#[derive(Debug, Clone, Copy)]
pub struct BatchRoute<'m> {
    pub service: &'m str,
    pub is_single_version: bool,
}

/// Writes a manifest: a batch route, and routes to the plain service `app`.
pub fn write_manifest(store: &PlatformStore, version: u64, batch: BatchRoute<'_>) {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 10_000,
            "target_latency_ms": 500, "priority": 1, "max_attempts": 3, "service": service,
            "result_due_ms": 7_500, "retention_s": 60,
            "single_version": batch.is_single_version && kind == "rollout",
        })
    };
    let config = json!({
        "version": version,
        "routes": [route("safe", "safe", "app"), route("batch", "rollout", batch.service)],
        "services": [],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 15000 },
    });
    store.put("keyed.op", "config", config.to_string().as_bytes());
}

/// Names a version of a model, as its trainer does.
pub fn name_version(store: &PlatformStore, model: &str, version: u64) {
    let value: Value = json!({ "model": model, "version": version });
    store.put(
        "keyed.op",
        &format!("version/{model}"),
        value.to_string().as_bytes(),
    );
}

/// A temporary folder for settings and logs.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("borageshore-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Starts a small installation: a manifest, daemons, and endpoints of the plain service `app`, which score texts.
pub struct Installation {
    pub clock: Clock,
    pub record: Record,
    pub store: PlatformStore,
    pub daemons: Vec<Daemon>,
    _services: Vec<PlatformService>,
    folder: PathBuf,
}

impl Installation {
    pub fn open(names: &[&str]) -> Self {
        let clock = Clock::start();
        let store = PlatformStore::bind("127.0.0.1:0").unwrap();
        let open_service = |number: usize| {
            let service = PlatformService::bind("app", &format!("s-{number}"), clock).unwrap();
            service.list(&store, &service.address().to_string(), "ready");
            service
        };
        let services = (0..2).map(open_service).collect();
        let folder = folder();
        let open_daemon = |name: &&str| Daemon::open(name, &store, &folder);
        let daemons = names.iter().map(open_daemon).collect();
        Self {
            clock,
            record: Record::open(clock),
            store,
            daemons,
            _services: services,
            folder,
        }
    }

    /// Starts all daemons and waits until they are ready and know each other.
    pub async fn start(&self) -> bool {
        for daemon in &self.daemons {
            daemon.start();
        }
        for daemon in &self.daemons {
            if !daemon.wait_until_ready(10_000).await {
                self.record
                    .line(&format!("{} does not become ready", daemon.name));
                return false;
            }
        }
        sleep_ms(1_500).await;
        let names: Vec<&str> = self.daemons.iter().map(|daemon| &*daemon.name).collect();
        self.record.line(&format!("ready: {}", names.join(", ")));
        true
    }

    /// Submits a batch at one daemon after the other until one answers 202.
    pub async fn submit(&self, path: &str, id: &str, body: &Value, limit_ms: u64) -> bool {
        let until_ms = self.clock.now_ms() + limit_ms;
        let body = body.to_string();
        for daemon in self.daemons.iter().cycle() {
            let headers = [("x-request-id", id), ("content-type", "application/json")];
            let (status, _) = request(daemon.front, "POST", path, &headers, &body).await;
            self.record.line(&format!(
                "batch {id} sent to {}: answered {status}",
                daemon.name
            ));
            if status == 202 {
                return true;
            }
            if self.clock.now_ms() > until_ms {
                break;
            }
            sleep_ms(100).await;
        }
        false
    }

    /// Reads results of a batch from a position on; `None` if the daemon does not give any.
    pub async fn read(&self, daemon: &Daemon, id: &str, after: usize) -> Option<Vec<Value>> {
        let path = format!("/api/lots/{id}?after={after}");
        let headers = [("x-wait-ms", "1000")];
        let (status, body) = request(daemon.front, "GET", &path, &headers, "").await;
        let page: Value = serde_json::from_slice(&body).ok()?;
        (status == 200).then(|| page["results"].as_array().cloned().unwrap_or_default())
    }

    /// Reads the results of a batch about twice a second until there are `count`, for at most `limit_ms`.
    pub async fn read_all(&self, id: &str, count: usize, limit_ms: u64) -> Vec<Value> {
        let until_ms = self.clock.now_ms() + limit_ms;
        let mut results = Vec::new();
        for daemon in self.daemons.iter().cycle() {
            if results.len() >= count || self.clock.now_ms() >= until_ms {
                break;
            }
            if let Some(page) = self.read(daemon, id, results.len()).await {
                results.extend(page);
            }
            sleep_ms(300).await;
        }
        results
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// An item of a batch, with its reward call.
pub fn item(id: &str, group: &str, model: &str) -> Value {
    json!({
        "id": id, "path": "/batch/x", "headers": { "X-Model": model, "X-Token-Count": "16,400" },
        "body": "q83vEjRWeJA=", "num_tokens": 416, "group": group,
        "scorer": { "id": format!("{id}-score"), "host": HOST, "path": "/safe/score", "body": "3q2+7w==" },
    })
}
