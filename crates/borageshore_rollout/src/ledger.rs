//! The ledger of one job: which sample has which number.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_log::{Envelope, Fold, WriterTable};
use serde::{Deserialize, Serialize};

/// A record of a job's ledger stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRecord {
    /// A new owner begins; records of earlier epochs that come later are void.
    Open {
        /// The epoch of its claim.
        epoch: u64,
    },
    /// Gives numbers to samples.
    Assign {
        /// The owner's epoch.
        epoch: u64,
        /// The trainer's cursor, which needs no numbers at or below it any more.
        confirmed: u64,
        /// The first number; the others follow.
        first_number: u64,
        /// The samples.
        sample_ids: Vec<Arc<str>>,
    },
    /// The state below an offset.
    Snapshot {
        /// The first offset that the snapshot does not cover.
        next_offset: u64,
        /// The state.
        snapshot: LedgerSnapshot,
    },
}

/// A copy of a ledger.
pub type LedgerSnapshot = Ledger;

/// The numbers given out in one job.
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

    /// The highest number given out, 0 before the first.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// The numbers above a cursor, in order.
    pub fn assigned_above(&self, cursor: u64) -> impl Iterator<Item = (u64, &Arc<str>)> {
        let assigned = self.assigned.iter().map(|(number, id)| (*number, id));
        assigned.filter(move |(number, _)| *number > cursor)
    }

    /// Guards against an owner that lost its lease while paused and still gives out numbers: its
    /// epoch is below the one that its successor opened, and its first number no longer fits, so
    /// every fold ignores the record and the paused owner never sees it accepted.
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
