//! The records of a partition that a daemon keeps for others, readable from any offset.

use std::sync::Arc;

use borageshore_base::SortedMap;

/// The bytes of superseded records and removals that are kept for readers which lag behind.
const HISTORY_BYTES: usize = 256 * 1_024;

/// A keyed record of a log.
pub trait LogRecord {
    /// Its offset in the partition.
    fn offset(&self) -> u64;
    /// Its key.
    fn key(&self) -> &Arc<str>;
    /// Whether it removes its key.
    fn is_removal(&self) -> bool;
    /// The size of key and value.
    fn bytes(&self) -> usize;
}

/// Records from an offset on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSlice<'l, Record> {
    /// The records, by offset. Superseded ones may be missing from what a reader at offset 0 gets.
    pub records: &'l [Record],
    /// Where the next read continues.
    pub next_offset: u64,
    /// Whether nothing is left to read, and this log has itself been loaded to the end.
    pub is_whole: bool,
    /// What a reader that started at offset 0 passes to the next [`RetainedLog::read`], until it has read to the end.
    pub load: u64,
}

/// A reader's position lies before records that are no longer kept; it has to start at offset 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expired {
    /// The first offset from which no record is missing.
    pub first: u64,
}

/// The newest record of each key, and recent records that were superseded.
///
/// A reader at offset 0 gets the newest record of each key; one that has read up to an offset gets every later record,
/// or [`Expired`] if some of these are no longer kept.
#[derive(Debug)]
pub struct RetainedLog<Record> {
    records: Vec<Record>,
    /// The offset of the newest record of each key.
    newest: SortedMap<Arc<str>, u64>,
    history_bytes: usize,
    next_offset: Option<u64>,
    complete_from: u64,
    is_whole: bool,
    /// Changes when records that a reader may depend on are dropped.
    load: u64,
}

impl<Record> Default for RetainedLog<Record> {
    fn default() -> Self {
        Self {
            records: Vec::new(),
            newest: SortedMap::default(),
            history_bytes: 0,
            next_offset: None,
            complete_from: 0,
            is_whole: false,
            load: 0,
        }
    }
}

impl<Record> RetainedLog<Record>
where
    Record: LogRecord,
{
    /// The offset after the last record; `None` before the first one was read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Whether the log has been loaded to the end since it was opened or reset.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// The number of records that are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no records are kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Discards all records, because some were missed.
    pub fn reset(&mut self) {
        *self = Self {
            load: self.load + 1,
            ..Self::default()
        };
    }

    /// Appends records up to `next_offset`; those that are known already are left out. `is_whole` tells whether they
    /// reach the end of the log. Returns the number of new records.
    pub fn append<Records>(&mut self, records: Records, next_offset: u64, is_whole: bool) -> usize
    where
        Records: IntoIterator<Item = Record>,
    {
        let known = self.next_offset.unwrap_or(0);
        let before = self.records.len();
        for record in records {
            if record.offset() >= known && record.offset() < next_offset {
                self.push(record);
            }
        }
        let added = self.records.len() - before;
        self.next_offset = Some(known.max(next_offset));
        if !self.is_whole {
            // What is loaded first holds only the newest record of each key.
            self.complete_from = known.max(next_offset);
        }
        self.is_whole |= is_whole;
        if self.history_bytes > HISTORY_BYTES {
            self.drop_history();
        }
        added
    }

    /// Reads records from `from` on, at most `max_bytes` of them but at least one.
    ///
    /// A position behind the end is not one of this log, so its reader has to start again. So has one before records
    /// that are no longer kept, unless it is loading this log: `load` is that of its last slice then. Guards against a
    /// reader that keeps a key whose removal is dropped before it gets there.
    pub fn read(
        &self,
        from: u64,
        load: Option<u64>,
        max_bytes: usize,
    ) -> Result<LogSlice<'_, Record>, Expired> {
        let end = self.next_offset.unwrap_or(0);
        let is_lagging = from > 0 && from < self.complete_from && load != Some(self.load);
        if from > end || is_lagging {
            return Err(Expired {
                first: self.complete_from,
            });
        }
        let start = self
            .records
            .partition_point(|record| record.offset() < from);
        let mut bytes = 0;
        let fits = |record: &&Record| {
            bytes += record.bytes();
            bytes <= max_bytes
        };
        let count = self.records[start..].iter().take_while(fits).count();
        let count = count.max(1).min(self.records.len() - start);
        let records = &self.records[start..start + count];
        let is_end = start + count == self.records.len();
        let next_offset = match (is_end, records.last()) {
            (false, Some(last)) => last.offset() + 1,
            _ => end,
        };
        Ok(LogSlice {
            records,
            next_offset,
            is_whole: is_end && self.is_whole,
            load: self.load,
        })
    }

    fn push(&mut self, record: Record) {
        if let Some(superseded) = self.newest.insert(record.key().clone(), record.offset()) {
            let at = self
                .records
                .binary_search_by_key(&superseded, LogRecord::offset);
            let superseded = at.ok().map(|at| &self.records[at]);
            // A removal counted as history when it was appended.
            let superseded = superseded.filter(|superseded| !superseded.is_removal());
            self.history_bytes += superseded.map_or(0, LogRecord::bytes);
        }
        if record.is_removal() {
            self.history_bytes += record.bytes();
        }
        self.records.push(record);
    }

    /// Drops the older half of the superseded records and removals.
    fn drop_history(&mut self) {
        self.load += 1;
        let mut excess_bytes = self.history_bytes.saturating_sub(HISTORY_BYTES / 2);
        let (newest, complete_from) = (&mut self.newest, &mut self.complete_from);
        let mut dropped_bytes = 0;
        self.records.retain(|record| {
            let is_newest = newest.get(record.key()) == Some(&record.offset());
            if excess_bytes == 0 || (is_newest && !record.is_removal()) {
                return true;
            }
            if is_newest {
                newest.remove(record.key());
            }
            excess_bytes = excess_bytes.saturating_sub(record.bytes());
            dropped_bytes += record.bytes();
            *complete_from = (*complete_from).max(record.offset() + 1);
            false
        });
        self.history_bytes = self.history_bytes.saturating_sub(dropped_bytes);
    }
}
