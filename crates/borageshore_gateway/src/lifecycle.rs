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
use borageshore_net::{Clock, HttpServer, sleep_ms, within_ms};
use futures_util::future::join;
use tokio::sync::Notify;

use crate::{gateway::Gateway, members::Members};

/// The interval at which signals and the drain are polled. Each poll costs a wake-up, and a stop may take seconds.
const POLL_INTERVAL_MS: u64 = 100;
/// The polling interval while the daemon starts, shorter so that it becomes ready soon.
const STARTING_POLL_MS: u64 = 20;
/// The time before the end of the grace period at which idle connections are closed.
const CLOSE_MARGIN_MS: u64 = 1_500;
/// The time before the end of the grace period at which the daemon stops listening and removes its presence record, so
/// that other daemons take over its work.
const LEAVE_MARGIN_MS: u64 = 900;
/// The time before the end of the grace period at which every request in flight is answered.
const ANSWER_MARGIN_MS: u64 = 200;
/// The time before the end of the grace period at which the process exits.
const EXIT_MARGIN_MS: u64 = 80;
/// The time until peers no longer list the address of a draining daemon.
const UNLIST_DELAY_MS: u64 = 200;
/// The longest wait for open connections on which no request is in flight after the servers are closed.
const CLOSE_TIMEOUT_MS: u64 = 300;
/// The interval at which open connections and requests in flight are polled once the servers are closed.
const CLOSE_POLL_MS: u64 = 10;
/// The timeout of the removal of the presence record. If that fails, other daemons detect the exit by missing
/// heartbeats.
const LEAVE_TIMEOUT_MS: u64 = 300;

/// The time limits of a drain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainTiming {
    /// When SIGTERM arrived at the earliest.
    pub(crate) started_at_ms: u64,
    /// From SIGTERM to SIGKILL.
    pub(crate) grace_ms: u64,
    /// How long callers keep an address list.
    pub(crate) address_retention_ms: u64,
}

impl DrainTiming {
    /// A time before the end of the grace period.
    fn before_end_ms(&self, margin_ms: u64) -> u64 {
        self.started_at_ms + self.grace_ms.saturating_sub(margin_ms)
    }
}

/// The lifecycle state, and the number of requests in flight.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    clock: Clock,
    state: Cell<PresenceState>,
    in_flight: Rc<Cell<usize>>,
    /// When a daemon that drains answers what is in flight.
    answers_at_ms: Cell<Option<u64>>,
    answers: Notify,
}

impl Lifecycle {
    pub(crate) fn open(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            state: Cell::new(PresenceState::Starting),
            in_flight: Rc::default(),
            answers_at_ms: Cell::default(),
            answers: Notify::new(),
        })
    }

    /// How long a request that arrives now may take; `None` if the daemon does not stop.
    pub(crate) fn remaining_ms(&self) -> Option<u64> {
        let answers_at_ms = self.answers_at_ms.get()?;
        Some(answers_at_ms.saturating_sub(self.clock.now_ms()))
    }

    /// Whether a request that may take so long is answered before the daemon exits.
    pub(crate) fn has_time_for(&self, longest_ms: u64) -> bool {
        self.remaining_ms()
            .is_none_or(|remaining_ms| longest_ms <= remaining_ms)
    }

    /// Completes once the daemon stops and what is in flight has to be answered.
    pub(crate) async fn end_of_answers(&self) {
        loop {
            let answers = self.answers.notified();
            if self.remaining_ms() == Some(0) {
                return;
            }
            answers.await;
        }
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

    /// Waits for a stop signal; meanwhile updates the readiness and handles reloads. Returns the last time at which there
    /// was none.
    pub(crate) async fn wait_for_stop(&self, gateway: &Gateway) -> u64 {
        loop {
            let polled_at_ms = gateway.now_ms();
            if self.stop.load(Ordering::Relaxed) {
                return polled_at_ms.saturating_sub(gateway.poll_ms());
            }
            if self.reload.swap(false, Ordering::Relaxed) {
                gateway.reload();
            }
            gateway.update_readiness();
            sleep_ms(gateway.poll_ms()).await;
        }
    }
}

/// Drains the daemon: leaves the address lists at once, serves callers with older lists, finishes running submissions,
/// and closes idle connections near the end of the grace period. Requests that may take longer than it lasts are refused;
/// what is in flight at its end is answered.
pub(crate) async fn drain(gateway: &Gateway, servers: &[HttpServer], timing: DrainTiming) {
    let lifecycle = gateway.lifecycle();
    let answers_at_ms = timing.before_end_ms(ANSWER_MARGIN_MS);
    lifecycle.answers_at_ms.set(Some(answers_at_ms));
    gateway.enter_draining();
    let close_idle_at_ms = timing.before_end_ms(CLOSE_MARGIN_MS);
    while gateway.now_ms() < close_idle_at_ms {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    for server in servers {
        server.stop_gracefully();
    }
    let leave_at_ms = timing.before_end_ms(LEAVE_MARGIN_MS);
    let listed_until_ms = timing.started_at_ms + UNLIST_DELAY_MS + timing.address_retention_ms;
    let is_needed = || gateway.now_ms() < listed_until_ms || !gateway.is_idle();
    while gateway.now_ms() < leave_at_ms && is_needed() {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    for server in servers {
        server.close();
    }
    let leaving = within_ms(LEAVE_TIMEOUT_MS, gateway.leave());
    let answering = answer_all(gateway, servers, timing);
    join(leaving, answering).await;
    log::info!(took_ms = gateway.now_ms() - timing.started_at_ms, is_idle = gateway.is_idle(); "daemon stopped");
}

/// Waits until all requests are answered and the responses and records written, at most until the grace period ends;
/// shortly before, it answers the requests that are left.
async fn answer_all(gateway: &Gateway, servers: &[HttpServer], timing: DrainTiming) {
    let lifecycle = gateway.lifecycle();
    let answers_at_ms = timing.before_end_ms(ANSWER_MARGIN_MS);
    let exit_at_ms = timing.before_end_ms(EXIT_MARGIN_MS);
    let mut idle_since_ms = None;
    let mut has_ended = false;
    while gateway.now_ms() < exit_at_ms {
        let now_ms = gateway.now_ms();
        let in_flight = lifecycle.in_flight();
        let is_busy = in_flight > 0 || gateway.unwritten_bytes() > 0;
        if is_busy || gateway.has_unwritten_records() {
            idle_since_ms = None;
        } else {
            let are_closed = servers.iter().all(|server| server.open_connections() == 0);
            let idle_since_ms = *idle_since_ms.get_or_insert(now_ms);
            if are_closed || now_ms >= idle_since_ms + CLOSE_TIMEOUT_MS {
                return;
            }
        }
        if now_ms >= answers_at_ms && !std::mem::replace(&mut has_ended, true) {
            if in_flight > 0 {
                log::warn!(in_flight; "the grace period ends; answering requests without the responses of their endpoints");
            }
            lifecycle.answers.notify_waiters();
        }
        sleep_ms(CLOSE_POLL_MS).await;
    }
}
