//! How far a view of a partition reaches.

use borageshore_batch::ViewPosition;

// A trainer reads 115 results of its step; a second later another daemon tells it that there are 103.
// That daemon had been without the store for seven seconds and confirmed its view by a read; the
// read brought a page of a megabyte, the first of several.
#[test]
fn a_page_that_does_not_reach_the_end_confirms_nothing() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    assert!(position.is_current_within(500, 1_400));
    assert!(!position.on_page(140, 250, 8_000));
    assert!(!position.is_current_within(500, 8_000));
    assert!(position.on_page(250, 250, 8_050));
    assert!(position.is_current_within(500, 8_050));
    assert!(!position.is_current_within(500, 8_551));
}

#[test]
fn a_read_that_was_overtaken_moves_nothing_back() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    position.on_page(140, 140, 1_100);
    position.on_page(120, 120, 1_110);
    assert_eq!(position.next_offset(), Some(140));
}

#[test]
fn after_a_gap_the_place_is_unknown() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    position.reset();
    assert_eq!(position.next_offset(), None);
}

// A trainer reads its step 20 ms after its acceptance and is told that there is no such submission.
// The daemon that it reads at had loaded the submission between its entry in the index and its records;
// its view was whole a moment before the records came.
#[test]
fn a_view_of_before_the_question_does_not_answer_it() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    assert!(position.is_current_within(500, 1_020));
    assert!(!position.is_current_since(1_020));
    position.on_page(101, 101, 1_025);
    assert!(position.is_current_since(1_020));
}

// A key that was taken away is served by a VM that was suspended for a minute.
// The answer to its last question had come before and lay in a buffer; read late, it passed for new.
#[test]
fn the_age_of_a_view_counts_from_its_question() {
    let mut position = ViewPosition::default();
    assert_eq!(position.requested_at_ms(), None);
    position.on_response(1_000);
    position.on_response(900);
    assert_eq!(position.requested_at_ms(), Some(1_000));
    position.reset();
    assert_eq!(
        position.requested_at_ms(),
        Some(1_000),
        "what is known is as old as before"
    );
}
