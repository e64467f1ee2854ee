//! Calls to few endpoints that report how slow their VMs are.

use std::sync::Arc;

use borageshore_routing::{
    CallingDaemon, ChoiceRequest, Endpoint, EndpointListing, EndpointState, EndpointTable,
    LoadReport, choose_from_subset,
};
use borageshore_topology::{Residency, Topology};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ZONES: [&str; 3] = ["a", "b", "c"];
const SLOTS: u64 = 6;
const WORK_MS: u64 = 25;
const DAEMONS: usize = 60;

fn listing(number: usize) -> EndpointListing {
    EndpointListing {
        name: format!("e{number}").into(),
        service: "s".into(),
        zone: ZONES[number % ZONES.len()].into(),
        address: format!("127.0.0.1:{number}").into(),
        state: EndpointState::Live,
    }
}

fn table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.on_listing((0..count).map(listing).collect());
    table
}

fn report(requests: u64, slowdown_percent: Option<u64>) -> LoadReport {
    LoadReport {
        requests,
        slots: SLOTS,
        slowdown_percent,
    }
}

/// A table whose endpoints have reported these slowdowns at time 0.
fn reported(slowdowns_percent: &[u64]) -> EndpointTable {
    let mut table = table(slowdowns_percent.len());
    for (number, slowdown_percent) in slowdowns_percent.iter().enumerate() {
        let report = report(0, Some(*slowdown_percent));
        table.on_report(&format!("e{number}"), report, 0);
    }
    table
}

/// Chooses for a daemon in zone "a" with idle connections to some endpoints.
fn choose(
    table: &EndpointTable,
    idle: &[&str],
    tried: &[Arc<str>],
    now_ms: u64,
    random: &mut Pcg64Mcg,
) -> Arc<str> {
    let request = ChoiceRequest {
        service: "s",
        prefix: None,
        topology: &Topology::single_region("a".into()),
        residency: &Residency::anywhere(),
        tried,
    };
    let daemon = CallingDaemon {
        name: "vm-1",
        has_idle: |endpoint: &Endpoint| idle.contains(&&*endpoint.listing.name),
    };
    choose_from_subset(table, daemon, request, now_ms, random).expect("one is usable")
}

/// How often each of three endpoints is chosen in 300 choices without new reports.
fn shares(table: &EndpointTable, idle: &[&str], now_ms: u64) -> [usize; 3] {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut shares = [0; 3];
    for _ in 0..300 {
        let chosen = choose(table, idle, &[], now_ms, &mut random);
        shares[chosen[1..].parse::<usize>().unwrap()] += 1;
    }
    shares
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() $body)*
    };
}

cases! {
    // Guards against calls that wait on a VM that others use while endpoints in other zones are free.
    an_endpoint_on_a_slow_vm_is_left => {
        assert_eq!(shares(&reported(&[900, 100, 100]), &["e0"], 0)[0], 0);
    }

    // Guards against a herd: all daemons that have read the same reports turn to the same endpoint.
    equal_endpoints_share_what_a_slow_one_loses => {
        let [_, second, third] = shares(&reported(&[900, 100, 102]), &["e0"], 0);
        assert!(second.abs_diff(third) < 60, "{second} and {third}");
    }

    // Guards against an endpoint that is avoided for a slowdown of long ago.
    an_old_slowdown_no_longer_counts => {
        assert_eq!(shares(&reported(&[900, 100, 100]), &["e0"], 600), [300, 0, 0]);
    }

    // Guards against a connection for nearly each call: hundreds of daemons call few endpoints.
    an_idle_connection_in_the_own_zone_is_kept_to_until_others_are_clearly_better => {
        let mut table = reported(&[130, 100, 100]);
        assert_eq!(shares(&table, &["e0"], 0), [300, 0, 0]);
        table.on_report("e0", report(SLOTS, Some(130)), 0);
        assert_eq!(shares(&table, &["e0"], 0)[0], 0);
    }

    // Guards against a daemon that makes few calls and keeps to an endpoint that fails part of them.
    an_endpoint_that_fails_calls_is_left_for_a_while => {
        let mut table = reported(&[100, 100, 100]);
        for _ in 0..2 {
            table.on_start("e0");
            table.on_failure("e0", 0);
        }
        assert_eq!(shares(&table, &["e0"], 100)[0], 0);
        assert_eq!(shares(&table, &["e0"], 10_000), [300, 0, 0]);
    }

    a_retry_goes_to_an_endpoint_that_was_not_tried => {
        let (table, tried) = (reported(&[100, 900, 900]), [Arc::from("e0")]);
        let mut random = Pcg64Mcg::seed_from_u64(7);
        assert_ne!(&*choose(&table, &["e0"], &tried, 0, &mut random), "e0");
    }

    // Guards against other figures where no endpoint reports slowdowns: no connection is looked up, two are drawn.
    services_without_reported_slowdowns_are_chosen_from_as_before => {
        let mut table = table(3);
        table.on_report("e0", report(2, None), 0);
        let request = ChoiceRequest { service: "s", prefix: None, topology: &Topology::single_region("a".into()),
 residency: &Residency::anywhere(), tried: &[] };
        let daemon = CallingDaemon { name: "vm-1", has_idle: |_: &Endpoint| unreachable!("not asked") };
        let (mut one, mut other) = (Pcg64Mcg::seed_from_u64(7), Pcg64Mcg::seed_from_u64(7));
        for _ in 0..100 {
            let chosen = choose_from_subset(&table, daemon, request, 0, &mut one);
            assert_eq!(chosen, borageshore_routing::choose_endpoint(&table, request, 0, &mut other));
        }
    }

    // Guards against an engine that is always slow and passes for one that is slow for a moment, and the other way round.
    a_momentary_slowdown_is_told_from_a_lasting_one => {
        let mut table = reported(&[170]);
        let mut momentary_percent = |slowdown_percent: u64, now_ms: u64| {
            table.on_report("e0", report(0, Some(slowdown_percent)), now_ms);
            let endpoint = table.get("e0").unwrap();
            [0, 300, 600].map(|age_ms| endpoint.momentary_slowdown_percent(now_ms + age_ms))
        };
        for now_ms in 1..9 {
            assert_eq!(momentary_percent(170, now_ms), [100; 3]);
        }
        for now_ms in 9..13 {
            assert_eq!(momentary_percent(425, now_ms), [250, 175, 100]);
        }
        assert_eq!(momentary_percent(425, 13), [100; 3], "it lasts");
        assert_eq!(momentary_percent(170, 14), [100; 3], "never faster than usual");
    }

    // Guards against a cost that overflows, or an endpoint that attracts all calls, by one absurd report.
    an_absurd_slowdown_is_limited => {
        let mut table = reported(&[u64::MAX, 100, 100]);
        table.on_report("e0", report(1_000_000, Some(u64::MAX)), 0);
        assert_eq!(shares(&table, &[], 0)[0], 0);
    }

    // Guards against a service that counts as uneven, or no longer does, by endpoints that were replaced.
    a_restarted_endpoint_has_not_reported => {
        let mut table = reported(&[100, 100]);
        assert!(table.reports_slowdowns("s") && !table.reports_slowdowns("t"));
        table.on_unlisted("e0");
        table.on_report("e1", report(0, Some(120)), 1);
        assert!(table.reports_slowdowns("s"));
        let moved = EndpointListing { address: "127.0.0.1:9".into(), ..listing(1) };
        table.on_listed(moved);
        assert!(!table.reports_slowdowns("s"));
        assert!(table.on_report("e1", report(0, Some(120)), 2), "the first again");
        assert!(!table.on_report("e1", report(0, Some(120)), 2));
        assert!(table.reports_slowdowns("s"));
        table.on_start("e1");
        table.on_listing(vec![]);
        assert!(table.reports_slowdowns("s"), "a call is in flight to it");
        table.on_success("e1");
        assert!(!table.reports_slowdowns("s"));
    }
}

/// A call at an endpoint.
struct Running {
    daemon: usize,
    started_ms: u64,
    /// What is left of it in hundredths of a ms of an undisturbed VM.
    left: u64,
}

/// What callers of a simulated load get.
#[derive(Debug)]
struct Outcome {
    p95_ms: u64,
    connections: usize,
    longest_queue: usize,
}

/// Plays calls of `DAEMONS` daemons in three zones to three endpoints for 20 s, one of which is three times as slow for
/// half of each second, in turn.
fn play(is_reported: bool, calls_per_s: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut tables: Vec<EndpointTable> = (0..DAEMONS).map(|_| table(3)).collect();
    for table in &mut tables {
        for number in 0..3 {
            table.on_report(&format!("e{number}"), report(0, None), 0);
        }
    }
    let mut idle = vec![[0; 3]; DAEMONS];
    let mut endpoints: [Vec<Running>; 3] = Default::default();
    let (mut took_ms, mut connections, mut longest_queue) = (Vec::new(), 0, 0);
    for now_ms in 0..20_000 {
        let slow = (now_ms / 1_000 % 3) as usize;
        let slowdown_of = |number| match number == slow && now_ms % 1_000 < 500 {
            true => 300,
            false => 100,
        };
        if random.next_u64() % 1_000 < calls_per_s {
            let daemon = (random.next_u64() % DAEMONS as u64) as usize;
            let has_idle = |endpoint: &Endpoint| {
                let number: usize = endpoint.listing.name[1..].parse().unwrap();
                idle[daemon][number] > 0
            };
            let request = ChoiceRequest {
                service: "s",
                prefix: None,
                topology: &Topology::single_region(ZONES[daemon % 3].into()),
                residency: &Residency::anywhere(),
                tried: &[],
            };
            let name = format!("vm-{daemon}");
            let caller = CallingDaemon {
                name: &name,
                has_idle,
            };
            let chosen =
                choose_from_subset(&tables[daemon], caller, request, now_ms, &mut random).unwrap();
            tables[daemon].on_start(&chosen);
            let number: usize = chosen[1..].parse().unwrap();
            match idle[daemon][number] {
                0 => connections += 1,
                _ => idle[daemon][number] -= 1,
            }
            endpoints[number].push(Running {
                daemon,
                started_ms: now_ms,
                left: WORK_MS * 100,
            });
        }
        for (number, calls) in endpoints.iter_mut().enumerate() {
            let slowdown = slowdown_of(number);
            longest_queue = longest_queue.max(calls.len().saturating_sub(SLOTS as usize));
            for call in calls.iter_mut().take(SLOTS as usize) {
                call.left = call.left.saturating_sub(10_000 / slowdown);
            }
            let (done, left) = calls.drain(..).partition(|call| call.left == 0);
            *calls = left;
            let finished: Vec<Running> = done;
            for call in finished {
                let slowdown = is_reported.then_some(slowdown);
                let name = format!("e{number}");
                tables[call.daemon].on_report(&name, report(calls.len() as u64, slowdown), now_ms);
                tables[call.daemon].on_success(&name);
                idle[call.daemon][number] += 1;
                took_ms.push(now_ms - call.started_ms);
            }
        }
    }
    took_ms.sort_unstable();
    Outcome {
        p95_ms: took_ms[took_ms.len() * 95 / 100],
        connections,
        longest_queue,
    }
}

/// Guards against daemons that, all turning away from the slow endpoint at once, overload the others, and against more
/// connections for it. The load leaves a third of the slots free while one endpoint is slow.
#[test]
fn reported_slowdowns_spare_callers_without_a_herd() {
    let (blind, told) = (play(false, 300), play(true, 300));
    assert!(told.p95_ms < blind.p95_ms, "{told:?} against {blind:?}");
    assert!(
        told.connections < blind.connections,
        "{told:?} against {blind:?}"
    );
    assert!(
        told.longest_queue < blind.longest_queue,
        "{told:?} against {blind:?}"
    );
}
