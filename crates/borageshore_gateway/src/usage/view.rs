//! All daemons' totals, as the holder of the duty reads them.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use borageshore_base::SortedMap;
use borageshore_net::Clock;
use borageshore_platform::{KeyedRecord, Topic};
use borageshore_usage::{Counts, Totals, Window};
use bytes::Bytes;
use futures_util::future::join_all;

use super::records::{total_counts, total_key};
use crate::{
    follow::{Begin, Fold, Follow, FollowSpec},
    store_transport::Store,
};

/// Totals that come close together are read together.
const PAUSE_MS: u64 = 200;
/// Keys that one append removes, each a record of its own.
const KEYS_PER_APPEND: usize = 500;

/// What one partition holds.
#[derive(Debug, Default)]
struct TotalsFold {
    totals: RefCell<Totals>,
    keys: RefCell<SortedMap<Arc<str>, Window>>,
}

impl Fold for TotalsFold {
    fn apply(&self, records: &[KeyedRecord]) {
        for record in records {
            let Some((window, incarnation)) = total_key(&record.key) else {
                log::error!(key = &*record.key; "a total of usage has an unknown key");
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
                None => log::error!(key = &*record.key; "a total of usage cannot be read"),
            }
        }
    }
}

/// The totals of all partitions. Only the holder follows them: read by all daemons, they would be most of what these
/// read.
#[derive(Debug)]
pub(super) struct UsageView {
    store: Store,
    partitions: Vec<Rc<Follow<TotalsFold>>>,
    folds: Vec<Rc<TotalsFold>>,
}

impl UsageView {
    pub(super) fn spawn(store: &Store, clock: Clock, partitions: u64) -> Self {
        let folds: Vec<Rc<TotalsFold>> = (0..partitions.max(1)).map(|_| Rc::default()).collect();
        let spec = |partition| FollowSpec {
            store: store.clone(),
            topic: Topic::Usage,
            partition,
            begin: Begin::Newest,
            clock,
            pause_ms: PAUSE_MS,
        };
        let numbered = (0..).zip(&folds);
        let partitions = numbered.map(|(number, fold)| Follow::spawn(spec(number), fold.clone()));
        Self {
            store: store.clone(),
            partitions: partitions.collect(),
            folds,
        }
    }

    /// Brings the view up to what the store has by now.
    pub(super) async fn confirm(&self) -> bool {
        let confirming = self.partitions.iter().map(|follow| follow.confirm_now());
        join_all(confirming)
            .await
            .into_iter()
            .all(|is_current| is_current)
    }

    /// The requests of all in a window.
    pub(super) fn counts_of(&self, window: Window) -> Counts {
        let mut all = Counts::default();
        for fold in &self.folds {
            for (organisation, count) in fold.totals.borrow().window_total(window).iter() {
                *all.get_or_insert_with(organisation.clone(), || 0) += count;
            }
        }
        all
    }

    /// Takes totals of windows before one out of the store.
    pub(super) async fn remove_before(&self, first: Window) {
        for (partition, fold) in (0..).zip(&self.folds) {
            fold.totals.borrow_mut().forget_before(first);
            let expired: Vec<(Arc<str>, Bytes)> = {
                let keys = fold.keys.borrow();
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
                log::info!(keys = expired.len(), error:% = error; "old totals of usage are not removed yet");
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
