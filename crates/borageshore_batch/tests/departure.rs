//! Items on engines that say when they leave, or whose zone is evacuated.

use borageshore_batch::{Departure, gets_free_slot, on_departure, on_evacuation};

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $remaining_ms:expr, leaves in $leaves_in_ms:expr => $expected:ident;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                assert_eq!(on_departure($remaining_ms, $leaves_in_ms), Departure::$expected);
            }
        )*
    };
}

cases! {
    a_text_that_ends_before_stays: Some(900), leaves in 2_000 => Stay;
    a_text_that_ends_just_before_stays: Some(100), leaves in 200 => Stay;
    a_longer_text_moves: Some(3_000), leaves in 2_000 => MoveIfFree;
    a_text_of_unknown_length_moves: None, leaves in 2_000 => MoveIfFree;
    /// Guards against being cut, after which a text waits for the loss to be noticed.
    a_longer_text_stops_shortly_before: Some(3_000), leaves in 200 => Release;
    an_engine_past_its_time_is_released: Some(0), leaves in 0 => Release;
}

/// Guards against short remainders taking the few free slots when a zone of engines leaves: 12 engines with 6 items
/// each, 20 slots elsewhere of which one becomes free every 50 ms.
#[test]
fn the_longest_remainders_move_first() {
    let mut items: Vec<u64> = (0..72).map(|item| 300 + (item * 37 % 72) * 90).collect();
    let (mut free_slots, mut moved, mut now_ms) = (20, Vec::new(), 0);
    let leaves_at_ms = 2_000;
    while now_ms < leaves_at_ms {
        for place in (0..items.len()).rev() {
            let remaining_ms = items[place].saturating_sub(now_ms);
            let wants = on_departure(Some(remaining_ms), leaves_at_ms - now_ms);
            let others = items.iter().map(|item| item.saturating_sub(now_ms));
            if wants == Departure::MoveIfFree && gets_free_slot(remaining_ms, others, free_slots) {
                moved.push(items.remove(place));
                free_slots -= 1;
            }
        }
        free_slots += 1;
        now_ms += 50;
    }
    assert!(
        moved.iter().all(|moved| *moved > leaves_at_ms),
        "others end in time"
    );
    let left = items.iter().max().unwrap();
    assert!(
        moved.iter().all(|moved| moved >= left),
        "{moved:?}, left {items:?}"
    );
}

/// Guards against texts that are generated twice for a few events, and against stops that only lose a slot.
#[test]
fn only_long_texts_move_off_an_evacuated_engine() {
    assert_eq!(on_evacuation(Some(2_000)), Departure::Stay);
    assert_eq!(on_evacuation(Some(2_001)), Departure::MoveIfFree);
    assert_eq!(on_evacuation(None), Departure::MoveIfFree);
}
