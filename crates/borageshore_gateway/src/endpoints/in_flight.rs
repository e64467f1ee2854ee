//! Requests that are at endpoints now.

use std::{rc::Rc, sync::Arc};

use borageshore_routing::LoadReport;

use super::Endpoints;

/// A request that is counted at its endpoint until it ends.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(super) endpoints: Rc<Endpoints>,
    pub(super) instance: Arc<str>,
    pub(super) is_counted: bool,
}

impl InFlight {
    /// The endpoint.
    pub(crate) fn instance(&self) -> &Arc<str> {
        &self.instance
    }

    /// Takes over a load report that came with an answer.
    pub(crate) fn on_load(&self, load: Option<LoadReport>) {
        if let Some(load) = load {
            let now_ms = self.endpoints.clock.now_ms();
            let mut table = self.endpoints.table.borrow_mut();
            table.on_report(&self.instance, load, now_ms);
        }
    }

    /// Ends it with an answer, which speaks for the endpoint or against it.
    pub(crate) fn end(self, is_healthy: bool) {
        if is_healthy {
            self.succeed();
        } else {
            self.fail();
        }
    }

    /// Ends it with an answer.
    pub(crate) fn succeed(mut self) {
        self.is_counted = false;
        self.endpoints.table.borrow_mut().on_success(&self.instance);
        self.endpoints.changed.notify_waiters();
    }

    /// Ends it with a failure that speaks against the endpoint.
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
