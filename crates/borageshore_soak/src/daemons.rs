//! Daemon processes: settings, start, signals and restart.

use std::{
    cell::RefCell,
    fs::File,
    io,
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
};

use borageshore_standins::platform::Proxy;
use rustix::process::{Pid, Signal, kill_process};

use crate::{
    SoakOptions,
    keys::REVOCATION_MS,
    regions,
    usage::{REPORT_DUE_S, WINDOW_S},
};

const FIRST_PORT: u16 = 11_000;
const PORTS_PER_RANGE: u16 = 1_000;
const PORT_RANGES: u32 = 21;

static PORT_RANGE: Mutex<Option<(u16, TcpListener)>> = Mutex::new(None);
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
/// Held while an address is tried and while a process is spawned.
///
/// Guards against a daemon that cannot bind its address: until a spawned process runs its program, it has a copy of
/// all sockets, also of one that is open for a moment to try an address.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Time between SIGTERM and SIGKILL of a daemon.
pub(crate) const STOP_GRACE_S: u64 = 4;
/// Time for which callers may use a list of addresses.
pub(crate) const ADDRESS_TTL_S: u64 = 1;

/// One daemon with its addresses, which stay the same across restarts.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) name: String,
    /// Address that callers connect to.
    pub(crate) front: SocketAddr,
    /// Address at which callers ask for addresses of daemons.
    pub(crate) directory: SocketAddr,
    /// Proxy between the daemon and the store.
    pub(crate) store: Proxy,
    config: std::path::PathBuf,
    log: std::path::PathBuf,
    program: std::path::PathBuf,
    child: RefCell<Option<Child>>,
}

impl DaemonProcess {
    /// Writes the daemon's settings without starting it.
    pub(crate) fn open(
        options: &SoakOptions,
        number: usize,
        store: Proxy,
        duties: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("vm-{number}");
        let (front, ready, directory) = (free_address()?, free_address()?, free_address()?);
        let (metrics, peers) = (free_address()?, free_address()?);
        let limit = |mb: f64| format!("store_read_mb_per_s: {mb}\n");
        let store_limit = options.store_read_mb_per_s.map(limit).unwrap_or_default();
        let memory = |mb: u64| format!("memory_mb: {mb}\n");
        let memory_limit = options.memory_mb.map(memory).unwrap_or_default();
        let kinds = if options.endpoint_orders {
            "  kinds: [usage, scale]\n"
        } else {
            ""
        };
        let place = match options.regions {
            true => regions::settings(number),
            false => "zone: z1".into(),
        };
        let config = options.folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\n{place}\nhttp_address: {front}\nready_address: {ready}\n\
             directory_address: {directory}\npeer_address: {peers}\nmetrics_address: {metrics}\nprocessor_share: 0.5\nstore_address: {}\n\
             store_partitions: 2\naddress_ttl_s: {ADDRESS_TTL_S}\nstop_grace_s: {STOP_GRACE_S}\nresults_kept_s: {}\norder_lease_ms: 3000\n\
             parallel_loads_percent: 50\nload_share_percent: 50\nkey_revocation_ms: {REVOCATION_MS}\n\
             duties:\n  address: {duties}\n{kinds}  usage_window_s: {WINDOW_S}\n  usage_late_s: {REPORT_DUE_S}\n\
             features: [{}]\nmechanisms_off: [{}]\ndeployment: soak\n{}{memory_limit}",
            store.address(),
            options.results_kept_s,
            options.features.join(", "),
            options.mechanisms_off.join(", "),
            store_limit
        );
        std::fs::write(&config, text)?;
        Ok(Self {
            log: options.folder.join(format!("{name}.log")),
            program: options.program.clone(),
            name,
            front,
            directory,
            store,
            config,
            child: RefCell::new(None),
        })
    }

    /// Starts the process unless it is running.
    pub(crate) fn start(&self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .arg("gateway")
            .arg("--config")
            .arg(&self.config)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log));
        let child = spawn_daemon(&mut command)?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Returns whether the process is running; reaps it if it has exited.
    pub(crate) fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let Some(running) = child.as_mut() else {
            return false;
        };
        match running.try_wait() {
            Ok(None) => true,
            _ => {
                *child = None;
                false
            }
        }
    }

    /// The most memory that the process has used; 0 if it does not run.
    pub(crate) fn most_memory_kb(&self) -> u64 {
        let id = self.child.borrow().as_ref().map(Child::id);
        let status = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok());
        let most = status.as_deref().and_then(|status| {
            let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
            line.split_whitespace().nth(1)?.parse().ok()
        });
        most.unwrap_or(0)
    }

    /// Sends a signal to the process if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self.child.borrow().as_ref().map(Child::id);
        if let Some(pid) = pid.and_then(|id| Pid::from_raw(id as i32)) {
            // Fails if the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a free loopback address from the port range that this process has reserved, for a daemon to listen on.
pub fn free_address() -> io::Result<SocketAddr> {
    let start = port_range_start()?;
    let _spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let offset = 1 + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % (PORTS_PER_RANGE - 1);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", start + offset)) {
            return listener.local_addr();
        }
    }
}

/// Spawns a daemon that listens on addresses from [`free_address`].
pub fn spawn_daemon(command: &mut Command) -> io::Result<Child> {
    let _spawning = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// Reserves a port range for this process, below the ephemeral ports, and returns its first port.
///
/// Listening on the first port keeps the range reserved until the process exits, so that daemons of concurrent
/// runs never share an address.
fn port_range_start() -> io::Result<u16> {
    let mut own = PORT_RANGE
        .lock()
        .expect("no thread panics while holding the lock");
    if let Some((start, _)) = &*own {
        return Ok(*start);
    }
    for attempt in 0..PORT_RANGES {
        let number = (std::process::id() + attempt) % PORT_RANGES;
        let start = FIRST_PORT + number as u16 * PORTS_PER_RANGE;
        if let Ok(guard) = TcpListener::bind(("127.0.0.1", start)) {
            *own = Some((start, guard));
            return Ok(start);
        }
    }
    Err(io::Error::other("all port ranges are in use"))
}
