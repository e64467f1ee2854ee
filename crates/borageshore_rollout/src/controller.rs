//! The controller of a job, run by its owner: selects the samples to generate and to deliver.

use std::sync::Arc;

use borageshore_base::{ResultCode, SortedMap};
use hdrhistogram::Histogram;

use crate::{
    ledger::{Ledger, LedgerRecord},
    sample::{Delivery, Sample, StalenessBound},
};

/// The upper limit of the duration histogram; longer durations are recorded as this.
const MAX_DURATION_MS: u64 = 3_600_000;
/// The minimum straggler threshold.
const STRAGGLER_MIN_MS: u64 = 1_000;
/// The straggler threshold as a multiple of the job's 95th percentile of durations.
const STRAGGLER_FACTOR: u64 = 2;
/// The minimum number of recorded durations for the percentile to be used.
const STRAGGLER_MIN_DURATIONS: u64 = 20;
/// The maximum number of attempts that run for one sample at once.
const MAX_CONCURRENT_ATTEMPTS: u32 = 2;
/// The pause after a failed attempt.
const RETRY_AFTER_MS: u64 = 200;

/// The settings of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobPlan {
    /// The number of groups in a training step.
    pub groups_per_step: u64,
    /// The number of samples in a group.
    pub samples_per_group: u64,
    /// The number of steps that may be generated ahead of the trainer.
    pub steps_ahead: u64,
    /// The staleness bound of delivered samples.
    pub staleness_bound: StalenessBound,
}

/// The weight versions of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightVersions {
    /// The newest published version.
    pub target: u64,
    /// The oldest version that an engine is known to serve.
    pub oldest_served: u64,
}

/// An order to start an attempt at a sample.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleOrder {
    /// The id of the sample.
    pub id: Arc<str>,
    /// The group of the sample.
    pub group: u64,
    /// The number of the attempt, 0 for the first.
    pub attempt: u32,
}

/// The reaction to a pull.
#[derive(Debug, Clone, PartialEq)]
pub enum PullDecision {
    /// Deliver these samples.
    Deliver(Delivery),
    /// Append this to the ledger and call again once it is applied.
    Append(LedgerRecord),
    /// Call again later: no complete group is ready, or a ledger record is still pending.
    Wait,
    /// Refuse the pull with this code.
    Refuse(ResultCode),
}

/// Counters since the controller was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Samples generated.
    pub generated: u64,
    /// Results dropped because their sample had already finished or is no longer needed.
    pub repeated: u64,
    /// Samples dropped because of the staleness bound.
    pub stale: u64,
    /// Further attempts started for stragglers.
    pub replaced: u64,
    /// Attempts that failed.
    pub failed: u64,
}

#[derive(Debug)]
struct SampleSlot {
    id: Arc<str>,
    running: u32,
    attempts: u32,
    started_at_ms: u64,
    retry_at_ms: u64,
    done: Option<FinishedSample>,
}

#[derive(Debug, Clone)]
struct FinishedSample {
    sample: Sample,
    started_at_ms: u64,
}

#[derive(Debug)]
struct Group {
    slots: Vec<SampleSlot>,
}

impl Group {
    fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.done.is_some())
    }
}

/// One job under one epoch of ownership.
#[derive(Debug)]
pub struct JobController {
    id_prefix: Arc<str>,
    epoch: u64,
    next_group: u64,
    groups: SortedMap<u64, Group>,
    /// Numbered samples that the trainer has not confirmed, by number.
    unconfirmed: SortedMap<u64, FinishedSample>,
    /// Samples whose number assignment has not been applied to the ledger yet.
    assigning: SortedMap<Arc<str>, FinishedSample>,
    durations_ms: Histogram<u64>,
    counts: JobCounts,
    publication_interval: PublicationInterval,
    /// The newest version that produced a token of this job.
    newest_version_seen: u64,
}

impl JobController {
    /// Opens a controller for an accepted claim. Sample ids begin with `id_prefix` and `epoch`, a
    /// combination that must never have been used before.
    pub fn open(id_prefix: Arc<str>, epoch: u64) -> Self {
        Self {
            id_prefix,
            epoch,
            next_group: 0,
            groups: SortedMap::default(),
            unconfirmed: SortedMap::default(),
            assigning: SortedMap::default(),
            durations_ms: Histogram::new_with_max(MAX_DURATION_MS, 2)
                .expect("two significant digits are supported"),
            counts: JobCounts::default(),
            publication_interval: PublicationInterval::default(),
            newest_version_seen: 0,
        }
    }

    /// The epoch of this ownership.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The counters for metrics.
    pub fn counts(&self) -> JobCounts {
        self.counts
    }

    /// The oldest group whose samples have no numbers yet.
    pub fn oldest_group(&self) -> u64 {
        self.groups
            .keys()
            .next()
            .copied()
            .unwrap_or(self.next_group)
    }

    /// The number of finished samples that wait for a pull or its confirmation.
    pub fn buffered(&self) -> usize {
        let finished = |group: &Group| {
            group
                .slots
                .iter()
                .filter(|slot| slot.done.is_some())
                .count()
        };
        self.groups.values().map(finished).sum::<usize>()
            + self.unconfirmed.len()
            + self.assigning.len()
    }

    /// Returns the attempts to start now.
    pub fn tick(
        &mut self,
        plan: &JobPlan,
        versions: WeightVersions,
        now_ms: u64,
    ) -> Vec<SampleOrder> {
        self.publication_interval
            .on_target_version(versions.target, plan);
        self.open_groups(plan, now_ms);
        self.remove_soon_stale(plan, versions.target, now_ms);
        let straggler_threshold_ms = self.straggler_threshold_ms();
        let mut orders = Vec::new();
        for (position, (group, state)) in self.groups.iter_mut().enumerate() {
            let steps_before = position as u64 / plan.groups_per_step;
            let expected_version =
                versions.target + self.publication_interval.publications_before(steps_before);
            let would_be_stale = versions.oldest_served < versions.target
                && versions.oldest_served + plan.staleness_bound.versions < expected_version;
            if would_be_stale {
                // Engines are still loading the target; a sample started now would be stale at its step.
                continue;
            }
            for slot in state.slots.iter_mut().filter(|slot| slot.done.is_none()) {
                let is_due = slot.running == 0 && now_ms >= slot.retry_at_ms;
                let is_straggler = slot.running > 0
                    && slot.running < MAX_CONCURRENT_ATTEMPTS
                    && now_ms >= slot.started_at_ms + straggler_threshold_ms;
                if !is_due && !is_straggler {
                    continue;
                }
                self.counts.replaced += u64::from(is_straggler);
                orders.push(SampleOrder {
                    id: slot.id.clone(),
                    group: *group,
                    attempt: slot.attempts,
                });
                slot.running += 1;
                slot.attempts += 1;
                slot.started_at_ms = now_ms;
            }
        }
        orders
    }

    /// Bounds the groups that are generated, buffered or unconfirmed, so that generation stops when
    /// the trainer stops pulling.
    fn open_groups(&mut self, plan: &JobPlan, now_ms: u64) {
        let unconfirmed =
            (self.unconfirmed.len() + self.assigning.len()) as u64 / plan.samples_per_group;
        let max_groups = (plan.groups_per_step * plan.steps_ahead).saturating_sub(unconfirmed);
        while (self.groups.len() as u64) < max_groups {
            let group = self.next_group;
            self.next_group += 1;
            let slots =
                (0..plan.samples_per_group).map(|index| self.open_slot(group, index, now_ms));
            let slots = slots.collect();
            self.groups.insert(group, Group { slots });
        }
    }

    fn open_slot(&self, group: u64, index: u64, now_ms: u64) -> SampleSlot {
        let id = format!("{}.{}.{group}.{index}", self.id_prefix, self.epoch).into();
        SampleSlot {
            id,
            running: 0,
            attempts: 0,
            started_at_ms: now_ms,
            retry_at_ms: 0,
            done: None,
        }
    }

    fn straggler_threshold_ms(&self) -> u64 {
        if self.durations_ms.len() < STRAGGLER_MIN_DURATIONS {
            return u64::MAX / 2;
        }
        let percentile = self.durations_ms.value_at_quantile(0.95);
        (percentile * STRAGGLER_FACTOR).max(STRAGGLER_MIN_MS)
    }

    fn slot_mut(&mut self, group: u64, id: &str) -> Option<&mut SampleSlot> {
        self.groups
            .get_mut(&group)?
            .slots
            .iter_mut()
            .find(|slot| &*slot.id == id)
    }

    /// Stores a finished sample; only the first attempt to finish is used.
    pub fn on_sample(&mut self, sample: Sample, started_at_ms: u64, now_ms: u64) {
        let versions = sample.segments.iter().map(|segment| segment.version);
        let newest = versions.max().unwrap_or(0);
        let Some(slot) = self.slot_mut(sample.group, &sample.id) else {
            self.counts.repeated += 1;
            return;
        };
        slot.running = slot.running.saturating_sub(1);
        if slot.done.is_some() {
            self.counts.repeated += 1;
            return;
        }
        slot.done = Some(FinishedSample {
            sample,
            started_at_ms,
        });
        self.newest_version_seen = self.newest_version_seen.max(newest);
        self.counts.generated += 1;
        self.durations_ms
            .saturating_record(now_ms.saturating_sub(started_at_ms).max(1));
    }

    /// Schedules a retry after a failed attempt.
    pub fn on_failure(&mut self, group: u64, id: &str, now_ms: u64) {
        self.counts.failed += 1;
        if let Some(slot) = self.slot_mut(group, id) {
            slot.running = slot.running.saturating_sub(1);
            slot.retry_at_ms = now_ms + RETRY_AFTER_MS;
        }
    }

    /// Moves samples to the numbers that the ledger has assigned to them.
    pub fn on_ledger(&mut self, ledger: &Ledger) {
        if self.assigning.is_empty() {
            return;
        }
        let numbered: Vec<(u64, Arc<str>)> = ledger
            .assigned_above(0)
            .map(|(number, id)| (number, id.clone()))
            .collect();
        for (number, id) in numbered {
            if let Some(finished) = self.assigning.remove(&id) {
                self.unconfirmed.insert(number, finished);
            }
        }
    }

    /// Decides on a trainer's pull.
    pub fn on_pull(
        &mut self,
        ledger: &Ledger,
        plan: &JobPlan,
        pull: PullView,
        now_ms: u64,
    ) -> PullDecision {
        // If no tick has processed a publication yet, it still counts as earlier than the samples of this pull.
        self.publication_interval
            .on_target_version(pull.target_version, plan);
        if pull.seen_epoch > self.epoch {
            return PullDecision::Refuse(ResultCode::StaleEpoch);
        }
        if ledger.epoch() != self.epoch {
            return PullDecision::Wait;
        }
        if pull.cursor > ledger.last_number() {
            return PullDecision::Refuse(ResultCode::CursorAhead);
        }
        self.unconfirmed.retain(|number, _| *number > pull.cursor);
        if ledger.last_number() > pull.cursor {
            return PullDecision::Deliver(self.deliver(ledger, plan, pull, now_ms));
        }
        if !self.assigning.is_empty() {
            return PullDecision::Wait;
        }
        self.assign(ledger, plan, pull, now_ms)
    }

    /// Delivers the numbered samples above the cursor. Samples that are stale or were lost with an
    /// earlier owner are left out; their numbers are never reused.
    fn deliver(
        &mut self,
        ledger: &Ledger,
        plan: &JobPlan,
        pull: PullView,
        now_ms: u64,
    ) -> Delivery {
        let mut through = pull.cursor;
        let mut samples = Vec::new();
        for (number, _) in ledger
            .assigned_above(pull.cursor)
            .take(pull.max_samples as usize)
        {
            through = number;
            let Some(finished) = self.unconfirmed.get(&number) else {
                continue;
            };
            let age_ms = now_ms.saturating_sub(finished.started_at_ms);
            if plan
                .staleness_bound
                .permits(&finished.sample.segments, age_ms, pull.target_version)
            {
                samples.push((
                    number,
                    Sample {
                        age_ms,
                        ..finished.sample.clone()
                    },
                ));
            }
        }
        Delivery {
            epoch: self.epoch,
            through,
            target_version: pull.target_version,
            samples,
        }
    }

    fn assign(
        &mut self,
        ledger: &Ledger,
        plan: &JobPlan,
        pull: PullView,
        now_ms: u64,
    ) -> PullDecision {
        self.remove_stale(plan, pull.target_version, now_ms);
        let complete: Vec<u64> = self
            .groups
            .iter()
            .filter(|(_, group)| group.is_complete())
            .map(|(number, _)| *number)
            .take((pull.max_samples / plan.samples_per_group).max(1) as usize)
            .collect();
        if complete.is_empty() {
            return PullDecision::Wait;
        }
        let mut sample_ids = Vec::new();
        for group in complete {
            let group = self.groups.remove(&group).expect("listed just now");
            for slot in group.slots {
                sample_ids.push(slot.id.clone());
                self.assigning
                    .insert(slot.id, slot.done.expect("the group is complete"));
            }
        }
        self.publication_interval
            .on_numbered(sample_ids.len() as u64);
        PullDecision::Append(LedgerRecord::Assign {
            epoch: self.epoch,
            confirmed: pull.cursor,
            first_number: ledger.last_number() + 1,
            sample_ids,
        })
    }

    /// Removes finished samples that will be stale when the trainer pulls their step, so that they are
    /// generated again.
    ///
    /// Guards against a trainer that waits for a whole step: samples generated ahead are within the
    /// bound now, but not after the publications that precede their step. A sample is removed early
    /// only if an engine has served a newer version, so that generating it again helps.
    fn remove_soon_stale(&mut self, plan: &JobPlan, target_version: u64, now_ms: u64) {
        let newest_version_seen = self.newest_version_seen;
        let mut dropped = 0;
        for (position, (_, group)) in self.groups.iter_mut().enumerate() {
            let steps_before = position as u64 / plan.groups_per_step;
            let expected_version =
                target_version + self.publication_interval.publications_before(steps_before);
            for slot in &mut group.slots {
                let will_be_stale = slot.done.as_ref().is_some_and(|done| {
                    let age_ms = now_ms.saturating_sub(done.started_at_ms);
                    let segments = &done.sample.segments;
                    let oldest = segments.iter().map(|segment| segment.version).min();
                    oldest < Some(newest_version_seen)
                        && !plan
                            .staleness_bound
                            .permits(segments, age_ms, expected_version)
                });
                if will_be_stale {
                    slot.done = None;
                    dropped += 1;
                }
            }
        }
        self.counts.stale += dropped;
    }

    /// Removes finished samples that became stale before they were numbered, so that they are generated again.
    fn remove_stale(&mut self, plan: &JobPlan, target_version: u64, now_ms: u64) {
        let mut dropped = 0;
        for (_, group) in self.groups.iter_mut() {
            for slot in &mut group.slots {
                let is_stale = slot.done.as_ref().is_some_and(|done| {
                    let age_ms = now_ms.saturating_sub(done.started_at_ms);
                    !plan
                        .staleness_bound
                        .permits(&done.sample.segments, age_ms, target_version)
                });
                if is_stale {
                    slot.done = None;
                    dropped += 1;
                }
            }
        }
        self.counts.stale += dropped;
    }
}

/// Predicts publications of weights from the number of steps between the trainer's last two.
#[derive(Debug, Default)]
struct PublicationInterval {
    target_version: u64,
    samples_since: u64,
    steps_since: u64,
    steps_per_publication: Option<u64>,
}

impl PublicationInterval {
    fn on_target_version(&mut self, target_version: u64, plan: &JobPlan) {
        let samples_per_step = plan.groups_per_step * plan.samples_per_group;
        self.steps_since = self.samples_since / samples_per_step;
        if target_version > self.target_version {
            self.target_version = target_version;
            self.steps_per_publication = Some(self.steps_since.max(1));
            self.samples_since = 0;
            self.steps_since = 0;
        }
    }

    fn on_numbered(&mut self, samples: u64) {
        self.samples_since += samples;
    }

    /// The number of publications to expect before a step that is preceded by `steps_before` open steps.
    fn publications_before(&self, steps_before: u64) -> u64 {
        match self.steps_per_publication {
            Some(steps) => (self.steps_since + steps_before) / steps,
            None => 0,
        }
    }
}

/// The parameters of a trainer's pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PullView {
    /// The number up to which the trainer has received everything.
    pub cursor: u64,
    /// The highest epoch that the trainer has seen.
    pub seen_epoch: u64,
    /// The maximum number of samples to deliver.
    pub max_samples: u64,
    /// The newest published version.
    pub target_version: u64,
}
