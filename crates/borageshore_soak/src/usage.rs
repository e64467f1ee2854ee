//! Checks of duties: one holder at a time, one usage report for each window, correct counts.

use std::collections::{BTreeMap, BTreeSet};

use borageshore_net::Clock;
use borageshore_standins::platform::{
    PlatformDuties, PlatformService, ReceivedEndpointOrder, ReceivedReport,
};

use crate::{keys::CALLER_ORG, oracle::Oracle, regions::organisation_of};

/// Length of a usage window.
pub(crate) const WINDOW_S: u64 = 1;
/// Time after the end of a window at which its report is due.
pub(crate) const REPORT_DUE_S: u64 = 8;
/// Minimum time between reports of two alternating holders: the lease of a holder.
const LEASE_MS: u64 = 3_000;
/// Tolerated error of a count, plus [`ERROR_REQUESTS`] for a request that started at the edge of its window.
const ERROR_PERCENT: u64 = 5;
const ERROR_REQUESTS: u64 = 1;

/// Returns the Unix time in ms at which the soak's clock started.
pub(crate) fn began_unix_ms(clock: Clock) -> u64 {
    jiff::Timestamp::now().as_millisecond() as u64 - clock.now_ms()
}

/// Checks that reports come from one holder at a time and that no two reports of a window differ.
pub(crate) fn check_holders(oracle: &Oracle, duties: &PlatformDuties) {
    let reports = duties.reports();
    let mut first: BTreeMap<u64, &ReceivedReport> = BTreeMap::new();
    for report in &reports {
        let known = first.entry(report.window).or_insert(report);
        if known.counts != report.counts {
            oracle.record_violation(format!("two reports of window {} differ", report.window));
        }
    }
    for pair in reports.windows(2) {
        let [one, next] = pair else { continue };
        let is_same = one.holder == next.holder;
        let is_early = !is_same && next.at_ms < one.at_ms + LEASE_MS;
        let is_epoch_wrong = next.epoch < one.epoch || (!is_same && next.epoch == one.epoch);
        // A successor may report at once after a holder has ended; the old holder reporting again is a violation.
        let is_alternating = is_early
            && reports.iter().any(|third| {
                third.holder == one.holder
                    && third.at_ms > next.at_ms
                    && third.at_ms < one.at_ms + LEASE_MS
            });
        if is_epoch_wrong || is_alternating {
            oracle.record_violation(format!(
                "reports of {} and {}: epoch {} after {}",
                one.holder, next.holder, next.epoch, one.epoch
            ));
        }
    }
}

/// Checks that orders for the endpoints of a zone come from holders that are a lease apart, with increasing epochs.
pub(crate) fn check_endpoint_orders(oracle: &Oracle, duties: &PlatformDuties) {
    let mut last: BTreeMap<(String, String), ReceivedEndpointOrder> = BTreeMap::new();
    for order in duties.orders() {
        let subject = (order.service.clone(), order.zone.clone());
        if let Some(last) = last.insert(subject, order.clone()) {
            let is_early = last.holder != order.holder && order.at_ms < last.at_ms + LEASE_MS;
            if is_early || order.epoch <= last.epoch {
                oracle.record_violation(format!("{order:?} after {last:?}"));
            }
        }
    }
}

/// Returns the windows between two times whose report is missing or wrong.
pub(crate) fn wrong_windows(
    clock: Clock,
    duties: &PlatformDuties,
    services: &[PlatformService],
    from_ms: u64,
    to_ms: u64,
) -> Vec<String> {
    let began_ms = began_unix_ms(clock);
    let window_ms = WINDOW_S * 1_000;
    let mut begun: BTreeMap<String, u64> = BTreeMap::new();
    for (id, runs) in services.iter().flat_map(PlatformService::runs) {
        let is_counted = !id.starts_with("reward");
        let first_ms = runs.iter().min().copied().filter(|_| is_counted);
        if let Some(first_ms) = first_ms {
            let known = begun.entry(id).or_insert(first_ms);
            *known = first_ms.min(*known);
        }
    }
    let reports = duties.reports();
    let first = (began_ms + from_ms) / window_ms + 1;
    let last = (began_ms + to_ms) / window_ms;
    let mut wrong = Vec::new();
    let mut callers: BTreeSet<&str> = begun.keys().map(|id| organisation_of(id)).collect();
    callers.insert(CALLER_ORG);
    for window in first..last {
        let in_window = |at_ms: u64| (began_ms + at_ms) / window_ms == window;
        let made_by = |name: &str| {
            let of_caller = begun.iter().filter(|(id, _)| organisation_of(id) == name);
            of_caller.filter(|(_, at_ms)| in_window(**at_ms)).count() as u64
        };
        let reported = reports.iter().find(|report| report.window == window);
        let organisations: BTreeSet<&String> =
            reported.iter().flat_map(|r| r.counts.keys()).collect();
        let counted = |name: &str| reported.and_then(|report| report.counts.get(name)).copied();
        let is_counted = |name: &&str| {
            let made = made_by(name);
            let error = ERROR_REQUESTS + made * ERROR_PERCENT / 100;
            counted(name).unwrap_or(0).abs_diff(made) <= error
        };
        let is_right = reported.is_some()
            && organisations
                .iter()
                .all(|name| callers.contains(name.as_str()))
            && callers.iter().all(is_counted);
        if !is_right {
            let made: Vec<_> = callers.iter().map(|name| (name, made_by(name))).collect();
            wrong.push(format!(
                "window {}: calls started {made:?}, reported {:?}",
                window - first,
                reported.map(|report| &report.counts)
            ));
        }
    }
    wrong
}
