//! Small stand-ins for everything outside: the platform, endpoints, trainers and callers.
//!
//! They exist for tests, examples and measurements and are no part of the shipped binary. Each
//! answers over HTTP and takes switches that make it fail in one of the ways that the users named.
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
