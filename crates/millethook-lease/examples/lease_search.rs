//! The long form of the random search: `cargo run --release -p millethook-lease --example lease_search -- 100000`.
//! Prints the shortest script that finds a violation, and the seed that reproduces it.

#[path = "../tests/it/common/mod.rs"]
mod common;

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{play, script};
use millethook_machine::search::Search;

fn main() -> ExitCode {
    let search = Search::from_args();
    let (effects, stale) = (AtomicU64::new(0), AtomicU64::new(0));
    let found = search.run(
        || script(60),
        |seed, script| {
            let world = play(seed, script)?;
            effects.fetch_add(world.effects, Ordering::Relaxed);
            stale.fetch_add(world.stale, Ordering::Relaxed);
            Ok(())
        },
    );
    let (effects, stale) = (effects.into_inner(), stale.into_inner());
    search.report(&format!("{effects} effects, {stale} refused as stale"), &found)
}
