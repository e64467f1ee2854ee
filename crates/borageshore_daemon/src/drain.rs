//! Graceful shutdown of a daemon.

use std::{
    io,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use borageshore_lease::LeaseRecord;
use borageshore_net::sleep_ms;

use crate::{
    daemon::{Daemon, Phase},
    gossip, jobs,
};

/// Interval between checks of the stop signal, of in-flight requests and of released leases.
const POLL_INTERVAL_MS: u64 = 50;
/// Timeout after which in-flight work is abandoned; longer than the deadlines of callers.
const DRAIN_TIMEOUT_MS: u64 = 180_000;
/// Upper bound on the time in which the leave reaches every daemon of the zone.
const LEAVE_PROPAGATION_MS: u64 = 3_000;
/// Timeout for appending the release of the leases to the log.
const RELEASE_TIMEOUT_MS: u64 = 3_000;

/// Waits for SIGTERM, SIGINT or a drain request by an operator.
pub(crate) async fn wait_for_stop(daemon: &Rc<Daemon>) -> io::Result<()> {
    let signalled = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, signalled.clone())?;
    }
    while !signalled.load(Ordering::Relaxed) && daemon.phase() != Phase::Draining {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
    Ok(())
}

/// Shuts down without interrupting requests: announces the leave, releases the leases, serves until
/// cached address lists have expired, waits for requests in flight, and announces the stop.
pub(crate) async fn drain(daemon: &Rc<Daemon>) {
    daemon.phase.set(Phase::Draining);
    log::info!("daemon {} is draining", daemon.session);
    // Other daemons list this one until the leave reaches them, and callers cache such a list.
    let listed_until_ms =
        daemon.now_ms() + LEAVE_PROPAGATION_MS + daemon.root_setting("address_ttl_ms");
    daemon.membership.borrow_mut().leave();
    announce(daemon).await;
    release_leases(daemon).await;
    sleep_ms(listed_until_ms.saturating_sub(daemon.now_ms())).await;
    if let Some(server) = daemon.server() {
        server.stop_gracefully();
        wait_for_requests(daemon).await;
        server.close();
    }
    wait_for_requests(daemon).await;
    daemon.phase.set(Phase::Stopped);
    daemon.membership.borrow_mut().stop();
    announce(daemon).await;
    log::info!("daemon {} stopped", daemon.session);
}

async fn announce(daemon: &Rc<Daemon>) {
    let socket = daemon.gossip_socket.borrow().clone();
    if let Some(socket) = socket {
        gossip::announce(daemon, &socket).await;
    }
}

async fn release_leases(daemon: &Rc<Daemon>) {
    jobs::close_all(daemon);
    let owns_any = daemon
        .leases
        .with_fold(|table| table.owns_any(&daemon.session));
    if !owns_any {
        return;
    }
    let sequence = daemon.leases.propose(LeaseRecord::End {
        session: daemon.session.clone(),
    });
    let until_ms = daemon.now_ms() + RELEASE_TIMEOUT_MS;
    while daemon.leases.is_pending(sequence) && daemon.now_ms() < until_ms {
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}

async fn wait_for_requests(daemon: &Rc<Daemon>) {
    let until_ms = daemon.now_ms() + DRAIN_TIMEOUT_MS;
    let mut idle_polls = 0;
    while idle_polls < 2 && daemon.now_ms() < until_ms {
        let connections = daemon
            .server()
            .map_or(0, |server| server.open_connections());
        let is_idle = daemon.in_flight.get() == 0 && connections == 0;
        idle_polls = if is_idle { idle_polls + 1 } else { 0 };
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}
