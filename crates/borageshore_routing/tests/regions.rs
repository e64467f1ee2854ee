//! The choice of endpoints in a deployment of several regions.

use std::sync::Arc;

use borageshore_routing::{
    CallingDaemon, ChoiceRequest, Endpoint, EndpointListing, EndpointState, EndpointTable,
    LoadReport, choose_from_subset,
};
use borageshore_topology::{Residency, Topology};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const SLOTS: u64 = 6;
const NOW_MS: u64 = 1_000;
const DRAWS: usize = 200;

/// Regions `a` and `b`, with the zones `a1`, `a2`, `b1` and `b2`, and `c` with the zone `c1`.
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

/// Endpoints called `zone/number` without load.
fn table(zones: &[(&str, usize)]) -> EndpointTable {
    let listing = |zone: &str, number: usize| EndpointListing {
        name: format!("{zone}/{number}").into(),
        service: "s".into(),
        zone: zone.into(),
        address: format!("{zone}/{number}").into(),
        state: EndpointState::Live,
    };
    let mut table = EndpointTable::default();
    let listed = zones
        .iter()
        .flat_map(|(zone, count)| (0..*count).map(|number| listing(zone, number)));
    table.on_listing(listed.collect());
    let names: Vec<Arc<str>> = table
        .iter()
        .map(|endpoint| endpoint.listing.name.clone())
        .collect();
    for name in names {
        report(&mut table, &name, 0);
    }
    table
}

fn report(table: &mut EndpointTable, name: &str, requests: u64) {
    let report = LoadReport {
        requests,
        slots: SLOTS,
        slowdown_percent: None,
    };
    table.on_report(name, report, NOW_MS);
}

/// The zones of the endpoints chosen in many draws, without repetitions, by a daemon with idle connections to `idle`.
fn zones_chosen(
    table: &EndpointTable,
    topology: &Topology,
    idle: &[&str],
    tried: &[Arc<str>],
) -> Vec<String> {
    let chosen = endpoints_chosen(table, topology, idle, tried);
    let zone = |name: &Arc<str>| name.split('/').next().unwrap_or_default().to_owned();
    let mut zones: Vec<String> = chosen.iter().map(zone).collect();
    zones.dedup();
    zones
}

fn endpoints_chosen(
    table: &EndpointTable,
    topology: &Topology,
    idle: &[&str],
    tried: &[Arc<str>],
) -> Vec<Arc<str>> {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let daemon = CallingDaemon {
        name: "vm",
        has_idle: |endpoint: &Endpoint| idle.contains(&&*endpoint.listing.address),
    };
    let request = ChoiceRequest {
        service: "s",
        prefix: None,
        topology,
        residency: &Residency::anywhere(),
        tried,
    };
    let mut choose =
        |_| choose_from_subset(table, daemon, request, NOW_MS, &mut random).expect("an endpoint");
    let mut chosen: Vec<Arc<str>> = (0..DRAWS).map(&mut choose).collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against calls that travel to another region while their own has free endpoints.
    the_own_zone_comes_before_the_region_and_that_before_others => {
        let few = table(&[("a1", 2), ("a2", 2), ("b1", 2), ("c1", 2)]);
        assert_eq!(zones_chosen(&few, &topology("a1"), &[], &[]), ["a1"]);
        let without_own_zone = table(&[("a2", 2), ("b1", 4), ("c1", 2)]);
        assert_eq!(zones_chosen(&without_own_zone, &topology("a1"), &[], &[]), ["a2"]);
    }

    // Guards against calls of a daemon whose region has no endpoints of the service.
    a_daemon_in_a_region_without_endpoints_calls_others => {
        let table = table(&[("b1", 2), ("b2", 2)]);
        assert_eq!(zones_chosen(&table, &topology("a1"), &[], &[]), ["b1", "b2"]);
    }

    // Guards against draws and subsets of other regions where a service is too large to be compared whole.
    of_many_endpoints_the_few_of_the_own_region_are_chosen => {
        let many = table(&[("a1", 2), ("b1", 20), ("c1", 20)]);
        assert_eq!(zones_chosen(&many, &topology("a2"), &[], &[]), ["a1"]);
        let subset = table(&[("a1", 20), ("a2", 30), ("b1", 60)]);
        assert_eq!(zones_chosen(&subset, &topology("a1"), &[], &[]), ["a1", "a2"]);
    }

    // Guards against calls that queue in the own region while another one would serve them earlier.
    another_region_serves_what_the_own_one_is_too_full_for => {
        let mut table = table(&[("a1", 2), ("a2", 1), ("b1", 2)]);
        for name in ["a1/0", "a1/1", "a2/0"] {
            report(&mut table, name, 5);
        }
        assert!(!zones_chosen(&table, &topology("a1"), &["b1/0"], &[]).contains(&"b1".into()));
        for name in ["a1/0", "a1/1", "a2/0"] {
            report(&mut table, name, 2 * SLOTS);
        }
        assert_eq!(zones_chosen(&table, &topology("a1"), &[], &[]), ["b1"]);
    }

    // Guards against calls without an endpoint while the whole region is ejected.
    an_ejected_region_is_left => {
        let mut table = table(&[("a1", 1), ("a2", 1), ("b1", 2), ("c1", 2)]);
        for name in ["a1/0", "a2/0"] {
            for _ in 0..3 {
                table.on_start(name);
                table.on_failure(name, NOW_MS);
            }
        }
        assert_eq!(zones_chosen(&table, &topology("a1"), &[], &[]), ["b1", "c1"]);
    }

    // Guards against a retry that is confined to the region in which the first attempt failed.
    a_retry_leaves_the_region_if_its_endpoints_were_tried => {
        let table = table(&[("a1", 1), ("b1", 2)]);
        assert_eq!(zones_chosen(&table, &topology("a1"), &[], &["a1/0".into()]), ["b1"]);
    }

    // Guards against a connection for nearly each call: a daemon that makes few calls seldom draws the same endpoint twice.
    an_open_connection_decides_between_equal_endpoints => {
        let table = table(&[("a1", 3), ("b1", 3)]);
        let chosen = endpoints_chosen(&table, &topology("a1"), &["a1/1", "b1/0"], &[]);
        assert_eq!(chosen, ["a1/1".into()]);
        let without_regions = Topology::single_region("a1".into());
        assert!(endpoints_chosen(&table, &without_regions, &["a1/1"], &[]).len() > 1);
    }

    // Guards against a daemon that counts zones of which the settings say nothing as near.
    a_zone_without_a_region_is_far => {
        let table = table(&[("a2", 1), ("elsewhere", 1)]);
        assert_eq!(zones_chosen(&table, &topology("a1"), &[], &[]), ["a2"]);
        assert_eq!(zones_chosen(&table, &topology("elsewhere"), &[], &[]), ["elsewhere"]);
    }
}
