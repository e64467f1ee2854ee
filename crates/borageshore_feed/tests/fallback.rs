//! What a fleet asks the log for after a stop of all daemons.

use borageshore_feed::{
    FallbackBudget, FallbackLoad, FeedCandidate, FeedLimits, FeedTree, LoadState, Readers,
    SourceSelector, direct_readers, may_load,
};

const LIMITS: [FeedLimits; 4] = [
    FeedLimits {
        read_bytes_per_s: Some(80_000_000),
        reads_per_s: Some(16_000),
    },
    FeedLimits {
        read_bytes_per_s: Some(2_000_000),
        reads_per_s: Some(16_000),
    },
    FeedLimits {
        read_bytes_per_s: Some(80_000_000),
        reads_per_s: Some(300),
    },
    FeedLimits {
        read_bytes_per_s: Some(400_000_000),
        reads_per_s: None,
    },
];
const SIZES: [(usize, usize); 6] = [
    (60, 3),
    (300, 3),
    (985, 5),
    (2_000, 25),
    (5_000, 5),
    (20_000, 10),
];
const STATE_BYTES: u64 = 4_400;
const MEMBER_BYTES: u64 = 600;
const PAGE_BYTES: u64 = 1_000_000;

fn random_of(daemon: usize, read: u64) -> u64 {
    let mut value = (daemon as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ read;
    value ^= value >> 31;
    value = value.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value ^ (value >> 29)
}

/// Runs `next` of each daemon, which returns when it reads next, and counts the reads in each tenth of `end_ms`.
fn reads_by_tenth<Next>(daemons: usize, end_ms: u64, mut next: Next) -> [u64; 10]
where
    Next: FnMut(usize, u64, u64) -> u64,
{
    let mut tenths = [0; 10];
    for daemon in 0..daemons {
        let mut at_ms = next(daemon, 0, 0);
        let mut reads = 1;
        while at_ms < end_ms {
            tenths[(at_ms * 10 / end_ms) as usize] += 1;
            at_ms = next(daemon, reads, at_ms);
            reads += 1;
        }
    }
    tenths
}

/// Finds when a daemon that waits in vain is first allowed to read, to the nearest part of `end_ms`.
fn first_due<Due>(end_ms: u64, is_due: Due) -> u64
where
    Due: Fn(u64) -> bool,
{
    let (mut early, mut late) = (0, end_ms);
    while early < late {
        let middle = (early + late) / 2;
        match is_due(middle) {
            true => late = middle,
            false => early = middle + 1,
        }
    }
    late
}

/// Guards against an overload that keeps itself going after a stop of all: of daemons whose peers bring nothing, and whose
/// reads of the log all fail, so many ask it for the members at once that nobody gets them.
#[test]
fn members_are_asked_for_within_what_the_log_gives() {
    for limits in LIMITS {
        for (daemons, _) in SIZES {
            let budget = FallbackBudget { daemons, limits };
            let window_ms = budget.window_ms(FallbackLoad::Members);
            let end_ms = 4 * (window_ms + 10_000);
            let mut selectors: Vec<SourceSelector> =
                (0..daemons).map(|_| SourceSelector::open(0)).collect();
            let tenths = reads_by_tenth(daemons, end_ms, |daemon, reads, now_ms| {
                let selector = &mut selectors[daemon];
                if reads > 0 {
                    let random = random_of(daemon, reads);
                    selector.on_direct_failure(budget, FallbackLoad::Members, random, now_ms);
                }
                let seed = random_of(daemon, 0);
                first_due(end_ms, |at_ms| {
                    selector.reads_members_directly(budget, seed, at_ms)
                })
            });
            for reads in tenths {
                let bytes = reads * daemons as u64 * MEMBER_BYTES;
                check_share(limits, 40, reads, bytes, end_ms / 10, daemons);
            }
        }
    }
}

/// Checks that reads in `interval_ms` stay within a share of the limits, but for a few loads that fit in none.
fn check_share(
    limits: FeedLimits,
    percent: u64,
    reads: u64,
    bytes: u64,
    interval_ms: u64,
    daemons: usize,
) {
    let most = |per_s: u64| per_s * percent / 100 * interval_ms / 1_000;
    let one = bytes / reads.max(1);
    if let Some(per_s) = limits.read_bytes_per_s {
        let most = most(per_s) + 2 * one;
        assert!(
            bytes <= most,
            "{daemons} daemons, {limits:?}: {bytes} bytes in {interval_ms} ms, {most} are allowed"
        );
    }
    if let Some(per_s) = limits.reads_per_s {
        let pages = reads * (1 + one / PAGE_BYTES);
        let most = most(per_s) + 2 * (1 + one / PAGE_BYTES);
        assert!(
            pages <= most,
            "{daemons} daemons, {limits:?}: {pages} reads in {interval_ms} ms, {most} are allowed"
        );
    }
}

/// One daemon of each of some ranks of a zone, with the number of ranks that it stands for.
fn sampled_trees(daemons: usize, zones: usize, limits: FeedLimits) -> Vec<(FeedTree, u64)> {
    let all: Vec<FeedCandidate> = (0..daemons)
        .map(|number| FeedCandidate {
            name: format!("vm-{number}").into(),
            zone: format!("zone-{}", number % zones).into(),
            address: format!("10.0.0.{number}").into(),
            capacity_percent: 12,
            is_same_region: true,
            is_ready: true,
        })
        .collect();
    let step = (daemons / 40).max(1);
    let sample = all.iter().step_by(step);
    let tree = |own: &FeedCandidate| FeedTree::of(own, all.iter().cloned(), limits);
    sample.map(|own| (tree(own), step as u64)).collect()
}

/// Guards against the same once the members are known: daemons that their peers do not keep current load everything.
#[test]
fn the_state_is_asked_for_within_what_the_log_gives() {
    for limits in LIMITS {
        for (daemons, zones) in SIZES {
            let trees = sampled_trees(daemons, zones, limits);
            if trees.iter().all(|(tree, _)| tree.is_flat()) {
                continue;
            }
            let window_ms = trees[0].0.fallback_budget().window_ms(FallbackLoad::All);
            let end_ms = 4 * (window_ms + 10_000);
            let mut selectors: Vec<SourceSelector> =
                trees.iter().map(|_| SourceSelector::open(0)).collect();
            let tenths = reads_by_tenth(trees.len(), end_ms, |daemon, reads, now_ms| {
                let (selector, (tree, _)) = (&mut selectors[daemon], &trees[daemon]);
                if tree.is_root() {
                    return end_ms;
                }
                if reads > 0 {
                    let (budget, random) = (tree.fallback_budget(), random_of(daemon, reads));
                    selector.on_direct_failure(budget, FallbackLoad::All, random, now_ms);
                }
                first_due(end_ms, |at_ms| selector.reads_directly(tree, at_ms))
            });
            for reads in tenths {
                let reads = reads * trees[0].1;
                let bytes = reads * daemons as u64 * STATE_BYTES;
                check_share(limits, 40, reads, bytes, end_ms / 10, daemons);
            }
        }
    }
}

/// Guards against the same of readers: while all their reads fail, what they ask for falls below what the log gives, and
/// what all others may ask for fits beside it.
#[test]
fn readers_retry_within_what_the_log_gives() {
    for limits in LIMITS {
        for (daemons, zones) in SIZES {
            let readers = Readers {
                readers: direct_readers(daemons, zones, limits),
                daemons,
                partitions: 5,
                limits,
            };
            let page_bytes = PAGE_BYTES.min(daemons as u64 * STATE_BYTES);
            let end_ms = 10_000 + 400 * readers.retry_ms(150, true, 0, 0);
            let mut asked = Vec::new();
            for daemon in 0..readers.readers {
                // A topic that cannot be read holds the next one up until three reads of it have failed.
                let mut begins_ms = 0;
                for topic in 0..5 {
                    let mut at_ms = begins_ms;
                    for failures in 0.. {
                        if at_ms >= end_ms {
                            break;
                        }
                        asked.push(at_ms);
                        if LoadState::of(false, failures) != LoadState::Failing {
                            begins_ms = at_ms;
                        }
                        let random = random_of(daemon, u64::from(failures) * 8 + topic);
                        at_ms += readers.retry_ms(150, true, failures, random);
                    }
                }
            }
            let interval_ms = end_ms / 10;
            for tenth in 1..10 {
                let began_ms = tenth * interval_ms;
                let is_in = |at_ms: &&u64| (began_ms..began_ms + interval_ms).contains(*at_ms);
                let reads = asked.iter().filter(is_in).count() as u64;
                check_share(limits, 60, reads, reads * page_bytes, interval_ms, daemons);
            }
        }
    }
}

/// Guards against daemons that leave their sources while these load the state after a stop of all, as they did 1.5 s after
/// their start, and against waiting for one that has stopped to load.
#[test]
fn peers_that_load_are_waited_for() {
    let budget = FallbackBudget {
        daemons: 985,
        limits: LIMITS[0],
    };
    let mut selector = SourceSelector::open(0);
    for now_ms in (0..20_000).step_by(500) {
        assert!(selector.on_loading(now_ms - now_ms % 2_000, now_ms));
        assert!(!selector.reads_members_directly(budget, 0, now_ms));
        assert_eq!(selector.failures(), 0);
    }
    assert!(
        !selector.on_loading(18_000, 21_500),
        "it has stopped to load"
    );
    assert!(selector.reads_members_directly(budget, 0, 21_500));
    assert!(!selector.reads_members_directly(budget, 5_000, 21_500));
    assert!(selector.reads_members_directly(budget, 5_000, 26_500));
    selector.on_progress(27_000);
    assert!(!selector.reads_members_directly(budget, 0, 28_000));
}

/// Guards against a fleet that reads the store for as long as its peers load, if no progress is claimed from the future.
#[test]
fn progress_in_the_future_counts_from_now() {
    let mut selector = SourceSelector::open(0);
    assert!(selector.on_loading(u64::MAX, 1_000));
    let budget = FallbackBudget::default();
    assert!(selector.reads_members_directly(budget, 0, 4_000));
}

/// Guards against readers that load all topics at once, and against one that cannot be read and holds up all others.
#[test]
fn topics_are_loaded_one_after_the_other() {
    let state = LoadState::of;
    assert!(may_load([]));
    assert!(may_load([state(true, 0), state(true, 9)]));
    assert!(!may_load([state(true, 0), state(false, 0)]));
    assert!(!may_load([state(false, 2), state(true, 0)]));
    assert!(may_load([state(false, 3), state(true, 0)]));
}

/// Guards against readers of a large fleet that ask for pages faster than the log returns them all.
#[test]
fn pages_are_asked_for_within_what_the_log_gives() {
    for limits in LIMITS {
        for readers in [2, 27, 200, 1_000] {
            for page_bytes in [10_000, 220_000, PAGE_BYTES] {
                let interval_ms = limits.page_interval_ms(readers, page_bytes);
                let bytes_per_s = readers as u64 * page_bytes * 1_000 / interval_ms;
                assert!(bytes_per_s <= limits.read_bytes_per_s.unwrap());
            }
        }
    }
}
