//! The totals of all daemons, followed by the holder of the duty.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_diagnostics::LogOnce;
use borageshore_net::Clock;
use borageshore_platform::{KeyedRecord, Topic};
use borageshore_usage::{Counts, Totals, Window};
use bytes::Bytes;
use futures_util::future::join_all;

use super::records::{total_counts, total_key};
use crate::{
    follow::{FollowSpec, Follower, RecordView, StartFrom, StorePartition},
    store_transport::Store,
};

/// The pause between reads, so that totals appended close together are read together.
const PAUSE_MS: u64 = 200;
/// The maximum number of keys that one append removes.
const KEYS_PER_APPEND: usize = 500;

/// The totals of one partition.
#[derive(Debug, Default)]
struct TotalsView {
    totals: RefCell<Totals>,
    keys: RefCell<SortedMap<Arc<str>, Window>>,
    undecodable: LogOnce,
}

impl RecordView for TotalsView {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some((window, incarnation)) = total_key(&record.key) else {
                if self.undecodable.is_new(&record.key) {
                    log::error!(key = &*record.key; "cannot parse the key of a usage total; ignoring it");
                }
                continue;
            };
            let Some(value) = &record.value else {
                self.keys.borrow_mut().remove(&record.key);
                continue;
            };
            self.keys.borrow_mut().insert(record.key.clone(), window);
            match total_counts(value) {
                Some(counts) => self
                    .totals
                    .borrow_mut()
                    .merge(window, &incarnation, &counts),
                None if self.undecodable.is_new(&record.key) => {
                    log::error!(key = &*record.key; "cannot decode a usage total; ignoring it");
                }
                None => {}
            }
        }
    }
}

/// The totals of all partitions. Only the holder of the duty follows them, because they would be most of what a daemon
/// reads.
#[derive(Debug)]
pub(super) struct UsageView {
    store: Store,
    partitions: Vec<Rc<Follower<TotalsView>>>,
    views: Vec<Rc<TotalsView>>,
}

impl UsageView {
    pub(super) fn spawn(store: &Store, clock: Clock, partitions: u64) -> Self {
        let views: Vec<Rc<TotalsView>> = (0..partitions.max(1)).map(|_| Rc::default()).collect();
        let source = |partition| StorePartition {
            store: store.clone(),
            topic: Topic::Usage,
            partition,
            start_from: StartFrom::Newest,
        };
        let spec = |partition| FollowSpec {
            source: source(partition),
            clock,
            pause_ms: PAUSE_MS,
        };
        let numbered = (0..).zip(&views);
        let partitions = numbered.map(|(number, view)| Follower::spawn(spec(number), view.clone()));
        Self {
            store: store.clone(),
            partitions: partitions.collect(),
            views,
        }
    }

    /// Catches up with the store; returns whether all partitions are current.
    pub(super) async fn confirm(&self) -> bool {
        let confirming = self.partitions.iter().map(|follow| follow.confirm_now());
        join_all(confirming)
            .await
            .into_iter()
            .all(|is_current| is_current)
    }

    /// The counts of all daemons in a window.
    pub(super) fn counts_of(&self, window: Window) -> Counts {
        let mut all = Counts::default();
        for view in &self.views {
            for (organisation, count) in view.totals.borrow().window_total(window).iter() {
                *all.get_or_insert_with(organisation.clone(), || 0) += count;
            }
        }
        all
    }

    /// Removes totals of windows before `first` from the store, up to [`KEYS_PER_APPEND`] per partition.
    pub(super) async fn expire_before(&self, first: Window) {
        for (partition, view) in (0..).zip(&self.views) {
            view.totals.borrow_mut().expire_before(first);
            let expired: Vec<(Arc<str>, Bytes)> = {
                let keys = view.keys.borrow();
                let expired = keys.iter().filter(|(_, window)| **window < first);
                expired
                    .map(|(key, _)| (key.clone(), Bytes::new()))
                    .take(KEYS_PER_APPEND)
                    .collect()
            };
            if expired.is_empty() {
                continue;
            }
            if let Err(error) = self
                .store
                .append(Topic::Usage, partition, &expired, None)
                .await
            {
                log::info!(keys = expired.len(), error:% = error; "expired usage totals not removed from the store; will retry");
            }
        }
    }
}

impl Drop for UsageView {
    fn drop(&mut self) {
        for follow in &self.partitions {
            follow.stop();
        }
    }
}
