//! Reads of submissions while the store drops records that a daemon has not read.

mod support;

use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::{
    EngineSwitches, PlatformEngine, PlatformStore, ProxyMode, StoreMode,
};
use serde_json::{Value, json};
use support::{Answer, Fleet, put_routes, route};

const MODEL: &str = "m0";
/// Long enough for an item to start, and shorter than its run.
const RUN_MS: u64 = 700;
/// The topics of submissions.
const TOPICS: &str = "keyed.batch-";
/// The age of a view that is read again before it answers, shorter than a read that waits for records.
const VIEW_AGE_MS: u64 = 700;
/// The delay of that read's answer, and when its records are dropped.
const SLOW_MS: u64 = 400;
const DROP_AFTER_MS: u64 = 150;
/// A daemon that the store resets makes its calls through peers within this time.
const CUT_OFF_MS: u64 = 1_500;

fn submission() -> String {
    let item = json!({
        "id": "item", "path": "/batch/x", "num_tokens": 20, "group": "g", "body": "Ym9keQ==",
        "headers": { "X-Model": MODEL, "X-Token-Count": "10,10" },
    });
    json!({ "step": 1, "model": MODEL, "min_version": 1, "items": [item] }).to_string()
}

fn list_engine(store: &PlatformStore, address: &str, started_at_ms: u64) {
    let entry = json!({
        "service": "llm", "address": address, "zone": "a1", "version": "v1", "slots": 6, "stage": "both",
        "state": "ready", "cold_left_ms": 0, "seq": 1, "born": started_at_ms,
        "models": [{ "name": MODEL, "version": 1, "adapters": [] }],
    });
    store.put("keyed.servers", "e-1", entry.to_string().as_bytes());
}

/// Reads from a daemon that misses records of the store while it answers.
async fn read_beside_a_gap(fleet: &Fleet, path: &str) -> Answer {
    fleet.request(0, "GET", path, "read", String::new()).await;
    fleet.store.append_to_all(TOPICS);
    sleep_ms(VIEW_AGE_MS).await;
    fleet.store.set_mode(StoreMode::Slow(SLOW_MS));
    let read = fleet.request(0, "GET", path, "read", String::new());
    let drop_unread = async {
        sleep_ms(DROP_AFTER_MS).await;
        fleet.store.set_mode(StoreMode::Up);
        fleet.store.append_to_all(TOPICS);
        fleet.store.drop_history();
    };
    let (answer, ()) = monoio::join!(read, drop_unread);
    answer
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { run_event_loop($body); })*
    };
}

/// Names that a trainer may give a submission, and how a client writes them into a path.
const NAMES: [(&str, &str); 5] = [
    ("step+1", "step+1"),
    ("step+2", "step%2B2"),
    ("step%411", "step%25411"),
    ("step#1", "step%231"),
    ("step?1=2", "step%3F1%3D2"),
];

cases! {
    // A submission is said not to exist, or is read in part, because of the name that its trainer gave it.
    submissions_of_any_name_are_read_after_a_restart_and_through_a_peer => async {
        let fleet = Fleet::open(&["a1", "a2"]).await;
        list_engine(&fleet.store, "127.0.0.1:9", 1);
        put_routes(&fleet.store, 1, &[route("batch", "rollout", "llm", json!([]))], &[]);
        fleet.wait_until_ready().await;
        // Others around them in the same topics, so that reads begin and end among them.
        for id in ["step", "stepA1", "step+", "step-1", "stez"] {
            assert_eq!(fleet.request(0, "POST", "/batch/x", id, submission()).await.status, 202);
        }
        for (id, _) in NAMES {
            assert_eq!(fleet.request(0, "POST", "/batch/x", id, submission()).await.status, 202, "{id}");
        }
        (0..2).for_each(|number| fleet.kill(number));
        (0..2).for_each(|number| fleet.start(number));
        fleet.wait_until_ready().await;
        fleet.store_proxy(1).set_mode(ProxyMode::Reset);
        sleep_ms(CUT_OFF_MS).await;
        for (id, in_path) in NAMES {
            for daemon in [0, 1] {
                let path = format!("/api/lots/{in_path}?after=0");
                let answer = fleet.request(daemon, "GET", &path, "read", String::new()).await;
                let page: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                assert_eq!((answer.status, &page["total"]), (200, &json!(1)), "{id} at {daemon}; {}", fleet.folder().display());
                let path = format!("/api/items/{in_path}?id=it%65m");
                let answer = fleet.request(daemon, "GET", &path, "read", String::new()).await;
                assert_eq!((answer.status, &answer.body[..]), (200, &b"body"[..]), "{id} at {daemon}");
            }
        }
        for (id, in_path) in NAMES {
            let path = format!("/api/lots/{in_path}");
            let ended = fleet.request(1, "DELETE", &path, "end", String::new()).await;
            assert_eq!(ended.status, 200, "{id}");
        }
    };

    // A daemon whose records of an ended submission are dropped while it answers says that there is no such submission.
    a_submission_whose_records_were_missed_is_not_denied => async {
        let fleet = Fleet::open(&["a1"]).await;
        list_engine(&fleet.store, "127.0.0.1:9", 1);
        put_routes(&fleet.store, 1, &[route("batch", "rollout", "llm", json!([]))], &[]);
        fleet.wait_until_ready().await;
        let submit = fleet.request(0, "POST", "/batch/x", "step", submission());
        assert_eq!(submit.await.status, 202);
        let end = fleet.request(0, "DELETE", "/api/lots/step", "end", String::new());
        assert_eq!(end.await.status, 200);
        let read = read_beside_a_gap(&fleet, "/api/lots/step?after=0").await;
        assert!([200, 503].contains(&read.status), "{read:?}");
        let next = fleet.request(0, "GET", "/api/lots/step?after=0", "read", String::new());
        assert_eq!(next.await.status, 200);
    };

    // A daemon that misses records of the index stops the items that it runs.
    a_gap_in_the_index_leaves_running_items_alone => async {
        let clock = Clock::start();
        let fleet = Fleet::open(&["a1"]).await;
        let engine = PlatformEngine::bind("llm", "e-1", MODEL, 1, clock).unwrap();
        engine.set_switches(EngineSwitches { event_ms: 400, ..engine.switches() });
        list_engine(&fleet.store, &engine.address().to_string(), engine.started_at_ms());
        put_routes(&fleet.store, 1, &[route("batch", "rollout", "llm", json!([]))], &[]);
        fleet.wait_until_ready().await;
        let submit = fleet.request(0, "POST", "/batch/x", "step", submission());
        assert_eq!(submit.await.status, 202);
        sleep_ms(RUN_MS).await;
        fleet.store.set_mode(StoreMode::Slow(SLOW_MS));
        fleet.store.append_to_all("keyed.index");
        fleet.store.drop_history();
        sleep_ms(RUN_MS).await;
        assert!(fleet.log(0).contains("records expired before they were read"));
        assert_eq!(engine.runs().len(), 1, "{:?}", engine.runs());
    };
}
