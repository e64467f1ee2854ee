//! What daemons tell each other of crashes and trials, in the store and from peer to peer.

use std::sync::Arc;

use borageshore_base::rendezvous_weight;
use borageshore_platform::KeyedRecord;
use borageshore_routing::{Crash, CrashReport, Fingerprint};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What the keys of crashes and trials begin with; the request's content follows.
pub(crate) const KEY_PREFIX: &str = "crash/";
/// What the key of a trial ends with; that of a crash ends with a hash of the endpoint's name.
const TRIAL: &str = "trial";

/// A record that was read.
#[derive(Debug)]
pub(super) enum QuarantineRecord {
    /// An endpoint crashed under a request.
    Crash(CrashReport),
    /// A daemon claims a trial of a request, or has made it.
    Trial(TrialRecord),
    /// A request was answered, or its suspicion has ended.
    Cleared(Fingerprint),
}

/// What has become of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum TrialState {
    /// A daemon wants to make it.
    Claimed,
    /// The request was sent, whatever came of it.
    #[serde(rename = "Made")]
    Finished,
    /// There was no endpoint to send it to.
    #[serde(rename = "Unmade")]
    Cancelled,
}

/// The last trial of a request, as it is claimed or once it is over.
#[derive(Debug, Clone)]
pub(super) struct TrialRecord {
    pub(super) content: Fingerprint,
    pub(super) number: u64,
    pub(super) claim: Arc<str>,
    pub(super) state: TrialState,
    pub(super) at_ms: u64,
}

/// A crash as it is told; times are Unix milliseconds.
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
}

/// A crash with its request, as one peer tells it to another.
#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    content: Arc<str>,
    #[serde(flatten)]
    crash: WireCrash,
}

/// Reads a record of the store; `None` if it is another writer's.
pub(super) fn decode_record(record: &KeyedRecord) -> Option<QuarantineRecord> {
    let (content, suffix) = record.key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
    let content: Fingerprint = content.parse().ok()?;
    Some(match (&record.value, suffix) {
        (Some(value), TRIAL) => {
            let wire: WireTrial = serde_json::from_slice(value).ok()?;
            QuarantineRecord::Trial(TrialRecord {
                content,
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

/// Reads what a peer tells.
pub(super) fn decode_reports(body: &[u8]) -> Option<Vec<CrashReport>> {
    let reports: Vec<WireReport> = serde_json::from_slice(body).ok()?;
    let decoded = reports
        .into_iter()
        .map(|wire| Some(report(wire.content.parse().ok()?, wire.crash)));
    decoded.collect()
}

/// Writes what a peer is told.
pub(super) fn encode_reports(reports: &[CrashReport]) -> Bytes {
    let wire = |report: &CrashReport| WireReport {
        content: report.content.to_string().into(),
        crash: wire_crash(&report.crash),
    };
    let reports: Vec<WireReport> = reports.iter().map(wire).collect();
    encoded(&reports)
}

/// Reads of which requests a peer knows that they are free.
pub(super) fn decode_cleared(body: &[u8]) -> Option<Vec<Fingerprint>> {
    let contents: Vec<Arc<str>> = serde_json::from_slice(body).ok()?;
    contents
        .iter()
        .map(|content| content.parse().ok())
        .collect()
}

/// Writes for a peer which requests are free.
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
    };
    (trial_key(trial.content), encoded(&wire))
}

pub(super) fn crash_key(content: Fingerprint, instance: &str) -> Arc<str> {
    // The names of endpoints are others' and of any length.
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
