//! Sends usage reports from the daemon that holds the duty.

use std::rc::Rc;

use borageshore_diagnostics::Instruments;
use borageshore_net::{Clock, sleep_ms};
use borageshore_platform::{DutyClient, DutyHolder};
use borageshore_usage::{Counts, UsageTiming, Window};

use super::{USAGE_SUBJECT, records::UsageReports, view::UsageView};
use crate::{duties::Duties, members::Members, store_transport::Store, true_time::SharedTime};

/// The interval between checks for a due report; also the pause before a refused one is sent again.
const POLL_INTERVAL_MS: u64 = 250;

/// Dependencies of [`Reporter`].
#[derive(Debug)]
pub(crate) struct ReporterParts {
    pub(crate) timing: UsageTiming,
    pub(crate) client: DutyClient,
    pub(crate) duties: Rc<Duties>,
    pub(crate) reports: Rc<UsageReports>,
    pub(crate) time: Rc<SharedTime>,
    pub(crate) members: Rc<Members>,
    pub(crate) store: Store,
    pub(crate) clock: Clock,
    pub(crate) partitions: u64,
    pub(crate) instruments: Rc<Instruments>,
}

/// Reports each window once its totals are complete: an announcement finalizes the counts, which are then sent, one
/// call at a time, until the platform accepts them or the report is overdue.
#[derive(Debug)]
pub(crate) struct Reporter {
    parts: ReporterParts,
}

impl Reporter {
    pub(crate) fn spawn(parts: ReporterParts) {
        monoio::spawn(Self { parts }.run());
    }

    async fn run(self) {
        let mut view = None;
        let mut expired_before = Window(0);
        loop {
            sleep_ms(POLL_INTERVAL_MS).await;
            let Some(at) = self.parts.duties.offset_if_holder() else {
                view = None;
                continue;
            };
            let parts = &self.parts;
            let view = view.get_or_insert_with(|| {
                UsageView::spawn(&parts.store, parts.clock, parts.partitions)
            });
            if parts.duties.may_act(USAGE_SUBJECT) {
                self.report_next(at, view).await;
            }
            let first = parts.timing.first_retained(parts.time.unix_ms());
            if std::mem::replace(&mut expired_before, first) < first {
                view.expire_before(first).await;
            }
        }
    }

    /// Reports the next window if one is due and the duties' partition still ends at offset `at`.
    async fn report_next(&self, at: u64, view: &UsageView) {
        let parts = &self.parts;
        let next = parts.reports.next(&parts.timing, parts.time.unix_ms());
        let Some((window, fixed)) = next else { return };
        let counts = match fixed {
            Some(counts) => counts,
            None if view.confirm().await => view.counts_of(window),
            None => {
                log::info!(window = window.0; "usage totals of a window not confirmed by the store; will retry");
                return;
            }
        };
        let holder = parts.members.own_name();
        let records = parts.reports.announcement(
            holder.clone(),
            parts.duties.held_by_others(),
            window,
            &counts,
            parts.timing.first_retained(parts.time.unix_ms()),
        );
        let Some(permit) = parts.duties.announce(at, &records).await else {
            return;
        };
        let duty_holder = DutyHolder {
            name: holder,
            epoch: permit.epoch,
        };
        let sending = parts
            .client
            .report_usage(&duty_holder, window.0, &counts, || permit.may_send());
        match sending.await {
            Ok(()) => self.on_accepted(window, &counts, duty_holder.epoch),
            Err(error) => {
                parts.instruments.count("usage_report", "failed");
                log::warn!(window = window.0, epoch = duty_holder.epoch, error:% = error; "usage report not confirmed by the platform; retrying until it is overdue");
            }
        }
    }

    fn on_accepted(&self, window: Window, counts: &Counts, epoch: u64) {
        let parts = &self.parts;
        parts.reports.on_accepted(window);
        parts.instruments.count("usage_report", "taken");
        let end_ms = window.end_ms(parts.timing.window_ms);
        let late_ms = parts.time.unix_ms().saturating_sub(end_ms);
        let requests: u64 = counts.values().sum();
        log::info!(window = window.0, epoch, late_ms, requests, organisations = counts.len(); "usage reported");
    }
}
