//! Random load on the pool: requests, connections that end in each state, servers that are removed and come back, and
//! time that jumps. The invariants of the pool and the rules of the model are checked after each step.

mod common;

use common::{run_script, script};
use proptest::prelude::*;

/// The maximum length of a script.
const STEPS: usize = 80;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_load_breaks_no_rule(script in script(STEPS)) {
        if let Err(violation) = run_script(&script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// The same with more and longer scripts.
    #[test]
    #[ignore = "takes minutes"]
    fn long_random_load_breaks_no_rule(script in script(4 * STEPS)) {
        if let Err(violation) = run_script(&script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

/// The same search finds a violation with each mutant.
#[cfg(feature = "mutants")]
#[test]
fn each_missing_rule_is_found() {
    use millethook_connect::mutant::{Mutant, become_mutant};
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    let mut missed = Vec::new();
    for mutant in Mutant::ALL {
        become_mutant(Some(*mutant));
        let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
        let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config, random);
        let found =
            runner.run(&script(STEPS), |script| run_script(&script).map_err(TestCaseError::fail));
        become_mutant(None);
        match found {
            Ok(()) => missed.push(*mutant),
            Err(found) => println!("{mutant:?}: {found}"),
        }
    }
    assert!(missed.is_empty(), "mutants without a violation: {missed:?}");
}
