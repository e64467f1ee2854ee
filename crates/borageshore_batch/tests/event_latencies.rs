//! Event latencies of engines.

use std::sync::Arc;

use borageshore_batch::{EngineLatency, EngineReport, EventLatencies, PieceBatch};

fn measured(intervals_us: &[u64]) -> EventLatencies {
    let mut latencies = EventLatencies::default();
    for (number, interval_us) in intervals_us.iter().enumerate() {
        latencies.record(&Arc::from(format!("e-{number}")), *interval_us, 0);
    }
    latencies
}

/// The time per event on a VM that is as fast as usual, in microseconds, by engine.
const ENGINES_US: [u64; 5] = [36_000, 36_000, 36_000, 36_000, 72_000];

/// Plays four texts on each of [`ENGINES_US`] until `until_ms`. Each VM takes twice as long for 600 ms in turn; the last
/// engine reports that each 200 ms, the others never.
fn steady(until_ms: u64) -> EventLatencies {
    let mut latencies = EventLatencies::default();
    let mut next_ms = [[0; 4]; ENGINES_US.len()];
    for now_ms in 0..until_ms {
        for (number, texts) in next_ms.iter_mut().enumerate() {
            let slowdown = |at_ms: u64| match at_ms / 600 % ENGINES_US.len() as u64 {
                slow if slow == number as u64 => 200,
                _ => 100,
            };
            let reported = match number + 1 == ENGINES_US.len() {
                true => slowdown(now_ms / 200 * 200),
                false => 100,
            };
            for due_ms in texts.iter_mut().filter(|due_ms| now_ms >= **due_ms) {
                let interval_us = ENGINES_US[number] * slowdown(now_ms) / 100;
                *due_ms = now_ms + interval_us / 1_000;
                let instance = Arc::from(format!("e-{number}"));
                latencies.record_steady(&instance, interval_us, reported, now_ms);
            }
        }
    }
    latencies
}

fn percent(latencies: &EventLatencies, instance: &str, now_ms: u64) -> u64 {
    latencies.percent_of_median(instance, latencies.median_us(now_ms), now_ms)
}

fn handed_over(instance: &str, percent: u64) -> EngineLatency {
    EngineLatency {
        instance: instance.into(),
        percent,
    }
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

    // Guards against items that move between equal engines because a VM was slow for a moment.
    momentary_slowdowns_do_not_make_an_engine_slow => {
        for until_ms in (3_000..9_000).step_by(100) {
            let latencies = steady(until_ms);
            for engine in ["e-0", "e-1", "e-2", "e-3"] {
                let percent = percent(&latencies, engine, until_ms);
                assert!((75..=140).contains(&percent), "{engine}: {percent} at {until_ms} ms");
            }
            let slow = percent(&latencies, "e-4", until_ms);
            assert!((150..=240).contains(&slow), "{slow} at {until_ms} ms");
        }
    }

    // Guards against texts that stay on an engine that has become slow for good, which no report says.
    an_engine_that_turns_slow_for_good_shows_within_half_a_second => {
        let mut latencies = steady(6_000);
        for now_ms in (6_000..6_500).step_by(126) {
            latencies.record_steady(&"e-3".into(), 126_000, 100, now_ms);
        }
        let now = percent(&latencies, "e-3", 6_500);
        assert!(now >= 116, "{now}");
    }

    // Guards against one long pause, such as a preemption, that counts as a slow engine.
    one_long_pause_does_not_make_an_engine_slow => {
        let mut latencies = steady(6_000);
        let before = percent(&latencies, "e-1", 6_000);
        latencies.record_steady(&"e-1".into(), 500_000, 100, 6_010);
        let after = percent(&latencies, "e-1", 6_010);
        assert!(after < before + 30, "{before}, then {after}");
    }

    // Guards against an engine that counts as the fastest for good because its first events were read at once.
    events_that_were_read_at_once_do_not_make_an_engine_fast => {
        let mut latencies = steady(6_000);
        for now_ms in [6_000, 6_030] {
            latencies.record_steady(&"e-5".into(), 5, 100, now_ms);
        }
        for now_ms in (6_040..8_500).step_by(18) {
            latencies.record_steady(&"e-5".into(), 36_000, 100, now_ms);
        }
        let now = percent(&latencies, "e-5", 8_500);
        assert!((75..=140).contains(&now), "{now}");
    }

    // Guards against a successor that places its first long texts on slow engines.
    a_successor_knows_the_slow_engines_until_it_has_measured_them => {
        let saved = steady(6_000).to_hand_over(6_000);
        let slow = saved.iter().find(|latency| &*latency.instance == "e-4").unwrap();
        assert!(slow.percent >= 150 && slow.percent.is_multiple_of(10), "{slow:?}");
        let mut successor = EventLatencies::default();
        assert!(successor.take_over(slow, 0));
        assert_eq!(percent(&successor, "e-4", 100), slow.percent);
        assert_eq!(percent(&successor, "e-4", 15_000), 100, "too old");
        for engine in ["e-1", "e-2", "e-4"] {
            successor.record_steady(&engine.into(), 36_000, 100, 200);
        }
        assert_eq!(percent(&successor, "e-4", 200), 100, "measured itself");
        successor.take_over(&handed_over("e-5", 300), 200);
        successor.remove("e-5");
        assert_eq!(percent(&successor, "e-5", 200), 100, "ended");
    }

    // Guards against a record that grows with the number of engines, and against one where engines report nothing.
    what_is_handed_over_is_bounded => {
        assert_eq!(measured(&[36_000, 36_000, 48_000]).to_hand_over(0), []);
        let mut latencies = EventLatencies::default();
        for now_ms in (0..4_000).step_by(40) {
            for number in 0..1_000 {
                let interval_us = 36_000 + 100 * number;
                latencies.record_steady(&Arc::from(format!("e-{number}")), interval_us, 100, now_ms);
            }
        }
        let saved = latencies.to_hand_over(4_000);
        assert_eq!(saved.len(), 64);
        assert!(saved.iter().all(|latency| latency.percent.abs_diff(100) > 40), "the most different ones");
    }

    // Guards against texts that are lost with an unknown or missing report, and against garbled latencies.
    garbled_or_missing_reports_change_nothing => {
        let batch = PieceBatch { author: "vm-1".into(), needed_from: 0, pieces: vec![], engines: None };
        let without = batch.encode();
        assert!(!String::from_utf8_lossy(&without).contains("engines"), "as it was before");
        assert_eq!(PieceBatch::decode(&without).as_ref(), Some(&batch));
        let engines = Some(EngineReport { at_unix_ms: 7, latencies: vec![handed_over("e-1", 240)] });
        let with = PieceBatch { engines, ..batch };
        assert_eq!(PieceBatch::decode(&with.encode()), Some(with));
        let piece = r#"{"item":"i","run":1,"first_event":1,"events":["a"],"versions":[2]}"#;
        for engines in ["null", "7", r#"{"at_unix_ms":"x"}"#, r#"{"at_unix_ms":7,"latencies":[{"instance":1}]}"#] {
            let garbled = format!(r#"{{"author":"vm-1","needed_from":3,"pieces":[{piece}],"engines":{engines}}}"#);
            let decoded = PieceBatch::decode(garbled.as_bytes()).expect("the texts are there");
            assert_eq!((decoded.engines, decoded.needed_from, decoded.pieces.len()), (None, 3, 1));
            assert_eq!(decoded.pieces[0].events, ["a"]);
        }
        let mut latencies = EventLatencies::default();
        assert!(!latencies.take_over(&handed_over("e-1", 0), 0));
        assert!(!latencies.take_over(&handed_over("e-1", u64::MAX), 0));
        assert_eq!(percent(&latencies, "e-1", 0), 100);
    }
}
