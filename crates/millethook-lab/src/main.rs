//! `millethook-lab`: runs timelines of faults on fleets of daemons.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    millethook_lab::cli::main()
}
