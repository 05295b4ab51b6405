//! The long form of the search: `cargo run --release -p millethook-distribution --example search -- 100000`. Prints the
//! shortest script of each failure, and the seed that reproduces it.

#[path = "../tests/it/common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{play, script};
use millethook_machine::search::{Search, argument};

fn main() -> ExitCode {
    let search = Search { threads: argument(3).unwrap_or(3), ..Search::from_args() };
    let (accepted, committed) = (AtomicU64::new(0), AtomicU64::new(0));
    let found = search.run(
        || script(60),
        |seed, script| {
            let world = play(seed, script)?;
            let oracle = world.oracle.borrow();
            accepted.fetch_add(oracle.accepted_count, Ordering::Relaxed);
            committed.fetch_add(oracle.committed_count(), Ordering::Relaxed);
            Ok(())
        },
    );
    let (accepted, committed) = (accepted.into_inner(), committed.into_inner());
    search.report(&format!("{committed} committed, {accepted} times in force"), &found)
}
