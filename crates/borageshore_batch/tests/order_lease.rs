//! Orders of two holders to one engine must be a lease apart.

use borageshore_batch::{OrderLeases, SwapRound};

const TAKEOVER_DELAY_MS: u64 = 3_800;

fn round(holder: &str, engines: &[&str], others_ordered: &[&str]) -> SwapRound {
    SwapRound {
        holder: holder.into(),
        orders: engines
            .iter()
            .map(|engine| ((*engine).into(), "m".into(), 2))
            .collect(),
        done: Vec::new(),
        others_ordered: others_ordered
            .iter()
            .map(|engine| (*engine).into())
            .collect(),
    }
}

/// The leases of a daemon that has loaded no round at `now_ms`.
fn leases_at(now_ms: u64) -> OrderLeases {
    let mut leases = OrderLeases::open(TAKEOVER_DELAY_MS);
    leases.on_loaded(now_ms);
    leases
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against a successor that waits out the lease for engines without a recent order, which delays all loads.
    a_new_holder_waits_for_the_engines_just_ordered_only => {
        let mut leases = leases_at(0);
        leases.on_round(&round("vm-1", &["e0", "e1"], &[]), 10_000);
        assert!(!leases.may_order("vm-2", "e0", 13_799));
        assert!(leases.may_order("vm-2", "e0", 13_800));
        assert!(leases.may_order("vm-2", "e2", 10_001));
        assert!(leases.may_order("vm-1", "e0", 10_001));
    }

    a_process_that_just_began_may_have_missed_orders => {
        let mut leases = leases_at(10_000);
        assert!(!leases.may_order("vm-2", "e0", 13_799));
        assert!(leases.may_order("vm-2", "e0", 13_800));
        leases.on_round(&round("vm-1", &["e1"], &[]), 10_001);
        assert!(!leases.may_order("vm-2", "e0", 13_799), "the newest round is another holder's");
    }

    a_holder_that_starts_again_goes_on_at_once => {
        let mut leases = OrderLeases::open(TAKEOVER_DELAY_MS);
        leases.on_round(&round("vm-1", &["e1"], &[]), 10_001);
        leases.on_loaded(10_001);
        assert!(leases.may_order("vm-1", "e0", 10_002));
    }

    // Guards against two VMs that order one engine within the lease: vm-1 orders e0 and is lost; vm-2 takes over with
    // e1 and restarts. Its own newest round does not order e0, but e0 is still leased to vm-1.
    a_holder_that_starts_again_remembers_what_others_had_ordered => {
        let mut before = leases_at(0);
        before.on_round(&round("vm-1", &["e0"], &[]), 10_000);
        let others = before.held_by_others("vm-2", 10_100);
        assert_eq!(others, ["e0".into()]);
        let own = round("vm-2", &["e1"], &["e0"]);
        let mut after = OrderLeases::open(TAKEOVER_DELAY_MS);
        after.on_round(&own, 10_500);
        after.on_loaded(10_500);
        assert!(!after.may_order("vm-2", "e0", 10_502));
        assert!(after.may_order("vm-2", "e2", 10_502));
        assert_eq!(after.held_by_others("vm-2", 10_502), ["e0".into()]);
        assert!(after.may_order("vm-2", "e0", 14_300));
        assert!(after.held_by_others("vm-2", 14_300).is_empty());
    }

    after_a_gap_every_engine_of_another_holder_waits => {
        let mut leases = leases_at(0);
        leases.on_round(&round("vm-1", &["e1"], &[]), 10_000);
        leases.reset();
        assert!(!leases.may_order("vm-1", "e0", 12_000), "nothing is loaded");
        leases.on_loaded(12_000);
        assert!(!leases.may_order("vm-2", "e0", 15_799));
        assert!(leases.may_order("vm-2", "e0", 15_800));
    }
}
