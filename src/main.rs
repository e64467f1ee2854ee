//! The binary: daemon and operators' commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    borageshore::cli::run()
}
