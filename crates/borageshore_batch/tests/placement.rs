//! Placement of items on engines.

use std::sync::Arc;

use borageshore_batch::{
    EngineView, GroupPlacements, PlacementRequest, RunningItem, choose_better_engine, choose_engine,
};
use borageshore_topology::Distance;

const ANY: PlacementRequest<'static> = PlacementRequest {
    min_version: 1,
    max_version: u64::MAX,
    avoid: &[],
};

fn engine(name: &str, latency_percent: u64, load: u64) -> EngineView {
    EngineView {
        instance: name.into(),
        slots: 6,
        load,
        version: 1,
        is_loading: false,
        latency_percent,
        distance: Distance::SameZone,
        is_cold: false,
        has_group: false,
    }
}

/// The engine that a running item moves to, if any.
fn better(engines: &[EngineView], latency_percent: u64, events: u64) -> Option<&str> {
    let item = RunningItem {
        latency_percent,
        events,
        median_us: None,
    };
    choose_better_engine(engines, ANY, item).map(|engine| &*engine.instance)
}

/// Places items one after the other; returns the load of each engine.
fn place(engines: &mut [EngineView], items: usize) -> Vec<u64> {
    for _ in 0..items {
        let chosen: Arc<str> = match choose_engine(engines, ANY) {
            Some(chosen) => chosen.instance.clone(),
            None => break,
        };
        let engine = engines.iter_mut().find(|engine| engine.instance == chosen);
        engine.unwrap().load += 1;
    }
    engines.iter().map(|engine| engine.load).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Cold engines crash under items for which warm ones had slots.
    warm_engines_fill_up_before_cold_ones => {
        let cold = |name, load| EngineView { is_cold: true, ..engine(name, 100, load) };
        let mut engines = [cold("a", 0), engine("b", 100, 0)];
        assert_eq!(place(&mut engines, 8), [2, 6]);
    }

    // Guards against spreading the longest texts, which are placed first, over slow engines: even a full engine with
    // median latency finishes them earlier.
    the_longest_texts_go_to_the_engines_with_median_latency => {
        let mut engines = [engine("a", 100, 0), engine("b", 130, 0), engine("c", 100, 0)];
        assert_eq!(place(&mut engines, 12), [6, 0, 6]);
    }

    // Guards against items that wait although slower engines have free slots.
    slower_engines_get_what_the_others_have_no_slot_for => {
        let mut engines = [engine("a", 100, 0), engine("b", 130, 0), engine("c", 400, 0)];
        assert_eq!(place(&mut engines, 14), [6, 6, 2]);
    }

    // Guards against bytes between regions for items that equal engines of the own region could take, and against items that
    // wait, or crowd the near engines, to save them.
    of_equally_loaded_engines_the_near_one_is_chosen => {
        let far = EngineView { distance: Distance::OtherRegion, ..engine("far", 100, 0) };
        let mut engines = [engine("near", 100, 0), far];
        assert_eq!(place(&mut engines, 1), [1, 0]);
        assert_eq!(place(&mut engines, 1), [1, 1]);
        assert_eq!(place(&mut engines, 12), [6, 6]);
    }

    // Guards against several long texts on one engine, which exhaust its memory so that one is preempted.
    equal_engines_share_the_items => {
        let mut engines = [engine("a", 100, 0), engine("b", 98, 0), engine("c", 102, 0)];
        assert!(place(&mut engines, 9).iter().all(|load| (2..=4).contains(load)));
    }

    an_engine_that_loads_or_has_other_weights_gets_nothing => {
        let mut engines = [engine("a", 100, 0), engine("b", 100, 0)];
        engines[0].is_loading = true;
        engines[1].version = 0;
        assert_eq!(place(&mut engines, 1), [0, 0]);
    }

    a_free_engine_that_just_refused_is_avoided => {
        let avoid = [Arc::from("a")];
        let engines = [engine("a", 100, 0), engine("b", 130, 5)];
        let request = PlacementRequest { avoid: &avoid, ..ANY };
        assert_eq!(&*choose_engine(&engines, request).unwrap().instance, "b");
    }

    // Guards against a long text that stays on a slow engine after faster ones have become free. Its hint may have been
    // too short, so that it was placed late.
    a_long_text_leaves_a_somewhat_slower_engine => {
        let engines = [engine("fast", 100, 0)];
        assert_eq!(better(&engines, 130, 40), Some("fast"));
        assert_eq!(better(&engines, 130, 3), None);
        assert_eq!(better(&engines, 350, 3), Some("fast"));
    }

    // Guards against texts that move back and forth between equal engines, with a prefill for each move.
    a_text_stays_where_the_gain_is_noise => {
        let engines = [engine("other", 96, 0)];
        assert_eq!(better(&engines, 108, 40), None);
    }

    // Guards against moves that cost a connection and a prefill and save less than a step notices, where engines report
    // how slow their VMs are.
    a_text_moves_only_if_that_saves_enough => {
        let engines = [engine("fast", 100, 0)];
        let moves = |latency_percent: u64, events: u64| {
            let item = RunningItem { latency_percent, events, median_us: Some(36_000) };
            choose_better_engine(&engines, ANY, item).is_some()
        };
        assert!(!moves(140, 16) && moves(140, 32), "230 and 460 ms saved");
        assert!(!moves(125, 100), "within what other users of the VM do to it");
        assert!(!moves(250, 4) && moves(250, 16), "216 and 864 ms saved");
    }

    a_text_stays_where_no_better_engine_is_free => {
        let engines = [engine("full", 100, 6), engine("slow", 130, 0)];
        assert_eq!(better(&engines, 130, 40), None);
        assert_eq!(better(&engines, 400, 40), Some("slow"));
    }

    the_engines_of_a_group_are_remembered_until_many_others_came => {
        let mut groups = GroupPlacements::default();
        groups.record(&"first".into(), &"a".into());
        groups.record(&"first".into(), &"b".into());
        groups.record(&"first".into(), &"a".into());
        assert_eq!(groups.engines_of("first"), [Arc::from("a"), Arc::from("b")]);
        for number in 0..256 {
            groups.record(&format!("g{number}").into(), &"a".into());
        }
        assert!(groups.engines_of("first").is_empty());
        assert_eq!(groups.engines_of("g255").len(), 1);
    }
}
