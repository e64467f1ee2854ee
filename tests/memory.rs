//! Daemons with the memory of the smallest VMs: what accepted work takes.

mod support;

use std::rc::Rc;

use borageshore_net::{Clock, run_event_loop, sleep_ms};
use borageshore_standins::platform::PlatformEngine;
use futures_util::future::join_all;
use serde_json::{Value, json};
use support::{Answer, Fleet, put_routes, route};

const MODEL: &str = "m0";
/// The memory of the smallest VM.
const MEMORY_MB: u64 = 120;
/// The decoded size of a large item's body; a submission of eight has some 6 MB.
const LARGE_ITEM_BYTES: usize = 560_000;
/// What the platform allows in a body.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// A fleet whose daemons have the smallest memory, before one engine.
struct SmallFleet {
    fleet: Rc<Fleet>,
    _engine: PlatformEngine,
}

impl SmallFleet {
    async fn open(zones: &[&str]) -> Self {
        let fleet = Rc::new(Fleet::open_within(zones, MEMORY_MB).await);
        let engine = PlatformEngine::bind("llm", "e-1", MODEL, 1, Clock::start()).unwrap();
        let entry = json!({
            "service": "llm", "address": engine.address().to_string(), "zone": "a1", "version": "v1",
            "slots": 6, "stage": "both", "state": "ready", "cold_left_ms": 0, "seq": 1,
            "born": engine.started_at_ms(),
            "models": [{ "name": MODEL, "version": 1, "adapters": [] }],
        });
        fleet
            .store
            .put("keyed.servers", "e-1", entry.to_string().as_bytes());
        put_routes(
            &fleet.store,
            1,
            &[route("batch", "rollout", "llm", json!([]))],
            &[],
        );
        fleet.wait_until_ready().await;
        Self {
            fleet,
            _engine: engine,
        }
    }

    async fn submit(&self, daemon: usize, id: &str, submission: String) -> Answer {
        let path = format!("/batch/{id}");
        self.fleet
            .request(daemon, "POST", &path, id, submission)
            .await
    }

    /// Submits until the submission is accepted, as trainers do; returns the last status.
    async fn submit_until_taken(&self, daemon: usize, id: &str, submission: &str) -> u16 {
        let mut last = 0;
        for _ in 0..200 {
            let answer = self.submit(daemon, id, submission.to_owned()).await;
            if answer.status == 202 {
                return 202;
            }
            last = answer.status;
            sleep_ms(300).await;
        }
        last
    }

    /// Waits until a submission has a number of results; returns how many it has in the end.
    async fn wait_for_results(&self, daemon: usize, id: &str, results: u64) -> u64 {
        let mut found = 0;
        for _ in 0..400 {
            let path = format!("/api/lots/{id}?after=0");
            let read = self
                .fleet
                .request(daemon, "GET", &path, "read", String::new());
            let page: Value = serde_json::from_slice(&read.await.body).unwrap_or_default();
            found = page["next_token"].as_u64().unwrap_or(0);
            if found >= results {
                break;
            }
            sleep_ms(200).await;
        }
        found
    }

    /// Asserts that these daemons have never exceeded their memory.
    fn assert_within_memory(&self, daemons: &[usize]) {
        for daemon in daemons {
            let peak_mb = self.fleet.peak_memory_kb(*daemon) / 1024;
            assert!(
                (1..MEMORY_MB).contains(&peak_mb),
                "vm-{daemon}: {peak_mb} MB"
            );
        }
    }
}

fn submission(items: usize, body_bytes: usize) -> String {
    let body = "QUFB".repeat(body_bytes / 3);
    let item = |number: usize| {
        json!({
            "id": format!("item-{number}"), "path": "/batch/x", "num_tokens": 20,
            "group": format!("g-{}", number / 4), "body": body,
            "headers": { "X-Model": MODEL, "X-Token-Count": "10,10" },
        })
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    let text = json!({ "step": 1, "model": MODEL, "min_version": 1, "items": items }).to_string();
    assert!(
        text.len() <= MAX_BODY_BYTES,
        "more than the platform allows"
    );
    text
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[test] fn $name() { run_event_loop(async $body) })*
    };
}

cases! {
    // Submissions that arrive together, or that have ended, are held without a bound: each as its body, decoded and encoded.
    large_submissions_fit_the_smallest_vm => {
        let fleet = SmallFleet::open(&["a1"]).await;
        let text = submission(8, LARGE_ITEM_BYTES);
        let mut accepted = 0;
        for round in 0..3 {
            let ids: Vec<String> = (0..6).map(|number| format!("step-{round}-{number}")).collect();
            let answers = ids.iter().map(|id| fleet.submit_until_taken(0, id, &text));
            let statuses = join_all(answers).await;
            assert!(statuses.iter().all(|status| *status == 202), "{statuses:?}");
            for id in &ids {
                accepted += fleet.wait_for_results(0, id, 1).await.min(1);
                let path = format!("/api/lots/{id}");
                let end = fleet.fleet.request(0, "DELETE", &path, "end", String::new());
                assert_eq!(end.await.status, 200);
            }
        }
        fleet.assert_within_memory(&[0]);
        assert_eq!(accepted, 18, "an accepted submission is not served");
    }

    // A daemon that takes over all open work at once loads, restores and starts it without a bound.
    a_takeover_of_much_work_fits_the_smallest_vm => {
        let fleet = SmallFleet::open(&["a1", "a2"]).await;
        let large = submission(8, LARGE_ITEM_BYTES);
        let ids: Vec<String> = (0..8).map(|number| format!("step-{number}")).collect();
        assert_eq!(fleet.submit_until_taken(0, "many", &submission(6_000, 30)).await, 202);
        for id in &ids {
            assert_eq!(fleet.submit_until_taken(0, id, &large).await, 202);
        }
        let holder = fleet.fleet.holder_of("many").expect("a daemon runs it");
        let other = 1 - holder;
        let before = fleet.wait_for_results(other, "many", 1).await;
        fleet.fleet.kill(holder);
        fleet.assert_within_memory(&[other]);
        assert!(fleet.wait_for_results(other, "many", before + 50).await >= before + 50);
        for id in &ids {
            assert!(fleet.wait_for_results(other, id, 8).await >= 8, "{id}");
        }
        fleet.assert_within_memory(&[other]);
    }

    // Two daemons that hold all they may, of submissions that nobody ends, refuse to read what they no longer hold.
    submissions_that_nobody_ends_stay_readable => {
        let fleet = SmallFleet::open(&["a1", "a2"]).await;
        let text = submission(8, LARGE_ITEM_BYTES);
        let ids: Vec<String> = (0..14).map(|number| format!("step-{number}")).collect();
        for id in &ids {
            assert_eq!(fleet.submit_until_taken(0, id, &text).await, 202);
            assert!(fleet.wait_for_results(1, id, 8).await >= 8, "{id}");
        }
        for id in &ids {
            for daemon in [0, 1] {
                assert!(fleet.wait_for_results(daemon, id, 8).await >= 8, "{id} at vm-{daemon}");
            }
        }
        fleet.assert_within_memory(&[0, 1]);
        let metrics = fleet.fleet.metrics(0).await;
        assert!(metrics.contains("kind=\"records\""), "{metrics}");
    }

    // Many small submissions that are open at once each start some items, together without a bound.
    many_submissions_fit_the_smallest_vm => {
        let fleet = SmallFleet::open(&["a1"]).await;
        let text = submission(40, 30);
        let ids: Vec<String> = (0..600).map(|number| format!("step-{number}")).collect();
        for some in ids.chunks(20) {
            // Each with items of its own, or the results of the first would do for all.
            let texts = some.iter().map(|id| text.replace("item-", &format!("{id}-")));
            let texts: Vec<String> = texts.collect();
            let submissions = some.iter().zip(&texts);
            let answers = submissions.map(|(id, text)| fleet.submit_until_taken(0, id, text));
            let statuses = join_all(answers).await;
            assert!(statuses.iter().all(|status| *status == 202), "{statuses:?}");
        }
        let oldest = fleet.wait_for_results(0, "step-0", 40).await;
        fleet.assert_within_memory(&[0]);
        assert_eq!(oldest, 40, "the oldest submission is not served");
    }

    // A submission of many items takes the memory of its daemon, and then that of each one that takes it over.
    a_submission_of_many_items_fits_the_smallest_vm => {
        let fleet = SmallFleet::open(&["a1"]).await;
        let accepted = fleet.submit(0, "step", submission(16_000, 30)).await;
        assert_eq!(accepted.status, 202);
        let results = fleet.wait_for_results(0, "step", 200).await;
        fleet.assert_within_memory(&[0]);
        assert!(results >= 200, "{results} results");
    }
}
