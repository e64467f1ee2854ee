//! Removes the records of expired submissions from the store.

use std::{rc::Rc, sync::Arc};

use borageshore_batch::LedgerRecord;
use borageshore_net::sleep_ms;
use borageshore_platform::StoreError;
use borageshore_topology::Residency;
use bytes::Bytes;

use crate::{
    members::Members, quarantine::Quarantine, store_transport::Store,
    submission_index::SubmissionIndex,
};

/// The interval at which expired submissions are removed.
const INTERVAL_MS: u64 = 5_000;
/// The maximum difference between the clocks of two VMs.
const MAX_CLOCK_SKEW_MS: u64 = 10_000;
/// The maximum number of keys removed by one append; each takes a record.
const KEYS_PER_APPEND: usize = 500;
/// The work by which the daemon that removes records is selected.
const CLEANER_WORK: &str = "cleaner";

/// Removes the records of submissions whose retention period is over.
///
/// Guards against a full store: the store keeps the newest record of each key until that is removed, and refuses all
/// appends at 400 MB. A heavy day writes 13 MB a minute.
#[derive(Debug)]
pub(crate) struct Cleaner {
    pub(crate) store: Store,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) members: Rc<Members>,
    pub(crate) quarantine: Rc<Quarantine>,
    /// How long results can be read, counted from their submission.
    pub(crate) retention_ms: u64,
}

impl Cleaner {
    /// Runs until the process ends. One daemon removes records at a time; if two do for a moment, they remove the
    /// same keys, which is harmless. Those of a submission that may be stored in some regions only are removed by a
    /// daemon there, since it reads them.
    pub(crate) async fn run(self) {
        let clock_skew_ms = MAX_CLOCK_SKEW_MS.min(self.retention_ms);
        loop {
            sleep_ms(INTERVAL_MS).await;
            let is_responsible = self.is_responsible(&Residency::anywhere());
            self.quarantine.expire(is_responsible);
            if is_responsible && let Err(error) = self.members.remove_expired(&self.store).await {
                log::info!(error:% = error; "records of dead daemons not removed");
            }
            for id in self.index.expired(self.retention_ms, clock_skew_ms) {
                if !self.is_responsible(&self.index.stored_within(&id)) {
                    continue;
                }
                match self.remove(&id).await {
                    Ok(()) => log::info!(submission = &*id; "expired submission removed"),
                    Err(error) => {
                        log::info!(submission = &*id, error:% = error; "expired submission not removed; will retry");
                    }
                }
            }
        }
    }

    fn is_responsible(&self, residency: &Residency) -> bool {
        self.members.is_first_eligible(CLEANER_WORK, residency)
    }

    /// Removes a submission's records and then its index entry, so that a removal that failed halfway is repeated.
    async fn remove(&self, id: &Arc<str>) -> Result<(), StoreError> {
        let shard = self.index.shard_of(id);
        let store = shard.store(&self.store);
        let (topic, partition) = (shard.topic(), shard.partition());
        let prefix = LedgerRecord::key_prefix(id);
        let kept = store.newest(topic, partition, &prefix).await?;
        let removals: Vec<(Arc<str>, Bytes)> = kept
            .records
            .into_iter()
            .map(|record| (record.key, Bytes::new()))
            .collect();
        for chunk in removals.chunks(KEYS_PER_APPEND) {
            store.append(topic, partition, chunk, None).await?;
        }
        if !kept.is_complete {
            return Err(StoreError::NotDone("not all records were listed".into()));
        }
        self.index.remove(id).await
    }
}
