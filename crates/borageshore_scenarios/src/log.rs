//! An in-memory log service with injected faults.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_log::{LogPage, LogRecord};

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It took effect and was acknowledged.
    Acknowledged,
    /// It took effect, but the acknowledgement was lost.
    ResponseLost,
    /// It was refused and had no effect.
    Refused,
    /// It may take effect later; the writer gets no response.
    Delayed,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: Vec<LogRecord>,
}

/// An in-memory log service.
#[derive(Debug, Default)]
pub struct MemoryLog {
    streams: SortedMap<Arc<str>, Stream>,
    /// Whether all appends and reads fail.
    pub has_outage: bool,
    /// Whether the next append takes effect without an acknowledgement.
    pub lose_next_response: bool,
    /// Delays the next append that contains this text until [`MemoryLog::release`].
    pub delay_next: Option<String>,
    /// The stream whose reads fail, if any.
    pub blocked_stream: Option<Arc<str>>,
    delayed: Vec<(Arc<str>, Vec<String>)>,
}

impl MemoryLog {
    /// Appends records to a stream, subject to the injected faults.
    pub fn append(&mut self, stream: &str, records: Vec<String>, at_ms: u64) -> AppendOutcome {
        if self.has_outage {
            return AppendOutcome::Refused;
        }
        let is_to_be_delayed = |text: &String| records.iter().any(|record| record.contains(text));
        if self.delay_next.as_ref().is_some_and(is_to_be_delayed) {
            self.delay_next = None;
            self.delayed.push((stream.into(), records));
            return AppendOutcome::Delayed;
        }
        self.push(stream, records, at_ms);
        if std::mem::take(&mut self.lose_next_response) {
            AppendOutcome::ResponseLost
        } else {
            AppendOutcome::Acknowledged
        }
    }

    /// The number of delayed appends.
    pub fn delayed(&self) -> usize {
        self.delayed.len()
    }

    /// Applies all delayed appends.
    pub fn release(&mut self, at_ms: u64) {
        for (stream, records) in std::mem::take(&mut self.delayed) {
            self.push(&stream, records, at_ms);
        }
    }

    fn push(&mut self, stream: &str, records: Vec<String>, at_ms: u64) {
        let stream = self
            .streams
            .get_or_insert_with(stream.into(), Stream::default);
        for data in records {
            let offset = stream.first_offset + stream.records.len() as u64;
            stream.records.push(LogRecord {
                offset,
                at_ms,
                data,
            });
        }
    }

    /// Reads up to `max_records` records; `None` if reads of the stream fail.
    pub fn read(&self, stream: &str, from_offset: u64, max_records: usize) -> Option<LogPage> {
        if self.has_outage || self.blocked_stream.as_deref() == Some(stream) {
            return None;
        }
        let Some(stream) = self.streams.get(stream) else {
            return Some(LogPage {
                first_offset: 0,
                end_offset: 0,
                records: Vec::new(),
            });
        };
        let skipped = from_offset.saturating_sub(stream.first_offset) as usize;
        Some(LogPage {
            first_offset: stream.first_offset,
            end_offset: stream.first_offset + stream.records.len() as u64,
            records: stream
                .records
                .iter()
                .skip(skipped)
                .take(max_records)
                .cloned()
                .collect(),
        })
    }

    /// Drops all records of a stream below an offset, like retention.
    pub fn trim(&mut self, stream: &str, below_offset: u64) {
        if let Some(stream) = self.streams.get_mut(stream) {
            let count = below_offset.saturating_sub(stream.first_offset) as usize;
            let count = count.min(stream.records.len());
            stream.records.drain(..count);
            stream.first_offset += count as u64;
        }
    }
}
