//! The gateway daemon: serves callers and batch submissions with engines, and coordinates through the platform's store.
//!
//! Each module owns its state; [`Gateway::spawn`] connects them. Durable state is in the store, from which a daemon
//! rebuilds its views when it starts.
//!
//! ```
//! use borageshore_gateway::GatewayConfig;
//!
//! let fault = GatewayConfig::parse("vm-1.yaml", "name: vm-1").unwrap_err();
//! assert_eq!(fault.fault.code.number(), 2007);
//! ```

mod acceptance;
mod access;
mod calls;
mod cleaner;
mod config;
mod dispatch;
mod duties;
mod endpoints;
mod evacuations;
mod feed;
mod fleet_records;
mod follow;
mod gateway;
mod item;
mod ledger_view;
mod lifecycle;
mod mechanisms;
mod members;
mod operator_records;
mod orderer;
mod overload;
mod peers;
mod progress;
mod quarantine;
mod rewards;
mod routes;
mod runner;
mod scaling;
mod server;
mod shard;
mod store_transport;
mod submission_index;
mod submissions;
mod text_cache;
mod true_time;
mod usage;
mod waits;
mod watch;
mod writer;

pub use self::{config::GatewayConfig, gateway::Gateway, mechanisms::Mechanism};
