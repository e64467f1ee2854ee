//! The estimate of true time while clocks step or drift.

use borageshore_time::{ClockSample, Interval, TrueTime, majority_intersection};

const UNIX_MS: u64 = 1_790_000_000_000;

fn sample(at_ms: u64, estimate_error_ms: i64, time_of_day_error_ms: i64) -> ClockSample {
    let true_ms = (UNIX_MS + at_ms) as i64;
    ClockSample {
        requested_at_ms: at_ms,
        responded_at_ms: at_ms + 2,
        estimate_ms: (true_ms + 1 + estimate_error_ms) as u64,
        time_of_day_ms: (true_ms + 1 + time_of_day_error_ms) as u64,
    }
}

fn error_ms(time: &TrueTime, monotonic_ms: u64) -> i64 {
    time.unix_ms(monotonic_ms) as i64 - (UNIX_MS + monotonic_ms) as i64
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against usage reported for the wrong window: half of all VMs are 3 s ahead for 6 s.
    a_step_of_half_of_all_clocks_moves_the_estimate_by_little => {
        let mut time = TrueTime::new(UNIX_MS, 0);
        for turn in 1..=60_u64 {
            let at_ms = turn * 100;
            let peers: Vec<ClockSample> = (0..4).map(|peer| sample(at_ms, 0, if peer % 2 == 0 { 3_000 } else { 0 })).collect();
            time.slew(UNIX_MS + at_ms + 3_000, at_ms, &peers);
        }
        assert!(error_ms(&time, 6_000).abs() <= 15, "{}", error_ms(&time, 6_000));
    }

    // Guards against a daemon that starts while its VM's clock is ahead and counts requests in a later window.
    a_daemon_that_starts_in_a_step_begins_with_its_peers => {
        let mut time = TrueTime::new(UNIX_MS + 3_000, 0);
        assert!(time.sync_to_peers(&[sample(10, 0, 0), sample(10, 4, 0), sample(10, 2_500, 0)]));
        assert!(error_ms(&time, 100).abs() <= 25, "{}", error_ms(&time, 100));
    }

    few_or_disagreeing_peers_change_nothing => {
        let mut time = TrueTime::new(UNIX_MS, 0);
        assert!(!time.sync_to_peers(&[sample(10, 3_000, 0), sample(10, 3_000, 0)]));
        assert!(!time.sync_to_peers(&[sample(10, 3_000, 0), sample(10, 0, 0), sample(10, -3_000, 0)]));
        assert_eq!(error_ms(&time, 100), 0);
    }

    // Guards against the drift of the monotonic clock, which would reach seconds within weeks.
    a_drifting_monotonic_clock_is_corrected => {
        let mut time = TrueTime::new(UNIX_MS, 0);
        for turn in 1..=600_u64 {
            let at_ms = turn * 10_000;
            // The monotonic clock is 50 ppm fast.
            let error_ms = -(at_ms as i64 * 50 / 1_000_000);
            let peers = [sample(at_ms, error_ms, error_ms), sample(at_ms, error_ms, error_ms), sample(at_ms, error_ms, error_ms)];
            time.slew((UNIX_MS + at_ms).saturating_add_signed(error_ms), at_ms, &peers);
        }
        assert!((error_ms(&time, 6_000_000) + 300).abs() <= 25, "{}", error_ms(&time, 6_000_000));
    }

    most_means_more_than_half => {
        let at = |low, high| Interval { low, high };
        assert_eq!(majority_intersection(&[at(0, 10), at(5, 15), at(100, 110)]), Some(at(5, 10)));
        assert_eq!(majority_intersection(&[at(0, 10), at(20, 30)]), None);
        assert_eq!(majority_intersection(&[]), None);
    }
}
