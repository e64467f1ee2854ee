//! The memory of accepted work.

use borageshore_batch::{HeldKind, WorkLimits, WorkMemory};

const LIMITS: WorkLimits = WorkLimits {
    total_bytes: 1_000,
    sends_bytes: 200,
    acceptance_bytes: 50,
    with_results_bytes: 1_500,
};

fn memory() -> WorkMemory {
    WorkMemory::within(LIMITS)
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against kinds of memory that are each bounded and together exceed the process's.
    all_kinds_share_one_limit => {
        let memory = memory();
        let records = memory.try_hold(HeldKind::Records, 600).unwrap();
        assert!(memory.try_hold(HeldKind::Acceptance, 401).is_none());
        let accepted = memory.try_hold(HeldKind::Acceptance, 400);
        assert!(accepted.is_some());
        assert_eq!((memory.total_bytes(), memory.refused()), (1_000, 1));
        drop((records, accepted));
        assert_eq!(memory.total_bytes(), 0);
    }

    // Guards against an accepted submission that finds no memory as others are accepted all the time.
    new_submissions_leave_what_accepted_ones_wait_for => {
        let memory = memory();
        memory.set_wanted(700);
        assert!(memory.try_hold(HeldKind::Acceptance, 301).is_none());
        assert!(memory.try_hold(HeldKind::Acceptance, 300).is_some());
        assert!(memory.try_hold(HeldKind::Records, 1_000).is_some());
    }

    // Guards against small submissions that are refused as long as accepted ones wait to run.
    small_submissions_are_accepted_beside_full_records => {
        let memory = memory();
        let _records = memory.try_hold(HeldKind::Records, 1_000).unwrap();
        memory.set_wanted(700);
        let _small = memory.try_hold(HeldKind::Acceptance, 50).unwrap();
        assert!(memory.try_hold(HeldKind::Acceptance, 1).is_none());
    }

    // Guards against an item that is larger than the share for bodies and is never sent.
    the_largest_body_is_sent_by_itself => {
        let memory = memory();
        let largest = memory.try_hold(HeldKind::Sends, 5_000);
        assert!(largest.is_some());
        assert!(memory.try_hold(HeldKind::Sends, 1).is_none());
        drop(largest);
        let _small = memory.try_hold(HeldKind::Sends, 100).unwrap();
        assert!(memory.try_hold(HeldKind::Sends, 101).is_none());
        assert!(memory.try_hold(HeldKind::Sends, 100).is_some());
    }

    // Guards against results that fill the memory as items run on, and against items that stop at the first byte too much.
    items_start_until_results_exceed_their_share => {
        let memory = memory();
        let mut records = memory.try_hold(HeldKind::Records, 1_000).unwrap();
        records.set(1_500);
        assert!(!memory.is_exceeded());
        records.set(1_501);
        assert!(memory.is_exceeded());
    }

    // Guards against growth that is counted although it was refused.
    a_refused_growth_changes_nothing => {
        let memory = memory();
        let mut hold = memory.try_hold(HeldKind::Records, 900).unwrap();
        assert!(!hold.try_set(1_001));
        assert_eq!((hold.bytes(), memory.held_bytes(HeldKind::Records)), (900, 900));
        assert!(hold.try_set(100) && hold.try_set(1_000));
    }
}
