//! Detection and quarantine of requests that crash the endpoints which run them.
//!
//! Such a request is never answered: it crashes every endpoint that starts it, while the requests that shared an
//! endpoint with it succeed elsewhere. So only consecutive crashes on different endpoints count, and one success
//! clears a request.

use std::sync::Arc;

use borageshore_base::SortedMap;

use crate::fingerprint::Fingerprint;

/// Consecutive crashes on different endpoints after which a request is held. Two may be a coincidence: when a zone is
/// lost, the endpoint of a second attempt can crash as well.
const CRASHES_TO_HOLD: usize = 3;
/// How long a request is held before its next trial, by step. A trial advances by one step, one that crashed
/// its endpoint by two.
///
/// The first step is short so that a harmless request with three coincidental crashes is cleared soon. The second
/// follows a trial without a result, for example on a full endpoint. The last one limits a request that keeps crashing
/// endpoints to one trial a day. A request that crashes its endpoints has three trials in the first seven hours, and
/// one a day after that.
const HOLD_STEPS_MS: [u64; 6] = [1_000, 10_000, 600_000, HOUR_MS, 6 * HOUR_MS, 24 * HOUR_MS];
/// The same for reward calls, which accepted items wait for: one that met crashes by coincidence is tried again within
/// 10 s, and one that crashes its endpoints has at most three trials in any 15 s after the first.
const REWARD_HOLD_STEPS_MS: [u64; 6] = [1_000, 2_000, 5_000, 10_000, 10_000, 10_000];
const HOUR_MS: u64 = 3_600_000;
/// Time after the last crash at which a suspicion expires. Callers repeat a failed request
/// within minutes.
const SUSPICION_MS: u64 = HOUR_MS;
/// Time after the end of its hold at which the entry of a request that was not sent again expires. The software that it
/// crashed is assumed to be replaced by then.
const HELD_RETENTION_MS: u64 = 24 * HOUR_MS;
/// Time after which a trial without a result is over. Longer than any call may take.
const TRIAL_TIMEOUT_MS: u64 = 5_000;
/// Delay before a cancelled trial is due again. Short, as a caller may be waiting for an endpoint to come up.
const CANCELLED_TRIAL_DELAY_MS: u64 = 200;
/// Reports of crashes of one endpoint less than this apart describe the same crash: an endpoint takes longer
/// than this to restart.
const SAME_CRASH_MS: u64 = 2_000;
/// The maximum number of trials that do not count because another request crashed the same endpoint. Without a limit, a
/// request that does crash endpoints could be tried without end.
const MAX_UNCOUNTED_SHARED_TRIALS: u64 = 1;
/// The maximum number of trials of reward calls at the same time. It starts at one, grows by one with each that succeeds
/// and returns to one when one crashes its endpoint: many harmless calls that met a burst of crashes are cleared in a few
/// rounds, and many that crash endpoints are tried one after the other.
const MAX_REWARD_TRIALS: usize = 64;
/// Capacity of the quarantine in requests. Sized for 680 daemons with 240 VM failures a day over seven hours.
const MAX_ENTRIES: usize = 4_096;
/// Crashes that are kept for each request. Those of its trials are always kept.
const MAX_CRASHES: usize = 8;

/// What a request is, which decides how long it is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A caller's request. It may crash endpoints by itself, and its caller is told when to repeat it.
    Call,
    /// The reward call of an accepted item.
    RewardCall,
}

impl RequestKind {
    fn hold_steps_ms(self) -> [u64; 6] {
        match self {
            RequestKind::Call => HOLD_STEPS_MS,
            RequestKind::RewardCall => REWARD_HOLD_STEPS_MS,
        }
    }
}

/// The crash of an endpoint while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The name of the endpoint.
    pub instance: Arc<str>,
    /// Whether the request was sent there as a trial.
    pub is_trial: bool,
    /// When it crashed, in Unix time.
    pub at_ms: u64,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldDecision {
    /// It may be sent.
    Allowed,
    /// It is held and may not be sent.
    Held {
        /// How long to wait before asking again.
        retry_after_ms: u64,
    },
    /// Its hold is over: one daemon, which has to claim the trial first, may send it once.
    TrialDue,
}

/// The effect of a crash report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEffect {
    /// None: the crash was known, or the limit of crashes for the request is reached.
    Known,
    /// The request is suspected but may still be sent.
    Suspected,
    /// The request is held, or held for longer than before.
    Held,
}

#[derive(Debug, Default)]
struct Entry {
    /// The crashes of different endpoints since the last success.
    crashes: Vec<Crash>,
    trials: u64,
    /// When the last trial started or ended.
    last_trial_ms: u64,
    /// The earliest time of the next trial.
    no_trial_before_ms: u64,
}

impl Entry {
    fn is_held(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_HOLD
    }

    /// The end of the hold, or `None` if the request is only suspected. `shared_trials` is the number of trials whose
    /// endpoint another request crashed at the same time; they prove nothing.
    fn held_until_ms(&self, kind: RequestKind, shared_trials: u64) -> Option<u64> {
        if !self.is_held() {
            return None;
        }
        let failed = self.failed_trials() - shared_trials;
        let counted_trials = self
            .trials
            .saturating_sub(shared_trials.min(MAX_UNCOUNTED_SHARED_TRIALS));
        let step = (counted_trials.max(failed) + failed) as usize;
        let steps_ms = kind.hold_steps_ms();
        let hold_ms = steps_ms[step.min(steps_ms.len() - 1)];
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
        match self.held_until_ms(RequestKind::Call, 0) {
            Some(until_ms) => until_ms + HELD_RETENTION_MS,
            None => self.last_crash_ms() + SUSPICION_MS,
        }
    }
}

/// A trial in progress: a single send of a held request to see whether it still crashes endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Trial {
    content: Fingerprint,
    kind: RequestKind,
    claim: Arc<str>,
    started_at_ms: u64,
    /// When the trial before this one started or ended.
    previous_trial_ms: u64,
}

impl Trial {
    fn times_out_at_ms(&self) -> u64 {
        self.started_at_ms + TRIAL_TIMEOUT_MS
    }
}

/// The requests that are suspected of crashing endpoints, as reported by all daemons.
///
/// Guards against a request that is repeated at any daemon and crashes one endpoint after another until none
/// is left for other calls. Daemons that apply the same reports in the same order hold the same requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: SortedMap<Fingerprint, Entry>,
    /// No other beside one of a call: if two requests share an endpoint that crashes, either may be the cause.
    trials: Vec<Trial>,
    /// Reward calls beyond the first one that may be tried at the same time.
    extra_reward_trials: usize,
}

impl Quarantine {
    /// Returns whether no request is suspected or held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request is suspected or held.
    pub fn is_suspected(&self, content: &Fingerprint) -> bool {
        self.entries.contains_key(content)
    }

    /// The number of endpoints that a request has crashed since its last success.
    pub fn crashes(&self, content: &Fingerprint) -> usize {
        let entry = self.entries.get(content);
        entry.map_or(0, |entry| entry.crashes.len())
    }

    /// Records that an endpoint crashed while it ran a request.
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
        let is_failed_trial = crash.is_trial;
        entry.crashes.push(crash);
        let is_held = entry.is_held();
        if self.end_trial(&content) == Some(RequestKind::RewardCall) && is_failed_trial {
            self.extra_reward_trials = 0;
        }
        match is_held {
            true => CrashEffect::Held,
            false => CrashEffect::Suspected,
        }
    }

    /// Records that a request succeeded, which clears it. Returns the crashes that had been counted against
    /// it, or `None` if it was not suspected.
    pub fn on_success(&mut self, content: &Fingerprint) -> Option<Vec<Crash>> {
        if self.end_trial(content) == Some(RequestKind::RewardCall) {
            let extra = self.extra_reward_trials + 1;
            self.extra_reward_trials = extra.min(MAX_REWARD_TRIALS - 1);
        }
        Some(self.entries.remove(content)?.crashes)
    }

    /// Returns whether a call may be sent now.
    pub fn decision(&self, content: &Fingerprint, now_ms: u64) -> HoldDecision {
        self.decision_for(RequestKind::Call, content, now_ms)
    }

    /// Returns whether a request may be sent now.
    pub fn decision_for(
        &self,
        kind: RequestKind,
        content: &Fingerprint,
        now_ms: u64,
    ) -> HoldDecision {
        let entry = self.entries.get(content);
        let held_until_ms =
            entry.map(|entry| entry.held_until_ms(kind, self.shared_trials(content, entry)));
        let Some(until_ms) = held_until_ms.flatten() else {
            return HoldDecision::Allowed;
        };
        let until_ms = until_ms.max(self.trials_until_ms(kind, content, now_ms));
        match until_ms.checked_sub(now_ms) {
            Some(retry_after_ms) if retry_after_ms > 0 => HoldDecision::Held { retry_after_ms },
            _ => HoldDecision::TrialDue,
        }
    }

    /// How long trials in progress, also those of other requests, delay one of a request.
    fn trials_until_ms(&self, kind: RequestKind, content: &Fingerprint, now_ms: u64) -> u64 {
        let is_exclusive = |trial: &&Trial| {
            kind == RequestKind::Call
                || trial.kind == RequestKind::Call
                || trial.content == *content
        };
        let exclusive = self.trials.iter().filter(is_exclusive);
        let exclusive_until_ms = exclusive.map(Trial::times_out_at_ms).max().unwrap_or(0);
        let all = self.trials.iter().map(Trial::times_out_at_ms);
        let mut running: Vec<u64> = all.filter(|until_ms| now_ms < *until_ms).collect();
        running.sort_unstable();
        let surplus = running.len().checked_sub(1 + self.extra_reward_trials);
        let place_free_at_ms = surplus.map_or(0, |surplus| running[surplus]);
        exclusive_until_ms.max(place_free_at_ms)
    }

    /// The number of trials of a request so far.
    pub fn trials(&self, content: &Fingerprint) -> u64 {
        let entry = self.entries.get(content);
        entry.map_or(0, |entry| entry.trials)
    }

    /// Records that a daemon claims trial `number` of a call. The first of several claims wins.
    pub fn on_claim(&mut self, content: Fingerprint, claim: Arc<str>, number: u64, now_ms: u64) {
        self.on_claim_for(RequestKind::Call, content, claim, number, now_ms);
    }

    /// Records that a daemon claims trial `number` of a request. The first of several claims wins.
    pub fn on_claim_for(
        &mut self,
        kind: RequestKind,
        content: Fingerprint,
        claim: Arc<str>,
        number: u64,
        now_ms: u64,
    ) {
        if self.decision_for(kind, &content, now_ms) != HoldDecision::TrialDue {
            return;
        }
        let entry = self.entries.get(&content);
        let previous_trial_ms = entry.map_or(0, |entry| entry.last_trial_ms);
        self.trials.retain(|trial| now_ms < trial.times_out_at_ms());
        self.trials.push(Trial {
            content,
            kind,
            claim,
            started_at_ms: now_ms,
            previous_trial_ms,
        });
        self.count_trial(&content, number, now_ms);
    }

    /// Records that trial `number` of a request is over, whatever its result.
    pub fn on_trial_finished(
        &mut self,
        content: &Fingerprint,
        claim: &str,
        number: u64,
        now_ms: u64,
    ) {
        let is_another = |trial: &Trial| trial.content == *content && &*trial.claim != claim;
        // A late report of an earlier trial must not end the current one.
        if self.trials.iter().any(is_another) {
            return;
        }
        self.end_trial(content);
        self.count_trial(content, number, now_ms);
    }

    /// Records that a claimed trial was not sent, because no endpoint was available or its caller's deadline
    /// had passed.
    pub fn on_trial_cancelled(&mut self, content: &Fingerprint, claim: &str, now_ms: u64) {
        let Some(at) = self.trials.iter().position(|trial| &*trial.claim == claim) else {
            return;
        };
        let trial = self.trials.remove(at);
        if let Some(entry) = self.entries.get_mut(content) {
            entry.trials = entry.trials.saturating_sub(1);
            entry.last_trial_ms = trial.previous_trial_ms;
            entry.no_trial_before_ms = now_ms + CANCELLED_TRIAL_DELAY_MS;
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

    /// Returns whether a trial in progress belongs to a claim.
    pub fn has_trial(&self, claim: &str) -> bool {
        self.trials.iter().any(|trial| &*trial.claim == claim)
    }

    /// Ends the trial of a request; returns the request's kind if there was one.
    fn end_trial(&mut self, content: &Fingerprint) -> Option<RequestKind> {
        let at = self
            .trials
            .iter()
            .position(|trial| trial.content == *content)?;
        Some(self.trials.remove(at).kind)
    }

    /// Removes the requests whose retention is over and returns them with their crashes.
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

    /// Removes all requests but those in `contents`.
    pub fn keep_only(&mut self, contents: &[Fingerprint]) {
        self.entries.retain(|content, _| contents.contains(content));
    }

    /// The number of requests that are held or due for a trial.
    pub fn held_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.is_held()).count()
    }

    /// The endpoints that crashed under any request within the last two seconds.
    pub fn recently_crashed(&self, now_ms: u64) -> Vec<Arc<str>> {
        let crashes = self.entries.values().flat_map(|entry| &entry.crashes);
        let recent = crashes.filter(|crash| now_ms < crash.at_ms + SAME_CRASH_MS);
        recent.map(|crash| crash.instance.clone()).collect()
    }

    /// The number of a request's failed trials in which another request crashed the same endpoint.
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

    /// The number of requests that are suspected or held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Evicts the request with the fewest crashes, of several the one that crashed longest ago, if the table is full.
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
