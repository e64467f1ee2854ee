//! Orders to load new weights, given by the owner of a service's weights.

use std::{rc::Rc, sync::Arc};

use borageshore_net::sleep_ms;
use borageshore_rollout::{ReplicaView, SwapLimits, plan_swaps};
use borageshore_settings::NodeKind;

use crate::{
    daemon::Daemon,
    platform::engine::{Engine, EngineOrder, EngineReport, OrderAnswer},
};

/// The pace of read-back while all replicas are at their versions.
const SETTLED_TICK_MS: u64 = 250;
/// The pace while some are behind: each wave waits for the read-back of the one before, and samples of
/// replicas that are behind are soon too old.
const SWAPPING_TICK_MS: u64 = 20;

/// The pace at which the owner of a job watches its engines load.
const WATCH_TICK_MS: u64 = 50;
/// Work ahead is held back for loading engines no longer than this.
const WATCH_MS: u64 = 5_000;

/// The shard that the owner of a service's weights holds.
pub(crate) fn shard_of(service: &str) -> Arc<str> {
    format!("weights/{service}").into()
}

/// A job whose weights its service's engines should have.
#[derive(Debug, Clone)]
struct Target {
    job: Arc<str>,
    version: u64,
    limits: SwapLimits,
}

/// An engine with its last report.
#[derive(Debug)]
struct Replica {
    name: Arc<str>,
    address: Arc<str>,
    report: Option<EngineReport>,
}

/// Brings engines to the versions in force, for the services whose weights this daemon owns.
pub(crate) async fn swap_loop(daemon: Rc<Daemon>) {
    loop {
        let mut progress = Progress::Settled;
        for service in owned_services(&daemon) {
            if swap_service(&daemon, &service).await == Progress::Swapping {
                progress = Progress::Swapping;
            }
        }
        match progress {
            // A new version comes as a settings change.
            Progress::Settled => daemon.settings.wait_progress(SETTLED_TICK_MS).await,
            Progress::Swapping => sleep_ms(SWAPPING_TICK_MS).await,
        }
    }
}

fn epoch_of(daemon: &Daemon, service: &str) -> Option<u64> {
    let agent = daemon.lease_agent.borrow();
    daemon
        .leases
        .with_fold(|table| agent.epoch(table, &shard_of(service), daemon.now_ms()))
}

fn owned_services(daemon: &Daemon) -> Vec<Arc<str>> {
    let services: Vec<Arc<str>> = daemon.settings.with_fold(|fold| {
        fold.tree()
            .nodes_of_kind(NodeKind::Service)
            .cloned()
            .collect()
    });
    services
        .into_iter()
        .filter(|service| epoch_of(daemon, service).is_some())
        .collect()
}

fn targets(daemon: &Daemon, service: &Arc<str>) -> Vec<Target> {
    daemon.settings.with_fold(|fold| {
        let tree = fold.tree();
        let jobs = tree.nodes_of_kind(NodeKind::Job);
        let jobs = jobs.filter(|job| tree.text(job, "service").as_ref() == Some(service));
        let target = |job: &Arc<str>| Target {
            job: job.clone(),
            version: tree.integer(job, "weights_version"),
            limits: SwapLimits {
                wave_replicas: tree.integer(service, "swap_wave_replicas"),
                minimum_serving_percent: tree.integer(service, "minimum_serving_percent"),
            },
        };
        jobs.map(target)
            .filter(|target| target.version > 0)
            .collect()
    })
}

/// Whether all replicas that answer are at their versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Settled,
    Swapping,
}

async fn swap_service(daemon: &Rc<Daemon>, service: &Arc<str>) -> Progress {
    let targets = targets(daemon, service);
    if targets.is_empty() {
        return Progress::Settled;
    }
    let mut progress = Progress::Settled;
    let replicas = read_back(daemon, service).await;
    for target in targets {
        let views: Vec<ReplicaView> = replicas
            .iter()
            .map(|replica| view(replica, &target.job))
            .collect();
        if views
            .iter()
            .any(|view| view.version.is_some_and(|version| version < target.version))
        {
            progress = Progress::Swapping;
        }
        for name in plan_swaps(&views, target.version, target.limits) {
            let Some(replica) = replicas.iter().find(|replica| replica.name == name) else {
                continue;
            };
            give_order(daemon, service, replica, &target).await;
        }
    }
    progress
}

async fn read_back(daemon: &Rc<Daemon>, service: &Arc<str>) -> Vec<Replica> {
    let listed: Vec<(Arc<str>, Arc<str>)> = {
        let endpoints = daemon.endpoints.borrow();
        let of_service = endpoints
            .iter()
            .filter(|endpoint| endpoint.listing.service == *service);
        of_service
            .map(|e| (e.listing.name.clone(), e.listing.address.clone()))
            .collect()
    };
    let asked: Vec<_> = listed
        .into_iter()
        .map(|(name, address)| {
            let engine = daemon.engine.clone();
            monoio::spawn(async move {
                let report = engine.report(&address).await.ok().map(|(report, _)| report);
                Replica {
                    name,
                    address,
                    report,
                }
            })
        })
        .collect();
    let mut replicas = Vec::with_capacity(asked.len());
    for replica in asked {
        replicas.push(replica.await);
    }
    replicas
}

/// Watches how far the engines of a job are behind a new target, and calls `report` with the oldest
/// version that one still serves, until none is behind or it has taken too long to wait for.
pub(crate) async fn watch_floor<Report>(
    daemon: &Rc<Daemon>,
    job: &Arc<str>,
    target: u64,
    report: Report,
) where
    Report: Fn(u64),
{
    let until_ms = daemon.now_ms() + WATCH_MS;
    let service = daemon.setting_text(job, "service");
    while let Some(service) = &service
        && daemon.now_ms() < until_ms
    {
        let replicas = read_back(daemon, service).await;
        let versions = replicas
            .iter()
            .filter_map(|replica| view(replica, job).version);
        let floor = versions.min().unwrap_or(target);
        report(floor);
        if floor >= target {
            return;
        }
        sleep_ms(WATCH_TICK_MS).await;
    }
    report(target);
}

/// How a replica stands with one job's weights. An engine that does not know an adapter yet serves
/// the base model, version 0; one that lost its weights in a failed swap reports no version and is
/// ordered again like one far behind.
fn view(replica: &Replica, job: &Arc<str>) -> ReplicaView {
    let name = replica.name.clone();
    let Some(report) = &replica.report else {
        return ReplicaView {
            name,
            version: None,
            is_loading: false,
        };
    };
    let adapter = report
        .adapters
        .iter()
        .find(|adapter| adapter.adapter == *job);
    let version = adapter.and_then(|adapter| adapter.version).unwrap_or(0);
    let is_loading = report
        .adapters
        .iter()
        .any(|adapter| adapter.loading.is_some());
    ReplicaView {
        name,
        version: Some(version),
        is_loading,
    }
}

/// Gives one order.
///
/// Guards against an owner that lost its lease while it was paused: the lease is checked just before
/// the order, the order carries the epoch as fencing number, and for engines that ignore the number
/// it names a state to be in, which the true owner's read-back corrects.
async fn give_order(daemon: &Rc<Daemon>, service: &str, replica: &Replica, target: &Target) {
    let Some(epoch) = epoch_of(daemon, service) else {
        return;
    };
    let order = EngineOrder {
        adapter: target.job.clone(),
        version: target.version,
        epoch,
    };
    match daemon.engine.order(&replica.address, &order).await {
        Ok(OrderAnswer::Accepted) => {
            log::info!(
                "{} loads version {} of {}",
                replica.name,
                target.version,
                target.job
            );
        }
        Ok(OrderAnswer::StaleEpoch) => {
            log::info!("{} knows a newer owner of {service}", replica.name);
        }
        // Lost answers need no care: the next read-back shows what became of the order.
        Err(error) => log::debug!("order to {}: {error}", replica.name),
    }
}
