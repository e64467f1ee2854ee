//! What the store holds of usage: totals of each life of a daemon, and the reports that are fixed.

use std::{cell::RefCell, sync::Arc};

use borageshore_platform::KeyedRecord;
use borageshore_usage::{Counts, Reports, UsageTiming, Window};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What the keys of reports begin with; the window's number follows.
const REPORT_PREFIX: &str = "usage/";

/// Who has counted: one life of a daemon, and which of its appends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Author {
    pub(super) incarnation: Arc<str>,
    pub(super) generation: u64,
}

/// A total as a record of the store.
pub(super) fn total_record(window: Window, author: &Author, counts: &Counts) -> (Arc<str>, Bytes) {
    let Author {
        incarnation: life,
        generation,
    } = author;
    let key = format!("{}/{life}/{generation}", window.0);
    (key.into(), to_json(&to_pairs(counts)))
}

/// Reads the key of a total: its window and the life that counted.
pub(super) fn total_key(key: &str) -> Option<(Window, Arc<str>)> {
    let mut parts = key.split('/');
    let window = parts.next()?.parse().ok()?;
    Some((Window(window), parts.next()?.into()))
}

/// Reads the counts of a total.
pub(super) fn total_counts(value: &[u8]) -> Option<Counts> {
    serde_json::from_slice(value).ok().map(from_pairs)
}

/// A report that a holder is about to send.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ReportRecord {
    /// The VM that sends it.
    pub(crate) holder: Arc<str>,
    /// Subjects of duties that others may be acting on.
    pub(crate) others: Vec<Arc<str>>,
    window: u64,
    counts: Vec<(Arc<str>, u64)>,
    /// Windows whose report the platform has.
    taken: Vec<u64>,
}

/// The reports as all daemons see them.
#[derive(Debug, Default)]
pub(crate) struct UsageReports {
    reports: RefCell<Reports>,
}

impl UsageReports {
    /// Reads a record of the duties' partition, if it is a report.
    pub(crate) fn decode(record: &KeyedRecord) -> Option<Result<ReportRecord, serde_json::Error>> {
        let value = record.value.as_ref()?;
        let is_report = record.key.starts_with(REPORT_PREFIX);
        is_report.then(|| serde_json::from_slice(value))
    }

    /// Takes over a report.
    pub(crate) fn on_report(&self, record: &ReportRecord) {
        let mut reports = self.reports.borrow_mut();
        let counts = from_pairs(record.counts.clone());
        reports.on_finalized(Window(record.window), &counts);
        for taken in &record.taken {
            reports.on_accepted(Window(*taken));
        }
    }

    /// Takes over that a record of the duties' partition was removed: nobody asks for that window any more.
    ///
    /// Guards the memory of daemons that do not report: a day has 17,280 windows of 5 s.
    pub(crate) fn on_removed(&self, key: &str) {
        let number = key.strip_prefix(REPORT_PREFIX);
        if let Some(window) = number.and_then(|number| number.parse().ok()) {
            self.reports.borrow_mut().forget(Window(window));
        }
    }

    /// The window to report next, with its counts if they are fixed.
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

    /// The records by which a holder announces a window's report, and drops those that nobody asks for any more.
    pub(super) fn announcement(
        &self,
        holder: Arc<str>,
        others: Vec<Arc<str>>,
        window: Window,
        counts: &Counts,
        first_retained: Window,
    ) -> Vec<(Arc<str>, Bytes)> {
        let reports = self.reports.borrow();
        let taken = reports.accepted_from(first_retained);
        let record = ReportRecord {
            holder,
            others,
            window: window.0,
            counts: to_pairs(counts),
            taken: taken.iter().map(|window| window.0).collect(),
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
