//! Choice, ejection, admission, subsets and the attempt chart.

use std::sync::Arc;

use borageshore_base::SortedMap;
use borageshore_routing::{
    Admission, AdmissionDecision, AdmissionLimits, AttemptEvent, AttemptState, CallingDaemon,
    ChoiceRequest, Endpoint, EndpointListing, EndpointState, EndpointTable, LoadReport,
    RetryBudget, Ticket, Workload, attempt_chart, choose_endpoint, choose_from_subset, subset_of,
};
use borageshore_topology::{Residency, Topology};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn listing(number: usize, zone: &str) -> EndpointListing {
    EndpointListing {
        name: format!("e{number:03}").into(),
        service: "s".into(),
        zone: zone.into(),
        address: "127.0.0.1:1".into(),
        state: EndpointState::Live,
    }
}

fn table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.on_listing((0..count).map(|number| listing(number, "a")).collect());
    table
}

fn calling(name: &str) -> CallingDaemon<'_, fn(&Endpoint) -> bool> {
    CallingDaemon {
        name,
        has_idle: |_| false,
    }
}

fn choices(table: &EndpointTable, prefix: Option<&str>, now_ms: u64) -> Vec<Arc<str>> {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let request = ChoiceRequest {
        service: "s",
        prefix,
        topology: &Topology::single_region("a".into()),
        residency: &Residency::anywhere(),
        tried: &[],
    };
    (0..200)
        .filter_map(|_| choose_endpoint(table, request, now_ms, &mut random))
        .collect()
}

fn ticket(id: u64, importance: u64, workload: Workload) -> Ticket {
    Ticket {
        id,
        node: "n".into(),
        importance,
        workload,
        deadline_ms: 1_000,
    }
}

fn admission(slots: u64, training_slots: u64) -> Admission {
    Admission::open(AdmissionLimits {
        slots,
        training_slots,
        queue_limit_requests: 4,
    })
}

cases! {
    chart_answers_every_event_in_every_state: {
        use AttemptEvent::{Answered, Connected as Opened, Expired, Lost, Refused, Sent, Start};
        use AttemptState::{Connected, Connecting, Done, HandedOver, NotRun, Unknown, Waiting};
        let states = [Waiting, Connecting, Connected, HandedOver, NotRun, Unknown, Done];
        let events = [Start, Opened, Sent, Refused, Answered, Lost, Expired];
        assert_eq!(attempt_chart().missing_transitions(&states, &events), []);
    };

    // An endpoint of a leaving VM gets no new work and keeps its running requests.
    leaving_endpoint_gets_nothing_new: {
        let mut table = table(3);
        table.on_start("e001");
        table.on_listing(vec![
            listing(0, "a"),
            EndpointListing { state: EndpointState::Leaving, ..listing(1, "a") },
        ]);
        assert!(choices(&table, None, 0).iter().all(|name| &**name == "e000"));
        assert!(table.get("e001").is_some(), "it still has a request of ours");
        assert!(table.get("e002").is_none());
    };

    // An endpoint is ejected after three consecutive failures and returns after the ejection.
    failing_endpoint_is_ejected_for_a_while: {
        let mut table = table(4);
        for _ in 0..3 {
            table.on_start("e000");
            table.on_failure("e000", 0);
        }
        assert!(!choices(&table, None, 1_000).contains(&"e000".into()));
        assert!(choices(&table, None, 3_000).contains(&"e000".into()));
    };

    // Guards against ejecting all endpoints when the daemon's own link is the cause of the failures.
    at_most_half_of_the_endpoints_are_ejected: {
        let mut table = table(4);
        for name in ["e000", "e001", "e002", "e003"] {
            for _ in 0..3 {
                table.on_start(name);
                table.on_failure(name, 0);
            }
        }
        assert_eq!(table.usable("s", 1).count(), 2);
    };

    // Requests with the same prefix go to one endpoint until its load outweighs the cached prefix.
    prefix_affinity_is_bounded: {
        let mut table = table(4);
        for number in 0..4 {
            table.on_report(&format!("e{number:03}"), LoadReport { requests: 0, slots: 4, slowdown_percent: None }, 0);
        }
        let first = choices(&table, Some("p"), 0);
        assert!(first.iter().all(|name| *name == first[0]));
        for _ in 0..4 {
            table.on_start(&first[0]);
        }
        assert!(choices(&table, Some("p"), 0).iter().any(|name| *name != first[0]));
    };

    // Guards against a retry storm when every request fails.
    retries_are_a_share_of_requests: {
        let mut budget = RetryBudget::open(20);
        let retries = (0..1_000).filter(|_| {
            budget.on_request();
            budget.try_retry()
        });
        let retries = retries.count();
        assert!((200..=210).contains(&retries), "{retries}");
    };

    // A later request of higher importance starts before earlier ones of lower importance.
    higher_importance_starts_first: {
        let mut admission = admission(1, 0);
        assert_eq!(admission.offer(ticket(1, 10, Workload::Live)), AdmissionDecision::Start);
        assert_eq!(admission.offer(ticket(2, 10, Workload::Live)), AdmissionDecision::Queued);
        assert_eq!(admission.offer(ticket(3, 90, Workload::Live)), AdmissionDecision::Queued);
        admission.finish(Workload::Live, 10);
        assert_eq!(admission.start_next().map(|ticket| ticket.id), Some(3));
    };

    // Guards against live requests taking the slots that are reserved for training.
    training_keeps_its_minimum: {
        let mut admission = admission(4, 1);
        for id in 0..6 {
            admission.offer(ticket(id, 90, Workload::Live));
        }
        assert_eq!(admission.running(Workload::Live), 3);
        assert_eq!(admission.offer(ticket(9, 10, Workload::Training)), AdmissionDecision::Start);
        assert_eq!(admission.offer(ticket(10, 10, Workload::Training)), AdmissionDecision::Queued);
    };

    // A full queue refuses a request at once and says when to retry.
    full_queue_refuses_at_once: {
        let mut admission = admission(1, 0);
        for id in 0..5 {
            admission.offer(ticket(id, 10, Workload::Live));
        }
        let refused = admission.offer(ticket(6, 10, Workload::Live));
        assert!(matches!(refused, AdmissionDecision::Refused { retry_after_ms } if retry_after_ms > 0));
        assert_eq!(admission.expire(1_000).len(), 4);
    };

    // Each endpoint is observed by `observers` daemons, the shares are even, and a daemon that joins moves
    // few endpoints.
    large_deployment_is_split_evenly: {
        let listed: Vec<EndpointListing> = (0..480).map(|number| listing(number, "a")).collect();
        let names: Vec<String> = (0..28).map(|number| format!("vm-{number}")).collect();
        let peers: Vec<&str> = names.iter().map(String::as_str).collect();
        let share = |own: &str, peers: &[&str]| subset_of(listed.clone(), own, "a", peers, 8);
        let sizes: Vec<usize> = peers[..27].iter().map(|own| share(own, &peers[..27]).len()).collect();
        assert_eq!(sizes.iter().sum::<usize>(), 480 * 8);
        assert!(sizes.iter().all(|size| (100..190).contains(size)), "{sizes:?}");
        let (before, after) = (share("vm-0", &peers[..27]), share("vm-0", &peers));
        let kept = before.iter().filter(|listing| after.contains(listing)).count();
        assert!(kept * 100 >= before.len() * 90, "{kept} of {}", before.len());
    };
}

/// Guards against a daemon that opens a connection for nearly each call to a large service, and against endpoints that no
/// daemon calls.
#[test]
fn daemons_call_small_subsets_that_cover_a_large_service() {
    let mut large = EndpointTable::default();
    let zone = |number: usize| ["a", "b", "c", "d", "e"][number % 5];
    let listings = (0..1_000).map(|number| listing(number, zone(number)));
    large.on_listing(listings.collect());
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut called = SortedMap::<Arc<str>, usize>::default();
    for daemon in 0..1_000 {
        let own = format!("vm-{daemon}");
        let request = ChoiceRequest {
            service: "s",
            prefix: None,
            topology: &Topology::single_region(zone(daemon).into()),
            residency: &Residency::anywhere(),
            tried: &[],
        };
        let mut of_daemon: Vec<Arc<str>> = (0..100)
            .filter_map(|_| choose_from_subset(&large, calling(&own), request, 0, &mut random))
            .collect();
        for chosen in &of_daemon {
            *called.get_or_insert_with(chosen.clone(), || 0) += 1;
        }
        of_daemon.sort_unstable();
        of_daemon.dedup();
        assert!(of_daemon.len() <= 32);
    }
    assert_eq!(called.len(), 1_000, "every endpoint is called");
    let most = called.values().max();
    assert!(most < Some(&300), "{most:?} of 100 calls on average");
}

/// Guards against calls that queue at a full subset while other endpoints are free.
#[test]
fn a_full_subset_is_left() {
    let mut large = table(200);
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let request = ChoiceRequest {
        service: "s",
        prefix: None,
        topology: &Topology::single_region("a".into()),
        residency: &Residency::anywhere(),
        tried: &[],
    };
    let mut chosen = Vec::new();
    for _ in 0..150 {
        let endpoint =
            choose_from_subset(&large, calling("vm-1"), request, 0, &mut random).unwrap();
        large.on_start(&endpoint);
        chosen.push(endpoint);
    }
    chosen.sort_unstable();
    chosen.dedup();
    assert!(
        chosen.len() > 64,
        "{} endpoints for 150 calls with one slot each",
        chosen.len()
    );
}
