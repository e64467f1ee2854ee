//! Requests that crash their endpoints, held back by all daemons: what each tells the others of crashes, and
//! who makes the one send that may show whether a request crashes endpoints still.
//!
//! Crashes, claims of trials and successes are records among those that daemons read of each other anyway, so that a
//! calm day costs nothing, and a daemon that starts knows what is held. The log's order decides which claim counts.

mod records;
mod sent;
mod telling;
mod trials;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, sleep_ms, within_ms};
use borageshore_platform::KeyedRecord;
use borageshore_routing::{
    AbandonedAttempts, Crash, CrashEffect, CrashReport, CrashReports, Fingerprint,
    Quarantine as Table, Verdict,
};
use bytes::Bytes;
use tokio::sync::Notify;

use self::records::{Told, crash_key, decode_record, trial_key};
pub(crate) use self::{
    records::KEY_PREFIX,
    sent::Sent,
    telling::{CLEARED_PATH, CRASHES_PATH},
    trials::Leave,
};
use crate::{endpoints::Endpoints, follow::Fold, members::Members, store_transport::Store};

/// A claim is in the store and read back in 60 ms; a caller is not kept waiting for longer.
const CLAIM_MS: u64 = 400;
/// A daemon that cannot read what is held serves all the same after this time: in an outage of the store, calls that
/// crash endpoints are few among those that would be refused.
const KNOWN_WITHIN_MS: u64 = 1_000;

/// A request may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Held {
    /// When to come back.
    pub(crate) again_ms: u64,
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
    silent_losses: RefCell<AbandonedAttempts>,
    reports: RefCell<CrashReports>,
    /// Records for the store that no budget holds back; those without a value are removals.
    notes: RefCell<Vec<(Arc<str>, Bytes)>>,
    claims: Cell<u64>,
    is_known: Cell<bool>,
    /// Told when this daemon knows what is held.
    has_read: Notify,
    /// Whether records may have been missed; the next ones are the newest of each key.
    has_gap: Cell<bool>,
    to_write: Notify,
    /// Whether the store has not taken the last records in time.
    is_store_late: Cell<bool>,
    /// What peers are yet to be told, and what they were told of what is suspected.
    to_tell: RefCell<Vec<CrashReport>>,
    told_peers: RefCell<Vec<CrashReport>>,
    /// The requests that are free, until the store has it or peers are to be told.
    freed: RefCell<Vec<Fingerprint>>,
    /// The requests of which peers are yet to be told that they are free.
    to_clear: RefCell<Vec<Fingerprint>>,
    peers_to_tell: Notify,
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
        let unix_ms = jiff::Timestamp::now().as_millisecond() as u64;
        let quarantine = Rc::new(Self {
            clock,
            began_unix_ms: unix_ms.saturating_sub(clock.now_ms()),
            store,
            members,
            instruments,
            table: RefCell::default(),
            silent_losses: RefCell::default(),
            reports: RefCell::default(),
            notes: RefCell::default(),
            claims: Cell::new(0),
            is_known: Cell::new(false),
            has_read: Notify::new(),
            has_gap: Cell::new(false),
            to_write: Notify::new(),
            is_store_late: Cell::new(false),
            to_tell: RefCell::default(),
            told_peers: RefCell::default(),
            freed: RefCell::default(),
            to_clear: RefCell::default(),
            peers_to_tell: Notify::new(),
            changed: Notify::new(),
        });
        monoio::spawn(quarantine.clone().write());
        monoio::spawn(quarantine.clone().tell_peers());
        monoio::spawn(quarantine.clone().follow_ends(endpoints));
        quarantine
    }

    /// Waits until this daemon knows what is held, or has waited for long enough since its start.
    ///
    /// The daemon is ready before: after a stop of all, others wait to see it ready, and later by 0.1 s in the
    /// middle and 0.3 s at most if it were not (84 VMs).
    async fn known(&self) {
        let left_ms = KNOWN_WITHIN_MS.saturating_sub(self.clock.now_ms());
        if !self.is_known.get() && left_ms > 0 {
            within_ms(left_ms, self.has_read.notified()).await;
        }
    }

    /// Says whether a request may be sent, and waits for the claim of its trial if one is due. `content` is not
    /// called as long as nothing is suspected.
    pub(crate) async fn admit<Content>(self: &Rc<Self>, content: Content) -> Result<Leave, Held>
    where
        Content: FnOnce() -> Fingerprint,
    {
        self.known().await;
        if self.table.borrow().is_empty() {
            return Ok(Leave { trial: None });
        }
        let content = content();
        match self.verdict(&content) {
            Verdict::Allowed => Ok(Leave { trial: None }),
            Verdict::Held { retry_after_ms } => Err(Held {
                again_ms: retry_after_ms,
            }),
            Verdict::TrialDue => self.claim(content).await,
        }
    }

    /// Waits until a request that is held back may be tried, or is free, for so long at the most.
    pub(crate) async fn wait(&self, content: Fingerprint, held: Held, most_ms: u64) {
        let until_ms = self.clock.now_ms().saturating_add(most_ms);
        // A trial that cannot be claimed is due all the while.
        sleep_ms(held.again_ms.min(CLAIM_MS).min(most_ms)).await;
        loop {
            let left_ms = until_ms.saturating_sub(self.clock.now_ms());
            match self.verdict(&content) {
                Verdict::Held { retry_after_ms } if left_ms > 0 => {
                    within_ms(retry_after_ms.min(left_ms), self.changed.notified()).await;
                }
                _ => return,
            }
        }
    }

    /// Says whether a request that was sent already may be sent once more.
    pub(crate) fn may_repeat<Content>(&self, content: Content) -> bool
    where
        Content: FnOnce() -> Fingerprint,
    {
        self.table.borrow().is_empty() || self.verdict(&content()) == Verdict::Allowed
    }

    /// Follows which endpoints end without a word: what they had not long before may have crashed them.
    async fn follow_ends(self: Rc<Self>, endpoints: Rc<Endpoints>) {
        loop {
            endpoints.has_ended.notified().await;
            for instance in endpoints.take_ended() {
                let now_ms = self.unix_ms();
                let suspects = self
                    .silent_losses
                    .borrow_mut()
                    .on_endpoint_ended(&instance, now_ms);
                for (content, is_trial) in suspects {
                    self.on_broken(content, &instance, is_trial);
                }
            }
        }
    }

    /// Takes over that an endpoint broke off a request.
    fn on_broken(&self, content: Fingerprint, instance: &Arc<str>, is_trial: bool) {
        let crash = Crash {
            instance: instance.clone(),
            is_trial,
            at_ms: self.unix_ms(),
        };
        let report = CrashReport { content, crash };
        if self.on_crash(report.clone()) == CrashEffect::Suspected {
            let crashes = self.table.borrow().crashes(&content);
            log::info!(content:%, instance = &**instance, crashes; "a request is suspected of a crash");
        }
        if self.is_store_late.get() {
            self.tell_on(std::slice::from_ref(&report));
        }
        self.reports.borrow_mut().push(report);
        self.to_write.notify_one();
    }

    /// Takes over that a request was answered with success.
    fn on_success<Content>(&self, content: Content)
    where
        Content: FnOnce() -> Fingerprint,
    {
        if self.table.borrow().is_empty() {
            return;
        }
        let content = content();
        let was_held = self.verdict(&content) != Verdict::Allowed;
        let Some(mut crashes) = self.table.borrow_mut().on_success(&content) else {
            return;
        };
        let untold = self.reports.borrow_mut().drop_content(&content);
        let is_told = |crash: &Crash| {
            let to_peers = self.told_peers.borrow();
            let mut to_peers = to_peers.iter().filter(|told| told.content == content);
            !untold.contains(crash) || to_peers.any(|told| told.crash == *crash)
        };
        crashes.retain(is_told);
        if was_held {
            log::info!(content:%; "a request that was held back is answered and free again");
            self.instruments.count("quarantine", "cleared");
        }
        if !crashes.is_empty() {
            match self.is_store_late.get() {
                true => self.clear_at_peers(&[content]),
                false => self.freed.borrow_mut().push(content),
            }
        }
        self.remove(content, &crashes);
        self.note_change();
    }

    /// Forgets what ends by itself, and takes it out of the store if this daemon is the one to do so.
    pub(crate) fn expire(&self, is_first: bool) {
        if self.table.borrow().is_empty() {
            return;
        }
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

    fn on_crash(&self, report: CrashReport) -> CrashEffect {
        let CrashReport { content, mut crash } = report;
        // A clock that is ahead must not lengthen a hold.
        crash.at_ms = crash.at_ms.min(self.unix_ms());
        let instance = crash.instance.clone();
        let news = self.table.borrow_mut().on_crash(content, crash);
        if news == CrashEffect::Held {
            let crashes = self.table.borrow().crashes(&content);
            log::warn!(content:%, instance = &*instance, crashes, verdict:? = self.verdict(&content); "a request is held back");
            self.instruments.count("quarantine", "held");
        }
        if news != CrashEffect::Known {
            self.note_change();
        }
        news
    }

    fn note_change(&self) {
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
        self.notes.borrow_mut().extend(removals);
        self.to_write.notify_one();
    }

    fn on_record(&self, told: Told) {
        match told {
            Told::Crash(report) => {
                self.on_crash(report);
                return;
            }
            Told::Trial(note) => self.on_trial(note),
            Told::Cleared(content) => {
                self.forget(&content);
            }
        }
        self.note_change();
    }

    /// Takes over that another daemon knows a request to be free; says whether it was suspected here.
    fn forget(&self, content: &Fingerprint) -> bool {
        self.reports.borrow_mut().drop_content(content);
        self.table.borrow_mut().on_success(content).is_some()
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
            match decode_record(record) {
                Some(told) => self.on_record(told),
                None => log::error!(key = &*record.key; "a record of a crash cannot be read"),
            }
        }
    }

    fn on_fresh(&self) {
        self.is_known.set(true);
        self.has_read.notify_waiters();
    }

    fn on_gap(&self) {
        self.has_gap.set(true);
    }
}

fn content_of(record: &KeyedRecord) -> Option<Fingerprint> {
    match decode_record(record)? {
        Told::Crash(report) => Some(report.content),
        Told::Trial(note) => Some(note.content),
        Told::Cleared(content) => Some(content),
    }
}
