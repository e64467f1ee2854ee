//! A fault-injection soak test: runs real daemon processes against stand-ins for the platform, injects faults
//! from outside, and checks the service's guarantees from what callers, trainers and endpoints observe.
//!
//! The seed determines the faults and their times; scheduling of the processes is not deterministic.
//! [`run_seed`] runs one seed; the program `soak` runs many.
//!
//! ```
//! use borageshore_soak::SoakOptions;
//!
//! let options = SoakOptions::new("target/release/borageshore".into(), 7);
//! assert_eq!(options.seed, 7);
//! ```

mod calls;
mod crashes;
mod daemons;
mod faults;
mod keys;
mod observers;
mod oracle;
mod regions;
mod subjects;
mod traffic;
mod usage;
mod world;

pub use self::daemons::{free_address, spawn_daemon};

use std::{
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
};

use borageshore_net::run_event_loop;
use borageshore_standins::platform::ReceivedEndpointOrder;

/// The faults injected during a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Script {
    /// This many faults, drawn from the seed.
    Random(usize),
    /// This many faults, drawn from the seed among more kinds than [`Script::Random`].
    RandomExtended(usize),
    /// These faults, each with its time in ms after traffic began.
    Timed(Vec<(u64, TimedFault)>),
}

/// A fault of [`Script::Timed`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimedFault {
    /// A daemon that runs a submission is killed and restarted.
    KillHolder,
    /// A daemon receives SIGTERM and is restarted after it has exited.
    StopOne,
    /// The store rejects requests of all daemons but the first.
    RejectAllButOne,
    /// The first endpoint of the plain service is unlisted in a part of the store's history that is dropped
    /// before any daemon reads it; the endpoint keeps serving.
    UnlistUnobserved,
    /// The store holds a heartbeat of a daemon's earlier incarnation, whose clock was far ahead.
    HeartbeatFromFuture,
    /// The endpoints of the plain service run every call but drop the responses.
    LoseResponses,
    /// All daemons are killed and restarted once a generation is nearly complete.
    KillAllMidGeneration,
    /// All daemons are killed and restarted while the store answers slowly.
    KillAllWhileStoreIsSlow,
    /// Once a generation is nearly complete, a daemon that runs a submission is partitioned from the store.
    PartitionHolderMidGeneration,
    /// Engines generate each event slowly for the rest of the run.
    SlowAllEngines,
    /// The first engine restarts under the same id with the first version of the weights.
    RestartEngine,
    /// Another writer overwrites the entry of the first endpoint of the plain service.
    ForeignEntry,
    /// The first endpoint of the plain service receives no requests and sends no responses.
    SilentService,
    /// The first endpoint of the plain service writes bytes without end.
    EndlessService,
    /// The first engine writes bytes without end.
    EndlessEngine,
    /// The store writes bytes without end to the first daemon.
    EndlessStore,
    /// The store answers no request.
    StoreOutage,
    /// The store answers no request for longer than a revoked key may be accepted.
    LongOutage,
    /// The daemon that last reported usage is killed and restarted.
    KillReporter,
    /// The daemon that last ordered endpoints is killed and stays away until others have taken over.
    KillScaler,
    /// The daemon that last ordered endpoints is stopped with SIGTERM and stays away until others have taken over.
    StopScaler,
    /// The platform has no endpoints to order.
    NoEndpoints,
    /// The platform drops the responses to calls of duties.
    LoseDutyResponses,
    /// The operator revokes the callers' key; they switch to the next one.
    RevokeKey,
    /// All daemons but the first are suspended for longer than a revoked key may be accepted.
    SuspendAllButOne,
    /// The operator evacuates a zone and takes that back after 8.5 s; needs [`SoakOptions::regions`], as do the rest.
    EvacuateZone(usize),
    /// The endpoints of a zone become cold.
    ColdZone(usize),
    /// A fake daemon, outside the region of the restricted routes, counts as ready for a while.
    ListeningPeer,
    /// All daemons of a zone are killed at the same moment and restarted.
    KillZone(usize),
}

/// Options of a run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Path of the daemon executable.
    pub program: PathBuf,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of endpoints of the plain service.
    pub services: usize,
    /// Duration of traffic.
    pub duration_ms: u64,
    /// Retention of results in seconds; results are not reread at the end if it is shorter than the run.
    pub results_kept_s: u64,
    /// Index of the daemon that receives all submissions; any daemon if `None`.
    pub submit_to: Option<usize>,
    /// Target latency of all routes.
    pub objective_ms: u64,
    /// Number of calls that crash the endpoints of the plain service, each repeated throughout the run.
    pub crashing_calls: usize,
    /// How long a crashing call runs before its endpoint crashes.
    pub crash_after_ms: u64,
    /// How long the caller of a crashing call waits before it disconnects.
    pub crashing_call_timeout_ms: u64,
    /// Number of items of each step under which engines crash when they start them.
    pub crashing_items: usize,
    /// Whether each step contains an item whose reward call crashes the endpoints that run it.
    pub has_crashing_reward: bool,
    /// Whether endpoints crash when they start the reward call of any item.
    pub has_crashing_rewards: bool,
    /// When requests stop crashing endpoints, in ms after traffic began; steps accepted before are not ended. Never if
    /// `None`.
    pub crash_until_ms: Option<u64>,
    /// Time after [`SoakOptions::crash_until_ms`] in which every item accepted before it must have its result.
    pub result_bound_ms: u64,
    /// Whether callers belong to organisations and authenticate with keys.
    pub organisations: bool,
    /// Whether daemons and endpoints are spread over three zones of two regions, with routes and callers that are
    /// restricted to regions, endpoints that start cold, and keys for all callers.
    pub regions: bool,
    /// Whether other callers of the trainer's organisation read and resend its submissions at any daemon, and each
    /// submission has items that can never be done.
    pub observers: bool,
    /// What the settings of the daemons expect beyond the basic service.
    pub features: Vec<&'static str>,
    /// Disabled mechanisms of the daemons, by their names in the settings.
    pub mechanisms_off: Vec<&'static str>,
    /// Megabytes a second that the daemons are told the store's reads return; few make them read from each other.
    pub store_read_mb_per_s: Option<f64>,
    /// The memory that the daemons are told they may use.
    pub memory_mb: Option<u64>,
    /// Whether all items generate many events.
    pub long_generations: bool,
    /// Whether each text of the trainer must come from one version of the weights.
    pub single_version: bool,
    /// Whether the daemons may order endpoints of the engines' service.
    pub endpoint_orders: bool,
    /// The faults to inject.
    pub script: Script,
    /// Folder of the daemons' settings and logs.
    pub folder: PathBuf,
    /// Whether the logs are kept when the run succeeds.
    pub keeps_logs: bool,
}

impl SoakOptions {
    /// Default options: four daemons for fifteen seconds.
    pub fn new(program: PathBuf, seed: u64) -> Self {
        Self {
            program,
            seed,
            daemons: 4,
            engines: 4,
            services: 2,
            duration_ms: 15_000,
            results_kept_s: 120,
            submit_to: None,
            objective_ms: 200,
            crashing_calls: 0,
            crash_after_ms: 0,
            crashing_call_timeout_ms: 2_500,
            crashing_items: 0,
            has_crashing_reward: false,
            has_crashing_rewards: false,
            crash_until_ms: None,
            result_bound_ms: 5_000,
            organisations: false,
            regions: false,
            observers: false,
            features: Vec::new(),
            mechanisms_off: Vec::new(),
            store_read_mb_per_s: None,
            memory_mb: None,
            long_generations: false,
            single_version: false,
            endpoint_orders: false,
            script: Script::RandomExtended(8),
            folder: run_folder(seed),
            keeps_logs: false,
        }
    }
}

/// A folder of its own for each run: runs of one process may have the same seed, and would overwrite each other's settings.
fn run_folder(seed: u64) -> PathBuf {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    std::env::temp_dir().join(format!("borageshore-soak-{process}-{run}-{seed}"))
}

/// What was seen in a world with [`SoakOptions::regions`].
#[derive(Debug, Clone, Default)]
pub struct RegionReport {
    /// Requests that reached an evacuated zone later than the bound, also from daemons that were disturbed.
    pub late_in_evacuated_zones: Vec<String>,
    /// Daemons outside the region of restricted submissions that the store sent bodies of these, and how many; without
    /// [`SoakOptions::observers`], who ask any daemon.
    pub bodies_outside: Vec<String>,
    /// Submissions that daemons passed on to [`TimedFault::ListeningPeer`], and those of them that are restricted.
    pub submissions_passed_on: (usize, usize),
    /// Requests that reached the endpoints of a zone after its evacuation was taken back.
    pub requests_after_return: usize,
    /// Requests that reached cold endpoints.
    pub cold_requests: usize,
    /// The most of them at one endpoint in a second.
    pub max_cold_requests_per_s: usize,
    /// Calls restricted to regions that were answered with success.
    pub restricted_answered: usize,
    /// Calls restricted to regions without success.
    pub restricted_unanswered: usize,
    /// How long callers waited for the refusal of calls that have no region, at daemons that were not disturbed.
    pub unservable_waits_ms: Vec<u64>,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Handle of the daemons' logs.
    pub logs: Logs,
    /// The injected faults with their start times.
    pub faults: Vec<String>,
    /// Calls answered with success.
    pub calls_answered: usize,
    /// Calls made, without crashing calls and those with revoked keys.
    pub calls: usize,
    /// Calls without success, each with its daemon, status (0 for no response) and times.
    pub unanswered: Vec<String>,
    /// Accepted submissions.
    pub submissions: usize,
    /// Submission attempts that were not answered with an acceptance.
    pub not_accepted: usize,
    /// Records of submissions in the store at the end.
    pub stored_submission_records: usize,
    /// Runs that resumed a generation from a previous run's events.
    pub resumed_runs: usize,
    /// Time from the last kill of all daemons to the first order after it.
    pub first_order_after_kill_ms: Option<u64>,
    /// How often daemons asked the store for the members after all were killed while it answered slowly.
    pub member_loads_after_kill: Option<usize>,
    /// Largest number of events of one item that were generated more than once.
    pub max_regenerated_events: u64,
    /// Runs and orders that the first engine received after its last start.
    pub runs_and_orders_after_restart: (usize, usize),
    /// Calls that reached the first endpoint of the plain service while its entry was overwritten by another
    /// writer and daemons had had time to read that.
    pub calls_by_foreign_entry: usize,
    /// Largest time by which the deadline passed to an endpoint exceeded that of the caller.
    pub max_overtime_ms: u64,
    /// Times at which harmless calls were refused because they were held back.
    pub harmless_held_at_ms: Vec<u64>,
    /// Due usage windows whose report is missing or wrong.
    pub wrong_windows: Vec<String>,
    /// Orders for endpoints.
    pub endpoint_orders: Vec<ReceivedEndpointOrder>,
    /// Times at which calls with a valid key were refused as unauthorized.
    pub unauthorized_at_ms: Vec<u64>,
    /// Crashes of endpoints caused by requests.
    pub crashed_endpoints: usize,
    /// Crashing calls that were held back.
    pub crashing_calls_held: usize,
    /// Distinct results read.
    pub results: usize,
    /// Items that were given up before the end of their submission.
    pub given_up: usize,
    /// Requests of observers that were answered, and all.
    pub observations: (usize, usize),
    /// Connections that were answered without end.
    pub endless_answers: usize,
    /// The most memory that a daemon that runs at the end has used.
    pub most_memory_kb: u64,
    /// What was seen of regions.
    pub regions: RegionReport,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// The folder of a run's logs. Dropping it removes the folder, unless a guarantee was violated, the thread is
/// panicking, or [`SoakOptions::keeps_logs`] is set.
#[derive(Debug)]
pub struct Logs {
    folder: PathBuf,
    are_wanted: bool,
}

impl Logs {
    fn open(folder: PathBuf, are_wanted: bool) -> Self {
        Self { folder, are_wanted }
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        if self.are_wanted || std::thread::panicking() {
            eprintln!("logs in {}", self.folder.display());
        } else if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            eprintln!("cannot remove {}: {error}", self.folder.display());
        }
    }
}

/// Runs one seed. The daemons' logs are kept if the run fails, see [`Logs`].
pub fn run_seed(options: &SoakOptions) -> std::io::Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)?;
    run_event_loop(world::run(options))
}
