//! The shards over which the records of submissions are spread.

use borageshore_base::rendezvous_weight;
use borageshore_platform::Topic;
use borageshore_topology::Residency;

use crate::store_transport::Store;

/// The number of topics over whose partitions submissions without a restriction are spread. With 8 partitions each, a
/// daemon that follows one submission also reads a 32nd of the others.
const BATCH_TOPICS: u64 = 4;

/// The partition that holds a submission's records.
///
/// A daemon that follows a shard reads all records in it, so submissions that may be stored in some regions only share
/// their shards with others of the same regions alone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Shard {
    number: u64,
    partitions: u64,
    residency: Residency,
}

impl Shard {
    /// The shard of a submission with `partitions` partitions per topic, which may be stored where `residency` allows.
    pub(crate) fn of(submission: &str, partitions: u64, residency: Residency) -> Self {
        let partitions = partitions.max(1);
        let topics = match residency.is_restricted() {
            true => 1,
            false => BATCH_TOPICS,
        };
        Self {
            number: rendezvous_weight("shard", submission) % (partitions * topics),
            partitions,
            residency,
        }
    }

    /// The index of the shard among those of the same regions.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// The topic of its submissions' records.
    pub(crate) fn topic(&self) -> Topic {
        match self.hash_of_regions() {
            Some(regions) => Topic::BatchWithin(regions),
            None => Topic::Batch(self.number / self.partitions),
        }
    }

    /// The topic of its saved unfinished texts.
    pub(crate) fn progress_topic(&self) -> Topic {
        match self.hash_of_regions() {
            Some(regions) => Topic::ProgressWithin(regions),
            None => Topic::Progress(self.number / self.partitions),
        }
    }

    /// Its partition in both topics.
    pub(crate) fn partition(&self) -> u64 {
        self.number % self.partitions
    }

    /// The client for its records, whose calls pass no daemon that may not hold them.
    pub(crate) fn store(&self, store: &Store) -> Store {
        store.within(self.residency.clone())
    }

    fn hash_of_regions(&self) -> Option<u64> {
        let regions = self.residency.regions()?;
        // A separator that no region's name contains keeps different sets apart.
        Some(rendezvous_weight("regions", &regions.join("\n")))
    }
}
