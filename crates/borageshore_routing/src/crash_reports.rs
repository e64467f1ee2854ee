//! What a daemon has yet to tell the others of crashes, within a bound on what all of them have to read.

use crate::{
    fingerprint::Fingerprint,
    quarantine::{Crash, Quarantine},
};

/// Reports of all daemons together: 150 bytes each, half of the 12 KB a second that control may cost each daemon
/// which reads them.
const REPORTS_PER_S: u64 = 40;
/// Reports of one daemon at once. A crash takes the requests of one endpoint, of which a daemon has a few.
const MAX_BURST: u64 = 8;
/// Reports that wait; the loss of a zone brings more, most of which are answered elsewhere before their turn.
const MAX_WAITING: usize = 256;
/// A report in thousandths, so that a large deployment's small share of each second adds up.
const REPORT_MILLI: u64 = 1_000;

/// A crash that the other daemons do not know of yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub content: Fingerprint,
    /// What crashed under it.
    pub crash: Crash,
}

/// The crashes that one daemon has seen and not told of yet.
///
/// Guards against the loss of a zone, when each daemon loses all requests that it has there at once: what is
/// told then is a share of the daemons' budget, and requests that crash endpoints repeatedly come first.
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
    /// Says whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// What waits, in no order.
    pub fn waiting(&self) -> &[CrashReport] {
        &self.waiting
    }

    /// Notes a crash; without room, the oldest report goes.
    pub fn push(&mut self, report: CrashReport) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.remove(0);
        }
        self.waiting.push(report);
    }

    /// Drops the reports of a request that was answered, as nobody needs to know; returns the crashes.
    pub fn drop_content(&mut self, content: &Fingerprint) -> Vec<Crash> {
        let of_content = |report: &mut CrashReport| report.content == *content;
        let dropped = self.waiting.extract_if(.., of_content);
        dropped.map(|report| report.crash).collect()
    }

    /// Takes what may be told now, the requests with most crashes first; `daemons` share the budget.
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

    /// Takes reports back that could not be told.
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
