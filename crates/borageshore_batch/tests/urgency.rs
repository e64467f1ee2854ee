//! The start order of items across submissions.

use borageshore_batch::{
    Backlog, FinishedText, GenerationTimes, Item, PackedItem, ServiceLoad, StartOrder, Submission,
    Urgency, UrgencyRequest, mean_hint_tokens, rank_items,
};

const DUE_MS: u64 = 7_500;

fn submission(hints: &[Option<u64>]) -> Submission {
    let item = |(index, hint): (usize, &Option<u64>)| Item {
        id: index.to_string().into(),
        group: "g".into(),
        path: "/p/".into(),
        headers: Vec::new(),
        body_base64: "".into(),
        length_hint_tokens: *hint,
        reward: None,
    };
    Submission {
        id: "s1".into(),
        organisation: None,
        host: "h".into(),
        path: "/p/".into(),
        model: None,
        min_version: 0,
        target_groups: None,
        items: hints
            .iter()
            .enumerate()
            .map(item)
            .map(|item| PackedItem::pack(&item))
            .collect(),
    }
}

/// An item from its arrival, its expected time, both in ms, and its priority.
fn request((arrived_at_ms, remaining_ms, priority): (u64, u64, u64)) -> UrgencyRequest {
    UrgencyRequest {
        arrived_at_ms,
        rank: rank_items(&submission(&[None]))[0],
        result_due_ms: DUE_MS,
        remaining_ms,
        priority,
    }
}

fn item(values: (u64, u64, u64)) -> StartOrder {
    StartOrder::Urgent(Urgency::new(request(values)))
}

/// The indices of items in their start order at a time.
fn order(items: &[(u64, u64, u64)], now_ms: u64) -> Vec<usize> {
    let mut places: Vec<usize> = (0..items.len()).collect();
    places.sort_by_key(|place| item(items[*place]).position(now_ms, ServiceLoad::Normal));
    places
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $items:expr, at $now_ms:expr => $expected:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                assert_eq!(order(&$items, $now_ms), $expected);
            }
        )*
    };
}

cases! {
    /// Guards against short texts of an earlier step ahead of long ones of a later step.
    least_slack_first: [(0, 300, 0), (50, 6_900, 0), (50, 2_500, 0)], at 100 => [1, 2, 0];
    equal_slack_keeps_the_older_step_first: [(10, 110, 0), (0, 100, 0)], at 20 => [1, 0];
    /// Guards against a step that can't be complete in time delaying those that can.
    late_items_wait_for_those_in_time: [(0, 6_000, 0), (3_000, 100, 0)], at 4_600 => [1, 0];
    late_items_go_by_priority_then_step: [(20, 200, 2), (10, 200, 2), (30, 200, 0)], at 7_500 => [2, 1, 0];
    /// Guards against starvation: under lasting overload there is always an item that is still in time.
    late_items_age: [(0, 6_000, 2), (5_000, 6_900, 0)], at 5_500 => [0, 1];
    aged_items_go_by_their_age: [(0, 4_000, 0), (0, 6_000, 2)], at 9_000 => [1, 0];
    /// Guards against a hint far above the possible length making an item late on arrival.
    a_hint_alone_makes_no_item_late: [(0, 7_000, 0), (0, 40_000, 0)], at 100 => [1, 0];
}

#[test]
fn items_without_an_urgency_keep_their_rank() {
    let ranks = rank_items(&submission(&[Some(5), Some(90), None]));
    let ranked = |at: u64, index: usize| {
        StartOrder::Ranked(at, ranks[index]).position(1_000_000, ServiceLoad::Normal)
    };
    assert!(ranked(1, 0) < ranked(2, 1));
    assert!(ranked(1, 1) < ranked(1, 0));
    assert!(ranked(1, 0) < ranked(1, 2));
    // A service may come under contention while items wait.
    let late = item((0, 100, 0)).position(1_000_000, ServiceLoad::Normal);
    assert!(late < ranked(1, 0));
}

#[test]
fn a_service_is_overloaded_if_its_slots_cannot_serve_all_in_time() {
    let mut backlog = Backlog::default();
    assert_eq!(backlog.service_load(1, 0), ServiceLoad::Normal);
    backlog.add(&item((0, 5_000, 0)));
    backlog.add(&item((100, 10_000, 0)));
    assert_eq!(backlog.service_load(2, 100), ServiceLoad::Normal);
    assert_eq!(backlog.service_load(2, 1_400), ServiceLoad::Overloaded);
    assert_eq!(backlog.service_load(1, 100), ServiceLoad::Overloaded);
    assert_eq!(backlog.service_load(0, 100), ServiceLoad::Overloaded);
}

/// Guards against an overload in which a part of each step starts, and against starvation in it.
#[test]
fn whole_steps_start_in_an_overload() {
    let position = |values, now_ms| item(values).position(now_ms, ServiceLoad::Overloaded);
    assert!(position((0, 300, 1), 100) < position((50, 6_900, 1), 100));
    assert!(position((50, 300, 0), 100) < position((0, 6_900, 1), 100));
    let overdue_at_ms = 2 * DUE_MS;
    assert!(position((0, 300, 1), overdue_at_ms) < position((50, 300, 0), overdue_at_ms));
}

fn times(texts: &[(Option<u64>, u64)]) -> GenerationTimes {
    let mut times = GenerationTimes::default();
    for (hint_tokens, events) in texts {
        times.record(FinishedText {
            hint_tokens: *hint_tokens,
            events: *events,
            generation_ms: events * 50,
        });
    }
    times
}

#[test]
fn times_are_learned_from_inaccurate_hints() {
    // Events of 90 tokens; hints of a half, the whole and twice the length.
    let times = times(&[
        (Some(450), 10),
        (Some(900), 10),
        (Some(1_800), 10),
        (Some(1), 1),
    ]);
    let near = |ms: Option<u64>, expected_ms: u64| ms.unwrap().abs_diff(expected_ms) <= 20;
    assert!(near(times.remaining_ms(Some(9_000), 0), 5_000));
    assert!(near(times.remaining_ms(Some(9_000), 60), 2_000), "the rest");
    // Guards against a text that outgrew its hint counting as finished.
    assert!(near(times.remaining_ms(Some(900), 80), 1_000));
}

#[test]
fn texts_without_hints_take_the_mean_time() {
    assert_eq!(times(&[]).remaining_ms(Some(100), 0), None);
    let times = times(&[(None, 10), (None, 10)]);
    assert_eq!(times.remaining_ms(None, 0), Some(500));
    assert_eq!(times.remaining_ms(Some(100), 4), Some(300));
    let step = submission(&[Some(10), None, Some(30)]);
    assert_eq!(mean_hint_tokens(&step), Some(20));
    assert_eq!(mean_hint_tokens(&submission(&[None])), None);
}

/// Four trainers with 440 items for 270 slots: two have long texts, which take most of the time in which results are
/// due, two have short ones.
mod load {
    use std::{cmp::Reverse, collections::BinaryHeap};

    use rand_core::{Rng, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    use super::*;

    const SLOTS: usize = 270;
    const ROUNDS: u64 = 12;
    const ROUND_MS: u64 = 4_000;
    /// The items of a step, how many of 100 are long, and the time of a long one.
    const TRAINERS: [(u64, u64, u64); 4] = [
        (112, 30, 2_500),
        (120, 30, 2_500),
        (96, 15, 6_900),
        (112, 15, 6_900),
    ];
    const SHORT_MS: u64 = 1_500;

    #[derive(Debug)]
    struct Text {
        step: usize,
        arrived_at_ms: u64,
        ms: u64,
        order: StartOrder,
    }

    fn texts(by_urgency: bool, load_percent: u64) -> Vec<Text> {
        let mut random = Pcg64Mcg::seed_from_u64(3);
        let mut below = |bound: u64| random.next_u64() % bound;
        let mut texts = Vec::new();
        for step in 0..ROUNDS as usize * TRAINERS.len() {
            let (items, long_percent, long_ms) = TRAINERS[step % TRAINERS.len()];
            let (round, trainer) = (step / TRAINERS.len(), (step % TRAINERS.len()) as u64);
            let arrived_at_ms = round as u64 * ROUND_MS + trainer * 30;
            for _ in 0..items * load_percent / 100 {
                let is_long = below(100) < long_percent;
                let ms = if is_long {
                    long_ms - below(long_ms / 20)
                } else {
                    50 + below(SHORT_MS)
                };
                let hint_ms = ms * (50 + below(150)) / 100;
                let rank = rank_items(&submission(&[Some(hint_ms)]))[0];
                let order = StartOrder::Urgent(Urgency::new(UrgencyRequest {
                    rank,
                    ..request((arrived_at_ms, hint_ms, trainer))
                }));
                let ranked = StartOrder::Ranked(arrived_at_ms, rank);
                let order = if by_urgency { order } else { ranked };
                texts.push(Text {
                    step,
                    arrived_at_ms,
                    ms,
                    order,
                });
            }
        }
        texts
    }

    /// The steps of each trainer that are complete in time, and the longest wait in ms.
    fn play(by_urgency: bool, load_percent: u64) -> (Vec<u64>, u64) {
        let texts = texts(by_urgency, load_percent);
        let mut free_at: BinaryHeap<Reverse<u64>> = (0..SLOTS).map(|_| Reverse(0)).collect();
        let mut arriving = texts.iter().peekable();
        let mut waiting: Vec<&Text> = Vec::new();
        let mut took = vec![0; ROUNDS as usize * TRAINERS.len()];
        let (mut longest_wait_ms, mut now_ms) = (0, 0);
        while arriving.peek().is_some() || !waiting.is_empty() {
            now_ms = now_ms.max(free_at.pop().unwrap().0);
            if waiting.is_empty() {
                now_ms = now_ms.max(arriving.peek().unwrap().arrived_at_ms);
            }
            while let Some(text) = arriving.next_if(|text| text.arrived_at_ms <= now_ms) {
                waiting.push(text);
            }
            let mut backlog = Backlog::default();
            waiting.iter().for_each(|text| backlog.add(&text.order));
            let load = backlog.service_load(SLOTS as u64, now_ms);
            let position = |place: &usize| waiting[*place].order.position(now_ms, load);
            let next = (0..waiting.len()).min_by_key(position).unwrap();
            let text = waiting.swap_remove(next);
            let wait_ms = now_ms - text.arrived_at_ms;
            longest_wait_ms = longest_wait_ms.max(wait_ms);
            took[text.step] = took[text.step].max(wait_ms + text.ms);
            free_at.push(Reverse(now_ms + text.ms));
        }
        let in_time = |trainer: usize| {
            let of_trainer = took.iter().skip(trainer).step_by(TRAINERS.len());
            of_trainer.filter(|took| **took <= DUE_MS).count() as u64
        };
        ((0..TRAINERS.len()).map(in_time).collect(), longest_wait_ms)
    }

    // Guards against long texts that wait for short ones of a step that came a moment earlier.
    #[test]
    fn all_steps_are_in_time_unlike_in_the_order_of_arrival() {
        let ((arrival, _), (urgency, _)) = (play(false, 100), play(true, 100));
        assert_eq!(urgency, [ROUNDS; 4]);
        assert!(
            arrival[2..].iter().any(|steps| *steps < ROUNDS / 2),
            "{arrival:?}"
        );
    }

    // Guards against trainers with long texts losing all their steps when a third or a half more is asked.
    #[test]
    fn most_steps_are_in_time_under_more_load() {
        for load_percent in [130, 150] {
            let ((arrival, _), (urgency, _)) =
                (play(false, load_percent), play(true, load_percent));
            assert!(
                urgency.iter().sum::<u64>() > arrival.iter().sum(),
                "{urgency:?} {arrival:?}"
            );
            assert!(
                urgency.iter().all(|steps| *steps > ROUNDS / 2),
                "{urgency:?}"
            );
        }
    }

    // Guards against an overload in which least slack first completes fewer steps than the order of arrival.
    #[test]
    fn more_steps_are_in_time_than_in_the_order_of_arrival_under_lasting_overload() {
        for load_percent in [200, 225] {
            let ((arrival, _), (urgency, _)) =
                (play(false, load_percent), play(true, load_percent));
            assert!(
                urgency.iter().sum::<u64>() > arrival.iter().sum(),
                "{urgency:?} {arrival:?}"
            );
        }
    }

    // Guards against starvation under lasting overload, when there are always items that are still in time.
    #[test]
    fn waits_are_bounded_when_no_step_can_be_in_time() {
        let ((_, arrival_ms), (_, urgency_ms)) = (play(false, 200), play(true, 200));
        assert!(
            urgency_ms < arrival_ms + DUE_MS,
            "{urgency_ms} {arrival_ms}"
        );
    }
}
