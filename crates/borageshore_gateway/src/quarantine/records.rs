//! Encoding of crashes, trials and clearances in the store and in messages between peers.

use std::sync::Arc;

use borageshore_base::rendezvous_weight;
use borageshore_platform::KeyedRecord;
use borageshore_routing::{Crash, CrashReport, Fingerprint, RequestKind};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Key prefix of crashes and trials; the request's fingerprint follows.
pub(crate) const KEY_PREFIX: &str = "crash/";
/// Key suffix of a trial; the key of a crash ends with a hash of the endpoint's name.
const TRIAL: &str = "trial";

/// A decoded record.
#[derive(Debug)]
pub(super) enum QuarantineRecord {
    /// An endpoint crashed while it ran a request.
    Crash(CrashReport),
    /// A daemon claimed, finished or cancelled a trial.
    Trial(TrialRecord),
    /// A request was answered successfully, or its suspicion expired.
    Cleared(Fingerprint),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum TrialState {
    /// A daemon intends to send the request.
    Claimed,
    /// The request was sent, with any outcome.
    #[serde(rename = "Made")]
    Finished,
    /// The request reached no endpoint.
    #[serde(rename = "Unmade")]
    Cancelled,
}

/// The latest trial of a request.
#[derive(Debug, Clone)]
pub(super) struct TrialRecord {
    pub(super) content: Fingerprint,
    pub(super) kind: RequestKind,
    /// Ordinal of the trial among those of the request, from 1.
    pub(super) number: u64,
    /// Unique id of the claim.
    pub(super) claim: Arc<str>,
    pub(super) state: TrialState,
    /// When it entered `state`, in Unix time.
    pub(super) at_ms: u64,
}

/// A crash as it is encoded; `at_ms` is Unix time.
#[derive(Debug, Serialize, Deserialize)]
struct WireCrash {
    instance: Arc<str>,
    is_trial: bool,
    at_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTrial {
    number: u64,
    claim: Arc<str>,
    state: TrialState,
    at_ms: u64,
    #[serde(default)]
    is_reward_call: bool,
}

/// A crash with its request, as sent from peer to peer.
#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    content: Arc<str>,
    #[serde(flatten)]
    crash: WireCrash,
}

/// Decodes a record of the store; `None` if it is malformed.
pub(super) fn decode_record(record: &KeyedRecord) -> Option<QuarantineRecord> {
    let (content, suffix) = record.key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
    let content: Fingerprint = content.parse().ok()?;
    Some(match (&record.value, suffix) {
        (Some(value), TRIAL) => {
            let wire: WireTrial = serde_json::from_slice(value).ok()?;
            QuarantineRecord::Trial(TrialRecord {
                content,
                kind: match wire.is_reward_call {
                    true => RequestKind::RewardCall,
                    false => RequestKind::Call,
                },
                number: wire.number,
                claim: wire.claim,
                state: wire.state,
                at_ms: wire.at_ms,
            })
        }
        (Some(value), _) => {
            let wire: WireCrash = serde_json::from_slice(value).ok()?;
            QuarantineRecord::Crash(report(content, wire))
        }
        (None, _) => QuarantineRecord::Cleared(content),
    })
}

pub(super) fn decode_reports(body: &[u8]) -> Option<Vec<CrashReport>> {
    let reports: Vec<WireReport> = serde_json::from_slice(body).ok()?;
    let decoded = reports
        .into_iter()
        .map(|wire| Some(report(wire.content.parse().ok()?, wire.crash)));
    decoded.collect()
}

pub(super) fn encode_reports(reports: &[CrashReport]) -> Bytes {
    let wire = |report: &CrashReport| WireReport {
        content: report.content.to_string().into(),
        crash: wire_crash(&report.crash),
    };
    let reports: Vec<WireReport> = reports.iter().map(wire).collect();
    encoded(&reports)
}

pub(super) fn decode_cleared(body: &[u8]) -> Option<Vec<Fingerprint>> {
    let contents: Vec<Arc<str>> = serde_json::from_slice(body).ok()?;
    contents
        .iter()
        .map(|content| content.parse().ok())
        .collect()
}

pub(super) fn encode_cleared(contents: &[Fingerprint]) -> Bytes {
    let contents: Vec<String> = contents.iter().map(Fingerprint::to_string).collect();
    encoded(&contents)
}

pub(super) fn encode_crash(report: &CrashReport) -> (Arc<str>, Bytes) {
    let key = crash_key(report.content, &report.crash.instance);
    (key, encoded(&wire_crash(&report.crash)))
}

pub(super) fn encode_trial(trial: &TrialRecord) -> (Arc<str>, Bytes) {
    let wire = WireTrial {
        number: trial.number,
        claim: trial.claim.clone(),
        state: trial.state,
        at_ms: trial.at_ms,
        is_reward_call: trial.kind == RequestKind::RewardCall,
    };
    (trial_key(trial.content), encoded(&wire))
}

pub(super) fn crash_key(content: Fingerprint, instance: &str) -> Arc<str> {
    // Endpoint names come from the platform and may have any length, so the key holds a hash.
    let instance = rendezvous_weight(KEY_PREFIX, instance);
    format!("{KEY_PREFIX}{content}/{instance:016x}").into()
}

pub(super) fn trial_key(content: Fingerprint) -> Arc<str> {
    format!("{KEY_PREFIX}{content}/{TRIAL}").into()
}

fn report(content: Fingerprint, wire: WireCrash) -> CrashReport {
    let crash = Crash {
        instance: wire.instance,
        is_trial: wire.is_trial,
        at_ms: wire.at_ms,
    };
    CrashReport { content, crash }
}

fn wire_crash(crash: &Crash) -> WireCrash {
    WireCrash {
        instance: crash.instance.clone(),
        is_trial: crash.is_trial,
        at_ms: crash.at_ms,
    }
}

fn encoded<Record>(record: &Record) -> Bytes
where
    Record: Serialize,
{
    serde_json::to_vec(record).expect("plain data").into()
}
