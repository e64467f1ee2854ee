//! Daemons of the project, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// The longest wait for a daemon to be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// One daemon; it is killed when it is dropped.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    config: PathBuf,
    child: Option<Child>,
}

/// The ports for daemons, below those that the system gives to connections.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;
const SPREAD: u32 = 97;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that was free a moment ago.
fn free_address() -> SocketAddr {
    // Plays that start together get ports that are far apart.
    let start = (std::process::id().wrapping_mul(SPREAD) % u32::from(PORTS)) as u16;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + next % PORTS) % PORTS;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

impl Daemon {
    /// Writes the settings of `deploy/gateway.yaml` with the bounds of `navua-feedlog`.
    pub fn open(folder: &Path, number: usize, zones: &[&str], store: SocketAddr) -> Self {
        let zone = zones[number % zones.len()];
        let name = format!("front-{zone}-{}", number / zones.len() + 1);
        let [front, ready, directory, peer, metrics] = std::array::from_fn(|_| free_address());
        let region = |zone: &&str| format!("{{zone: {zone}, region: viti-levu }}");
        let regions: Vec<String> = zones.iter().map(region).collect();
        let text = format!(
            "name: {name}\nzone: {zone}\nzone_regions: [{}]\nhttp_address: {front}\n\
             ready_address: {ready}\ndirectory_address: {directory}\npeer_address: {peer}\n\
             metrics_address: {metrics}\nprocessor_share: 0.5\nstore_address: {store}\n\
             store_partitions: 8\nstore_reads_per_s: 2000\nstore_read_mb_per_s: 80.0\n\
             is_first_start: true\naddress_ttl_s: 2\nstop_grace_s: 8\nresults_kept_s: 120\n\
             order_lease_ms: 3000\n\
             features: [base,drain,config,cost,recover,samples,stream,engine,batch,platform]\n\
             memory_mb: 270\nparallel_loads_percent: 22\nload_share_percent: 50\n",
            regions.join(",")
        );
        let config = folder.join(format!("{name}.yaml"));
        fs::write(&config, text).unwrap();
        Self {
            name,
            front,
            directory,
            ready,
            config,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let program = std::env::var("BORAGESHORE").unwrap_or("target/release/borageshore".into());
        let log = File::create(self.config.with_extension("log")).unwrap();
        let mut command = Command::new(program);
        command.args(["gateway", "--config"]).arg(&self.config);
        command
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(log);
        self.child = Some(command.spawn().unwrap());
    }

    pub fn wait_until_ready(&mut self) -> bool {
        let until = Instant::now() + START_LIMIT;
        // One that has ended may have found its address in use.
        while Instant::now() < until && !self.has_ended() {
            let answer = http::call(
                self.ready,
                "GET /api/ready",
                &[("Host", "ready".into())],
                b"",
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name, as `TERM`.
    pub fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("it was started");
        // The shell's own `kill`, as the program may be missing.
        let kill = format!("kill -s {signal} {}", child.id());
        let sent = Command::new("sh").args(["-c", &kill]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal not sent");
    }

    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut().expect("it was started");
        child.try_wait().unwrap().is_some()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A figure of the process in kB by its name in `/proc/ID/status`; 0 if it has ended.
    pub fn memory_kb(&self, figure: &str) -> u64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(figure));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
