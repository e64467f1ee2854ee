//! Runs the stand-ins from the command line: `standins platform`, `standins trainer`, `standins callers`.

use std::sync::Arc;

use borageshore_net::{HttpServer, run_event_loop, sleep_ms};
use borageshore_standins::{
    callers::{CallerOptions, run_callers},
    engine::{EngineOptions, EngineStandin},
    log::LogStandin,
    plain::PlainStandin,
    trainer::{Trainer, TrainerOptions},
    vm_list::{Vm, VmListStandin, VmState},
    weight_store::WeightStoreStandin,
};
use clap::{Args, Parser, Subcommand};

/// Offset of the first endpoint's port from the base port.
const ENDPOINT_PORT_OFFSET: u16 = 10;

#[derive(Debug, Parser)]
#[command(about = "Stand-ins for the platform, endpoints, trainers and callers")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Log, VM list, weight store, engines, plain services and scorer in one process.
    Platform(PlatformArguments),
    /// A trainer; prints a summary and fails on a broken promise.
    Trainer(TrainerArguments),
    /// Callers; print a summary and fail on a broken promise.
    Callers(CallerArguments),
}

#[derive(Debug, Args)]
struct PlatformArguments {
    /// The log is at this port, the VM list at the next, the weight store at the one after it.
    #[arg(long, default_value_t = 17_000)]
    base_port: u16,
    /// Availability zones, in which the endpoints take turns.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "suva-hall,nausori-hall,navua-hall"
    )]
    zones: Vec<Arc<str>>,
    /// Engine services as name=count.
    #[arg(long, value_delimiter = ',', default_value = "screen-llm=8")]
    engines: Vec<String>,
    /// Plain services as name=count.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "feedlog-app=4,load-scorer=2"
    )]
    plain: Vec<String>,
    /// Requests that an engine runs at once.
    #[arg(long, default_value_t = 16)]
    slots: u64,
    /// Time of one engine step.
    #[arg(long, default_value_t = 10)]
    step_ms: u64,
    /// Pause of generation in a weight swap.
    #[arg(long, default_value_t = 100)]
    swap_ms: u64,
    /// Time that the weight store is busy with one load.
    #[arg(long, default_value_t = 50)]
    load_ms: u64,
    /// Lag of the VM list.
    #[arg(long, default_value_t = 1_000)]
    list_lag_ms: u64,
    /// How long to run.
    #[arg(long, default_value_t = 600_000)]
    limit_ms: u64,
}

#[derive(Debug, Args)]
struct TrainerArguments {
    #[arg(long, value_delimiter = ',')]
    daemons: Vec<Arc<str>>,
    #[arg(long)]
    token: Arc<str>,
    #[arg(long)]
    job: Arc<str>,
    #[arg(long, default_value_t = 32)]
    samples_per_step: u64,
    #[arg(long, default_value_t = 500)]
    step_ms: u64,
    #[arg(long, default_value_t = 4)]
    steps: u64,
    #[arg(long, default_value_t = 1)]
    staleness_bound_versions: u64,
    #[arg(long, default_value_t = 60_000)]
    limit_ms: u64,
}

#[derive(Debug, Args)]
struct CallerArguments {
    #[arg(long, value_delimiter = ',')]
    daemons: Vec<Arc<str>>,
    #[arg(long, default_value_t = 8)]
    callers: u64,
    #[arg(long, default_value_t = 5_000)]
    duration_ms: u64,
    #[arg(long, default_value_t = 50)]
    pause_ms: u64,
    #[arg(long)]
    node: Arc<str>,
    #[arg(long)]
    engine_service: Option<Arc<str>>,
    #[arg(long)]
    plain_service: Option<Arc<str>>,
    #[arg(long, default_value_t = 20)]
    max_tokens: u64,
    #[arg(long, default_value = "callers")]
    name: Arc<str>,
}

fn main() -> eyre::Result<()> {
    let arguments = Arguments::parse();
    run_event_loop(async {
        match arguments.command {
            Command::Platform(arguments) => platform(arguments).await,
            Command::Trainer(arguments) => trainer(arguments).await,
            Command::Callers(arguments) => callers(arguments).await,
        }
    })
}

async fn platform(arguments: PlatformArguments) -> eyre::Result<()> {
    let address = |port: u16| format!("127.0.0.1:{port}");
    let base = arguments.base_port;
    let _log = LogStandin::bind(&address(base))?;
    let _store = WeightStoreStandin::bind(&address(base + 2), arguments.load_ms)?;
    let mut vms: Vec<Vm> = Vec::new();
    let mut servers: Vec<HttpServer> = Vec::new();
    let options = EngineOptions {
        slots: arguments.slots,
        step_ms: arguments.step_ms,
        swap_ms: arguments.swap_ms,
        weight_store: Some(address(base + 2).into()),
        ..EngineOptions::default()
    };
    for (service, count) in parse_counts(&arguments.engines)? {
        for number in 1..=count {
            let endpoint_address = address(base + ENDPOINT_PORT_OFFSET + vms.len() as u16);
            servers.push(EngineStandin::bind(&endpoint_address, options.clone())?);
            vms.push(listed_vm(
                &service,
                number,
                vms.len(),
                &endpoint_address,
                &arguments.zones,
            ));
        }
    }
    for (service, count) in parse_counts(&arguments.plain)? {
        let plain = PlainStandin::open(2);
        for number in 1..=count {
            let endpoint_address = address(base + ENDPOINT_PORT_OFFSET + vms.len() as u16);
            servers.push(plain.bind(&endpoint_address)?);
            vms.push(listed_vm(
                &service,
                number,
                vms.len(),
                &endpoint_address,
                &arguments.zones,
            ));
        }
    }
    let _list = VmListStandin::bind(&address(base + 1), vms, arguments.list_lag_ms)?;
    println!("platform ready: {} endpoints", servers.len());
    sleep_ms(arguments.limit_ms).await;
    Ok(())
}

fn listed_vm(service: &str, number: u64, index: usize, address: &str, zones: &[Arc<str>]) -> Vm {
    Vm {
        name: format!("{service}-{number}").into(),
        service: service.into(),
        zone: zones[index % zones.len()].clone(),
        address: address.into(),
        state: VmState::Live,
    }
}

fn parse_counts(pairs: &[String]) -> eyre::Result<Vec<(String, u64)>> {
    let pairs = pairs.iter().filter(|pair| !pair.is_empty()).map(|pair| {
        let (name, count) = pair
            .split_once('=')
            .ok_or_else(|| eyre::eyre!("'{pair}' is not name=count"))?;
        Ok((name.to_owned(), count.parse()?))
    });
    pairs.collect()
}

async fn trainer(arguments: TrainerArguments) -> eyre::Result<()> {
    let summary = Trainer::open(TrainerOptions {
        daemons: arguments.daemons,
        token: arguments.token,
        job: arguments.job,
        samples_per_step: arguments.samples_per_step,
        step_ms: arguments.step_ms,
        steps: arguments.steps,
        staleness_bound_versions: arguments.staleness_bound_versions,
        limit_ms: arguments.limit_ms,
    })
    .run()
    .await;
    println!("{}", serde_json::to_string(&summary)?);
    eyre::ensure!(
        summary.violation_count() == 0,
        "{} samples were repeated, misattributed or too stale",
        summary.violation_count()
    );
    eyre::ensure!(
        summary.steps == arguments.steps,
        "only {} steps were completed within the time limit",
        summary.steps
    );
    Ok(())
}

async fn callers(arguments: CallerArguments) -> eyre::Result<()> {
    let summary = run_callers(CallerOptions {
        daemons: arguments.daemons,
        callers: arguments.callers,
        duration_ms: arguments.duration_ms,
        pause_ms: arguments.pause_ms,
        node: arguments.node,
        engine_service: arguments.engine_service,
        plain_service: arguments.plain_service,
        max_tokens: arguments.max_tokens,
        name: arguments.name,
    })
    .await;
    println!("{}", serde_json::to_string(&summary)?);
    eyre::ensure!(
        summary.violation_count() == 0,
        "{} streams were cut off or had wrong content",
        summary.violation_count()
    );
    Ok(())
}
