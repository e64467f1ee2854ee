//! A deterministic simulation of several daemons' decision logic around an in-memory log.
//!
//! Scripted scenarios and the fuzzer drive a [`World`]: members read the log and propose records, an
//! engine and a plain service count the requests that reach them, a trainer pulls samples. There are no
//! sockets, threads, real clocks or network model: a member acts only when the driver calls it.
//!
//! ```
//! use borageshore_scenarios::World;
//!
//! let mut world = World::open(&["a", "b"]);
//! world.settle();
//! assert!(world.check().is_ok());
//! ```

mod log;
mod member;
mod oracle;
mod world;

pub use self::{
    log::MemoryLog,
    member::Member,
    oracle::{Oracle, Violation},
    world::{CallReply, JOB, PullReply, World},
};
