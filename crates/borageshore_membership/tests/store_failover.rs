//! Routes of calls to the store, directly and through peers.

use borageshore_membership::{StoreCallOutcome, StoreFailover, StoreRoute};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    calls_go_directly_while_the_store_answers => {
        let mut failover = StoreFailover::default();
        assert_eq!(failover.next_route(false, 0), StoreRoute::Direct);
        failover.on_direct_result(true, 10);
        assert_eq!(failover.next_route(true, 20), StoreRoute::Direct);
    }

    // Guards against work that waits for a daemon's own connection while its peers reach the store.
    calls_go_through_a_peer_that_reaches_the_store => {
        let mut failover = StoreFailover::default();
        failover.on_direct_result(false, 600);
        assert!(failover.on_peer_result(true, 610), "told once");
        assert!(!failover.on_peer_result(true, 700));
        assert_eq!(failover.next_route(false, 5_000), StoreRoute::Peer);
    }

    idempotent_calls_probe_the_direct_route_every_two_seconds => {
        let mut failover = StoreFailover::default();
        failover.on_direct_result(false, 0);
        failover.on_peer_result(true, 0);
        assert_eq!(failover.next_route(true, 1_999), StoreRoute::Peer);
        assert_eq!(failover.next_route(true, 2_000), StoreRoute::Direct);
        assert_eq!(failover.next_route(true, 2_001), StoreRoute::Peer);
        assert!(failover.on_direct_result(true, 2_100), "told once");
        assert_eq!(failover.next_route(false, 2_101), StoreRoute::Direct);
    }

    // Guards against keeping an overloaded store overloaded by sending each rejected call again through a peer.
    peers_are_not_asked_while_the_store_answers_some_calls => {
        let mut failover = StoreFailover::default();
        failover.on_direct_result(false, 100);
        failover.on_direct_result(false, 200);
        assert!(!failover.may_ask_peers(900), "it never answered, as after a start");
        failover.on_direct_result(true, 1_000);
        failover.on_direct_result(false, 1_100);
        assert!(!failover.may_ask_peers(1_700), "one call failed");
        failover.on_direct_result(false, 1_200);
        assert!(!failover.may_ask_peers(1_599), "it answered half a second ago");
        assert!(failover.may_ask_peers(1_600));
        failover.on_direct_result(true, 1_610);
        assert!(!failover.may_ask_peers(3_000));
    }

    // Guards against daemons that forward calls to each other while the store is down.
    nobody_goes_through_peers_while_the_store_is_down_for_all => {
        let mut failover = StoreFailover::default();
        failover.on_direct_result(false, 0);
        failover.on_peer_result(false, 10);
        assert_eq!(failover.next_route(false, 20), StoreRoute::Direct);
        assert!(!failover.reaches_store(true, 20));
    }

    // Guards against a result that is appended twice, which moves it to another position for later readers.
    a_call_of_unknown_outcome_is_repeated_only_if_idempotent => {
        assert!(!StoreCallOutcome::Unknown.may_try_other_route(false));
        assert!(StoreCallOutcome::Unknown.may_try_other_route(true));
        assert!(StoreCallOutcome::Refused.may_try_other_route(false));
        assert!(!StoreCallOutcome::Answered.may_try_other_route(true));
    }

    // Guards against telling a trainer that a submission was refused although another attempt was accepted.
    an_unknown_outcome_takes_precedence_over_a_refusal => {
        assert!(StoreCallOutcome::Unknown.takes_precedence_over(StoreCallOutcome::Refused));
        assert!(!StoreCallOutcome::Refused.takes_precedence_over(StoreCallOutcome::Unknown));
        assert!(StoreCallOutcome::Answered.takes_precedence_over(StoreCallOutcome::Unknown));
    }

    a_daemon_forwards_calls_only_while_it_reaches_the_store => {
        let mut failover = StoreFailover::default();
        assert!(!failover.reaches_store(true, 0), "nothing is known yet");
        failover.on_direct_result(true, 100);
        assert!(failover.reaches_store(true, 1_500));
        assert!(!failover.reaches_store(true, 1_700), "the last success is old");
        assert!(failover.reaches_store(false, 1_700), "nothing was asked since");
        failover.on_direct_result(true, 2_000);
        failover.on_direct_result(false, 2_100);
        assert!(!failover.reaches_store(true, 2_100));
        assert!(!failover.reaches_store(false, 2_100));
    }
}
