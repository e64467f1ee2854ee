//! Reward calls under load: their order, their share of the slots, and when one takes too long.

use borageshore_batch::{RewardLatencies, RewardQueue, RewardRank, reward_slot_limit};

const RANK: RewardRank = RewardRank {
    is_generating: false,
    step_seen_at_ms: 0,
    priority: 0,
    unscored_in_group: 1,
};
const CALL_MS: u64 = 200;

/// A call of a group of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Call {
    step: usize,
    group: usize,
}

/// When each step is complete if the calls start in the order of their ranks, or of their arrival.
///
/// Three steps of 14 groups of 8 items end at once, before 60 slots; the trainers wait for 13 groups. Their calls arrive
/// mixed, and the step that was seen last comes first.
fn completed_at_ms(is_ranked: bool) -> [u64; 3] {
    const SLOTS: usize = 60;
    const TARGET_GROUPS: usize = 13;
    let mut queue = RewardQueue::default();
    let mut unscored = [[8; 14]; 3];
    for _ in 0..8 {
        for group in 0..14 {
            for step in [2, 1, 0] {
                queue.push(Call { step, group }, 0);
            }
        }
    }
    let mut completed_at_ms = [0; 3];
    for round in 1..=10 {
        let now_ms = (round - 1) * CALL_MS;
        let rank = |call: &Call| RewardRank {
            step_seen_at_ms: if is_ranked { call.step as u64 } else { 0 },
            unscored_in_group: if is_ranked {
                unscored[call.step][call.group]
            } else {
                0
            },
            ..RANK
        };
        let started: Vec<Call> = (0..SLOTS).filter_map(|_| queue.pop(now_ms, rank)).collect();
        for call in started {
            unscored[call.step][call.group] -= 1;
        }
        for (step, groups) in unscored.iter().enumerate() {
            let complete = groups.iter().filter(|left| **left == 0).count();
            if complete >= TARGET_GROUPS && completed_at_ms[step] == 0 {
                completed_at_ms[step] = round * CALL_MS;
            }
        }
    }
    completed_at_ms
}

fn filled(latencies_ms: &[u64]) -> RewardLatencies {
    let mut latencies = RewardLatencies::default();
    for latency_ms in latencies_ms {
        latencies.record(*latency_ms);
    }
    latencies
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // All steps are complete only when the last one is, since their calls alternate.
    steps_that_end_together_complete_one_after_the_other => {
        assert_eq!(completed_at_ms(false), [1_200, 1_200, 1_200], "in the order of arrival");
        assert_eq!(completed_at_ms(true), [400, 800, 1_200]);
    }

    // Scores of groups whose texts are still generated delay the one that completes a group.
    calls_that_complete_a_group_start_first => {
        let ranks = [
            RewardRank { is_generating: true, unscored_in_group: 2, ..RANK },
            RewardRank { step_seen_at_ms: 9, ..RANK },
            RewardRank { unscored_in_group: 8, ..RANK },
            RewardRank { priority: 3, ..RANK },
            RANK,
            RANK,
        ];
        let mut queue = RewardQueue::default();
        for call in 0..ranks.len() {
            queue.push(call, 0);
        }
        let order: Vec<usize> =
            std::iter::from_fn(|| queue.pop(0, |call| ranks[*call])).collect();
        assert_eq!(order, [4, 5, 2, 3, 1, 0]);
    }

    // A call is never scored while others of smaller rank keep arriving.
    no_call_waits_forever => {
        let mut queue = RewardQueue::default();
        queue.push(0, 0);
        let rank = |call: &u64| RewardRank { is_generating: *call == 0, ..RANK };
        let started_at_ms = (1..1_000).find_map(|call| {
            let now_ms = call * 10;
            queue.push(call, now_ms);
            (queue.pop(now_ms, rank) == Some(0)).then_some(now_ms)
        });
        assert!((1_000..=1_040).contains(&started_at_ms.unwrap()), "{started_at_ms:?}");
    }

    // The order of ranks is lost once every call is old: aged calls would start in the order of arrival.
    ranks_decide_most_starts_of_aged_calls => {
        let mut queue = RewardQueue::default();
        for call in 0..400_u64 {
            queue.push(call, 0);
        }
        let rank = |call: &u64| RewardRank { step_seen_at_ms: 400 - call, ..RANK };
        let started = (0..100).filter_map(|_| queue.pop(60_000, rank));
        assert_eq!(started.filter(|call| *call >= 300).count(), 75);
    }

    // A slot goes to a call that nobody waits for any more.
    calls_of_a_cancelled_item_leave_the_queue => {
        let mut queue = RewardQueue::default();
        queue.push(1, 0);
        queue.push(2, 0);
        queue.retain(|call| *call != 1);
        assert_eq!((queue.len(), queue.pop(0, |_| RANK), queue.is_empty()), (1, Some(2), true));
    }

    // Callers find no slot beside reward calls, or trainers none beside callers.
    the_share_leaves_room_for_callers_and_trainers => {
        assert_eq!(reward_slot_limit(120, 0), 72);
        assert_eq!(reward_slot_limit(120, 30), 72);
        assert_eq!(reward_slot_limit(120, 60), 42);
        assert_eq!(reward_slot_limit(120, 500), 12);
        assert_eq!(reward_slot_limit(6, 0), 3);
        assert_eq!(reward_slot_limit(1, 9), 1);
        assert_eq!(reward_slot_limit(0, 0), 1);
    }

    // Each of several daemons fills the share by itself, so that together they fill the service.
    daemons_share_the_slots => {
        const SLOTS: u64 = 120;
        const CALLERS: u64 = 20;
        let mut in_flight = [0_u64; 4];
        for round in 0..2_000 {
            let daemon = round % in_flight.len();
            let others = CALLERS + in_flight.iter().sum::<u64>() - in_flight[daemon];
            // A tenth of the calls ends between two turns of a daemon.
            in_flight[daemon] -= in_flight[daemon].div_ceil(10);
            in_flight[daemon] = in_flight[daemon].max(reward_slot_limit(SLOTS, others));
        }
        let all = CALLERS + in_flight.iter().sum::<u64>();
        assert!((96..=110).contains(&all), "{in_flight:?}");
    }

    // Hedges are sent at random before the usual latency is known, or for calls that are short anyway.
    hedges_need_an_estimate_and_a_floor => {
        assert_eq!(filled(&[200; 15]).too_long_ms(), None);
        assert_eq!(filled(&[200; 16]).too_long_ms(), Some(400));
        assert_eq!(filled(&[20; 16]).too_long_ms(), Some(100));
    }

    // Some slow endpoints raise the estimate so far that calls there are never hedged.
    slow_calls_do_not_raise_the_estimate => {
        let mixed = [200, 1_500, 200, 1_500, 200].repeat(20);
        assert_eq!(filled(&mixed).too_long_ms(), Some(400));
    }

    // Every call is hedged once the whole service has become slower.
    the_estimate_follows_the_service => {
        let mut latencies = filled(&[200; 300]);
        for _ in 0..100 {
            latencies.record(600);
        }
        assert_eq!(latencies.too_long_ms(), Some(1_200));
    }
}
