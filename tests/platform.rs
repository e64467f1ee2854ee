//! The daemon on the platform as real processes, against stand-ins, with faults from the outside.
//!
//! Every seed that ever failed stays here as a case; a line names the failure that it guards against.

use std::path::PathBuf;

use borageshore_soak::{Script, SoakOptions, SoakReport, TimedFault, run_seed};

fn options(seed: u64, script: Script) -> SoakOptions {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_borageshore"));
    SoakOptions {
        duration_ms: 8_000,
        daemons: 3,
        script,
        ..SoakOptions::new(program, seed)
    }
}

fn play(options: &SoakOptions) -> SoakReport {
    let report = run_seed(options).unwrap();
    let text = report.violations.join("\n");
    assert!(report.violations.is_empty(), "{:?}\n{text}", report.faults);
    report
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    calls_and_submissions_are_served => {
        let report = play(&options(1, Script::Timed(Vec::new())));
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
        assert!(report.submissions >= 3, "{}", report.submissions);
        assert!(report.results >= 3 * 15, "{}", report.results);
    }

    // A trainer waits for a step whose daemon is gone.
    the_daemon_that_runs_a_step_is_killed => {
        let script = vec![(1_500, TimedFault::KillHolder), (4_500, TimedFault::KillHolder)];
        let report = play(&options(2, Script::Timed(script)));
        assert!(report.submissions >= 2, "{}", report.submissions);
        assert_eq!(report.faults.len(), 2);
    }

    // Long generations were moved to another engine each time their own one loaded weights.
    texts_stay_at_engines_that_load_weights => {
        let report = play(&options(10, Script::Timed(vec![(0, TimedFault::SlowAllEngines)])));
        // Some are left by a busy machine that pauses an engine for its silence limit.
        assert!(report.resumed_runs <= 3, "{}", report.resumed_runs);
    }

    // Callers lose answers when a VM is stopped for maintenance.
    a_daemon_is_stopped_under_load_and_nothing_is_cut => {
        let script = vec![(1_000, TimedFault::StopOne)];
        let report = play(&options(3, Script::Timed(script)));
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
    }

    // Callers were refused by a daemon that had stopped, though the list that they may still use names it.
    a_daemon_that_stops_serves_callers_for_as_long_as_their_lists_name_it => {
        let script = vec![(3_050, TimedFault::StopOne)];
        let report = play(&options(30, Script::Timed(script)));
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
    }

    // A step was refused by a daemon that the store turns away, though another daemon reaches it.
    a_submission_is_handed_on_where_the_store_turns_a_vm_away => {
        let script = (0..4).map(|turn| (500 + turn * 1_600, TimedFault::RejectAllButOne)).collect();
        let options = SoakOptions { daemons: 2, submit_at: Some(1), ..options(5, Script::Timed(script)) };
        let report = play(&options);
        assert_eq!(report.not_accepted, 0);
        assert!(report.submissions >= 2, "{}", report.submissions);
    }

    // Calls went to an endpoint whose removal was dropped from the store's history before any daemon read it.
    an_endpoint_that_left_unseen_gets_nothing_new => {
        let script = Script::Timed(vec![(1_000, TimedFault::UnlistUnobserved)]);
        play(&SoakOptions { duration_ms: 10_000, ..options(6, script) });
    }

    // An engine that restarted under its id with older weights got items that it may not run, and no order.
    an_engine_that_starts_again_under_its_id_is_brought_to_the_named_version => {
        let script = Script::Timed(vec![(4_500, TimedFault::RestartEngine)]);
        let report = play(&SoakOptions { duration_ms: 10_000, ..options(11, script) });
        let (runs, orders) = report.runs_and_orders_after_restart;
        assert!(runs > 0 && orders > 0, "{runs} runs, {orders} orders");
    }

    // Calls went by an endpoint's earlier entry after another writer had replaced it.
    an_endpoint_whose_entry_is_another_writers_gets_no_calls => {
        let script = Script::Timed(vec![(1_500, TimedFault::ForeignEntry)]);
        let report = play(&options(12, script));
        assert_eq!(report.calls_by_foreign_entry, 0);
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
    }

    // A stop of all daemons lost the partial outputs, which were kept in memory only.
    texts_outlive_a_stop_of_all_daemons => {
        let script = Script::Timed(vec![(500, TimedFault::KillAllMidGeneration)]);
        let options = SoakOptions { long_generations: true, ..options(13, script) };
        let report = play(&options);
        assert_eq!(report.faults.len(), 1);
        // Some 17 events: those of a quarter of a second, and the first ten, which are not stored alone.
        assert!(report.max_regenerated_events < 36, "{}", report.max_regenerated_events);
    }

    // After a stop of all daemons, orders that were long done counted as loads in progress and blocked new ones.
    orders_go_on_at_once_after_a_stop_of_all_daemons => {
        let script = Script::Timed(vec![(6_500, TimedFault::KillAllMidGeneration)]);
        let options = SoakOptions { long_generations: true, duration_ms: 13_000, ..options(14, script) };
        let pause_ms = play(&options).first_order_after_kill_ms.unwrap();
        // The rest of the step, and the start of a daemon.
        assert!(pause_ms < 3_000, "{pause_ms}");
    }

    // Results of a daemon that is cut off from the store waited there, and a successor generated them again.
    a_daemon_that_is_cut_off_from_the_store_goes_by_its_peers => {
        let script = Script::Timed(vec![(500, TimedFault::PartitionHolderMidGeneration)]);
        // A text that leaves a slow engine makes an event or two again there, and beside load many engines seem slow.
        let mechanisms_off = vec!["moves_to_better_engines"];
        let options = SoakOptions { long_generations: true, mechanisms_off, ..options(15, script) };
        let report = play(&options);
        assert_eq!(report.faults.len(), 1);
        assert!(report.max_regenerated_events < 5, "{}", report.max_regenerated_events);
    }

    // A call that may run once was answered with "not run" while its attempt was still in progress, and ran twice.
    calls_without_an_answer_are_never_said_not_to_have_run => {
        let script = (0..4).map(|turn| (500 + turn * 1_500, TimedFault::LoseResponses)).collect();
        let report = run_seed(&options(9, Script::Timed(script))).unwrap();
        let is_false = |text: &String| text.contains("said not to have run");
        assert!(!report.violations.iter().any(is_false), "{:?}", report.violations);
        assert!(!report.unanswered.is_empty());
    }

    // A hedged attempt was handed the time that was left before the wait for it, and outlived its caller.
    a_second_endpoint_gets_what_is_left_of_the_callers_time => {
        let script = Script::Timed(vec![(500, TimedFault::LoseResponses), (2_500, TimedFault::LoseResponses)]);
        let options = SoakOptions { objective_ms: 1_000, ..options(16, script) };
        let report = play(&options);
        assert_eq!(report.faults.len(), 2);
        assert!(report.max_overtime_ms < 250, "{}", report.max_overtime_ms);
    }

    // Heartbeats were taken for late ones of an earlier life whose clock had been ahead.
    a_daemon_whose_clock_was_ahead_is_listed_again => {
        play(&options(8, Script::Timed(vec![(1_000, TimedFault::HeartbeatFromFuture)])));
    }

    // The store filled up with records of old submissions, which nobody removed.
    records_of_old_submissions_are_removed => {
        let options = options(7, Script::Timed(Vec::new()));
        let kept = play(&SoakOptions { duration_ms: 12_000, ..options.clone() }).stored_submission_records;
        let options = SoakOptions { duration_ms: 12_000, results_kept_s: 1, ..options };
        let left = play(&options).stored_submission_records;
        assert!(left * 3 < kept * 2, "{left} of {kept}");
    }

    // One call, repeated at any daemon, crashed all endpoints of a service over and over.
    a_call_that_crashes_its_endpoints_is_held_back => {
        let options = SoakOptions { services: 4, crashing_calls: 1, ..options(17, Script::Timed(Vec::new())) };
        play(&SoakOptions { duration_ms: 12_000, ..options });
    }

    // Calls were held back for crashes of endpoints that they only shared with the calls which caused them.
    proper_calls_are_not_taken_for_ones_that_crash_endpoints => {
        let options = SoakOptions { services: 4, crashing_calls: 2, ..options(18, Script::Timed(Vec::new())) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        let held = &report.harmless_held_at_ms;
        let lasted_ms = held.iter().max().unwrap_or(&0) - held.iter().min().unwrap_or(&0);
        // A hold of a second, and the claim of its trial.
        assert!(lasted_ms < 1_500, "held at {held:?} ms");
        // Each lost three endpoints, some of them to the other call.
        assert_eq!(report.crashing_calls_held, 2);
        assert!(report.crashed_endpoints >= 4, "{} crashed", report.crashed_endpoints);
        assert!(report.calls_answered * 10 > report.calls * 8, "unanswered {:?}", report.unanswered);
    }

    // One item crashed each engine that ran it, and cut the generations of all others there.
    an_item_that_crashes_its_engines_is_held_back => {
        let options = SoakOptions { has_crashing_item: true, ..options(19, Script::Timed(Vec::new())) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        assert!(report.crashed_endpoints >= 3, "{}", report.crashed_endpoints);
        assert!(report.submissions >= 3, "{}", report.submissions);
    }

    // One reward call, repeated until it is answered, crashed the endpoints of callers.
    a_reward_call_that_crashes_its_endpoints_is_held_back => {
        let options = SoakOptions { services: 4, has_crashing_reward: true, ..options(20, Script::Timed(Vec::new())) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        assert!(report.crashed_endpoints >= 3, "{}", report.crashed_endpoints);
        assert!(report.submissions >= 3, "{}", report.submissions);
    }

    // A call that was held back crashed endpoints again once all daemons had restarted.
    what_is_held_back_outlasts_a_stop_of_all_daemons => {
        let script = Script::Timed(vec![(4_000, TimedFault::KillAllMidGeneration), (5_500, TimedFault::KillHolder)]);
        let options = SoakOptions { services: 4, crashing_calls: 1, long_generations: true, ..options(21, script) };
        let report = play(&SoakOptions { duration_ms: 14_000, ..options });
        // Three, a trial, and a call that was at a daemon which was killed before it could tell.
        assert!(report.crashed_endpoints <= 6, "{}", report.crashed_endpoints);
    }

    // A crash seen in an outage of the store was never told to other daemons.
    a_crash_that_is_seen_in_an_outage_of_the_store_is_told_after_it => {
        let script = Script::Timed(vec![(0, TimedFault::StoreOutage)]);
        let options = SoakOptions { services: 4, crashing_calls: 1, ..options(22, script) };
        play(&SoakOptions { duration_ms: 16_000, ..options });
    }

    // Crashes that come after the caller's deadline, when the connection is closed, were attributed to no call.
    a_call_that_crashes_its_endpoints_after_its_time_is_held_back => {
        let options = SoakOptions { services: 6, crashing_calls: 1, ..options(24, Script::Timed(Vec::new())) };
        let options = SoakOptions { crash_after_ms: 2_300, ..options };
        play(&SoakOptions { duration_ms: 24_000, ..options });
    }

    // Crashes that come after the caller has left were attributed to no call.
    a_call_whose_caller_has_left_is_held_back_for_the_endpoints_that_it_crashes => {
        let options = SoakOptions { services: 6, crashing_calls: 1, ..options(25, Script::Timed(Vec::new())) };
        let options = SoakOptions { crashing_call_timeout_ms: 50, crash_after_ms: 300, ..options };
        play(&SoakOptions { duration_ms: 16_000, ..options });
    }

    // In an outage of the store each daemon lost three endpoints of its own to a call before it held it back.
    crashes_are_told_among_daemons_while_the_store_is_away => {
        let script = Script::Timed(vec![(0, TimedFault::StoreOutage)]);
        let options = SoakOptions { services: 12, crashing_calls: 1, ..options(23, script) };
        let report = play(&SoakOptions { duration_ms: 10_000, ..options });
        // Three, the second attempt of a repeat that was under way, and a trial once the store is back.
        assert!(report.crashed_endpoints <= 5, "{}", report.crashed_endpoints);
    }

    // A proper call that was held back just before an outage of the store was refused for as long as it lasted.
    a_proper_call_that_is_held_is_tried_while_the_store_is_away => {
        let script = Script::Timed(vec![(0, TimedFault::LongOutage)]);
        let options = SoakOptions { services: 24, crashing_calls: 4, ..options(31, script) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        let held = &report.harmless_held_at_ms;
        let lasted_ms = held.iter().max().unwrap_or(&0) - held.iter().min().unwrap_or(&0);
        assert!(lasted_ms < 5_000, "held at {held:?} ms");
    }

    callers_with_keys_are_served_in_the_name_of_their_organisations => {
        let script = (0..3).map(|turn| (1_000 + turn * 1_500, TimedFault::RevokeKey)).collect();
        let options = SoakOptions { organisations: true, ..options(26, Script::Timed(script)) };
        let report = play(&SoakOptions { duration_ms: 10_000, ..options });
        assert!(report.unauthorized_at_ms.is_empty(), "each key is in force when it is used");
        assert!(report.unanswered.len() * 100 < report.calls, "{:?}", report.unanswered);
        assert!(report.submissions >= 3, "{}", report.submissions);
    }

    // An organisation is billed twice, or not at all.
    usage_is_reported_once_with_true_counts => {
        let script = vec![(2_000, TimedFault::LoseDutyResponses), (5_000, TimedFault::KillReporter)];
        let options = SoakOptions { organisations: true, ..options(29, Script::Timed(script)) };
        let report = play(&SoakOptions { duration_ms: 18_000, ..options });
        assert!(report.wrong_windows.len() <= 1, "{:?}", report.wrong_windows);
    }

    // A key that was taken away was good for as long as the store is away.
    a_key_that_was_taken_away_is_not_good_for_longer_without_the_store => {
        let script = vec![(500, TimedFault::LongOutage), (700, TimedFault::RevokeKey)];
        let options = SoakOptions { organisations: true, ..options(27, Script::Timed(script)) };
        let report = play(&SoakOptions { duration_ms: 14_000, ..options });
        assert!(report.unauthorized_at_ms.is_empty(), "nobody is denied by a view that is too old");
    }

    // A VM that was suspended served a key that was taken away meanwhile, from answers in its buffers.
    a_vm_that_was_suspended_serves_no_key_that_was_taken_away => {
        let script = vec![(500, TimedFault::SuspendAllButOne), (700, TimedFault::RevokeKey)];
        let options = SoakOptions { organisations: true, ..options(28, Script::Timed(script)) };
        play(&SoakOptions { duration_ms: 14_000, ..options });
    }

    seeded_faults_break_no_promise => {
        play(&options(4, Script::Random(4)));
    }
}
