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
    versions: SortedMap<(Arc<str>, Arc<str>), u64>,
}

impl EngineVersions {
    /// Merges a reported version.
    pub fn observe(&mut self, instance: &Arc<str>, model: &Arc<str>, version: u64) {
        let known = self
            .versions
            .get_or_insert_with((instance.clone(), model.clone()), || version);
        *known = version.max(*known);
    }

    /// The version of a model on an engine; 0 if unknown.
    pub fn get(&self, instance: &Arc<str>, model: &Arc<str>) -> u64 {
        let key = (instance.clone(), model.clone());
        self.versions.get(&key).copied().unwrap_or(0)
    }

    /// Keeps only the instances for which `keep` returns true.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&Arc<str>) -> bool,
    {
        self.versions.retain(|(instance, _), _| keep(instance));
    }
}

/// Lower bound on the engines that may load at once.
const MIN_PARALLEL_LOADS: usize = 2;

/// Engines assigned to a model per item of its newest submission, in percent. Allows an engine of its own for each item
/// of two concurrent steps, while a quarter more engines may be loading or slow.
const ENGINES_PER_ITEM_PERCENT: u64 = 250;

/// Limits on concurrent weight loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// The share of all engines that may load at once, at least two engines. More loads slow each other down.
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
/// next step cannot use them; among equals, those with the fewest running requests. Models share the engines in
/// proportion to demand, so that an engine loads versions of one model only.
pub fn plan_round(
    engines: &[EngineState],
    versions: &EngineVersions,
    models: &[ModelTarget],
    limits: SwapLimits,
) -> Vec<(Arc<str>, ModelVersion)> {
    let loading = engines.iter().filter(|engine| engine.is_loading).count();
    let parallel = (engines.len() * limits.parallel_percent / 100).max(MIN_PARALLEL_LOADS);
    let free_loads = parallel.saturating_sub(loading);
    let mut wanted = Vec::new();
    let mut unassigned = engines;
    for (count, model) in engine_counts(engines.len(), models).into_iter().zip(models) {
        let (assigned, others) = unassigned.split_at(count);
        unassigned = others;
        wanted.extend(outdated_engines(
            assigned,
            versions,
            &model.target,
            limits.share_percent,
        ));
    }
    wanted.sort_by_key(|lag| (std::cmp::Reverse(lag.versions_behind), lag.engine.running));
    wanted
        .into_iter()
        .filter(|lag| !lag.engine.is_loading && !lag.engine.is_leased)
        .take(free_loads)
        .map(|lag| (lag.engine.instance.clone(), lag.target.clone()))
        .collect()
}

/// The number of engines that keep each model up to date: in proportion to demand, but no more than its items can use.
///
/// The bound keeps unused engines from loading every version, which would overload the weight store and clear their
/// caches.
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
