//! The operator's records: routes with organisations, published versions and evacuations.
//!
//! One follower reads them all, as each costs every daemon a waiting read.

use std::rc::Rc;

use borageshore_platform::KeyedRecord;

use crate::{evacuations::EvacuationView, follow::RecordView, routes::Routes};

/// Passes each record to the views that may know it.
#[derive(Debug)]
pub(crate) struct OperatorRecords {
    pub(crate) routes: Rc<Routes>,
    pub(crate) evacuations: Rc<EvacuationView>,
}

impl RecordView for OperatorRecords {
    fn apply(&self, records: &[KeyedRecord]) {
        self.routes.apply(records);
        self.evacuations.apply(records);
    }

    fn on_caught_up(&self) {
        self.routes.on_caught_up();
        self.evacuations.on_caught_up();
    }

    fn on_gap(&self) {
        self.routes.on_gap();
        self.evacuations.on_gap();
    }

    fn on_loaded(&self, next_offset: u64) {
        self.routes.on_loaded(next_offset);
        self.evacuations.on_loaded(next_offset);
    }
}
