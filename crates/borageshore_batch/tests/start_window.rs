//! How many items of a submission are started.

use borageshore_batch::{StartWindow, StartedItems};

const PLENTY: u64 = 1_000_000;

fn window(slots: u64, started_by_all: u64, most_started: u64) -> StartWindow {
    StartWindow {
        slots,
        started_by_all,
        most_started,
    }
}

fn waiting(waiting: u64) -> StartedItems {
    StartedItems {
        waiting,
        ..StartedItems::default()
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a task for each item of a submission, however few slots there are.
    the_slots_bound_the_items_that_wait => {
        let few = window(8, 0, PLENTY).free(waiting(0));
        let many = window(1_000, 0, PLENTY).free(waiting(0));
        assert!((8..=100).contains(&few) && many >= 1_000, "{few} {many}");
        assert_eq!(window(8, 0, PLENTY).free(waiting(few)), 0);
    }

    // Guards against slots that stay free because the items at engines count as waiting.
    an_item_at_an_engine_makes_room_for_the_next => {
        let full = window(8, 0, PLENTY).free(waiting(0));
        let started = StartedItems { waiting: full - 1, placed: 1, generated: 0 };
        assert_eq!(window(8, full, PLENTY).free(started), 1);
    }

    // Guards against finished texts that pile up while no score is to be had.
    texts_without_scores_hold_up_the_start_of_others => {
        let most = window(8, 0, PLENTY).free(waiting(0));
        let started = StartedItems { waiting: 0, placed: 0, generated: most };
        assert_eq!(window(8, most, PLENTY).free(started), 0);
    }

    // Guards against many submissions that each keep to their slots and together exceed the memory.
    the_memory_bounds_the_items_of_all_submissions => {
        assert_eq!(window(1_000, 500, 520).free(waiting(100)), 20);
        assert_eq!(window(1_000, 520, 520).free(waiting(100)), 0);
    }

    // Guards against a submission that waits for ever because others, whose items no engine can run, have all the room.
    each_submission_has_some_items_started => {
        let free = window(1_000, 520, 520).free(waiting(0));
        assert!((1..=32).contains(&free), "{free}");
    }
}
