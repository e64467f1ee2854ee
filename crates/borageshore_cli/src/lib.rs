//! The command line of the binary: runs daemons and the operators' commands.
//!
//! ```
//! use borageshore_cli::exit_code_of;
//! use borageshore_base::ResultCode;
//!
//! assert_eq!(exit_code_of(ResultCode::RevisionConflict), 4);
//! ```

mod arguments;
mod client;
mod handover;
mod run;
mod settings;
mod show;
mod steps;

pub use self::{
    client::{CommandError, exit_code_of},
    run::run,
    steps::{LastItem, Step, parse_steps},
};
