//! Which engines load new weights next.

use std::sync::Arc;

use borageshore_base::SortedMap;
use serde::{Deserialize, Serialize};

use crate::submission::NamedVersion;

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
}

/// The versions that engines are known to have. Versions of one instance only rise, so the newest
/// word from any source is the largest.
#[derive(Debug, Default)]
pub struct EngineVersions {
    versions: SortedMap<(Arc<str>, Arc<str>), u64>,
}

impl EngineVersions {
    /// Takes over what an engine, its entry or an orderer said.
    pub fn learn(&mut self, instance: &Arc<str>, model: &Arc<str>, version: u64) {
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

/// Bounds on loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// Engines that load at once without slowing each other.
    pub parallel: usize,
    /// The share of a model's engines that move with each version.
    pub share_percent: usize,
}

/// Chooses the orders to give now.
///
/// A step allows the version before the newest, so an engine needs every second version only: each
/// named version moves the engines with the oldest weights, a share of all. The rest serve the
/// step meanwhile. Several models share the engines in fixed parts: an engine that loads for one
/// model only is away half as often.
pub fn plan_round(
    engines: &[Arc<str>],
    loading: usize,
    is_loading: impl Fn(&Arc<str>) -> bool,
    versions: &EngineVersions,
    named: &[NamedVersion],
    limits: SwapLimits,
) -> Vec<(Arc<str>, NamedVersion)> {
    let mut room = limits.parallel.saturating_sub(loading);
    let mut orders = Vec::new();
    let mut wanted = Vec::new();
    for (index, target) in named.iter().enumerate() {
        let homes = homes_of(engines, index, named.len());
        wanted.extend(behind(&homes, versions, target, limits.share_percent));
    }
    // Engines that are farthest behind are of no use to the next step.
    wanted.sort_by_key(|(lag, engine, _)| (std::cmp::Reverse(*lag), engine.clone()));
    for (_, engine, target) in wanted {
        if room == 0 {
            break;
        }
        let is_taken = orders.iter().any(|(taken, _)| *taken == engine);
        if !is_taken && !is_loading(&engine) {
            orders.push((engine, target));
            room -= 1;
        }
    }
    orders
}

/// The engines that keep a model's weights fresh.
fn homes_of(engines: &[Arc<str>], index: usize, models: usize) -> Vec<Arc<str>> {
    let is_home = |(place, _): &(usize, &Arc<str>)| place % models.max(1) == index;
    let homes = engines.iter().enumerate().filter(is_home);
    homes.map(|(_, engine)| engine.clone()).collect()
}

fn behind(
    homes: &[Arc<str>],
    versions: &EngineVersions,
    target: &NamedVersion,
    share_percent: usize,
) -> Vec<(u64, Arc<str>, NamedVersion)> {
    let lag_of = |engine: &Arc<str>| {
        target.version - versions.get(engine, &target.model).min(target.version)
    };
    let share = (homes.len() * share_percent).div_ceil(100);
    let fresh = homes.iter().filter(|engine| lag_of(engine) == 0).count();
    let mut behind: Vec<(u64, Arc<str>, NamedVersion)> = homes
        .iter()
        .map(|engine| (lag_of(engine), engine.clone(), target.clone()))
        .filter(|(lag, ..)| *lag > 0)
        .collect();
    behind.sort_by_key(|(lag, engine, _)| (std::cmp::Reverse(*lag), engine.clone()));
    let urgent = behind.iter().filter(|(lag, ..)| *lag > 1).count();
    let count = urgent.max(share.saturating_sub(fresh));
    behind.truncate(count);
    behind
}
