//! The outcome of a request with several attempts, and whether it may be repeated.

use borageshore_routing::{AttemptEvent, Idempotent, Outcome, RequestAttempts};

fn attempts(events: &[Option<AttemptEvent>]) -> RequestAttempts {
    let mut attempts = RequestAttempts::default();
    for (place, event) in events.iter().enumerate() {
        let number = attempts.add_sent(format!("e{place}").into());
        if let Some(event) = event {
            attempts.on_event(number, *event);
        }
    }
    attempts
}

macro_rules! cases {
    ($($name:ident: $events:expr => $outcome:ident, $repeats:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let attempts = attempts(&$events);
                assert_eq!(attempts.outcome(), Outcome::$outcome);
                assert_eq!(attempts.may_try(Idempotent::No, 9), $repeats);
                assert!(attempts.may_try(Idempotent::Yes, 9));
                assert!(!attempts.may_try(Idempotent::Yes, attempts.tried().len() as u64));
            }
        )*
    };
}

cases! {
    nothing_was_tried: [] => NotRun, true;
    every_endpoint_refused: [Some(AttemptEvent::Refused), Some(AttemptEvent::Refused)] => NotRun, true;
    one_was_lost: [Some(AttemptEvent::Refused), Some(AttemptEvent::Lost)] => Unknown, false;
    an_endpoint_answered: [Some(AttemptEvent::Answered)] => Done, false;
    // Guards against reporting "not run" while an attempt is unfinished at the caller's deadline: a call that
    // must run at most once would be repeated.
    one_is_still_under_way: [Some(AttemptEvent::Refused), None] => Unknown, false;
}
