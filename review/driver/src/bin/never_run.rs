//! On a route with `single_version`, the last replica with a version is lost while it generates texts.

use std::process::ExitCode;

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{EngineSwitches, PlatformEngine, Proxy};
use review_driver::{
    BatchRoute, Installation, has_trouble, item, name_version, play, write_manifest,
};
use serde_json::{Value, json};

const MODEL: &str = "m0";
const ENGINES: usize = 3;
const ITEMS: usize = 12;
/// The pause between two events; the stand-in generates 60 of them for the items here.
const EVENT_MS: u64 = 50;
/// A change of version takes 0.9 s on the sheet.
const LOAD_MS: u64 = 900;
/// An entry is removed after three heartbeat intervals of 1.2 s without a heartbeat.
const ENTRY_TIMEOUT_MS: u64 = 3_600;
/// The time limit of a step on the sheet.
const STEP_LIMIT_MS: u64 = 12_000;
/// An item that has been at no replica for this long when its step runs out of time is lost.
const IDLE_LIMIT_MS: u64 = 5_000;
/// How long results are still read after the step has run out of time: beyond `retention_s`, 60 s.
const AFTERMATH_MS: u64 = 53_000;

fn main() -> ExitCode {
    play(run())
}

async fn run() -> ExitCode {
    let installation = Installation::open(&["front-1", "front-2", "front-3"]);
    let (store, record, clock) = (
        &installation.store,
        &installation.record,
        installation.clock,
    );
    write_manifest(
        store,
        1,
        BatchRoute {
            service: "llm",
            is_single_version: true,
        },
    );
    let mut engines: Vec<(PlatformEngine, Proxy)> = Vec::new();
    for number in 0..ENGINES {
        let instance = format!("e-{number}");
        let engine = PlatformEngine::bind("llm", &instance, MODEL, 1, clock).unwrap();
        engine.set_switches(EngineSwitches {
            event_ms: EVENT_MS,
            load_ms: LOAD_MS,
            ..engine.switches()
        });
        let proxy = Proxy::bind(engine.address()).unwrap();
        engine.list(store, &proxy.address().to_string(), "ready");
        engines.push((engine, proxy));
    }
    if !installation.start().await {
        return ExitCode::from(2);
    }
    // A new holder of the orders waits for the lease of the one before it.
    sleep_ms(3_000).await;
    name_version(store, MODEL, 2);
    record.line("version 2 named");
    sleep_ms(7_000).await;
    let ordered = |(engine, _): &(PlatformEngine, Proxy)| !engine.orders().is_empty();
    let old: Vec<usize> = (0..ENGINES)
        .filter(|number| !ordered(&engines[*number]))
        .collect();
    let [old] = old[..] else {
        record.line(&format!(
            "replicas that got no order: {old:?}; one was expected"
        ));
        return ExitCode::from(2);
    };
    record.line(&format!("e-{old} has version 1, the others version 2"));
    let items: Vec<Value> = (0..ITEMS)
        .map(|number| {
            item(
                &format!("long-{number}"),
                &format!("g{}", number / 4),
                MODEL,
            )
        })
        .collect();
    let batch = json!({
        "step": 2, "model": MODEL, "min_version": 1, "target_groups": ITEMS / 4, "items": items,
    });
    if !installation
        .submit("/batch/x", "lot-2", &batch, 5_000)
        .await
    {
        return ExitCode::from(2);
    }
    let submitted_at_ms = clock.now_ms();
    sleep_ms(1_000).await;
    if has_trouble() {
        engines[old].1.close();
        record.line(&format!("e-{old} crashes and is lost for good"));
    }
    sleep_ms(ENTRY_TIMEOUT_MS).await;
    if has_trouble() {
        store.put("keyed.servers", &format!("e-{old}"), b"");
        record.line(&format!("the entry of e-{old} is removed"));
    }
    let left_ms = (submitted_at_ms + STEP_LIMIT_MS).saturating_sub(clock.now_ms());
    let results = installation.read_all("lot-2", ITEMS, left_ms).await;
    let limit_at_ms = clock.now_ms();
    for (engine, _) in &engines {
        for run in engine.runs() {
            record.line(&format!(
                "{} reached a replica at {:.3} s after event {}: {} events made",
                run.item,
                run.at_ms as f64 / 1_000.0,
                run.after_event,
                run.events.len()
            ));
        }
    }
    record.line(&format!(
        "{} of {ITEMS} results within the step's time",
        results.len()
    ));
    let running: usize = engines
        .iter()
        .map(|(engine, _)| running(engine, limit_at_ms))
        .sum();
    record.line(&format!("{running} items are at a replica now"));
    let mut is_broken = false;
    for number in 0..ITEMS {
        let id = format!("long-{number}");
        if results.iter().any(|result| result["id"] == *id) {
            continue;
        }
        let runs = engines.iter().flat_map(|(engine, _)| engine.runs());
        let last_ms = runs
            .filter(|run| run.item == id)
            .map(|run| run.at_ms + run.events.len() as u64 * EVENT_MS)
            .max();
        let idle_ms = limit_at_ms.saturating_sub(last_ms.unwrap_or(submitted_at_ms));
        record.line(&format!("{id}: no result, at no replica for {idle_ms} ms"));
        is_broken |= idle_ms >= IDLE_LIMIT_MS;
    }
    if is_broken {
        record.line("LOST broken: the step ran out of time with items that are at no replica");
        let late = installation.read_all("lot-2", ITEMS, AFTERMATH_MS).await;
        record.line(&format!(
            "{} of {ITEMS} results {:.0} s after the batch was accepted",
            late.len(),
            (clock.now_ms() - submitted_at_ms) as f64 / 1_000.0
        ));
    } else {
        record.line("LOST held");
    }
    ExitCode::from(u8::from(is_broken))
}

/// The runs that have not made all events and did so lately.
fn running(engine: &PlatformEngine, now_ms: u64) -> usize {
    let is_running = |run: &borageshore_standins::platform::RecordedRun| {
        let made_ms = run.at_ms + (run.events.len() as u64 + 2) * EVENT_MS;
        made_ms + EVENT_MS > now_ms
    };
    engine.runs().iter().filter(|run| is_running(run)).count()
}
