//! A manifest moves a batch route to another service, and the replicas of the one before are taken away.

use std::process::ExitCode;

use borageshore_net::sleep_ms;
use borageshore_standins::platform::{EngineSwitches, PlatformEngine, Proxy};
use review_driver::{BatchRoute, Installation, has_trouble, item, play, write_manifest};
use serde_json::{Value, json};

const MODEL: &str = "m0";
/// Replicas of each of the two services; each runs 8 requests at once.
const REPLICAS: usize = 4;
const ITEMS: usize = 80;
/// The pause between two events; the stand-in generates 60 of them for the items here.
const EVENT_MS: u64 = 50;
/// How long a replica still serves after its entry says that it is draining: `drain_ms` and a little longer.
const DRAIN_MS: u64 = 2_500;
/// The pause between two replicas that are taken away.
const GAP_MS: u64 = 500;
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
    let batch_to = |service| BatchRoute {
        service,
        is_single_version: false,
    };
    write_manifest(store, 1, batch_to("llm-a"));
    let mut old: Vec<(PlatformEngine, Proxy)> = Vec::new();
    let mut new: Vec<(PlatformEngine, Proxy)> = Vec::new();
    for (service, replicas) in [("llm-a", &mut old), ("llm-b", &mut new)] {
        for number in 0..REPLICAS {
            let instance = format!("{service}-{number}");
            let engine = PlatformEngine::bind(service, &instance, MODEL, 1, clock).unwrap();
            engine.set_switches(EngineSwitches {
                event_ms: EVENT_MS,
                ..engine.switches()
            });
            let proxy = Proxy::bind(engine.address()).unwrap();
            engine.list(store, &proxy.address().to_string(), "ready");
            replicas.push((engine, proxy));
        }
    }
    if !installation.start().await {
        return ExitCode::from(2);
    }
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
        "step": 0, "model": MODEL, "min_version": 1, "target_groups": ITEMS / 4, "items": items,
    });
    if !installation
        .submit("/batch/x", "lot-0", &batch, 5_000)
        .await
    {
        return ExitCode::from(2);
    }
    let submitted_at_ms = clock.now_ms();
    sleep_ms(500).await;
    if has_trouble() {
        write_manifest(store, 8, batch_to("llm-b"));
        record.line("manifest 8: the batch route goes to llm-b");
        for (number, (engine, proxy)) in old.iter().enumerate() {
            sleep_ms(GAP_MS).await;
            engine.list(store, &proxy.address().to_string(), "draining");
            record.line(&format!("llm-a-{number} reports draining"));
            let (store, proxy) = (store.clone(), proxy.clone());
            monoio::spawn(async move {
                sleep_ms(DRAIN_MS).await;
                proxy.close();
                store.put("keyed.servers", &format!("llm-a-{number}"), b"");
            });
        }
    }
    let left_ms = (submitted_at_ms + STEP_LIMIT_MS).saturating_sub(clock.now_ms());
    let results = installation.read_all("lot-0", ITEMS, left_ms).await;
    let limit_at_ms = clock.now_ms();
    for (engine, _) in old.iter().chain(&new) {
        for run in engine.runs() {
            record.line(&format!(
                "{} ran from {:.3} s after event {}: {} events made",
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
    let mut lost = 0;
    for number in 0..ITEMS {
        let id = format!("long-{number}");
        if results.iter().any(|result| result["id"] == *id) {
            continue;
        }
        let runs = old.iter().chain(&new).flat_map(|(engine, _)| engine.runs());
        let last_ms = runs
            .filter(|run| run.item == id)
            .map(|run| run.at_ms + run.events.len() as u64 * EVENT_MS)
            .max();
        let idle_ms = limit_at_ms.saturating_sub(last_ms.unwrap_or(submitted_at_ms));
        record.line(&format!("{id}: no result, at no replica for {idle_ms} ms"));
        lost += usize::from(idle_ms >= IDLE_LIMIT_MS);
    }
    if lost == 0 {
        record.line("LOST held");
        return ExitCode::SUCCESS;
    }
    record.line(&format!(
        "LOST broken: the step ran out of time with {lost} items that are at no replica"
    ));
    let late = installation.read_all("lot-0", ITEMS, AFTERMATH_MS).await;
    record.line(&format!(
        "{} of {ITEMS} results {:.0} s after the batch was accepted",
        late.len(),
        (clock.now_ms() - submitted_at_ms) as f64 / 1_000.0
    ));
    ExitCode::from(1)
}
