//! The daemon on the users' platform: callers, batch submissions and engines, joined by the store.
//!
//! Each subject owns its state and is reached through a few functions: [`Gateway::spawn`] puts them
//! together. What must last is in the store; a daemon that starts folds it and is whole again.
//!
//! ```
//! use borageshore_gateway::GatewayConfig;
//!
//! let fault = GatewayConfig::parse("vm-1.yaml", "name: vm-1").unwrap_err();
//! assert_eq!(fault.fault.code.number(), 2007);
//! ```

mod access;
mod calls;
mod cleaner;
mod config;
mod dispatch;
mod duties;
mod endpoints;
mod fleet_records;
mod follow;
mod gateway;
mod item;
mod ledger_view;
mod lifecycle;
mod mechanisms;
mod members;
mod orderer;
mod peers;
mod progress;
mod quarantine;
mod rewards;
mod routes;
mod runner;
mod server;
mod store_transport;
mod submission_index;
mod submissions;
mod texts;
mod true_time;
mod usage;
mod watch;
mod writer;

pub use self::{config::GatewayConfig, gateway::Gateway, mechanisms::Mechanism};
