//! The start order of reward calls that wait for a slot, and how many slots they may take.
//!
//! Answers the load at which many texts of several steps end at once, before a service that callers use too.

/// Reward calls take at most this share of a service's slots, in percent: callers use the same endpoints, and their
/// calls are much shorter.
const MAX_SHARE_PERCENT: u64 = 60;
/// Reward calls of a daemon may always take this share, in percent, so that trainers make progress however busy the
/// service is. Small, as several daemons may use it at the same time.
const MIN_SHARE_PERCENT: u64 = 10;
/// Reward calls take no slots beyond this share of all that are in use, in percent. The remaining slots absorb bursts
/// of callers between two load reports.
const MAX_USE_PERCENT: u64 = 85;
/// A call that waited this long may start before calls of smaller rank.
const AGED_MS: u64 = 1_000;
/// One in this many starts goes to the call that waited longest, if it is aged. Most starts follow the ranks even when
/// all calls are aged.
const AGED_INTERVAL: u64 = 4;

/// What a waiting reward call delays; smaller ranks start first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RewardRank {
    /// Whether texts of the call's group are still being generated: its score does not complete the group yet.
    pub is_generating: bool,
    /// When the call's step was first seen. Steps are due in this order; if calls of several steps alternated, all of
    /// these steps would be complete only when the last one is.
    pub step_seen_at_ms: u64,
    /// The priority of the step's route; 0 is the highest.
    pub priority: u64,
    /// Items of the group without a score; groups that need few are completed first.
    pub unscored_in_group: u64,
}

/// Reward calls that wait for a slot.
#[derive(Debug)]
pub struct RewardQueue<Call> {
    /// The calls with the time since when they wait, in the order of their arrival.
    waiting: Vec<(u64, Call)>,
    starts: u64,
}

impl<Call> Default for RewardQueue<Call> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            starts: 0,
        }
    }
}

impl<Call> RewardQueue<Call> {
    /// Adds a call.
    pub fn push(&mut self, call: Call, now_ms: u64) {
        self.waiting.push((now_ms, call));
    }

    /// Removes the calls for which `is_kept` returns false.
    pub fn retain<Keep>(&mut self, is_kept: Keep)
    where
        Keep: Fn(&Call) -> bool,
    {
        self.waiting.retain(|(_, call)| is_kept(call));
    }

    /// The number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the call that starts next. Ranks change while calls wait, so they are looked up here.
    pub fn pop<Rank>(&mut self, now_ms: u64, rank_of: Rank) -> Option<Call>
    where
        Rank: Fn(&Call) -> RewardRank,
    {
        let (oldest_since_ms, _) = self.waiting.first()?;
        self.starts += 1;
        let is_aged = now_ms.saturating_sub(*oldest_since_ms) >= AGED_MS;
        let next = match is_aged && self.starts.is_multiple_of(AGED_INTERVAL) {
            true => 0,
            // The first of equal ranks, so the order of arrival is kept.
            false => (0..self.waiting.len()).min_by_key(|at| rank_of(&self.waiting[*at].1))?,
        };
        Some(self.waiting.remove(next).1)
    }
}

/// How many slots of a service this daemon's reward calls may take.
///
/// `others` is the load that is not this daemon's reward calls: callers' requests and the reward calls of other daemons.
/// Daemons with many reward calls share what callers leave: each takes less the more it sees of the others.
pub fn reward_slot_limit(slots: u64, others: u64) -> u64 {
    let unused = (slots * MAX_USE_PERCENT / 100).saturating_sub(others);
    let min = (slots * MIN_SHARE_PERCENT / 100).max(1);
    let max = (slots * MAX_SHARE_PERCENT / 100).max(1);
    unused.clamp(min, max)
}
