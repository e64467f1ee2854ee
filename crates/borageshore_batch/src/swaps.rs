//! Planning of weight loads on engines.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

use crate::{index_entry::Demand, submission::ModelVersion};

/// A round of orders to engines to load versions of models, announced by one holder.
///
/// A round is appended to the store only if its holder has read all earlier rounds. Its offset is the epoch of its
/// orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwapRound {
    /// The VM that sends the orders.
    pub holder: Arc<str>,
    /// Engine, model and version of each order.
    pub orders: Vec<(Arc<str>, Arc<str>, u64)>,
    /// Orders of earlier rounds that have completed.
    pub done: Vec<(Arc<str>, Arc<str>, u64)>,
    /// The subjects, engines by endpoint id, on which other holders may have acted within the lease before this round.
    #[serde(default)]
    pub others_ordered: Vec<Arc<str>>,
}

/// The known model versions of each engine instance. They only increase within an instance, so the largest reported
/// value is the newest.
#[derive(Debug, Default)]
pub struct EngineVersions {
    /// The versions by model; an engine serves few models.
    versions: SortedMap<Arc<str>, Vec<(Arc<str>, u64)>>,
}

impl EngineVersions {
    /// Merges a reported version.
    pub fn observe(&mut self, instance: &Arc<str>, model: &Arc<str>, version: u64) {
        let of_instance = match self.versions.get_mut(&**instance) {
            Some(of_instance) => of_instance,
            None => self.versions.get_or_insert_with(instance.clone(), Vec::new),
        };
        match of_instance.iter_mut().find(|(known, _)| known == model) {
            Some((_, known)) => *known = version.max(*known),
            None => of_instance.push((model.clone(), version)),
        }
    }

    /// The version of a model on an engine; 0 if unknown.
    pub fn get(&self, instance: &Arc<str>, model: &Arc<str>) -> u64 {
        let of_instance = self.versions.get(&**instance).into_iter().flatten();
        let mut of_model = of_instance.filter(|(known, _)| known == model);
        of_model.next().map_or(0, |(_, version)| *version)
    }

    /// Forgets an instance that has ended.
    pub fn remove(&mut self, instance: &str) {
        self.versions.remove(instance);
    }
}

/// Lower bound on the engines that may load at once.
const MIN_PARALLEL_LOADS: usize = 2;

/// Engines assigned to a model per item of its newest submission, in percent. Allows an engine of its own for each item
/// of two concurrent steps, while a quarter more engines may be loading or slow. An item with an engine of its own is
/// generated a seventh faster than one that shares it with five; more engines are of no use.
const ENGINES_PER_ITEM_PERCENT: u64 = 250;

/// Limits on concurrent weight loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// The share of the engines that may load at once, at least two engines. More loads slow each other down. Engines
    /// that may be reclaimed don't raise the number: the weight store is that of the deployment without them.
    pub parallel_percent: usize,
    /// The share of a model's engines that load each version.
    pub share_percent: usize,
}

/// The state of an engine that the plan depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The name of the engine's instance.
    pub instance: Arc<str>,
    /// Whether it is loading weights.
    pub is_loading: bool,
    /// Whether another holder may have sent it an order within the lease.
    pub is_leased: bool,
    /// Requests running on it.
    pub running: u64,
    /// Whether the platform may reclaim it.
    pub is_spot: bool,
}

/// The version of a model that its engines should load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelTarget {
    /// The model and its published version.
    pub target: ModelVersion,
    /// The work requested by the model's newest submission.
    pub demand: Demand,
}

#[derive(Debug)]
struct Lag<'p> {
    versions_behind: u64,
    engine: &'p EngineState,
    target: &'p ModelVersion,
}

/// Plans the orders to send now.
///
/// A step accepts the newest version and the one before. The engines with the oldest versions load first, since the
/// next step cannot use them; among equals, those with the fewest running requests. A loading engine starts no item of
/// the model for about a second, which wastes its free slots but not its taken ones. Models share the engines in
/// proportion to demand, so that an engine loads versions of one model only. It is then loading half as often.
pub fn plan_round(
    engines: &[EngineState],
    versions: &EngineVersions,
    models: &[ModelTarget],
    limits: SwapLimits,
) -> Vec<(Arc<str>, ModelVersion)> {
    let free_loads = free_loads(engines, limits);
    let outdated = assigned_engines(engines, models).flat_map(|(assigned, model)| {
        outdated_engines(assigned, versions, &model.target, limits.share_percent)
    });
    let mut wanted: Vec<Lag<'_>> = outdated.collect();
    wanted.sort_by_key(|lag| (std::cmp::Reverse(lag.versions_behind), lag.engine.running));
    wanted
        .into_iter()
        .filter(|lag| !lag.engine.is_loading && !lag.engine.is_leased)
        .take(free_loads)
        .map(|lag| (lag.engine.instance.clone(), lag.target.clone()))
        .collect()
}

/// The engines whose state decides what [`plan_round`] plans: those that keep a model up to date, have an older version
/// and may be ordered. None if no more loads may start.
///
/// Their number depends on the work, not on the number of engines, so that a holder does not ask thousands of engines
/// for their state to order a few.
pub fn load_candidates(
    engines: &[EngineState],
    versions: &EngineVersions,
    models: &[ModelTarget],
    limits: SwapLimits,
) -> Vec<Arc<str>> {
    if free_loads(engines, limits) == 0 {
        return Vec::new();
    }
    let mut candidates = Vec::new();
    for (assigned, model) in assigned_engines(engines, models) {
        let target = &model.target;
        if outdated_engines(assigned, versions, target, limits.share_percent).is_empty() {
            continue;
        }
        let is_candidate = |engine: &&EngineState| {
            let version = versions.get(&engine.instance, &target.model);
            version < target.version && !engine.is_loading && !engine.is_leased
        };
        let assigned = assigned.iter().filter(is_candidate);
        candidates.extend(assigned.map(|engine| engine.instance.clone()));
    }
    candidates
}

/// The number of loads that may start now.
fn free_loads(engines: &[EngineState], limits: SwapLimits) -> usize {
    let loading = engines.iter().filter(|engine| engine.is_loading).count();
    let regular = engines.iter().filter(|engine| !engine.is_spot).count();
    let parallel = (regular * limits.parallel_percent / 100).max(MIN_PARALLEL_LOADS);
    parallel.saturating_sub(loading)
}

/// The engines that keep each model up to date.
fn assigned_engines<'p>(
    engines: &'p [EngineState],
    models: &'p [ModelTarget],
) -> impl Iterator<Item = (&'p [EngineState], &'p ModelTarget)> {
    let mut unassigned = engines;
    let counts = engine_counts(engines.len(), models).into_iter();
    counts.zip(models).map(move |(count, model)| {
        let (assigned, others) = unassigned.split_at(count);
        unassigned = others;
        (assigned, model)
    })
}

/// The number of engines that keep each model up to date: in proportion to demand, but no more than its items can use.
///
/// The bound keeps unused engines from loading every version, which would overload the weight store and clear their
/// caches. Where half of 3,000 engines loaded each version, 456 items a step caused 2,072 loads in 35 s.
fn engine_counts(engines: usize, models: &[ModelTarget]) -> Vec<usize> {
    let shares = shares(engines, models).into_iter().zip(models);
    let usable = |model: &ModelTarget| match model.demand.items {
        0 => engines,
        items => (items * ENGINES_PER_ITEM_PERCENT).div_ceil(100) as usize,
    };
    shares
        .map(|(share, model)| share.min(usable(model)))
        .collect()
}

/// Splits all engines among the models by demand; each model gets at least one while there are enough.
fn shares(engines: usize, models: &[ModelTarget]) -> Vec<usize> {
    let demand = |model: &ModelTarget| model.demand.tokens.max(1) as usize;
    let mut demand_left: usize = models.iter().map(demand).sum();
    let mut engines_left = engines;
    let mut counts = Vec::new();
    for (index, model) in models.iter().enumerate() {
        let models_after = models.len() - index - 1;
        let share = (engines_left * demand(model) + demand_left / 2) / demand_left.max(1);
        let max_share = engines_left.saturating_sub(models_after);
        let count = share.clamp(1.min(max_share), max_share);
        counts.push(count);
        engines_left -= count;
        demand_left -= demand(model);
    }
    counts
}

/// The engines that should load the target now: all that are two or more versions behind, and others up to the share
/// of engines that load each version.
fn outdated_engines<'p>(
    assigned: &'p [EngineState],
    versions: &EngineVersions,
    target: &'p ModelVersion,
    share_percent: usize,
) -> Vec<Lag<'p>> {
    let lag_of = |engine: &'p EngineState| Lag {
        versions_behind: target
            .version
            .saturating_sub(versions.get(&engine.instance, &target.model)),
        engine,
        target,
    };
    let lags = assigned.iter().map(lag_of);
    let (fresh, mut outdated): (Vec<Lag<'p>>, Vec<Lag<'p>>) =
        lags.partition(|lag| lag.versions_behind == 0);
    outdated.sort_by_key(|lag| (std::cmp::Reverse(lag.versions_behind), lag.engine.running));
    let urgent = outdated
        .iter()
        .filter(|lag| lag.versions_behind > 1)
        .count();
    let share = (assigned.len() * share_percent).div_ceil(100);
    outdated.truncate(urgent.max(share.saturating_sub(fresh.len())));
    outdated
}
