//! Background tasks that update a daemon's state: streams, VM list, load reports, leases, limits.

use std::{rc::Rc, sync::Arc};

use borageshore_base::rank_within;
use borageshore_lease::{Candidacy, LeaseRecord, candidacies_of};
use borageshore_log::{Envelope, LogRecord};
use borageshore_membership::{Health, RelaySource, relay_source};
use borageshore_net::sleep_ms;
use borageshore_routing::{AdmissionLimits, Endpoint, EndpointListing, LoadReport, subset_of};
use borageshore_settings::{NodeKind, ROOT, SettingsChange, SettingsRecord};

use crate::{
    daemon::{Daemon, Phase},
    jobs,
    metrics::Direction,
    platform::{engine::Engine, vm_list::read_vm_list},
    stream::{Source, append_proposals, follow},
    swaps,
};

/// Interval of the periodic work on leases, limits and jobs.
const TICK_MS: u64 = 100;
/// Interval between reads of the VM list.
const VM_LIST_POLL_MS: u64 = 1_000;
/// Age beyond which a load report is requested again.
const REPORT_MAX_AGE_MS: u64 = 1_000;
/// Interval at which load reports are requested.
const REPORT_TICK_MS: u64 = 500;
/// Maximum number of report requests per tick, so that the load does not grow with the number of
/// endpoints; busy endpoints attach reports to their answers.
const REPORTS_PER_TICK: usize = 4;
/// Number of daemons in a zone that observe each endpoint of a large deployment.
const OBSERVERS_PER_ENDPOINT: usize = 8;
/// Number of daemons, the first in rendezvous order, that may claim a shard.
const CANDIDATES_PER_SHARD: usize = 4;

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

/// Selects where to read a stream from, by the relay tree of the zone. After a failed read, a daemon
/// without peers in its zone uses the tree of all zones.
fn stream_source(daemon: &Daemon, failures: u32) -> Source {
    let membership = daemon.membership.borrow();
    let now_ms = daemon.now_ms();
    let zone = membership.usable_in_zone(&daemon.config.zone, now_ms);
    let mut names: Vec<&str> = zone.map(|entry| &*entry.name).collect();
    if names.len() <= 1 && failures > 0 {
        names = membership
            .usable(now_ms)
            .map(|entry| &*entry.name)
            .collect();
    }
    match relay_source(&daemon.config.name, names, failures as usize) {
        RelaySource::Log => Source::Log,
        RelaySource::Peer(name) => match membership.entry(name) {
            Some(entry) => Source::Peer(entry.peer_address.clone()),
            None => Source::Log,
        },
    }
}

fn on_settings(daemon: &Daemon, record: &LogRecord, envelope: &Envelope<SettingsRecord>) {
    let SettingsRecord::Change(change) = &envelope.body else {
        return;
    };
    let unix_ms = jiff::Timestamp::now().as_millisecond() as u64;
    let lag_ms = unix_ms.saturating_sub(record.at_ms);
    let SettingsChange { actor, reason, .. } = change;
    log::info!(
        "processed settings record {} by {actor}, {lag_ms} ms after it was appended: {reason}",
        record.offset
    );
    if daemon.phase.get() != Phase::Starting {
        daemon.metrics.on_settings_in_force(lag_ms);
    }
}

fn on_lease(daemon: &Daemon, record: &LogRecord, envelope: &Envelope<LeaseRecord>) {
    daemon
        .lease_agent
        .borrow_mut()
        .on_applied(record.offset, envelope, daemon.now_ms());
}

/// The endpoints of the last VM list, and the peers among which they were distributed.
#[derive(Debug, Default)]
struct VmListState {
    endpoints: Vec<EndpointListing>,
    peers: Vec<Arc<str>>,
}

async fn vm_list_loop(daemon: Rc<Daemon>) {
    let mut vm_list_state = VmListState::default();
    loop {
        let known_version = daemon.vm_list_version.get();
        let read = read_vm_list(&daemon.http, &daemon.config.vm_list_address, known_version).await;
        let is_new = matches!(read, Ok((Some(_), _)));
        match read {
            Ok((Some(list), bytes)) => {
                daemon
                    .metrics
                    .on_control_bytes("vm_list", Direction::Received, bytes);
                daemon.vm_list_version.set(list.version);
                vm_list_state.endpoints = list.into_endpoints();
            }
            Ok((None, _)) => {}
            Err(error) => log::debug!("VM list not read, keeping the last one: {error}"),
        }
        let peers = zone_peers(&daemon);
        if is_new || peers != vm_list_state.peers {
            vm_list_state.peers = peers;
            update_observed_endpoints(&daemon, &vm_list_state);
        }
        sleep_ms(VM_LIST_POLL_MS).await;
    }
}

fn zone_peers(daemon: &Daemon) -> Vec<Arc<str>> {
    let membership = daemon.membership.borrow();
    let peers = membership.usable_in_zone(&daemon.config.zone, daemon.now_ms());
    peers.map(|entry| entry.name.clone()).collect()
}

/// Selects the endpoints to observe: all of a small list, this daemon's subset of a large one.
fn update_observed_endpoints(daemon: &Daemon, vm_list_state: &VmListState) {
    let peers: Vec<&str> = vm_list_state.peers.iter().map(|name| &**name).collect();
    let (own, zone) = (&daemon.config.name, &daemon.config.zone);
    let observed = subset_of(
        vm_list_state.endpoints.clone(),
        own,
        zone,
        &peers,
        OBSERVERS_PER_ENDPOINT,
    );
    daemon.endpoints.borrow_mut().on_listing(observed);
}

/// Requests load reports of endpoints whose last report is missing or out of date.
async fn report_loop(daemon: Rc<Daemon>) {
    loop {
        let now_ms = daemon.now_ms();
        let due = endpoints_due_for_report(&daemon, now_ms);
        for (name, address) in due {
            monoio::spawn(fetch_report(daemon.clone(), name, address));
        }
        sleep_ms(REPORT_TICK_MS).await;
    }
}

fn endpoints_due_for_report(daemon: &Daemon, now_ms: u64) -> Vec<(Arc<str>, Arc<str>)> {
    let endpoints = daemon.endpoints.borrow();
    let is_due = |endpoint: &&Endpoint| {
        endpoint.report.is_none() || endpoint.reported_at_ms() + REPORT_MAX_AGE_MS <= now_ms
    };
    let mut due: Vec<&Endpoint> = endpoints.iter().filter(is_due).collect();
    due.sort_by_key(|endpoint| endpoint.reported_at_ms());
    due.truncate(REPORTS_PER_TICK);
    let address = |endpoint: &Endpoint| {
        (
            endpoint.listing.name.clone(),
            endpoint.listing.address.clone(),
        )
    };
    due.into_iter().map(address).collect()
}

async fn fetch_report(daemon: Rc<Daemon>, name: Arc<str>, address: Arc<str>) {
    if let Ok((report, bytes)) = daemon.engine.report(&address).await {
        daemon
            .metrics
            .on_control_bytes("report", Direction::Received, bytes);
        let report = LoadReport {
            requests: report.requests,
            slots: report.slots,
            slowdown_percent: None,
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
        become_ready_if_caught_up(&daemon);
        tick_leases(&daemon);
        refresh_limits(&daemon);
        jobs::tick(&daemon);
        snapshot_if_due(&daemon);
        publish_state(&daemon);
        sleep_ms(TICK_MS).await;
    }
}

fn become_ready_if_caught_up(daemon: &Rc<Daemon>) {
    if daemon.phase.get() != Phase::Starting {
        return;
    }
    if daemon.settings.is_caught_up() && daemon.leases.is_caught_up() {
        daemon.phase.set(Phase::Ready);
        daemon.membership.borrow_mut().enter();
        log::info!("daemon {} is ready", daemon.session);
    }
}

/// The shards that need an owner: one per job, and one per service for its weights.
fn shards(daemon: &Daemon) -> Vec<Arc<str>> {
    daemon.settings.with_fold(|fold| {
        let jobs = fold
            .tree()
            .nodes_of_kind(NodeKind::Job)
            .map(|job| jobs::shard_of_job(job));
        let services = fold.tree().nodes_of_kind(NodeKind::Service);
        jobs.chain(services.map(|service| swaps::shard_of_service(service)))
            .collect()
    })
}

fn tick_leases(daemon: &Rc<Daemon>) {
    if daemon.phase.get() == Phase::Draining || daemon.phase.get() == Phase::Starting {
        return;
    }
    let now_ms = daemon.now_ms();
    let candidacies = own_candidacies(daemon, now_ms);
    let ttl_ms = daemon.root_setting("lease_ttl_ms");
    let mut agent = daemon.lease_agent.borrow_mut();
    agent.on_contact(daemon.leases.last_contact_at_ms());
    let records = daemon
        .leases
        .with_fold(|table| agent.tick(table, &candidacies, ttl_ms, now_ms));
    for record in records {
        let is_renewal = matches!(record, LeaseRecord::Renew { .. });
        let sequence = daemon.leases.propose(record);
        if is_renewal {
            agent.on_renewal_sent(sequence, now_ms);
        }
    }
}

fn own_candidacies(daemon: &Daemon, now_ms: u64) -> Vec<Candidacy> {
    let membership = daemon.membership.borrow();
    let names: Vec<&str> = membership
        .usable(now_ms)
        .map(|entry| &*entry.name)
        .collect();
    candidacies_of(
        &daemon.config.name,
        &shards(daemon),
        names.iter().copied(),
        CANDIDATES_PER_SHARD,
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
        daemon.admission_queue(&service).set_limits(limits);
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
        borageshore_diagnostics::set_level(&level);
    }
}

/// Proposes due snapshots if this daemon is first in rendezvous order. Followers need a snapshot
/// once the log's retention has removed the oldest records.
fn snapshot_if_due(daemon: &Rc<Daemon>) {
    let membership = daemon.membership.borrow();
    let names = membership.usable(daemon.now_ms()).map(|entry| &*entry.name);
    let is_first = rank_within("snapshot", &daemon.config.name, names, 1).is_some();
    if !is_first || daemon.phase.get() != Phase::Ready {
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
