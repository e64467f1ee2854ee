//! Weight swaps in waves.

use std::sync::Arc;

/// The state that a replica reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    /// The replica's name.
    pub name: Arc<str>,
    /// The weight version that it serves; `None` if it does not respond.
    pub version: Option<u64>,
    /// Whether it is loading weights.
    pub is_loading: bool,
}

/// Limits on replicas that load at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapLimits {
    /// The maximum number of replicas that load at once, limited by the weight store's throughput.
    pub wave_replicas: u64,
    /// The minimum share of replicas that keeps serving.
    pub minimum_serving_percent: u64,
}

/// Selects the replicas to order to load the target version now, oldest version first.
///
/// Level-triggered: the plan depends only on reported state, so a replica whose order was lost, refused
/// or interrupted still reports an old version and is ordered again.
pub fn plan_swaps(replicas: &[ReplicaView], target: u64, limits: SwapLimits) -> Vec<Arc<str>> {
    let answering: Vec<&ReplicaView> = replicas.iter().filter(|r| r.version.is_some()).collect();
    let loading = answering
        .iter()
        .filter(|replica| replica.is_loading)
        .count() as u64;
    let serving = answering.len() as u64 - loading;
    let must_serve = (replicas.len() as u64 * limits.minimum_serving_percent).div_ceil(100);
    // If the minimum leaves no replica to pause, one is paused anyway: otherwise the version would never change.
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
