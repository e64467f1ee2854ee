//! The operator's routes and the versions that trainers name.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_access::Organisations;
use borageshore_batch::ModelVersion;
use borageshore_platform::{KeyedRecord, OperatorRecord, decode_operator_record};
use borageshore_routing::{Route, RouteTable};
use tokio::sync::Notify;

use crate::follow::Fold;

/// The last rank that engines know.
const MAX_PRIORITY: u64 = 9;

/// What operator and trainers ask for.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    table: RefCell<Rc<RouteTable>>,
    is_known: Cell<bool>,
    /// Whether the newest routes could not be read: what it changed of keys is not known.
    is_unreadable: Cell<bool>,
    named_versions: RefCell<Vec<ModelVersion>>,
    /// Told when a version is named.
    pub(crate) version_named: Notify,
}

impl Routes {
    /// Says whether any routes have come yet; without them nothing can be answered.
    pub(crate) fn is_known(&self) -> bool {
        self.is_known.get()
    }

    /// Says whether the newest routes could be read.
    pub(crate) fn is_latest_readable(&self) -> bool {
        self.is_known() && !self.is_unreadable.get()
    }

    /// Runs a function on the organisations in force.
    pub(crate) fn with_organisations<Read, Output>(&self, read: Read) -> Output
    where
        Read: FnOnce(&Organisations) -> Output,
    {
        read(self.table.borrow().organisations())
    }

    /// Says whether submissions for a host need no key.
    pub(crate) fn has_public_batch(&self, host: &str) -> bool {
        self.table.borrow().has_public_batch(host)
    }

    /// The rank of a request on a route: that of its organisation, if it has one.
    pub(crate) fn priority(&self, route: &Route, organisation: Option<&str>) -> u64 {
        let table = self.table.borrow();
        let organisation = organisation.and_then(|name| table.organisations().named(name));
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(route.priority).min(MAX_PRIORITY)
    }

    /// The route of a request.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        self.table.borrow().find(host, path).cloned()
    }

    /// Says whether a route goes to a service; an endpoint of any other is of no use.
    pub(crate) fn names_service(&self, service: &str) -> bool {
        self.table.borrow().names_service(service)
    }

    /// The newest named version of each model.
    pub(crate) fn named_versions(&self) -> Vec<ModelVersion> {
        self.named_versions.borrow().clone()
    }

    /// Takes over routes; they never go back to an older version within a process.
    fn set(&self, table: RouteTable) {
        let known = self.table.borrow().version;
        if self.is_known.get() && table.version < known {
            return;
        }
        log::info!(version = table.version, routes = table.iter().count(); "routes in force");
        self.is_known.set(true);
        self.is_unreadable.set(false);
        *self.table.borrow_mut() = Rc::new(table);
    }

    fn on_version_named(&self, named: ModelVersion) {
        log::info!(model = &*named.model, version = named.version; "version named");
        let mut all = self.named_versions.borrow_mut();
        match all.binary_search_by(|known| known.model.cmp(&named.model)) {
            Ok(at) => all[at].version = all[at].version.max(named.version),
            Err(at) => all.insert(at, named),
        }
        self.version_named.notify_waiters();
    }
}

impl Fold for Routes {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            match decode_operator_record(record) {
                Some(Ok(OperatorRecord::Routes(table))) => self.set(table),
                Some(Ok(OperatorRecord::Version(named))) => self.on_version_named(named),
                Some(Err(error)) => {
                    self.is_unreadable.set(true);
                    log::error!(key = &*record.key, error:% = error; "a record of the operator cannot be read");
                }
                None => {}
            }
        }
    }
}
