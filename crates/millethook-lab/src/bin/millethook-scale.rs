//! `millethook-scale`: measures the resource use of sidecars, servers and discovery as the fleet grows.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    millethook_lab::scale::main()
}
