//! The operator's routes, and the model versions that trainers announce.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_access::Organisations;
use borageshore_batch::ModelVersion;
use borageshore_diagnostics::{Instruments, LogOnce};
use borageshore_platform::{
    ColdServiceLimits, KeyedRecord, OperatorRecord, ServiceLimits, decode_operator_record,
    is_routes_key,
};
use borageshore_routing::{
    Route, RouteTable, UnservableRoute, regions_without_zones, unservable_routes,
};
use borageshore_topology::{Residency, Topology, directory_regions};
use tokio::sync::Notify;

use crate::follow::RecordView;

/// The largest priority value that engines accept; 0 is the highest priority.
const MAX_PRIORITY: u64 = 9;
/// The maximum number of routes in a log line about several of them.
const MAX_ROUTES_LOGGED: usize = 8;

/// The routes in force and the published model versions.
#[derive(Debug)]
pub(crate) struct Routes {
    topology: Rc<Topology>,
    instruments: Rc<Instruments>,
    table: RefCell<Rc<RouteTable>>,
    scaling_limits: RefCell<Rc<ServiceLimits>>,
    cold_limits: RefCell<Rc<ColdServiceLimits>>,
    is_known: Cell<bool>,
    /// Whether newer routes could not be decoded: they may have changed keys.
    is_unreadable: Cell<bool>,
    /// Whether any routes since the start restricted the regions of requests.
    has_seen_residency: Cell<bool>,
    published_versions: RefCell<Vec<ModelVersion>>,
    undecodable: LogOnce,
    /// Notified when other routes are in force.
    pub(crate) changed: Notify,
    /// Notified when a trainer publishes a version.
    pub(crate) version_published: Notify,
}

impl Routes {
    /// Creates a view without routes.
    pub(crate) fn open(topology: Rc<Topology>, instruments: Rc<Instruments>) -> Rc<Self> {
        Rc::new(Self {
            topology,
            instruments,
            table: RefCell::default(),
            scaling_limits: RefCell::default(),
            cold_limits: RefCell::default(),
            is_known: Cell::default(),
            is_unreadable: Cell::default(),
            has_seen_residency: Cell::default(),
            published_versions: RefCell::default(),
            undecodable: LogOnce::default(),
            changed: Notify::new(),
            version_published: Notify::new(),
        })
    }

    /// Whether any routes were received; no request can be served before.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// Whether routes are in force and no newer ones failed to decode.
    pub(crate) fn is_latest_readable(&self) -> bool {
        self.is_known() && !self.is_unreadable.get()
    }

    pub(crate) fn with_organisations<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&Organisations) -> Output,
    {
        read(self.table.borrow().organisations())
    }

    /// Whether submissions for a host need no key.
    pub(crate) fn has_public_batch(&self, host: &str) -> bool {
        self.table.borrow().has_public_batch(host)
    }

    /// The priority of a request: that of its organisation if it has one, otherwise that of the route.
    pub(crate) fn priority(&self, route: &Route, organisation: Option<&str>) -> u64 {
        let table = self.table.borrow();
        let organisation = organisation.and_then(|name| table.organisations().named(name));
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(route.priority).min(MAX_PRIORITY)
    }

    /// The regions in which a request may be served: those that its route and its organisation both allow.
    pub(crate) fn residency(&self, route: &Route, organisation: Option<&str>) -> Residency {
        self.table.borrow().residency(route, organisation)
    }

    /// The regions in which a request that was admitted under a residency may still be sent: those that the routes in
    /// force allow as well.
    pub(crate) fn residency_now(
        &self,
        admitted: &Residency,
        (host, path): (&str, &str),
        organisation: Option<&str>,
    ) -> Residency {
        let table = self.table.borrow();
        match table.find(host, path) {
            Some(route) => admitted.intersect(&table.residency(route, organisation)),
            None => admitted.clone(),
        }
    }

    /// Whether any routes since the start of this daemon restricted the regions of requests.
    pub(crate) fn has_seen_residency(&self) -> bool {
        self.has_seen_residency.get()
    }

    /// Whether any region of the deployment may serve requests with this residency.
    pub(crate) fn is_servable(&self, residency: &Residency) -> bool {
        self.topology.has_region_of(residency)
    }

    /// The regions whose daemons are named to a caller of a host.
    pub(crate) fn directory_regions(
        &self,
        host: &str,
        caller_region: Option<&Arc<str>>,
        ready_regions: &[Arc<str>],
    ) -> Residency {
        let table = self.table.borrow();
        directory_regions(
            table.residencies_of_host(host),
            caller_region,
            ready_regions,
        )
    }

    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        self.table.borrow().find(host, path).cloned()
    }

    /// Whether any route uses a service; endpoints of other services are ignored.
    pub(crate) fn names_service(&self, service: &str) -> bool {
        self.table.borrow().names_service(service)
    }

    /// The limits on orders for endpoints, by service.
    pub(crate) fn scaling_limits(&self) -> Rc<ServiceLimits> {
        self.scaling_limits.borrow().clone()
    }

    /// The routes in force, and what cold endpoints of their services tolerate.
    pub(crate) fn cold_limits(&self) -> (Rc<RouteTable>, Rc<ColdServiceLimits>) {
        (
            self.table.borrow().clone(),
            self.cold_limits.borrow().clone(),
        )
    }

    /// The newest published version of each model, ordered by model.
    pub(crate) fn published_versions(&self) -> Vec<ModelVersion> {
        self.published_versions.borrow().clone()
    }

    /// Applies routes, unless a newer version is already in force.
    fn set(&self, table: RouteTable, limits: ServiceLimits, cold_limits: ColdServiceLimits) {
        let known = self.table.borrow().version;
        if self.is_known.get() && table.version < known {
            return;
        }
        log::info!(version = table.version, routes = table.iter().count(); "routes in force");
        self.check_residency(&table);
        self.is_known.set(true);
        self.is_unreadable.set(false);
        *self.table.borrow_mut() = Rc::new(table);
        *self.scaling_limits.borrow_mut() = Rc::new(limits);
        *self.cold_limits.borrow_mut() = Rc::new(cold_limits);
        self.changed.notify_waiters();
    }

    /// Reports routes whose requests have to be refused because no region of the deployment may serve them.
    fn check_residency(&self, table: &RouteTable) {
        let has_residency = table.has_residency();
        if !has_residency && !self.has_seen_residency.get() {
            return;
        }
        self.has_seen_residency.set(true);
        let unservable = unservable_routes(table, &self.topology);
        let count = unservable.len();
        self.instruments.set("routes_without_region", count as u64);
        if count > 0 {
            let name = |unservable: &UnservableRoute| match &unservable.organisation {
                Some(organisation) => format!("{} for {organisation}", unservable.route),
                None => unservable.route.to_string(),
            };
            let some = unservable.iter().take(MAX_ROUTES_LOGGED);
            let some: Vec<String> = some.map(name).collect();
            log::warn!(version = table.version, count, routes:? = some; "no region may serve some routes; refusing their requests");
        }
        let mut missing = regions_without_zones(table, &self.topology);
        if !missing.is_empty() {
            let count = missing.len();
            missing.truncate(MAX_ROUTES_LOGGED);
            log::warn!(version = table.version, count, regions:? = missing; "routes allow regions without zones in this deployment; they allow nothing");
        }
    }

    fn on_version_published(&self, published: ModelVersion) {
        log::info!(model = &*published.model, version = published.version; "trainer published a model version");
        let mut all = self.published_versions.borrow_mut();
        match all.binary_search_by(|known| known.model.cmp(&published.model)) {
            Ok(at) => all[at].version = all[at].version.max(published.version),
            Err(at) => all.insert(at, published),
        }
        self.version_published.notify_waiters();
    }
}

impl RecordView for Routes {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            match decode_operator_record(record) {
                Some(Ok(OperatorRecord::Routes(table, limits, cold_limits))) => {
                    self.set(table, limits, cold_limits);
                }
                Some(Ok(OperatorRecord::Version(version))) => self.on_version_published(version),
                Some(Err(error)) => {
                    if is_routes_key(&record.key) {
                        self.is_unreadable.set(true);
                    }
                    if self.undecodable.is_new(&record.key) {
                        log::error!(key = &*record.key, error:% = error; "operator record cannot be decoded");
                    }
                }
                None => {}
            }
        }
    }
}
