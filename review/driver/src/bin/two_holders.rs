//! A daemon that was restarted behind a cut takes over orders while the lease of the holder before it still runs.

use std::process::ExitCode;

use borageshore_base::rendezvous_weight;
use borageshore_net::{Clock, sleep_ms};
use borageshore_standins::platform::{PlatformEngine, PlatformStore, ProxyMode};
use review_driver::{
    BatchRoute, Daemon, LEASE_MS, Record, folder, has_trouble, name_version, play, write_manifest,
};
use rustix::process::Signal;

const MODEL: &str = "m0";
/// `thaw_slack_ms` of the installation: orders within this time after a link healed don't count.
const THAW_SLACK_MS: u64 = 300;
/// How long the restarted daemon is cut off from the store.
const CUT_MS: u64 = 9_000;

struct World {
    record: Record,
    engines: Vec<PlatformEngine>,
}

impl World {
    /// Waits until the engines have got an order for a version, and returns whether they have.
    async fn wait_for_order(&self, version: u64, limit_ms: u64) -> bool {
        for _ in 0..limit_ms / 10 {
            let mut orders = self.engines.iter().flat_map(PlatformEngine::orders);
            if orders.any(|order| order.version == version) {
                return true;
            }
            sleep_ms(10).await;
        }
        self.record.line(&format!(
            "no order for version {version} within {limit_ms} ms"
        ));
        false
    }
}

fn main() -> ExitCode {
    play(run())
}

async fn run() -> ExitCode {
    let clock = Clock::start();
    let record = Record::open(clock);
    let store = PlatformStore::bind("127.0.0.1:0").unwrap();
    write_manifest(
        &store,
        1,
        BatchRoute {
            service: "llm",
            is_single_version: false,
        },
    );
    let engine = PlatformEngine::bind("llm", "e-0", MODEL, 1, clock).unwrap();
    engine.list(&store, &engine.address().to_string(), "ready");
    let folder = folder();
    // Which daemon gives orders follows from the names.
    let mut names = ["front-1", "front-2", "front-3"];
    names.sort_by_key(|name| std::cmp::Reverse(rendezvous_weight("orders", name)));
    let daemons = names.map(|name| Daemon::open(name, &store, &folder));
    let [first, second, third] = &daemons;
    for daemon in &daemons {
        daemon.start();
    }
    for daemon in &daemons {
        if !daemon.wait_until_ready(10_000).await {
            record.line(&format!("{} does not become ready", daemon.name));
            return ExitCode::from(2);
        }
    }
    let world = World {
        record,
        engines: vec![engine],
    };
    let record = &world.record;
    record.line(&format!(
        "ready: {}, {}, {}",
        first.name, second.name, third.name
    ));
    sleep_ms(1_500).await;
    name_version(&store, MODEL, 2);
    record.line("version 2 named");
    if !world.wait_for_order(2, 8_000).await {
        return ExitCode::from(2);
    }
    sleep_ms(2_000).await;

    if has_trouble() {
        record.line(&format!(
            "SIGKILL to {}, which is cut off from the store for {CUT_MS} ms",
            first.name
        ));
        first.store.set_mode(ProxyMode::Silent);
        first.kill();
    }
    let cut_at_ms = clock.now_ms();
    sleep_ms(700).await;
    if has_trouble() {
        first.start();
        record.line(&format!("{} starts again behind the cut", first.name));
    }
    sleep_ms(1_800).await;
    name_version(&store, MODEL, 3);
    record.line("version 3 named");
    if !world.wait_for_order(3, 8_000).await {
        return ExitCode::from(2);
    }
    let heals_at_ms = cut_at_ms + CUT_MS;
    sleep_ms(heals_at_ms.saturating_sub(clock.now_ms() + 1_300)).await;
    name_version(&store, MODEL, 4);
    record.line("version 4 named");
    if !world.wait_for_order(4, 1_200).await {
        return ExitCode::from(2);
    }
    sleep_ms(heals_at_ms.saturating_sub(clock.now_ms())).await;
    if has_trouble() {
        first.store.set_mode(ProxyMode::Pass);
        record.line(&format!("the link of {} to the store heals", first.name));
        let is_ready = first.wait_until_ready(3_000).await;
        record.line(&format!("{} ready: {is_ready}", first.name));
    }
    let healed_at_ms = clock.now_ms();
    sleep_ms(2 * THAW_SLACK_MS).await;
    if has_trouble() {
        record.line(&format!("SIGTERM to {}", second.name));
        second.signal(Signal::TERM);
    }
    sleep_ms(250).await;
    name_version(&store, MODEL, 5);
    record.line("version 5 named");
    world.wait_for_order(5, 8_000).await;
    sleep_ms(1_000).await;
    let is_broken = check(&world, healed_at_ms);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(u8::from(is_broken))
}

/// Rule ONE: orders of two machines to one replica are at least `lease_ms` apart, and epoch numbers don't go back.
fn check(world: &World, healed_at_ms: u64) -> bool {
    let mut is_broken = false;
    for engine in &world.engines {
        let orders = engine.orders();
        for order in &orders {
            world.record.line(&format!(
                "order reached e-0 at {:.3} s: holder {}, epoch {}, version {}",
                order.at_ms as f64 / 1_000.0,
                order.holder,
                order.epoch,
                order.version
            ));
        }
        for pair in orders.windows(2) {
            let apart_ms = pair[1].at_ms - pair[0].at_ms;
            let is_excused = (healed_at_ms..healed_at_ms + THAW_SLACK_MS).contains(&pair[1].at_ms);
            if pair[0].holder != pair[1].holder && apart_ms < LEASE_MS && !is_excused {
                is_broken = true;
                world.record.line(&format!(
                    "ONE broken: {} and {} gave orders to e-0 {apart_ms} ms apart; the lease is {LEASE_MS} ms",
                    pair[0].holder, pair[1].holder
                ));
            }
        }
    }
    if !is_broken {
        world.record.line("ONE held");
    }
    is_broken
}
