//! Faults of endpoints.

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{EngineSwitches, PlainSwitches};
use serde_json::json;

use super::Targets;

impl Targets {
    /// Restarts an engine under the same id without a moment in which it is unlisted.
    pub(super) fn restart_engine(&self, number: usize) {
        let (engine, proxy) = &self.engines[number];
        engine.restart(1);
        proxy.stall_open_connections();
        engine.list(&self.store, &proxy.address().to_string(), "ready");
    }

    /// Overwrites an endpoint's entry as another writer would, and restores it after `length_ms`.
    pub(super) async fn put_foreign_entry(&self, number: usize, length_ms: u64) {
        let (service, proxy) = &self.services[number];
        let address = proxy.address().to_string();
        let foreign =
            json!({ "service": "app", "address": address, "state": "ready", "slots": "6" });
        let key = format!("s-{number}");
        self.store
            .put("keyed.servers", &key, foreign.to_string().as_bytes());
        if number == 0 {
            self.oracle
                .foreign_entry_at_ms
                .set(Some(self.clock.now_ms()));
        }
        sleep_ms(length_ms).await;
        service.list(&self.store, &address, "ready");
    }

    /// Lists an engine as draining for `length_ms`.
    pub(super) async fn drain_engine(&self, number: usize, length_ms: u64) {
        let (engine, proxy) = &self.engines[number];
        let address = proxy.address().to_string();
        engine.list(&self.store, &address, "draining");
        sleep_ms(length_ms).await;
        engine.list(&self.store, &address, "ready");
    }

    pub(super) async fn switch_engine<Change>(&self, number: usize, length_ms: u64, change: Change)
    where
        Change: FnOnce(&mut EngineSwitches),
    {
        let engine = &self.engines[number].0;
        let usual = engine.switches();
        let mut switches = usual;
        change(&mut switches);
        engine.set_switches(switches);
        sleep_ms(length_ms).await;
        engine.set_switches(EngineSwitches {
            event_ms: 15,
            cut_every: 0,
            order_delay_ms: 0,
            ..usual
        });
    }

    pub(super) async fn switch_service<Change>(&self, number: usize, length_ms: u64, change: Change)
    where
        Change: FnOnce(&mut PlainSwitches),
    {
        let usual = PlainSwitches {
            work_ms: 5,
            lose_every: 0,
            wrong_id_every: 0,
        };
        let mut switches = usual;
        change(&mut switches);
        let service = &self.services[number].0;
        service.set_switches(switches);
        sleep_ms(length_ms).await;
        service.set_switches(usual);
    }
}
