//! Handlers of the operators' endpoints under `/v1/admin`.

use std::{rc::Rc, sync::Arc};

use borageshore_api::{
    DaemonStatus, EndpointStatus, Explanation, JobStatus, KeyView, LeaseStatus, NodeView,
    SettingsView, Status, StreamStatus,
};
use borageshore_base::{Fault, ResultCode};
use borageshore_net::EdgeRequest;
use borageshore_routing::Outcome;
use borageshore_settings::{
    AuditEntry, Edit, NodeKind, ROOT, SettingValue, SettingsChange, SettingsRecord, Verdict,
};
use hyper::Method;

use crate::{
    daemon::{Daemon, Phase},
    edge::{Answer, query, read_request_json},
    jobs,
};

/// Timeout for the verdict on a settings change, after which its outcome is reported as unknown.
const VERDICT_TIMEOUT_MS: u64 = 15_000;
const VERDICT_POLL_MS: u64 = 100;
/// Attempts to publish a weight version when concurrent changes cause revision conflicts.
const PUBLISH_ATTEMPTS: u32 = 5;

/// The token of the `authorization: Bearer` header, or an empty slice if there is none.
pub(crate) fn bearer_token(request: &EdgeRequest) -> &[u8] {
    let header = request
        .headers()
        .get("authorization")
        .map_or(&b""[..], |value| value.as_bytes());
    header.strip_prefix(b"Bearer ").unwrap_or(b"")
}

/// Answers a request under `/v1/admin`.
pub(crate) async fn handle(daemon: &Rc<Daemon>, path: &[&str], request: EdgeRequest) -> Answer {
    let offered = bearer_token(&request);
    let is_operator = daemon
        .config
        .operator_token
        .as_ref()
        .is_some_and(|token| token.matches(offered));
    if !is_operator {
        return Answer::refused(ResultCode::Unauthorized, "operator token");
    }
    if daemon.phase() == Phase::Starting {
        return Answer::refused(ResultCode::NotReady, "no settings yet");
    }
    match (request.method(), path) {
        (&Method::GET, ["settings"]) => get_settings(daemon),
        (&Method::POST, ["settings"]) => match read_request_json::<SettingsChange>(request).await {
            Ok(change) => change_settings(daemon, change).await,
            Err(answer) => answer,
        },
        (&Method::GET, ["explain"]) => explain(daemon, &request),
        (&Method::GET, ["audit"]) => get_audit(daemon, &request),
        (&Method::GET, ["status"]) => Answer::json(&status(daemon)),
        (&Method::POST, ["drain"]) => {
            daemon.phase.set(Phase::Draining);
            Answer::json(&"draining")
        }
        _ => Answer::refused(ResultCode::UnknownRoute, path.join("/")),
    }
}

/// Lists the keys of each node with their values. Unset keys are included, since setting them again
/// requires their revision.
fn get_settings(daemon: &Daemon) -> Answer {
    let nodes = daemon.settings.with_fold(|fold| {
        let tree = fold.tree();
        tree.all_entries()
            .map(|(node, entries)| NodeView {
                node: node.clone(),
                keys: entries
                    .iter()
                    .map(|(key, entry)| KeyView {
                        key: key.clone(),
                        value: entry.value.clone(),
                        revision: entry.revision,
                        actor: entry.actor.clone(),
                        at_ms: entry.at_ms,
                    })
                    .collect(),
            })
            .collect()
    });
    Answer::json(&SettingsView {
        revision: daemon.settings.offsets().0,
        nodes,
    })
}

/// Lists the effective value of every key at a node, with the node that it is inherited from.
fn explain(daemon: &Daemon, request: &EdgeRequest) -> Answer {
    let node = query(request, "node").unwrap_or(ROOT);
    if !daemon.settings.with_fold(|fold| fold.tree().exists(node)) {
        return Answer::refused(ResultCode::MissingNode, node);
    }
    let explanations: Vec<Explanation> = daemon.settings.with_fold(|fold| {
        let explain_key = |spec: &'static borageshore_settings::KeySpec| {
            let found = fold.tree().effective(node, spec.name)?;
            Some(Explanation {
                key: spec.name.into(),
                value: found.value,
                from_node: found.from_node,
                revision: found.revision,
                meaning: spec.meaning.into(),
            })
        };
        borageshore_settings::SCHEMA
            .iter()
            .filter_map(explain_key)
            .collect()
    });
    Answer::json(&explanations)
}

fn get_audit(daemon: &Daemon, request: &EdgeRequest) -> Answer {
    let since_ms = query(request, "since_ms")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let limit = query(request, "limit")
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_000);
    let mut entries: Vec<AuditEntry> = daemon.settings.with_fold(|fold| {
        fold.audit()
            .rev()
            .take_while(|entry| entry.at_ms >= since_ms)
            .take(limit)
            .cloned()
            .collect()
    });
    entries.reverse();
    Answer::json(&entries)
}

/// Appends a change and waits until the fold accepts or rejects it, since an appended change can
/// still be rejected.
async fn change_settings(daemon: &Rc<Daemon>, change: SettingsChange) -> Answer {
    if let Err(fault) = daemon.settings.with_fold(|fold| fold.check(&change)) {
        return Answer::fault(&fault, Outcome::NotRun);
    }
    match propose_and_wait(daemon, change).await {
        Ok(entry) => match &entry.verdict {
            Verdict::Accepted => Answer::json(&entry),
            Verdict::Rejected(fault) => Answer::fault(fault, Outcome::NotRun),
        },
        Err(fault) => Answer::fault(&fault, Outcome::Unknown),
    }
}

async fn propose_and_wait(
    daemon: &Rc<Daemon>,
    change: SettingsChange,
) -> Result<AuditEntry, Fault> {
    let sequence = daemon.settings.propose(SettingsRecord::Change(change));
    let until_ms = daemon.now_ms() + VERDICT_TIMEOUT_MS;
    while daemon.now_ms() < until_ms {
        let verdict = daemon
            .settings
            .with_fold(|fold| fold.verdict(&daemon.session, sequence).cloned());
        if let Some(entry) = verdict {
            return Ok(entry);
        }
        daemon.settings.wait_progress(VERDICT_POLL_MS).await;
    }
    Err(Fault::new(
        ResultCode::LogUnavailable,
        "the change waits to be appended",
    ))
}

/// Sets the target weight version of a job, unless the current target is the same or newer.
pub(crate) async fn publish_weights(daemon: &Rc<Daemon>, job: &str, version: u64) -> Answer {
    let is_job = daemon
        .settings
        .with_fold(|fold| fold.tree().exists(job) && fold.tree().kind(job) == NodeKind::Job);
    if !is_job {
        return Answer::refused(ResultCode::UnknownJob, job);
    }
    for _ in 0..PUBLISH_ATTEMPTS {
        let (current_version, based_on) = daemon.settings.with_fold(|fold| {
            (
                fold.tree().integer(job, "weights_version"),
                fold.tree().revision(job, "weights_version"),
            )
        });
        if current_version >= version {
            return Answer::json(&current_version);
        }
        let edit = Edit {
            node: job.into(),
            key: "weights_version".into(),
            value: Some(SettingValue::Integer(version)),
            based_on,
        };
        let actor = format!("trainer of {job}").into();
        let reason = format!("weights version {version} is in the store").into();
        let change = SettingsChange {
            actor,
            reason,
            edits: vec![edit],
        };
        match propose_and_wait(daemon, change).await {
            Ok(AuditEntry {
                verdict: Verdict::Accepted,
                ..
            }) => return Answer::json(&version),
            Ok(_) => {}
            Err(fault) => return Answer::fault(&fault, Outcome::Unknown),
        }
    }
    Answer::refused(ResultCode::RevisionConflict, job)
}

fn status(daemon: &Daemon) -> Status {
    Status {
        daemon: daemon.config.name.clone(),
        incarnation: daemon.incarnation,
        zone: daemon.config.zone.clone(),
        life: format!("{:?}", daemon.phase()),
        streams: vec![
            stream_status(&daemon.settings.name, daemon.settings.offsets()),
            stream_status(&daemon.leases.name, daemon.leases.offsets()),
        ],
        daemons: daemon_status(daemon),
        leases: lease_status(daemon),
        jobs: job_status(daemon),
        endpoints: endpoint_status(daemon),
    }
}

fn stream_status(stream: &Arc<str>, (applied_offset, end_offset): (u64, u64)) -> StreamStatus {
    let behind = end_offset.saturating_sub(applied_offset);
    StreamStatus {
        stream: stream.clone(),
        applied_offset,
        behind,
    }
}

fn daemon_status(daemon: &Daemon) -> Vec<DaemonStatus> {
    let membership = daemon.membership.borrow();
    let entries = membership.entries(daemon.now_ms());
    let status = entries.map(|(entry, health)| DaemonStatus {
        name: entry.name.clone(),
        incarnation: entry.incarnation,
        zone: entry.zone.clone(),
        http_address: entry.http_address.clone(),
        state: format!("{:?}", entry.state),
        health: format!("{health:?}"),
    });
    status.collect()
}

fn lease_status(daemon: &Daemon) -> Vec<LeaseStatus> {
    daemon.leases.with_fold(|table| {
        let shards = table.shards();
        let status = shards.map(|(name, shard)| LeaseStatus {
            shard: name.clone(),
            owner: shard.owner.clone(),
            epoch: shard.epoch,
        });
        status.collect()
    })
}

fn job_status(daemon: &Daemon) -> Vec<JobStatus> {
    let owned: Vec<Arc<str>> = daemon.jobs.borrow().keys().cloned().collect();
    let status = owned.into_iter().filter_map(|job| {
        let (counts, buffered) = jobs::counts(daemon, &job)?;
        let borageshore_rollout::JobCounts {
            generated,
            repeated,
            stale,
            replaced,
            failed,
        } = counts;
        Some(JobStatus {
            job,
            generated,
            repeated,
            stale,
            replaced,
            failed,
            buffered,
        })
    });
    status.collect()
}

fn endpoint_status(daemon: &Daemon) -> Vec<EndpointStatus> {
    let endpoints = daemon.endpoints.borrow();
    let status = endpoints.iter().map(|endpoint| EndpointStatus {
        name: endpoint.listing.name.clone(),
        service: endpoint.listing.service.clone(),
        zone: endpoint.listing.zone.clone(),
        state: format!("{:?}", endpoint.listing.state),
        in_flight: endpoint.in_flight,
        reported_requests: endpoint.report.map(|report| report.requests),
        is_usable: endpoint.is_usable(daemon.now_ms()),
    });
    status.collect()
}
