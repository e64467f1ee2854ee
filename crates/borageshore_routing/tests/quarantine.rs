//! Requests that crash their endpoints are held, those that only share an endpoint with them are not.

use std::{ops::Range, sync::Arc};

use borageshore_routing::{
    AbandonedAttempts, Crash, CrashEffect, CrashReport, CrashReports, Fingerprint, HoldDecision,
    Quarantine, RequestContent, RequestKind,
};

const FIRST_HOLD_MS: u64 = 1_000;
const CANCELLED_TRIAL_DELAY_MS: u64 = 200;
const UNDECIDED_HOLD_MS: u64 = 10_000;
const SECOND_HOLD_MS: u64 = 600_000;
const HOUR_MS: u64 = 3_600_000;

fn content(number: u64) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        method: "GET",
        host: "shop.example",
        target: &format!("/{number}"),
        caller: b"",
        body: b"",
    })
}

fn crash(instance: u64, at_ms: u64) -> Crash {
    Crash {
        instance: Arc::from(format!("endpoint-{instance}")),
        is_trial: false,
        at_ms,
    }
}

/// A quarantine in which a request has crashed `crashes` endpoints, 10 ms apart, the first at 1 s.
fn crashed(number: u64, crashes: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for instance in 1..=crashes {
        quarantine.on_crash(content(number), crash(instance, 990 + 10 * instance));
    }
    quarantine
}

/// Claims the trials of all reward calls that are due; returns their numbers.
fn claim_due(quarantine: &mut Quarantine, numbers: Range<u64>, now_ms: u64) -> Vec<u64> {
    let kind = RequestKind::RewardCall;
    let mut claimed = Vec::new();
    for number in numbers {
        if quarantine.decision_for(kind, &content(number), now_ms) == HoldDecision::TrialDue {
            let claim = format!("vm-{number}").into();
            quarantine.on_claim_for(kind, content(number), claim, 1, now_ms);
            claimed.push(number);
        }
    }
    claimed
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    the_third_endpoint_that_crashes_holds_a_request_back => {
        let mut quarantine = crashed(1, 2);
        assert_eq!(quarantine.decision(&content(1), 1_010), HoldDecision::Allowed);
        assert_eq!(quarantine.on_crash(content(1), crash(2, 1_015)), CrashEffect::Known);
        assert_eq!(quarantine.on_crash(content(1), crash(3, 1_020)), CrashEffect::Held);
        assert_eq!(quarantine.decision(&content(1), 1_020), HoldDecision::Held { retry_after_ms: FIRST_HOLD_MS });
        assert_eq!(quarantine.decision(&content(2), 1_020), HoldDecision::Allowed);
    }

    // Guards against a long hold of a popular request that several endpoints were running when a zone failed:
    // simultaneous crashes prove no more than one, only a trial does.
    many_crashes_at_once_hold_a_request_back_no_longer_than_three => {
        let mut quarantine = crashed(1, 8);
        assert_eq!(quarantine.decision(&content(1), 1_070 + FIRST_HOLD_MS), HoldDecision::TrialDue);
        assert_eq!(quarantine.on_success(&content(1)).map(|crashes| crashes.len()), Some(8));
        assert!(quarantine.is_empty());
    }

    each_failed_trial_holds_a_request_back_for_longer => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        assert!(quarantine.has_trial("vm-1"));
        let failed = Crash { is_trial: true, ..crash(4, due_ms + 20) };
        assert_eq!(quarantine.on_crash(content(1), failed), CrashEffect::Held);
        assert!(!quarantine.has_trial("vm-1"));
        let held = HoldDecision::Held { retry_after_ms: SECOND_HOLD_MS };
        assert_eq!(quarantine.decision(&content(1), due_ms + 20), held);
    }

    // Guards against holding a request that lost several endpoints by chance but succeeded in between.
    a_request_that_is_answered_once_is_not_held => {
        let mut quarantine = Quarantine::default();
        for instance in 0..10 {
            assert_eq!(quarantine.on_crash(content(1), crash(2 * instance, 100 * instance)), CrashEffect::Suspected);
            assert_eq!(quarantine.on_crash(content(1), crash(2 * instance + 1, 100 * instance)), CrashEffect::Suspected);
            assert!(quarantine.on_success(&content(1)).is_some());
        }
    }

    // Guards against trials in quick succession when full endpoints refuse them: each trial counts, whatever
    // its result.
    a_trial_that_shows_nothing_is_not_repeated_at_once => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        quarantine.on_trial_finished(&content(1), "vm-1", 1, due_ms + 5);
        let held = HoldDecision::Held { retry_after_ms: UNDECIDED_HOLD_MS };
        assert_eq!(quarantine.decision(&content(1), due_ms + 5), held);
        let due_ms = due_ms + 5 + UNDECIDED_HOLD_MS;
        quarantine.on_claim(content(1), "vm-2".into(), 2, due_ms);
        quarantine.on_trial_finished(&content(1), "vm-2", 2, due_ms + 5);
        let held = HoldDecision::Held { retry_after_ms: SECOND_HOLD_MS };
        assert_eq!(quarantine.decision(&content(1), due_ms + 5), held);
    }

    // Guards against a long hold when no endpoint was available for a trial: a trial that was not sent does
    // not count.
    a_trial_that_was_not_sent_is_made_a_moment_later => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        quarantine.on_trial_cancelled(&content(1), "vm-1", due_ms + 5);
        assert_eq!(quarantine.trials(&content(1)), 0);
        let held = HoldDecision::Held { retry_after_ms: CANCELLED_TRIAL_DELAY_MS };
        assert_eq!(quarantine.decision(&content(1), due_ms + 5), held);
        assert_eq!(quarantine.decision(&content(1), due_ms + 5 + CANCELLED_TRIAL_DELAY_MS), HoldDecision::TrialDue);
    }

    // Guards against a second send while a trial is in progress: a losing claim or a late report must not end it.
    a_trial_is_ended_by_its_own_claim_only => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        quarantine.on_trial_cancelled(&content(1), "vm-2", due_ms + 5);
        quarantine.on_trial_finished(&content(1), "vm-3", 1, due_ms + 5);
        assert!(quarantine.has_trial("vm-1"));
        assert_eq!(quarantine.trials(&content(1)), 1);
    }

    // A daemon that starts reads only the newest record of each key, so it sees only the last trial.
    trials_are_counted_by_a_daemon_that_starts_later => {
        let mut quarantine = crashed(1, 3);
        quarantine.on_trial_finished(&content(1), "vm-2", 2, 20_000);
        assert_eq!(quarantine.trials(&content(1)), 2);
        let held = HoldDecision::Held { retry_after_ms: SECOND_HOLD_MS };
        assert_eq!(quarantine.decision(&content(1), 20_000), held);
    }

    // Guards against a long hold of a harmless request whose trial shared an endpoint with a request that crashed it.
    a_trial_whose_endpoint_another_request_crashes_is_made_again => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        quarantine.on_crash(content(2), crash(4, due_ms + 10));
        let lost = Crash { is_trial: true, ..crash(4, due_ms + 20) };
        quarantine.on_crash(content(1), lost);
        quarantine.on_trial_finished(&content(1), "vm-1", 1, due_ms + 20);
        let held = HoldDecision::Held { retry_after_ms: FIRST_HOLD_MS };
        assert_eq!(quarantine.decision(&content(1), due_ms + 20), held);
        assert_eq!(quarantine.decision(&content(1), due_ms + 20 + FIRST_HOLD_MS), HoldDecision::TrialDue);
    }

    // Guards against discounting a failed trial although the other request on the endpoint succeeded later.
    a_failed_trial_counts_once_the_request_lost_with_it_is_answered => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        quarantine.on_crash(content(1), Crash { is_trial: true, ..crash(4, due_ms + 20) });
        quarantine.on_crash(content(2), crash(4, due_ms + 25));
        assert_eq!(quarantine.decision(&content(1), due_ms + 20 + FIRST_HOLD_MS), HoldDecision::TrialDue);
        quarantine.on_success(&content(2));
        let held = HoldDecision::Held { retry_after_ms: SECOND_HOLD_MS };
        assert_eq!(quarantine.decision(&content(1), due_ms + 20), held);
    }

    // Guards against unlimited trials of a request whenever another one crashes the same endpoint.
    shared_trials_are_bounded => {
        let mut quarantine = crashed(1, 3);
        let mut now_ms = 1_020;
        let mut trials = 0;
        while now_ms < SECOND_HOLD_MS {
            now_ms += match quarantine.decision(&content(1), now_ms) {
                HoldDecision::Held { retry_after_ms } => retry_after_ms,
                _ => {
                    trials += 1;
                    quarantine.on_claim(content(1), "vm-1".into(), trials, now_ms);
                    quarantine.on_crash(content(1 + trials), crash(3 + trials, now_ms));
                    quarantine.on_crash(content(1), Crash { is_trial: true, ..crash(3 + trials, now_ms) });
                    quarantine.on_trial_finished(&content(1), "vm-1", trials, now_ms);
                    1
                }
            };
        }
        assert_eq!(trials, 3, "after 1, 2 and 12 s");
    }

    // Guards against sending a trial to an endpoint that another request is crashing.
    endpoints_that_crashed_lately_are_known => {
        let quarantine = crashed(1, 1);
        assert_eq!(quarantine.recently_crashed(1_500), [Arc::from("endpoint-1")]);
        assert!(quarantine.recently_crashed(3_000).is_empty());
    }

    // Guards against trying two suspects at once: if both are on an endpoint that crashes, either may be the cause.
    suspects_are_tried_one_at_a_time => {
        let mut quarantine = crashed(1, 3);
        for instance in 1..=3 {
            quarantine.on_crash(content(2), crash(instance, 1_000));
        }
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(2), "vm-2".into(), 1, due_ms);
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms + 1);
        assert!(quarantine.has_trial("vm-2") && !quarantine.has_trial("vm-1"));
        assert!(matches!(quarantine.decision(&content(1), due_ms + 1), HoldDecision::Held { .. }));
        quarantine.on_success(&content(2));
        assert_eq!(quarantine.decision(&content(1), due_ms + 2), HoldDecision::TrialDue);
    }

    // Harmless reward calls that met the same crashes are cleared one after the other.
    reward_calls_that_met_the_same_crashes_are_cleared_in_few_rounds => {
        let mut quarantine = Quarantine::default();
        for number in 0..50 {
            for instance in 1..=3 {
                quarantine.on_crash(content(number), crash(instance, 990 + 10 * instance));
            }
        }
        let due_ms = 1_020 + FIRST_HOLD_MS;
        let mut rounds = 0;
        while !quarantine.is_empty() {
            let tried = claim_due(&mut quarantine, 0..50, due_ms + rounds);
            for number in &tried {
                quarantine.on_success(&content(*number));
            }
            rounds += 1;
        }
        assert!(rounds <= 7, "{rounds}");
    }

    // Many reward calls that do crash endpoints are tried at once and crash all of a service.
    reward_calls_whose_trials_crash_are_tried_one_at_a_time => {
        let mut quarantine = Quarantine::default();
        for number in 0..50 {
            for instance in 1..=3 {
                quarantine.on_crash(content(number), crash(instance, 990 + 10 * instance));
            }
        }
        let due_ms = 1_020 + FIRST_HOLD_MS;
        for _ in 0..3 {
            for number in claim_due(&mut quarantine, 0..25, due_ms) {
                quarantine.on_success(&content(number));
            }
        }
        let tried = claim_due(&mut quarantine, 0..50, due_ms + 1);
        assert_eq!(tried.len(), 8);
        for number in &tried {
            quarantine.on_crash(content(*number), Crash { is_trial: true, ..crash(4 + number, due_ms + 2) });
        }
        assert_eq!(claim_due(&mut quarantine, 0..50, due_ms + 3).len(), 1);
    }

    // A call's trial shares an endpoint with that of a reward call, so that either may have crashed it.
    calls_and_reward_calls_are_not_tried_at_once => {
        let mut quarantine = crashed(1, 3);
        for instance in 1..=3 {
            quarantine.on_crash(content(2), crash(instance, 1_000));
        }
        let due_ms = 1_020 + FIRST_HOLD_MS;
        assert_eq!(claim_due(&mut quarantine, 2..3, due_ms), [2]);
        assert!(matches!(quarantine.decision(&content(1), due_ms), HoldDecision::Held { .. }));
        quarantine.on_success(&content(2));
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        for instance in 1..=3 {
            quarantine.on_crash(content(2), crash(instance, 1_000));
        }
        assert!(claim_due(&mut quarantine, 2..3, due_ms).is_empty());
    }

    // A harmless reward call is held for minutes once a trial was lost to a burst of crashes, or one that crashes its
    // endpoints is sent more than three times after these are known.
    a_reward_call_is_held_for_seconds_but_seldom_sent => {
        let mut quarantine = crashed(1, 3);
        let kind = RequestKind::RewardCall;
        let (mut now_ms, mut sent_at_ms) = (1_020, Vec::new());
        while now_ms < 1_020 + 15_000 {
            match quarantine.decision_for(kind, &content(1), now_ms) {
                HoldDecision::Held { retry_after_ms } => {
                    assert!(retry_after_ms <= 10_000);
                    now_ms += retry_after_ms;
                }
                _ => {
                    sent_at_ms.push(now_ms);
                    let number = sent_at_ms.len() as u64;
                    quarantine.on_claim_for(kind, content(1), "vm-1".into(), number, now_ms);
                    quarantine.on_crash(content(1), Crash { is_trial: true, ..crash(3 + number, now_ms) });
                    quarantine.on_trial_finished(&content(1), "vm-1", number, now_ms);
                }
            }
        }
        let later = sent_at_ms.iter().filter(|at_ms| **at_ms > 1_020 + 3_000);
        assert!(later.count() <= 3, "{sent_at_ms:?}");
    }

    // Guards against blocking all trials after the daemon that claimed one was killed.
    a_trial_without_an_outcome_ends => {
        let mut quarantine = crashed(1, 3);
        let due_ms = 1_020 + FIRST_HOLD_MS;
        quarantine.on_claim(content(1), "vm-1".into(), 1, due_ms);
        quarantine.on_claim(content(1), "vm-2".into(), 2, due_ms + UNDECIDED_HOLD_MS - 1);
        assert!(!quarantine.has_trial("vm-2"));
        quarantine.on_claim(content(1), "vm-2".into(), 2, due_ms + UNDECIDED_HOLD_MS);
        assert!(quarantine.has_trial("vm-2"));
    }

    a_request_that_is_not_due_has_no_trial => {
        let mut quarantine = crashed(1, 3);
        quarantine.on_claim(content(1), "vm-1".into(), 1, 1_021);
        quarantine.on_claim(content(2), "vm-2".into(), 1, 1_021);
        assert!(!quarantine.has_trial("vm-1") && !quarantine.has_trial("vm-2"));
    }

    suspicions_and_holds_expire => {
        let mut quarantine = crashed(1, 2);
        for instance in 1..=3 {
            quarantine.on_crash(content(2), crash(instance, 1_000));
        }
        assert!(quarantine.expire(1_009 + HOUR_MS).is_empty());
        assert_eq!(quarantine.expire(1_010 + HOUR_MS).len(), 1);
        assert_eq!(quarantine.held_count(), 1);
        assert_eq!(quarantine.expire(2_000 + 24 * HOUR_MS).len(), 1);
        assert!(quarantine.is_empty());
    }

    // Guards against unbounded memory in the loss of a region, and against evicting a held request before others.
    capacity_is_bounded_and_held_requests_are_evicted_last => {
        let mut quarantine = crashed(0, 3);
        for number in 1..10_000 {
            quarantine.on_crash(content(number), crash(1, 2_000 + number));
        }
        assert_eq!(quarantine.len(), 4_096);
        assert_eq!(quarantine.crashes(&content(0)), 3);
        assert!(quarantine.is_suspected(&content(9_999)) && !quarantine.is_suspected(&content(1)));
    }

    // Guards against a flood of reports in the loss of a zone: the rate is limited, repeated crashes go first
    // and requests that succeeded meanwhile are not reported.
    reports_are_rate_limited_and_repeated_crashes_come_first => {
        let quarantine = crashed(7, 2);
        let mut reports = CrashReports::default();
        for number in 0..100 {
            reports.push(CrashReport { content: content(number), crash: crash(9, 2_000) });
        }
        reports.remove_content(&content(3));
        let first = reports.take(&quarantine, 680, 2_000);
        assert_eq!(first.len(), 8);
        assert_eq!(first[0].content, content(7));
        assert!(first.iter().all(|report| report.content != content(3)));
        assert!(reports.take(&quarantine, 680, 2_010).is_empty());
        // At 40 reports a second for all, each of 680 daemons may send one in 17 s.
        assert_eq!(reports.take(&quarantine, 680, 20_000).len(), 1);
        assert_eq!(reports.take(&quarantine, 10, 21_000).len(), 4);
    }

    // Guards against missing a crash that happens after the caller's timeout.
    an_endpoint_that_ends_soon_after_an_attempt_was_given_up_counts_as_crashed => {
        let mut abandoned = AbandonedAttempts::default();
        let (one, other): (Arc<str>, Arc<str>) = ("endpoint-1".into(), "endpoint-2".into());
        abandoned.push(content(1), &one, false, 1_000);
        abandoned.push(content(2), &other, true, 2_000);
        assert_eq!(abandoned.on_endpoint_ended("endpoint-2", 7_999), [(content(2), true)]);
        assert!(abandoned.on_endpoint_ended("endpoint-2", 7_999).is_empty());
        assert!(abandoned.on_endpoint_ended("endpoint-1", 7_999).is_empty(), "too long ago");
    }

    reports_that_were_not_sent_are_sent_again => {
        let quarantine = Quarantine::default();
        let mut reports = CrashReports::default();
        reports.push(CrashReport { content: content(1), crash: crash(1, 1_000) });
        let taken = reports.take(&quarantine, 3, 1_000);
        reports.put_back(taken.clone());
        assert_eq!(reports.take(&quarantine, 3, 1_000), taken);
        assert!(reports.is_empty());
    }
}
