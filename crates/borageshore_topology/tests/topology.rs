//! Distances between zones, and the regions that requests may be served in.

use std::sync::Arc;

use borageshore_topology::{Distance, Residency, Topology, directory_regions};

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn two_regions() -> Topology {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    Topology::open("a1".into(), zones.to_vec())
}

cases! {
    nearer_zones_come_first => {
        let topology = two_regions();
        let distances = ["a1", "a2", "b1", "elsewhere"].map(|zone| topology.distance_to(zone));
        let expected = [Distance::SameZone, Distance::SameRegion, Distance::OtherRegion, Distance::Unknown];
        assert_eq!(distances, expected);
        assert!(distances.is_sorted());
    }

    // Settings of a single region change nothing: no zone is farther away than another.
    settings_without_zones_have_one_region => {
        let topology = Topology::single_region("a1".into());
        assert_eq!(topology.distance_to("z9"), Distance::SameRegion);
        assert!(!topology.has_regions());
    }

    // A zone that the settings leave out is far away although there is no other region.
    an_unknown_zone_is_near_where_there_is_one_region => {
        let topology = Topology::open("a1".into(), vec![("a1".into(), "a".into()), ("a2".into(), "a".into())]);
        assert!(!topology.has_regions());
        assert_eq!(topology.distance_to("elsewhere"), Distance::SameRegion);
    }

    // A caller that names its region is sent elsewhere because its zone is new.
    a_region_is_as_near_as_its_zones => {
        let topology = two_regions();
        let distances = [Some("a"), Some("b"), Some("z"), None].map(|region| topology.region_distance(region, "a2"));
        let expected = [Distance::SameRegion, Distance::OtherRegion, Distance::OtherRegion, Distance::Unknown];
        assert_eq!(distances, expected);
    }

    // Data leaves its region by way of a zone of which nobody knows where it is.
    an_unknown_zone_is_in_no_allowed_region => {
        let topology = two_regions();
        let residency = Residency::within(names(&["a"]));
        assert!(topology.allows(&residency, "a2"));
        assert!(!topology.allows(&residency, "b1"));
        assert!(!topology.allows(&residency, "elsewhere"));
        assert!(topology.allows(&Residency::anywhere(), "elsewhere"));
    }

    // One of two restrictions is lost where both a route and an organisation have one.
    both_restrictions_hold => {
        let route = Residency::within(names(&["b", "a"]));
        let organisation = Residency::within(names(&["c", "b"]));
        assert_eq!(route.intersect(&organisation).regions(), Some(&names(&["b"])[..]));
        assert_eq!(route.intersect(&Residency::anywhere()), route);
        assert_eq!(Residency::anywhere().intersect(&route), route);
        let none = route.intersect(&Residency::within(names(&["c"])));
        assert!(none.is_empty() && none.is_restricted() && !none.allows(Some("a")));
    }

    // A request waits for its deadline although no zone of the deployment is in any region that it allows.
    regions_without_zones_serve_nothing => {
        let topology = two_regions();
        let served = |regions: &[&str]| topology.has_region_of(&Residency::within(names(regions)));
        assert!(served(&["b", "nowhere"]) && topology.has_region_of(&Residency::anywhere()));
        assert!(!served(&["nowhere"]) && !served(&[]));
        assert!(!Topology::single_region("a1".into()).has_region_of(&Residency::within(names(&["a"]))));
        let residency = Residency::within(names(&["nowhere", "b"]));
        assert_eq!(topology.regions_without_zones(&residency), names(&["nowhere"]));
    }

    // Callers send bodies to a region that is neither allowed nor theirs because the directory names it.
    callers_of_restricted_routes_are_sent_home => {
        let (a, ab, any) = (Residency::within(names(&["a"])), Residency::within(names(&["a", "b"])), Residency::anywhere());
        let regions = |routes: &[&Residency], caller: &str, ready: &[&str]| {
            directory_regions(routes.iter().copied(), Some(&caller.into()), &names(ready))
        };
        let within = |allowed: &[&str]| Residency::within(names(allowed));
        assert_eq!(regions(&[&any], "c", &["a"]), any);
        assert_eq!(regions(&[&a, &any], "c", &["a", "b", "c"]), within(&["c"]));
        assert_eq!(regions(&[&a, &any], "c", &["a", "b"]), within(&["a"]));
        assert_eq!(regions(&[&a, &ab], "c", &["a", "b"]), within(&["a"]));
        assert_eq!(regions(&[&a, &ab], "c", &["b"]), within(&["a", "b"]));
        assert_eq!(regions(&[&a], "c", &["b"]), any);
        assert_eq!(directory_regions([&a], None, &names(&["a", "b"])), within(&["a"]));
    }
}
