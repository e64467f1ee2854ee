//! Endpoint entries of the platform: how they are added, changed, expired and removed.

use std::{rc::Rc, sync::Arc};

use borageshore_net::sleep_ms;
use borageshore_platform::{EndpointEntry, EngineReport, KeyedRecord, decode_endpoint};
use borageshore_routing::{EndpointState, EndpointTable, EntryEffect, LoadReport};
use futures_util::future::join_all;

use super::{Endpoints, target};
use crate::follow::RecordView;

/// How long entries that expired around a store outage are kept: live endpoints are listed again within this time. One
/// that is still missing then is gone.
const EXPIRY_GRACE_MS: u64 = 2_300;
/// The maximum age of what an engine reports.
const MAX_REPORT_AGE_MS: u64 = 200;
/// The delay before a leaving engine is asked: by then its report is from after the notice.
const ASK_DELAY_MS: u64 = MAX_REPORT_AGE_MS + 100;
/// A longer gap between two reads counts as a store outage; a read waits for 1.2 s at most.
const OUTAGE_GAP_MS: u64 = 2_000;

impl Endpoints {
    fn on_entry(&self, id: &Arc<str>, entry: EndpointEntry) {
        let known = self.registry.borrow().get(id).cloned();
        let effect = {
            let mut registry = self.registry.borrow_mut();
            registry.on_entry(id, entry.started_at_ms, entry.clone())
        };
        match effect {
            EntryEffect::Accepted => {}
            EntryEffect::Restarted => {
                let old_address = known.as_ref().map_or("", |known| &*known.listing.address);
                log::info!(id = &**id, started_at_ms = entry.started_at_ms; "endpoint started again");
                self.client.discard_idle_connections(old_address);
                if let Some(known) = &known {
                    self.note_ended(&known.listing);
                }
            }
            EntryEffect::Stale => {
                log::info!(id = &**id, started_at_ms = entry.started_at_ms; "ignoring an endpoint entry of an earlier incarnation");
                return;
            }
            EntryEffect::Foreign => return self.on_foreign(id, "its start time is missing"),
        }
        self.expired.borrow_mut().remove(id);
        let instance = &entry.listing.name;
        for (model, version) in &entry.models {
            self.versions
                .borrow_mut()
                .observe(instance, model, *version);
        }
        self.update_leaving(&entry);
        self.on_entry_coldness(&entry);
        if known
            .as_ref()
            .is_none_or(|known| known.listing.state == EndpointState::Live)
        {
            self.note_unannounced_departure(&entry);
        }
        if known
            .as_ref()
            .is_some_and(|known| known.listing == entry.listing)
        {
            return;
        }
        log::debug!(instance = &**instance, service = &*entry.listing.service, address = &*entry.listing.address, state:? = entry.listing.state; "endpoint listed");
        let ended = known.filter(|known| known.listing.name != *instance);
        self.note_changed(id, ended.as_ref());
    }

    fn update_leaving(&self, entry: &EndpointEntry) {
        let instance = &entry.listing.name;
        match entry.leaves_ms {
            Some(leaves_ms) => self.on_notice(instance, &entry.listing.service, leaves_ms),
            None if entry.listing.state == EndpointState::Live => {
                self.leaving.borrow_mut().remove(instance);
            }
            // The time may be known from its report.
            None => {}
        }
    }

    /// Notes an engine that runs items of this daemon and is leaving, but whose entry does not say when.
    fn note_unannounced_departure(&self, entry: &EndpointEntry) {
        let listing = &entry.listing;
        let is_unannounced = listing.state == EndpointState::Leaving && entry.leaves_ms.is_none();
        let runs_items = || {
            let table = self.table.borrow();
            table
                .get(&listing.name)
                .is_some_and(|engine| engine.in_flight > 0)
        };
        let is_engine = !entry.models.is_empty();
        if is_unannounced && is_engine && self.has_contention(&listing.service) && runs_items() {
            let engine = (listing.name.clone(), listing.service.clone());
            self.unannounced.borrow_mut().push(engine);
            self.departure_noted.notify_one();
        }
    }

    /// Asks leaving engines whose entries do not say when they leave for their reports, which may.
    pub(crate) async fn ask_leaving_engines(self: Rc<Self>) {
        loop {
            if self.unannounced.borrow().is_empty() {
                self.departure_noted.notified().await;
            }
            sleep_ms(ASK_DELAY_MS).await;
            let engines = self.unannounced.take();
            let client = &self.client;
            let asking = engines.iter().filter_map(|(instance, service)| {
                let target = self.target_of(instance)?;
                Some(async move { (instance, service, client.report(&target).await) })
            });
            for (instance, service, report) in join_all(asking).await {
                match report {
                    Ok(EngineReport {
                        leaves_ms: Some(leaves_ms),
                        ..
                    }) => {
                        let leaves_ms = leaves_ms.saturating_sub(MAX_REPORT_AGE_MS);
                        self.on_notice(instance, service, leaves_ms);
                    }
                    Ok(_) => {}
                    Err(error) => {
                        log::info!(instance = &**instance, error:% = error; "leaving engine did not report when it leaves; its items stay until they are cut");
                    }
                }
            }
        }
    }

    /// Applies the remaining time of an instance. Notices arrive late, so the earliest end that one gave counts.
    fn on_notice(&self, instance: &Arc<str>, service: &Arc<str>, leaves_ms: u64) {
        let mut leaving = self.leaving.borrow_mut();
        let reported_at_ms = self.clock.now_ms().saturating_add(leaves_ms);
        let leaves_at_ms = leaving.get_or_insert_with(instance.clone(), || {
            log::info!(instance = &**instance, service = &**service, leaves_ms; "endpoint has notice to leave; it gets no more items");
            reported_at_ms
        });
        *leaves_at_ms = reported_at_ms.min(*leaves_at_ms);
    }

    /// Notes that the entry of an id has changed, and the entry of an instance that ended by it.
    fn note_changed(&self, id: &Arc<str>, ended: Option<&EndpointEntry>) {
        let mut changes = self.changes.borrow_mut();
        changes.ids.push(id.clone());
        changes
            .ended
            .extend(ended.map(|ended| ended.listing.name.clone()));
    }

    /// Removes an id whose entry was overwritten by another writer, without the grace period of an expired entry.
    fn on_foreign(&self, id: &Arc<str>, why: &str) {
        self.expired.borrow_mut().remove(id);
        let known = self.registry.borrow().get(id).cloned();
        if self.registry.borrow_mut().on_foreign(id) {
            log::warn!(id = &**id, why; "endpoint entry is invalid or from another writer; not using the endpoint");
            self.note_changed(id, known.as_ref());
        }
    }

    /// Applies the changes of a batch of records to the table that endpoints are chosen from. The cost depends on the
    /// changes, not on the number of endpoints.
    fn update_table(&self) {
        let changes = std::mem::take(&mut *self.changes.borrow_mut());
        if changes.ids.is_empty() && changes.ended.is_empty() {
            return;
        }
        log::info!(changed = changes.ids.len(), ended = changes.ended.len(); "endpoint list changed");
        let mut table = self.table.borrow_mut();
        for instance in &changes.ended {
            table.on_unlisted(instance);
            self.targets.borrow_mut().remove(instance);
            self.versions.borrow_mut().remove(instance);
            self.latencies.borrow_mut().remove(instance);
            self.leaving.borrow_mut().remove(instance);
        }
        let registry = self.registry.borrow();
        let now_ms = self.clock.now_ms();
        for entry in changes.ids.iter().filter_map(|id| registry.get(id)) {
            self.update_entry(&mut table, entry, now_ms);
        }
        self.changed.notify_waiters();
    }

    fn update_entry(&self, table: &mut EndpointTable, entry: &EndpointEntry, now_ms: u64) {
        let instance = &entry.listing.name;
        table.on_listed(entry.listing.clone());
        let is_new = table
            .get(instance)
            .is_some_and(|known| known.report.is_none());
        if is_new {
            let report = LoadReport {
                requests: 0,
                slots: entry.slots,
                slowdown_percent: None,
            };
            table.on_report(instance, report, now_ms);
        }
        for (model, version) in &entry.models {
            self.versions
                .borrow_mut()
                .observe(instance, model, *version);
        }
        self.targets
            .borrow_mut()
            .insert(instance.clone(), target(entry, &self.topology));
    }

    fn on_removed(&self, id: &Arc<str>) {
        let now_ms = self.clock.now_ms();
        let grace_until_ms = self.outage_ended_at_ms.get().map(|at| at + EXPIRY_GRACE_MS);
        match grace_until_ms {
            Some(until_ms) if now_ms < until_ms => {
                log::info!(instance = &**id, until_ms; "endpoint entry expired around a store outage; keeping the endpoint for a grace period");
                self.expired.borrow_mut().insert(id.clone(), until_ms);
            }
            _ => self.remove(id),
        }
    }

    fn remove(&self, id: &Arc<str>) {
        let known = self.registry.borrow().get(id).cloned();
        if let Some(known) = &known {
            self.note_ended(&known.listing);
        }
        if self.registry.borrow_mut().remove(id) {
            log::info!(instance = &**id; "endpoint gone");
            self.note_changed(id, known.as_ref());
        }
    }

    /// Removes the ids that are missing from the first batch after a gap, which holds the newest record of each key.
    fn remove_unconfirmed(&self, newest: &[KeyedRecord]) {
        let unconfirmed = self.unconfirmed.take().unwrap_or_default();
        let mut listed: Vec<&Arc<str>> = newest.iter().map(|record| &record.key).collect();
        listed.sort_unstable();
        for id in unconfirmed {
            if listed.binary_search(&&id).is_err() {
                self.on_removed(&id);
            }
        }
    }

    /// Removes the expired entries whose grace period is over.
    pub(crate) fn remove_expired(&self) {
        let now_ms = self.clock.now_ms();
        let mut gone = Vec::new();
        self.expired.borrow_mut().retain(|id, until_ms| {
            let is_over = now_ms >= *until_ms;
            if is_over {
                gone.push(id.clone());
            }
            !is_over
        });
        for id in gone {
            self.remove(&id);
        }
        self.update_table();
    }
}

impl RecordView for Endpoints {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some(value) = &record.value else {
                self.on_removed(&record.key);
                continue;
            };
            match decode_endpoint(&record.key, value) {
                Ok(entry) => self.on_entry(&record.key, entry),
                Err(error) => self.on_foreign(&record.key, &error.to_string()),
            }
        }
        self.remove_unconfirmed(records);
        self.update_table();
    }

    /// Remembers the known ids, as the removal of one may be among the missed records.
    fn on_gap(&self) {
        let known = self.registry.borrow().ids().cloned().collect();
        *self.unconfirmed.borrow_mut() = Some(known);
    }

    fn on_caught_up(&self) {
        let now_ms = self.clock.now_ms();
        if now_ms > self.last_read_at_ms.get() + OUTAGE_GAP_MS {
            self.outage_ended_at_ms.set(Some(now_ms));
        }
        self.last_read_at_ms.set(now_ms);
        self.remove_expired();
    }
}
