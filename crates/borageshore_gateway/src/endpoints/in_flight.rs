//! Requests in flight at endpoints.

use std::{rc::Rc, sync::Arc};

use borageshore_routing::LoadReport;

use super::Endpoints;

/// A request counted in its endpoint's load until it ends or is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(super) endpoints: Rc<Endpoints>,
    pub(super) instance: Arc<str>,
    pub(super) is_counted: bool,
}

impl InFlight {
    pub(crate) fn instance(&self) -> &Arc<str> {
        &self.instance
    }

    /// Applies the load report of a response, if it has one.
    pub(crate) fn on_load(&self, load: Option<LoadReport>) {
        if let Some(load) = load {
            let now_ms = self.endpoints.clock.now_ms();
            let mut table = self.endpoints.table.borrow_mut();
            if table.on_report(&self.instance, load, now_ms) {
                let service = table
                    .get(&self.instance)
                    .map(|known| &*known.listing.service);
                log::info!(service, instance = &*self.instance, slowdown_percent = load.slowdown_percent; "endpoints of a service report slowdowns; counting them in its choice");
            }
        }
    }

    /// Ends the request with a response, which counts as a success or a failure of the endpoint.
    pub(crate) fn end(self, is_healthy: bool) {
        if is_healthy {
            self.succeed();
        } else {
            self.fail();
        }
    }

    /// Ends the request as a success of the endpoint.
    pub(crate) fn succeed(mut self) {
        self.is_counted = false;
        self.endpoints.table.borrow_mut().on_success(&self.instance);
        self.endpoints.changed.notify_waiters();
    }

    /// Ends the request as a failure of the endpoint, which may eject it.
    pub(crate) fn fail(mut self) {
        self.is_counted = false;
        let now_ms = self.endpoints.clock.now_ms();
        let mut table = self.endpoints.table.borrow_mut();
        table.on_failure(&self.instance, now_ms);
        drop(table);
        self.endpoints.changed.notify_waiters();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.is_counted {
            let mut table = self.endpoints.table.borrow_mut();
            table.on_cancelled(&self.instance);
            drop(table);
            self.endpoints.changed.notify_waiters();
        }
    }
}
