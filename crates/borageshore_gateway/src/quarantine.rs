//! Requests that crash their endpoints, held back by all daemons: what each tells the others of crashes, and
//! who makes the one send that may show whether a request crashes endpoints still.
//!
//! Crashes, claims of trials and successes are records among those that daemons read of each other anyway, so that a
//! calm day costs nothing, and a daemon that starts knows what is held. The log's order decides which claim counts.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_base::rendezvous_weight;
use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::{KeyedRecord, Topic};
use borageshore_routing::{
    Crash, CrashNews, CrashReport, CrashReports, Fingerprint, Quarantine as Table, Verdict,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{
    follow::{Fold, ONLY_PARTITION},
    members::Members,
    store_path::Store,
};

/// What the keys of crashes and trials begin with; the request's content follows.
pub(crate) const KEY_PREFIX: &str = "crash/";
/// What the key of a trial ends with; that of a crash ends with a hash of the endpoint's name.
const TRIAL: &str = "trial";
/// A claim is in the store and read back in 60 ms; a caller is not kept waiting for longer.
const CLAIM_MS: u64 = 400;
/// The pause before records are written again that the store did not take, and before a budget is looked at again.
const AGAIN_MS: u64 = 200;
/// A daemon that cannot read what is held serves all the same after this time: in an outage of the store, calls that
/// crash endpoints are few among those that would be refused.
const KNOWN_WITHIN_MS: u64 = 1_000;

/// A request may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Held {
    /// When to come back.
    pub(crate) again_ms: u64,
}

/// Leave to send a request: as often as its route permits, or once on trial.
#[derive(Debug)]
pub(crate) struct Leave {
    trial: Option<Trial>,
}

impl Leave {
    /// Says whether the request may be sent once only, to show whether it crashes endpoints still.
    pub(crate) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }
}

/// A trial that this daemon makes; over when it is dropped.
#[derive(Debug)]
struct Trial {
    quarantine: Rc<Quarantine>,
    content: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.quarantine.on_trial_end(self.content);
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct CrashRecord {
    instance: Arc<str>,
    is_trial: bool,
    /// In Unix milliseconds.
    at_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct ClaimRecord {
    claim: Arc<str>,
    /// In Unix milliseconds.
    at_ms: u64,
}

/// The requests that all daemons hold back, as this one knows them.
#[derive(Debug)]
pub(crate) struct Quarantine {
    clock: Clock,
    /// The time of day when the clock began: holds outlast daemons, and a time of day that is set meanwhile
    /// neither ends nor lengthens one.
    began_unix_ms: u64,
    store: Store,
    members: Rc<Members>,
    instruments: Rc<Instruments>,
    table: RefCell<Table>,
    reports: RefCell<CrashReports>,
    /// Keys to take out of the store.
    removals: RefCell<Vec<Arc<str>>>,
    claims: Cell<u64>,
    is_known: Cell<bool>,
    /// Whether records may have been missed; the next ones are the newest of each key.
    has_gap: Cell<bool>,
    to_write: Notify,
    changed: Notify,
}

impl Quarantine {
    pub(crate) fn spawn(
        store: Store,
        members: Rc<Members>,
        clock: Clock,
        instruments: Rc<Instruments>,
    ) -> Rc<Self> {
        let unix_ms = jiff::Timestamp::now().as_millisecond() as u64;
        let quarantine = Rc::new(Self {
            clock,
            began_unix_ms: unix_ms.saturating_sub(clock.now_ms()),
            store,
            members,
            instruments,
            table: RefCell::default(),
            reports: RefCell::default(),
            removals: RefCell::default(),
            claims: Cell::new(0),
            is_known: Cell::new(false),
            has_gap: Cell::new(false),
            to_write: Notify::new(),
            changed: Notify::new(),
        });
        monoio::spawn(quarantine.clone().write());
        quarantine
    }

    /// Says whether this daemon knows what is held, or has waited long enough for it.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_known.get() || self.clock.now_ms() >= KNOWN_WITHIN_MS
    }

    /// Says whether a request may be sent, and waits for the claim of its trial if one is due. `content` is not
    /// called as long as nothing is suspected.
    pub(crate) async fn admit<Content>(self: &Rc<Self>, content: Content) -> Result<Leave, Held>
    where
        Content: FnOnce() -> Fingerprint,
    {
        if self.table.borrow().is_empty() {
            return Ok(Leave { trial: None });
        }
        let content = content();
        match self.verdict(&content) {
            Verdict::Free => Ok(Leave { trial: None }),
            Verdict::Held { again_ms } => Err(Held { again_ms }),
            Verdict::TrialDue => self.claim(content).await,
        }
    }

    /// Says whether a request that was sent already may be sent once more.
    pub(crate) fn may_repeat<Content>(&self, content: Content) -> bool
    where
        Content: FnOnce() -> Fingerprint,
    {
        self.table.borrow().is_empty() || self.verdict(&content()) == Verdict::Free
    }

    /// Takes over that an endpoint broke off a request.
    pub(crate) fn on_broken(&self, content: Fingerprint, instance: &Arc<str>, is_trial: bool) {
        let crash = Crash {
            instance: instance.clone(),
            is_trial,
            at_ms: self.unix_ms(),
        };
        self.on_crash(content, crash.clone());
        self.reports
            .borrow_mut()
            .push(CrashReport { content, crash });
        self.to_write.notify_one();
    }

    /// Takes over that a request was answered with success.
    pub(crate) fn on_success<Content>(&self, content: Content)
    where
        Content: FnOnce() -> Fingerprint,
    {
        if self.table.borrow().is_empty() {
            return;
        }
        let content = content();
        let was_held = self.verdict(&content) != Verdict::Free;
        let Some(mut crashes) = self.table.borrow_mut().on_success(&content) else {
            return;
        };
        let untold = self.reports.borrow_mut().drop_content(&content);
        crashes.retain(|crash| !untold.contains(crash));
        if was_held {
            log::info!(content:%; "a request that was held back is answered and free again");
            self.instruments.count("quarantine", "cleared");
        }
        self.remove(content, &crashes);
        self.note_change();
    }

    /// Forgets what ends by itself, and takes it out of the store if this daemon is the one to do so.
    pub(crate) fn expire(&self, is_first: bool) {
        let ended = self.table.borrow_mut().expire(self.unix_ms());
        for (content, crashes) in ended {
            log::info!(content:%, crashes = crashes.len(); "a request is no longer suspected");
            if is_first {
                self.remove(content, &crashes);
            }
        }
        self.note_change();
    }

    fn unix_ms(&self) -> u64 {
        self.began_unix_ms + self.clock.now_ms()
    }

    fn verdict(&self, content: &Fingerprint) -> Verdict {
        self.table.borrow().verdict(content, self.unix_ms())
    }

    /// Claims the trial of a request: of all daemons that do, the one whose record comes first in the log makes it.
    async fn claim(self: &Rc<Self>, content: Fingerprint) -> Result<Leave, Held> {
        let count = self.claims.replace(self.claims.get() + 1);
        let (name, incarnation) = self.members.own_life();
        let claim: Arc<str> = format!("{name}.{incarnation}.{count}").into();
        let record = ClaimRecord {
            claim: claim.clone(),
            at_ms: self.unix_ms(),
        };
        let record = [(trial_key(content), encoded(&record))];
        let claiming = async {
            self.store
                .append(Topic::Members, ONLY_PARTITION, &record, None)
                .await?;
            while self.verdict(&content) == Verdict::TrialDue {
                self.changed.notified().await;
            }
            Ok::<_, borageshore_platform::StoreError>(())
        };
        let claimed = within_ms(CLAIM_MS, claiming).await;
        if matches!(claimed, Some(Ok(()))) && self.table.borrow().has_trial(&claim) {
            log::info!(content:%; "a request that is held back is tried");
            self.instruments.count("quarantine", "tried");
            return Ok(Leave {
                trial: Some(Trial {
                    quarantine: self.clone(),
                    content,
                }),
            });
        }
        match self.verdict(&content) {
            Verdict::Free => Ok(Leave { trial: None }),
            Verdict::Held { again_ms } => Err(Held { again_ms }),
            Verdict::TrialDue => {
                log::info!(content:%, claimed:?; "the trial of a request cannot be claimed");
                Err(Held { again_ms: CLAIM_MS })
            }
        }
    }

    fn on_trial_end(&self, content: Fingerprint) {
        self.table.borrow_mut().on_trial_end(&content);
        self.removals.borrow_mut().push(trial_key(content));
        self.to_write.notify_one();
        self.note_change();
    }

    fn on_crash(&self, content: Fingerprint, crash: Crash) {
        let instance = crash.instance.clone();
        let news = self.table.borrow_mut().on_crash(content, crash);
        let crashes = self.table.borrow().crashes(&content);
        match news {
            CrashNews::Known => return,
            CrashNews::Suspected => {
                log::info!(content:%, instance = &*instance, crashes; "a request is suspected of a crash");
            }
            CrashNews::Held => {
                log::warn!(content:%, instance = &*instance, crashes, verdict:? = self.verdict(&content); "a request is held back");
                self.instruments.count("quarantine", "held");
            }
        }
        self.note_change();
    }

    fn note_change(&self) {
        let table = self.table.borrow();
        self.instruments
            .set("requests_suspected", table.len() as u64);
        self.instruments
            .set("requests_held_back", table.held().count() as u64);
        self.changed.notify_waiters();
    }

    fn remove(&self, content: Fingerprint, crashes: &[Crash]) {
        if crashes.is_empty() {
            return;
        }
        let keys = crashes
            .iter()
            .map(|crash| crash_key(content, &crash.instance));
        self.removals
            .borrow_mut()
            .extend(keys.chain([trial_key(content)]));
        self.to_write.notify_one();
    }

    /// Tells the other daemons what there is to tell, as far as the budget goes.
    async fn write(self: Rc<Self>) {
        loop {
            self.to_write.notified().await;
            while !self.reports.borrow().is_empty() || !self.removals.borrow().is_empty() {
                if !self.write_some().await {
                    sleep_ms(AGAIN_MS).await;
                }
            }
        }
    }

    /// Says whether the store took what could be told now.
    async fn write_some(&self) -> bool {
        let daemons = self.members.count() as u64;
        let reports = {
            let table = self.table.borrow();
            self.reports
                .borrow_mut()
                .take(&table, daemons, self.clock.now_ms())
        };
        let removals = std::mem::take(&mut *self.removals.borrow_mut());
        let mut records: Vec<(Arc<str>, Bytes)> = reports.iter().map(crash_record).collect();
        records.extend(removals.iter().map(|key| (key.clone(), Bytes::new())));
        if records.is_empty() {
            return false;
        }
        let written = self
            .store
            .append(Topic::Members, ONLY_PARTITION, &records, None)
            .await;
        if let Err(error) = &written {
            log::info!(records = records.len(), error:% = error; "crashes are not told to the other daemons yet");
            self.reports.borrow_mut().put_back(reports);
            self.removals.borrow_mut().extend(removals);
        }
        written.is_ok()
    }

    fn on_record(&self, record: &KeyedRecord) -> Option<()> {
        let (content, what) = record.key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
        let content: Fingerprint = content.parse().ok()?;
        match (&record.value, what) {
            (Some(value), TRIAL) => {
                let claim: ClaimRecord = serde_json::from_slice(value).ok()?;
                let at_ms = self.unix_ms();
                self.table
                    .borrow_mut()
                    .on_claim(content, claim.claim, at_ms);
                self.note_change();
            }
            (Some(value), _) => {
                let crash: CrashRecord = serde_json::from_slice(value).ok()?;
                let crash = Crash {
                    instance: crash.instance,
                    is_trial: crash.is_trial,
                    // A clock that is ahead must not lengthen a hold.
                    at_ms: crash.at_ms.min(self.unix_ms()),
                };
                self.on_crash(content, crash);
            }
            (None, TRIAL) => {
                self.table.borrow_mut().on_trial_end(&content);
                self.note_change();
            }
            // Another daemon had an answer, or its time is over.
            (None, _) => {
                self.table.borrow_mut().on_success(&content);
                self.reports.borrow_mut().drop_content(&content);
                self.note_change();
            }
        }
        Some(())
    }
}

impl Fold for Quarantine {
    fn apply(&self, records: &[KeyedRecord]) {
        if self.has_gap.take() {
            // What was removed meanwhile is not among the newest records.
            let contents: Vec<Fingerprint> = records.iter().filter_map(content_of).collect();
            self.table.borrow_mut().keep_only(&contents);
            self.note_change();
        }
        for record in records {
            if self.on_record(record).is_none() {
                log::error!(key = &*record.key; "a record of a crash cannot be read");
            }
        }
    }

    fn on_fresh(&self) {
        self.is_known.set(true);
    }

    fn on_gap(&self) {
        self.has_gap.set(true);
    }
}

fn content_of(record: &KeyedRecord) -> Option<Fingerprint> {
    let (content, _) = record.key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
    content.parse().ok()
}

fn trial_key(content: Fingerprint) -> Arc<str> {
    format!("{KEY_PREFIX}{content}/{TRIAL}").into()
}

fn crash_key(content: Fingerprint, instance: &str) -> Arc<str> {
    // The names of endpoints are others' and of any length.
    let instance = rendezvous_weight(KEY_PREFIX, instance);
    format!("{KEY_PREFIX}{content}/{instance:016x}").into()
}

fn crash_record(report: &CrashReport) -> (Arc<str>, Bytes) {
    let crash = &report.crash;
    let record = CrashRecord {
        instance: crash.instance.clone(),
        is_trial: crash.is_trial,
        at_ms: crash.at_ms,
    };
    (crash_key(report.content, &crash.instance), encoded(&record))
}

fn encoded<Record>(record: &Record) -> Bytes
where
    Record: Serialize,
{
    serde_json::to_vec(record).expect("plain data").into()
}
