//! Records of usage in the store: totals of each daemon incarnation, and finalized reports.

use std::{cell::RefCell, sync::Arc};

use borageshore_platform::KeyedRecord;
use borageshore_usage::{Counts, Reports, UsageTiming, Window};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The prefix of a report's key; the window's number follows.
const REPORT_PREFIX: &str = "usage/";

/// The writer of a total: a daemon incarnation (`name.number`) and its generation of appends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TotalWriter {
    pub(super) incarnation: Arc<str>,
    pub(super) generation: u64,
}

/// Encodes a total as a record of the store.
pub(super) fn total_record(
    window: Window,
    writer: &TotalWriter,
    counts: &Counts,
) -> (Arc<str>, Bytes) {
    let TotalWriter {
        incarnation: life,
        generation,
    } = writer;
    let key = format!("{}/{life}/{generation}", window.0);
    (key.into(), to_json(&to_pairs(counts)))
}

/// Parses the key of a total: its window and its writer's incarnation.
pub(super) fn total_key(key: &str) -> Option<(Window, Arc<str>)> {
    let mut parts = key.split('/');
    let window = parts.next()?.parse().ok()?;
    Some((Window(window), parts.next()?.into()))
}

/// Decodes the counts of a total.
pub(super) fn total_counts(value: &[u8]) -> Option<Counts> {
    serde_json::from_slice(value).ok().map(from_pairs)
}

/// The announcement of a report that the holder is about to send.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ReportRecord {
    /// The VM that sends it.
    pub(crate) holder: Arc<str>,
    /// Subjects of duties that other holders may be acting on.
    pub(crate) others: Vec<Arc<str>>,
    window: u64,
    counts: Vec<(Arc<str>, u64)>,
    /// Windows whose report the platform has accepted.
    taken: Vec<u64>,
}

/// The state of reports according to their announcements.
#[derive(Debug, Default)]
pub(crate) struct UsageReports {
    reports: RefCell<Reports>,
}

impl UsageReports {
    /// Decodes a record of the duties' partition if it is a report.
    pub(crate) fn decode(record: &KeyedRecord) -> Option<Result<ReportRecord, serde_json::Error>> {
        let value = record.value.as_ref()?;
        let is_report = record.key.starts_with(REPORT_PREFIX);
        is_report.then(|| serde_json::from_slice(value))
    }

    /// Applies an announced report.
    pub(crate) fn on_report(&self, record: &ReportRecord) {
        let mut reports = self.reports.borrow_mut();
        let counts = from_pairs(record.counts.clone());
        reports.on_finalized(Window(record.window), &counts);
        for accepted in &record.taken {
            reports.on_accepted(Window(*accepted));
        }
    }

    /// Drops the window of a removed record.
    ///
    /// Guards against unbounded memory on daemons that do not report. A day has 17,280 windows of 5 s.
    pub(crate) fn on_removed(&self, key: &str) {
        let number = key.strip_prefix(REPORT_PREFIX);
        if let Some(window) = number.and_then(|number| number.parse().ok()) {
            self.reports.borrow_mut().remove(Window(window));
        }
    }

    /// The window to report next, with its counts if they are finalized.
    pub(super) fn next(
        &self,
        timing: &UsageTiming,
        unix_ms: u64,
    ) -> Option<(Window, Option<Counts>)> {
        let reports = self.reports.borrow();
        let (window, counts) = reports.next(timing, unix_ms)?;
        Some((window, counts.cloned()))
    }

    pub(super) fn on_accepted(&self, window: Window) {
        self.reports.borrow_mut().on_accepted(window);
    }

    /// The records that announce a window's report, and the removals of windows before `first_retained`.
    pub(super) fn announcement(
        &self,
        holder: Arc<str>,
        others: Vec<Arc<str>>,
        window: Window,
        counts: &Counts,
        first_retained: Window,
    ) -> Vec<(Arc<str>, Bytes)> {
        let reports = self.reports.borrow();
        let accepted = reports.accepted_from(first_retained);
        let record = ReportRecord {
            holder,
            others,
            window: window.0,
            counts: to_pairs(counts),
            taken: accepted.iter().map(|window| window.0).collect(),
        };
        let old = reports.windows_before(first_retained);
        let removals = old
            .into_iter()
            .map(|window| (report_key(window), Bytes::new()));
        let report = (report_key(window), to_json(&record));
        [report].into_iter().chain(removals).collect()
    }
}

fn report_key(window: Window) -> Arc<str> {
    format!("{REPORT_PREFIX}{}", window.0).into()
}

fn to_pairs(counts: &Counts) -> Vec<(Arc<str>, u64)> {
    let pairs = counts.iter();
    pairs.map(|(name, count)| (name.clone(), *count)).collect()
}

fn from_pairs(pairs: Vec<(Arc<str>, u64)>) -> Counts {
    let mut counts = Counts::default();
    for (organisation, count) in pairs {
        counts.insert(organisation, count);
    }
    counts
}

fn to_json<Record>(record: &Record) -> Bytes
where
    Record: Serialize,
{
    serde_json::to_vec(record).expect("plain data").into()
}
