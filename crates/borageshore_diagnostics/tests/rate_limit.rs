//! The rate limit on log lines.

use borageshore_diagnostics::{LineDecision, LogRateLimiter};

fn written(limiter: &mut LogRateLimiter, now_ms: u64, count: usize, is_fault: bool) -> usize {
    (0..count)
        .filter(|_| limiter.on_line(now_ms, is_fault) != LineDecision::Drop)
        .count()
}

// Guards against a flood of log lines when many requests fail; the next written line has the number of dropped ones.
#[test]
fn a_flood_is_cut_and_counted() {
    let mut limiter = LogRateLimiter::default();
    let first = written(&mut limiter, 0, 5_000, false);
    assert_eq!(first, 540);
    let LineDecision::Write { dropped_before } = limiter.on_line(1_000, false) else {
        panic!("a second later there is room again");
    };
    assert_eq!(dropped_before, 5_000 - 540);
    let per_second = written(&mut limiter, 1_000, 5_000, false);
    assert!((150..=200).contains(&per_second), "{per_second}");
}

#[test]
fn faults_are_written_when_the_rest_is_cut() {
    let mut limiter = LogRateLimiter::default();
    written(&mut limiter, 0, 5_000, false);
    assert_eq!(written(&mut limiter, 0, 10, true), 10);
}
