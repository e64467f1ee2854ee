//! A rollout service for reinforcement learning that shares engines with live inference traffic.
//!
//! This package re-exports the crates of the workspace.
//!
//! ```
//! use borageshore::settings::SettingsFold;
//!
//! let tree = SettingsFold::default();
//! assert_eq!(tree.tree().node_names().count(), 0);
//! ```

pub use borageshore_api as api;
pub use borageshore_base as base;
pub use borageshore_batch as batch;
pub use borageshore_chart as chart;
pub use borageshore_cli as cli;
pub use borageshore_daemon as daemon;
pub use borageshore_diagnostics as diagnostics;
pub use borageshore_gateway as gateway;
pub use borageshore_lease as lease;
pub use borageshore_log as log;
pub use borageshore_membership as membership;
pub use borageshore_net as net;
pub use borageshore_platform as platform;
pub use borageshore_rollout as rollout;
pub use borageshore_routing as routing;
pub use borageshore_settings as settings;
pub use borageshore_wire as wire;
