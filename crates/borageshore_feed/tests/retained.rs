//! What a reader gets from the records that a daemon keeps.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_feed::{LogRecord, LogSlice, RetainedLog};

/// More reads than any of the logs here takes.
const MAX_READS: usize = 1_000;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Record {
    offset: u64,
    key: Arc<str>,
    value: Option<u64>,
    bytes: usize,
}

impl LogRecord for Record {
    fn offset(&self) -> u64 {
        self.offset
    }

    fn key(&self) -> &Arc<str> {
        &self.key
    }

    fn is_removal(&self) -> bool {
        self.value.is_none()
    }

    fn bytes(&self) -> usize {
        self.bytes
    }
}

fn record(offset: u64, key: u64, value: Option<u64>) -> Record {
    Record {
        offset,
        key: format!("key-{key}").into(),
        value,
        bytes: 1_000,
    }
}

/// A view as a reader builds it.
#[derive(Debug, Default, PartialEq, Eq)]
struct View {
    values: SortedMap<Arc<str>, u64>,
    next_offset: u64,
    load: Option<u64>,
    restarts: usize,
}

impl View {
    /// Reads until nothing is left, a few records at a time.
    fn follow(&mut self, log: &RetainedLog<Record>) {
        for _ in 0..MAX_READS {
            let Ok(slice) = log.read(self.next_offset, self.load, 3_000) else {
                *self = Self {
                    restarts: self.restarts + 1,
                    ..Self::default()
                };
                continue;
            };
            let is_whole = slice.is_whole;
            self.apply(slice);
            if is_whole {
                return;
            }
        }
        panic!("a reader does not get to the end");
    }

    fn apply(&mut self, slice: LogSlice<'_, Record>) {
        for record in slice.records {
            match record.value {
                Some(value) => drop(self.values.insert(record.key.clone(), value)),
                None => drop(self.values.remove(&*record.key)),
            }
        }
        self.next_offset = slice.next_offset;
        self.load = Some(slice.load).filter(|_| !slice.is_whole);
    }
}

/// Records with few keys, so that most supersede another one; every seventh removes its key.
fn history(count: u64) -> Vec<Record> {
    let value = |offset: u64| (!offset.is_multiple_of(7)).then_some(offset);
    (0..count)
        .map(|offset| record(offset, offset * 31 % 97, value(offset)))
        .collect()
}

/// Guards against a reader that lags, or starts late, and keeps a key that was removed or misses one.
#[test]
fn readers_at_any_position_end_with_the_same_view() {
    let history = history(5_000);
    let mut log = RetainedLog::default();
    let mut steady = View::default();
    let mut lagging = View::default();
    for chunk in history.chunks(10) {
        let next_offset = chunk.last().map_or(0, |last| last.offset + 1);
        log.append(chunk.to_vec(), next_offset, true);
        steady.follow(&log);
        if next_offset.is_multiple_of(1_000) {
            lagging.follow(&log);
        }
    }
    let mut fresh = View::default();
    fresh.follow(&log);
    assert_eq!(steady.restarts, 0, "a reader that keeps up misses nothing");
    assert!(lagging.restarts > 0, "one that lags is told so");
    assert_eq!(steady.values, fresh.values);
    assert_eq!(lagging.values, fresh.values);
}

/// Guards against a daemon that keeps all records that were ever written.
#[test]
fn superseded_records_are_bounded() {
    let mut log = RetainedLog::default();
    for record in history(50_000) {
        let next_offset = record.offset + 1;
        log.append([record], next_offset, true);
    }
    assert!(log.len() < 400, "{} records are kept", log.len());
}

/// Guards against records that are applied twice when two sources return the same ones.
#[test]
fn known_records_are_left_out() {
    let mut log = RetainedLog::default();
    assert_eq!(log.append(history(20), 20, true), 20);
    assert_eq!(log.append(history(30), 30, true), 10);
    assert_eq!(log.append(history(10), 10, true), 0);
    assert_eq!(log.next_offset(), Some(30));
}

/// Guards against a daemon that takes a peer which is still loading for one that has everything.
#[test]
fn a_log_that_is_loading_is_not_whole() {
    let mut log = RetainedLog::default();
    log.append(history(20), 20, false);
    let slice = log.read(0, None, usize::MAX).unwrap();
    assert!(!slice.is_whole);
    log.append(Vec::new(), 20, true);
    let slice = log.read(20, None, usize::MAX).unwrap();
    assert!(slice.is_whole);
}

/// Guards against a reader that continues in a log which was loaded without the records before its position.
#[test]
fn a_reader_from_before_the_load_starts_again() {
    let mut log = RetainedLog::default();
    log.append(vec![record(90, 1, Some(1))], 100, true);
    assert!(log.read(50, None, usize::MAX).is_err());
    assert!(log.read(0, None, usize::MAX).is_ok());
    assert!(log.read(100, None, usize::MAX).is_ok());
}

/// Guards against a reader that loads a log while it changes, and keeps a key whose removal it never sees.
#[test]
fn a_log_that_changes_is_loaded_whole() {
    let history = history(20_000);
    let mut log = RetainedLog::default();
    log.append(history[..4_000].to_vec(), 4_000, true);
    let mut reader = View::default();
    for chunk in history[4_000..].chunks(40) {
        let next_offset = chunk.last().map_or(0, |last| last.offset + 1);
        log.append(chunk.to_vec(), next_offset, true);
        match log.read(reader.next_offset, reader.load, 3_000) {
            Ok(slice) => reader.apply(slice),
            Err(_) => reader = View::default(),
        }
    }
    reader.follow(&log);
    let mut fresh = View::default();
    fresh.follow(&log);
    assert_eq!(reader.values, fresh.values);
}

/// Guards against readers that cannot load from a daemon which is loading itself, so that a start takes as many loads in
/// a row as the tree is deep.
#[test]
fn a_reader_loads_from_a_log_that_is_loading() {
    let mut log = RetainedLog::default();
    let mut reader = View::default();
    for chunk in history(90).chunks(9) {
        let next_offset = chunk.last().map_or(0, |last| last.offset + 1);
        log.append(chunk.to_vec(), next_offset, next_offset == 90);
        let slice = log.read(reader.next_offset, reader.load, usize::MAX);
        reader.apply(slice.unwrap());
    }
    assert_eq!(reader.restarts, 0);
    assert_eq!(reader.next_offset, 90);
}
