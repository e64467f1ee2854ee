//! Overload: callers ask for several times what a service can serve, through the decision alone.

use std::{collections::VecDeque, sync::Arc};

use borageshore_routing::{
    CallTerms, EndpointListing, EndpointState, EndpointTable, LoadReport, LoadSummary,
    OverloadControl, OverloadDecision, OverloadReason,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVICE_TIME_MS: u64 = 25;
const SLOTS: u64 = 20;
const OBJECTIVE_MS: u64 = 150;
const LIMIT_MS: u64 = 2_000;
/// How old the load is by which calls are decided.
const SUMMARY_AGE_MS: u64 = 10;
const PLAYED_MS: u64 = 20_000;
const FULL: LoadReport = report(3 * SLOTS);

const fn report(requests: u64) -> LoadReport {
    LoadReport {
        requests,
        slots: SLOTS,
        slowdown_percent: None,
    }
}

fn summary(queued: u64, running: u64) -> LoadSummary {
    LoadSummary {
        endpoints: 4,
        reported: 4,
        slots: SLOTS,
        free_slots: SLOTS - running,
        queued,
    }
}

/// A control that knows the service time.
fn control(service: &Arc<str>) -> OverloadControl {
    let mut control = OverloadControl::default();
    control.on_answer(service, SERVICE_TIME_MS, Some(report(1)));
    control
}

fn terms(organisation: &Arc<str>, priority: u64, left_ms: u64) -> CallTerms<'_> {
    CallTerms {
        organisation: Some(organisation),
        priority,
        objective_ms: OBJECTIVE_MS,
        limit_ms: LIMIT_MS,
        left_ms,
    }
}

/// Callers of one kind.
struct Crowd {
    organisation: Arc<str>,
    priority: u64,
    /// Their calls, in percent of what the service can serve.
    load_percent: u64,
    seen: Seen,
}

#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    asked: u64,
    in_time: u64,
    late: u64,
    refused_new: u64,
    refused_again: u64,
}

impl Seen {
    fn answered_percent(self) -> u64 {
        (self.in_time + self.late) * 100 / self.asked
    }

    fn in_time_percent(self) -> u64 {
        self.in_time * 100 / self.asked
    }
}

/// The share of all calls that were answered.
fn answered_percent(seen: &[Seen]) -> u64 {
    let answered: u64 = seen.iter().map(|seen| seen.in_time + seen.late).sum();
    answered * 100 / seen.iter().map(|seen| seen.asked).sum::<u64>()
}

fn crowd(organisation: &str, priority: u64, load_percent: u64) -> Crowd {
    Crowd {
        organisation: organisation.into(),
        priority,
        load_percent,
        seen: Seen::default(),
    }
}

/// A call: the crowd, when it was sent, and how long its caller waits from then on. Callers return once.
#[derive(Debug, Clone, Copy)]
struct Call(usize, u64, u64);

fn play(mut crowds: Vec<Crowd>) -> Vec<Seen> {
    let service: Arc<str> = "s".into();
    let mut control = control(&service);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let (mut queue, mut returning) = (VecDeque::new(), Vec::new());
    let mut running: Vec<u64> = Vec::new();
    let mut known = summary(0, 0);
    for now_ms in 0..PLAYED_MS {
        running.retain(|ends_ms| *ends_ms > now_ms);
        while (running.len() as u64) < SLOTS
            && let Some(Call(of, sent_at_ms, _)) = queue.pop_front()
        {
            let ends_ms = now_ms + SERVICE_TIME_MS;
            running.push(ends_ms);
            let seen = &mut crowds[of].seen;
            match ends_ms - sent_at_ms <= OBJECTIVE_MS {
                true => seen.in_time += 1,
                false => seen.late += 1,
            }
        }
        if now_ms % SUMMARY_AGE_MS == 0 {
            known = summary(queue.len() as u64, running.len() as u64);
        }
        let is_due = |call: &mut Call| call.1 <= now_ms;
        let mut arrivals: Vec<Call> = returning.extract_if(.., is_due).collect();
        for (index, crowd) in crowds.iter_mut().enumerate() {
            // Calls a second, as the probability of one in this millisecond.
            let per_s = SLOTS * 1_000 / SERVICE_TIME_MS * crowd.load_percent / 100;
            let arrived = per_s / 1_000 + u64::from(random.next_u64() % 1_000 < per_s % 1_000);
            crowd.seen.asked += arrived;
            arrivals.extend((0..arrived).map(|_| Call(index, now_ms, LIMIT_MS)));
        }
        for Call(of, _, left_ms) in arrivals {
            let crowd = &mut crowds[of];
            let terms = terms(&crowd.organisation, crowd.priority, left_ms);
            match control.decide(&service, known, terms, now_ms, random.next_u64()) {
                OverloadDecision::Admit => {
                    known.on_admitted();
                    queue.push_back(Call(of, now_ms, left_ms));
                }
                OverloadDecision::Refuse { retry_after_ms, .. } if left_ms == LIMIT_MS => {
                    crowd.seen.refused_new += 1;
                    let left_ms = left_ms - retry_after_ms;
                    returning.push(Call(of, now_ms + retry_after_ms, left_ms));
                }
                OverloadDecision::Refuse { .. } => crowd.seen.refused_again += 1,
            }
        }
    }
    crowds.iter().map(|crowd| crowd.seen).collect()
}

/// The refusal of a call while `queued` requests wait.
fn refusal(
    control: &mut OverloadControl,
    queued: u64,
    terms: CallTerms<'_>,
    random: u64,
) -> Option<(OverloadReason, u64)> {
    match control.decide(&"s".into(), summary(queued, SLOTS), terms, 0, random) {
        OverloadDecision::Admit => None,
        OverloadDecision::Refuse {
            reason,
            retry_after_ms,
        } => Some((reason, retry_after_ms)),
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against one organisation that takes the service from all others.
    small_organisations_are_served_at_three_times_the_load => {
        let small = ["b", "c", "d", "e", "f", "g", "h", "i"];
        let mut crowds = vec![crowd("a", 2, 260)];
        crowds.extend(small.map(|name| crowd(name, 2, 5)));
        let seen = play(crowds);
        for small in &seen[1..] {
            assert!(small.in_time_percent() >= 95, "{small:?}");
        }
        // The rest of the service, 60 % of it, goes to the large one.
        assert!((18..=26).contains(&seen[0].answered_percent()), "{:?}", seen[0]);
        assert!(seen[0].in_time * 10 >= seen[0].late * 9, "{:?}", seen[0]);
    }

    // Guards against answers that are all late, in a queue that everybody waits in, and against an idle service.
    equal_organisations_get_what_the_service_can_serve => {
        let seen = play(["a", "b", "c", "d", "e", "f"].map(|name| crowd(name, 2, 50)).into());
        for seen in &seen {
            assert!((26..=36).contains(&seen.answered_percent()), "{seen:?}");
            assert!(seen.in_time * 10 >= seen.late * 9, "{seen:?}");
        }
    }

    // Guards against important calls that are refused so that less important ones are served.
    important_calls_are_served_first => {
        let seen = play(vec![crowd("a", 1, 30), crowd("b", 2, 100), crowd("c", 5, 170)]);
        assert!(seen[0].in_time_percent() >= 95, "{:?}", seen[0]);
        assert!(seen[1].answered_percent() < seen[0].answered_percent());
        assert!(seen[2].answered_percent() < seen[1].answered_percent(), "{seen:?}");
    }

    // Guards against priorities without effect where the important calls alone nearly fill the service.
    many_important_calls_are_served_before_others => {
        let seen = play(vec![crowd("a", 1, 80), crowd("b", 2, 80), crowd("c", 5, 140)]);
        assert!(seen[0].answered_percent() >= 2 * answered_percent(&seen), "{:?}", seen[0]);
        assert!(seen[0].answered_percent() >= 3 * seen[1].answered_percent(), "{seen:?}");
        assert!(seen[2].answered_percent() < seen[1].answered_percent(), "{seen:?}");
    }

    // Guards against organisations and priorities that are not served at all while others are: each is served at least
    // a quarter as often as all calls.
    nobody_is_starved => {
        let mut small: Vec<Crowd> = (0..40).map(|number| crowd(&format!("o{number}"), 2, 5)).collect();
        small.push(crowd("a", 2, 150));
        for crowds in [
            small,
            vec![crowd("a", 1, 80), crowd("b", 2, 80), crowd("c", 5, 140)],
            vec![crowd("a", 1, 250), crowd("b", 1, 40), crowd("c", 5, 20)],
            vec![crowd("a", 1, 120), crowd("b", 5, 20)],
        ] {
            let seen = play(crowds);
            let least = seen.iter().map(|seen| seen.answered_percent()).min();
            assert!(least.unwrap() * 4 >= answered_percent(&seen), "{seen:?}");
        }
    }

    // Guards against callers that come back in vain while others that came later are served.
    callers_that_return_are_served_before_new_ones => {
        let seen = play(vec![crowd("a", 2, 150), crowd("b", 2, 150)]);
        for seen in seen {
            let refused_new_percent = seen.refused_new * 100 / seen.asked;
            let refused_again_percent = seen.refused_again * 100 / seen.refused_new;
            assert!(refused_again_percent < refused_new_percent, "{seen:?}");
        }
    }

    // Guards against refusals without need: below what the service can serve, nobody is refused.
    nobody_is_refused_at_usual_load => {
        let seen = play(vec![crowd("a", 2, 70), crowd("b", 2, 10)]);
        assert!(seen.iter().all(|seen| seen.refused_new == 0 && seen.late == 0), "{seen:?}");
    }

    // Guards against a call that waits for an answer which cannot come in time, and against a return too late to be served.
    a_call_that_would_miss_its_deadline_is_refused_at_once => {
        let mut control = control(&"s".into());
        let organisation: Arc<str> = "a".into();
        for random in [0, 999, u64::MAX, 1 << 40] {
            let refused = refusal(&mut control, 2_000, terms(&organisation, 0, 1_500), random);
            let (reason, retry_after_ms) = refused.unwrap();
            assert_eq!(reason, OverloadReason::Deadline);
            assert!((1..=500).contains(&retry_after_ms), "{retry_after_ms}");
        }
    }

    // Guards against short calls that are never served because another route of the service has long ones.
    long_work_of_another_route_is_not_expected_of_a_call => {
        let service: Arc<str> = "s".into();
        let mut control = OverloadControl::default();
        control.on_answer(&service, 5_000, Some(report(1)));
        let organisation: Arc<str> = "a".into();
        let terms = CallTerms { objective_ms: 3_000, limit_ms: 4_000, ..terms(&organisation, 0, 4_000) };
        // A slot is free after a second.
        assert_eq!(refusal(&mut control, 0, terms, 0), None);
    }

    // Guards against a limit of a caller that is so long that computing with it fails.
    a_caller_may_allow_any_time => {
        let mut control = control(&"s".into());
        let organisation: Arc<str> = "a".into();
        assert_eq!(refusal(&mut control, 0, terms(&organisation, 0, u64::MAX), 0), None);
        assert!(refusal(&mut control, 2_000, terms(&organisation, 0, u64::MAX), 0).is_some());
    }

    // Guards against memory that grows with the names that services had.
    services_without_calls_are_forgotten => {
        let organisation: Arc<str> = "a".into();
        let (old, new): (Arc<str>, Arc<str>) = ("old".into(), "new".into());
        let mut control = control(&old);
        control.decide(&old, summary(0, 0), terms(&organisation, 0, LIMIT_MS), 0, 0);
        assert_eq!(control.counted_organisations(&old), 1);
        control.decide(&new, summary(0, 0), terms(&organisation, 0, LIMIT_MS), 60_000, 0);
        assert_eq!(control.counted_organisations(&old), 0);
    }

    // Guards against refusals by a daemon that heard nothing, or nothing lately, of the endpoints.
    without_current_reports_all_calls_are_admitted => {
        let listing = |number: usize| EndpointListing {
            name: format!("e{number}").into(),
            service: "s".into(),
            zone: "z".into(),
            address: "127.0.0.1:1".into(),
            state: EndpointState::Live,
        };
        let mut table = EndpointTable::default();
        table.on_listing((0..3).map(listing).collect());
        let is_full = |table: &EndpointTable, now_ms| {
            LoadSummary::of(table.usable("s", now_ms), now_ms).is_full()
        };
        assert!(!is_full(&table, 0));
        table.on_report("e0", FULL, 100);
        table.on_report("e1", FULL, 100);
        assert!(!is_full(&table, 100), "the third endpoint may have free slots");
        table.on_report("e2", FULL, 100);
        assert!(is_full(&table, 100));
        assert!(!is_full(&table, 5_000));
        let organisation: Arc<str> = "a".into();
        let mut control = control(&"s".into());
        let unknown = LoadSummary { endpoints: 3, ..LoadSummary::default() };
        let decision = control.decide(&"s".into(), unknown, terms(&organisation, 9, 10), 0, 0);
        assert_eq!(decision, OverloadDecision::Admit);
    }

    // Guards against callers that all return at the same moment, and against important ones that return last.
    returns_are_spread_and_important_calls_return_earlier => {
        let organisation: Arc<str> = "a".into();
        let mut control = control(&"s".into());
        let mut random = Pcg64Mcg::seed_from_u64(5);
        let mut returns = [Vec::new(), Vec::new()];
        for _ in 0..400 {
            for (index, priority) in [0, 5].into_iter().enumerate() {
                let terms = terms(&organisation, priority, 3_000);
                let refused = refusal(&mut control, 260, terms, random.next_u64());
                returns[index].extend(refused.map(|(_, retry_after_ms)| retry_after_ms));
            }
        }
        let mean = |times: &[u64]| times.iter().sum::<u64>() / times.len() as u64;
        assert!(mean(&returns[0]) < mean(&returns[1]), "{} {}", mean(&returns[0]), mean(&returns[1]));
        let mut times = returns[1].clone();
        assert!(times.iter().all(|time| *time <= 1_000));
        times.sort_unstable();
        times.dedup();
        assert!(times.len() > 50, "{}", times.len());
    }

    // Guards against an organisation that pays for calls that no endpoint ran.
    calls_that_were_not_run_do_not_count_as_used => {
        let (service, organisation, other): (Arc<str>, Arc<str>, Arc<str>) = ("s".into(), "a".into(), "b".into());
        let mut control = control(&service);
        let mut ask = |organisation: &Arc<str>, is_run: bool| {
            let terms = terms(organisation, 2, LIMIT_MS);
            control.decide(&service, summary(0, 0), terms, 0, 0);
            if !is_run {
                let retry_after_ms = control.on_not_run(&service, summary(200, SLOTS), terms, 0, 0);
                assert!((1..=LIMIT_MS / 3).contains(&retry_after_ms));
            }
        };
        for _ in 0..50 {
            ask(&organisation, false);
            ask(&other, true);
        }
        let mut reason = |organisation| refusal(&mut control, 200, terms(organisation, 2, LIMIT_MS), 0).map(|(reason, _)| reason);
        assert_eq!(reason(&other), Some(OverloadReason::Share));
        assert_eq!(reason(&organisation), Some(OverloadReason::Order));
    }

    // Guards against memory that grows with the number of organisations.
    thousands_of_organisations_are_counted_up_to_a_limit => {
        let service: Arc<str> = "s".into();
        let mut control = control(&service);
        for number in 0..20_000 {
            let organisation: Arc<str> = format!("o{number}").into();
            let terms = terms(&organisation, 2, LIMIT_MS);
            let decision = control.decide(&service, summary(0, 0), terms, 0, 0);
            assert_eq!(decision, OverloadDecision::Admit);
        }
        assert!(control.counted_organisations(&service) <= 2_048);
        let anyone: Arc<str> = "o1".into();
        control.decide(&service, summary(0, 0), terms(&anyone, 2, LIMIT_MS), 60_000, 0);
        assert_eq!(control.counted_organisations(&service), 1, "all others are forgotten");
    }
}
