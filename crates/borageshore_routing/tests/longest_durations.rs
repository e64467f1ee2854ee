//! The longest recent durations of a route's requests.

use std::sync::Arc;

use borageshore_routing::LongestDurations;

const MINUTE_MS: u64 = 60_000;

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a stopping daemon that takes a long request because short ones came after the last long one.
    the_longest_duration_counts_for_a_while => {
        let (mut durations, route) = (LongestDurations::default(), Arc::from("page"));
        assert_eq!(durations.longest_ms("page", 0), None);
        durations.record(&route, 1_800, 1_000);
        durations.record(&route, 20, 2_000);
        assert_eq!(durations.longest_ms("page", 2_000), Some(1_800));
        assert_eq!(durations.longest_ms("other", 2_000), None);
        durations.record(&route, 30, 31_000);
        assert_eq!(durations.longest_ms("page", 31_000), Some(1_800));
    }

    // Guards against one slow request after which all others of its route are refused at each stop.
    a_duration_is_forgotten => {
        let (mut durations, route) = (LongestDurations::default(), Arc::from("page"));
        durations.record(&route, 1_800, 1_000);
        assert_eq!(durations.longest_ms("page", 1_000 + MINUTE_MS), None);
        durations.record(&route, 20, 1_000 + MINUTE_MS);
        assert_eq!(durations.longest_ms("page", 1_000 + MINUTE_MS), Some(20));
    }
}
