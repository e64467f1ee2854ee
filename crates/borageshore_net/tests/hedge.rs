//! Hedged attempts at endpoints that are silent, slow or failing.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use borageshore_net::{hedged, run_event_loop, sleep_ms};

const HEDGE_AFTER_MS: Option<u64> = Some(20);
/// Longer than any test runs.
const SILENT_MS: u64 = 60_000;

/// Endpoints that count the attempts they receive, answer and lose to a closed connection.
#[derive(Debug, Clone, Default)]
struct Endpoints {
    received: Rc<Cell<u64>>,
    /// Attempts go on once this many were received, so that a pause of the machine does not end one before a hedge.
    awaited: u64,
    failed: Rc<Cell<u64>>,
    dropped: Rc<RefCell<Vec<&'static str>>>,
}

/// Notes that an attempt was dropped unless it has ended.
struct DropGuard {
    endpoints: Endpoints,
    name: &'static str,
    has_ended: bool,
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.endpoints.dropped.borrow_mut().push(self.name);
        }
    }
}

impl Endpoints {
    /// An attempt that ends after a time, with a score or a failure.
    async fn attempt(
        self,
        name: &'static str,
        takes_ms: u64,
        failure: Option<u64>,
    ) -> Result<&'static str, u64> {
        self.received.set(self.received.get() + 1);
        let mut guard = DropGuard {
            endpoints: self.clone(),
            name,
            has_ended: false,
        };
        while self.received.get() < self.awaited {
            sleep_ms(1).await;
        }
        sleep_ms(takes_ms).await;
        guard.has_ended = true;
        match failure {
            None => Ok(name),
            Some(failure) => {
                self.failed.set(self.failed.get() + 1);
                Err(failure)
            }
        }
    }
}

type Attempt = (u64, Option<u64>);

fn run(
    first: Attempt,
    after_ms: Option<u64>,
    second: Option<Attempt>,
) -> (Result<&'static str, u64>, Endpoints) {
    let is_hedged = second.is_some() && after_ms.is_some_and(|after_ms| first.0 > after_ms);
    let endpoints = Endpoints {
        awaited: if is_hedged { 2 } else { 1 },
        ..Endpoints::default()
    };
    let first = endpoints.clone().attempt("first", first.0, first.1);
    let start_second = || {
        let (takes_ms, failure) = second?;
        Some(endpoints.clone().attempt("second", takes_ms, failure))
    };
    let result = run_event_loop(hedged(first, after_ms, start_second));
    (result, endpoints)
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A call waits for a silent endpoint until its timeout.
    a_silent_endpoint_is_replaced_and_its_attempt_dropped => {
        let (result, endpoints) = run((SILENT_MS, None), HEDGE_AFTER_MS, Some((1, None)));
        assert_eq!(result, Ok("second"));
        assert_eq!(*endpoints.dropped.borrow(), ["first"]);
    }

    // The hedge delays a call whose first endpoint responds after all.
    a_slow_endpoint_may_still_win => {
        let (result, endpoints) = run((50, None), HEDGE_AFTER_MS, Some((SILENT_MS, None)));
        assert_eq!(result, Ok("first"));
        assert_eq!(*endpoints.dropped.borrow(), ["second"]);
    }

    // A failure of one endpoint hides the score of the other.
    a_failure_does_not_end_the_other_attempt => {
        let (result, endpoints) = run((40, Some(5)), HEDGE_AFTER_MS, Some((60, None)));
        assert_eq!((result, endpoints.failed.get()), (Ok("second"), 1));
        let (result, endpoints) = run((2_000, None), HEDGE_AFTER_MS, Some((1, Some(5))));
        assert_eq!((result, endpoints.failed.get()), (Ok("first"), 1));
    }

    // A failed call goes on forever, or one of its two failures is not counted.
    both_attempts_fail => {
        let (result, endpoints) = run((40, Some(5)), HEDGE_AFTER_MS, Some((60, Some(1))));
        assert_eq!((result, endpoints.failed.get()), (Err(5), 2));
        assert!(endpoints.dropped.borrow().is_empty());
    }

    // A call that ends in time, or fails at once, is sent twice.
    quick_attempts_are_not_hedged => {
        for first in [(1, None), (1, Some(5))] {
            let (_, endpoints) = run(first, HEDGE_AFTER_MS, Some((1, None)));
            assert_eq!(endpoints.received.get(), 1);
        }
    }

    // A call without a second endpoint, or without an estimate of its time, is lost.
    an_attempt_without_a_hedge_runs_to_its_end => {
        assert_eq!(run((40, None), HEDGE_AFTER_MS, None).0, Ok("first"));
        assert_eq!(run((40, None), None, Some((1, None))).0, Ok("first"));
    }
}
