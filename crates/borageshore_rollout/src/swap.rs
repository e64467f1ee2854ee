//! Weight swaps in waves.

use std::sync::Arc;

/// One replica as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    /// Its name.
    pub name: Arc<str>,
    /// The version that it serves; `None` when it does not answer.
    pub version: Option<u64>,
    /// Whether it loads weights now.
    pub is_loading: bool,
}

/// How fast a swap may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// Replicas that load at once; follows from the weight store's rate.
    pub wave_replicas: u64,
    /// The share of replicas that keeps serving.
    pub minimum_serving_percent: u64,
}

/// Picks the replicas to order to the target version now, those furthest behind first.
///
/// Level-triggered: the plan looks only at what replicas report, so an order that was lost, refused
/// or carried out halfway shows as an old version and is simply given again.
pub fn plan_swaps(replicas: &[ReplicaView], target: u64, limits: SwapLimits) -> Vec<Arc<str>> {
    let answering: Vec<&ReplicaView> = replicas.iter().filter(|r| r.version.is_some()).collect();
    let loading = answering
        .iter()
        .filter(|replica| replica.is_loading)
        .count() as u64;
    let serving = answering.len() as u64 - loading;
    let must_serve = (replicas.len() as u64 * limits.minimum_serving_percent).div_ceil(100);
    // With so few replicas that none may pause, one still has to, or the version would never change.
    let pausable = serving
        .saturating_sub(must_serve)
        .max(u64::from(loading == 0));
    let available = limits.wave_replicas.saturating_sub(loading).min(pausable);
    let mut outdated: Vec<&ReplicaView> = answering
        .into_iter()
        .filter(|replica| !replica.is_loading && replica.version < Some(target))
        .collect();
    outdated.sort_by(|a, b| a.version.cmp(&b.version).then(a.name.cmp(&b.name)));
    outdated
        .into_iter()
        .take(available as usize)
        .map(|replica| replica.name.clone())
        .collect()
}
