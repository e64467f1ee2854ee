//! Weight swaps: orders to load new weights, sent by the owner of a service's weights.

use std::{rc::Rc, sync::Arc};

use borageshore_net::sleep_ms;
use borageshore_rollout::{ReplicaView, SwapLimits, plan_swaps};
use borageshore_settings::NodeKind;

use crate::{
    daemon::Daemon,
    platform::engine::{Engine, EngineOrder, EngineReport, OrderResponse},
};

/// Interval between reads of the replicas' versions while all are up to date.
const SETTLED_TICK_MS: u64 = 250;
/// Interval while some replicas are behind. Short, since a wave of orders is sent only after a read
/// shows that the previous wave has loaded, and samples of outdated replicas soon become stale.
const SWAPPING_TICK_MS: u64 = 20;
/// Interval at which the owner of a job reads the versions of its engines during a swap.
const WATCH_TICK_MS: u64 = 50;
/// Timeout of that watch, after which samples for later steps are generated even if engines are
/// behind.
const WATCH_TIMEOUT_MS: u64 = 5_000;

/// Name of the lease shard of a service's weights.
pub(crate) fn shard_of_service(service: &str) -> Arc<str> {
    format!("weights/{service}").into()
}

/// The weight version of a job that its service's engines should load.
#[derive(Debug, Clone)]
struct Target {
    job: Arc<str>,
    version: u64,
    limits: SwapLimits,
}

/// An engine and its report, which is `None` if the engine did not answer.
#[derive(Debug)]
struct Replica {
    name: Arc<str>,
    address: Arc<str>,
    report: Option<EngineReport>,
}

/// Orders engines to load the target versions, for the services whose weights this daemon owns.
pub(crate) async fn swap_loop(daemon: Rc<Daemon>) {
    loop {
        let mut progress = SwapProgress::Settled;
        for service in owned_services(&daemon) {
            if swap_service(&daemon, &service).await == SwapProgress::Swapping {
                progress = SwapProgress::Swapping;
            }
        }
        match progress {
            // A new version arrives as a settings change, which ends the wait early.
            SwapProgress::Settled => daemon.settings.wait_progress(SETTLED_TICK_MS).await,
            SwapProgress::Swapping => sleep_ms(SWAPPING_TICK_MS).await,
        }
    }
}

fn active_epoch(daemon: &Daemon, service: &str) -> Option<u64> {
    let agent = daemon.lease_agent.borrow();
    daemon
        .leases
        .with_fold(|table| agent.epoch(table, &shard_of_service(service), daemon.now_ms()))
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
        .filter(|service| active_epoch(daemon, service).is_some())
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

/// Whether all replicas that answered serve their target versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SwapProgress {
    Settled,
    Swapping,
}

async fn swap_service(daemon: &Rc<Daemon>, service: &Arc<str>) -> SwapProgress {
    let targets = targets(daemon, service);
    if targets.is_empty() {
        return SwapProgress::Settled;
    }
    let mut progress = SwapProgress::Settled;
    let replicas = read_replicas(daemon, service).await;
    for target in targets {
        let views: Vec<ReplicaView> = replicas
            .iter()
            .map(|replica| replica_view(replica, &target.job))
            .collect();
        if views
            .iter()
            .any(|view| view.version.is_some_and(|version| version < target.version))
        {
            progress = SwapProgress::Swapping;
        }
        for name in plan_swaps(&views, target.version, target.limits) {
            let Some(replica) = replicas.iter().find(|replica| replica.name == name) else {
                continue;
            };
            send_order(daemon, service, replica, &target).await;
        }
    }
    progress
}

async fn read_replicas(daemon: &Rc<Daemon>, service: &Arc<str>) -> Vec<Replica> {
    let listed: Vec<(Arc<str>, Arc<str>)> = {
        let endpoints = daemon.endpoints.borrow();
        let of_service = endpoints
            .iter()
            .filter(|endpoint| endpoint.listing.service == *service);
        of_service
            .map(|e| (e.listing.name.clone(), e.listing.address.clone()))
            .collect()
    };
    let tasks: Vec<_> = listed
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
    let mut replicas = Vec::with_capacity(tasks.len());
    for replica in tasks {
        replicas.push(replica.await);
    }
    replicas
}

/// Calls `on_version` with the oldest version that an engine of the job serves, until all serve `target`;
/// on a timeout, calls it with `target`.
pub(crate) async fn watch_oldest_served<OnVersion>(
    daemon: &Rc<Daemon>,
    job: &Arc<str>,
    target: u64,
    on_version: OnVersion,
) where
    OnVersion: Fn(u64),
{
    let until_ms = daemon.now_ms() + WATCH_TIMEOUT_MS;
    let service = daemon.setting_text(job, "service");
    while let Some(service) = &service
        && daemon.now_ms() < until_ms
    {
        let replicas = read_replicas(daemon, service).await;
        let versions = replicas
            .iter()
            .filter_map(|replica| replica_view(replica, job).version);
        let oldest_served = versions.min().unwrap_or(target);
        on_version(oldest_served);
        if oldest_served >= target {
            return;
        }
        sleep_ms(WATCH_TICK_MS).await;
    }
    on_version(target);
}

/// The state of a replica for one job. Version 0 is the base model, served by an engine without the
/// job's adapter; an engine that lost its weights in a failed swap also counts as version 0, so that
/// it is ordered to load again.
fn replica_view(replica: &Replica, job: &Arc<str>) -> ReplicaView {
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

/// Sends an order to load weights.
///
/// Guards against an owner that lost its lease during a pause: the lease is checked immediately
/// before the order, and the order carries the epoch as a fencing token. Engines that ignore the token
/// are corrected by the new owner, since an order states the version to serve.
async fn send_order(daemon: &Rc<Daemon>, service: &str, replica: &Replica, target: &Target) {
    let Some(epoch) = active_epoch(daemon, service) else {
        return;
    };
    let order = EngineOrder {
        adapter: target.job.clone(),
        version: target.version,
        epoch,
    };
    match daemon.engine.order(&replica.address, &order).await {
        Ok(OrderResponse::Accepted) => {
            log::info!(
                "{} is loading weights version {} of job {}",
                replica.name,
                target.version,
                target.job
            );
        }
        Ok(OrderResponse::StaleEpoch) => {
            log::info!(
                "{} rejected an order for {service}: epoch {epoch} is out of date",
                replica.name
            );
        }
        // No retry: the next read of the replicas shows whether the order took effect.
        Err(error) => log::debug!("order to {} was not confirmed: {error}", replica.name),
    }
}
