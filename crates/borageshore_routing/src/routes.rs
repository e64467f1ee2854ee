//! Routes: the service that answers a request, with its retry, timeout and access rules.

use std::sync::Arc;

use borageshore_access::Organisations;
use borageshore_topology::Residency;

use crate::residency::residencies;

/// How the requests of a route may be run and repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run more than once.
    Idempotent,
    /// A call that runs at most once.
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// Whether another endpoint may continue it after its last event.
        is_resumable: bool,
    },
    /// Submissions of many items, which run asynchronously.
    Batch,
}

/// A service that a route sends requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: Arc<str>,
    /// Its share of the requests, relative to the other targets.
    pub weight: u64,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host of the requests.
    pub host: Arc<str>,
    /// The prefix of the requests' paths.
    pub path_prefix: Arc<str>,
    /// How its requests may be run and repeated.
    pub kind: RouteKind,
    /// The longest time that a caller waits for an answer.
    pub timeout_ms: u64,
    /// The latency objective: the time within which requests should be answered.
    pub objective_ms: u64,
    /// The priority among routes; 0 is the highest.
    pub priority: u64,
    /// The maximum number of endpoints that one request is sent to.
    pub max_attempts: u64,
    /// The services that requests are sent to.
    pub targets: Vec<RouteTarget>,
    /// Batch: time after its submission from which an item may be abandoned.
    pub retention_ms: u64,
    /// Batch: time after its submission at which all of its results are due.
    pub result_due_ms: Option<u64>,
    /// Batch: whether a result must be generated with one version of the weights.
    pub is_single_version: bool,
    /// Whether callers may omit the key.
    pub is_public: bool,
    /// The regions in which its requests may be served, cached and stored.
    pub residency: Residency,
}

impl Route {
    /// The service with the largest share of the requests.
    pub fn main_service(&self) -> Option<&Arc<str>> {
        let largest = self.targets.iter().max_by_key(|target| target.weight);
        largest.map(|target| &target.service)
    }

    /// Whether [`Self::service_for`] may pick a service.
    pub fn sends_to(&self, service: &str) -> bool {
        let mut weighted = self.targets.iter().filter(|target| target.weight > 0);
        match weighted.clone().next() {
            Some(_) => weighted.any(|target| *target.service == *service),
            None => self
                .targets
                .first()
                .is_some_and(|first| *first.service == *service),
        }
    }

    /// Picks a service by weight; `random` is a uniform random number.
    pub fn service_for(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = random % total.max(1);
        for target in &self.targets {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        self.targets.first().map(|target| &target.service)
    }
}

/// The routes in force.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Increases with each change.
    pub version: u64,
    routes: Vec<Arc<Route>>,
    /// The services of all routes, sorted.
    services: Vec<Arc<str>>,
    organisations: Organisations,
}

impl RouteTable {
    /// Creates a table of `routes`.
    pub fn open(version: u64, mut routes: Vec<Route>) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        let targets = routes.iter().flat_map(|route| &route.targets);
        let mut services: Vec<Arc<str>> = targets.map(|target| target.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        Self {
            version,
            routes: routes.into_iter().map(Arc::new).collect(),
            services,
            organisations: Organisations::default(),
        }
    }

    /// Replaces the organisations.
    pub fn with_organisations(self, organisations: Organisations) -> Self {
        Self {
            organisations,
            ..self
        }
    }

    /// The regions in which a request of a route may be served, cached and stored. Where the caller's organisation has a
    /// restriction too, both hold.
    pub fn residency(&self, route: &Route, organisation: Option<&str>) -> Residency {
        let organisation = organisation.and_then(|name| self.organisations.named(name));
        match organisation {
            Some(organisation) => route.residency.intersect(&organisation.residency),
            None => route.residency.clone(),
        }
    }

    /// Whether any route or organisation restricts the regions of its requests.
    pub fn has_residency(&self) -> bool {
        residencies(self).any(Residency::is_restricted)
    }

    /// The residencies of a host's routes.
    pub fn residencies_of_host(&self, host: &str) -> impl Iterator<Item = &Residency> {
        let of_host = self.routes.iter().filter(move |route| &*route.host == host);
        of_host.map(|route| &route.residency)
    }

    /// The organisations that may use the routes.
    pub fn organisations(&self) -> &Organisations {
        &self.organisations
    }

    /// Returns whether submissions for a host need no key.
    pub fn has_public_batch(&self, host: &str) -> bool {
        let of_host = self.routes.iter().filter(|route| &*route.host == host);
        let mut batch = of_host.filter(|route| route.kind == RouteKind::Batch);
        batch.any(|route| route.is_public)
    }

    /// The route of a host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|route| &*route.host < host);
        self.routes[start..]
            .iter()
            .take_while(|route| &*route.host == host)
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns whether a route sends requests to a service.
    pub fn names_service(&self, service: &str) -> bool {
        self.services
            .binary_search_by(|known| (**known).cmp(service))
            .is_ok()
    }

    /// All routes, by host and prefix.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }
}
