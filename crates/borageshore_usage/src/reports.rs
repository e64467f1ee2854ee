//! Usage reports: each is finalized once and sent until it is accepted or overdue.

use borageshore_base::SortedMap;

use crate::{Counts, window::Window};

/// A report is finalized after this share of its deadline, so that late counts are included.
const FINALIZE_AFTER_PERCENT: u64 = 25;
/// Windows are retained for this multiple of the report deadline, longer than any reader lags behind.
const RETENTION_FACTOR: u64 = 4;

/// The window length and deadline of usage reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// The length of a window.
    pub window_ms: u64,
    /// The time from a window's end until its report is due.
    pub report_deadline_ms: u64,
}

impl UsageTiming {
    /// The first window whose report is not overdue.
    pub fn first_reportable(&self, unix_ms: u64) -> Window {
        Window::at(
            unix_ms.saturating_sub(self.report_deadline_ms),
            self.window_ms,
        )
    }

    /// The first window that a reader may still need.
    pub fn first_retained(&self, unix_ms: u64) -> Window {
        let retention_ms = self.report_deadline_ms * RETENTION_FACTOR;
        Window::at(unix_ms.saturating_sub(retention_ms), self.window_ms)
    }

    /// Whether a window's counts have had time to arrive.
    fn may_finalize(&self, window: Window, unix_ms: u64) -> bool {
        let delay_ms = self.report_deadline_ms * FINALIZE_AFTER_PERCENT / 100;
        unix_ms >= window.end_ms(self.window_ms) + delay_ms
    }
}

#[derive(Debug, Clone)]
struct Report {
    counts: Counts,
    is_accepted: bool,
}

/// The finalized reports and whether the platform has accepted them.
///
/// Guards against two different reports for one window: a report is finalized by a record before it is sent, only the
/// first record for a window counts, and every holder sends that one.
#[derive(Debug, Default)]
pub struct Reports {
    finalized: SortedMap<Window, Report>,
}

impl Reports {
    /// Applies the record that finalizes a window's report; later records for the window are ignored.
    pub fn on_finalized(&mut self, window: Window, counts: &Counts) {
        self.finalized.get_or_insert_with(window, || Report {
            counts: counts.clone(),
            is_accepted: false,
        });
    }

    /// Records that the platform has accepted a window's report.
    pub fn on_accepted(&mut self, window: Window) {
        if let Some(report) = self.finalized.get_mut(&window) {
            report.is_accepted = true;
        }
    }

    /// The oldest window to report at `unix_ms`, with its counts if the report is finalized.
    pub fn next(&self, times: &UsageTiming, unix_ms: u64) -> Option<(Window, Option<&Counts>)> {
        let first = times.first_reportable(unix_ms).0;
        let windows = (first..).map(Window);
        let mut ended = windows.take_while(|window| times.may_finalize(*window, unix_ms));
        ended.find_map(|window| match self.finalized.get(&window) {
            Some(report) if report.is_accepted => None,
            Some(report) => Some((window, Some(&report.counts))),
            None => Some((window, None)),
        })
    }

    /// The windows from `first` on whose report the platform has accepted.
    pub fn accepted_from(&self, first: Window) -> Vec<Window> {
        let taken = self
            .finalized
            .iter()
            .filter(|(_, report)| report.is_accepted);
        let windows = taken.map(|(window, _)| *window);
        windows.filter(|window| *window >= first).collect()
    }

    /// The windows before `first` that have a finalized report.
    pub fn windows_before(&self, first: Window) -> Vec<Window> {
        let windows = self.finalized.keys().copied();
        windows.take_while(|window| *window < first).collect()
    }

    /// Removes a window's report after its record was removed.
    pub fn remove(&mut self, window: Window) {
        self.finalized.remove(&window);
    }
}
