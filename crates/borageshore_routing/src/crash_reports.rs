//! The crash reports that a daemon has not sent to the other daemons yet, with a rate limit for all daemons together.

use crate::{
    fingerprint::Fingerprint,
    quarantine::{Crash, Quarantine},
};

/// Rate limit of all daemons together. With 150 bytes a report, it takes half of the 12 KB/s that control traffic may
/// cost each daemon, as every daemon reads all reports.
const REPORTS_PER_S: u64 = 40;
/// Burst of one daemon. The crash of an endpoint affects few requests of each daemon.
const MAX_BURST: u64 = 8;
/// Capacity of the queue. The loss of a zone causes more reports, but most of these requests succeed
/// elsewhere meanwhile.
const MAX_WAITING: usize = 256;
/// The cost of one report in thousandths of a token, so that the small share of each daemon in a large deployment is
/// not rounded to zero.
const REPORT_MILLI: u64 = 1_000;

/// A crash, as reported to the other daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub content: Fingerprint,
    /// The crash of the endpoint that ran it.
    pub crash: Crash,
}

/// The crash reports of one daemon that wait to be sent.
///
/// Guards against a burst of reports at the loss of a zone, when each daemon loses all its requests there.
/// Requests with repeated crashes are reported first.
#[derive(Debug)]
pub struct CrashReports {
    waiting: Vec<CrashReport>,
    tokens_milli: u64,
    refilled_at_ms: u64,
}

impl Default for CrashReports {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            tokens_milli: MAX_BURST * REPORT_MILLI,
            refilled_at_ms: 0,
        }
    }
}

impl CrashReports {
    /// Returns whether no report waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The waiting reports, in no particular order.
    pub fn waiting(&self) -> &[CrashReport] {
        &self.waiting
    }

    /// Adds a report; if the queue is full, the first one is dropped.
    pub fn push(&mut self, report: CrashReport) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(report);
    }

    /// Removes the reports of a request that has succeeded; returns their crashes.
    pub fn remove_content(&mut self, content: &Fingerprint) -> Vec<Crash> {
        let of_content = |report: &mut CrashReport| report.content == *content;
        let dropped = self.waiting.extract_if(.., of_content);
        dropped.map(|report| report.crash).collect()
    }

    /// Takes the reports that may be sent now, those of the requests with the most crashes first. The rate limit is
    /// divided by `daemons`.
    pub fn take(&mut self, quarantine: &Quarantine, daemons: u64, now_ms: u64) -> Vec<CrashReport> {
        self.refill(daemons, now_ms);
        let count = (self.tokens_milli / REPORT_MILLI) as usize;
        let crashes = |report: &CrashReport| std::cmp::Reverse(quarantine.crashes(&report.content));
        self.waiting.sort_by_key(crashes);
        let taken: Vec<CrashReport> = self
            .waiting
            .drain(..count.min(self.waiting.len()))
            .collect();
        self.tokens_milli -= taken.len() as u64 * REPORT_MILLI;
        taken
    }

    /// Puts reports that could not be sent back into the queue and refunds their tokens.
    pub fn put_back(&mut self, reports: Vec<CrashReport>) {
        self.tokens_milli += reports.len() as u64 * REPORT_MILLI;
        for report in reports {
            self.push(report);
        }
    }

    fn refill(&mut self, daemons: u64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let gained_milli = elapsed_ms.saturating_mul(REPORTS_PER_S) / daemons.max(1);
        if gained_milli == 0 {
            return;
        }
        self.refilled_at_ms = now_ms;
        let max_milli = MAX_BURST * REPORT_MILLI;
        self.tokens_milli = max_milli.min(self.tokens_milli.saturating_add(gained_milli));
    }
}
