//! The daemon: an event loop that connects the crates with the decision logic to sockets, timers and
//! the platform.
//!
//! [`Daemon::spawn`] returns a running daemon; [`Daemon::run_until_stopped`] completes after its
//! graceful stop. Each module under `platform` is the client of one external system, so that a change
//! of that system's protocol is confined to one file.
//!
//! ```
//! use borageshore_daemon::Config;
//!
//! let faults = Config::parse("vm-1.yaml", "name: vm-1").unwrap_err();
//! assert_eq!(faults.fault.code.number(), 2007);
//! ```

mod addresses;
mod admin;
mod admission;
mod calls;
mod config;
mod control;
mod daemon;
mod drain;
mod edge;
mod generation;
mod gossip;
mod jobs;
mod metrics;
mod peer_client;
mod peer_server;
mod platform;
mod samples;
mod stream;
mod swaps;

pub use self::{
    config::Config,
    daemon::{Daemon, Phase},
    platform::engine,
};
