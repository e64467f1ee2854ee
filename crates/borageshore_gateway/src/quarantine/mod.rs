//! Quarantine of requests that crash their endpoints, shared by all daemons: crash reports, holds, and the trial that
//! shows whether a request still crashes endpoints.
//!
//! Crashes, trial claims and clearances are records of the members topic, which every daemon follows anyway: without
//! crashes there is no extra traffic, and a starting daemon reads the holds. The first claim in the log wins.

mod records;
mod reporting;
mod sent;
mod trials;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_diagnostics::{Instruments, LogOnce};
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::KeyedRecord;
use borageshore_routing::{
    AbandonedAttempts, Crash, CrashEffect, CrashReport, CrashReports, Fingerprint, HoldDecision,
    Quarantine as Table, RequestKind,
};
use bytes::Bytes;
use tokio::sync::Notify;

use self::records::{QuarantineRecord, crash_key, decode_record, trial_key};
pub(crate) use self::{
    records::KEY_PREFIX,
    reporting::{CLEARED_PATH, CRASHES_PATH},
    trials::Permit,
};
use crate::{
    endpoints::Endpoints, follow::RecordView, members::Members, store_transport::Store,
    true_time::time_of_day_ms,
};

/// How long a caller waits for a trial claim to be stored and read back. Usually 60 ms; a caller is not kept waiting
/// for longer than this.
const CLAIM_TIMEOUT_MS: u64 = 400;
/// How long after its start a daemon delays requests until the holds are read. It serves without them after that: in a
/// store outage, refusing every request would do more harm than the few that crash endpoints.
const MAX_START_WAIT_MS: u64 = 1_000;

/// A refusal to send a request now, because it is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Held {
    /// Time until the request may be tried again, in ms.
    pub(crate) retry_after_ms: u64,
}

/// This daemon's view of the requests that all daemons hold back.
#[derive(Debug)]
pub(crate) struct Quarantine {
    clock: Clock,
    /// Unix time at the start of `clock`. Holds outlast daemons, and a change of the system time must neither end nor
    /// lengthen one.
    start_unix_ms: u64,
    store: Store,
    members: Rc<Members>,
    instruments: Rc<Instruments>,
    table: RefCell<Table>,
    abandoned_attempts: RefCell<AbandonedAttempts>,
    reports: RefCell<CrashReports>,
    /// Records for the store that are exempt from the report budget; an empty value removes the key.
    pending_records: RefCell<Vec<(Arc<str>, Bytes)>>,
    claims: Cell<u64>,
    undecodable: LogOnce,
    is_known: Cell<bool>,
    /// Notified when the holds have been read.
    became_known: Notify,
    /// Whether records may have been missed; the next batch then holds the newest record of each key.
    has_gap: Cell<bool>,
    write_requested: Notify,
    /// Whether the last append to the store was slow or failed.
    is_store_late: Cell<bool>,
    /// Reports that wait to be sent to peers.
    peer_reports: RefCell<Vec<CrashReport>>,
    /// Reports of suspected requests that were already queued for peers.
    announced_to_peers: RefCell<Vec<CrashReport>>,
    /// Cleared requests whose clearance is not in the store yet.
    cleared: RefCell<Vec<Fingerprint>>,
    /// Clearances that wait to be sent to peers.
    peer_clearances: RefCell<Vec<Fingerprint>>,
    peer_queue_changed: Notify,
    changed: Notify,
}

impl Quarantine {
    pub(crate) fn spawn(
        store: Store,
        members: Rc<Members>,
        endpoints: Rc<Endpoints>,
        clock: Clock,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        let unix_ms = time_of_day_ms();
        let quarantine = Rc::new(Self {
            clock,
            start_unix_ms: unix_ms.saturating_sub(clock.now_ms()),
            store,
            members,
            instruments,
            table: RefCell::default(),
            abandoned_attempts: RefCell::default(),
            reports: RefCell::default(),
            pending_records: RefCell::default(),
            claims: Cell::new(0),
            undecodable: LogOnce::default(),
            is_known: Cell::new(false),
            became_known: Notify::new(),
            has_gap: Cell::new(false),
            write_requested: Notify::new(),
            is_store_late: Cell::new(false),
            peer_reports: RefCell::default(),
            announced_to_peers: RefCell::default(),
            cleared: RefCell::default(),
            peer_clearances: RefCell::default(),
            peer_queue_changed: Notify::new(),
            changed: Notify::new(),
        });
        monoio::spawn(quarantine.clone().write_records());
        monoio::spawn(quarantine.clone().notify_peers());
        monoio::spawn(quarantine.clone().follow_endpoint_ends(endpoints));
        quarantine
    }

    /// Waits until the holds are read, or until [`MAX_START_WAIT_MS`] after the daemon's start.
    ///
    /// The daemon reports readiness without this wait, because other daemons wait for it to be ready after a stop of
    /// all daemons.
    async fn wait_until_known(&self) {
        let remaining_ms = MAX_START_WAIT_MS.saturating_sub(self.clock.now_ms());
        if !self.is_known.get() && remaining_ms > 0 {
            within_ms(remaining_ms, self.became_known.notified()).await;
        }
    }

    /// Decides whether a request may be sent, and claims its trial if one is due. `content` is not called while no
    /// request is suspected.
    pub(crate) async fn admit<Content>(
        self: &Rc<Self>,
        kind: RequestKind,
        content: Content,
    ) -> Result<Permit, Held>
    where
        Content: FnOnce() -> Fingerprint,
    {
        self.wait_until_known().await;
        if self.table.borrow().is_empty() {
            return Ok(Permit { trial: None });
        }
        let content = content();
        match self.decision(kind, &content) {
            HoldDecision::Allowed => Ok(Permit { trial: None }),
            HoldDecision::Held { retry_after_ms } => Err(Held { retry_after_ms }),
            HoldDecision::TrialDue => self.claim(kind, content).await,
        }
    }

    /// Waits until a held reward call may be tried or is cleared, for `max_wait_ms` at most.
    pub(crate) async fn wait(&self, content: Fingerprint, held: Held, max_wait_ms: u64) {
        let until_ms = self.clock.now_ms().saturating_add(max_wait_ms);
        // Guards against a busy loop: a trial that cannot be claimed stays due.
        sleep_ms(held.retry_after_ms.min(CLAIM_TIMEOUT_MS).min(max_wait_ms)).await;
        loop {
            let remaining_ms = until_ms.saturating_sub(self.clock.now_ms());
            match self.decision(RequestKind::RewardCall, &content) {
                HoldDecision::Held { retry_after_ms } if remaining_ms > 0 => {
                    within_ms(retry_after_ms.min(remaining_ms), self.changed.notified()).await;
                }
                _ => return,
            }
        }
    }

    /// Whether a request that was already sent may be sent again.
    pub(crate) fn may_repeat<Content>(&self, content: Content) -> bool
    where
        Content: FnOnce() -> Fingerprint,
    {
        self.table.borrow().is_empty() || !self.is_held(&content())
    }

    /// Watches for endpoints that end without notice; requests whose attempts were abandoned there shortly before are
    /// suspected.
    async fn follow_endpoint_ends(self: Rc<Self>, endpoints: Rc<Endpoints>) {
        loop {
            endpoints.endpoint_ended.notified().await;
            for instance in endpoints.take_ended() {
                let now_ms = self.unix_ms();
                let suspects = self
                    .abandoned_attempts
                    .borrow_mut()
                    .on_endpoint_ended(&instance, now_ms);
                for (content, is_trial) in suspects {
                    self.on_crash_observed(content, &instance, is_trial);
                }
            }
        }
    }

    /// Records that an endpoint crashed while it ran a request.
    fn on_crash_observed(&self, content: Fingerprint, instance: &Arc<str>, is_trial: bool) {
        let crash = Crash {
            instance: instance.clone(),
            is_trial,
            at_ms: self.unix_ms(),
        };
        let report = CrashReport { content, crash };
        if self.on_crash(report.clone()) == CrashEffect::Suspected {
            let crashes = self.table.borrow().crashes(&content);
            log::info!(content:%, instance = &**instance, crashes; "endpoint crashed while it ran a request; suspecting the request");
        }
        if self.is_store_late.get() {
            self.queue_for_peers(std::slice::from_ref(&report));
        }
        self.reports.borrow_mut().push(report);
        self.write_requested.notify_one();
    }

    /// Clears a request that was answered successfully.
    fn on_success<Content>(&self, content: Content)
    where
        Content: FnOnce() -> Fingerprint,
    {
        if self.table.borrow().is_empty() {
            return;
        }
        let content = content();
        let was_held = self.is_held(&content);
        let Some(mut crashes) = self.table.borrow_mut().on_success(&content) else {
            return;
        };
        let unwritten = self.reports.borrow_mut().remove_content(&content);
        let is_announced = |crash: &Crash| {
            let announced = self.announced_to_peers.borrow();
            let mut announced = announced.iter().filter(|report| report.content == content);
            !unwritten.contains(crash) || announced.any(|report| report.crash == *crash)
        };
        crashes.retain(is_announced);
        if was_held {
            log::info!(content:%; "held-back request succeeded; releasing it");
            self.instruments.count("quarantine", "cleared");
        }
        if !crashes.is_empty() {
            match self.is_store_late.get() {
                true => self.queue_clearance_for_peers(&[content]),
                false => self.cleared.borrow_mut().push(content),
            }
        }
        self.remove(content, &crashes);
        self.notify_change();
    }

    /// Expires old suspicions; the daemon responsible for cleaning also removes their records from the store.
    pub(crate) fn expire(&self, is_responsible: bool) {
        if self.table.borrow().is_empty() {
            return;
        }
        let ended = self.table.borrow_mut().expire(self.unix_ms());
        for (content, crashes) in ended {
            log::info!(content:%, crashes = crashes.len(); "suspicion of a request has expired");
            if is_responsible {
                self.remove(content, &crashes);
            }
        }
        self.notify_change();
    }

    fn unix_ms(&self) -> u64 {
        self.start_unix_ms + self.clock.now_ms()
    }

    fn decision(&self, kind: RequestKind, content: &Fingerprint) -> HoldDecision {
        let now_ms = self.unix_ms();
        self.table.borrow().decision_for(kind, content, now_ms)
    }

    /// Whether a request is held or due for a trial, which does not depend on its kind.
    fn is_held(&self, content: &Fingerprint) -> bool {
        self.decision(RequestKind::Call, content) != HoldDecision::Allowed
    }

    fn on_crash(&self, report: CrashReport) -> CrashEffect {
        let CrashReport { content, mut crash } = report;
        // Guards against a reporter whose clock is ahead, which would lengthen the hold.
        crash.at_ms = crash.at_ms.min(self.unix_ms());
        let instance = crash.instance.clone();
        let effect = self.table.borrow_mut().on_crash(content, crash);
        if effect == CrashEffect::Held {
            let crashes = self.table.borrow().crashes(&content);
            log::warn!(content:%, instance = &*instance, crashes, verdict:? = self.decision(RequestKind::Call, &content); "request held back for crashing endpoints");
            self.instruments.count("quarantine", "held");
        }
        if effect != CrashEffect::Known {
            self.notify_change();
        }
        effect
    }

    fn notify_change(&self) {
        let table = self.table.borrow();
        self.instruments
            .set("requests_suspected", table.len() as u64);
        self.instruments
            .set("requests_held_back", table.held_count() as u64);
        self.changed.notify_waiters();
    }

    fn remove(&self, content: Fingerprint, crashes: &[Crash]) {
        if crashes.is_empty() {
            return;
        }
        let keys = crashes
            .iter()
            .map(|crash| crash_key(content, &crash.instance));
        let removals = keys.chain([trial_key(content)]);
        let removals = removals.map(|key| (key, Bytes::new()));
        self.pending_records.borrow_mut().extend(removals);
        self.write_requested.notify_one();
    }

    fn on_record(&self, record: QuarantineRecord) {
        match record {
            QuarantineRecord::Crash(report) => {
                self.on_crash(report);
                return;
            }
            QuarantineRecord::Trial(trial) => self.on_trial(trial),
            QuarantineRecord::Cleared(content) => {
                self.clear(&content);
            }
        }
        self.notify_change();
    }

    /// Applies a clearance from another daemon; returns whether the request was suspected here.
    fn clear(&self, content: &Fingerprint) -> bool {
        self.reports.borrow_mut().remove_content(content);
        self.table.borrow_mut().on_success(content).is_some()
    }
}

impl RecordView for Quarantine {
    fn apply(&self, records: &[KeyedRecord]) {
        if self.has_gap.take() {
            // Keys that were removed during the gap are missing from the newest records.
            let contents: Vec<Fingerprint> = records.iter().filter_map(content_of).collect();
            self.table.borrow_mut().keep_only(&contents);
            self.notify_change();
        }
        for record in records {
            match decode_record(record) {
                Some(decoded) => self.on_record(decoded),
                None if self.undecodable.is_new(&record.key) => {
                    log::error!(key = &*record.key; "crash record cannot be decoded");
                }
                None => {}
            }
        }
    }

    fn on_caught_up(&self) {
        self.is_known.set(true);
        self.became_known.notify_waiters();
    }

    fn on_gap(&self) {
        self.has_gap.set(true);
    }
}

fn content_of(record: &KeyedRecord) -> Option<Fingerprint> {
    match decode_record(record)? {
        QuarantineRecord::Crash(report) => Some(report.content),
        QuarantineRecord::Trial(trial) => Some(trial.content),
        QuarantineRecord::Cleared(content) => Some(content),
    }
}
