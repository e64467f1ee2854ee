//! The daemon on the platform as real processes, against stand-ins, with faults from the outside.
//!
//! Every seed that ever failed stays here as a case, with a line on its cause.

use std::path::PathBuf;

use borageshore_soak::{Moment, Script, SoakOptions, SoakReport, run_seed};

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
        let report = play(&options(1, Script::Moments(Vec::new())));
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
        assert!(report.submissions >= 3, "{}", report.submissions);
        assert!(report.results >= 3 * 15, "{}", report.results);
    }

    // A trainer waits for a step whose daemon is gone.
    // The daemon that runs the items is killed while some are listed, some run and some wait; another
    // one sees its silence, reads the submission from the store and runs what is not listed.
    the_daemon_that_runs_a_step_is_killed => {
        let script = vec![(1_500, Moment::KillHolder), (4_500, Moment::KillHolder)];
        let report = play(&options(2, Script::Moments(script)));
        assert!(report.submissions >= 2, "{}", report.submissions);
        assert_eq!(report.faults.len(), 2);
    }

    // A trainer's longest text comes a second late, over and over.
    // It was moved to another engine each time its own one loaded weights, though a run goes on during
    // a load: with each version half of the texts under way changed engines, waited for a slot or came
    // to a slower engine.
    texts_stay_at_engines_that_load_weights => {
        let report = play(&options(10, Script::Moments(vec![(0, Moment::LongTexts)])));
        // Nine before; some are left for a busy machine that pauses an engine for its silence limit.
        assert!(report.resumed_runs <= 3, "{}", report.resumed_runs);
    }

    // Callers lose answers when a VM is stopped for maintenance.
    // SIGTERM takes it off the lists at once; callers whose list still has it are served until the
    // grace is nearly over, and connections end between two requests.
    a_daemon_is_stopped_under_load_and_nothing_is_cut => {
        let script = vec![(1_000, Moment::StopOne)];
        let report = play(&options(3, Script::Moments(script)));
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
    }

    // Callers are refused by a daemon that stops, though they may still use the list that names it.
    // The stop comes right after a caller has asked for addresses; it keeps them for three times their time to live.
    a_daemon_that_stops_serves_callers_for_as_long_as_their_lists_name_it => {
        let script = vec![(3_050, Moment::StopOne)];
        let report = play(&options(30, Script::Moments(script)));
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
    }

    // A trainer's step is refused and comes late, though the store works.
    // The store turns most VMs away; a daemon among them hands the submission on to one that it does
    // not know to be cut off, instead of refusing it.
    a_submission_is_handed_on_where_the_store_turns_a_vm_away => {
        let script = (0..4).map(|turn| (500 + turn * 1_600, Moment::TurnAwayAllButOne)).collect();
        let options = SoakOptions { daemons: 2, submit_at: Some(1), ..options(5, Script::Moments(script)) };
        let report = play(&options);
        assert_eq!(report.not_accepted, 0);
        assert!(report.submissions >= 2, "{}", report.submissions);
    }

    // Calls go to an endpoint that left the platform's list long ago.
    // Its removal was written while no daemon reached the store, and the store's history was dropped
    // before they were back; the newest records do not show what is missing.
    an_endpoint_that_left_unseen_gets_nothing_new => {
        let script = Script::Moments(vec![(1_000, Moment::UnlistUnseen)]);
        play(&SoakOptions { duration_ms: 10_000, ..options(6, script) });
    }

    // An engine runs nothing any more, for as long as its process lives.
    // It crashed and started again under its id with older weights before its entry lapsed; daemons went
    // by the version that the incarnation before had, gave it items that it may not make, and no order.
    an_engine_that_starts_again_under_its_id_is_brought_to_the_named_version => {
        let script = Script::Moments(vec![(4_500, Moment::EngineStartsAgain)]);
        let report = play(&SoakOptions { duration_ms: 10_000, ..options(11, script) });
        let (runs, orders) = report.after_restart;
        assert!(runs > 0 && orders > 0, "{runs} runs, {orders} orders");
    }

    // A caller's request goes to an address that no endpoint vouches for.
    // Another writer replaced the endpoint's entry by one that lacks fields; the entry that it had before
    // stayed in use.
    an_endpoint_whose_entry_is_another_writers_gets_no_calls => {
        let script = Script::Moments(vec![(1_500, Moment::ForeignEntry)]);
        let report = play(&options(12, script));
        assert_eq!(report.calls_by_foreign_entry, 0);
        assert!(report.unanswered.is_empty(), "{:?}", report.unanswered);
    }

    // A step takes 12 s instead of 8.
    // All daemons stop at once when its texts are nearly complete. They kept the texts in memory only, so
    // that those who came back began them again; now they go on where the store has them.
    texts_outlive_a_stop_of_all_daemons => {
        let script = Script::Moments(vec![(500, Moment::KillAllMidText)]);
        let options = SoakOptions { long_texts: true, ..options(13, script) };
        let report = play(&options);
        assert_eq!(report.faults.len(), 1);
        // Some 17 events: those of a quarter of a second, and the first ten, which are not stored alone.
        assert!(report.most_remade < 36, "{}", report.most_remade);
    }

    // A step waits 4 s for a slot, at engines that are two versions behind.
    // All daemons stop at once. The one that gives orders reads the last round when it is back, and counts
    // its orders as loads under way though they are long done; so many take up all loads at once.
    orders_go_on_at_once_after_a_stop_of_all_daemons => {
        let script = Script::Moments(vec![(6_500, Moment::KillAllMidText)]);
        let options = SoakOptions { long_texts: true, duration_ms: 13_000, ..options(14, script) };
        let pause_ms = play(&options).orders_after_stop_ms.unwrap();
        // The rest of the step, and the start of a daemon; 3 s more before.
        assert!(pause_ms < 3_000, "{pause_ms}");
    }

    // A step waits for the end of a cut, or for a takeover, though two other daemons reach the store.
    // The daemon that runs it is cut off from the store when its texts are nearly complete; their results
    // waited there, and a successor made the ends of the texts again. Now a peer passes its calls on.
    a_daemon_that_is_cut_off_from_the_store_goes_by_its_peers => {
        let script = Script::Moments(vec![(500, Moment::CutHolderMidText)]);
        // A text that leaves a slow engine makes an event or two again there, and beside load many engines seem slow.
        let mechanisms_off = vec!["moves_to_better_engines"];
        let options = SoakOptions { long_texts: true, mechanisms_off, ..options(15, script) };
        let report = play(&options);
        assert_eq!(report.faults.len(), 1);
        assert!(report.most_remade < 5, "{}", report.most_remade);
    }

    // A grower is paid twice: a call that may run once was answered with "not run", was sent again, and
    // had run. Its endpoint never answered; when the caller's time was over, the attempt was still under
    // way and counted as none.
    calls_without_an_answer_are_never_said_not_to_have_run => {
        let script = (0..4).map(|turn| (500 + turn * 1_500, Moment::LoseAnswers)).collect();
        let report = run_seed(&options(9, Script::Moments(script))).unwrap();
        let is_false = |text: &String| text.contains("said not to have run");
        assert!(!report.violations.iter().any(is_false), "{:?}", report.violations);
        assert!(!report.unanswered.is_empty());
    }

    // An endpoint works on for half a second after the caller has gone, and has a slot less for others.
    // A call that may be repeated gets no answer at its first endpoint; a second one is asked as well, half
    // an objective later, and was handed the time that was left before that wait.
    a_second_endpoint_gets_what_is_left_of_the_callers_time => {
        let script = Script::Moments(vec![(500, Moment::LoseAnswers), (2_500, Moment::LoseAnswers)]);
        let options = SoakOptions { objective_ms: 1_000, ..options(16, script) };
        let report = play(&options);
        assert_eq!(report.faults.len(), 2);
        // 525 before.
        assert!(report.most_overtime_ms < 250, "{}", report.most_overtime_ms);
    }

    // A VM gets no callers and no work for good, though its daemon runs.
    // Its clock was ahead when its last life began and is right now; the others take the heartbeats of
    // the present life for late ones of an earlier life.
    a_daemon_whose_clock_was_ahead_is_listed_again => {
        play(&options(8, Script::Moments(vec![(1_000, Moment::HeartbeatFromAhead)])));
    }

    // After half an hour every submission is refused: the store is full.
    // It keeps the newest record of each key for good, and nobody removed those of old submissions.
    records_of_old_submissions_are_removed => {
        let options = options(7, Script::Moments(Vec::new()));
        let kept = play(&SoakOptions { duration_ms: 12_000, ..options.clone() }).kept_records;
        let options = SoakOptions { duration_ms: 12_000, results_kept_s: 1, ..options };
        let left = play(&options).kept_records;
        assert!(left * 3 < kept * 2, "{left} of {kept}");
    }

    // Callers of the plain service are refused for seconds, over and over: its endpoints crash, up to all at
    // once. One caller repeats a call that crashes each endpoint which begins to run it. A daemon sends it to a
    // second endpoint when the first is gone, and the repeat goes to another daemon, which knows nothing of it.
    // Evidence: lost attempts of one content at all daemons, each by a connection that ended, none answered ever.
    a_call_that_crashes_its_endpoints_is_held_back => {
        let options = SoakOptions { services: 4, crashing_calls: 1, ..options(17, Script::Moments(Vec::new())) };
        play(&SoakOptions { duration_ms: 12_000, ..options });
    }

    // Calls are refused as ones that crash endpoints, though they never did: they were under way at the endpoints
    // that two other calls crashed, all of them within a moment. All proper calls here ask the same. One
    // that is held in vain is tried a second after its last crash, and free for all once that is answered.
    proper_calls_are_not_taken_for_ones_that_crash_endpoints => {
        let options = SoakOptions { services: 4, crashing_calls: 2, ..options(18, Script::Moments(Vec::new())) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        let held = &report.proper_held_at_ms;
        let lasted_ms = held.iter().max().unwrap_or(&0) - held.iter().min().unwrap_or(&0);
        // A hold of a second, and the claim of its trial.
        assert!(lasted_ms < 1_500, "held at {held:?} ms");
        // Each lost three endpoints, some of them to the other call.
        assert_eq!(report.crashing_calls_held, 2);
        assert!(report.crashed_endpoints >= 4, "{} crashed", report.crashed_endpoints);
        assert!(report.calls_answered * 10 > report.calls * 8, "unanswered {:?}", report.unanswered);
    }

    // Trainers wait for texts that begin again and again: engines crash, each as it begins to run one item, and the
    // item goes on elsewhere at once; the next step brings it again. All other texts under way there are cut.
    an_item_that_crashes_its_engines_is_held_back => {
        let options = SoakOptions { has_crashing_item: true, ..options(19, Script::Moments(Vec::new())) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        assert!(report.crashed_endpoints >= 3, "{}", report.crashed_endpoints);
        assert!(report.submissions >= 3, "{}", report.submissions);
    }

    // Clerks are refused while endpoints of the plain service crash, one after the other, under the reward call of one
    // item: it is repeated until it is answered.
    a_reward_call_that_crashes_its_endpoints_is_held_back => {
        let options = SoakOptions { services: 4, has_crashing_reward: true, ..options(20, Script::Moments(Vec::new())) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        assert!(report.crashed_endpoints >= 3, "{}", report.crashed_endpoints);
        assert!(report.submissions >= 3, "{}", report.submissions);
    }

    // The endpoints crash again, all of them: a call had been held back for long, then all daemons lost power, and
    // those that came back knew nothing of it.
    what_is_held_back_outlasts_a_stop_of_all_daemons => {
        let script = Script::Moments(vec![(4_000, Moment::KillAllMidText), (5_500, Moment::KillHolder)]);
        let options = SoakOptions { services: 4, crashing_calls: 1, long_texts: true, ..options(21, script) };
        let report = play(&SoakOptions { duration_ms: 14_000, ..options });
        // Three, a trial, and a call that was at a daemon which was killed before it could tell.
        assert!(report.crashed_endpoints <= 6, "{}", report.crashed_endpoints);
    }

    // The endpoints crash again after an outage of the store: a daemon saw them crash and could not tell the others.
    a_crash_that_is_seen_in_an_outage_of_the_store_is_told_after_it => {
        let script = Script::Moments(vec![(0, Moment::StoreSilent)]);
        let options = SoakOptions { services: 4, crashing_calls: 1, ..options(22, script) };
        play(&SoakOptions { duration_ms: 16_000, ..options });
    }

    // Endpoints crash one after the other, and no call is seen that does it: it runs at each for longer than its
    // caller waits, so the daemon has closed the connection by the time at which the endpoint goes. What tells
    // it is that the endpoint's entry lapses, though it never said that it leaves.
    a_call_that_crashes_its_endpoints_after_its_time_is_held_back => {
        let options = SoakOptions { services: 6, crashing_calls: 1, ..options(24, Script::Moments(Vec::new())) };
        let options = SoakOptions { crash_after_ms: 2_300, ..options };
        play(&SoakOptions { duration_ms: 24_000, ..options });
    }

    // Endpoints crash one after the other, and no attempt is lost: the caller leaves after a twentieth of a second each
    // time, and the daemon closes the attempt's connection with it. The endpoint works on, and crashes.
    a_call_whose_caller_has_left_is_held_back_for_the_endpoints_that_it_crashes => {
        let options = SoakOptions { services: 6, crashing_calls: 1, ..options(25, Script::Moments(Vec::new())) };
        let options = SoakOptions { crashing_wait_ms: 50, crash_after_ms: 300, ..options };
        play(&SoakOptions { duration_ms: 16_000, ..options });
    }

    // Callers of the plain service are refused for as long as the store is away: each daemon has to lose three
    // endpoints of its own to a call before it holds it back, as it can tell the others only by the store. Those that
    // start again are not listed meanwhile, so there are more of them here.
    crashes_are_told_among_daemons_while_the_store_is_away => {
        let script = Script::Moments(vec![(0, Moment::StoreSilent)]);
        let options = SoakOptions { services: 12, crashing_calls: 1, ..options(23, script) };
        let report = play(&SoakOptions { duration_ms: 10_000, ..options });
        // Three, the second attempt of a repeat that was under way, and a trial once the store is back.
        assert!(report.crashed_endpoints <= 5, "{}", report.crashed_endpoints);
    }

    // A page that many ask for is refused for as long as the store is away: held as its endpoints crashed under other
    // calls, it could not be tried without a claim in the store.
    a_proper_call_that_is_held_is_tried_while_the_store_is_away => {
        let script = Script::Moments(vec![(0, Moment::StoreSilentForLong)]);
        let options = SoakOptions { services: 24, crashing_calls: 4, ..options(31, script) };
        let report = play(&SoakOptions { duration_ms: 12_000, ..options });
        let held = &report.proper_held_at_ms;
        let lasted_ms = held.iter().max().unwrap_or(&0) - held.iter().min().unwrap_or(&0);
        assert!(lasted_ms < 5_000, "held at {held:?} ms");
    }

    callers_with_keys_are_served_in_the_name_of_their_organisations => {
        let script = (0..3).map(|turn| (1_000 + turn * 1_500, Moment::Revoke)).collect();
        let options = SoakOptions { organisations: true, ..options(26, Script::Moments(script)) };
        let report = play(&SoakOptions { duration_ms: 10_000, ..options });
        assert!(report.unauthorized_at_ms.is_empty(), "each key is in force when it is used");
        assert!(report.unanswered.len() * 100 < report.calls, "{:?}", report.unanswered);
        assert!(report.submissions >= 3, "{}", report.submissions);
    }

    // An organisation is billed twice, or not at all.
    // Each window of usage is reported once, with what began to run in it, also while the platform takes reports and
    // answers none, and when the daemon that reports is killed.
    usage_is_reported_once_with_true_counts => {
        let script = vec![(2_000, Moment::DutiesLost), (5_000, Moment::KillReporter)];
        let options = SoakOptions { organisations: true, ..options(29, Script::Moments(script)) };
        let report = play(&SoakOptions { duration_ms: 18_000, ..options });
        assert!(report.wrong_windows.len() <= 1, "{:?}", report.wrong_windows);
    }

    // A key that was taken away is good for as long as the store is away.
    // No daemon hears of the change. What each knows is too old after five seconds, and it says so instead.
    a_key_that_was_taken_away_is_not_good_for_longer_without_the_store => {
        let script = vec![(500, Moment::StoreSilentForLong), (700, Moment::Revoke)];
        let options = SoakOptions { organisations: true, ..options(27, Script::Moments(script)) };
        let report = play(&SoakOptions { duration_ms: 14_000, ..options });
        assert!(report.unauthorized_at_ms.is_empty(), "nobody is denied by a view that is too old");
    }

    // A key that was taken away is served by VMs that wake after ten seconds.
    // The last answer of the store lay in their buffers, and the calls that came meanwhile as well.
    a_vm_that_was_suspended_serves_no_key_that_was_taken_away => {
        let script = vec![(500, Moment::SuspendOthers), (700, Moment::Revoke)];
        let options = SoakOptions { organisations: true, ..options(28, Script::Moments(script)) };
        play(&SoakOptions { duration_ms: 14_000, ..options });
    }

    seeded_faults_break_no_promise => {
        play(&options(4, Script::Random(4)));
    }
}
