//! The operator's routes, and the model versions that trainers announce.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_access::Organisations;
use borageshore_batch::ModelVersion;
use borageshore_platform::{
    ColdServiceLimits, KeyedRecord, OperatorRecord, ServiceLimits, decode_operator_record,
};
use borageshore_routing::{Route, RouteTable};
use borageshore_topology::Residency;
use tokio::sync::Notify;

use crate::follow::RecordView;

/// The largest priority value that engines accept; 0 is the highest priority.
const MAX_PRIORITY: u64 = 9;

/// The routes in force and the published model versions.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    table: RefCell<Rc<RouteTable>>,
    scaling_limits: RefCell<Rc<ServiceLimits>>,
    cold_limits: RefCell<Rc<ColdServiceLimits>>,
    is_known: Cell<bool>,
    /// Whether a record since the routes in force could not be decoded: it may have changed keys.
    is_unreadable: Cell<bool>,
    published_versions: RefCell<Vec<ModelVersion>>,
    /// Notified when a trainer publishes a version.
    pub(crate) version_published: Notify,
}

impl Routes {
    /// Whether any routes were received; no request can be served before.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// Whether routes are in force and no later record failed to decode.
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
        self.is_known.set(true);
        self.is_unreadable.set(false);
        *self.table.borrow_mut() = Rc::new(table);
        *self.scaling_limits.borrow_mut() = Rc::new(limits);
        *self.cold_limits.borrow_mut() = Rc::new(cold_limits);
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
                    self.is_unreadable.set(true);
                    log::error!(key = &*record.key, error:% = error; "operator record cannot be decoded");
                }
                None => {}
            }
        }
    }
}
