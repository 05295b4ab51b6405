//! Random load and faults, checked for two owners, stale effects, tokens that do not increase, and each member's
//! invariants.

use crate::common::{play, script};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_load_and_faults_break_no_invariant(seed: u64, script in script(60)) {
        if let Err(violation) = play(seed, &script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

/// The same search detects each rule that is disabled.
#[cfg(feature = "mutants")]
#[test]
fn each_mutant_is_found() {
    use millethook_lease::mutant::{Mutant, become_mutant};
    use proptest::test_runner::{Config, TestRunner};

    for mutant in Mutant::ALL {
        become_mutant(Some(*mutant));
        let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(
            config,
            proptest::test_runner::TestRng::deterministic_rng(
                proptest::test_runner::RngAlgorithm::ChaCha,
            ),
        );
        let found = runner.run(&(any::<u64>(), script(60)), |(seed, script)| {
            play(seed, &script).map(drop).map_err(TestCaseError::fail)
        });
        become_mutant(None);
        let found = found.expect_err(&format!("{mutant:?} is not detected"));
        println!("{mutant:?}: {found}");
    }
}
