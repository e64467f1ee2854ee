//! How long a text waits for an engine with the version that it needs.

use borageshore_batch::{EngineView, PinnedWait, VersionPin};
use borageshore_topology::Distance;

fn engine(version: u64, load: u64) -> EngineView {
    EngineView {
        instance: "e".into(),
        slots: 6,
        load,
        version,
        is_loading: false,
        latency_percent: 100,
        distance: Distance::SameZone,
        is_cold: false,
        has_group: false,
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against items that wait for ever, or for long at full engines, while those with the next version are free.
    a_pinned_text_waits_no_longer_than_its_events_took => {
        let pin = VersionPin::open(6, 2_000, 10_000);
        let engines = [engine(6, 6), engine(7, 0)];
        let mut wait = PinnedWait::default();
        assert!(!wait.gives_up(&pin, &engines, 10_000));
        assert!(!wait.gives_up(&pin, &engines, 11_999));
        assert!(wait.gives_up(&pin, &engines, 12_000));
    }

    // Guards against items that wait for a version that no engine has.
    a_pinned_text_gives_its_version_up_soon_after_the_last_engine_has => {
        let pin = VersionPin::open(6, 20_000, 10_000);
        let mut wait = PinnedWait::default();
        assert!(!wait.gives_up(&pin, &[engine(6, 6)], 11_000));
        assert!(!wait.gives_up(&pin, &[engine(7, 0)], 12_000));
        assert!(!wait.gives_up(&pin, &[engine(7, 0)], 12_499));
        assert!(wait.gives_up(&pin, &[engine(7, 0)], 12_500));
    }

    // Guards against dropping the events of all texts of an engine whose entry is missing for a moment.
    a_pinned_text_outlasts_an_engine_that_is_missing_for_a_moment => {
        let pin = VersionPin::open(6, 20_000, 10_000);
        let mut wait = PinnedWait::default();
        assert!(!wait.gives_up(&pin, &[], 12_000));
        assert!(!wait.gives_up(&pin, &[engine(6, 6)], 12_400));
        assert!(!wait.gives_up(&pin, &[], 12_800));
        assert!(wait.gives_up(&pin, &[], 13_300));
    }
}
