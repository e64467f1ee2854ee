//! Writes this daemon's presence record and its suspicions to the store.

use std::{rc::Rc, sync::Arc};

use borageshore_membership::{PROBE_INTERVAL_MS, Suspicion};
use borageshore_net::{sleep_ms, within_ms};
use borageshore_platform::{StoreError, Topic};
use bytes::Bytes;

use super::{Members, SUSPICION_PREFIX};
use crate::{feed::Feed, follow::ONLY_PARTITION, store_transport::Store};

/// The pause before a failed write of the presence record is repeated. Others may be waiting for the record.
const RETRY_INTERVAL_MS: u64 = 500;

impl Members {
    /// Writes this daemon's presence record at each change and periodically, until it leaves.
    pub(crate) async fn announce(self: Rc<Self>, feed: Rc<Feed>) {
        let mut is_failing = false;
        sleep_ms(feed.register_delay_ms()).await;
        while !self.has_left.get() {
            let key = self.own.borrow().name.clone();
            let value = serde_json::to_vec(&*self.own.borrow()).expect("plain data");
            let written = feed.append_member((key, Bytes::from(value))).await;
            let pause_ms = self.table.borrow().record_interval_ms();
            let pause_ms = match &written {
                // The record also probes the direct route to the store.
                Ok(_) if self.transport.uses_peers() => pause_ms.min(PROBE_INTERVAL_MS),
                Ok(_) => pause_ms,
                Err(_) => RETRY_INTERVAL_MS,
            };
            if let Err(error) = &written
                && !is_failing
            {
                log::warn!(error:% = error; "could not write this daemon's presence record to the store; retrying");
            }
            is_failing = written.is_err();
            within_ms(pause_ms, self.write_requested.notified()).await;
        }
    }

    /// Writes suspicions; daemons that do not refute theirs in time are declared dead.
    pub(crate) async fn suspect(&self, feed: &Feed, silent: &[Suspicion]) {
        let record = |suspicion: &Suspicion| {
            let key = format!("{SUSPICION_PREFIX}{}", suspicion.name);
            let value = serde_json::to_vec(suspicion).expect("plain data");
            (Arc::from(key), Bytes::from(value))
        };
        let records: Vec<(Arc<str>, Bytes)> = silent.iter().map(record).collect();
        let names: Vec<&str> = silent.iter().map(|suspicion| &*suspicion.name).collect();
        match feed.append_suspicions(&records).await {
            Ok(()) => log::warn!(silent:? = names; "daemons missed heartbeats; suspecting them"),
            Err(error) => {
                log::info!(silent:? = names, error:% = error; "daemons missed heartbeats, but the suspicions could not be written to the store; retrying unless heartbeats resume");
                let now_ms = self.clock.now_ms();
                let mut watch = self.watch.borrow_mut();
                for name in names {
                    watch.on_suspicion_not_written(name, now_ms);
                }
            }
        }
    }

    /// Removes expired records of dead daemons.
    ///
    /// Guards against slow starts: the store keeps the newest record of each key forever, so a starting daemon would
    /// read the records of every VM that was ever replaced.
    pub(crate) async fn remove_expired(&self, store: &Store) -> Result<(), StoreError> {
        let expired = self.table.borrow().expired();
        let keys = expired
            .iter()
            .flat_map(|name| [name.clone(), format!("{SUSPICION_PREFIX}{name}").into()]);
        let removals: Vec<(Arc<str>, Bytes)> = keys.map(|key| (key, Bytes::new())).collect();
        if removals.is_empty() {
            return Ok(());
        }
        store
            .append(Topic::Members, ONLY_PARTITION, &removals, None)
            .await?;
        log::info!(daemons:? = expired; "removed the expired records of dead daemons");
        Ok(())
    }

    /// Removes this daemon's record; a presence record still in flight may be stored after the removal.
    pub(crate) async fn leave(&self, store: &Store) {
        self.has_left.set(true);
        let record = [(self.own_name(), Bytes::new())];
        let removed = store
            .append(Topic::Members, ONLY_PARTITION, &record, None)
            .await;
        if let Err(error) = removed {
            log::info!(error:% = error; "could not remove this daemon's record; others detect its end by missing heartbeats");
        }
    }
}
