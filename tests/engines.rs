//! Daemons as real processes before engines that load weights.

#[allow(dead_code, reason = "shared with the tests of residency")]
mod support;

use std::cmp::Reverse;

use borageshore_base::rendezvous_weight;
use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{PlatformEngine, PlatformStore, ProxyMode};
use serde_json::json;
use support::{Fleet, put_routes, route};

const MODEL: &str = "m0";
/// The least time between orders of two daemons to one engine; the daemons' `order_lease_ms`.
const LEASE_MS: u64 = 3_000;
/// Longer than a new holder waits for the lease of the one before it.
const BEHIND_CUT_MS: u64 = 5_000;
/// A holder has announced within this time that an order was carried out.
const REPORTED_MS: u64 = 1_000;
/// How long a daemon takes to hand over its duties once it is asked to stop.
const DRAIN_BEGINS_MS: u64 = 250;

fn engine(store: &PlatformStore, id: &str, clock: Clock) -> PlatformEngine {
    let engine = PlatformEngine::bind("llm", id, MODEL, 1, clock).unwrap();
    engine.set_zone("a1");
    engine.list(store, &engine.address().to_string(), "ready");
    engine
}

/// Publishes a version of the model, as its trainer does.
fn publish(store: &PlatformStore, version: u64) {
    let value = json!({ "model": MODEL, "version": version });
    let key = format!("version/{MODEL}");
    store.put("keyed.op", &key, value.to_string().as_bytes());
}

async fn wait_for_order(engine: &PlatformEngine, version: u64) {
    for _ in 0..1_000 {
        if engine.orders().iter().any(|order| order.version == version) {
            return;
        }
        sleep_ms(10).await;
    }
    panic!("no order for version {version} after 10 s");
}

/// The daemons in the order in which they hold the duties.
fn by_rank(daemons: usize) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..daemons).collect();
    ranked.sort_by_key(|number| Reverse(rendezvous_weight("orders", &format!("vm-{number}"))));
    ranked
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { run_event_loop($body); })*
    };
}

cases! {
    // A daemon that restarts while it is cut off from the store counts the takeover delay from its start, and orders an
    // engine right after another daemon whose orders it has not read.
    a_daemon_that_restarts_behind_a_cut_waits_for_the_lease_of_its_predecessor => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1", "a1", "a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[route("batch", "rollout", "llm", json!([]))], &[]);
        let engine = engine(store, "e-0", clock);
        let [first, second, _] = by_rank(3)[..] else { unreachable!() };
        fleet.wait_until_ready().await;
        publish(store, 2);
        wait_for_order(&engine, 2).await;
        fleet.kill(first);
        fleet.store_proxy(first).set_mode(ProxyMode::Silent);
        fleet.start(first);
        publish(store, 3);
        wait_for_order(&engine, 3).await;
        sleep_ms(BEHIND_CUT_MS).await;
        publish(store, 4);
        wait_for_order(&engine, 4).await;
        sleep_ms(REPORTED_MS).await;
        fleet.store_proxy(first).set_mode(ProxyMode::Pass);
        fleet.wait_until_ready().await;
        fleet.stop(second);
        sleep_ms(DRAIN_BEGINS_MS).await;
        publish(store, 5);
        wait_for_order(&engine, 5).await;
        let orders = engine.orders();
        for pair in orders.windows(2) {
            let apart_ms = pair[1].at_ms - pair[0].at_ms;
            assert!(pair[0].holder == pair[1].holder || apart_ms >= LEASE_MS, "{apart_ms} ms apart: {orders:?}");
        }
        let (new, old) = (&orders[orders.len() - 1].holder, format!("vm-{second}"));
        assert_ne!(*new, old, "nobody took over");
    };
}
