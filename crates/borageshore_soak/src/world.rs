//! One run: starts stand-ins and daemons, makes traffic, injects faults, and checks the guarantees at the end.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use borageshore_net::{Clock, sleep_ms};
use borageshore_standins::platform::{
    ListeningPeer, PlatformDuties, PlatformEngine, PlatformService, PlatformStore, Proxy,
    event_count,
};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::json;

use crate::{
    Logs, Script, SoakOptions, SoakReport,
    calls::Discovery,
    crashes,
    daemons::DaemonProcess,
    faults::{EXTENDED_KINDS, KEYED_KINDS, RANDOM_KINDS, REGION_KINDS, Targets},
    keys::Keys,
    observers,
    oracle::{KnownSubmission, Oracle},
    regions,
    traffic::{HOST, MAX_ATTEMPTS, MODEL, Traffic},
    usage,
};

/// Time for the daemons to start.
const STARTUP_MS: u64 = 1_500;
/// Faults end this long before traffic does, so that the final checks see a recovered system.
const RECOVERY_MS: u64 = 4_000;
/// Wait between the end of traffic and the final checks.
const SETTLE_MS: u64 = 2_500;
/// Limit on reads of one submission at one daemon, which may answer that its view is out of date.
const MAX_READS: usize = 20;
const CALLER_COUNT: usize = 3;
/// Maximum number of endpoints of the engines' service in a zone.
const MAX_ENDPOINTS: u64 = 8;
/// Callers that reuse addresses or connections for several calls.
const CACHING_CALLERS: &[(&str, Discovery)] = &[
    ("list-keeper", Discovery::CachedList),
    ("connection-keeper", Discovery::KeptConnection),
];

pub(crate) async fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let clock = Clock::start();
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let oracle = Rc::new(Oracle::default());
    oracle.is_single_version.set(options.single_version);
    let targets = Rc::new(build(options, clock, &oracle)?);
    for daemon in &targets.daemons {
        daemon.start()?;
    }
    sleep_ms(STARTUP_MS).await;
    let until_ms = clock.now_ms() + options.duration_ms;
    let crash_until_ms = options.crash_until_ms.map(|after| clock.now_ms() + after);
    if let Some(until_ms) = crash_until_ms {
        targets.set_crash_until_ms(until_ms);
    }
    let traffic = Rc::new(Traffic {
        clock,
        fronts: targets.daemons.iter().map(|daemon| daemon.front).collect(),
        directories: targets
            .daemons
            .iter()
            .map(|daemon| daemon.directory)
            .collect(),
        submit_to: options
            .submit_to
            .map(|number| targets.daemons[number].front),
        store: targets.store.clone(),
        oracle: oracle.clone(),
        keys: targets.keys.clone(),
        until_ms,
        step_name: if options.long_generations {
            "long-step"
        } else {
            "step"
        },
        has_failing_items: options.observers,
        has_regions: options.regions,
        crashing_call_timeout_ms: options.crashing_call_timeout_ms,
        crashing_items: options.crashing_items,
        has_crashing_reward: options.has_crashing_reward,
        has_crashing_rewards: options.has_crashing_rewards,
        crash_until_ms,
        calls: Cell::new(0),
        calls_answered: Cell::new(0),
        harmless_held_at_ms: RefCell::default(),
        crashing_calls_held: Cell::new(0),
        unauthorized_at_ms: RefCell::default(),
        unanswered: RefCell::default(),
    });
    let mut fork = || Pcg64Mcg::seed_from_u64(random.next_u64());
    for number in 0..CALLER_COUNT {
        let mode = Discovery::PerCall;
        monoio::spawn(
            traffic
                .clone()
                .call(format!("caller-{number}"), mode, fork()),
        );
    }
    // A separate generator, so that these callers don't change the faults of a seed.
    let mut caching_random = Pcg64Mcg::seed_from_u64(!options.seed);
    for (name, mode) in CACHING_CALLERS {
        let caller_random = Pcg64Mcg::seed_from_u64(caching_random.next_u64());
        monoio::spawn(traffic.clone().call((*name).into(), *mode, caller_random));
    }
    monoio::spawn(traffic.clone().run_trainer(fork()));
    for number in 0..options.services {
        monoio::spawn(crashes::restart_service_after_crashes(
            targets.clone(),
            number,
        ));
    }
    for number in 0..options.engines {
        monoio::spawn(crashes::restart_engine_after_crashes(
            targets.clone(),
            number,
        ));
    }
    if let Some(crash_until_ms) = crash_until_ms {
        let due_ms = crash_until_ms + options.result_bound_ms;
        monoio::spawn(crashes::check_owed_items(traffic.clone(), due_ms));
    }
    for number in 0..options.crashing_calls {
        monoio::spawn(crashes::run_crashing_caller(
            traffic.clone(),
            number,
            fork(),
        ));
    }
    monoio::spawn(targets.keys.clone().probe(traffic.clone(), fork()));
    if options.regions {
        regions::spawn_restricted_callers(&traffic, &mut fork());
    }
    if options.observers {
        observers::spawn(&traffic, &mut fork());
    }
    let faults_until_ms = until_ms.saturating_sub(RECOVERY_MS);
    match &options.script {
        Script::Random(count) => {
            let injecting =
                targets
                    .clone()
                    .inject_random(*count, RANDOM_KINDS, faults_until_ms, fork());
            injecting.await;
        }
        Script::RandomExtended(count) => {
            let kinds = match (options.regions, options.organisations) {
                (true, _) => REGION_KINDS,
                (false, true) => KEYED_KINDS,
                (false, false) => EXTENDED_KINDS,
            };
            let injecting = targets
                .clone()
                .inject_random(*count, kinds, faults_until_ms, fork());
            injecting.await;
        }
        Script::Timed(timed_faults) => targets.clone().inject_timed(timed_faults).await,
    }
    sleep_ms(until_ms.saturating_sub(clock.now_ms()) + SETTLE_MS).await;
    if options.regions && !options.observers {
        regions::record_bodies_outside(&targets);
    }
    match options.regions {
        true => regions::check_running_daemons_are_listed(&traffic, &targets.daemons).await,
        false => check_running_daemons_are_listed(&traffic, &targets).await,
    }
    if options.results_kept_s * 1_000 > options.duration_ms {
        reread_all_submissions(&traffic).await;
    }
    let engines = engines_of(&targets);
    let services = services_of(&targets);
    oracle.check_endpoints(&engines, &services);
    targets.keys.check(&oracle, &engines, &services);
    if options.regions {
        regions::check(&targets);
    }
    if options.observers {
        observers::check(&targets);
    }
    usage::check_holders(&oracle, &targets.duties);
    usage::check_endpoint_orders(&oracle, &targets.duties);
    let calls = services.iter().flat_map(PlatformService::crashing_requests);
    crashes::check_crash_bound(&oracle, calls.collect(), options.crash_after_ms);
    let items = engines.iter().flat_map(PlatformEngine::crashing_requests);
    crashes::check_item_pace(&oracle, items.collect());
    let report = report(options, &traffic, &targets, &oracle);
    for daemon in &targets.daemons {
        daemon.signal(Signal::KILL);
    }
    Ok(report)
}

fn endless_answers(targets: &Targets) -> usize {
    let engines = targets.engines.iter().map(|(_, proxy)| proxy);
    let services = targets.services.iter().map(|(_, proxy)| proxy);
    let stores = targets.daemons.iter().map(|daemon| &daemon.store);
    let proxies = engines.chain(services).chain(stores);
    proxies.map(Proxy::endless_answers).sum()
}

fn crashed_endpoints(targets: &Targets) -> usize {
    let requests = crashes::crashing_requests(&services_of(targets), &engines_of(targets));
    requests
        .iter()
        .filter(|request| request.has_crashed)
        .count()
}

fn engines_of(targets: &Targets) -> Vec<PlatformEngine> {
    targets
        .engines
        .iter()
        .map(|(engine, _)| engine.clone())
        .collect()
}

fn services_of(targets: &Targets) -> Vec<PlatformService> {
    targets
        .services
        .iter()
        .map(|(service, _)| service.clone())
        .collect()
}

fn build(options: &SoakOptions, clock: Clock, oracle: &Rc<Oracle>) -> io::Result<Targets> {
    let store = PlatformStore::bind("127.0.0.1:0")?;
    let are_keys_required = options.organisations || options.regions;
    let keys = Keys::open(&store, are_keys_required, routes(options));
    let duties = PlatformDuties::bind(clock)?;
    let mut engines = Vec::new();
    for number in 0..options.engines {
        let instance = format!("e-{number}");
        let engine = PlatformEngine::bind("llm", &instance, MODEL, 1, clock)?;
        let proxy = Proxy::bind(engine.address())?;
        engine.list(&store, &proxy.address().to_string(), "ready");
        engines.push((engine, proxy));
    }
    let mut services = Vec::new();
    for number in 0..options.services {
        let service = PlatformService::bind("app", &format!("s-{number}"), clock)?;
        service.set_crash_after_ms(options.crash_after_ms);
        let proxy = Proxy::bind(service.address())?;
        service.list(&store, &proxy.address().to_string(), "ready");
        services.push((service, proxy));
    }
    let mut daemons = Vec::new();
    for number in 0..options.daemons {
        let proxy = Proxy::bind(store.address())?;
        daemons.push(DaemonProcess::open(
            options,
            number,
            proxy,
            duties.address(),
        )?);
    }
    let targets = Targets {
        clock,
        oracle: oracle.clone(),
        store,
        keys,
        duties,
        daemons,
        engines,
        services,
        listening_peer: ListeningPeer::bind()?,
        started_faults: Vec::new().into(),
    };
    if options.regions {
        regions::set_up_endpoints(&targets);
    }
    Ok(targets)
}

fn routes(options: &SoakOptions) -> serde_json::Value {
    let objective_ms = options.objective_ms;
    let services = match options.endpoint_orders {
        true => json!([{ "name": "llm", "scaling": {
            "min": 1, "max": MAX_ENDPOINTS, "boot_s": 0.5, "spot_price": 0.2, "zone_prices": { "z1": 1.0, "z2": 1.5 },
        } }]),
        false => json!([]),
    };
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 2_000, "target_latency_ms": objective_ms, "priority": 1, "max_attempts": MAX_ATTEMPTS,
            "service": service, "result_due_ms": 7_500, "retention_s": 60,
            "single_version": options.single_version && kind == "rollout",
        })
    };
    let mut config = json!({
        "version": 1,
        "routes": [
            route("safe", "safe", "app"), route("once", "unsafe", "app"),
            route("batch", "rollout", "llm"),
        ],
        "services": services, "limits": {},
    });
    if options.regions {
        regions::add_to_routes(&mut config);
    }
    config
}

/// Checks that every running daemon is listed by all running daemons after recovery.
async fn check_running_daemons_are_listed(traffic: &Traffic, targets: &Targets) {
    for asked in targets.daemons.iter().filter(|daemon| daemon.is_running()) {
        let query = regions::resolve_query(("z1", "r"));
        let listed = traffic.listed(asked.directory, &query).await;
        let listed = listed.unwrap_or_default();
        for daemon in targets.daemons.iter().filter(|daemon| daemon.is_running()) {
            if !listed.contains(&daemon.front) {
                let text = format!(
                    "{} is not listed by {} after recovery",
                    daemon.name, asked.name
                );
                traffic.oracle.record_violation(text);
            }
        }
    }
}

/// Reads every accepted submission from its start at every daemon. Checks that each daemon knows it and returns
/// all results that were read before.
async fn reread_all_submissions(traffic: &Traffic) {
    let accepted: Vec<String> = {
        let submissions = traffic.oracle.submissions.borrow();
        let accepted = submissions.iter().filter(|(_, known)| known.is_accepted);
        accepted.map(|(id, _)| id.clone()).collect()
    };
    for id in accepted {
        for front in &traffic.fronts {
            read_from_start(traffic, &id, *front).await;
        }
    }
}

async fn read_from_start(traffic: &Traffic, id: &str, front: SocketAddr) {
    let mut after = 0;
    for _ in 0..MAX_READS {
        match traffic.read(id, after, front, 0).await {
            Some(0) => {
                let seen = traffic.oracle.submissions.borrow()[id].results.len();
                if after < seen {
                    let text = format!(
                        "{id}: {front} returns {after} of {seen} results that were read before"
                    );
                    traffic.oracle.record_violation(text);
                }
                return;
            }
            Some(count) => after += count,
            None => sleep_ms(100).await,
        }
    }
    traffic
        .oracle
        .record_violation(format!("{id}: cannot be read at {front} after recovery"));
}

fn report(
    options: &SoakOptions,
    traffic: &Traffic,
    targets: &Targets,
    oracle: &Oracle,
) -> SoakReport {
    let submissions = oracle.submissions.borrow();
    let accepted = submissions.values().filter(|known| known.is_accepted);
    let results: usize = accepted.clone().map(|known| known.results.len()).sum();
    let mut violations = oracle.violations();
    if results == 0 {
        violations.push("no result was ever read".into());
    }
    if traffic.calls_answered.get() * 2 < traffic.calls.get() {
        violations.push("less than half of the calls were answered".into());
    }
    let due_ms = traffic
        .clock
        .now_ms()
        .saturating_sub(usage::REPORT_DUE_S * 1_000);
    let wrong_windows = usage::wrong_windows(
        traffic.clock,
        &targets.duties,
        &services_of(targets),
        STARTUP_MS,
        due_ms,
    );
    SoakReport {
        logs: Logs::open(
            options.folder.clone(),
            options.keeps_logs || !violations.is_empty(),
        ),
        wrong_windows,
        endpoint_orders: targets.duties.orders(),
        faults: targets.started_faults.borrow().clone(),
        calls_answered: traffic.calls_answered.get(),
        calls: traffic.calls.get(),
        submissions: accepted.count(),
        unanswered: traffic.unanswered.borrow().clone(),
        harmless_held_at_ms: traffic.harmless_held_at_ms.borrow().clone(),
        unauthorized_at_ms: traffic.unauthorized_at_ms.borrow().clone(),
        not_accepted: oracle.not_accepted.get(),
        stored_submission_records: targets.store.key_count("keyed.batch-"),
        resumed_runs: resumed_runs(targets),
        first_order_after_kill_ms: first_order_after_kill_ms(targets, oracle),
        member_loads_after_kill: oracle.member_loads_after_kill.get(),
        max_regenerated_events: max_regenerated_events(targets),
        runs_and_orders_after_restart: runs_and_orders_after_restart(&targets.engines[0].0),
        calls_by_foreign_entry: oracle.calls_by_foreign_entry(&targets.services[0].0),
        max_overtime_ms: max_overtime_ms(targets, oracle),
        crashed_endpoints: crashed_endpoints(targets),
        crashing_calls_held: traffic.crashing_calls_held.get(),
        results,
        given_up: given_up(&submissions),
        observations: oracle.observations.get(),
        regions: oracle.regions.borrow().clone(),
        endless_answers: endless_answers(targets),
        most_memory_kb: targets
            .daemons
            .iter()
            .map(DaemonProcess::most_memory_kb)
            .max()
            .unwrap_or(0),
        violations,
    }
}

fn given_up(submissions: &BTreeMap<String, KnownSubmission>) -> usize {
    let given_up = submissions.values().map(|known| &known.given_up_before_end);
    given_up.map(Vec::len).sum()
}

fn first_order_after_kill_ms(targets: &Targets, oracle: &Oracle) -> Option<u64> {
    let killed_all_at_ms = oracle.killed_all_at_ms.get()?;
    let orders = targets
        .engines
        .iter()
        .flat_map(|(engine, _)| engine.orders());
    let after = orders.filter_map(|order| order.at_ms.checked_sub(killed_all_at_ms));
    after.min()
}

/// Returns the largest number of events of one item that were generated more than once.
fn max_regenerated_events(targets: &Targets) -> u64 {
    let runs = targets.engines.iter().flat_map(|(engine, _)| engine.runs());
    let mut generated: BTreeMap<String, u64> = BTreeMap::new();
    for run in runs {
        *generated.entry(run.item).or_default() += run.events.len() as u64;
    }
    let regenerated = generated
        .iter()
        .map(|(item, generated)| generated.saturating_sub(event_count(item)));
    regenerated.max().unwrap_or(0)
}

fn runs_and_orders_after_restart(engine: &PlatformEngine) -> (usize, usize) {
    let started_at_ms = engine.started_at_ms();
    let runs = engine.runs();
    let orders = engine.orders();
    let runs = runs.iter().filter(|run| run.at_ms >= started_at_ms);
    let orders = orders.iter().filter(|order| order.at_ms >= started_at_ms);
    (runs.count(), orders.count())
}

fn max_overtime_ms(targets: &Targets, oracle: &Oracle) -> u64 {
    let call_deadlines_ms = oracle.call_deadlines_ms.borrow();
    let runs = targets
        .services
        .iter()
        .flat_map(|(service, _)| service.deadlines_ms());
    let overtime = runs.filter_map(|(id, end_ms)| end_ms.checked_sub(*call_deadlines_ms.get(&id)?));
    overtime.max().unwrap_or(0)
}

fn resumed_runs(targets: &Targets) -> usize {
    let runs = targets.engines.iter().flat_map(|(engine, _)| engine.runs());
    runs.filter(|run| run.after_event > 0).count()
}
