//! The daemons: processes that are started, signalled and started again.

use std::{
    cell::RefCell,
    fs::File,
    io,
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
};

use borageshore_standins::platform::Proxy;
use rustix::process::{Pid, Signal, kill_process};

use crate::{
    SoakOptions,
    keys::REVOCATION_MS,
    usage::{REPORT_DUE_S, WINDOW_S},
};

const FIRST_PORT: u16 = 11_000;
const PORTS_PER_RANGE: u16 = 1_000;
const PORT_RANGES: u32 = 21;

static PORT_RANGE: Mutex<Option<(u16, TcpListener)>> = Mutex::new(None);
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// How long the daemons have from SIGTERM to SIGKILL.
pub(crate) const STOP_GRACE_S: u64 = 4;
/// How long a list of addresses holds.
pub(crate) const ADDRESS_TTL_S: u64 = 1;

/// One daemon with its addresses, which stay the same over its lives.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    /// Its name.
    pub(crate) name: String,
    /// Where callers connect.
    pub(crate) front: SocketAddr,
    /// Where callers ask for addresses.
    pub(crate) directory: SocketAddr,
    /// Its way to the store.
    pub(crate) store: Proxy,
    config: std::path::PathBuf,
    log: std::path::PathBuf,
    program: std::path::PathBuf,
    child: RefCell<Option<Child>>,
}

impl DaemonProcess {
    /// Writes its settings; it is not started yet.
    pub(crate) fn open(
        options: &SoakOptions,
        number: usize,
        store: Proxy,
        duties: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("vm-{number}");
        let (front, ready, directory) = (free_address()?, free_address()?, free_address()?);
        let (metrics, peers) = (free_address()?, free_address()?);
        let config = options.folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\nzone: z1\nhttp_address: {front}\nready_address: {ready}\n\
             directory_address: {directory}\npeer_address: {peers}\nmetrics_address: {metrics}\nprocessor_share: 0.5\nstore_address: {}\n\
             store_partitions: 2\naddress_ttl_s: {ADDRESS_TTL_S}\nstop_grace_s: {STOP_GRACE_S}\nresults_kept_s: {}\norder_lease_ms: 3000\n\
             parallel_loads_percent: 50\nload_share_percent: 50\nkey_revocation_ms: {REVOCATION_MS}\n\
             duties:\n  address: {duties}\n  usage_window_s: {WINDOW_S}\n  usage_late_s: {REPORT_DUE_S}\n\
             mechanisms_off: [{}]\n",
            store.address(),
            options.results_kept_s,
            options.mechanisms_off.join(", ")
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

    /// Starts the process unless it runs.
    pub(crate) fn start(&self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--config")
            .arg(&self.config)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Says whether the process runs.
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

    /// Sends the process a signal; only a process that was started here gets one.
    pub(crate) fn signal(&self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let pid = self.child.borrow().as_ref().map(Child::id);
        if let Some(pid) = pid.and_then(|id| Pid::from_raw(id as i32)) {
            // It may have ended just now.
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

/// A loopback address that is free now, of the ports that this process has to itself.
fn free_address() -> io::Result<SocketAddr> {
    let start = port_range_start()?;
    let offset = 1 + NEXT_PORT.fetch_add(1, Ordering::Relaxed) % (PORTS_PER_RANGE - 1);
    match TcpListener::bind(("127.0.0.1", start + offset)) {
        Ok(listener) => listener.local_addr(),
        Err(_) => free_address(),
    }
}

/// The first of the ports of this process, below those that the system gives out by itself.
///
/// It is listened on for as long as the process lives, so that two runs side by side have different ones:
/// chosen by the process id alone, two had the same, a daemon of one listened where a daemon of the other was
/// to, and callers of both were told broken promises.
fn port_range_start() -> io::Result<u16> {
    let mut own = PORT_RANGE.lock().expect("nobody panics with it");
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
    Err(io::Error::other("all ranges of ports are taken"))
}
