//! Placement of items on engines.

use std::sync::Arc;

use borageshore_topology::Distance;

/// Cost of a full engine relative to an empty one, in thousandths of an empty engine's time per event. Set above the
/// real slowdown to spread items over equal engines, since long texts together exhaust an engine's memory and the
/// newest is preempted; low enough that the last slot of an engine still comes before an empty engine that takes 1.3
/// times as long. The real slowdown at six to eight slots is 80; the last condition holds up to 380.
const FULL_LOAD_THOUSANDTHS: u64 = 250;
/// Discount for an engine that runs an item of the same group. The shared prompt saves only a short prefill, so this
/// decides only between engines whose load differs by about a slot.
const SAME_GROUP_THOUSANDTHS: u64 = 31;
/// Surcharge for another availability zone: traffic between zones is billed, but adds little latency.
const OTHER_ZONE_THOUSANDTHS: u64 = 20;
/// Surcharge for another region: a text starts and ends 8 ms later there, and its bytes are billed at three times the price
/// of those between zones. Below a slot's difference in load, so it decides only between equally loaded engines.
const OTHER_REGION_THOUSANDTHS: u64 = 40;
/// Surcharge for a cold engine, which tolerates few requests: at equal latency, a warm engine with a free slot comes
/// first.
const COLD_THOUSANDTHS: u64 = FULL_LOAD_THOUSANDTHS;

/// The state of an engine that placement depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The name of the engine's instance.
    pub instance: Arc<str>,
    /// Requests that it can run at once.
    pub slots: u64,
    /// Estimated number of requests on it.
    pub load: u64,
    /// The version of the item's model that it has loaded.
    pub version: u64,
    /// Whether it is loading weights, during which it refuses new requests.
    pub is_loading: bool,
    /// Its time per event in percent of the service's median.
    pub latency_percent: u64,
    /// How far it is away from this daemon.
    pub distance: Distance,
    /// Whether it tolerates few requests only, after a start or as it says.
    pub is_cold: bool,
    /// Whether items of the same group were placed on it.
    pub has_group: bool,
}

/// What an item requires of an engine.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'r> {
    /// The oldest version that may generate its next token.
    pub min_version: u64,
    /// The newest version that may generate its next token; `u64::MAX` unless all of the text must come from one
    /// version.
    pub max_version: u64,
    /// Engines that have just refused or lost the item.
    pub avoid: &'r [Arc<str>],
}

/// Returns whether an engine can take an item now.
pub fn can_take(engine: &EngineView, request: PlacementRequest<'_>) -> bool {
    (request.min_version..=request.max_version).contains(&engine.version)
        && !engine.is_loading
        && engine.load < engine.slots
        && !request.avoid.contains(&engine.instance)
}

/// Chooses the engine with the lowest cost among those with a free slot; `None` if the item has to wait.
///
/// Engines are not overcommitted: an item queued at an engine cannot move to the next one that becomes free, and is
/// refused when weights load.
pub fn choose_engine<'e>(
    engines: &'e [EngineView],
    request: PlacementRequest<'_>,
) -> Option<&'e EngineView> {
    engines
        .iter()
        .filter(|engine| can_take(engine, request))
        .min_by_key(|engine| cost(engine))
}

/// Estimated time per event with the item on the engine, in thousandths of that of an empty engine with median
/// latency.
fn cost(engine: &EngineView) -> u64 {
    let filled = (engine.load + 1) * FULL_LOAD_THOUSANDTHS / engine.slots.max(1);
    let mut cost = (1_000 + filled) * engine.latency_percent / 100;
    cost += match engine.distance {
        Distance::SameZone => 0,
        Distance::SameRegion => OTHER_ZONE_THOUSANDTHS,
        Distance::OtherRegion | Distance::Unknown => OTHER_REGION_THOUSANDTHS,
    };
    if engine.is_cold {
        cost += COLD_THOUSANDTHS;
    }
    if engine.has_group {
        cost = cost.saturating_sub(SAME_GROUP_THOUSANDTHS);
    }
    cost
}

/// The progress of an item on its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningItem {
    /// The engine's time per event in percent of the service's median.
    pub latency_percent: u64,
    /// Events received so far.
    pub events: u64,
    /// The median time per event of the service, where its engines report how slow their VMs are.
    pub median_us: Option<u64>,
}

/// From this number of events on, a text is treated as long: enough of it is probably left to justify a move. The mean
/// is 10 to 20 events, and a tenth of the texts is five times as long.
const LONG_TEXT_EVENTS: u64 = 16;
/// A short text moves only to an engine that is more than this many times as fast.
const SHORT_TEXT_GAIN: u64 = 2;
/// A long text moves only if its engine takes more than this many percent longer per event than the other. It lies
/// above the noise between equal engines. A move costs a prefill of some ms. Equal engines differ by 5 percent, unequal
/// ones by 30.
const LONG_TEXT_GAIN_PERCENT: u64 = 15;
/// The same where engines report how slow their VMs are: what other users of a VM do to it for the moment is more than the
/// noise between equal engines, and not all of it is reported in time.
const UNEVEN_GAIN_PERCENT: u64 = 30;
/// Where engines report how slow their VMs are, a text moves only if it is expected to finish this much earlier: a move
/// costs a connection and the prefill of the prompt and of all events so far, and a step is not later for less.
const MIN_SAVED_US: u64 = 300_000;

/// Chooses a free engine on which a running item would finish enough earlier to justify a move; `None` if it stays.
///
/// Early in a step, short texts occupy the fast engines; once these finish, long texts on slow engines can move. On an
/// engine that takes 1.3 times as long they would end two seconds later.
pub fn choose_better_engine<'e>(
    engines: &'e [EngineView],
    request: PlacementRequest<'_>,
    item: RunningItem,
) -> Option<&'e EngineView> {
    let chosen = choose_engine(engines, request)?;
    let long_text_gain_percent = match item.median_us {
        Some(_) => UNEVEN_GAIN_PERCENT,
        None => LONG_TEXT_GAIN_PERCENT,
    };
    let is_worthwhile = if item.events >= LONG_TEXT_EVENTS {
        chosen.latency_percent * (100 + long_text_gain_percent) < item.latency_percent * 100
    } else {
        chosen.latency_percent * SHORT_TEXT_GAIN < item.latency_percent
    };
    (is_worthwhile && saves_enough(chosen, item)).then_some(chosen)
}

/// Whether a move saves enough time, if as many events are left as were generated: the longer a text is, the more of it
/// is probably left.
fn saves_enough(chosen: &EngineView, item: RunningItem) -> bool {
    let Some(median_us) = item.median_us else {
        return true;
    };
    let gain_percent = item.latency_percent.saturating_sub(chosen.latency_percent);
    item.events * median_us * gain_percent / 100 >= MIN_SAVED_US
}
