//! Event latencies of engines.

use std::sync::Arc;

use borageshore_batch::EventLatencies;

fn measured(intervals_us: &[u64]) -> EventLatencies {
    let mut latencies = EventLatencies::default();
    for (number, interval_us) in intervals_us.iter().enumerate() {
        latencies.record(&Arc::from(format!("e-{number}")), *interval_us, 0);
    }
    latencies
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    an_engine_is_compared_with_the_median => {
        let latencies = measured(&[36_000, 36_000, 48_000]);
        let median_us = latencies.median_us(100);
        assert_eq!(latencies.percent_of_median("e-2", median_us, 100), 133);
    }

    an_engine_without_recent_samples_counts_as_the_median => {
        let latencies = measured(&[36_000, 36_000, 48_000]);
        assert_eq!(latencies.percent_of_median("e-9", 36_000, 100), 100);
        assert_eq!(latencies.percent_of_median("e-2", 36_000, 20_000), 100);
        assert_eq!(latencies.median_us(20_000), 0);
    }

    // Guards against texts that stay on an engine that has become slow: one event must show it.
    an_engine_that_turns_slow_shows_with_its_next_event => {
        let mut latencies = measured(&[36_000, 36_000, 36_000]);
        latencies.record(&"e-2".into(), 126_000, 50);
        assert!(latencies.percent_of_median("e-2", latencies.median_us(50), 50) >= 116);
    }
}
