//! Daemons in two regions as real processes: nothing of a restricted request reaches the other region, also under faults.

mod support;

use std::collections::BTreeSet;

use base64::{Engine as _, prelude::BASE64_STANDARD};
use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{
    EngineSwitches, PlainSwitches, PlatformEngine, PlatformService, PlatformStore, ProxyMode,
    RecordedRun,
};
use serde_json::{Value, json};
use support::{Answer, Fleet, HOST, Spy, put_routes, route};

const MODEL: &str = "m0";
/// How long a daemon takes to apply a record of the operator or of an endpoint.
const APPLY_MS: u64 = 400;

fn list(store: &PlatformStore, id: &str, entry: Value) {
    let mut listed =
        json!({ "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1 });
    let fields = listed.as_object_mut().expect("a table");
    fields.extend(entry.as_object().expect("a table").clone());
    store.put("keyed.servers", id, listed.to_string().as_bytes());
}

fn service(store: &PlatformStore, id: &str, zone: &str, clock: Clock) -> PlatformService {
    let service = PlatformService::bind("app", id, clock).unwrap();
    list(
        store,
        id,
        json!({ "service": "app", "address": service.address().to_string(), "zone": zone }),
    );
    service
}

fn engine(store: &PlatformStore, id: &str, zone: &str, clock: Clock) -> PlatformEngine {
    let engine = PlatformEngine::bind("llm", id, MODEL, 1, clock).unwrap();
    list_engine(store, &engine, id, zone, "ready");
    engine
}

fn list_engine(store: &PlatformStore, engine: &PlatformEngine, id: &str, zone: &str, state: &str) {
    let entry = json!({
        "service": "llm", "address": engine.address().to_string(), "zone": zone, "stage": "both",
        "state": state, "born": engine.started_at_ms(),
        "models": [{ "name": MODEL, "version": 1, "adapters": [] }],
    });
    list(store, id, entry);
}

/// A submission of items with reward calls, whose names and bodies contain `mark`.
fn submission(mark: &str) -> String {
    let item = |number: usize| {
        json!({
            "id": format!("{mark}-{number}"), "path": "/batch/x", "num_tokens": 20, "group": "g",
            "headers": { "X-Model": MODEL, "X-Token-Count": "10,10" },
            "body": BASE64_STANDARD.encode(format!("{mark} body")),
            "scorer": { "id": format!("{mark}-score-{number}"), "host": HOST, "path": "/score/x", "body": "" },
        })
    };
    let items: Vec<Value> = (0..6).map(item).collect();
    json!({ "step": 1, "model": MODEL, "min_version": 1, "items": items }).to_string()
}

/// Routes for submissions and for their reward calls, which endpoints in region `a` serve.
fn batch_routes(allowed_regions: Value) -> [Value; 2] {
    [
        route("batch", "rollout", "llm", allowed_regions),
        route("score", "safe", "app", json!(["a"])),
    ]
}

async fn submit(fleet: &Fleet, daemon: usize, id: &str, route: &str, mark: &str) -> Answer {
    let path = format!("/{route}/x");
    fleet
        .request(daemon, "POST", &path, id, submission(mark))
        .await
}

async fn result_count(fleet: &Fleet, daemon: usize, id: &str) -> Option<usize> {
    let path = format!("/api/lots/{id}?after=0");
    let answer = fleet
        .request(daemon, "GET", &path, "read", String::new())
        .await;
    let page: Value = serde_json::from_slice(&answer.body).ok()?;
    page["results"]
        .as_array()
        .map(Vec::len)
        .filter(|_| answer.status == 200)
}

/// Waits until a daemon shows a number of results.
async fn wait_for_results(fleet: &Fleet, daemon: usize, id: &str, count: usize) {
    for _ in 0..150 {
        if result_count(fleet, daemon, id).await == Some(count) {
            return;
        }
        sleep_ms(100).await;
    }
    panic!(
        "{id}: not all results after 15 s; logs in {}",
        fleet.folder().display()
    );
}

/// Waits until a daemon holds a submission; returns its number.
async fn wait_for_holder(fleet: &Fleet, id: &str) -> usize {
    for _ in 0..100 {
        if let Some(holder) = fleet.holder_of(id) {
            return holder;
        }
        sleep_ms(100).await;
    }
    panic!(
        "{id}: nobody holds it after 10 s; logs in {}",
        fleet.folder().display()
    );
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { run_event_loop($body); })*
    };
}

cases! {
    // A retry or a hedge of a call leaves the allowed regions, or goes out under routes that were replaced meanwhile.
    calls_stay_in_the_allowed_regions => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["b1"]).await;
        let store = &fleet.store;
        let inside = ["s-1", "s-2"].map(|id| service(store, id, "a1", clock));
        let outside = service(store, "s-3", "b1", clock);
        let elsewhere = service(store, "s-4", "nowhere", clock);
        let organisation = json!({ "name": "mill", "api_keys": [support::KEY], "allowed_regions": ["a", "c"] });
        let routes = [route("home", "safe", "app", json!(["a", "b"])), route("free", "safe", "app", json!([]))];
        put_routes(store, 1, &routes, &[organisation]);
        fleet.wait_until_ready().await;
        for (switches, calls) in [
            (PlainSwitches { work_ms: 5, lose_every: 0, wrong_id_every: 0 }, 10),
            // Each is hedged.
            (PlainSwitches { work_ms: 150, lose_every: 0, wrong_id_every: 0 }, 6),
            // Some are repeated.
            (PlainSwitches { work_ms: 5, lose_every: 0, wrong_id_every: 2 }, 10),
        ] {
            inside.iter().for_each(|service| service.set_switches(switches));
            for number in 0..calls {
                let id = format!("c-{}-{number}", switches.work_ms + switches.wrong_id_every);
                fleet.request(0, "POST", "/home/x", &id, "body".into()).await;
            }
        }
        let runs: usize = inside.iter().map(|service| service.runs().values().map(Vec::len).sum::<usize>()).sum();
        assert!(runs > 26, "neither hedged nor repeated: {runs}");
        assert!(outside.runs().is_empty() && elsewhere.runs().is_empty());
    };

    // A hedge or a retry goes out under routes that were replaced while the call ran.
    calls_follow_routes_that_change_while_they_run => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["b1"]).await;
        let store = &fleet.store;
        let inside = ["s-1", "s-2"].map(|id| service(store, id, "a1", clock));
        let outside = service(store, "s-3", "b1", clock);
        let routes = |region: &str| {
            let mut home = route("home", "safe", "app", json!([region]));
            // The hedge is due long after the routes have changed.
            home["target_latency_ms"] = json!(1_000);
            [home]
        };
        put_routes(store, 1, &routes("a"), &[]);
        fleet.wait_until_ready().await;
        let lost = PlainSwitches { work_ms: 5, lose_every: 1, wrong_id_every: 0 };
        inside.iter().for_each(|service| service.set_switches(lost));
        let changed = async {
            sleep_ms(20).await;
            put_routes(store, 2, &routes("b"), &[]);
        };
        let call = fleet.request(0, "POST", "/home/x", "first", "body".into());
        monoio::join!(call, changed);
        let sent = |service: &PlatformService| service.runs().get("first").map_or(0, Vec::len);
        assert_eq!((inside.iter().map(sent).sum::<usize>(), sent(&outside)), (1, 0));
        assert_eq!(fleet.request(0, "POST", "/home/x", "second", "body".into()).await.status, 200);
        assert!(outside.runs().contains_key("second"));
    };

    // A request that nothing may serve is held until its deadline, or is refused for a reason that sends operators
    // looking for lost endpoints. One malformed restriction keeps all routes from coming into force.
    requests_that_nothing_may_serve_are_refused_at_once => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["b1"]).await;
        let store = &fleet.store;
        let outside = service(store, "s-1", "b1", clock);
        let routes = [
            route("none", "safe", "app", json!(["a"])), route("gone", "safe", "app", json!(["nowhere"])),
            route("bad", "safe", "app", json!(7)), route("apart", "batch", "llm", json!(["a"])),
            route("free", "safe", "app", json!(null)),
        ];
        let organisation = json!({ "name": "mill", "api_keys": [support::KEY], "allowed_regions": [] });
        put_routes(store, 1, &routes, &[organisation]);
        fleet.wait_until_ready().await;
        for (name, code) in [("none", "BS-4013"), ("gone", "BS-4012"), ("bad", "BS-4012")] {
            let started_at_ms = clock.now_ms();
            let answer = fleet.request(0, "POST", &format!("/{name}/x"), name, "body".into()).await;
            assert_eq!((answer.status, answer.code().as_str()), (503, code), "{name}");
            assert!(clock.now_ms() < started_at_ms + 500, "{name}");
        }
        assert_eq!(fleet.request(0, "POST", "/free/x", "free", "body".into()).await.status, 200);
        assert_eq!(outside.runs().keys().collect::<Vec<_>>(), ["free"]);
        let metrics = fleet.metrics(0).await;
        let mut gauges = metrics.lines().filter(|line| line.contains("routes_without_region"));
        assert!(gauges.next().is_some_and(|line| line.ends_with(" 2")), "{metrics}");
        // The organisation is restricted to another region than the route: a submission is refused as well.
        let organisation = json!({ "name": "mill", "api_keys": [support::KEY], "allowed_regions": ["b"] });
        put_routes(store, 2, &routes, &[organisation]);
        sleep_ms(APPLY_MS).await;
        let answer = submit(&fleet, 0, "sub", "apart", "secret").await;
        assert_eq!((answer.status, answer.code().as_str()), (503, "BS-4012"));
        assert_eq!(store.key_count("keyed.index"), 0);
    };

    // The successor of a daemon that ran a restricted submission is outside, a daemon outside reads its records to answer
    // its caller, or its items go to a free engine outside.
    submissions_stay_inside_when_their_owner_dies => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1", "a2", "b1"]).await;
        let store = &fleet.store;
        let (inside, outside) = (engine(store, "e-1", "a1", clock), engine(store, "e-2", "b1", clock));
        inside.set_switches(EngineSwitches { event_ms: 40, ..inside.switches() });
        let _scorer = service(store, "s-1", "a1", clock);
        put_routes(store, 1, &batch_routes(json!(["a"])), &[]);
        fleet.wait_until_ready().await;
        assert_eq!(submit(&fleet, 2, "step", "batch", "secret").await.status, 202);
        let first = wait_for_holder(&fleet, "step").await;
        fleet.kill(first);
        wait_for_results(&fleet, 2, "step", 6).await;
        let body = fleet.request(2, "GET", "/api/items/step?id=secret-0", "body", String::new()).await;
        assert_eq!((body.status, &*body.body), (200, &b"secret body"[..]));
        assert_eq!(fleet.request(2, "DELETE", "/api/lots/step", "end", String::new()).await.status, 200);
        assert!(first < 2 && outside.runs().is_empty() && !inside.runs().is_empty());
        let log = fleet.log(2);
        assert!(!log.contains("submission loaded") && !log.contains("submission taken over"), "{log}");
        assert!(fleet.log(1 - first).contains("submission taken over"));
        // Restricted records are in topics that no daemon outside reads.
        assert!(store.key_count("keyed.batch-in-") > 0);
        assert_eq!(store.key_count("keyed.batch-"), store.key_count("keyed.batch-in-"));
        // Callers of the host are sent home, or stay where they are.
        let home: BTreeSet<String> = [fleet.front(1 - first)].into();
        assert_eq!(fleet.resolve(2, "c", "c1").await, home);
        assert_eq!(fleet.resolve(2, "b", "b1").await, [fleet.front(2)].into());
    };

    // An item goes on outside when its engine leaves or crashes, or moves there because engines outside are faster; or a
    // reward call is repeated outside.
    items_and_reward_calls_stay_inside => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1", "b1"]).await;
        let store = &fleet.store;
        let inside = ["e-1", "e-2"].map(|id| engine(store, id, "a1", clock));
        for engine in &inside {
            engine.set_switches(EngineSwitches { event_ms: 80, cut_every: 3, ..engine.switches() });
        }
        let outside = ["e-3", "e-4"].map(|id| engine(store, id, "b1", clock));
        let scorers = [service(store, "s-1", "a1", clock), service(store, "s-2", "b1", clock)];
        scorers[0].set_switches(PlainSwitches { work_ms: 5, lose_every: 0, wrong_id_every: 7 });
        let mut routes = batch_routes(json!(["a"])).to_vec();
        routes.push(route("free", "rollout", "llm", json!([])));
        put_routes(store, 1, &routes, &[]);
        fleet.wait_until_ready().await;
        // Shows how fast the engines outside are.
        assert_eq!(submit(&fleet, 0, "free", "free", "public").await.status, 202);
        assert_eq!(submit(&fleet, 0, "step", "batch", "secret").await.status, 202);
        sleep_ms(500).await;
        inside[0].restart(1);
        list_engine(store, &inside[0], "e-1", "a1", "draining");
        wait_for_results(&fleet, 0, "step", 6).await;
        let is_restricted = |run: &RecordedRun| run.item.starts_with("secret");
        let resumed = |run: &RecordedRun| is_restricted(run) && run.after_event > 0;
        assert!(inside[1].runs().iter().any(resumed));
        assert!(!outside.iter().any(|engine| engine.runs().iter().any(is_restricted)));
        assert!(outside.iter().any(|engine| !engine.runs().is_empty()));
        assert!(scorers[0].runs().len() >= 6 && scorers[1].runs().is_empty());
    };

    // A submission is lost, or run outside, while no daemon inside is there.
    submissions_wait_for_a_daemon_inside => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1", "b1"]).await;
        let store = &fleet.store;
        let (inside, outside) = (engine(store, "e-1", "a1", clock), engine(store, "e-2", "b1", clock));
        let _scorer = service(store, "s-1", "a1", clock);
        put_routes(store, 1, &batch_routes(json!(["a"])), &[]);
        fleet.wait_until_ready().await;
        fleet.kill(0);
        assert_eq!(submit(&fleet, 1, "step", "batch", "secret").await.status, 202);
        sleep_ms(4_000).await;
        let read = fleet.request(1, "GET", "/api/lots/step?after=0", "read", String::new()).await;
        assert_eq!((read.status, read.code().as_str()), (503, "BS-5009"));
        let metrics = fleet.metrics(1).await;
        let waits = |line: &&str| line.contains("submissions_waiting_for_residency") && line.contains("llm");
        let waiting = metrics.lines().find(waits).unwrap_or_else(|| panic!("{metrics}"));
        assert!(waiting.ends_with(" 1"), "{waiting}");
        assert!(inside.runs().is_empty() && outside.runs().is_empty());
        fleet.start(0);
        wait_for_results(&fleet, 1, "step", 6).await;
        assert!(outside.runs().is_empty());
    };

    // The routes become narrower while a submission runs, and its owner, now outside, goes on.
    an_owner_that_is_outside_now_gives_up => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1", "b1"]).await;
        let store = &fleet.store;
        let engines = [engine(store, "e-1", "a1", clock), engine(store, "e-2", "b1", clock)];
        for engine in &engines {
            engine.set_switches(EngineSwitches { event_ms: 150, ..engine.switches() });
        }
        let _scorer = service(store, "s-1", "a1", clock);
        put_routes(store, 1, &batch_routes(json!([])), &[]);
        fleet.wait_until_ready().await;
        assert_eq!(submit(&fleet, 0, "step", "batch", "secret").await.status, 202);
        let first = wait_for_holder(&fleet, "step").await;
        let (region, other) = [("b", 1), ("a", 0)][first];
        put_routes(store, 2, &batch_routes(json!([region])), &[]);
        sleep_ms(APPLY_MS).await;
        let narrowed_at_ms = clock.now_ms();
        wait_for_results(&fleet, first, "step", 6).await;
        let late = |run: &RecordedRun| run.at_ms > narrowed_at_ms;
        assert!(!engines[first].runs().iter().any(late));
        assert!(fleet.log(other).contains("submission taken over"));
    };

    // A daemon that the store turns away passes a restricted body to a peer outside: the submission itself, or the call
    // that stores it. The caller waits for peers that may not help.
    bodies_pass_no_peer_outside => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let store = &fleet.store;
        let _engine = engine(store, "e-1", "a1", clock);
        let routes = [
            route("batch", "rollout", "llm", json!(["a"])), route("free", "rollout", "llm", json!([])),
        ];
        put_routes(store, 1, &routes, &[]);
        let spy = Spy::open(store, "vm-spy", "b1");
        fleet.wait_until_ready().await;
        sleep_ms(APPLY_MS).await;
        fleet.store_proxy(0).set_mode(ProxyMode::Busy);
        sleep_ms(2_500).await;
        let started_at_ms = clock.now_ms();
        let refused = submit(&fleet, 0, "restricted", "batch", "secret").await;
        let took_ms = clock.now_ms() - started_at_ms;
        assert_eq!(refused.status, 503, "{}", refused.code());
        assert!(took_ms < 1_500, "{took_ms}");
        assert!(!spy.has_seen("secret"));
        // The same without a restriction goes through the peer.
        assert_eq!(submit(&fleet, 0, "free", "free", "public").await.status, 202);
        assert!(spy.has_seen("public") && !spy.has_seen("secret"));
    };
}
