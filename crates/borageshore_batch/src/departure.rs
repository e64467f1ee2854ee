//! Running items on engines that say when they leave, or whose zone is evacuated.
//!
//! The load: all engines of a zone get notice at once, and there are fewer free slots elsewhere than items on them. A
//! leaving engine takes no new items, so a slot that is left early there is lost.

/// An item gives up its place this long before its engine leaves: a few events, so that every item notices in time.
const RELEASE_BEFORE_MS: u64 = 300;

/// On an evacuated engine, a text ends if its rest is expected to take at most this long.
const EVACUATION_REST_MS: u64 = 2_000;

/// What an item on a leaving or evacuated engine does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It goes on: its text is expected to end in time.
    Stay,
    /// It moves as soon as another engine has a slot that no longer text needs.
    MoveIfFree,
    /// It stops and waits for a slot like an interrupted item, which is better than being cut.
    Release,
}

/// Decides what an item does whose engine leaves in `leaves_in_ms`; `remaining_ms` is the expected time for the rest of
/// its text, if known.
pub fn on_departure(remaining_ms: Option<u64>, leaves_in_ms: u64) -> Departure {
    if remaining_ms.is_some_and(|remaining_ms| remaining_ms < leaves_in_ms) {
        Departure::Stay
    } else if leaves_in_ms > RELEASE_BEFORE_MS {
        Departure::MoveIfFree
    } else {
        Departure::Release
    }
}

/// Decides what an item does whose engine is in an evacuated zone. It is never stopped without a slot elsewhere: the engine
/// goes on, and its slots serve nobody else.
pub fn on_evacuation(remaining_ms: Option<u64>) -> Departure {
    match remaining_ms {
        Some(remaining_ms) if remaining_ms <= EVACUATION_REST_MS => Departure::Stay,
        _ => Departure::MoveIfFree,
    }
}

/// Whether one of `free_slots` falls to an item when all that have to move share them, the longest remainder first;
/// `other_remaining_ms` are the expected times of the others.
pub fn gets_free_slot<Remaining>(
    remaining_ms: u64,
    other_remaining_ms: Remaining,
    free_slots: u64,
) -> bool
where
    Remaining: Iterator<Item = u64>,
{
    let longer = other_remaining_ms.filter(|other_ms| *other_ms > remaining_ms);
    (longer.count() as u64) < free_slots
}
