//! When a replayed view of a partition is current.

use borageshore_batch::ViewPosition;

// Guards against a daemon that takes the first page after an outage of the store for all missed records, and returns
// fewer results than another daemon did.
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
fn an_overtaken_read_does_not_move_the_position_back() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    position.on_page(140, 140, 1_100);
    position.on_page(120, 120, 1_110);
    assert_eq!(position.next_offset(), Some(140));
}

#[test]
fn after_a_reset_the_position_is_unknown() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    position.reset();
    assert_eq!(position.next_offset(), None);
}

// Guards against reporting a submission as missing from a view that was current only before the request, when the
// submission's records were not yet written.
#[test]
fn a_view_from_before_the_request_does_not_answer_it() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    assert!(position.is_current_within(500, 1_020));
    assert!(!position.is_current_since(1_020));
    position.on_page(101, 101, 1_025);
    assert!(position.is_current_since(1_020));
}

// Guards against a VM that accepts a revoked key after a suspension: a response buffered before the suspension must
// not count as new.
#[test]
fn the_age_of_a_view_counts_from_its_request() {
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

// Guards against results that a daemon never shows: a read from before a gap in the records moved the view to its end,
// and the records up to the end that the view was loaded at were skipped.
#[test]
fn a_read_from_before_a_reset_does_not_set_the_position() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    position.reset();
    assert!(!position.on_page(140, 140, 1_100));
    assert_eq!(position.next_offset(), None);
}

// Guards against an answer from a view that has lost its records.
#[test]
fn a_view_that_was_reset_is_not_current() {
    let mut position = ViewPosition::default();
    position.on_snapshot(100, 1_000);
    position.reset();
    assert!(!position.is_current_within(500, 1_100));
    assert!(!position.is_current_since(1_000));
    position.on_snapshot(140, 1_200);
    assert!(position.is_current_within(500, 1_300));
}
