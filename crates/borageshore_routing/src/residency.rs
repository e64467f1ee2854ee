//! What the residencies of routes and organisations leave of a deployment.

use std::sync::Arc;

use borageshore_topology::{Residency, Topology};

use crate::routes::RouteTable;

/// A route whose requests no region of the deployment may serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnservableRoute {
    /// The route.
    pub route: Arc<str>,
    /// The organisation whose requests cannot be served; `None` for those of any caller.
    pub organisation: Option<Arc<str>>,
}

/// The routes that cannot be served for their own residency, and those that cannot be served for an organisation
/// although both have regions.
///
/// An organisation that allows no region of the deployment stands once, at its first route.
pub fn unservable_routes(table: &RouteTable, topology: &Topology) -> Vec<UnservableRoute> {
    let mut found = Vec::new();
    let restricted = table
        .organisations()
        .iter()
        .filter(|organisation| organisation.residency.is_restricted());
    let restricted: Vec<_> = restricted.collect();
    let mut reported: Vec<&Arc<str>> = Vec::new();
    for route in table.iter() {
        if !topology.has_region_of(&route.residency) {
            found.push(UnservableRoute {
                route: route.name.clone(),
                organisation: None,
            });
            continue;
        }
        for organisation in &restricted {
            let has_region = topology.has_region_of(&organisation.residency);
            let both = route.residency.intersect(&organisation.residency);
            if topology.has_region_of(&both) || reported.contains(&&organisation.name) {
                continue;
            }
            if !has_region {
                reported.push(&organisation.name);
            }
            found.push(UnservableRoute {
                route: route.name.clone(),
                organisation: Some(organisation.name.clone()),
            });
        }
    }
    found
}

/// The regions that routes and organisations allow and that have no zone in the deployment, sorted.
pub fn regions_without_zones(table: &RouteTable, topology: &Topology) -> Vec<Arc<str>> {
    let mut missing: Vec<Arc<str>> = residencies(table)
        .flat_map(|residency| topology.regions_without_zones(residency))
        .collect();
    missing.sort_unstable();
    missing.dedup();
    missing
}

/// The residencies of all routes and organisations.
pub fn residencies(table: &RouteTable) -> impl Iterator<Item = &Residency> {
    let of_routes = table.iter().map(|route| &route.residency);
    let organisations = table.organisations().iter();
    of_routes.chain(organisations.map(|organisation| &organisation.residency))
}
