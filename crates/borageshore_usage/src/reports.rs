//! Which report is next: fixed once, sent until it is taken or overdue.

use borageshore_base::SortedMap;

use crate::{Counts, window::Window};

/// Counts are waited for until this share of the time that a report has.
const FINALIZE_AFTER_PERCENT: u64 = 25;
/// Windows are remembered for so many times what a report has: no reader is that late.
const RETENTION_FACTOR: u64 = 4;

/// The times of reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageTiming {
    /// The length of a window.
    pub window_ms: u64,
    /// A report is due so long after its window's end.
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

    /// The first window that anybody may ask for.
    pub fn first_retained(&self, unix_ms: u64) -> Window {
        let retention_ms = self.report_deadline_ms * RETENTION_FACTOR;
        Window::at(unix_ms.saturating_sub(retention_ms), self.window_ms)
    }

    /// Says whether a window's counts have had time to come in.
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

/// The reports that are fixed, and whether the platform has them.
///
/// Guards against two reports of one window that differ: what is sent is fixed by a record first, the first record of
/// a window counts, and only that is ever sent, by whichever holder.
#[derive(Debug, Default)]
pub struct Reports {
    finalized: SortedMap<Window, Report>,
}

impl Reports {
    /// Takes over the record that fixes a window's report; a later one changes nothing.
    pub fn on_finalized(&mut self, window: Window, counts: &Counts) {
        self.finalized.get_or_insert_with(window, || Report {
            counts: counts.clone(),
            is_accepted: false,
        });
    }

    /// Takes over that the platform has a window's report.
    pub fn on_accepted(&mut self, window: Window) {
        if let Some(report) = self.finalized.get_mut(&window) {
            report.is_accepted = true;
        }
    }

    /// The next window to report at a moment in true time, with its counts if they are fixed; the oldest first.
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

    /// The windows whose report the platform has, from one on.
    pub fn accepted_from(&self, first: Window) -> Vec<Window> {
        let taken = self
            .finalized
            .iter()
            .filter(|(_, report)| report.is_accepted);
        let windows = taken.map(|(window, _)| *window);
        windows.filter(|window| *window >= first).collect()
    }

    /// The windows before one.
    pub fn windows_before(&self, first: Window) -> Vec<Window> {
        let windows = self.finalized.keys().copied();
        windows.take_while(|window| *window < first).collect()
    }

    /// Forgets a window, once its record is removed.
    pub fn forget(&mut self, window: Window) {
        self.finalized.remove(&window);
    }
}
