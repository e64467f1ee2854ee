//! Planning of weight loads on engines.

use std::sync::Arc;

use borageshore_batch::{
    Demand, EngineState, EngineVersions, IndexEntry, ModelTarget, ModelVersion, SwapLimits,
    load_candidates, plan_round,
};

const LIMITS: SwapLimits = SwapLimits {
    parallel_percent: 22,
    share_percent: 50,
};

fn engines(count: usize) -> Vec<EngineState> {
    let engine = |number| EngineState {
        instance: format!("e{number}").into(),
        is_loading: false,
        is_leased: false,
        running: 0,
        is_spot: false,
    };
    (0..count).map(engine).collect()
}

fn target(model: &str, version: u64, demand_tokens: u64) -> ModelTarget {
    ModelTarget {
        target: ModelVersion {
            model: model.into(),
            version,
        },
        demand: Demand {
            tokens: demand_tokens,
            items: 0,
        },
    }
}

fn versions(of: &[(&str, &str, u64)]) -> EngineVersions {
    let mut versions = EngineVersions::default();
    for (engine, model, version) in of {
        versions.observe(&Arc::from(*engine), &Arc::from(*model), *version);
    }
    versions
}

/// Plans and applies rounds until none is planned; returns the number of loads.
fn settle(engines: &[EngineState], versions: &mut EngineVersions, models: &[ModelTarget]) -> usize {
    let mut loads = 0;
    loop {
        let round = plan_round(engines, versions, models, LIMITS);
        if round.is_empty() {
            return loads;
        }
        assert!(round.len() <= 2);
        for (engine, target) in round {
            versions.observe(&engine, &target.model, target.version);
            loads += 1;
        }
    }
}

#[test]
fn the_engines_that_are_farthest_behind_load_first() {
    let engines = engines(4);
    let versions = versions(&[
        ("e0", "m", 3),
        ("e1", "m", 1),
        ("e2", "m", 3),
        ("e3", "m", 1),
    ]);
    let round = plan_round(&engines, &versions, &[target("m", 3, 1)], LIMITS);
    let names: Vec<&str> = round.iter().map(|(engine, _)| &**engine).collect();
    assert_eq!(names, ["e1", "e3"]);
}

#[test]
fn among_equals_the_one_that_runs_least_loads_first() {
    let mut engines = engines(4);
    for (engine, running) in engines.iter_mut().zip([5, 3, 0, 1]) {
        engine.running = running;
    }
    let round = plan_round(
        &engines,
        &EngineVersions::default(),
        &[target("m", 2, 1)],
        LIMITS,
    );
    let names: Vec<&str> = round.iter().map(|(engine, _)| &**engine).collect();
    assert_eq!(names, ["e2", "e3"]);
}

#[test]
fn a_loading_engine_gets_no_order_and_counts_as_a_load() {
    let mut engines = engines(4);
    engines[0].is_loading = true;
    let round = plan_round(
        &engines,
        &EngineVersions::default(),
        &[target("m", 2, 1)],
        LIMITS,
    );
    assert_eq!(round.len(), 1);
    assert_ne!(&*round[0].0, "e0");
}

// Guards against loading every version on every engine: with nine engines, two models, and two concurrent loads of a
// second each, that takes 9 s while new versions come every 4 s.
#[test]
fn each_version_moves_a_share_and_no_engine_is_two_behind() {
    let engines = engines(9);
    let mut versions = EngineVersions::default();
    for engine in &engines {
        for model in ["a", "b"] {
            versions.observe(&engine.instance, &model.into(), 1);
        }
    }
    let mut loads = Vec::new();
    for version in 2..10 {
        let models = [target("a", version, 60), target("b", version, 40)];
        loads.push(settle(&engines, &mut versions, &models));
        let fit = |model: &str| {
            let is_fit = |engine: &&EngineState| {
                versions.get(&engine.instance, &model.into()) + 1 >= version
            };
            engines.iter().filter(is_fit).count()
        };
        assert!(fit("a") >= 5 && fit("b") >= 4, "version {version}");
    }
    assert!(loads.iter().all(|count| *count <= 6), "{loads:?}");
}

#[test]
fn models_share_engines_by_demand_and_each_has_one() {
    let engines = engines(9);
    let models = [target("a", 2, 900), target("b", 2, 100), target("c", 2, 0)];
    let mut versions = EngineVersions::default();
    let limits = SwapLimits {
        parallel_percent: 100,
        share_percent: 100,
    };
    let round = plan_round(&engines, &versions, &models, limits);
    let count = |model: &str| {
        round
            .iter()
            .filter(|(_, target)| &*target.model == model)
            .count()
    };
    assert_eq!((count("a"), count("b"), count("c")), (7, 1, 1));
    assert_eq!(settle(&engines, &mut versions, &[]), 0);
}

#[test]
fn loads_at_once_grow_with_the_engines() {
    let models = [target("m", 2, 1)];
    let versions = EngineVersions::default();
    let count = |engines: Vec<EngineState>| plan_round(&engines, &versions, &models, LIMITS).len();
    assert_eq!(count(engines(4)), 2);
    assert_eq!(count(engines(9)), 2);
    assert_eq!(count(engines(38)), 8);
}

#[test]
fn an_engine_leased_to_another_holder_gets_no_order_and_counts_as_no_load() {
    let mut engines = engines(4);
    engines[0].is_leased = true;
    let models = [target("m", 2, 1)];
    let round = plan_round(&engines, &EngineVersions::default(), &models, LIMITS);
    let names: Vec<&str> = round.iter().map(|(engine, _)| &**engine).collect();
    assert_eq!(names, ["e1", "e2"]);
}

// Guards against loading each version on far more engines than there are items, which overloads the weight store and
// clears the engines' caches.
#[test]
fn no_more_engines_load_than_the_items_can_use() {
    let model = |name: &str, items: u64| ModelTarget {
        demand: Demand {
            tokens: items * 300,
            items,
        },
        ..target(name, 3, 0)
    };
    let models = [model("m0", 264), model("m1", 192)];
    let ordered = |count: usize| {
        let limits = SwapLimits {
            parallel_percent: 100,
            share_percent: 100,
        };
        plan_round(&engines(count), &EngineVersions::default(), &models, limits).len()
    };
    assert_eq!(ordered(3_000), 660 + 480);
    assert_eq!(ordered(40), 40, "all where items are more than engines");
}

#[test]
fn an_entry_without_items_is_read() {
    let entry =
        r#"{"work_key":"w","trainer":"t","expected_tokens":9,"entered_at_ms":1,"is_ended":false}"#;
    let entry: IndexEntry = serde_json::from_str(entry).unwrap();
    assert_eq!(
        entry.demand,
        Demand {
            tokens: 9,
            items: 0
        }
    );
}

/// Guards against a holder that asks all engines of a large fleet for their state to order a few: those asked are as many
/// as the work needs, and those that are ordered are among them.
#[test]
fn engines_asked_depend_on_the_work() {
    let model = |number: usize, version: u64| ModelTarget {
        target: ModelVersion {
            model: format!("m{number}").into(),
            version,
        },
        demand: Demand {
            tokens: 50_000,
            items: 200,
        },
    };
    let models: Vec<ModelTarget> = (0..6).map(|number| model(number, 2)).collect();
    for count in [3_000, 9_000, 18_000] {
        let engines = engines(count);
        let versions = EngineVersions::default();
        let asked = load_candidates(&engines, &versions, &models, LIMITS);
        assert_eq!(asked.len(), 6 * 500, "of {count}");
        let ordered = plan_round(&engines, &versions, &models, LIMITS);
        assert!(!ordered.is_empty());
        assert!(ordered.iter().all(|(engine, _)| asked.contains(engine)));
    }
    let mut versions = EngineVersions::default();
    let engines = engines(9_000);
    for engine in &engines {
        for model in &models {
            versions.observe(&engine.instance, &model.target.model, 2);
        }
    }
    assert!(load_candidates(&engines, &versions, &models, LIMITS).is_empty());
}

// Loads slow each other down when reclaimable engines come: the weight store does not grow with them.
#[test]
fn reclaimable_engines_do_not_raise_the_number_of_parallel_loads() {
    let mut engines = engines(90);
    for engine in &mut engines[..45] {
        engine.is_spot = true;
    }
    let round = plan_round(
        &engines,
        &EngineVersions::default(),
        &[target("m", 2, 1)],
        LIMITS,
    );
    assert_eq!(round.len(), 9);
}
