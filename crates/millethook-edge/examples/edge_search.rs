//! Long random search: `cargo run --release -p millethook-edge --example edge_search -- RUNS FIRST FLIPS` plays RUNS
//! scripts from seed FIRST on, with bit flips unless FLIPS is 0. Prints the shortest failing script and the seed that
//! reproduces it.

#[path = "../tests/it/common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{play, script};
use millethook_machine::search::{Search, argument};

fn main() -> ExitCode {
    let search = Search::from_args();
    let flips = argument(3).unwrap_or(0) > 0;
    let (kept, effects) = (AtomicU64::new(0), AtomicU64::new(0));
    let found = search.run(
        || script(50, flips),
        |seed, script| {
            let world = play(seed, script)?;
            kept.fetch_add(world.stored, Ordering::Relaxed);
            effects.fetch_add(world.effects, Ordering::Relaxed);
            Ok(())
        },
    );
    let (kept, effects) = (kept.into_inner(), effects.into_inner());
    search.report(&format!("{kept} writes kept, {effects} took effect"), &found)
}
