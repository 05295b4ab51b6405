//! Random input for a membership: lists that are repeated, late, of an earlier version or cut short, snapshots of any
//! age, trials with any outcome, and time that jumps. After each step the membership's own invariants hold, and the
//! balancer has the list that follows from the input.
//!
//! Time does not go back while a process runs, because the membership store's clock is never set back. Times in
//! snapshots are arbitrary.

mod common;

use common::{run_script, script};
use proptest::prelude::*;

/// The maximum number of steps of a script.
const MAX_STEPS: usize = 60;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_under_random_input(script in script(MAX_STEPS)) {
        if let Err(violation) = run_script(&script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// The long form of the test above.
    #[test]
    #[ignore = "takes minutes"]
    fn invariants_hold_under_long_random_input(script in script(4 * MAX_STEPS)) {
        if let Err(violation) = run_script(&script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

/// For each disabled rule, the same search finds a violation.
#[cfg(feature = "mutants")]
#[test]
fn each_missing_rule_is_found() {
    use millethook_membership::mutant::{Mutant, become_mutant};
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    let mut missed = Vec::new();
    for mutant in Mutant::ALL {
        become_mutant(Some(*mutant));
        let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
        let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config, random);
        let found = runner
            .run(&script(MAX_STEPS), |script| run_script(&script).map_err(TestCaseError::fail));
        become_mutant(None);
        match found {
            Ok(()) => missed.push(*mutant),
            Err(found) => println!("{mutant:?}: {found}"),
        }
    }
    assert!(missed.is_empty(), "not missed by any test: {missed:?}");
}
