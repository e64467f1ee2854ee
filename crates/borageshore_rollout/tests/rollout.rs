//! Stragglers, back-pressure, staleness, placement and weight swaps.

use borageshore_log::{Envelope, Fold};
use borageshore_rollout::{
    JobController, JobPlan, Ledger, LedgerRecord, Placement, PullDecision, PullView, ReplicaView,
    Sample, SampleOrder, Segment, StalenessBound, SwapLimits, WeightVersions, plan_swaps,
};

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn plan() -> JobPlan {
    JobPlan {
        groups_per_step: 10,
        samples_per_group: 4,
        steps_ahead: 1,
        staleness_bound: StalenessBound {
            versions: 1,
            age_ms: 60_000,
        },
    }
}

fn sample(order: &SampleOrder) -> Sample {
    Sample {
        id: order.id.clone(),
        group: order.group,
        prompt: "p".into(),
        tokens: vec!["t".into()],
        segments: vec![Segment {
            version: 1,
            token_count: 1,
        }],
        score: None,
        age_ms: 0,
    }
}

/// All engines serve this version.
fn at(version: u64) -> WeightVersions {
    WeightVersions {
        target: version,
        oldest_served: version,
    }
}

fn replica(name: &str, version: u64) -> ReplicaView {
    ReplicaView {
        name: name.into(),
        version: Some(version),
        is_loading: false,
    }
}

fn limits(wave_replicas: u64, minimum_serving_percent: u64) -> SwapLimits {
    SwapLimits {
        wave_replicas,
        minimum_serving_percent,
    }
}

cases! {
    // Samples take 5 s, so one that runs for 6 s is no straggler, and one that runs for 11 s gets exactly
    // one further attempt. Guards against long durations that the histogram records as short ones.
    only_stragglers_are_placed_twice: {
        let mut controller = JobController::open("job".into(), 1);
        let orders = controller.tick(&plan(), at(1), 0);
        assert_eq!(orders.len(), 40);
        for order in &orders[..39] {
            controller.on_sample(sample(order), 0, 5_000);
        }
        assert_eq!(controller.tick(&plan(), at(1), 6_000), []);
        let again = controller.tick(&plan(), at(1), 11_000);
        assert_eq!(again.len(), 1);
        assert_eq!((&again[0].id, again[0].attempt), (&orders[39].id, 1));
        assert_eq!(controller.tick(&plan(), at(1), 30_000), []);
        assert_eq!(controller.counts().replaced, 1);
    };

    // Both attempts of a straggler finish; only the first counts.
    second_finish_is_dropped: {
        let mut controller = JobController::open("job".into(), 1);
        let orders = controller.tick(&plan(), at(1), 0);
        controller.on_sample(sample(&orders[0]), 0, 10);
        controller.on_sample(sample(&orders[0]), 0, 20);
        assert_eq!((controller.counts().generated, controller.counts().repeated), (1, 1));
    };

    // Guards against unbounded memory when the trainer stops pulling.
    generation_waits_for_the_trainer: {
        let mut controller = JobController::open("job".into(), 1);
        for order in controller.tick(&plan(), at(1), 0) {
            controller.on_sample(sample(&order), 0, 10);
        }
        assert_eq!(controller.tick(&plan(), at(1), 1_000), []);
        assert_eq!(controller.buffered(), 40);
    };

    // A failed attempt is retried after a pause, not at once.
    failed_attempt_is_repeated_after_a_pause: {
        let mut controller = JobController::open("job".into(), 1);
        let orders = controller.tick(&plan(), at(1), 0);
        controller.on_failure(orders[0].group, &orders[0].id, 100);
        assert_eq!(controller.tick(&plan(), at(1), 200), []);
        assert_eq!(controller.tick(&plan(), at(1), 300).len(), 1);
    };

    // Eight replicas, two may load at a time and half must serve; the oldest version goes first.
    swaps_go_in_waves: {
        let mut replicas: Vec<ReplicaView> = (0..8).map(|n| replica(&format!("e{n}"), 3)).collect();
        replicas[5].version = Some(1);
        let first = plan_swaps(&replicas, 4, limits(2, 50));
        assert_eq!(first.iter().map(|name| &**name).collect::<Vec<_>>(), ["e5", "e0"]);
        replicas[5].is_loading = true;
        replicas[0].is_loading = true;
        assert!(plan_swaps(&replicas, 4, limits(2, 50)).is_empty());
        assert_eq!(plan_swaps(&replicas, 4, limits(8, 50)).len(), 2, "half must serve");
    };

    // After a failed swap the replica reports the base version and is ordered again.
    failed_swap_is_ordered_again: {
        let replicas = [replica("e0", 4), replica("e1", 0)];
        assert_eq!(plan_swaps(&replicas, 4, limits(2, 50)), ["e1".into()]);
    };

    // The only replica of a service is swapped although it must serve.
    single_replica_is_swapped: {
        assert_eq!(plan_swaps(&[replica("e0", 1)], 2, limits(1, 100)), ["e0".into()]);
    };

    // A replica that does not respond gets no order and counts as not serving.
    unresponsive_replica_gets_no_order: {
        let mut replicas = vec![replica("e0", 1), replica("e1", 1)];
        replicas[0].version = None;
        assert_eq!(plan_swaps(&replicas, 2, limits(2, 50)), ["e1".into()]);
    };

    // Guards against steps that wait for one overloaded daemon: eight groups of four samples on three
    // daemons differ by at most one group.
    groups_are_spread_evenly: {
        let mut placement = Placement::default();
        let mut counts = [0; 3];
        for group in 0..8 {
            for _ in 0..4 {
                let chosen = placement.place(group, 0, &["a", "b", "c"]).unwrap();
                counts["abc".find(&*chosen).unwrap()] += 1;
            }
        }
        counts.sort_unstable();
        assert_eq!(counts, [8, 12, 12]);
        assert_ne!(placement.place(0, 1, &["a", "b", "c"]), placement.place(0, 0, &["a", "b", "c"]));
    };

    // A group moves when its daemon has died.
    group_moves_with_the_loss_of_its_daemon: {
        let mut placement = Placement::default();
        let assigned = placement.place(0, 0, &["a", "b"]).unwrap();
        let remaining = if &*assigned == "a" { "b" } else { "a" };
        assert_eq!(placement.place(0, 0, &[remaining]).as_deref(), Some(remaining));
        assert_eq!(placement.place(0, 0, &[]), None);
    };

    // The trainer publishes after every step and the bound is one version, so samples generated ahead
    // will be stale at their step. They are regenerated once an engine has served a newer version, not
    // at the pull.
    samples_that_will_be_stale_are_regenerated_early: {
        let ahead = JobPlan { groups_per_step: 1, steps_ahead: 2, ..plan() };
        let mut controller = JobController::open("job".into(), 1);
        let finish = |controller: &mut JobController, orders: &[SampleOrder], version: u64| {
            for order in orders {
                let segments = vec![Segment { version, token_count: 1 }];
                controller.on_sample(Sample { segments, ..sample(order) }, 0, 1);
            }
        };
        let orders = controller.tick(&ahead, at(1), 0);
        finish(&mut controller, &orders[..4], 1);
        // After two publications one step apart, one is expected before each further step.
        assert_eq!(controller.tick(&ahead, at(2), 1), []);
        finish(&mut controller, &orders[4..7], 1);
        assert_eq!(controller.tick(&ahead, at(2), 2), [], "nothing newer was seen");
        finish(&mut controller, &orders[7..], 2);
        let again = controller.tick(&ahead, at(2), 3);
        assert_eq!(again.len(), 3, "the second step's old samples, not the first step's");
        assert!(again.iter().all(|order| order.group == 1));
    };

    // While engines load new weights, samples of the next step would be stale when they are pulled;
    // they start only when every engine serves the new weights.
    work_ahead_waits_for_the_engines: {
        let ahead = JobPlan { groups_per_step: 1, steps_ahead: 2, ..plan() };
        let mut controller = JobController::open("job".into(), 1);
        assert_eq!(controller.tick(&ahead, at(1), 0).len(), 8);
        let mut controller = JobController::open("job".into(), 1);
        controller.tick(&JobPlan { steps_ahead: 1, ..ahead }, at(1), 0);
        let loading = WeightVersions { target: 2, oldest_served: 1 };
        assert_eq!(controller.tick(&ahead, loading, 1), [], "the next step is held back");
        assert_eq!(controller.tick(&ahead, at(2), 2).len(), 4);
    };

    // A trainer publishes after each step and pulls before the owner's next tick. Guards against counting
    // the pulled step before the publication: publications would seem two steps apart, and samples that
    // will be stale would be kept.
    pull_right_after_a_publication_counts_after_it: {
        let ahead = JobPlan { groups_per_step: 1, steps_ahead: 2, ..plan() };
        let mut controller = JobController::open("job".into(), 1);
        let mut ledger = Ledger::default();
        let mut offset = 0;
        let mut fold = |ledger: &mut Ledger, body: LedgerRecord| {
            offset += 1;
            ledger.apply(offset, 0, &Envelope { writer: "w".into(), sequence: offset, body });
        };
        fold(&mut ledger, LedgerRecord::Open { epoch: 1 });
        for order in controller.tick(&ahead, at(1), 0) {
            controller.on_sample(sample(&order), 0, 1);
        }
        for target_version in [1, 2] {
            let cursor = ledger.last_number();
            let pull = PullView { cursor, seen_epoch: 0, max_samples: 4, target_version };
            let PullDecision::Append(record) = controller.on_pull(&ledger, &ahead, pull, 1) else {
                panic!("a step is ready");
            };
            fold(&mut ledger, record);
            controller.on_ledger(&ledger);
        }
        // A step was pulled since version 2 was published, so version 3 is expected before the open step.
        let loading = WeightVersions { target: 2, oldest_served: 1 };
        assert_eq!(controller.tick(&ahead, loading, 2), []);
        assert_eq!(controller.tick(&ahead, at(2), 3).len(), 4);
    };
}
