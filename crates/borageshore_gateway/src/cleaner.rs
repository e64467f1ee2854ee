//! Records of submissions that nobody may ask for any more, taken out of the store.

use std::{rc::Rc, sync::Arc};

use borageshore_base::rank_by_rendezvous;
use borageshore_batch::LedgerRecord;
use borageshore_net::sleep_ms;
use borageshore_platform::StoreError;
use bytes::Bytes;

use crate::{
    ledger_view::Shard, members::Members, quarantine::Quarantine, store_transport::Store,
    submission_index::SubmissionIndex,
};

/// The pace at which expired submissions are looked for.
const PACE_MS: u64 = 5_000;
/// Clocks of two VMs differ by less.
const CLOCK_SLACK_MS: u64 = 10_000;
/// Keys of one append, as each is a record of its own.
const KEYS_PER_APPEND: usize = 500;

/// Removes the records of submissions whose time is over.
///
/// Guards against a full store: it keeps the newest record of each key for good, 13 MB a minute on a
/// heavy day, and refuses every append at 400 MB.
#[derive(Debug)]
pub(crate) struct Cleaner {
    pub(crate) store: Store,
    pub(crate) partitions: u64,
    pub(crate) index: Rc<SubmissionIndex>,
    pub(crate) members: Rc<Members>,
    pub(crate) quarantine: Rc<Quarantine>,
    /// How long after its submission a result can be read.
    pub(crate) kept_ms: u64,
}

impl Cleaner {
    /// Cleans until the process ends. Two daemons that both do so for a moment remove the same keys.
    pub(crate) async fn run(self) {
        let slack_ms = CLOCK_SLACK_MS.min(self.kept_ms);
        loop {
            sleep_ms(PACE_MS).await;
            let is_first = self.is_first();
            self.quarantine.expire(is_first);
            if !is_first {
                continue;
            }
            if let Err(error) = self.members.remove_expired(&self.store).await {
                log::info!(error:% = error; "records of dead daemons not removed");
            }
            for id in self.index.expired(self.kept_ms, slack_ms) {
                match self.remove(&id).await {
                    Ok(()) => log::info!(submission = &*id; "records removed, their time is over"),
                    Err(error) => {
                        log::info!(submission = &*id, error:% = error; "records not removed");
                    }
                }
            }
        }
    }

    fn is_first(&self) -> bool {
        let able = self.members.eligible_names();
        let names = able.iter().map(|name| &**name);
        let first = rank_by_rendezvous("cleaner", names).into_iter().next();
        first == Some(&*self.members.own_name())
    }

    /// The index goes last: what is left by a failure is found again.
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
        for some in removals.chunks(KEYS_PER_APPEND) {
            self.store.append(topic, partition, some, None).await?;
        }
        self.index.remove(id).await
    }
}
