//! The ledger of one job, which maps numbers to samples.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_log::{Envelope, Fold, WriterTable};
use serde::{Deserialize, Serialize};

/// A record of a job's ledger stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRecord {
    /// A new owner takes over; later records of earlier epochs are ignored.
    Open {
        /// The epoch of the owner's claim.
        epoch: u64,
    },
    /// Assigns numbers to samples.
    Assign {
        /// The owner's epoch.
        epoch: u64,
        /// The trainer's cursor; numbers up to it are no longer needed.
        confirmed: u64,
        /// The number of the first sample; the others are consecutive.
        first_number: u64,
        /// The ids of the samples, in order.
        sample_ids: Vec<Arc<str>>,
    },
    /// The state before an offset.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        next_offset: u64,
        /// The state of the ledger.
        snapshot: LedgerSnapshot,
    },
}

/// A copy of a ledger.
pub type LedgerSnapshot = Ledger;

/// The sample numbers assigned in one job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    epoch: u64,
    confirmed: u64,
    last_number: u64,
    assigned: SortedMap<u64, Arc<str>>,
    writers: WriterTable,
}

impl Ledger {
    /// The epoch of the last owner that opened the ledger.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The highest assigned number, 0 if there is none.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// The numbers above a cursor with their samples, in ascending order.
    pub fn assigned_above(&self, cursor: u64) -> impl Iterator<Item = (u64, &Arc<str>)> {
        let assigned = self.assigned.iter().map(|(number, id)| (*number, id));
        assigned.filter(move |(number, _)| *number > cursor)
    }

    /// Assigns consecutive numbers to samples.
    ///
    /// Guards against an owner that lost its lease during a pause and still assigns numbers: a record
    /// with another epoch, or whose first number is not the next one, is ignored.
    fn assign(&mut self, epoch: u64, confirmed: u64, first_number: u64, sample_ids: &[Arc<str>]) {
        if epoch != self.epoch || first_number != self.last_number + 1 {
            return;
        }
        self.confirmed = self.confirmed.max(confirmed);
        for id in sample_ids {
            self.last_number += 1;
            self.assigned.insert(self.last_number, id.clone());
        }
        let confirmed = self.confirmed;
        self.assigned.retain(|number, _| *number > confirmed);
    }
}

impl Fold for Ledger {
    type Body = LedgerRecord;
    type Snapshot = LedgerSnapshot;

    fn apply(&mut self, _offset: u64, at_ms: u64, envelope: &Envelope<LedgerRecord>) {
        if !self
            .writers
            .admit(&envelope.writer, envelope.sequence, at_ms)
        {
            return;
        }
        match &envelope.body {
            LedgerRecord::Open { epoch } => self.epoch = self.epoch.max(*epoch),
            LedgerRecord::Assign {
                epoch,
                confirmed,
                first_number,
                sample_ids,
            } => {
                self.assign(*epoch, *confirmed, *first_number, sample_ids);
            }
            LedgerRecord::Snapshot { .. } => {}
        }
    }

    fn snapshot(&self) -> LedgerSnapshot {
        self.clone()
    }

    fn restore(&mut self, snapshot: LedgerSnapshot) {
        *self = snapshot;
    }

    fn embedded_snapshot(body: LedgerRecord) -> Option<(u64, LedgerSnapshot)> {
        match body {
            LedgerRecord::Snapshot {
                next_offset,
                snapshot,
            } => Some((next_offset, snapshot)),
            _ => None,
        }
    }
}
