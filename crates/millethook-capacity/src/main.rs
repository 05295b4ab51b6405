//! `millethook-capacity`: writes or checks the tables of `docs/CAPACITY.md`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Computes the tables of docs/CAPACITY.md from the measurements in docs/capacity.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Root folder of the repository.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Write the tables into the page.
    Write,
    /// Check the page, and fail if a table differs from the measurements.
    Check,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match arguments.command {
        Command::Write => millethook_capacity::write(&arguments.root),
        Command::Check => millethook_capacity::check(&arguments.root),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
