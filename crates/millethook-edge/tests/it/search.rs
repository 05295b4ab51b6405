//! Random load and random faults: no acknowledged write is lost, executed twice or executed out of order.

use crate::common::{play, script};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_write_is_lost_executed_twice_or_out_of_order(seed: u64, script in script(50, false)) {
        play(seed, &script).map_err(TestCaseError::fail)?;
    }

    #[test]
    fn flipped_bits_execute_no_write_twice(seed: u64, script in script(50, true)) {
        play(seed, &script).map_err(TestCaseError::fail)?;
    }
}

/// The same search detects the absence of each rule.
#[cfg(feature = "mutants")]
#[test]
fn each_missing_rule_is_found() {
    use millethook_edge::mutant::{Mutant, become_mutant};
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

    for mutant in Mutant::ALL {
        become_mutant(Some(*mutant));
        let config = Config { cases: 10_000, failure_persistence: None, ..Config::default() };
        let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config, random);
        let found = runner.run(&(any::<u64>(), script(50, true)), |(seed, script)| {
            play(seed, &script).map(drop).map_err(TestCaseError::fail)
        });
        become_mutant(None);
        let found = found.expect_err(&format!("{mutant:?} is not missed"));
        println!("{mutant:?}: {found}");
    }
}
