//! The evacuated availability zones, as the operator's records tell.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use borageshore_diagnostics::Instruments;
use borageshore_net::sleep_ms;
use borageshore_platform::{KeyedRecord, decode_evacuation};
use borageshore_routing::EvacuationRecords;
use tokio::sync::Notify;

use crate::{endpoints::Endpoints, follow::RecordView, true_time::time_of_day_ms};

/// The interval at which the requests that still run in evacuated zones are counted.
const COUNT_INTERVAL_MS: u64 = 500;

/// Follows the operator's evacuations and applies them to the endpoints.
#[derive(Debug)]
pub(crate) struct EvacuationView {
    records: RefCell<EvacuationRecords>,
    endpoints: Rc<Endpoints>,
    instruments: Rc<Instruments>,
    /// When the oldest evacuation in force was read, in Unix ms; 0 without one.
    since_ms: Cell<u64>,
    changed: Notify,
}

impl EvacuationView {
    pub(crate) fn spawn(endpoints: Rc<Endpoints>, instruments: Rc<Instruments>) -> Rc<Self> {
        let view = Rc::new(Self {
            records: RefCell::default(),
            endpoints,
            instruments,
            since_ms: Cell::new(0),
            changed: Notify::new(),
        });
        monoio::spawn(view.clone().count_running());
        view
    }

    fn on_record(&self, record: &KeyedRecord) {
        let Some(evacuation) = decode_evacuation(record) else {
            return;
        };
        let (zone, is_evacuated) = (&evacuation.zone, evacuation.is_evacuated);
        let mut records = self.records.borrow_mut();
        if records.on_record(zone, record.offset, is_evacuated) {
            drop(records);
            self.set(zone, is_evacuated, record.offset);
        }
    }

    fn set(&self, zone: &Arc<str>, is_evacuated: bool, offset: u64) {
        let zone_use = self.endpoints.set_evacuated(zone, is_evacuated);
        match is_evacuated {
            true if zone_use.endpoints == 0 && self.endpoints.is_known() => {
                log::warn!(zone = &**zone, offset; "evacuation of an availability zone in force; no endpoint of the zone is known");
            }
            true => {
                log::info!(zone = &**zone, offset, endpoints = zone_use.endpoints, running = zone_use.running; "evacuation of an availability zone in force; nothing more is sent to its endpoints");
            }
            false => {
                log::info!(zone = &**zone, offset, endpoints = zone_use.endpoints, running = zone_use.running; "evacuation of an availability zone ended; its endpoints count as cold");
            }
        }
        let zones = self.endpoints.evacuated_zones().len() as u64;
        let since_ms = match (zones, self.since_ms.get()) {
            (0, _) => 0,
            (_, 0) => time_of_day_ms(),
            (_, since_ms) => since_ms,
        };
        self.since_ms.set(since_ms);
        self.instruments.set("evacuated_zones", zones);
        self.instruments.set("evacuated_since_ms", since_ms);
        self.changed.notify_one();
    }

    /// Counts the requests that still run in evacuated zones, and logs when a zone has none left.
    async fn count_running(self: Rc<Self>) {
        let mut in_use: Vec<Arc<str>> = Vec::new();
        loop {
            let zones = self.endpoints.evacuated_zones();
            let uses = zones
                .into_iter()
                .map(|zone| (self.endpoints.zone_use(&zone), zone));
            let (busy, idle): (Vec<_>, Vec<_>) =
                uses.partition(|(zone_use, _)| zone_use.running > 0);
            for (_, zone) in idle.iter().filter(|(_, zone)| in_use.contains(zone)) {
                log::info!(zone = &**zone; "no request of this daemon runs in an evacuated zone any more");
            }
            let running = busy.iter().map(|(zone_use, _)| zone_use.running).sum();
            self.instruments.set("evacuated_running", running);
            in_use = busy.into_iter().map(|(_, zone)| zone).collect();
            match in_use.is_empty() {
                true => self.changed.notified().await,
                false => sleep_ms(COUNT_INTERVAL_MS).await,
            }
        }
    }
}

impl RecordView for EvacuationView {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            self.on_record(record);
        }
    }

    fn on_gap(&self) {
        self.records.borrow_mut().on_gap();
    }

    fn on_loaded(&self, next_offset: u64) {
        let ended = self.records.borrow_mut().on_loaded(next_offset);
        for zone in ended {
            self.set(&zone, false, next_offset);
        }
    }
}
