//! Daemons as real processes before engines that load weights.

mod support;

use std::cmp::Reverse;

use borageshore_base::rendezvous_weight;
use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{
    EngineSwitches, PlatformEngine, PlatformStore, Proxy, ProxyMode,
};
use serde_json::{Value, json};
use support::{Fleet, put_routes, route};

const MODEL: &str = "m0";
/// The least time between orders of two daemons to one engine; the daemons' `order_lease_ms`.
const LEASE_MS: u64 = 3_000;
/// How long a new holder waits: the lease, and the time that an announced order takes to arrive.
const TAKEOVER_DELAY_MS: u64 = LEASE_MS + 800;
/// A daemon has started and loaded the announcements within this time.
const START_MS: u64 = 1_000;
/// Longer than a new holder waits for the lease of the one before it.
const BEHIND_CUT_MS: u64 = 5_000;
/// A holder has announced within this time that an order was carried out.
const REPORTED_MS: u64 = 1_000;
/// How long a daemon takes to hand over its duties once it is asked to stop.
const DRAIN_BEGINS_MS: u64 = 250;
/// A long text takes 3.6 s at this pace.
const SLOW_EVENT_MS: u64 = 60;
const LOAD_MS: u64 = 300;
/// Longer than three texts, one after the other, and the loads between them.
const RESULTS_WITHIN_MS: u64 = 15_000;
/// The texts that an engine generates at once.
const SLOTS: usize = 8;
/// How long a daemon takes to apply a record of the operator or of an endpoint.
const APPLY_MS: u64 = 400;
/// A daemon that starts gives no orders before it.
const FIRST_ORDERS_MS: u64 = 4_000;

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

/// An engine whose texts last for several loads of weights.
fn slow_engine(store: &PlatformStore, id: &str, clock: Clock) -> PlatformEngine {
    let engine = engine(store, id, clock);
    let timing = EngineSwitches {
        event_ms: SLOW_EVENT_MS,
        load_ms: LOAD_MS,
        ..engine.switches()
    };
    engine.set_switches(timing);
    engine
}

/// A route of trainers whose texts must come from one version each.
fn single_version_route() -> Value {
    let mut route = route("batch", "rollout", "llm", json!([]));
    route["single_version"] = json!(true);
    route
}

/// Submits items with long texts on a route, to the first daemon.
async fn submit(fleet: &Fleet, route: &str, id: &str, items: usize) {
    let item = |number: usize| {
        json!({
            "id": format!("long-{number}"), "path": format!("/{route}/x"), "num_tokens": 20, "group": "g", "body": "",
            "headers": { "X-Model": MODEL, "X-Token-Count": "10,10" },
        })
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    let body = json!({ "step": 1, "model": MODEL, "min_version": 1, "items": items }).to_string();
    let answer = fleet
        .request(0, "POST", &format!("/{route}/x"), id, body)
        .await;
    assert_eq!(answer.status, 202);
}

/// Waits for all results of a submission.
async fn results(fleet: &Fleet, id: &str, items: usize) -> Vec<Value> {
    let path = format!("/api/lots/{id}?after=0");
    for _ in 0..RESULTS_WITHIN_MS / 100 {
        let answer = fleet.request(0, "GET", &path, "read", String::new()).await;
        let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let results = page["results"].as_array().cloned().unwrap_or_default();
        if results.len() == items {
            return results;
        }
        sleep_ms(100).await;
    }
    panic!(
        "not all results in time; logs in {}",
        fleet.folder().display()
    );
}

/// Waits until all items of a submission are done; returns the versions of each.
async fn result_versions(fleet: &Fleet, id: &str, items: usize) -> Vec<Value> {
    let results = results(fleet, id, items).await;
    assert!(
        results.iter().all(|result| result["state"] == "done"),
        "{results:?}"
    );
    results
        .iter()
        .map(|result| result["versions"].clone())
        .collect()
}

async fn wait_for_runs(engine: &PlatformEngine, runs: usize) {
    for _ in 0..500 {
        let all = engine.runs();
        let begun = all.iter().filter(|run| run.events.len() > 3);
        if begun.count() >= runs {
            return;
        }
        sleep_ms(10).await;
    }
    panic!("fewer than {runs} texts have begun after 5 s");
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

    // After a stop of all daemons, a daemon that takes over the orders waits for more than the lease of the one that is
    // lost, or for ever.
    another_daemon_orders_soon_after_a_stop_of_all => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1", "a1", "a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[route("batch", "rollout", "llm", json!([]))], &[]);
        let engine = engine(store, "e-0", clock);
        let [first, second, third] = by_rank(3)[..] else { unreachable!() };
        fleet.wait_until_ready().await;
        publish(store, 2);
        wait_for_order(&engine, 2).await;
        sleep_ms(REPORTED_MS).await;
        for number in [first, second, third] {
            fleet.kill(number);
        }
        let started_at_ms = clock.now_ms();
        for number in [second, third] {
            fleet.start(number);
        }
        publish(store, 3);
        wait_for_order(&engine, 3).await;
        let orders = engine.orders();
        let [before, after] = &orders[..] else { panic!("{orders:?}") };
        assert_ne!(before.holder, after.holder);
        assert!(after.at_ms - before.at_ms >= LEASE_MS, "{orders:?}");
        let waited_ms = after.at_ms - started_at_ms;
        assert!(waited_ms <= START_MS + TAKEOVER_DELAY_MS, "{waited_ms}");
    };

    // Engines load weights while they generate texts of a route whose texts must come from one version, and the results
    // name two.
    texts_that_are_running_when_weights_load_keep_one_version => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[single_version_route()], &[]);
        let engines = ["e-0", "e-1"].map(|id| slow_engine(store, id, clock));
        fleet.wait_until_ready().await;
        sleep_ms(FIRST_ORDERS_MS).await;
        submit(&fleet, "batch", "s-1", 8).await;
        wait_for_runs(&engines[0], 2).await;
        publish(store, 2);
        let versions = result_versions(&fleet, "s-1", 8).await;
        assert!(engines.iter().any(|engine| !engine.orders().is_empty()), "nothing was loaded");
        assert!(versions.iter().all(|versions| *versions == json!([1]) || *versions == json!([2])), "{versions:?}");
    };

    // The only engine moves on to the next version, and the texts that it began wait for the one before for ever.
    texts_whose_version_is_gone_start_again => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[single_version_route()], &[]);
        let engine = slow_engine(store, "e-0", clock);
        fleet.wait_until_ready().await;
        sleep_ms(FIRST_ORDERS_MS).await;
        submit(&fleet, "batch", "s-1", 4).await;
        wait_for_runs(&engine, 4).await;
        publish(store, 2);
        let versions = result_versions(&fleet, "s-1", 4).await;
        assert_eq!(versions, vec![json!([2]); 4]);
        assert!(fleet.metrics(0).await.contains("outcome=\"restarted\""));
    };

    // The last engine of a version is lost while the others have the next one, and its texts wait for it for ever.
    texts_of_a_lost_engine_start_again_under_the_next_version => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[single_version_route()], &[]);
        let lost = slow_engine(store, "e-0", clock);
        let link = Proxy::bind(lost.address()).unwrap();
        lost.list(store, &link.address().to_string(), "ready");
        fleet.wait_until_ready().await;
        submit(&fleet, "batch", "s-1", 4).await;
        wait_for_runs(&lost, 4).await;
        let next = slow_engine(store, "e-1", clock);
        next.restart(2);
        next.list(store, &next.address().to_string(), "ready");
        link.close();
        let versions = result_versions(&fleet, "s-1", 4).await;
        assert_eq!(versions, vec![json!([2]); 4]);
    };

    // Texts that a submission on another route left unfinished, with events of two versions, go on where each must come
    // from one.
    stored_texts_of_two_versions_are_not_continued_under_one => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[single_version_route(), route("free", "rollout", "llm", json!([]))], &[]);
        let engine = slow_engine(store, "e-0", clock);
        fleet.wait_until_ready().await;
        sleep_ms(FIRST_ORDERS_MS).await;
        submit(&fleet, "free", "s-1", 4).await;
        wait_for_runs(&engine, 4).await;
        publish(store, 2);
        wait_for_order(&engine, 2).await;
        sleep_ms(LOAD_MS + 10 * SLOW_EVENT_MS).await;
        let ended = fleet.request(0, "DELETE", "/api/lots/s-1", "end", String::new()).await;
        assert_eq!(ended.status, 200);
        submit(&fleet, "batch", "s-2", 4).await;
        let versions = result_versions(&fleet, "s-2", 4).await;
        assert_eq!(versions, vec![json!([2]); 4]);
    };

    // Items that wait for a slot wait for the service that their route named when they began to, after the route has
    // moved to another one.
    waiting_items_follow_a_route_that_moves => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let store = &fleet.store;
        put_routes(store, 1, &[route("batch", "rollout", "llm", json!([]))], &[]);
        let before = slow_engine(store, "e-0", clock);
        let after = PlatformEngine::bind("next", "e-1", MODEL, 1, clock).unwrap();
        after.set_zone("a1");
        after.list(store, &after.address().to_string(), "ready");
        fleet.wait_until_ready().await;
        submit(&fleet, "batch", "s-1", SLOTS + 4).await;
        wait_for_runs(&before, SLOTS).await;
        put_routes(store, 2, &[route("batch", "rollout", "next", json!([]))], &[]);
        sleep_ms(APPLY_MS).await;
        before.list(store, &before.address().to_string(), "draining");
        let versions = result_versions(&fleet, "s-1", SLOTS + 4).await;
        assert_eq!(versions, vec![json!([1]); SLOTS + 4]);
        assert!(after.runs().len() >= 4, "{} texts at the service in force", after.runs().len());
    };

    // Items whose route names no service keep their daemon busy, which then serves nobody.
    items_of_a_route_without_services_are_given_up => async {
        let fleet = Fleet::open(&["a1"]).await;
        let mut batch = route("batch", "rollout", "llm", json!([]));
        batch["retention_s"] = json!(6);
        batch["service"] = json!(null);
        put_routes(&fleet.store, 1, &[batch], &[]);
        let clock = Clock::start();
        let _engine = engine(&fleet.store, "e-0", clock);
        fleet.wait_until_ready().await;
        submit(&fleet, "batch", "s-1", 4).await;
        sleep_ms(APPLY_MS).await;
        let asked_at_ms = clock.now_ms();
        fleet.request(0, "GET", "/api/lots/s-1?after=0", "read", String::new()).await;
        let took_ms = clock.now_ms() - asked_at_ms;
        assert!(took_ms < APPLY_MS, "a read took {took_ms} ms");
        let results = results(&fleet, "s-1", 4).await;
        assert!(results.iter().all(|result| result["state"] == "dead_lettered"), "{results:?}");
    };

    // Items that wait for a service without engines have no result after the retention period.
    items_that_never_ran_have_a_result_after_the_retention_period => async {
        let fleet = Fleet::open(&["a1"]).await;
        let mut batch = route("batch", "rollout", "llm", json!([]));
        batch["retention_s"] = json!(2);
        put_routes(&fleet.store, 1, &[batch], &[]);
        let _engine = engine(&fleet.store, "e-0", Clock::start());
        fleet.wait_until_ready().await;
        fleet.store.put("keyed.servers", "e-0", b"");
        sleep_ms(APPLY_MS).await;
        submit(&fleet, "batch", "s-1", 4).await;
        let results = results(&fleet, "s-1", 4).await;
        assert!(results.iter().all(|result| result["state"] == "dead_lettered"), "{results:?}");
    };
}
