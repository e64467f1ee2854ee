//! The simulated system: members, endpoints and a trainer.

use std::sync::Arc;

use borageshore_base::{ResultCode, SortedMap};
use borageshore_log::Fold;
use borageshore_rollout::{
    Delivery, JobPlan, PullDecision, PullView, Sample, Segment, StalenessBound, WeightVersions,
};
use borageshore_routing::{Attempt, AttemptEvent, KeyDecision, KeyPrefix, Outcome, StoredAnswer};
use borageshore_settings::{Edit, SettingValue, SettingsChange, SettingsRecord};

use crate::{
    log::MemoryLog,
    member::Member,
    oracle::{Oracle, Violation},
};

/// The name of the only job.
pub const JOB: &str = "job";
/// The log stream of its ledger.
pub(crate) const LEDGER: &str = "ledger-job";
const TICK_MS: u64 = 100;
const SETTLE_ROUNDS: u64 = 30;

/// The shard of the only job.
pub(crate) fn shard_of_job() -> Arc<str> {
    "job/job".into()
}

/// The reply to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallReply {
    /// The result code.
    pub code: ResultCode,
    /// Whether the call ran.
    pub outcome: Outcome,
}

/// The reply to a pull.
#[derive(Debug, Clone, PartialEq)]
pub enum PullReply {
    /// A delivery, which may have no samples.
    Delivered(Delivery),
    /// A refusal.
    Refused(ResultCode),
    /// No delivery is ready yet.
    Nothing,
}

/// The state that the trainer keeps.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TrainerState {
    /// The highest sample number that was received or skipped.
    pub cursor: u64,
    /// The highest epoch of an accepted delivery.
    pub epoch: u64,
}

/// The simulated system that a scenario drives.
#[derive(Debug)]
pub struct World {
    /// The true time; the clocks of members may differ.
    pub now_ms: u64,
    /// The log.
    pub log: MemoryLog,
    /// The members that have not crashed, by name.
    pub members: SortedMap<Arc<str>, Member>,
    /// Runs of each request key at the plain service.
    pub runs: SortedMap<Arc<str>, u64>,
    /// Whether the response to the next run is lost.
    pub lose_next_run: bool,
    /// The engine's weight version.
    pub engine_version: u64,
    /// The highest epoch of an order that the engine has accepted.
    pub engine_epoch: u64,
    /// The newest published weight version.
    pub target_version: u64,
    /// The trainer's state.
    pub trainer: TrainerState,
    /// Checks the invariants.
    pub oracle: Oracle,
    next_incarnation: u64,
}

impl World {
    /// Creates a world with members of these names, ranked as candidates in this order.
    pub fn open(names: &[&str]) -> Self {
        let mut world = Self {
            now_ms: 1_000,
            log: MemoryLog::default(),
            members: SortedMap::default(),
            runs: SortedMap::default(),
            lose_next_run: false,
            engine_version: 1,
            engine_epoch: 0,
            target_version: 1,
            trainer: TrainerState::default(),
            oracle: Oracle::default(),
            next_incarnation: 1,
        };
        for name in names {
            world.start(name);
        }
        world
    }

    /// Starts a member, or restarts it after a crash.
    pub fn start(&mut self, name: &str) {
        let rank = self.members.len() as u64;
        let member = Member::open(name, self.next_incarnation, rank);
        self.next_incarnation += 1;
        self.members.insert(name.into(), member);
    }

    /// Removes a member without a clean shutdown.
    pub fn crash(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// A member that has neither crashed nor is paused.
    pub fn running_member(&mut self, name: &str) -> Option<&mut Member> {
        self.members
            .get_mut(name)
            .filter(|member| !member.is_paused)
    }

    /// Runs one round of a member's event loop, unless it is paused or has crashed.
    pub fn tick(&mut self, name: &str) {
        let now_ms = self.now_ms;
        let member = self.members.get_mut(name);
        let Some(member) = member.filter(|member| !member.is_paused) else {
            return;
        };
        let has_outage = self.log.has_outage;
        self.log.has_outage |= member.is_partitioned;
        member.tick(&mut self.log, now_ms);
        self.log.has_outage = has_outage;
    }

    /// Advances the clock and runs every member's event loop once per tick.
    pub fn advance(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS.min(until_ms - self.now_ms);
            let names: Vec<Arc<str>> = self.members.keys().cloned().collect();
            for name in names {
                self.tick(&name);
            }
            self.check_holders();
        }
    }

    fn check_holders(&mut self) {
        let holders = self.members.values().filter_map(|member| {
            let epoch = member.epoch(&shard_of_job(), self.now_ms)?;
            (!member.is_paused).then(|| (member.name.clone(), epoch))
        });
        self.oracle.on_holders(holders.collect());
    }

    /// Advances the clock until a member may act for the job, by at most a minute.
    pub fn advance_until_holder(&mut self, name: &str) {
        self.advance_until(|world| {
            let member = world.members.get(name);
            member.is_some_and(|member| member.epoch(&shard_of_job(), world.now_ms).is_some())
        });
    }

    /// Advances the clock until an append is delayed, by at most a minute.
    pub fn advance_until_delayed(&mut self) {
        self.advance_until(|world| world.log.delayed() > 0);
    }

    fn advance_until<Reached>(&mut self, reached: Reached)
    where
        Reached: Fn(&World) -> bool,
    {
        let until_ms = self.now_ms + 60_000;
        while self.now_ms < until_ms && !reached(self) {
            self.advance(TICK_MS);
        }
    }

    /// Runs enough rounds for all members to read and append all pending records.
    pub fn settle(&mut self) {
        self.advance(SETTLE_ROUNDS * TICK_MS);
    }

    /// Proposes a settings change through a member; returns its sequence number.
    pub fn propose(&mut self, name: &str, change: SettingsChange) -> Option<u64> {
        let member = self.running_member(name)?;
        Some(
            member
                .settings
                .proposer
                .propose(SettingsRecord::Change(change)),
        )
    }

    /// An edit of one key, based on the revision that a member sees now.
    pub fn edit(
        &self,
        name: &str,
        node: &str,
        key: &str,
        value: Option<SettingValue>,
    ) -> Option<Edit> {
        let member = self.members.get(name)?;
        let based_on = member.settings.follower.fold().tree().revision(node, key);
        Some(Edit {
            node: node.into(),
            key: key.into(),
            value,
            based_on,
        })
    }

    /// Has a member append a snapshot of its settings.
    pub fn snapshot_settings(&mut self, name: &str) {
        let Some(member) = self.running_member(name) else {
            return;
        };
        let next_offset = member.settings.follower.applied_offset();
        let snapshot = member.settings.follower.fold().snapshot();
        let record = SettingsRecord::Snapshot {
            next_offset,
            snapshot,
        };
        member.settings.proposer.propose(record);
    }

    /// Calls the plain service through a member, with a request key that may run at most once.
    pub fn call(&mut self, name: &str, key: &str) -> Option<CallReply> {
        self.running_member(name)?;
        let Some(prefix) = KeyPrefix::parse(key) else {
            return Some(CallReply {
                code: ResultCode::KeyWithoutPrefix,
                outcome: Outcome::NotRun,
            });
        };
        let owner = prefix.daemon.clone();
        let is_owner_running = self
            .running_member(&owner)
            .is_some_and(|owner| owner.keys.owns(&prefix));
        if !is_owner_running {
            return Some(CallReply {
                code: ResultCode::KeyOwnerGone,
                outcome: Outcome::Unknown,
            });
        }
        let true_ms = self.now_ms;
        let member = self.running_member(&owner)?;
        let now_ms = member.local_ms(true_ms);
        let decision = member.keys.decide(key, &prefix, now_ms);
        let reply = match decision {
            KeyDecision::Run => self.run(&owner, key),
            KeyDecision::Wait => CallReply {
                code: ResultCode::EndpointLost,
                outcome: Outcome::Unknown,
            },
            KeyDecision::Replay(answer) => replay(answer.code),
            KeyDecision::Refuse(ResultCode::KeyMemoryFull) => CallReply {
                code: ResultCode::KeyMemoryFull,
                outcome: Outcome::NotRun,
            },
            KeyDecision::Refuse(code) => CallReply {
                code,
                outcome: Outcome::Unknown,
            },
        };
        self.oracle
            .on_call(key, reply, self.runs.get(key).copied().unwrap_or(0));
        Some(reply)
    }

    fn run(&mut self, owner: &Arc<str>, key: &str) -> CallReply {
        let mut attempt = Attempt::open();
        attempt.on_event(AttemptEvent::Start);
        attempt.on_event(AttemptEvent::Connected);
        attempt.on_event(AttemptEvent::Sent);
        *self.runs.get_or_insert_with(key.into(), || 0) += 1;
        let is_lost = std::mem::take(&mut self.lose_next_run);
        attempt.on_event(if is_lost {
            AttemptEvent::Lost
        } else {
            AttemptEvent::Answered
        });
        let code = if is_lost {
            ResultCode::EndpointLost
        } else {
            ResultCode::Done
        };
        let answer = StoredAnswer {
            code,
            status: code.http_status(),
            content_type: "text/plain".into(),
            body: Vec::new(),
            detail: String::new(),
        };
        if let Some(member) = self.members.get_mut(owner) {
            member.keys.on_answer(key, answer);
        }
        CallReply {
            code,
            outcome: attempt.outcome(),
        }
    }

    /// Generates all samples that the job's owner orders, with the engine's current weights; returns their
    /// number.
    pub fn generate(&mut self, name: &str) -> usize {
        let (true_ms, version) = (self.now_ms, self.engine_version);
        let versions = WeightVersions {
            target: self.target_version,
            oldest_served: self.engine_version,
        };
        let Some(member) = self.running_member(name) else {
            return 0;
        };
        let now_ms = member.local_ms(true_ms);
        let may_act = member.epoch(&shard_of_job(), true_ms).is_some();
        let Some((_, controller)) = member.job.as_mut().filter(|_| may_act) else {
            return 0;
        };
        let orders = controller.tick(&plan(), versions, now_ms);
        let count = orders.len();
        for order in orders {
            let sample = Sample {
                id: order.id,
                group: order.group,
                prompt: "prompt".into(),
                tokens: vec!["token".into()],
                segments: vec![Segment {
                    version,
                    token_count: 1,
                }],
                score: None,
                age_ms: 0,
            };
            controller.on_sample(sample, now_ms, now_ms);
        }
        count
    }

    /// Pulls samples from a member as the trainer. A delivery takes effect only with [`World::accept`], so
    /// that it can be lost or delayed.
    pub fn pull(&mut self, name: &str) -> PullReply {
        let view = PullView {
            cursor: self.trainer.cursor,
            seen_epoch: self.trainer.epoch,
            max_samples: 4,
            target_version: self.target_version,
        };
        let true_ms = self.now_ms;
        let Some(member) = self.running_member(name) else {
            return PullReply::Nothing;
        };
        let now_ms = member.local_ms(true_ms);
        let may_act = member.epoch(&shard_of_job(), true_ms).is_some();
        let Some((ledger, controller)) = member.job.as_mut().filter(|_| may_act) else {
            return PullReply::Refused(ResultCode::NotOwner);
        };
        match controller.on_pull(ledger.follower.fold(), &plan(), view, now_ms) {
            PullDecision::Deliver(delivery) => PullReply::Delivered(delivery),
            PullDecision::Refuse(code) => PullReply::Refused(code),
            PullDecision::Wait => PullReply::Nothing,
            PullDecision::Append(record) => {
                ledger.proposer.propose(record);
                PullReply::Nothing
            }
        }
    }

    /// Accepts a delivery as the trainer, unless its epoch is outdated.
    pub fn accept(&mut self, delivery: &Delivery) {
        if delivery.epoch < self.trainer.epoch {
            return;
        }
        self.oracle
            .on_delivery(self.trainer.cursor, delivery, self.target_version);
        self.trainer.epoch = delivery.epoch;
        self.trainer.cursor = delivery.through;
    }

    /// Sends a weight order to the engine; returns whether it was accepted.
    pub fn order(&mut self, epoch: u64, version: u64) -> bool {
        if epoch < self.engine_epoch {
            return false;
        }
        self.engine_epoch = epoch;
        self.engine_version = version;
        true
    }

    /// Checks the invariants; the error is the first violation.
    pub fn check(&mut self) -> Result<(), Violation> {
        self.check_holders();
        for member in self.members.values() {
            self.oracle.on_settings(member);
        }
        self.oracle.on_runs(&self.runs);
        self.oracle.verdict()
    }
}

fn replay(code: ResultCode) -> CallReply {
    let outcome = if code == ResultCode::Done {
        Outcome::Done
    } else {
        Outcome::Unknown
    };
    CallReply { code, outcome }
}

/// The plan of the only job.
pub(crate) fn plan() -> JobPlan {
    JobPlan {
        groups_per_step: 2,
        samples_per_group: 2,
        steps_ahead: 2,
        staleness_bound: StalenessBound {
            versions: 1,
            age_ms: 60_000,
        },
    }
}
