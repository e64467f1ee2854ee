//! Command-line arguments.

use std::{path::PathBuf, sync::Arc};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// A rollout service for reinforcement learning beside live inference traffic.
#[derive(Debug, Parser)]
#[command(name = "borageshore", version, about)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub(crate) connection: Connection,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// How operators' commands reach a daemon.
#[derive(Debug, Args)]
pub(crate) struct Connection {
    /// The address of any daemon.
    #[arg(
        long,
        global = true,
        env = "BORAGESHORE_DAEMON",
        default_value = "127.0.0.1:7100"
    )]
    pub(crate) daemon: Arc<str>,
    /// The operator token.
    #[arg(
        long,
        global = true,
        env = "BORAGESHORE_TOKEN",
        hide_env_values = true,
        default_value = ""
    )]
    pub(crate) token: Arc<str>,
    /// Prints JSON instead of text.
    #[arg(long, global = true)]
    pub(crate) json: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a daemon until SIGTERM, SIGINT or `drain`.
    Daemon {
        /// The process's settings.
        #[arg(long)]
        config: PathBuf,
    },
    /// Runs a daemon on the users' platform until SIGTERM or SIGINT.
    Gateway {
        /// The process's settings.
        #[arg(long)]
        config: PathBuf,
    },
    /// Checks a daemon's process settings without starting it.
    CheckConfig {
        /// The file.
        file: PathBuf,
    },
    /// Looks at and changes the settings tree.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Shows who changed what, when, from which revision and why.
    Audit {
        /// Only changes of this many hours.
        #[arg(long, default_value_t = 24)]
        hours: u64,
    },
    /// Shows daemons, streams, leases, jobs and endpoints.
    Status,
    /// Shows the jobs with their owners.
    Jobs,
    /// Stops the daemon that is asked, without cutting a request.
    Drain,
    /// Shows an incoming shift what is in force and what changed.
    Handover {
        /// The length of the outgoing shift.
        #[arg(long, default_value_t = 8)]
        hours: u64,
    },
    /// Shows what each step of the trainers waited for, from daemons' logs.
    Steps {
        /// Files with log lines of all daemons, in any order.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Writes a shell completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Shows own values of all nodes, of one node, or of one key.
    Get {
        /// The node.
        node: Option<Arc<str>>,
        /// The key.
        key: Option<Arc<str>>,
    },
    /// Sets a key.
    Set {
        /// The node.
        node: Arc<str>,
        /// The key.
        key: Arc<str>,
        /// The value.
        value: String,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Unsets a key, so that the inherited value holds again.
    Unset {
        /// The node.
        node: Arc<str>,
        /// The key.
        key: Arc<str>,
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Shows every key in force at a node and the ancestor that it comes from.
    Explain {
        /// The node.
        node: Arc<str>,
        /// Only this key.
        key: Option<Arc<str>>,
    },
    /// Shows what a file would change.
    Diff {
        /// The file.
        file: PathBuf,
    },
    /// Shows the changes of a node or key.
    History {
        /// The node.
        node: Arc<str>,
        /// The key.
        key: Option<Arc<str>>,
    },
    /// Checks a file by itself, without a daemon.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Brings the tree to what a file says, as one change.
    Apply {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        who: WhoArguments,
    },
}

/// Who changes something, and why.
#[derive(Debug, Args)]
pub(crate) struct WhoArguments {
    /// Who asks for the change.
    #[arg(long, env = "BORAGESHORE_ACTOR")]
    pub(crate) actor: Arc<str>,
    /// Why.
    #[arg(long)]
    pub(crate) reason: Arc<str>,
}

/// A change of one key.
#[derive(Debug, Args)]
pub(crate) struct ChangeArguments {
    #[command(flatten)]
    pub(crate) who: WhoArguments,
    /// The revision that the change is based on; the present one if it is left out.
    #[arg(long)]
    pub(crate) based_on: Option<u64>,
}
