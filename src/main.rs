//! The `borageshore` binary: the daemon and the operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    borageshore::cli::run()
}
