//! Which endpoints, routes and organisations a residency leaves.

use std::sync::Arc;

use borageshore_access::{KeyDigest, Organisation, Organisations};
use borageshore_routing::{
    CallingDaemon, ChoiceRequest, Endpoint, EndpointListing, EndpointState, EndpointTable, Route,
    RouteKind, RouteTable, UnservableRoute, choose_endpoint, choose_from_subset,
    regions_without_zones, unservable_routes,
};
use borageshore_topology::{Residency, Topology};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn within(regions: &[&str]) -> Residency {
    Residency::within(regions.iter().map(|region| (*region).into()).collect())
}

/// Zones `a1` and `b1` of two regions, seen from `b1`; nobody knows where `z9` is.
fn topology() -> Topology {
    let zones = vec![("a1".into(), "a".into()), ("b1".into(), "b".into())];
    Topology::open("b1".into(), zones)
}

/// Ten endpoints in each zone.
fn endpoints() -> EndpointTable {
    let mut table = EndpointTable::default();
    for zone in ["a1", "b1", "z9"] {
        for number in 0..10 {
            table.on_listed(EndpointListing {
                name: format!("{zone}-{number}").into(),
                service: "s".into(),
                address: "10.0.0.1:80".into(),
                zone: zone.into(),
                state: EndpointState::Live,
            });
        }
    }
    table
}

fn route(name: &str, residency: Residency) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        path_prefix: format!("/{name}/").into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        max_attempts: 3,
        targets: Vec::new(),
        retention_ms: u64::MAX,
        result_due_ms: None,
        is_single_version: false,
        is_public: false,
        residency,
    }
}

fn table(routes: Vec<Route>, organisations: &[(&str, Residency)]) -> RouteTable {
    let organisation = |(name, residency): &(&str, Residency)| {
        let organisation = Organisation {
            name: (*name).into(),
            priority: None,
            residency: residency.clone(),
        };
        (organisation, vec![KeyDigest::of(name.as_bytes())])
    };
    let organisations = organisations.iter().map(organisation).collect();
    RouteTable::open(1, routes).with_organisations(Organisations::open(organisations))
}

fn unservable(route: &str, organisation: Option<&str>) -> UnservableRoute {
    UnservableRoute {
        route: route.into(),
        organisation: organisation.map(Into::into),
    }
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // A retry or a hedge leaves the allowed region once all endpoints there were tried, or reaches a zone of which
    // nobody knows where it is.
    no_choice_leaves_the_allowed_regions => {
        let (table, topology, residency) = (endpoints(), topology(), within(&["a"]));
        let mut random = Pcg64Mcg::seed_from_u64(3);
        let mut tried: Vec<Arc<str>> = Vec::new();
        for _ in 0..10 {
            let request = ChoiceRequest {
                service: "s", prefix: Some("p"), topology: &topology, residency: &residency, tried: &tried,
            };
            let daemon = CallingDaemon { name: "vm-1", has_idle: |_: &Endpoint| true };
            for _ in 0..20 {
                let chosen = choose_endpoint(&table, request, 0, &mut random).unwrap();
                assert!(chosen.starts_with("a1-"), "{chosen}");
            }
            let chosen = choose_from_subset(&table, daemon, request, 0, &mut random).unwrap();
            assert!(chosen.starts_with("a1-"), "{chosen}");
            tried.push(chosen);
        }
        let request = ChoiceRequest {
            service: "s", prefix: None, topology: &topology, residency: &residency, tried: &tried,
        };
        assert_eq!(choose_endpoint(&table, request, 0, &mut random), None);
        assert!(table.has_live("s", |zone| topology.allows(&residency, zone)));
        assert!(!table.has_live("s", |zone| topology.allows(&within(&["c"]), zone)));
    }

    // Requests are refused for weeks before anybody looks why: route and organisation share no region.
    routes_without_a_region_are_found => {
        let routes = vec![
            route("any", Residency::anywhere()), route("in-a", within(&["a"])), route("in-c", within(&["c"])),
        ];
        let table = table(routes, &[("b-mill", within(&["b"])), ("c-mill", within(&["c"])), ("mill", Residency::anywhere())]);
        let expected = [
            unservable("any", Some("c-mill")), unservable("in-a", Some("b-mill")), unservable("in-c", None),
        ];
        assert_eq!(unservable_routes(&table, &topology()), expected);
        assert_eq!(regions_without_zones(&table, &topology()), [Arc::from("c")]);
        assert!(table.has_residency());
    }

    // A deployment without restrictions, or of one region, is told that its routes cannot be served.
    routes_without_restrictions_are_servable => {
        let table = table(vec![route("any", Residency::anywhere())], &[("mill", Residency::anywhere())]);
        let topology = Topology::single_region("z".into());
        assert!(unservable_routes(&table, &topology).is_empty() && !table.has_residency());
    }
}
