//! Items whose engines are lost one after the other.

use std::sync::Arc;

use borageshore_batch::LossBackoff;

/// An item may be without an engine for this long while there is room.
const OWED_MS: u64 = 5_000;

fn engine(number: u64) -> Arc<str> {
    format!("engine-{number}").into()
}

/// The pauses after a number of losses of attempts that take `attempt_ms` each.
fn pauses_ms(losses: u64, attempt_ms: u64) -> Vec<u64> {
    let mut backoff = LossBackoff::default();
    let engines = (0..losses).map(engine);
    engines
        .map(|engine| backoff.on_lost(&engine, attempt_ms))
        .collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Items wait although other engines have room when two engines are lost at once.
    the_first_losses_cost_no_time => {
        assert_eq!(pauses_ms(2, 0), [0, 0]);
    }

    // Engines that are all down get the same item in a tight loop.
    further_losses_are_paced_longer_and_longer => {
        assert_eq!(pauses_ms(7, 0)[2..], [250, 500, 1_000, 2_000, 2_000]);
    }

    // An item that met many crashes is never placed again.
    no_number_of_losses_holds_an_item => {
        assert!(pauses_ms(10_000, 0).iter().all(|pause_ms| *pause_ms * 2 < OWED_MS));
    }

    // An item waits once more after an engine that was silent until its timeout.
    the_time_of_an_attempt_counts => {
        assert_eq!(pauses_ms(6, 900)[2..], [0, 0, 100, 1_100]);
    }

    // A long text is slowed down for losses that lie far apart.
    a_text_that_grew_is_not_paced => {
        let mut backoff = LossBackoff::default();
        for number in 0..5 {
            backoff.on_lost(&engine(number), 0);
        }
        backoff.on_progress();
        assert_eq!(backoff.on_lost(&engine(5), 0), 0);
        assert_eq!(backoff.lost_engines(), [engine(5)]);
    }

    // An item waits for seconds after the loss of a zone, whose dead engines look free, although others have room.
    engines_that_are_not_reached_cost_little_time => {
        let mut backoff = LossBackoff::default();
        let pause_ms: u64 = (0..20).map(|number| backoff.on_unreached(&engine(number))).sum();
        assert!(pause_ms < 1_000, "{pause_ms}");
        assert!(backoff.on_unreached(&engine(0)) > 0);
        assert_eq!(backoff.lost_engines().len(), 20);
        assert_eq!(backoff.on_lost(&engine(20), 0), 0);
    }

    // An item returns to an engine that is down while others have room.
    all_engines_that_were_lost_in_a_row_are_avoided => {
        let mut backoff = LossBackoff::default();
        for number in [0, 1, 0, 2] {
            backoff.on_lost(&engine(number), 0);
        }
        assert_eq!(backoff.lost_engines(), [engine(0), engine(1), engine(2)]);
        for number in 3..1_000 {
            backoff.on_lost(&engine(number), 0);
        }
        assert_eq!(backoff.lost_engines().len(), 32);
    }
}
