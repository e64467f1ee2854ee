//! What waits because no daemon or endpoint is in a region that it is restricted to, as operators see it.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_diagnostics::Instruments;

/// The number of waiting pieces of work by service, as a gauge and as log lines when a service's work starts to wait and
/// when none waits any more.
#[derive(Debug)]
pub(crate) struct ResidencyWaits {
    gauge: &'static str,
    instruments: Rc<Instruments>,
    reported: RefCell<SortedMap<Arc<str>, u64>>,
}

impl ResidencyWaits {
    pub(crate) fn open(gauge: &'static str, instruments: Rc<Instruments>) -> Self {
        Self {
            gauge,
            instruments,
            reported: RefCell::default(),
        }
    }

    /// Reports what waits now, by service.
    pub(crate) fn report(&self, waiting: SortedMap<Arc<str>, u64>) {
        let mut reported = self.reported.borrow_mut();
        if *reported == waiting {
            return;
        }
        for (service, count) in waiting.iter() {
            self.instruments.set_at(self.gauge, service, *count);
            if !reported.contains_key(service) {
                log::warn!(what = self.gauge, service = &**service, count = *count; "work waits: nothing in its allowed regions can run it");
            }
        }
        for service in reported
            .keys()
            .filter(|service| !waiting.contains_key(*service))
        {
            self.instruments.set_at(self.gauge, service, 0);
            log::info!(what = self.gauge, service = &**service; "no work waits for its allowed regions any more");
        }
        *reported = waiting;
    }
}
