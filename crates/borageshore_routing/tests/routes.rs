//! The services of a route.

use borageshore_routing::{Route, RouteKind, RouteTarget};
use borageshore_topology::Residency;

fn route(targets: &[(&str, u64)]) -> Route {
    let target = |(service, weight): &(&str, u64)| RouteTarget {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Batch,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        max_attempts: 1,
        targets: targets.iter().map(target).collect(),
        retention_ms: 1_000,
        result_due_ms: None,
        is_single_version: false,
        is_public: false,
        residency: Residency::anywhere(),
    }
}

macro_rules! cases {
    ($($name:ident: $targets:expr;)*) => {
        $(
            // Guards against items that leave the queue again and again, as the service picked for them is not one that
            // the route sends to, and against items that wait for a service without a share.
            #[test]
            fn $name() {
                let targets: &[(&str, u64)] = $targets;
                let route = route(targets);
                let picked: Vec<&str> = (0..100).filter_map(|random| route.service_for(random).map(|picked| &**picked)).collect();
                for (service, _) in targets {
                    assert_eq!(route.sends_to(service), picked.contains(service), "{service}");
                }
                assert!(!route.sends_to("other"));
            }
        )*
    };
}

cases! {
    a_route_sends_to_its_service: &[("a", 1)];
    a_split_route_sends_to_all_its_services: &[("a", 3), ("b", 1)];
    a_service_without_a_share_gets_nothing: &[("a", 0), ("b", 2)];
    without_shares_the_first_service_gets_all: &[("a", 0), ("b", 0)];
    a_route_without_services_sends_nowhere: &[];
}
