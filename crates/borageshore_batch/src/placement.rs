//! Which engine an item goes to.

use std::sync::Arc;

/// How much longer an event takes at a full engine than at an empty one, in thousandths. Measured at
/// engines of six and eight slots: 80. More than that spreads items over equal engines, since long
/// texts on one engine run out of its memory and the newest is preempted; up to 380 an engine that is
/// full still comes before an empty one that takes 1.3 times as long.
const FULL_LOAD_THOUSANDTHS: u64 = 250;
/// What an item of the same group at an engine makes up for: a shared prompt saves a prefill of a
/// millisecond, no more than a tie-breaker among engines that differ by a slot.
const SAME_GROUP_THOUSANDTHS: u64 = 31;
/// The price of another availability zone: bytes between zones cost a little, time hardly any.
const OTHER_ZONE_THOUSANDTHS: u64 = 20;

/// An engine as the choice sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Its instance.
    pub instance: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Requests there by the best knowledge.
    pub load: u64,
    /// The version of the item's model there.
    pub version: u64,
    /// Whether it is loading weights and refuses what has not started.
    pub is_loading: bool,
    /// How long it takes for an event, in percent of the service's median.
    pub latency_percent: u64,
    /// Whether it is in this daemon's availability zone.
    pub is_same_zone: bool,
    /// Whether items of the same group run there.
    pub has_group: bool,
}

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'r> {
    /// The oldest version that may make its tokens.
    pub min_version: u64,
    /// The newest version that may: differs from the largest number where the text is to be made
    /// under one version.
    pub max_version: u64,
    /// Engines that just refused or lost it.
    pub avoid: &'r [Arc<str>],
}

/// Says whether an engine can take an item now.
pub fn can_take(engine: &EngineView, request: PlacementRequest<'_>) -> bool {
    (request.min_version..=request.max_version).contains(&engine.version)
        && !engine.is_loading
        && engine.load < engine.slots
        && !request.avoid.contains(&engine.instance)
}

/// Chooses the engine where the item is likely to end first, among those with a free slot; `None`
/// if it has to wait.
///
/// An engine gets no more than its slots: what waits there would wait behind its own line, could
/// not go to the engine that is free next, and would be refused while weights load.
pub fn choose_engine<'e>(
    engines: &'e [EngineView],
    request: PlacementRequest<'_>,
) -> Option<&'e EngineView> {
    engines
        .iter()
        .filter(|engine| can_take(engine, request))
        .min_by_key(|engine| cost(engine))
}

/// The time for an event with the item on it, relative to an empty engine of the usual pace.
fn cost(engine: &EngineView) -> u64 {
    let filled = (engine.load + 1) * FULL_LOAD_THOUSANDTHS / engine.slots.max(1);
    let mut cost = (1_000 + filled) * engine.latency_percent / 100;
    if !engine.is_same_zone {
        cost += OTHER_ZONE_THOUSANDTHS;
    }
    if engine.has_group {
        cost = cost.saturating_sub(SAME_GROUP_THOUSANDTHS);
    }
    cost
}

/// An item that runs at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningItem {
    /// The pace of its engine, in percent of the service's median.
    pub latency_percent: u64,
    /// The events that it has so far.
    pub events: u64,
}

/// A text with so many events is probably one of the tenth that is five times as long as the mean
/// (10 to 20 events): what is left of it is worth a move.
const LONG_TEXT_EVENTS: u64 = 16;
/// A short text leaves for an engine that is so many times as fast.
const SHORT_TEXT_GAIN: u64 = 2;
/// A long text leaves for an engine that takes so much less for an event, in percent. A move costs
/// a prefill of some ms; the paces of equal engines differ by 5 percent, those of unequal ones by 30.
const LONG_TEXT_GAIN_PERCENT: u64 = 15;

/// Chooses a free engine where a running item ends so much earlier that it pays to move.
///
/// Short texts fill the engines for the first second of a step; after it the long ones have the choice,
/// and at an engine that takes 1.3 times as long they would end two seconds later.
pub fn choose_better_engine<'e>(
    engines: &'e [EngineView],
    request: PlacementRequest<'_>,
    item: RunningItem,
) -> Option<&'e EngineView> {
    let chosen = choose_engine(engines, request)?;
    let pays = if item.events >= LONG_TEXT_EVENTS {
        chosen.latency_percent * (100 + LONG_TEXT_GAIN_PERCENT) < item.latency_percent * 100
    } else {
        chosen.latency_percent * SHORT_TEXT_GAIN < item.latency_percent
    };
    pays.then_some(chosen)
}
