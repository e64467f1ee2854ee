//! Which daemons share the budget of a cold endpoint.

use std::sync::Arc;

use borageshore_base::{SortedMap, rank_within};

use crate::view_certainty::SETTLE_MS;

/// The most daemons that share a budget. With more, the share of each would be a request or two a second.
const MAX_SHARERS: usize = 4;
/// How long a member counts as a candidate after its record no longer says so: owners of submissions hold none between
/// two steps of a trainer. At most [`SETTLE_MS`], so that no daemon counts itself by a record that it read late.
const LINGER_MS: u64 = SETTLE_MS;

/// Who shares a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pool {
    /// The daemons that run submissions.
    Owners,
    /// All daemons that are ready.
    Ready,
}

/// What a member's record says about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStanding {
    /// Whether it accepts callers and new work.
    pub is_ready: bool,
    /// Whether it runs submissions.
    pub is_owner: bool,
}

/// Whether a member is a candidate for the shares of a pool, by its records.
#[derive(Debug, Clone, Copy, Default)]
struct Candidacy {
    is_candidate: bool,
    /// When it became a candidate, with pauses of up to [`LINGER_MS`].
    since_ms: Option<u64>,
    /// When its record stopped saying so, or was read first and didn't.
    ended_at_ms: Option<u64>,
}

impl Candidacy {
    fn first(is_candidate: bool, now_ms: u64) -> Self {
        Self {
            is_candidate,
            since_ms: is_candidate.then_some(now_ms),
            ended_at_ms: (!is_candidate).then_some(now_ms),
        }
    }

    fn observe(&mut self, is_candidate: bool, now_ms: u64) {
        if is_candidate && !self.is_lingering(now_ms) {
            self.since_ms = Some(now_ms);
        }
        if is_candidate {
            self.ended_at_ms = None;
        } else if self.is_candidate {
            self.ended_at_ms = Some(now_ms);
        }
        self.is_candidate = is_candidate;
    }

    fn end(&mut self, now_ms: u64) {
        self.observe(false, now_ms);
        self.since_ms = None;
    }

    fn is_lingering(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + LINGER_MS;
        self.since_ms.is_some() && (self.is_candidate || self.ended_at_ms.is_some_and(is_recent))
    }

    /// Whether the member itself may take a share by what it knows.
    fn is_settled(&self, now_ms: u64) -> bool {
        let is_old = |since_ms: u64| now_ms >= since_ms + SETTLE_MS;
        self.is_lingering(now_ms) && self.since_ms.is_some_and(is_old)
    }

    /// Whether the member may take a share by what it may still believe.
    fn may_count_itself(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms < at_ms + LINGER_MS + SETTLE_MS;
        self.is_candidate || self.ended_at_ms.is_some_and(is_recent)
    }
}

#[derive(Debug, Clone, Copy)]
struct Member {
    ready: Candidacy,
    owner: Candidacy,
}

impl Member {
    fn candidacy(&self, pool: Pool) -> &Candidacy {
        match pool {
            Pool::Owners => &self.owner,
            Pool::Ready => &self.ready,
        }
    }
}

/// The members that may share budgets, by the records that all daemons read in one order.
///
/// A daemon takes a share only if it has been a candidate by all of its views for [`SETTLE_MS`], and counts every
/// member that may have been one. So any two daemons that send within one window know of each other, no more than
/// [`MAX_SHARERS`] of them have a share, and the shares add up to no more than the budget.
#[derive(Debug, Clone, Default)]
pub(crate) struct BudgetShares {
    own_name: Arc<str>,
    members: SortedMap<Arc<str>, Member>,
}

impl BudgetShares {
    pub(crate) fn open(own_name: Arc<str>) -> Self {
        Self {
            own_name,
            members: SortedMap::default(),
        }
    }

    pub(crate) fn on_record(&mut self, name: &Arc<str>, standing: MemberStanding, now_ms: u64) {
        let MemberStanding { is_ready, is_owner } = standing;
        match self.members.get_mut(name) {
            Some(member) => {
                member.ready.observe(is_ready, now_ms);
                member.owner.observe(is_owner, now_ms);
            }
            None => {
                let member = Member {
                    ready: Candidacy::first(is_ready, now_ms),
                    owner: Candidacy::first(is_owner, now_ms),
                };
                self.members.insert(name.clone(), member);
            }
        }
    }

    /// Ends the candidacies of a member whose record was removed; it still counts for those that read the removal late.
    pub(crate) fn on_removed(&mut self, name: &str, now_ms: u64) {
        if let Some(member) = self.members.get_mut(name) {
            member.ready.end(now_ms);
            member.owner.end(now_ms);
        }
    }

    /// Forgets the members that count for no pool any more.
    pub(crate) fn forget_removed(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            let is_listed = member.ready.is_candidate || member.owner.is_candidate;
            is_listed
                || member.ready.may_count_itself(now_ms)
                || member.owner.may_count_itself(now_ms)
        });
    }

    /// Whether this daemon runs submissions, or did so lately.
    pub(crate) fn is_owner(&self, now_ms: u64) -> bool {
        let own = self.members.get(&self.own_name);
        own.is_some_and(|own| own.owner.is_lingering(now_ms))
    }

    /// This daemon's share of a budget, in whole requests.
    pub(crate) fn share_of(&self, pool: Pool, instance: &str, budget: u64, now_ms: u64) -> u64 {
        let own = self.members.get(&self.own_name);
        if !own.is_some_and(|own| own.candidacy(pool).is_settled(now_ms)) {
            return 0;
        }
        let counts = |member: &Member| member.candidacy(pool).may_count_itself(now_ms);
        let candidates = || {
            let counted = self.members.iter().filter(|(_, member)| counts(member));
            counted.map(|(name, _)| &**name)
        };
        let sharers = candidates().take(MAX_SHARERS).count().max(1);
        let others = candidates().filter(|name| *name != &*self.own_name);
        match rank_within(instance, &self.own_name, others, MAX_SHARERS) {
            Some(_) => budget / sharers as u64,
            None => 0,
        }
    }
}
