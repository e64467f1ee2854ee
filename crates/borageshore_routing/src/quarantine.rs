//! Requests that crash the endpoints which run them: who is suspected, what is held back and when it is tried
//! again.
//!
//! A request that crashes its endpoint looks like any other whose endpoint crashed. What tells it from those
//! is that it is never answered: it takes down each endpoint that begins to run it, while the requests which shared an
//! endpoint with it are answered elsewhere. So crashes count in a row, over different endpoints, and one success
//! ends all suspicion.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::fingerprint::Fingerprint;

/// Crashes of different endpoints in a row after which a request is held back. A proper request meets two when the
/// endpoint of its second attempt goes as well, as in the loss of a zone.
const CRASHES_TO_HOLD: usize = 3;
/// How long a request is held back before one send may show whether it crashes endpoints still. A trial counts as one
/// step, one that crashed its endpoint as two.
///
/// The first is short, for a proper request that met three crashes by bad luck, all at once where many callers ask
/// the same: its trial clears it. The second is for a trial that showed nothing, at an endpoint that was full. A
/// request that crashes its endpoints has three trials in the first seven hours, and one a day after that.
const HOLD_STEPS_MS: [u64; 6] = [1_000, 10_000, 600_000, HOUR_MS, 6 * HOUR_MS, 24 * HOUR_MS];
const HOUR_MS: u64 = 3_600_000;
/// Suspicion ends this long after the last crash: callers repeat a request that failed within minutes.
const SUSPICION_MS: u64 = HOUR_MS;
/// A request that was held is forgotten when it was not asked for so long after its hold: the software that it
/// crashed has been replaced by then.
const HELD_RETENTION_MS: u64 = 24 * HOUR_MS;
/// A trial without an outcome is over after this time: longer than a call may take to be answered.
const TRIAL_TIMEOUT_MS: u64 = 5_000;
/// A trial that found no endpoint is made again after this time: a caller is kept waiting for no longer than it
/// takes to see an endpoint that is up again.
const UNSENT_TRIAL_DELAY_MS: u64 = 200;
/// Crashes of one endpoint that are told with times no further apart are one crash: an endpoint takes longer to start.
const SAME_CRASH_MS: u64 = 2_000;
/// So many trials are made again as if they had not been made, when another request crashed their endpoints too. A
/// request that crashes endpoints must not have one after the other.
const MAX_UNCOUNTED_SHARED_TRIALS: u64 = 1;
/// Requests that are remembered: those that 680 daemons lose in seven hours of 240 VM failures a day.
const MAX_ENTRIES: usize = 4_096;
/// Crashes that are remembered of one request, those of its trials not counted.
const MAX_CRASHES: usize = 8;

/// An endpoint that crashed under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub instance: Arc<str>,
    /// Whether the request was on trial there.
    pub is_trial: bool,
    /// When it crashed.
    pub at_ms: u64,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// It may not.
    Held {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// One send may show whether it crashes endpoints still; who makes it must be agreed on.
    TrialDue,
}

/// What a crash changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEffect {
    /// It was known.
    Known,
    /// The request is suspected.
    Suspected,
    /// The request is held back from now on, or for longer.
    Held,
}

#[derive(Debug, Default)]
struct Entry {
    /// The crashes of different endpoints since its last success.
    crashes: Vec<Crash>,
    /// The trials that were made, and when the last one began or was over.
    trials: u64,
    last_trial_ms: u64,
    /// No trial begins before.
    no_trial_before_ms: u64,
}

impl Entry {
    fn is_held(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_HOLD
    }

    /// Until when it is held back, if so many of its trials show nothing as another request crashed their
    /// endpoints too; `None` if it is only suspected.
    fn held_until_ms(&self, shared_trials: u64) -> Option<u64> {
        if !self.is_held() {
            return None;
        }
        let failed = self.failed_trials() - shared_trials;
        let made = self
            .trials
            .saturating_sub(shared_trials.min(MAX_UNCOUNTED_SHARED_TRIALS));
        let step = (made.max(failed) + failed) as usize;
        let hold_ms = HOLD_STEPS_MS[step.min(HOLD_STEPS_MS.len() - 1)];
        let until_ms = self.last_crash_ms().max(self.last_trial_ms) + hold_ms;
        Some(until_ms.max(self.no_trial_before_ms))
    }

    fn failed_trials(&self) -> u64 {
        let failed = self.crashes.iter().filter(|crash| crash.is_trial);
        failed.count() as u64
    }

    fn last_crash_ms(&self) -> u64 {
        let times = self.crashes.iter().map(|crash| crash.at_ms);
        times.max().unwrap_or(0)
    }

    fn expires_at_ms(&self) -> u64 {
        match self.held_until_ms(0) {
            Some(until_ms) => until_ms + HELD_RETENTION_MS,
            None => self.last_crash_ms() + SUSPICION_MS,
        }
    }
}

/// The one send that may show whether a held request crashes endpoints still.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Trial {
    content: Fingerprint,
    claim: Arc<str>,
    began_ms: u64,
    /// When the one before began or was over.
    previous_trial_ms: u64,
}

/// The requests that lost endpoints, as all daemons tell of them.
///
/// Guards against a request that crashes each endpoint which begins to run it and comes again at any daemon: 36
/// endpoints of four crashed in 12 s under one such request, and all other calls were refused meanwhile. Daemons
/// that take over the same news in the same order hold the same requests back.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: SortedMap<Fingerprint, Entry>,
    /// One at a time: two suspects that are tried together cannot be told apart.
    trial: Option<Trial>,
}

impl Quarantine {
    /// Says whether nothing is suspected, as on any calm day.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Says whether a request is suspected or held back.
    pub fn is_suspected(&self, content: &Fingerprint) -> bool {
        self.entries.contains_key(content)
    }

    /// The crashes of different endpoints under a request since its last success.
    pub fn crashes(&self, content: &Fingerprint) -> usize {
        let entry = self.entries.get(content);
        entry.map_or(0, |entry| entry.crashes.len())
    }

    /// Takes over that an endpoint crashed under a request.
    pub fn on_crash(&mut self, content: Fingerprint, crash: Crash) -> CrashEffect {
        if !self.entries.contains_key(&content) {
            self.evict_if_full();
        }
        let entry = self.entries.get_or_insert_with(content, Entry::default);
        let is_known = entry
            .crashes
            .iter()
            .any(|known| known.instance == crash.instance);
        let is_over_limit = entry.crashes.len() >= MAX_CRASHES && !crash.is_trial;
        if is_known || is_over_limit {
            return CrashEffect::Known;
        }
        entry.crashes.push(crash);
        let is_held = entry.is_held();
        self.end_trial(&content);
        match is_held {
            true => CrashEffect::Held,
            false => CrashEffect::Suspected,
        }
    }

    /// Takes over that a request was answered with success: whatever crashed before was not its doing. Returns the
    /// crashes that were held against it; `None` if there was no suspicion.
    pub fn on_success(&mut self, content: &Fingerprint) -> Option<Vec<Crash>> {
        self.end_trial(content);
        Some(self.entries.remove(content)?.crashes)
    }

    /// Says whether a request may be sent now.
    pub fn verdict(&self, content: &Fingerprint, now_ms: u64) -> Verdict {
        let entry = self.entries.get(content);
        let held_until_ms =
            entry.map(|entry| entry.held_until_ms(self.shared_trials(content, entry)));
        let Some(until_ms) = held_until_ms.flatten() else {
            return Verdict::Allowed;
        };
        // Requests wait for the trial of another one as well.
        let trial = self
            .trial
            .as_ref()
            .map_or(0, |trial| trial.began_ms + TRIAL_TIMEOUT_MS);
        match until_ms.max(trial).checked_sub(now_ms) {
            Some(retry_after_ms) if retry_after_ms > 0 => Verdict::Held { retry_after_ms },
            _ => Verdict::TrialDue,
        }
    }

    /// The trials of a request so far.
    pub fn trials(&self, content: &Fingerprint) -> u64 {
        let entry = self.entries.get(content);
        entry.map_or(0, |entry| entry.trials)
    }

    /// Takes over that a daemon claims a trial of a request, by its number. Of several claims the first counts.
    pub fn on_claim(&mut self, content: Fingerprint, claim: Arc<str>, number: u64, now_ms: u64) {
        if self.verdict(&content, now_ms) != Verdict::TrialDue {
            return;
        }
        let entry = self.entries.get(&content);
        self.trial = Some(Trial {
            content,
            claim,
            began_ms: now_ms,
            previous_trial_ms: entry.map_or(0, |entry| entry.last_trial_ms),
        });
        self.count_trial(&content, number, now_ms);
    }

    /// Takes over that a trial of a request was made, by its number, whatever came of it.
    pub fn on_trial_finished(
        &mut self,
        content: &Fingerprint,
        claim: &str,
        number: u64,
        now_ms: u64,
    ) {
        let trial = self.trial.as_ref();
        let is_another = |trial: &Trial| trial.content == *content && &*trial.claim != claim;
        // One that is told late must not end the trial after it.
        if trial.is_some_and(is_another) {
            return;
        }
        self.end_trial(content);
        self.count_trial(content, number, now_ms);
    }

    /// Takes over that a trial of a request was not made, as no endpoint was there to send it to, or the claim came
    /// too late for its caller.
    pub fn on_trial_cancelled(&mut self, content: &Fingerprint, claim: &str, now_ms: u64) {
        let Some(trial) = self.trial.take_if(|trial| &*trial.claim == claim) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(content) {
            entry.trials = entry.trials.saturating_sub(1);
            entry.last_trial_ms = trial.previous_trial_ms;
            entry.no_trial_before_ms = now_ms + UNSENT_TRIAL_DELAY_MS;
        }
    }

    fn count_trial(&mut self, content: &Fingerprint, number: u64, now_ms: u64) {
        if let Some(entry) = self.entries.get_mut(content)
            && number >= entry.trials
        {
            entry.trials = number;
            entry.last_trial_ms = entry.last_trial_ms.max(now_ms);
        }
    }

    /// Says whether a claim has the trial.
    pub fn has_trial(&self, claim: &str) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|trial| &*trial.claim == claim)
    }

    fn end_trial(&mut self, content: &Fingerprint) {
        self.trial.take_if(|trial| trial.content == *content);
    }

    /// Forgets what ends by itself; returns it with the crashes that were held against it.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(Fingerprint, Vec<Crash>)> {
        let mut ended = Vec::new();
        self.entries.retain(|content, entry| {
            let stays = now_ms < entry.expires_at_ms();
            if !stays {
                ended.push((*content, std::mem::take(&mut entry.crashes)));
            }
            stays
        });
        ended
    }

    /// Forgets the requests that are not among some.
    pub fn keep_only(&mut self, contents: &[Fingerprint]) {
        self.entries.retain(|content, _| contents.contains(content));
    }

    /// The requests that are held back or wait for a trial.
    pub fn held_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_held()).count()
    }

    /// The endpoints that crashed under any request not long ago.
    pub fn crashed_lately(&self, now_ms: u64) -> Vec<Arc<str>> {
        let crashes = self.entries.values().flat_map(|entry| &entry.crashes);
        let lately = crashes.filter(|crash| now_ms < crash.at_ms + SAME_CRASH_MS);
        lately.map(|crash| crash.instance.clone()).collect()
    }

    /// The trials of a request whose endpoints crashed under another one at the same time.
    fn shared_trials(&self, content: &Fingerprint, entry: &Entry) -> u64 {
        let trials = entry.crashes.iter().filter(|crash| crash.is_trial);
        trials
            .filter(|trial| self.is_shared(content, trial))
            .count() as u64
    }

    fn is_shared(&self, content: &Fingerprint, crash: &Crash) -> bool {
        let others = self.entries.iter().filter(|(other, _)| *other != content);
        let mut crashes = others.flat_map(|(_, entry)| &entry.crashes);
        crashes.any(|other| {
            other.instance == crash.instance && other.at_ms.abs_diff(crash.at_ms) < SAME_CRASH_MS
        })
    }

    /// The requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Forgets the request with the fewest crashes, the oldest of these, if there is no room for another.
    fn evict_if_full(&mut self) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let weight =
            |(_, entry): &(&Fingerprint, &Entry)| (entry.crashes.len(), entry.last_crash_ms());
        let evicted = self.entries.iter().min_by_key(weight);
        if let Some((content, _)) = evicted.map(|(content, entry)| (*content, entry)) {
            self.entries.remove(&content);
        }
    }
}
