//! A fault soak: real daemons as processes of their own, stand-ins for the platform, faults from the
//! outside, and the promises checked from what callers, trainers and endpoints see.
//!
//! A run follows from its seed, as far as processes on a machine do: the same faults come at the same
//! moments. [`run_seed`] plays one; the program `soak` plays many.
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
mod oracle;
mod traffic;
mod usage;
mod world;

use std::path::PathBuf;

use borageshore_net::run_event_loop;

/// The faults of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Script {
    /// So many, drawn from the seed.
    Random(usize),
    /// So many, drawn from the seed among more kinds.
    RandomExtended(usize),
    /// These, each at its time after traffic began.
    Timed(Vec<(u64, TimedFault)>),
}

/// A fault at a set time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimedFault {
    /// The daemon that runs a submission is killed and starts again a second later.
    KillHolder,
    /// A daemon gets SIGTERM and starts again when it has ended.
    StopOne,
    /// The store turns all daemons but one away for two seconds.
    RejectAllButOne,
    /// The first endpoint of the plain service leaves the list in a part of the history that no daemon
    /// sees, and goes on serving.
    UnlistUnobserved,
    /// The store holds a heartbeat of a daemon's earlier life, when its clock was far ahead.
    HeartbeatFromFuture,
    /// The plain services run every call and answer none.
    LoseResponses,
    /// All daemons are killed once a text is nearly complete, and start again.
    KillAllMidGeneration,
    /// Once a text is nearly complete, the daemon that runs it loses its connections to the store.
    PartitionHolderMidGeneration,
    /// Engines take their time for each event from then on.
    SlowAllEngines,
    /// The first engine starts again under its id, with the first version of the weights.
    RestartEngine,
    /// Another writer replaces the entry of the first endpoint of the plain service.
    ForeignEntry,
    /// The store answers nobody.
    StoreOutage,
    /// The store answers nobody for longer than a key that was taken away may be good.
    LongOutage,
    /// The daemon that last reported usage is killed and starts again a second later.
    KillReporter,
    /// The platform answers no call of a duty.
    LoseDutyResponses,
    /// The operator takes the callers' key away; they have another one.
    RevokeKey,
    /// All daemons but the first are suspended for longer than a key that was taken away may be good.
    SuspendAllButOne,
}

/// What to play.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The program of the daemons.
    pub program: PathBuf,
    /// Decides everything that is drawn.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// Endpoints of the plain service.
    pub services: usize,
    /// How long traffic and faults go on.
    pub duration_ms: u64,
    /// How long results can be read; they are not read at the end if it is shorter than the run.
    pub results_kept_s: u64,
    /// The daemon that gets all submissions; any if there is none.
    pub submit_at: Option<usize>,
    /// Within which time callers want their answers; daemons go by it.
    pub objective_ms: u64,
    /// Calls that crash the endpoints of the plain service, each repeated all the while.
    pub crashing_calls: usize,
    /// How long such a call runs before its endpoint crashes.
    pub crash_after_ms: u64,
    /// How long its caller waits before it leaves.
    pub crashing_call_timeout_ms: u64,
    /// Whether each step has an item that crashes the engines that run it.
    pub has_crashing_item: bool,
    /// Whether the reward call of an item of each step crashes the endpoints that run it.
    pub has_crashing_reward: bool,
    /// Whether callers belong to organisations and have keys.
    pub organisations: bool,
    /// Mechanisms of the daemons that are switched off, by their names in the settings.
    pub mechanisms_off: Vec<&'static str>,
    /// Whether all texts are long ones.
    pub long_generations: bool,
    /// The faults.
    pub script: Script,
    /// Where the daemons' logs go.
    pub folder: PathBuf,
    /// Whether the logs stay, however the run goes.
    pub keeps_logs: bool,
}

impl SoakOptions {
    /// The usual size: four daemons for fifteen seconds.
    pub fn new(program: PathBuf, seed: u64) -> Self {
        Self {
            program,
            seed,
            daemons: 4,
            engines: 4,
            services: 2,
            duration_ms: 15_000,
            results_kept_s: 120,
            submit_at: None,
            objective_ms: 200,
            crashing_calls: 0,
            crash_after_ms: 0,
            crashing_call_timeout_ms: 2_500,
            has_crashing_item: false,
            has_crashing_reward: false,
            organisations: false,
            mechanisms_off: Vec::new(),
            long_generations: false,
            script: Script::RandomExtended(8),
            folder: std::env::temp_dir()
                .join(format!("borageshore-soak-{}-{seed}", std::process::id())),
            keeps_logs: false,
        }
    }
}

/// What came of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// The daemons' logs.
    pub logs: Logs,
    /// The faults, with when they began.
    pub faults: Vec<String>,
    /// Calls that were answered with success.
    pub calls_answered: usize,
    /// Calls made.
    pub calls: usize,
    /// The calls that were not, with the daemon, the status (0 for no answer) and the time.
    pub unanswered: Vec<String>,
    /// Submissions accepted.
    pub submissions: usize,
    /// Submissions that were answered otherwise than with an acceptance, each time.
    pub not_accepted: usize,
    /// Records of submissions that the store holds at the end.
    pub stored_submission_records: usize,
    /// Runs that went on with a text that another engine had begun.
    pub resumed_runs: usize,
    /// From the last stop of all daemons to the first order after it, in ms.
    pub first_order_after_kill_ms: Option<u64>,
    /// The most events of one item that were made more than once.
    pub max_regenerated_events: u64,
    /// Runs and orders that the first engine saw after its last start.
    pub runs_and_orders_after_restart: (usize, usize),
    /// Calls that reached the first endpoint of the plain service while another writer's entry stood in
    /// its place and daemons had had time to see it.
    pub calls_by_foreign_entry: usize,
    /// By how much an endpoint was told to work on a call beyond the time that its caller waits, at the most.
    pub max_overtime_ms: u64,
    /// When calls that crash nothing were refused as ones that do, in ms.
    pub harmless_held_at_ms: Vec<u64>,
    /// Windows of usage whose report is missing or wrong, of those that were due.
    pub wrong_windows: Vec<String>,
    /// Calls that were refused as nobody's, each with its time in ms.
    pub unauthorized_at_ms: Vec<u64>,
    /// Endpoints that crashed under a request.
    pub crashed_endpoints: usize,
    /// Calls that crash endpoints and were refused for it.
    pub crashing_calls_held: usize,
    /// Results read, each once.
    pub results: usize,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// The folder of a run's logs, removed with this handle unless they are wanted: a promise was broken, a check of
/// the report panics, or the options say so.
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
            eprintln!("{} is left: {error}", self.folder.display());
        }
    }
}

/// Plays one seed. The daemons' logs stay in the folder if the run fails, see [`Logs`].
pub fn run_seed(options: &SoakOptions) -> std::io::Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)?;
    run_event_loop(world::play(options))
}
