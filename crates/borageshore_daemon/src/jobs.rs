//! Jobs that this daemon owns, and sample pulls by trainers for any job.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::{Fault, ResultCode};
use borageshore_membership::Health;
use borageshore_net::sleep_ms;
use borageshore_rollout::{
    Delivery, JobController, JobPlan, Ledger, LedgerRecord, Placement, PullDecision, PullView,
    Sample, SampleOrder, StalenessBound, WeightVersions,
};
use borageshore_settings::NodeKind;
use borageshore_wire::{PeerReply, PeerRequest, PullReply, PullRequest, SampleRequest};

use crate::{
    daemon::{Daemon, Phase},
    peer_server::failed_pull,
    samples::{GeneratedSample, SampleTask, generate_sample, sample_from_reply},
    stream::{SharedStream, Source, append_proposals, follow},
    swaps,
};

/// Timeout for generating and scoring a sample.
const SAMPLE_TIMEOUT_MS: u64 = 120_000;
/// Time added to the timeout of a request that a peer carries out.
const PEER_TIMEOUT_MARGIN_MS: u64 = 2_000;
/// Interval at which a waiting pull checks for an owner, the ledger or samples.
const PULL_POLL_MS: u64 = 50;
/// Upper bound on the wait that a trainer can request.
const MAX_PULL_WAIT_MS: u64 = 30_000;
/// Upper bound on the samples in a delivery.
const MAX_SAMPLES_PER_PULL: u64 = 4_096;

/// State of a job that this daemon owns.
#[derive(Debug)]
pub(crate) struct JobRuntime {
    job: Arc<str>,
    ledger: Rc<SharedStream<Ledger>>,
    controller: RefCell<JobController>,
    placement: RefCell<Placement>,
    versions: Cell<WeightVersions>,
    has_opened_ledger: Cell<bool>,
    is_closed: Cell<bool>,
}

/// Name of the lease shard of a job.
pub(crate) fn shard_of_job(job: &str) -> Arc<str> {
    format!("job/{job}").into()
}

/// Opens newly owned jobs, closes those no longer owned, and orders the samples to generate.
pub(crate) fn tick(daemon: &Rc<Daemon>) {
    if daemon.phase() == Phase::Draining {
        // A drain closes all jobs, but the lease table shows them as owned until the release is applied.
        return;
    }
    let jobs: Vec<Arc<str>> = daemon
        .settings
        .with_fold(|fold| fold.tree().nodes_of_kind(NodeKind::Job).cloned().collect());
    for job in &jobs {
        let owned = owned_epoch(daemon, job);
        let opened = daemon.jobs.borrow().get(job).cloned();
        match (owned, opened) {
            (Some(epoch), Some(runtime)) if runtime.controller.borrow().epoch() == epoch => {
                // An expired lease may still be renewed, so the job keeps its state and only pauses.
                if active_epoch(daemon, job).is_some() {
                    tick_job(daemon, &runtime);
                }
            }
            (Some(epoch), _) => open_job(daemon, job, epoch),
            (None, Some(_)) => close_job(daemon, job),
            (None, None) => {}
        }
    }
    let removed: Vec<Arc<str>> = daemon
        .jobs
        .borrow()
        .keys()
        .filter(|job| !jobs.contains(job))
        .cloned()
        .collect();
    for job in removed {
        close_job(daemon, &job);
    }
}

/// The epoch with which this daemon owns a job according to the log, even if the lease has expired.
fn owned_epoch(daemon: &Daemon, job: &str) -> Option<u64> {
    let agent = daemon.lease_agent.borrow();
    daemon
        .leases
        .with_fold(|table| agent.owned_epoch(table, &shard_of_job(job)))
}

/// The epoch of a job's lease if this daemon holds it and it has not expired.
fn active_epoch(daemon: &Daemon, job: &str) -> Option<u64> {
    let agent = daemon.lease_agent.borrow();
    daemon
        .leases
        .with_fold(|table| agent.epoch(table, &shard_of_job(job), daemon.now_ms()))
}

fn open_job(daemon: &Rc<Daemon>, job: &Arc<str>, epoch: u64) {
    close_job(daemon, job);
    log::info!("opening job {job} with epoch {epoch}");
    // A job that is removed and added again is opened twice in one epoch. Sequence numbers restart
    // with each proposer, so a reused writer name would make the fold drop new records as duplicates;
    // sample ids must be unique as well.
    let opening = daemon.jobs_opened.get() + 1;
    daemon.jobs_opened.set(opening);
    let writer: Arc<str> = format!("{}/{epoch}/{opening}", daemon.session).into();
    let id_prefix: Arc<str> = format!("{job}.{opening}").into();
    let ledger = Rc::new(SharedStream::open(
        format!("ledger-{job}").into(),
        writer,
        Ledger::default(),
    ));
    let runtime = Rc::new(JobRuntime {
        job: job.clone(),
        ledger: ledger.clone(),
        controller: RefCell::new(JobController::open(id_prefix, epoch)),
        placement: RefCell::default(),
        versions: Cell::new(WeightVersions {
            target: 0,
            oldest_served: 0,
        }),
        has_opened_ledger: Cell::new(false),
        is_closed: Cell::new(false),
    });
    monoio::spawn(follow(
        daemon.clone(),
        ledger.clone(),
        |_, _| Source::Log,
        |_, _, _| {},
    ));
    monoio::spawn(append_proposals(daemon.clone(), ledger));
    daemon.jobs.borrow_mut().insert(job.clone(), runtime);
}

/// Closes a job; results of its samples in progress are ignored.
pub(crate) fn close_job(daemon: &Daemon, job: &Arc<str>) {
    if let Some(runtime) = daemon.jobs.borrow_mut().remove(job) {
        log::info!("closed job {job}");
        runtime.is_closed.set(true);
        runtime.ledger.close();
    }
}

fn tick_job(daemon: &Rc<Daemon>, runtime: &Rc<JobRuntime>) {
    let mut controller = runtime.controller.borrow_mut();
    if !runtime.has_opened_ledger.replace(true) {
        runtime.ledger.propose(LedgerRecord::Open {
            epoch: controller.epoch(),
        });
    }
    runtime
        .ledger
        .with_fold(|ledger| controller.on_ledger(ledger));
    let versions = watched_versions(daemon, runtime);
    let orders = controller.tick(&job_plan(daemon, &runtime.job), versions, daemon.now_ms());
    drop(controller);
    for order in orders {
        monoio::spawn(run_sample_order(daemon.clone(), runtime.clone(), order));
    }
    runtime
        .ledger
        .propose_snapshot_if_due(|next_offset, snapshot| LedgerRecord::Snapshot {
            next_offset,
            snapshot,
        });
}

/// Returns the target version and the oldest version still served; starts a task that watches the
/// engines when the target increases.
fn watched_versions(daemon: &Rc<Daemon>, runtime: &Rc<JobRuntime>) -> WeightVersions {
    let target = daemon.setting(&runtime.job, "weights_version");
    let previous = runtime.versions.get();
    if target > previous.target {
        runtime.versions.set(WeightVersions { target, ..previous });
        let (daemon, runtime) = (daemon.clone(), runtime.clone());
        monoio::spawn(async move {
            let on_version = |oldest_served| {
                let current = runtime.versions.get();
                // Ignores a watch of an earlier target.
                if current.target == target {
                    runtime.versions.set(WeightVersions {
                        oldest_served,
                        ..current
                    });
                }
            };
            swaps::watch_oldest_served(&daemon, &runtime.job, target, on_version).await;
        });
    }
    runtime.versions.get()
}

fn job_plan(daemon: &Daemon, job: &str) -> JobPlan {
    daemon.settings.with_fold(|fold| {
        let number = |key: &str| fold.tree().integer(job, key);
        JobPlan {
            groups_per_step: number("groups_per_step"),
            samples_per_group: number("samples_per_group"),
            steps_ahead: number("steps_ahead"),
            staleness_bound: StalenessBound {
                versions: number("staleness_bound_versions"),
                age_ms: number("staleness_bound_ms"),
            },
        }
    })
}

/// Generates a sample on the daemon that its group is placed on, and reports it to the controller.
async fn run_sample_order(daemon: Rc<Daemon>, runtime: Rc<JobRuntime>, order: SampleOrder) {
    let started_at_ms = daemon.now_ms();
    let task = sample_task(&daemon, &runtime, &order);
    let prompt = task.prompt.clone();
    let generated = generate_on_worker(&daemon, &runtime, &task, &order).await;
    if runtime.is_closed.get() {
        return;
    }
    let now_ms = daemon.now_ms();
    let mut controller = runtime.controller.borrow_mut();
    match generated {
        Ok(GeneratedSample {
            tokens,
            segments,
            score,
        }) => {
            let (id, group) = (order.id, order.group);
            let versions: Vec<u64> = segments.iter().map(|segment| segment.version).collect();
            let took_ms = now_ms - started_at_ms;
            log::debug!("generated sample {id} in {took_ms} ms with weight versions {versions:?}");
            let sample = Sample {
                id,
                group,
                prompt,
                tokens,
                segments,
                score,
                age_ms: 0,
            };
            controller.on_sample(sample, started_at_ms, now_ms);
        }
        Err(fault) => {
            log::debug!("sample {} failed: {fault}", order.id);
            controller.on_failure(order.group, &order.id, now_ms);
        }
    }
}

fn sample_task(daemon: &Daemon, runtime: &JobRuntime, order: &SampleOrder) -> SampleTask {
    let template = daemon.setting_text(&runtime.job, "prompt");
    let template = template.unwrap_or_else(|| "{job} group {group}".into());
    let prompt = template
        .replace("{job}", &runtime.job)
        .replace("{group}", &order.group.to_string());
    SampleTask {
        job: runtime.job.clone(),
        sample_id: order.id.clone(),
        prompt: prompt.into(),
        max_tokens: daemon.setting(&runtime.job, "max_tokens_per_sample"),
        deadline_ms: daemon.now_ms() + SAMPLE_TIMEOUT_MS,
    }
}

async fn generate_on_worker(
    daemon: &Rc<Daemon>,
    runtime: &JobRuntime,
    task: &SampleTask,
    order: &SampleOrder,
) -> Result<GeneratedSample, Fault> {
    let Some((name, address)) = choose_worker(daemon, runtime, order) else {
        return generate_sample(daemon, task).await;
    };
    let generated = if name == daemon.config.name {
        generate_sample(daemon, task).await
    } else {
        generate_on_peer(daemon, task, &name, &address).await
    };
    runtime.placement.borrow_mut().on_attempt_end(&name);
    generated
}

fn choose_worker(
    daemon: &Daemon,
    runtime: &JobRuntime,
    order: &SampleOrder,
) -> Option<(Arc<str>, Arc<str>)> {
    let membership = daemon.membership.borrow();
    let usable = membership.usable(daemon.now_ms());
    let names: Vec<&str> = usable.map(|entry| &*entry.name).collect();
    let mut placement = runtime.placement.borrow_mut();
    placement.remove_below(runtime.controller.borrow().oldest_group());
    let name = placement.place(order.group, order.attempt, &names)?;
    let address = membership.entry(&name)?.peer_address.clone();
    Some((name, address))
}

async fn generate_on_peer(
    daemon: &Rc<Daemon>,
    task: &SampleTask,
    name: &str,
    address: &str,
) -> Result<GeneratedSample, Fault> {
    let request = PeerRequest::Sample(SampleRequest {
        job: task.job.to_string(),
        sample_id: task.sample_id.to_string(),
        prompt: task.prompt.to_string(),
        max_tokens: task.max_tokens as i64,
        deadline_ms: SAMPLE_TIMEOUT_MS as i64,
    });
    match daemon
        .peers
        .call(
            address,
            &request,
            SAMPLE_TIMEOUT_MS + PEER_TIMEOUT_MARGIN_MS,
        )
        .await
    {
        Ok(PeerReply::Sample(reply)) => sample_from_reply(reply),
        Ok(_) => Err(Fault::new(ResultCode::PeerUnavailable, name)),
        Err(error) => Err(Fault::new(
            ResultCode::PeerUnavailable,
            format!("{name}: {error}"),
        )),
    }
}

/// A trainer's request for samples.
#[derive(Debug, Clone)]
pub(crate) struct Pull {
    pub(crate) job: Arc<str>,
    pub(crate) cursor: u64,
    pub(crate) seen_epoch: u64,
    pub(crate) max_samples: u64,
    pub(crate) wait_ms: u64,
}

/// Answers a pull as the owner of the job, or forwards it to the owner; waits until there is one.
pub(crate) async fn pull(daemon: &Rc<Daemon>, pull: Pull) -> Result<String, ResultCode> {
    let is_job = daemon.settings.with_fold(|fold| {
        fold.tree().exists(&pull.job) && fold.tree().kind(&pull.job) == NodeKind::Job
    });
    if !is_job {
        return Err(ResultCode::UnknownJob);
    }
    let until_ms = daemon.now_ms() + pull.wait_ms.min(MAX_PULL_WAIT_MS);
    loop {
        if active_epoch(daemon, &pull.job).is_some() {
            return pull_locally(daemon, &pull, until_ms).await;
        }
        if let Some(address) = owner_address(daemon, &pull.job) {
            let remaining_ms = until_ms.saturating_sub(daemon.now_ms());
            match forward_pull(daemon, &pull, &address, remaining_ms).await {
                Err(ResultCode::NotOwner | ResultCode::PeerUnavailable) => {}
                answered => return answered,
            }
        }
        if daemon.now_ms() >= until_ms {
            return Err(ResultCode::NotOwner);
        }
        sleep_ms(PULL_POLL_MS).await;
    }
}

fn owner_address(daemon: &Daemon, job: &str) -> Option<Arc<str>> {
    let owner = daemon
        .leases
        .with_fold(|table| table.shard(&shard_of_job(job))?.owner.clone())?;
    let (name, incarnation) = owner.rsplit_once('.')?;
    if name == &*daemon.config.name {
        return None;
    }
    let membership = daemon.membership.borrow();
    let is_dead = membership.health(name, daemon.now_ms()) == Health::Dead;
    let entry = membership
        .entry(name)
        .filter(|entry| entry.incarnation.to_string() == incarnation);
    entry
        .filter(|_| !is_dead)
        .map(|entry| entry.peer_address.clone())
}

async fn forward_pull(
    daemon: &Rc<Daemon>,
    pull: &Pull,
    address: &str,
    remaining_ms: u64,
) -> Result<String, ResultCode> {
    let request = PeerRequest::Pull(PullRequest {
        job: pull.job.to_string(),
        cursor: pull.cursor as i64,
        epoch: pull.seen_epoch as i64,
        max_samples: pull.max_samples as i64,
        wait_ms: remaining_ms as i64,
    });
    match daemon
        .peers
        .call(address, &request, remaining_ms + PEER_TIMEOUT_MARGIN_MS)
        .await
    {
        Ok(PeerReply::Pull(reply)) if reply.code == i32::from(ResultCode::Done.number()) => {
            Ok(reply.body)
        }
        Ok(PeerReply::Pull(reply)) => {
            Err(ResultCode::from_number(reply.code as u16).unwrap_or(ResultCode::PeerUnavailable))
        }
        Ok(_) | Err(_) => Err(ResultCode::PeerUnavailable),
    }
}

/// Answers a pull that a peer forwards.
pub(crate) async fn on_peer_pull(daemon: &Rc<Daemon>, request: PullRequest) -> PullReply {
    let pull = Pull {
        job: request.job.into(),
        cursor: request.cursor.max(0) as u64,
        seen_epoch: request.epoch.max(0) as u64,
        max_samples: request.max_samples.max(1) as u64,
        wait_ms: request.wait_ms.max(0) as u64,
    };
    let until_ms = daemon.now_ms() + pull.wait_ms.min(MAX_PULL_WAIT_MS);
    match pull_locally(daemon, &pull, until_ms).await {
        Ok(body) => PullReply {
            code: i32::from(ResultCode::Done.number()),
            body,
        },
        Err(code) => failed_pull(code),
    }
}

/// Answers a pull as the owner of the job.
///
/// The lease is checked in each iteration, but correctness does not depend on it: samples are
/// delivered only after the ledger's fold accepted them in this epoch.
async fn pull_locally(
    daemon: &Rc<Daemon>,
    pull: &Pull,
    until_ms: u64,
) -> Result<String, ResultCode> {
    loop {
        let now_ms = daemon.now_ms();
        let runtime = daemon.jobs.borrow().get(&pull.job).cloned();
        let Some(runtime) = runtime.filter(|_| active_epoch(daemon, &pull.job).is_some()) else {
            return Err(ResultCode::NotOwner);
        };
        match decide_pull(daemon, &runtime, pull, now_ms) {
            PullDecision::Deliver(delivery) => return Ok(encode(&delivery)),
            PullDecision::Refuse(code) => return Err(code),
            PullDecision::Append(record) => {
                runtime.ledger.propose(record);
            }
            PullDecision::Wait if now_ms >= until_ms => {
                return Ok(encode(&empty_delivery(daemon, &runtime, pull)));
            }
            PullDecision::Wait => {}
        }
        runtime.ledger.wait_progress(PULL_POLL_MS).await;
    }
}

fn decide_pull(daemon: &Daemon, runtime: &JobRuntime, pull: &Pull, now_ms: u64) -> PullDecision {
    let view = PullView {
        cursor: pull.cursor,
        seen_epoch: pull.seen_epoch,
        max_samples: pull.max_samples.min(MAX_SAMPLES_PER_PULL),
        target_version: daemon.setting(&pull.job, "weights_version"),
    };
    let plan = job_plan(daemon, &pull.job);
    let mut controller = runtime.controller.borrow_mut();
    runtime.ledger.with_fold(|ledger| {
        controller.on_ledger(ledger);
        controller.on_pull(ledger, &plan, view, now_ms)
    })
}

fn empty_delivery(daemon: &Daemon, runtime: &JobRuntime, pull: &Pull) -> Delivery {
    Delivery {
        epoch: runtime.controller.borrow().epoch(),
        through: pull.cursor,
        target_version: daemon.setting(&pull.job, "weights_version"),
        samples: Vec::new(),
    }
}

fn encode(delivery: &Delivery) -> String {
    serde_json::to_string(delivery).expect("deliveries are plain data")
}

/// Sample counts and the number of buffered samples of a job, if this daemon owns it.
pub(crate) fn counts(
    daemon: &Daemon,
    job: &str,
) -> Option<(borageshore_rollout::JobCounts, usize)> {
    let runtime = daemon.jobs.borrow().get(job).cloned()?;
    let controller = runtime.controller.borrow();
    Some((controller.counts(), controller.buffered()))
}

/// Closes all jobs, before a drain releases their leases.
pub(crate) fn close_all(daemon: &Daemon) {
    let jobs: Vec<Arc<str>> = daemon.jobs.borrow().keys().cloned().collect();
    for job in jobs {
        close_job(daemon, &job);
    }
}
