//! A handful of decision cores around an in-memory log, moved by hand.
//!
//! [`World`] is what scripted scenarios and the fuzzer drive: members fold and propose, an engine
//! and a plain service count what reaches them, a trainer pulls. There are no sockets, threads or
//! clocks, and no model of a network: a member acts only when it is told to.
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
