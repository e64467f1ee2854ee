//! Removes the records of expired submissions from the store.

use std::{rc::Rc, sync::Arc};

use borageshore_base::first_by_rendezvous;
use borageshore_batch::LedgerRecord;
use borageshore_net::sleep_ms;
use borageshore_platform::StoreError;
use bytes::Bytes;

use crate::{
    ledger_view::Shard, members::Members, quarantine::Quarantine, store_transport::Store,
    submission_index::SubmissionIndex,
};

/// The interval at which expired submissions are removed.
const INTERVAL_MS: u64 = 5_000;
/// The maximum difference between the clocks of two VMs.
const MAX_CLOCK_SKEW_MS: u64 = 10_000;
/// The maximum number of keys removed by one append; each takes a record.
const KEYS_PER_APPEND: usize = 500;

/// Removes the records of submissions whose retention period is over.
///
/// Guards against a full store: the store keeps the newest record of each key until that is removed, and refuses all
/// appends at 400 MB. A heavy day writes 13 MB a minute.
#[derive(Debug)]
pub(crate) struct Cleaner {
    pub(crate) store: Store,
    pub(crate) partitions: u64,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) members: Rc<Members>,
    pub(crate) quarantine: Rc<Quarantine>,
    /// How long results can be read, counted from their submission.
    pub(crate) retention_ms: u64,
}

impl Cleaner {
    /// Runs until the process ends. One daemon removes records at a time; if two do for a moment, they remove the
    /// same keys, which is harmless.
    pub(crate) async fn run(self) {
        let clock_skew_ms = MAX_CLOCK_SKEW_MS.min(self.retention_ms);
        loop {
            sleep_ms(INTERVAL_MS).await;
            let is_responsible = self.is_responsible();
            self.quarantine.expire(is_responsible);
            if !is_responsible {
                continue;
            }
            if let Err(error) = self.members.remove_expired(&self.store).await {
                log::info!(error:% = error; "records of dead daemons not removed");
            }
            for id in self.index.expired(self.retention_ms, clock_skew_ms) {
                match self.remove(&id).await {
                    Ok(()) => log::info!(submission = &*id; "expired submission removed"),
                    Err(error) => {
                        log::info!(submission = &*id, error:% = error; "expired submission not removed; will retry");
                    }
                }
            }
        }
    }

    fn is_responsible(&self) -> bool {
        let eligible = self.members.eligible_names();
        let names = eligible.iter().map(|name| &**name);
        let responsible = first_by_rendezvous("cleaner", names);
        responsible == Some(&*self.members.own_name())
    }

    /// Removes a submission's records and then its index entry, so that a removal that failed halfway is repeated.
    async fn remove(&self, id: &Arc<str>) -> Result<(), StoreError> {
        let shard = Shard::of(id, self.partitions);
        let (topic, partition) = (shard.topic(), shard.partition());
        let prefix = LedgerRecord::key_prefix(id);
        let kept = self.store.newest(topic, partition, &prefix).await?;
        let removals: Vec<(Arc<str>, Bytes)> = kept
            .records
            .into_iter()
            .map(|record| (record.key, Bytes::new()))
            .collect();
        for chunk in removals.chunks(KEYS_PER_APPEND) {
            self.store.append(topic, partition, chunk, None).await?;
        }
        self.index.remove(id).await
    }
}
