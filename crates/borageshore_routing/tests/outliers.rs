//! Outlier ejection under a constant rate of calls: endpoints that fail partly, intermittently or all at once.

use borageshore_routing::{
    ChoiceRequest, EndpointListing, EndpointState, EndpointTable, choose_endpoint,
};
use borageshore_topology::{Residency, Topology};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The time between two calls.
const CALL_INTERVAL_MS: u64 = 50;

/// A service of four endpoints. `fails` decides whether a call fails from the number of the endpoint, the
/// number of its call and the time.
struct Simulation<Fails> {
    table: EndpointTable,
    random: Pcg64Mcg,
    now_ms: u64,
    calls: [u64; 4],
    fails: Fails,
}

impl<Fails> Simulation<Fails>
where
    Fails: Fn(usize, u64, u64) -> bool,
{
    fn open(fails: Fails) -> Self {
        let mut table = EndpointTable::default();
        let listing = |number: usize| EndpointListing {
            name: format!("e{number}").into(),
            service: "s".into(),
            zone: "a".into(),
            address: "127.0.0.1:1".into(),
            state: EndpointState::Live,
        };
        table.on_listing((0..4).map(listing).collect());
        Self {
            table,
            random: Pcg64Mcg::seed_from_u64(7),
            now_ms: 0,
            calls: [0; 4],
            fails,
        }
    }

    /// Makes calls for `for_ms`; returns how many each endpoint received and how many failed.
    fn run(&mut self, for_ms: u64) -> ([u64; 4], u64) {
        let mut got = [0; 4];
        let mut failed = 0;
        for _ in 0..for_ms / CALL_INTERVAL_MS {
            self.now_ms += CALL_INTERVAL_MS;
            let request = ChoiceRequest {
                service: "s",
                prefix: None,
                topology: &Topology::single_region("a".into()),
                residency: &Residency::anywhere(),
                tried: &[],
            };
            let chosen = choose_endpoint(&self.table, request, self.now_ms, &mut self.random);
            let chosen = chosen.expect("half of a service is always usable");
            let number: usize = chosen[1..].parse().unwrap();
            self.calls[number] += 1;
            got[number] += 1;
            self.table.on_start(&chosen);
            if (self.fails)(number, self.calls[number], self.now_ms) {
                failed += 1;
                self.table.on_failure(&chosen, self.now_ms);
            } else {
                self.table.on_success(&chosen);
            }
        }
        (got, failed)
    }
}

// Guards against an endpoint with a high failure rate that never fails three times in a row and is healthy by
// its own report.
#[test]
fn an_endpoint_that_fails_two_of_five_loses_most_of_its_share() {
    let mut simulation =
        Simulation::open(|number, call, _| number == 0 && matches!(call % 5, 0 | 2));
    let (got, failed) = simulation.run(20_000);
    assert!(got[0] <= 40, "{got:?}");
    assert!(failed <= 20, "{failed}");
}

#[test]
fn an_endpoint_that_fails_now_and_then_keeps_its_share() {
    let mut simulation = Simulation::open(|number, call, _| number == 0 && call % 25 == 0);
    let (got, _) = simulation.run(20_000);
    assert!(got[0] >= 70, "{got:?}");
}

// Guards against keeping a recovered endpoint ejected for much longer than its failure lasted.
#[test]
fn an_endpoint_that_has_recovered_gets_its_share_back() {
    let mut simulation = Simulation::open(|number, call, now_ms| {
        number == 0 && now_ms < 6_500 && matches!(call % 5, 0 | 2)
    });
    simulation.run(16_500);
    let (got, failed) = simulation.run(10_000);
    assert_eq!(failed, 0);
    assert!(got[0] >= 30, "{got:?}");
}

// Each further failure period of an endpoint costs no more attempts than the ones before.
#[test]
fn an_endpoint_that_goes_down_and_up_gets_less_each_time() {
    let mut simulation =
        Simulation::open(|number, _, now_ms| number == 0 && now_ms / 1_400 % 2 == 0);
    let (_, first) = simulation.run(14_000);
    let (_, second) = simulation.run(14_000);
    assert!(first <= 16, "{first}");
    assert!(second <= first, "{second} after {first}");
}

// When all endpoints fail, the cause is likely on the daemon's side.
#[test]
fn half_of_the_endpoints_stay_in_use_when_all_fail() {
    let mut simulation = Simulation::open(|_, _, _| true);
    let (got, _) = simulation.run(5_000);
    assert_eq!(got.iter().sum::<u64>(), 100);
}
