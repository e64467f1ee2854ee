//! The daemon that gives orders is killed as a version is named, so that replicas load it while they generate texts of a
//! route with `single_version`.

use std::process::ExitCode;

use borageshore_base::rendezvous_weight;
use borageshore_net::sleep_ms;
use borageshore_standins::platform::{EngineSwitches, PlatformEngine};
use review_driver::{
    BatchRoute, Installation, has_trouble, item, name_version, play, write_manifest,
};
use serde_json::json;

const MODEL: &str = "m0";
const ENGINES: usize = 3;
const ITEMS: usize = 12;
/// The pause between two events; the stand-in generates 60 of them for the items here.
const EVENT_MS: u64 = 90;
/// A change of version takes 0.9 s on the sheet.
const LOAD_MS: u64 = 900;
/// The step is asked this long after its version was named.
const SUBMIT_AFTER_MS: u64 = 500;

fn main() -> ExitCode {
    play(run())
}

async fn run() -> ExitCode {
    // Which daemon gives orders follows from the names.
    let mut names = ["front-1", "front-2", "front-3"];
    names.sort_by_key(|name| std::cmp::Reverse(rendezvous_weight("orders", name)));
    let installation = Installation::open(&names);
    let record = &installation.record;
    write_manifest(
        &installation.store,
        1,
        BatchRoute {
            service: "llm",
            is_single_version: true,
        },
    );
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let instance = format!("e-{number}");
        let engine = PlatformEngine::bind("llm", &instance, MODEL, 1, installation.clock).unwrap();
        engine.set_switches(EngineSwitches {
            event_ms: EVENT_MS,
            load_ms: LOAD_MS,
            ..engine.switches()
        });
        engine.list(&installation.store, &engine.address().to_string(), "ready");
        engines.push(engine);
    }
    if !installation.start().await {
        return ExitCode::from(2);
    }
    // A new holder of the orders waits for the lease of the one before it.
    sleep_ms(4_000).await;
    if has_trouble() {
        let first = &installation.daemons[0];
        first.kill();
        record.line(&format!("SIGKILL to {}", first.name));
    }
    name_version(&installation.store, MODEL, 2);
    record.line("version 2 named");
    sleep_ms(SUBMIT_AFTER_MS).await;
    let items: Vec<_> = (0..ITEMS)
        .map(|number| {
            item(
                &format!("long-{number}"),
                &format!("g{}", number / 4),
                MODEL,
            )
        })
        .collect();
    // A step allows the version before the one that is named when it is asked.
    let batch = json!({
        "step": 2, "model": MODEL, "min_version": 1, "target_groups": ITEMS / 4, "items": items,
    });
    if !installation
        .submit("/batch/x", "lot-2", &batch, 5_000)
        .await
    {
        return ExitCode::from(2);
    }
    let results = installation.read_all("lot-2", ITEMS, 20_000).await;
    for engine in &engines {
        for order in engine.orders() {
            record.line(&format!(
                "order for version {} arrived at {:.3} s",
                order.version,
                order.at_ms as f64 / 1_000.0
            ));
        }
        for run in engine.runs() {
            let versions: Vec<u64> = run.events.iter().map(|(_, version)| *version).collect();
            record.line(&format!(
                "{} ran from {:.3} s after event {}: {} events, versions {:?} to {:?}",
                run.item,
                run.at_ms as f64 / 1_000.0,
                run.after_event,
                versions.len(),
                versions.first(),
                versions.last()
            ));
        }
    }
    let mut is_broken = false;
    for result in &results {
        let versions = result["versions"].as_array().map_or(0, Vec::len);
        record.line(&format!(
            "result {}: {}, versions {}",
            result["id"], result["state"], result["versions"]
        ));
        if result["state"] == "done" && versions > 1 {
            is_broken = true;
            record.line(&format!(
                "VERSION broken: {} has several versions on a route with single_version",
                result["id"]
            ));
        }
    }
    record.line(&format!("{} of {ITEMS} results read", results.len()));
    if results.len() < ITEMS {
        return ExitCode::from(2);
    }
    if !is_broken {
        record.line("VERSION held");
    }
    ExitCode::from(u8::from(is_broken))
}
