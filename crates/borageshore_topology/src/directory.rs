//! The regions whose daemons callers of a host are sent to.

use std::sync::Arc;

use crate::residency::Residency;

/// The regions whose daemons are named to a caller of a host, by the residencies of the host's routes.
///
/// Guards against bodies that are sent to a region which is neither allowed nor the caller's. The caller's own region is
/// always right, since the body is there already. Without a ready daemon there, the caller is sent to regions that all
/// restricted routes allow, else to those that any of them allows, else anywhere: a daemon that cannot serve the caller
/// still refuses it at once.
pub fn directory_regions<'r, Routes>(
    routes: Routes,
    caller_region: Option<&Arc<str>>,
    ready_regions: &[Arc<str>],
) -> Residency
where
    Routes: IntoIterator<Item = &'r Residency>,
{
    let restricted: Vec<&Residency> = routes
        .into_iter()
        .filter(|residency| residency.is_restricted())
        .collect();
    if restricted.is_empty() {
        return Residency::anywhere();
    }
    let own = Residency::within(caller_region.into_iter().cloned().collect());
    let shared = restricted
        .iter()
        .fold(Residency::anywhere(), |all, residency| {
            all.intersect(residency)
        });
    let of_any = restricted
        .iter()
        .flat_map(|residency| residency.regions().unwrap_or_default())
        .cloned();
    let candidates = [own, shared, Residency::within(of_any.collect())];
    let has_ready = |regions: &Residency| {
        ready_regions
            .iter()
            .any(|region| regions.allows(Some(region)))
    };
    let chosen = candidates.into_iter().find(has_ready);
    chosen.unwrap_or_default()
}
