//! Liveness and work ownership from records in a log.

use std::sync::Arc;

use borageshore_membership::{
    AddressRequest, Presence, PresenceState, PresenceTable, SUSPICION_TIMEOUT_MS, Suspicion,
};
use borageshore_topology::{Residency, Topology};

fn presence(name: &str, zone: &str, state: PresenceState) -> Presence {
    Presence {
        name: name.into(),
        incarnation: 1,
        zone: zone.into(),
        peer_address: "".into(),
        http_address: format!("{name}:80").into(),
        state,
        capacity_percent: 50,
        holds: Vec::new(),
    }
}

fn suspicion(name: &str, incarnation: u64) -> Suspicion {
    Suspicion {
        name: name.into(),
        incarnation,
        by: "vm-9".into(),
    }
}

fn presence_with_work(name: &str, work: &str) -> Presence {
    Presence {
        holds: vec![work.into()],
        ..presence(name, "z1", PresenceState::Ready)
    }
}

/// A table with three ready daemons whose records were read at time 0.
fn three_ready_daemons() -> PresenceTable {
    let mut table = PresenceTable::default();
    table.on_read(0);
    for (name, zone) in [("vm-1", "z1"), ("vm-2", "z1"), ("vm-3", "z2")] {
        table.on_presence(presence(name, zone, PresenceState::Ready));
    }
    table
}

fn read_until(table: &mut PresenceTable, from_ms: u64, to_ms: u64) {
    for at_ms in (from_ms..=to_ms).step_by(100) {
        table.on_read(at_ms);
    }
}

/// The addresses for a caller in a zone of a deployment without regions.
fn addresses_for(table: &PresenceTable, zone: &str, min_count: usize) -> Vec<Arc<str>> {
    let topology = Topology::single_region("z1".into());
    listed(table, &topology, zone, None, min_count)
}

fn listed(
    table: &PresenceTable,
    topology: &Topology,
    zone: &str,
    region: Option<&str>,
    min_count: usize,
) -> Vec<Arc<str>> {
    let request = AddressRequest {
        zone,
        region,
        candidates: &Residency::anywhere(),
    };
    table.addresses_for(request, topology, min_count)
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    a_daemon_without_records_while_the_log_is_read_is_dead => {
        let mut table = three_ready_daemons();
        read_until(&mut table, 100, 1_000);
        table.on_presence(presence("vm-1", "z1", PresenceState::Ready));
        read_until(&mut table, 1_100, 2_400);
        let live: Vec<&str> = table.live().map(|known| &*known.name).collect();
        assert_eq!(live, ["vm-1"]);
    }

    // Guards against ageing records by wall-clock time: the first read after an outage brings no new records yet.
    no_daemon_is_declared_dead_after_an_outage_of_the_log => {
        let mut table = three_ready_daemons();
        read_until(&mut table, 100, 500);
        table.on_read(30_000);
        assert_eq!(table.live().count(), 3);
    }

    // Guards against a late record of the previous incarnation that makes a restarted daemon own work it lost.
    a_record_of_an_earlier_incarnation_is_ignored => {
        let mut table = three_ready_daemons();
        table.on_presence(Presence { incarnation: 2, ..presence("vm-1", "z1", PresenceState::Starting) });
        table.on_presence(presence_with_work("vm-1", "s1"));
        assert_eq!(table.holder_of("s1"), None);
        assert!(table.ready().all(|known| &*known.name != "vm-1"));
    }

    a_holder_stays_the_owner_whoever_comes_first_by_rendezvous => {
        let mut table = three_ready_daemons();
        for name in ["vm-1", "vm-2", "vm-3"] {
            table.on_presence(presence_with_work(name, "s1"));
            assert_eq!(table.owner_of("s1", "model"), Some(name));
            table.on_presence(presence(name, "z1", PresenceState::Ready));
        }
    }

    // Guards against moving a trainer to another daemon with each step, which loses connections and cached texts.
    steps_of_one_trainer_have_one_owner => {
        let table = three_ready_daemons();
        let owners: Vec<Option<&str>> = (0..20)
            .map(|step| table.owner_of(&format!("step-{step}"), "model"))
            .collect();
        assert!(owners.windows(2).all(|pair| pair[0] == pair[1]));
    }

    // The first daemons that are ready after a start of all take over all work, one after the other.
    work_of_daemons_that_start_is_left_to_them => {
        let states = |ready: usize| move |number: usize| match number < ready {
            true => PresenceState::Ready,
            false => PresenceState::Starting,
        };
        let owner = |ready: usize, key: &str| {
            let mut table = PresenceTable::default();
            table.on_read(0);
            for number in 0..8 {
                table.on_presence(presence(&format!("vm-{number}"), "z1", states(ready)(number)));
            }
            table.prospective_owner_of(key).map(str::to_owned)
        };
        let mut owners = Vec::new();
        for key in (0..40).map(|key| key.to_string()) {
            assert_eq!(owner(1, &key), owner(8, &key));
            owners.extend(owner(8, &key));
        }
        owners.sort();
        owners.dedup();
        assert!(owners.len() > 4, "{owners:?}");
        let mut table = three_ready_daemons();
        table.on_presence(Presence { capacity_percent: 12, ..presence("vm-4", "z1", PresenceState::Starting) });
        for key in (0..40).map(|key| key.to_string()) {
            assert_eq!(table.prospective_owner_of(&key), table.owner_of("work", &key));
        }
    }

    a_draining_daemon_keeps_what_it_holds_and_gets_nothing_new => {
        let mut table = three_ready_daemons();
        table.on_presence(Presence { state: PresenceState::Draining, ..presence_with_work("vm-1", "s1") });
        assert_eq!(table.owner_of("s1", "model"), Some("vm-1"));
        for step in 0..50 {
            assert_ne!(table.owner_of(&format!("new-{step}"), &format!("key-{step}")), Some("vm-1"));
        }
    }

    a_dead_owner_is_replaced => {
        let mut table = three_ready_daemons();
        let first = table.owner_of("s1", "model").unwrap().to_owned();
        read_until(&mut table, 100, 1_000);
        for name in ["vm-1", "vm-2", "vm-3"].into_iter().filter(|name| *name != first) {
            table.on_presence(presence(name, "z1", PresenceState::Ready));
        }
        read_until(&mut table, 1_100, 2_400);
        let next = table.owner_of("s1", "model").unwrap();
        assert_ne!(next, first);
    }

    // Guards against steps that are limited by the CPU of a small VM.
    small_vms_own_no_work => {
        let mut table = three_ready_daemons();
        table.on_presence(Presence { capacity_percent: 12, ..presence("vm-4", "z1", PresenceState::Ready) });
        for step in 0..50 {
            assert_ne!(table.owner_of("s", &format!("key-{step}")), Some("vm-4"));
        }
        assert_eq!(addresses_for(&table, "z1", 2).len(), 3, "callers reach it all the same");
    }

    // Guards against a store that is overloaded by reads of these records, which grow with the square of the
    // number of daemons.
    records_of_many_daemons_cause_no_more_reads_than_those_of_a_few => {
        for daemons in [12, 60, 195, 680_u64] {
            let mut table = PresenceTable::default();
            table.on_read(0);
            for number in 0..daemons {
                table.on_presence(presence(&format!("vm-{number}"), "z1", PresenceState::Ready));
            }
            let reads_a_second = daemons * daemons * 1_000 / table.record_interval_ms();
            assert!(reads_a_second <= 300, "{reads_a_second} at {daemons}");
            let dead_after_ms = 3 * table.record_interval_ms() + 300;
            for at_ms in (500..dead_after_ms).step_by(500) {
                table.on_read(at_ms);
            }
            assert_eq!(table.live().count() as u64, daemons);
            table.on_read(dead_after_ms + 500);
            assert_eq!(table.live().count(), 0);
        }
    }

    // Guards against a suspicion that does not time out because no further record is read.
    a_suspicion_that_is_not_refuted_is_a_death => {
        let mut table = three_ready_daemons();
        table.advance(1_000);
        table.on_suspicion(&suspicion("vm-2", 1), 1_000);
        assert!(table.is_suspected("vm-2"));
        assert!(!table.advance(1_000 + SUSPICION_TIMEOUT_MS - 1));
        assert_eq!(table.live().count(), 3);
        assert!(table.advance(1_000 + SUSPICION_TIMEOUT_MS), "told once");
        assert!(!table.advance(1_000 + SUSPICION_TIMEOUT_MS + 1));
        assert_eq!(table.live().count(), 2);
    }

    // Guards against a live daemon that stays dead after a false suspicion, whether it refutes it in time or late.
    a_record_refutes_a_suspicion => {
        let mut table = three_ready_daemons();
        table.on_suspicion(&suspicion("vm-2", 1), 1_000);
        table.on_presence(presence("vm-2", "z1", PresenceState::Ready));
        assert!(!table.advance(2_000));
        table.on_suspicion(&suspicion("vm-2", 1), 2_000);
        assert!(table.advance(3_000));
        table.on_presence(presence("vm-2", "z1", PresenceState::Ready));
        assert_eq!(table.live().count(), 3);
    }

    // Guards against a suspicion of the previous incarnation that declares a restarted daemon dead.
    a_suspicion_of_an_earlier_incarnation_is_ignored => {
        let mut table = three_ready_daemons();
        table.on_presence(Presence { incarnation: 2, ..presence("vm-2", "z1", PresenceState::Ready) });
        table.on_suspicion(&suspicion("vm-2", 1), 1_000);
        assert!(!table.advance(5_000));
        assert_eq!(table.live().count(), 3);
    }

    dead_daemons_expire_after_a_minute => {
        let mut table = three_ready_daemons();
        table.on_suspicion(&suspicion("vm-2", 1), 1_000);
        table.advance(60_000);
        assert!(table.expired().is_empty());
        table.advance(61_000);
        assert_eq!(table.expired(), ["vm-2".into()]);
    }

    callers_get_addresses_of_their_zone_if_there_is_a_choice => {
        let table = three_ready_daemons();
        let near: Vec<Arc<str>> = vec!["vm-1:80".into(), "vm-2:80".into()];
        assert_eq!(addresses_for(&table, "z1", 2), near);
        assert_eq!(addresses_for(&table, "z2", 2).len(), 3);
    }

    a_daemon_that_left_is_not_listed => {
        let mut table = three_ready_daemons();
        table.on_left("vm-2");
        assert_eq!(addresses_for(&table, "z1", 1), ["vm-1:80".into()]);
    }
}

/// Three daemons in zones of region `a` ("a1") and one in another, which holds a submission and is the largest.
fn daemons_of_two_regions() -> PresenceTable {
    let mut table = PresenceTable::default();
    table.on_read(0);
    for name in ["vm-1", "vm-2", "vm-3"] {
        table.on_presence(presence(name, "a1", PresenceState::Ready));
    }
    table.on_presence(Presence {
        capacity_percent: 400,
        zone: "b1".into(),
        ..presence_with_work("vm-4", "s1")
    });
    table
}

fn is_inside(presence: &Presence) -> bool {
    &*presence.zone == "a1"
}

cases! {
    // A daemon outside reads the bodies of a submission that may not leave its region, because it holds it, or because
    // those inside are smaller.
    work_that_must_stay_inside_has_an_owner_inside => {
        let table = daemons_of_two_regions();
        assert_eq!(table.owner_of("s1", "model"), Some("vm-4"));
        for step in 0..20 {
            let owner = table.owner_within("s1", &format!("key-{step}"), is_inside).unwrap();
            assert_ne!(owner, "vm-4");
        }
        assert_eq!(table.eligible_within(is_inside).count(), 3);
        assert!(table.has_eligible_capacity(50, is_inside) && !table.has_eligible_capacity(50, |_| true));
    }

    // The successor of an owner that died is outside.
    the_successor_of_an_owner_inside_is_inside => {
        let mut table = daemons_of_two_regions();
        let mut left = ["vm-1", "vm-2", "vm-3"].len();
        while let Some(owner) = table.owner_within("s2", "model", is_inside).map(str::to_owned) {
            assert_ne!(owner, "vm-4");
            table.on_suspicion(&suspicion(&owner, 1), 100);
            table.advance(100 + SUSPICION_TIMEOUT_MS);
            left -= 1;
        }
        // Nobody inside is left: the work waits instead of going outside.
        assert_eq!(left, 0);
        assert_eq!(table.owner_of("s2", "model"), Some("vm-4"));
    }

    // The directory names daemons of a region to which callers may not send their bodies.
    addresses_within_a_region_name_no_daemon_outside => {
        let table = daemons_of_two_regions();
        let zones = [("a1", "a"), ("b1", "b")].map(|(zone, region)| (zone.into(), region.into()));
        let topology = Topology::open("b1".into(), zones.to_vec());
        let addresses = |candidates: &Residency| {
            let request = AddressRequest { zone: "b1", region: None, candidates };
            table.addresses_for(request, &topology, 1)
        };
        let inside = Residency::within(vec!["a".into()]);
        assert_eq!(addresses(&inside), ["vm-1:80", "vm-2:80", "vm-3:80"].map(Arc::from));
        assert_eq!(addresses(&Residency::anywhere()), ["vm-4:80".into()]);
    }
}
