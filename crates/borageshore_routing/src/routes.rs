//! Routes: which service answers a request, and under which terms.

use std::sync::Arc;

use borageshore_access::Organisations;

/// What may be done with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run more than once.
    Idempotent,
    /// A call that runs at most once.
    AtMostOnce,
    /// A stream of events; a resumable one may go on at another endpoint after its last event.
    Stream {
        /// Whether it may go on elsewhere.
        is_resumable: bool,
    },
    /// Submissions of many items that run later.
    Batch,
}

/// A service of a route with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: Arc<str>,
    /// Its share, relative to the other targets.
    pub weight: u64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// What a request's path begins with.
    pub path_prefix: Arc<str>,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer has its full value.
    pub objective_ms: u64,
    /// The rank among routes, 0 first.
    pub priority: u64,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u64,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Batch: an item may be given up this long after its submission.
    pub retention_ms: u64,
    /// Batch: a result's text is made under one version of the weights.
    pub is_single_version: bool,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// The service with the largest share of the requests.
    pub fn main_service(&self) -> Option<&Arc<str>> {
        let largest = self.targets.iter().max_by_key(|target| target.weight);
        largest.map(|target| &target.service)
    }

    /// The service for one request; `random` is any number.
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
    /// Rises with each change.
    pub version: u64,
    routes: Vec<Arc<Route>>,
    /// The services that a route goes to, sorted.
    services: Vec<Arc<str>>,
    organisations: Organisations,
}

impl RouteTable {
    /// Builds a table.
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

    /// Adds the organisations that came with the routes.
    pub fn with_organisations(self, organisations: Organisations) -> Self {
        Self {
            organisations,
            ..self
        }
    }

    /// The organisations in force with these routes.
    pub fn organisations(&self) -> &Organisations {
        &self.organisations
    }

    /// Says whether submissions for a host need no key.
    pub fn has_public_batch(&self, host: &str) -> bool {
        let of_host = self.routes.iter().filter(|route| &*route.host == host);
        let mut batch = of_host.filter(|route| route.kind == RouteKind::Batch);
        batch.any(|route| route.is_public)
    }

    /// The route of a host whose prefix is the longest that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|route| &*route.host < host);
        self.routes[start..]
            .iter()
            .take_while(|route| &*route.host == host)
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Says whether a route goes to a service.
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
