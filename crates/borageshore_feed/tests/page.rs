//! What a peer passes on is checked before any of it is used.

use borageshore_feed::{InvalidPage, check_offsets, current_at_ms};

/// Guards against a damaged or foreign page that moves a reader to an offset which its log does not have.
#[test]
fn offsets_ascend_within_the_page() {
    assert_eq!(check_offsets(10, [10, 12, 19], 20), Ok(20));
    assert_eq!(check_offsets(10, [], 10), Ok(10));
    for (offsets, next_offset) in [
        (vec![9], 20),
        (vec![12, 12], 20),
        (vec![13, 12], 20),
        (vec![20], 20),
        (vec![-1], 20),
        (vec![], 9),
        (vec![], -1),
        (vec![i64::MIN], i64::MAX),
    ] {
        let checked = check_offsets(10, offsets.clone(), next_offset);
        assert_eq!(
            checked,
            Err(InvalidPage::Offsets),
            "{offsets:?} to {next_offset}"
        );
    }
}

/// Guards against a key that is accepted after it was taken away: a view at the end of a chain counts as old as it is,
/// also if a daemon of the chain, or this one, was suspended while the answer was on its way.
#[test]
fn an_age_adds_up_along_a_chain() {
    // The first daemon asked the store at 1,000 and answers at 1,400; the second asked it at 1,100 by its own clock.
    let first = current_at_ms(51_100, 300, 400).unwrap().unwrap();
    assert_eq!(first, 51_000);
    // The second is suspended for a minute before it answers the third.
    let age_ms = 51_400 + 60_000 - first;
    let second = current_at_ms(7_000, 60_000, age_ms as i64).unwrap();
    assert_eq!(second, Some(7_000 + 60_000 - 60_400));
}

/// Guards against a view that counts as newer than it can be.
#[test]
fn an_impossible_age_is_refused() {
    assert_eq!(current_at_ms(1_000, 0, -1), Err(InvalidPage::Age));
    assert_eq!(current_at_ms(1_000, -1, 0), Err(InvalidPage::Age));
    assert_eq!(current_at_ms(1_000, 0, 1_001), Ok(None));
    assert_eq!(current_at_ms(u64::MAX, i64::MAX, 0), Err(InvalidPage::Age));
}
