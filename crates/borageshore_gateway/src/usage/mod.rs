//! Usage: requests counted for each organisation, stored as totals, and reported by one daemon.

mod counter;
mod records;
mod reporter;
mod view;

pub(crate) use self::{
    counter::{RequestUsage, UsageCounter},
    records::{ReportRecord, UsageReports},
    reporter::{Reporter, ReporterParts},
};

/// The subject of the duty to report usage, the same for all windows.
pub(crate) const USAGE_SUBJECT: &str = "duty:usage";
