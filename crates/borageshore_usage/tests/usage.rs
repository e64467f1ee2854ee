//! Each request is counted once, and each window is reported once.

use std::sync::Arc;

use borageshore_usage::{Counts, OwnCounts, Reports, Totals, UsageTiming, Window};

const TIMING: UsageTiming = UsageTiming {
    window_ms: 5_000,
    report_deadline_ms: 10_000,
};

fn counts(list: &[(&str, u64)]) -> Counts {
    let mut counts = Counts::default();
    for (organisation, count) in list {
        counts.insert((*organisation).into(), *count);
    }
    counts
}

fn listed(counts: &Counts) -> Vec<(String, u64)> {
    let listed = counts.iter();
    listed
        .map(|(name, count)| (name.to_string(), *count))
        .collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against underbilling when the store applies a daemon's older total after a newer one.
    a_total_that_comes_late_takes_nothing_back => {
        let mut totals = Totals::default();
        let incarnation: Arc<str> = "vm-1.5".into();
        totals.merge(Window(3), &incarnation, &counts(&[("mill", 7), ("farm", 1)]));
        totals.merge(Window(3), &incarnation, &counts(&[("mill", 5)]));
        totals.merge(Window(3), &"vm-1.6".into(), &counts(&[("mill", 2)]));
        assert_eq!(listed(&totals.window_total(Window(3))), [("farm".into(), 1), ("mill".into(), 9)]);
        assert!(totals.window_total(Window(4)).is_empty());
    }

    counts_that_failed_to_publish_are_published_again_with_later_ones => {
        let mut own = OwnCounts::default();
        own.add(Window(3), &"mill".into(), 1);
        let published = own.take_dirty();
        assert!(!own.is_dirty());
        own.add(Window(3), &"mill".into(), 1);
        own.mark_dirty(published.iter().map(|(window, _)| *window));
        let again = own.take_dirty();
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].1.get("mill"), Some(&2));
        own.expire_before(Window(4));
        own.mark_dirty([Window(3)]);
        assert!(!own.is_dirty());
    }

    // Guards against two different reports for one window: a holder finalizes a report and dies, and its successor sees
    // counts that arrived since.
    a_finalized_report_is_never_changed => {
        let mut reports = Reports::default();
        reports.on_finalized(Window(3), &counts(&[("mill", 7)]));
        reports.on_finalized(Window(3), &counts(&[("mill", 8)]));
        let (window, finalized) = reports.next(&TIMING, 25_000).unwrap();
        assert_eq!((window, finalized.map(listed)), (Window(3), Some(vec![("mill".into(), 7)])));
    }

    a_report_waits_for_counts_and_ends_when_it_is_overdue => {
        let mut reports = Reports::default();
        reports.on_finalized(Window(2), &counts(&[]));
        reports.on_accepted(Window(2));
        // Window 3 ends at 20 s; its report is due at 30 s.
        assert_eq!(reports.next(&TIMING, 22_499), None);
        assert_eq!(reports.next(&TIMING, 22_500).map(|(window, _)| window), Some(Window(3)));
        assert_eq!(reports.next(&TIMING, 29_999).map(|(window, _)| window), Some(Window(3)));
        assert_eq!(reports.next(&TIMING, 30_000).map(|(window, _)| window), Some(Window(4)));
    }

    what_the_platform_has_is_not_sent_again => {
        let mut reports = Reports::default();
        reports.on_finalized(Window(3), &counts(&[]));
        reports.on_accepted(Window(3));
        assert_eq!(reports.next(&TIMING, 25_000), None);
        assert_eq!(reports.accepted_from(Window(0)), [Window(3)]);
    }

    // Guards against unbounded memory in daemons that only read the reports of another holder.
    a_report_is_removed_with_its_record => {
        let mut reports = Reports::default();
        for window in 1..=3 {
            reports.on_finalized(Window(window), &counts(&[("mill", 1)]));
            reports.on_accepted(Window(window));
        }
        let old = reports.windows_before(Window(3));
        assert_eq!(old, [Window(1), Window(2)]);
        old.into_iter().for_each(|window| reports.remove(window));
        assert_eq!(reports.accepted_from(Window(0)), [Window(3)]);
        assert!(reports.windows_before(Window(3)).is_empty());
    }

    // Daemons count, publish and republish in any order: a reader of all records gets the sum of the last total of each
    // incarnation.
    totals_agree_with_a_plain_sum => {
        bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
            let mut incarnations: Vec<OwnCounts> = (0..4).map(|_| OwnCounts::default()).collect();
            let mut records: Vec<(Window, Arc<str>, Counts)> = Vec::new();
            let mut published = 0;
            let mut unpublished = [0_u64; 4];
            for (what, count) in events {
                let incarnation = usize::from(*what) % 4;
                if what & 0x80 == 0 {
                    incarnations[incarnation].add(Window(1), &"mill".into(), u64::from(*count));
                    unpublished[incarnation] += u64::from(*count);
                } else {
                    let name: Arc<str> = format!("vm.{incarnation}").into();
                    let totals = incarnations[incarnation].take_dirty();
                    records.extend(totals.into_iter().map(|(window, counts)| (window, name.clone(), counts)));
                    published += std::mem::take(&mut unpublished[incarnation]);
                }
            }
            let mut totals = Totals::default();
            for (window, name, counts) in records.iter().chain(records.iter().rev()) {
                totals.merge(*window, name, counts);
            }
            assert_eq!(totals.window_total(Window(1)).get("mill").copied().unwrap_or(0), published);
        });
    }
}
