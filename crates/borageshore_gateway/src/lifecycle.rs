//! The lifecycle of a daemon (starting, ready, draining, stopped) and its process signals.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use borageshore_membership::PresenceState;
use borageshore_net::{HttpServer, sleep_ms, within_ms};

use crate::{gateway::Gateway, members::Members};

/// The interval at which signals and the drain are polled. Each poll costs a wake-up, and a stop may take seconds.
const POLL_INTERVAL_MS: u64 = 100;
/// The polling interval while the daemon starts, shorter so that it becomes ready soon.
const STARTING_POLL_MS: u64 = 20;
/// The time before the end of the grace period at which idle connections are closed.
const CLOSE_MARGIN_MS: u64 = 1_500;
/// The time before the end of the grace period that is reserved for closing connections, removing the presence record
/// and exiting.
const EXIT_MARGIN_MS: u64 = 900;
/// The time until peers no longer list the address of a draining daemon.
const UNLIST_DELAY_MS: u64 = 200;
/// The longest wait for open connections after the servers are closed.
const CLOSE_TIMEOUT_MS: u64 = 300;
/// The interval at which open connections are polled.
const CLOSE_POLL_MS: u64 = 10;
/// The timeout of the removal of the presence record. If that fails, other daemons detect the exit by missing
/// heartbeats.
const LEAVE_TIMEOUT_MS: u64 = 300;

/// The time limits of a drain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainTiming {
    /// From SIGTERM to SIGKILL.
    pub(crate) grace_ms: u64,
    /// How long callers keep an address list.
    pub(crate) address_retention_ms: u64,
}

/// The lifecycle state, and the number of requests in flight.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    state: Cell<PresenceState>,
    in_flight: Rc<Cell<usize>>,
}

impl Lifecycle {
    pub(crate) fn open() -> Rc<Self> {
        Rc::new(Self {
            state: Cell::new(PresenceState::Starting),
            in_flight: Rc::default(),
        })
    }

    pub(crate) fn state(&self) -> PresenceState {
        self.state.get()
    }

    /// The interval at which signals and readiness are polled.
    pub(crate) fn poll_ms(&self) -> u64 {
        match self.state() {
            PresenceState::Starting => STARTING_POLL_MS,
            _ => POLL_INTERVAL_MS,
        }
    }

    pub(crate) fn enter(&self, state: PresenceState, members: &Members) {
        if self.state.replace(state) != state {
            log::info!(state:? = state; "daemon enters a state");
            members.set_state(state);
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightRequest {
            in_flight: self.in_flight.clone(),
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

/// Guard of a request in flight.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    in_flight: Rc<Cell<usize>>,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

/// Flags set by process signals: SIGTERM and SIGINT stop, SIGHUP reloads.
#[derive(Debug)]
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    pub(crate) fn open() -> io::Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())?;
        }
        signal_hook::flag::register(signal_hook::consts::SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Waits for a stop signal; meanwhile updates the readiness and handles reloads.
    pub(crate) async fn wait_for_stop(&self, gateway: &Gateway) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.reload.swap(false, Ordering::Relaxed) {
                gateway.reload();
            }
            gateway.update_readiness();
            sleep_ms(gateway.poll_ms()).await;
        }
    }
}

/// Drains the daemon: leaves the address lists at once, serves callers with older lists, finishes running submissions,
/// and closes idle connections near the end of the grace period.
pub(crate) async fn drain(gateway: &Gateway, servers: &[HttpServer], timing: DrainTiming) {
    gateway.enter_draining();
    let started_at_ms = gateway.now_ms();
    let close_idle_at_ms = started_at_ms + timing.grace_ms.saturating_sub(CLOSE_MARGIN_MS);
    while gateway.now_ms() < close_idle_at_ms {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    for server in servers {
        server.stop_gracefully();
    }
    let end_ms = started_at_ms + timing.grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let listed_until_ms = started_at_ms + UNLIST_DELAY_MS + timing.address_retention_ms;
    let is_needed = || gateway.now_ms() < listed_until_ms || !gateway.is_idle();
    while gateway.now_ms() < end_ms && is_needed() {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    for server in servers {
        server.close();
    }
    within_ms(CLOSE_TIMEOUT_MS, wait_for_connections(servers)).await;
    within_ms(LEAVE_TIMEOUT_MS, gateway.leave()).await;
    log::info!(took_ms = gateway.now_ms() - started_at_ms, is_idle = gateway.is_idle(); "daemon stopped");
}

/// Waits until no connection is open.
async fn wait_for_connections(servers: &[HttpServer]) {
    loop {
        sleep_ms(CLOSE_POLL_MS).await;
        if servers.iter().all(|server| server.open_connections() == 0) {
            return;
        }
    }
}
