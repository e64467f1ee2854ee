//! Stand-ins (fakes) for the systems around the daemons: platform, endpoints, trainers and callers.
//!
//! Used by tests, examples and benchmarks, not by the shipped binary. All of them speak HTTP; the
//! servers have switches that inject faults.
//!
//! ```
//! use borageshore_standins::expected_token;
//!
//! assert_eq!(expected_token("a prompt", 3), expected_token("a prompt", 3));
//! assert_ne!(expected_token("a prompt", 3), expected_token("another prompt", 3));
//! ```

pub mod callers;
pub mod engine;
pub mod log;
pub mod plain;
pub mod platform;
pub mod trainer;
pub mod vm_list;
pub mod weight_store;

mod http;

pub use self::engine::expected_token;
