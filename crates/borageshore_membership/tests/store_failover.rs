//! The way to the store.

use borageshore_membership::{CallEnd, StoreWay, Way};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    the_own_way_is_taken_as_long_as_it_is_open => {
        let mut way = StoreWay::default();
        assert_eq!(way.next(false, 0), Way::Own);
        way.on_own(true, 10);
        assert_eq!(way.next(true, 20), Way::Own);
    }

    // A step waits for the end of a cut, though eleven other daemons reach the store.
    a_peer_that_reaches_the_store_closes_the_own_way => {
        let mut way = StoreWay::default();
        way.on_own(false, 600);
        assert!(way.on_peer(true, 610), "told once");
        assert!(!way.on_peer(true, 700));
        assert_eq!(way.next(false, 5_000), Way::Peer);
    }

    a_closed_way_is_tried_by_calls_that_may_every_two_seconds => {
        let mut way = StoreWay::default();
        way.on_own(false, 0);
        way.on_peer(true, 0);
        assert_eq!(way.next(true, 1_999), Way::Peer);
        assert_eq!(way.next(true, 2_000), Way::Own);
        assert_eq!(way.next(true, 2_001), Way::Peer);
        assert!(way.on_own(true, 2_100), "told once");
        assert_eq!(way.next(false, 2_101), Way::Own);
    }

    // Each daemon asks each other one while the store is down for all.
    // All daemons start at the same time, and the store turns some calls of all of them away.
    // Each gave such a call to a peer, and the store stayed at its limit for 10 s.
    a_store_that_answers_now_and_then_is_left_alone => {
        let mut way = StoreWay::default();
        way.on_own(false, 100);
        way.on_own(false, 200);
        assert!(!way.may_ask_peers(900), "it never answered, as after a start");
        way.on_own(true, 1_000);
        way.on_own(false, 1_100);
        assert!(!way.may_ask_peers(1_700), "one call failed");
        way.on_own(false, 1_200);
        assert!(!way.may_ask_peers(1_599), "it answered half a second ago");
        assert!(way.may_ask_peers(1_600));
        way.on_own(true, 1_610);
        assert!(!way.may_ask_peers(3_000));
    }

    nobody_goes_through_peers_while_the_store_is_down_for_all => {
        let mut way = StoreWay::default();
        way.on_own(false, 0);
        way.on_peer(false, 10);
        assert_eq!(way.next(false, 20), Way::Own);
        assert!(!way.reaches_store(20));
    }

    // A trainer reads an item at one position and later at another.
    // The answer to the append of its result was lost; it was given to a peer as well, under the same key,
    // and took the later place for readers that started after it.
    a_lost_call_that_must_not_be_done_twice_goes_no_other_way => {
        assert!(!CallEnd::Lost.may_go_on(false));
        assert!(CallEnd::Lost.may_go_on(true));
        assert!(CallEnd::Refused.may_go_on(false));
        assert!(!CallEnd::Answered.may_go_on(true));
    }

    // A trainer is told that nothing of its submission runs, and it runs.
    // The store refused it on one way; the peer that it was given to got no answer, and it was accepted.
    what_may_have_been_done_is_not_undone_by_a_refusal => {
        assert!(CallEnd::Lost.leaves_more_open_than(CallEnd::Refused));
        assert!(!CallEnd::Refused.leaves_more_open_than(CallEnd::Lost));
        assert!(CallEnd::Answered.leaves_more_open_than(CallEnd::Lost));
    }

    a_daemon_helps_only_while_it_reaches_the_store_itself => {
        let mut way = StoreWay::default();
        assert!(!way.reaches_store(0), "nothing is known yet");
        way.on_own(true, 100);
        assert!(way.reaches_store(1_500));
        assert!(!way.reaches_store(1_700), "the last success is old");
        way.on_own(true, 2_000);
        way.on_own(false, 2_100);
        assert!(!way.reaches_store(2_100));
    }
}
