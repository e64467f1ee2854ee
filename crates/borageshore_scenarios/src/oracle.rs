//! Invariants that are checked against a record of all observed events.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_log::FollowerState;
use borageshore_rollout::Delivery;
use borageshore_routing::Outcome;

use crate::{
    member::Member,
    world::{CallReply, plan},
};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two members may act for one shard at the same time.
    TwoHolders(Vec<(Arc<str>, u64)>),
    /// Two members that folded the same records have different settings.
    SettingsDiffer(u64),
    /// A member's settings reverted to an earlier offset.
    SettingsReverted(Arc<str>),
    /// A request key ran more than once.
    RanTwice(Arc<str>),
    /// A call was answered as not run, but it had run.
    FalseNotRun(Arc<str>),
    /// A sample was delivered twice.
    DeliveredTwice(Arc<str>),
    /// A sample over the staleness bound was delivered.
    Stale(Arc<str>),
    /// A sample without attribution was delivered.
    Unattributed(Arc<str>),
    /// A delivery had numbers at or below the trainer's cursor.
    NumberRepeated(u64),
}

/// Records observed events and checks the invariants.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The serialized settings by applied offset.
    settings_by_offset: SortedMap<u64, String>,
    /// The last applied offset by member incarnation.
    applied_offsets: SortedMap<(Arc<str>, u64), u64>,
    delivered: SortedMap<Arc<str>, u64>,
    violation: Option<Violation>,
}

impl Oracle {
    fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Checks that at most one member may act for the job.
    pub fn on_holders(&mut self, holders: Vec<(Arc<str>, u64)>) {
        if holders.len() > 1 {
            self.report(Violation::TwoHolders(holders));
        }
    }

    /// Checks that a member's settings never revert and equal those of others at the same offset.
    pub fn on_settings(&mut self, member: &Member) {
        let follower = &member.settings.follower;
        if follower.state() != FollowerState::Following {
            return;
        }
        let applied = follower.applied_offset();
        let before = self
            .applied_offsets
            .insert((member.name.clone(), member.incarnation), applied);
        if before.is_some_and(|before| before > applied) {
            self.report(Violation::SettingsReverted(member.name.clone()));
        }
        let tree = serde_json::to_string(follower.fold().tree()).expect("trees are plain data");
        let recorded = self
            .settings_by_offset
            .get_or_insert_with(applied, || tree.clone());
        if *recorded != tree {
            self.report(Violation::SettingsDiffer(applied));
        }
    }

    /// Checks that no request key ran more than once.
    pub fn on_runs(&mut self, runs: &SortedMap<Arc<str>, u64>) {
        if let Some((key, _)) = runs.iter().find(|(_, count)| **count > 1) {
            self.report(Violation::RanTwice(key.clone()));
        }
    }

    /// Checks that a call that is reported as not run did not run.
    pub fn on_call(&mut self, key: &str, reply: CallReply, runs: u64) {
        if reply.outcome == Outcome::NotRun && runs > 0 {
            self.report(Violation::FalseNotRun(key.into()));
        }
    }

    /// Checks a delivery that the trainer accepts.
    pub fn on_delivery(&mut self, cursor: u64, delivery: &Delivery, target_version: u64) {
        for (number, sample) in &delivery.samples {
            if *number <= cursor {
                self.report(Violation::NumberRepeated(*number));
            }
            if self.delivered.insert(sample.id.clone(), *number).is_some() {
                self.report(Violation::DeliveredTwice(sample.id.clone()));
            }
            let oldest = sample.segments.iter().map(|segment| segment.version).min();
            match oldest {
                None => self.report(Violation::Unattributed(sample.id.clone())),
                Some(oldest)
                    if target_version.saturating_sub(oldest) > plan().staleness_bound.versions =>
                {
                    self.report(Violation::Stale(sample.id.clone()));
                }
                Some(_) => {}
            }
        }
    }

    /// The number of samples delivered.
    pub fn delivered(&self) -> usize {
        self.delivered.len()
    }

    /// Returns the first violation as the error.
    pub fn verdict(&self) -> Result<(), Violation> {
        match &self.violation {
            Some(violation) => Err(violation.clone()),
            None => Ok(()),
        }
    }
}
