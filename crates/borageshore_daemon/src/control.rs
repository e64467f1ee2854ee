//! The tasks that keep a daemon's view current: streams, VM list, load reports, leases, limits.

use std::{rc::Rc, sync::Arc};

use borageshore_base::{rank_by_rendezvous, rank_within};
use borageshore_lease::{LeaseRecord, Want, wants_of};
use borageshore_log::{Envelope, LogRecord};
use borageshore_membership::Health;
use borageshore_net::sleep_ms;
use borageshore_routing::{AdmissionLimits, LoadReport};
use borageshore_settings::{NodeKind, ROOT, SettingsChange, SettingsRecord};

use crate::{
    daemon::{Daemon, Life},
    jobs, logging,
    metrics::Direction,
    platform::{engine::Engine, vm_list::read_vm_list},
    stream::{Source, append_proposals, follow},
    swaps,
};

/// The pace of leases, limits and jobs.
const TICK_MS: u64 = 100;
/// The pace of the VM list.
const VM_LIST_MS: u64 = 1_000;
/// An endpoint whose last report is older than this is asked.
const REPORT_AGE_MS: u64 = 1_000;
/// How many daemons of a zone follow the log for the others.
const RELAYS_PER_ZONE: usize = 2;
/// Daemons beyond this rank do not claim: others are closer at hand.
const CANDIDATES: usize = 4;

/// Starts all control tasks.
pub(crate) fn spawn(daemon: &Rc<Daemon>) {
    monoio::spawn(follow(
        daemon.clone(),
        daemon.settings.clone(),
        stream_source,
        on_settings,
    ));
    monoio::spawn(follow(
        daemon.clone(),
        daemon.leases.clone(),
        stream_source,
        on_lease,
    ));
    monoio::spawn(append_proposals(daemon.clone(), daemon.settings.clone()));
    monoio::spawn(append_proposals(daemon.clone(), daemon.leases.clone()));
    monoio::spawn(vm_list_loop(daemon.clone()));
    monoio::spawn(report_loop(daemon.clone()));
    monoio::spawn(tick_loop(daemon.clone()));
    monoio::spawn(swaps::swap_loop(daemon.clone()));
}

/// Relays read the log, the others read from a relay; after a failure the log and peers take turns,
/// so that neither a dead relay nor an outage of the log cuts a daemon off.
fn stream_source(daemon: &Daemon, failures: u32) -> Source {
    let membership = daemon.membership.borrow();
    let now_ms = daemon.now_ms();
    let peers: Vec<&str> = membership
        .usable_in_zone(&daemon.config.zone, now_ms)
        .map(|entry| &*entry.name)
        .collect();
    let ranked = rank_by_rendezvous("relay", peers);
    let is_relay = ranked
        .iter()
        .take(RELAYS_PER_ZONE)
        .any(|name| **name == *daemon.config.name);
    let prefers_log = is_relay || ranked.len() <= RELAYS_PER_ZONE;
    if prefers_log && failures.is_multiple_of(2) {
        return Source::Log;
    }
    if !prefers_log && failures % 2 == 1 {
        return Source::Log;
    }
    let turn = failures as usize / 2 + daemon.incarnation as usize % RELAYS_PER_ZONE;
    let others: Vec<&str> = ranked
        .into_iter()
        .filter(|name| **name != *daemon.config.name)
        .collect();
    if others.is_empty() {
        return any_peer(daemon, &membership, failures);
    }
    let relay = others[turn % others.len().min(RELAYS_PER_ZONE)];
    membership.entry(relay).map_or(Source::Log, |entry| {
        Source::Peer(entry.peer_address.clone())
    })
}

fn any_peer(
    daemon: &Daemon,
    membership: &borageshore_membership::Membership,
    failures: u32,
) -> Source {
    let others: Vec<_> = membership
        .usable(daemon.now_ms())
        .filter(|e| e.name != daemon.config.name)
        .collect();
    if others.is_empty() {
        return Source::Log;
    }
    Source::Peer(
        others[failures as usize % others.len()]
            .peer_address
            .clone(),
    )
}

fn on_settings(daemon: &Daemon, record: &LogRecord, envelope: &Envelope<SettingsRecord>) {
    let SettingsRecord::Change(change) = &envelope.body else {
        return;
    };
    let wall_ms = jiff::Timestamp::now().as_millisecond() as u64;
    let lag_ms = wall_ms.saturating_sub(record.at_ms);
    let SettingsChange { actor, reason, .. } = change;
    log::info!(
        "settings record {} by {actor} after {lag_ms} ms: {reason}",
        record.offset
    );
    if daemon.life.get() != Life::Starting {
        daemon.metrics.on_settings_in_force(lag_ms);
    }
}

fn on_lease(daemon: &Daemon, record: &LogRecord, envelope: &Envelope<LeaseRecord>) {
    daemon
        .lease_agent
        .borrow_mut()
        .on_applied(record.offset, envelope, daemon.now_ms());
}

async fn vm_list_loop(daemon: Rc<Daemon>) {
    loop {
        let known = daemon.vm_list_version.get();
        match read_vm_list(&daemon.http, &daemon.config.vm_list_address, known).await {
            Ok((Some(list), bytes)) => {
                daemon
                    .metrics
                    .on_control_bytes("vm_list", Direction::Received, bytes);
                daemon.vm_list_version.set(list.version);
                daemon
                    .endpoints
                    .borrow_mut()
                    .on_listing(list.into_endpoints());
            }
            Ok((None, _)) => {}
            // Without the list the daemon goes on with the endpoints that it knows.
            Err(error) => log::debug!("VM list: {error}"),
        }
        sleep_ms(VM_LIST_MS).await;
    }
}

/// Asks endpoints for their load when no answer brought it along lately.
async fn report_loop(daemon: Rc<Daemon>) {
    loop {
        let now_ms = daemon.now_ms();
        let due: Vec<(Arc<str>, Arc<str>)> = {
            let endpoints = daemon.endpoints.borrow();
            let is_due = |endpoint: &&borageshore_routing::Endpoint| {
                endpoint.reported_at_ms() + REPORT_AGE_MS <= now_ms || endpoint.report.is_none()
            };
            let due = endpoints.iter().filter(is_due);
            due.map(|e| (e.listing.name.clone(), e.listing.address.clone()))
                .collect()
        };
        for (name, address) in due {
            monoio::spawn(ask_report(daemon.clone(), name, address));
        }
        sleep_ms(REPORT_AGE_MS / 2).await;
    }
}

async fn ask_report(daemon: Rc<Daemon>, name: Arc<str>, address: Arc<str>) {
    if let Ok((report, bytes)) = daemon.engine.report(&address).await {
        daemon
            .metrics
            .on_control_bytes("report", Direction::Received, bytes);
        let report = LoadReport {
            requests: report.requests,
            slots: report.slots,
        };
        let now_ms = daemon.now_ms();
        daemon
            .endpoints
            .borrow_mut()
            .on_report(&name, report, now_ms);
    }
}

async fn tick_loop(daemon: Rc<Daemon>) {
    loop {
        become_ready(&daemon);
        tick_leases(&daemon);
        refresh_limits(&daemon);
        jobs::tick(&daemon);
        snapshot_if_due(&daemon);
        publish_state(&daemon);
        sleep_ms(TICK_MS).await;
    }
}

fn become_ready(daemon: &Rc<Daemon>) {
    if daemon.life.get() != Life::Starting {
        return;
    }
    if daemon.settings.is_caught_up() && daemon.leases.is_caught_up() {
        daemon.life.set(Life::Ready);
        log::info!("daemon {} is ready", daemon.session);
    }
}

/// The shards that somebody should own: one a job, one for the weights of each service.
fn shards(daemon: &Daemon) -> Vec<Arc<str>> {
    daemon.settings.with_fold(|fold| {
        let jobs = fold
            .tree()
            .nodes_of_kind(NodeKind::Job)
            .map(|job| jobs::shard_of(job));
        let services = fold.tree().nodes_of_kind(NodeKind::Service);
        jobs.chain(services.map(|service| swaps::shard_of(service)))
            .collect()
    })
}

fn tick_leases(daemon: &Rc<Daemon>) {
    if daemon.life.get() == Life::Draining || daemon.life.get() == Life::Starting {
        return;
    }
    let now_ms = daemon.now_ms();
    let wants = wanted_shards(daemon, now_ms);
    let ttl_ms = daemon.root_setting("lease_ttl_ms");
    let mut agent = daemon.lease_agent.borrow_mut();
    agent.on_contact(daemon.leases.heard_at_ms());
    let records = daemon
        .leases
        .with_fold(|table| agent.tick(table, &wants, ttl_ms, now_ms));
    for record in records {
        let is_renewal = matches!(record, LeaseRecord::Renew { .. });
        let sequence = daemon.leases.propose(record);
        if is_renewal {
            agent.on_renewal_sent(sequence, now_ms);
        }
    }
}

fn wanted_shards(daemon: &Daemon, now_ms: u64) -> Vec<Want> {
    let membership = daemon.membership.borrow();
    let names: Vec<&str> = membership
        .usable(now_ms)
        .map(|entry| &*entry.name)
        .collect();
    wants_of(
        &daemon.config.name,
        &shards(daemon),
        names.iter().copied(),
        CANDIDATES,
    )
}

fn refresh_limits(daemon: &Rc<Daemon>) {
    let now_ms = daemon.now_ms();
    let daemons = daemon.membership.borrow().usable(now_ms).count().max(1) as u64;
    let services: Vec<Arc<str>> = daemon.settings.with_fold(|fold| {
        fold.tree()
            .nodes_of_kind(NodeKind::Service)
            .cloned()
            .collect()
    });
    for service in services {
        let all_slots: u64 = {
            let endpoints = daemon.endpoints.borrow();
            endpoints
                .usable(&service, now_ms)
                .map(|endpoint| endpoint.slots())
                .sum()
        };
        let slots = all_slots.div_ceil(daemons).max(1);
        let percent = daemon.setting(&service, "training_minimum_percent");
        let limits = AdmissionLimits {
            slots,
            training_slots: (slots * percent).div_ceil(100),
            queue_limit_requests: daemon.setting(&service, "queue_limit_requests"),
        };
        daemon.gate(&service).set_limits(limits);
    }
    daemon
        .retry_budget
        .borrow_mut()
        .set_percent(daemon.root_setting("retry_budget_percent"));
    daemon
        .keys
        .borrow_mut()
        .set_window_ms(daemon.root_setting("request_key_window_ms"));
    if let Some(level) = daemon.setting_text(ROOT, "log_level") {
        logging::set_level(&level);
    }
}

/// The first daemon by rendezvous order keeps snapshots young enough for retention.
fn snapshot_if_due(daemon: &Rc<Daemon>) {
    let membership = daemon.membership.borrow();
    let names = membership.usable(daemon.now_ms()).map(|entry| &*entry.name);
    let is_first = rank_within("snapshot", &daemon.config.name, names, 1).is_some();
    if !is_first || daemon.life.get() != Life::Ready {
        return;
    }
    daemon
        .settings
        .propose_snapshot_if_due(|next_offset, snapshot| SettingsRecord::Snapshot {
            next_offset,
            snapshot,
        });
    daemon
        .leases
        .propose_snapshot_if_due(|next_offset, snapshot| LeaseRecord::Snapshot {
            next_offset,
            snapshot,
        });
}

fn publish_state(daemon: &Daemon) {
    let now_ms = daemon.now_ms();
    let membership = daemon.membership.borrow();
    let alive = membership
        .entries(now_ms)
        .filter(|(_, health)| *health == Health::Alive)
        .count();
    daemon.metrics.set_state("daemons_alive", alive as u64);
    daemon
        .metrics
        .set_state("requests_in_flight", daemon.in_flight.get());
    daemon
        .metrics
        .set_state("settings_offset", daemon.settings.offsets().0);
    daemon
        .metrics
        .set_state("leases_offset", daemon.leases.offsets().0);
    daemon
        .metrics
        .set_state("endpoints", daemon.endpoints.borrow().iter().count() as u64);
    daemon
        .metrics
        .set_state("request_keys", daemon.keys.borrow().len() as u64);
}
