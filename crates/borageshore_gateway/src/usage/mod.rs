//! Usage: what this daemon sent for each organisation, kept in the store, and reported by one daemon.

mod counter;
mod records;
mod reporter;
mod view;

pub(crate) use self::{
    counter::{RequestUsage, UsageCounter},
    records::{ReportRecord, UsageReports},
    reporter::{Reporter, ReporterParts},
};

/// The subject of the duty to report usage: all windows are one.
pub(crate) const USAGE: &str = "duty:usage";
