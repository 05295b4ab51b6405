//! Random changes and random faults must not lead to versions that go back, two documents under one version, documents
//! in force that are damaged, not committed, refused, or for others, or violations of a member's own invariants.

use crate::common::{Script, play, script};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// The number of cases here, which are always the same; `examples/search.rs` tries others, and more.
const CASES: u32 = 24;

fn runner(cases: u32) -> TestRunner {
    let config =
        Config { cases, max_shrink_iters: 50, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn search(cases: u32) -> Result<(), TestError<(u64, Script)>> {
    runner(cases).run(&(any::<u64>(), script(60)), |(seed, script)| {
        play(seed, &script).map(drop).map_err(TestCaseError::fail)
    })
}

#[test]
fn invariants_hold_under_random_changes_and_faults() {
    if let Err(found) = search(CASES) {
        panic!("{found}");
    }
}

#[test]
fn invariants_hold_in_known_corner_cases() {
    for script in crate::common::corner_cases() {
        for seed in 0..5 {
            if let Err(failure) = play(seed, &script) {
                panic!("{failure}: {script:?}");
            }
        }
    }
}

/// The same search detects each rule that is removed.
#[cfg(feature = "mutants")]
#[test]
fn each_missing_rule_is_found() {
    use millethook_distribution::mutant::{Mutant, become_mutant};

    for mutant in Mutant::ALL {
        become_mutant(Some(*mutant));
        let corner = crate::common::corner_cases().iter().any(|script| play(7, script).is_err());
        if corner {
            become_mutant(None);
            println!("{mutant:?}: found in a known corner case");
            continue;
        }
        let found = search(4_000);
        become_mutant(None);
        let found = found.expect_err(&format!("{mutant:?} is not detected"));
        println!("{mutant:?}: {found}");
    }
}
