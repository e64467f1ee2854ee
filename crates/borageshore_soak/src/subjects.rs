//! Waits for the daemon or the moment that a fault is meant for.

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{LONG_EVENT_COUNT, PlatformEngine, Proxy};
use serde::Deserialize;

use crate::faults::Targets;

/// Interval between two checks for a condition to become true.
const POLL_MS: u64 = 20;
/// Number of events from which a long generation counts as nearly complete.
const NEARLY_COMPLETE_EVENTS: u64 = 45;

/// The fields of a heartbeat that the soak reads.
#[derive(Debug, Default, Deserialize)]
struct Heartbeat {
    holds: Vec<String>,
}

impl Targets {
    /// Waits for a daemon whose heartbeat says that it runs a submission; returns its index.
    pub(crate) async fn holder(&self) -> usize {
        loop {
            for (name, value) in self.store.newest("keyed.members") {
                let heartbeat: Heartbeat = serde_json::from_slice(&value).unwrap_or_default();
                let number = self.daemons.iter().position(|daemon| daemon.name == name);
                match number {
                    Some(number) if !heartbeat.holds.is_empty() => return number,
                    _ => {}
                }
            }
            sleep_ms(POLL_MS).await;
        }
    }

    /// Waits for the first usage report if needed; returns the index of the daemon that reported last.
    pub(crate) async fn reporter(&self) -> usize {
        loop {
            let reports = self.duties.reports();
            match self.number_of(reports.last().map(|report| &report.holder)) {
                Some(number) => return number,
                None => sleep_ms(POLL_MS).await,
            }
        }
    }

    /// Waits for the first order for endpoints if needed; returns the index of the daemon that ordered last.
    pub(crate) async fn scaler(&self) -> usize {
        loop {
            let orders = self.duties.orders();
            match self.number_of(orders.last().map(|order| &order.holder)) {
                Some(number) => return number,
                None => sleep_ms(POLL_MS).await,
            }
        }
    }

    fn number_of(&self, name: Option<&String>) -> Option<usize> {
        let mut daemons = self.daemons.iter();
        daemons.position(|daemon| Some(&daemon.name) == name)
    }

    /// Waits until some run is nearly complete, so that losing it would be expensive.
    pub(crate) async fn wait_for_nearly_complete_run(&self) {
        let is_nearly_complete = |(engine, _): &(PlatformEngine, Proxy)| {
            let runs = engine.runs();
            let mut lengths = runs.iter().map(|run| run.events.len());
            lengths
                .any(|events| (NEARLY_COMPLETE_EVENTS..LONG_EVENT_COUNT).contains(&(events as u64)))
        };
        while !self.engines.iter().any(is_nearly_complete) {
            sleep_ms(POLL_MS).await;
        }
    }
}
