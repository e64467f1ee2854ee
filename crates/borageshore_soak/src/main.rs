//! The soak test as a program: runs seeds one after the other and fails if any of them violates a guarantee.

use std::{path::PathBuf, process::ExitCode};

use borageshore_soak::{Script, SoakOptions, run_seed};
use clap::Parser;

#[derive(Debug, Parser)]
#[command(about = "Plays seeded faults against real daemons and checks the promises")]
struct Arguments {
    /// The program of the daemons.
    #[arg(long, default_value = "target/release/borageshore")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Daemons.
    #[arg(long, default_value_t = 4)]
    daemons: usize,
    /// Engines.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Endpoints of the plain service.
    #[arg(long, default_value_t = 4)]
    services: usize,
    /// Calls that crash these endpoints, each repeated all the while.
    #[arg(long, default_value_t = 1)]
    crashing_calls: usize,
    /// Time of traffic and faults.
    #[arg(long, default_value_t = 15_000)]
    duration_ms: u64,
    /// Faults in this time.
    #[arg(long, default_value_t = 8)]
    faults: usize,
    /// Whether the daemons' logs stay when no promise is broken.
    #[arg(long)]
    keep_logs: bool,
    /// Three zones in two regions, with restricted routes and callers, evacuations and cold endpoints.
    #[arg(long)]
    regions: bool,
    /// Routes on which each text must come from one version of the weights, and texts that outlast several loads.
    #[arg(long)]
    single_version: bool,
    /// Other callers of the trainer's organisation that read and resend its submissions at any daemon.
    #[arg(long)]
    observers: bool,
    /// Megabytes a second that the daemons are told the store's reads return; with 0.03, two daemons read it for all.
    #[arg(long)]
    store_read_mb_per_s: Option<f64>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let options = SoakOptions {
            daemons: arguments.daemons,
            engines: arguments.engines,
            services: arguments.services,
            crashing_calls: arguments.crashing_calls,
            crashing_items: usize::from(seed.is_multiple_of(2)),
            has_crashing_reward: seed.is_multiple_of(3),
            organisations: !seed.is_multiple_of(2),
            regions: arguments.regions,
            observers: arguments.observers,
            single_version: arguments.single_version,
            long_generations: arguments.single_version,
            duration_ms: arguments.duration_ms,
            script: Script::RandomExtended(arguments.faults),
            keeps_logs: arguments.keep_logs,
            store_read_mb_per_s: arguments.store_read_mb_per_s,
            ..SoakOptions::new(arguments.program.clone(), seed)
        };
        failed += u64::from(!run(&options));
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    ExitCode::from(u8::from(failed > 0))
}

fn run(options: &SoakOptions) -> bool {
    let report = match run_seed(options) {
        Ok(report) => report,
        Err(error) => {
            println!("seed {}: cannot run: {error}", options.seed);
            return false;
        }
    };
    println!(
        "seed {}: {} of {} calls answered, {} harmless calls held back, {} endpoints crashed, {} submissions, {} results, {} usage windows wrong, {} guarantees violated",
        options.seed,
        report.calls_answered,
        report.calls,
        report.harmless_held_at_ms.len(),
        report.crashed_endpoints,
        report.submissions,
        report.results,
        report.wrong_windows.len(),
        report.violations.len()
    );
    if options.regions {
        let seen = &report.regions;
        println!(
            "  regions: {} restricted calls answered, {} not, {} requests at cold endpoints (at most {} in a second), {} late in evacuated zones, {} after their return",
            seen.restricted_answered,
            seen.restricted_unanswered,
            seen.cold_requests,
            seen.max_cold_requests_per_s,
            seen.late_in_evacuated_zones.len(),
            seen.requests_after_return
        );
    }
    if options.observers {
        let (answered, all) = report.observations;
        println!(
            "  observers: {answered} of {all} requests answered, {} items given up",
            report.given_up
        );
    }
    if report.violations.is_empty() {
        return true;
    }
    for fault in &report.faults {
        println!("  fault at {fault}");
    }
    for violation in &report.violations {
        println!("  BROKEN {violation}");
    }
    false
}
