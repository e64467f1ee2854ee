//! Which engines load new weights next.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

use crate::{index_entry::Demand, submission::ModelVersion};

/// A round of orders: one holder brings some engines to versions.
///
/// A round is a record that is appended only if its holder has seen all rounds before it. Its offset
/// is the epoch of its orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwapRound {
    /// The VM that gives the orders.
    pub holder: Arc<str>,
    /// Engine, model and version.
    pub orders: Vec<(Arc<str>, Arc<str>, u64)>,
    /// Orders of earlier rounds that are carried out.
    pub done: Vec<(Arc<str>, Arc<str>, u64)>,
    /// Engines that other holders ordered within the lease before this round.
    #[serde(default)]
    pub others_ordered: Vec<Arc<str>>,
}

/// The versions that engines are known to have. Versions of one instance only rise, so the newest
/// word from any source is the largest.
#[derive(Debug, Default)]
pub struct EngineVersions {
    versions: SortedMap<(Arc<str>, Arc<str>), u64>,
}

impl EngineVersions {
    /// Takes over what an engine, its entry or an orderer said.
    pub fn observe(&mut self, instance: &Arc<str>, model: &Arc<str>, version: u64) {
        let known = self
            .versions
            .get_or_insert_with((instance.clone(), model.clone()), || version);
        *known = version.max(*known);
    }

    /// The version of a model at an engine; 0 if nothing is known.
    pub fn get(&self, instance: &Arc<str>, model: &Arc<str>) -> u64 {
        let key = (instance.clone(), model.clone());
        self.versions.get(&key).copied().unwrap_or(0)
    }

    /// Forgets engines that are gone.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&Arc<str>) -> bool,
    {
        self.versions.retain(|(instance, _), _| keep(instance));
    }
}

/// So many engines load at once in any case.
const MIN_PARALLEL_LOADS: usize = 2;

/// Engines that keep a model's weights fresh for each item of its newest submission, in percent: two steps are open
/// at once, and a quarter of the engines may load or be slow. An item with an engine of its own is made a seventh
/// faster than one that shares it with five; more engines are of no use to anyone.
const ENGINES_PER_ITEM_PERCENT: u64 = 250;

/// Bounds on loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// The share of all engines that load at once; two at least. Loads slow each other beyond it.
    pub parallel_percent: usize,
    /// The share of a model's engines that move with each version.
    pub share_percent: usize,
}

/// An engine as the plan of loads sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// The engine.
    pub instance: Arc<str>,
    /// Whether it is loading weights.
    pub is_loading: bool,
    /// Whether another holder may have ordered it within the lease.
    pub is_leased: bool,
    /// Requests that it runs.
    pub running: u64,
}

/// A model with the version that its trainer has named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelTarget {
    /// Model and version.
    pub target: ModelVersion,
    /// What its newest submission asks for.
    pub demand: Demand,
}

#[derive(Debug)]
struct Lag<'p> {
    versions: u64,
    engine: &'p EngineState,
    target: &'p ModelVersion,
}

/// Chooses the orders to give now.
///
/// A step allows the version before the newest. The engines that are farthest behind come first:
/// they are of no use to the next step. Among equals the one that runs the least comes first: for the
/// second that a load takes it starts nothing of the model, and a free slot is then lost, a taken one
/// is not. Several models share the engines in
/// parts after their demand: an engine that loads for one model only is away half as often.
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
    wanted.sort_by_key(|lag| (std::cmp::Reverse(lag.versions), lag.engine.running));
    wanted
        .into_iter()
        .filter(|lag| !lag.engine.is_loading && !lag.engine.is_leased)
        .take(free_loads)
        .map(|lag| (lag.engine.instance.clone(), lag.target.clone()))
        .collect()
}

/// How many engines keep each model's weights fresh: by demand, one at least, and no more than its items can use.
///
/// Guards the weight store, and what engines have cached, where there are many more engines than items: of 3,000
/// engines half loaded each version, 2,072 loads in 35 s for 456 items a step.
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

/// The engines in parts after the models' demand, one at least, and none left over.
fn shares(engines: usize, models: &[ModelTarget]) -> Vec<usize> {
    let demand = |model: &ModelTarget| model.demand.tokens.max(1) as usize;
    let mut demand_left: usize = models.iter().map(demand).sum();
    let mut engines_left = engines;
    let mut counts = Vec::new();
    for (index, model) in models.iter().enumerate() {
        let models_after = models.len() - index - 1;
        let share = (engines_left * demand(model) + demand_left / 2) / demand_left.max(1);
        let most = engines_left.saturating_sub(models_after);
        let count = share.clamp(1.min(most), most);
        counts.push(count);
        engines_left -= count;
        demand_left -= demand(model);
    }
    counts
}

fn outdated_engines<'p>(
    assigned: &'p [EngineState],
    versions: &EngineVersions,
    target: &'p ModelVersion,
    share_percent: usize,
) -> Vec<Lag<'p>> {
    let lag_of = |engine: &'p EngineState| Lag {
        versions: target
            .version
            .saturating_sub(versions.get(&engine.instance, &target.model)),
        engine,
        target,
    };
    let lags = assigned.iter().map(lag_of);
    let (fresh, mut outdated): (Vec<Lag<'p>>, Vec<Lag<'p>>) =
        lags.partition(|lag| lag.versions == 0);
    outdated.sort_by_key(|lag| (std::cmp::Reverse(lag.versions), lag.engine.running));
    let urgent = outdated.iter().filter(|lag| lag.versions > 1).count();
    let share = (assigned.len() * share_percent).div_ceil(100);
    outdated.truncate(urgent.max(share.saturating_sub(fresh.len())));
    outdated
}
