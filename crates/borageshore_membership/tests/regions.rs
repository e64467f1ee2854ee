//! Addresses, peers and readers in a deployment of several regions.

use std::sync::Arc;

use borageshore_membership::{
    AddressRequest, Presence, PresenceState, PresenceTable, SUSPICION_TIMEOUT_MS, Suspicion,
};
use borageshore_topology::{Residency, Topology};

const MIN_COUNT: usize = 2;

fn presence(name: &str, zone: &str) -> Presence {
    Presence {
        name: name.into(),
        incarnation: 1,
        zone: zone.into(),
        peer_address: format!("{name}:81").into(),
        http_address: format!("{name}:80").into(),
        state: PresenceState::Ready,
        capacity_percent: 50,
        holds: Vec::new(),
    }
}

/// Regions `a` and `b` with two zones each, and `c` with one.
fn topology(own_zone: &str) -> Topology {
    let zones = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("c1", "c"),
    ];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    Topology::open(own_zone.into(), zones.to_vec())
}

fn table(daemons: &[(&str, &str)]) -> PresenceTable {
    let mut table = PresenceTable::default();
    table.on_read(0);
    for (name, zone) in daemons {
        table.on_presence(presence(name, zone));
    }
    table
}

/// One daemon in each zone of `a`, three in `b` and one in `c`.
fn seven_daemons() -> PresenceTable {
    table(&[
        ("vm-1", "b1"),
        ("vm-2", "b1"),
        ("vm-3", "b2"),
        ("vm-4", "a1"),
        ("vm-5", "a2"),
        ("vm-6", "c1"),
        ("vm-7", "b2"),
    ])
}

fn names(table: &PresenceTable, zone: &str, region: Option<&str>) -> Vec<Arc<str>> {
    names_within(table, zone, region, &Residency::anywhere())
}

fn names_within(
    table: &PresenceTable,
    zone: &str,
    region: Option<&str>,
    candidates: &Residency,
) -> Vec<Arc<str>> {
    let request = AddressRequest {
        zone,
        region,
        candidates,
    };
    let listed = table.addresses_for(request, &topology("b1"), MIN_COUNT);
    let mut names: Vec<Arc<str>> = listed
        .iter()
        .map(|address| address.trim_end_matches(":80").into())
        .collect();
    names.sort_unstable();
    names
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against callers that are sent to another region while their own has daemons.
    callers_get_addresses_of_their_zone_or_else_their_region => {
        let table = seven_daemons();
        assert_eq!(names(&table, "b1", Some("b")), ["vm-1".into(), "vm-2".into()]);
        assert_eq!(names(&table, "a1", Some("a")), ["vm-4".into(), "vm-5".into()]);
        assert_eq!(names(&table, "a1", None), ["vm-4".into(), "vm-5".into()]);
    }

    // Guards against callers that cannot fail over because their region has a single daemon.
    a_region_with_one_daemon_is_given_all_regions => {
        assert_eq!(names(&seven_daemons(), "c1", Some("c")).len(), 7);
    }

    // Guards against an empty list for a caller whose zone is not in the settings.
    a_caller_in_an_unknown_zone_gets_its_region_or_all => {
        let table = seven_daemons();
        assert_eq!(names(&table, "a9", Some("a")), ["vm-4".into(), "vm-5".into()]);
        assert_eq!(names(&table, "a9", None).len(), 7);
        assert_eq!(names(&table, "a9", Some("nowhere")).len(), 7);
    }

    // Guards against addresses of daemons that do not answer, listed to fill up a region.
    dead_and_draining_daemons_are_not_listed => {
        let mut table = seven_daemons();
        let suspicion = Suspicion { name: "vm-4".into(), incarnation: 1, by: "vm-1".into() };
        table.on_suspicion(&suspicion, 1_000);
        table.advance(1_000 + SUSPICION_TIMEOUT_MS);
        let draining = Presence { state: PresenceState::Draining, ..presence("vm-6", "c1") };
        table.on_presence(draining);
        let listed = names(&table, "a2", Some("a"));
        assert_eq!(listed.len(), 5, "the region has one left, so all are listed");
        assert!(!listed.contains(&"vm-4".into()) && !listed.contains(&"vm-6".into()));
    }

    // Guards against daemons outside the candidate regions on a list, also when those have too few.
    only_candidate_regions_are_listed => {
        let table = seven_daemons();
        let within_c = Residency::within(vec!["c".into()]);
        assert_eq!(names_within(&table, "b1", Some("b"), &within_c), ["vm-6".into()]);
        assert!(names_within(&table, "b1", Some("b"), &Residency::within(Vec::new())).is_empty());
    }

    // Guards against callers that close their connections because two daemons list different addresses, and against a
    // long list without the daemons that are near.
    a_long_list_is_the_same_at_all_daemons_and_has_the_nearest => {
        let daemons: Vec<(String, &str)> =
            (0..100).map(|number| (format!("vm-{number:03}"), ["b1", "b2"][number % 2])).collect();
        let mut daemons: Vec<(&str, &str)> =
            daemons.iter().map(|(name, zone)| (&**name, *zone)).collect();
        daemons.push(("near", "a1"));
        let table = table(&daemons);
        let request =
            AddressRequest { zone: "a1", region: None, candidates: &Residency::anywhere() };
        let lists = ["a1", "b1", "c1"]
            .map(|own_zone| table.addresses_for(request, &topology(own_zone), MIN_COUNT));
        assert_eq!(lists[0].len(), 64);
        assert_eq!(&*lists[0][0], "near:80");
        assert!(lists[0] == lists[1] && lists[0] == lists[2]);
    }

    // Guards against store calls that cross regions while a peer of the own region forwards them.
    peers_are_asked_nearest_first => {
        let peers = seven_daemons().peer_addresses("vm-3", &topology("b2"));
        assert_eq!(&peers[..3], ["vm-7:81".into(), "vm-1:81".into(), "vm-2:81".into()]);
        assert_eq!(peers.len(), 6);
    }

    // Guards against results that cross regions with each read, and against reads that a region cannot serve.
    reads_stay_in_the_region_if_it_has_a_daemon_for_them => {
        let mut table = seven_daemons();
        let owner = Presence { holds: vec!["step".into()], ..presence("vm-1", "b1") };
        table.on_presence(owner);
        let reader = |table: &PresenceTable, zone| {
            table.reader_of("step", "step", &topology(zone)).map(String::from)
        };
        assert_eq!(reader(&table, "b2").as_deref(), Some("vm-1"));
        let of_a = reader(&table, "a1");
        assert!(["vm-4", "vm-5"].contains(&of_a.as_deref().unwrap()));
        assert_eq!(of_a, reader(&table, "a2"), "one reader for the region");
        let small = Presence { capacity_percent: 10, ..presence("vm-6", "c1") };
        table.on_presence(small);
        assert_eq!(reader(&table, "c1").as_deref(), Some("vm-1"));
        assert_eq!(reader(&table, "elsewhere").as_deref(), Some("vm-1"));
    }

    // Guards against a change of deployments without regions: the owner serves all reads.
    without_regions_the_owner_serves_reads => {
        let table = seven_daemons();
        let topology = Topology::single_region("a1".into());
        assert_eq!(table.reader_of("step", "step", &topology), table.owner_of("step", "step"));
    }
}
