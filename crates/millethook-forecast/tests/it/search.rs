//! Random load on samples, merges and forecasts: late and repeated accesses, bursts, clock jumps, and changes that do
//! not apply. The invariants of each are checked after each step.

use crate::common::load::{
    compare_with_reference_connections, merge_expired_and_full_samples, play, script, uses,
};
use millethook_forecast::{Access, MAX_ACCESSES, Micros, Sample};
use proptest::prelude::*;

/// Maximum length of a script.
const MAX_STEPS: usize = 14;

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_load_violates_no_invariant(script in script(MAX_STEPS)) {
        if let Err(violation) = play(&script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn connection_hits_match_a_reference_list(uses in uses()) {
        if let Err(violation) = compare_with_reference_connections(&uses) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 5_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Long variant with longer scripts and more cases.
    #[test]
    #[ignore = "takes minutes"]
    fn long_random_load_violates_no_invariant(script in script(4 * MAX_STEPS)) {
        if let Err(violation) = play(&script) {
            return Err(TestCaseError::fail(violation));
        }
    }
}

#[test]
fn expiring_accesses_do_not_thin_a_merged_sample() {
    assert_eq!(merge_expired_and_full_samples(), Ok(()));
}

/// An item whose mixed hash is 0 is in each sample, however thin.
#[test]
fn a_sample_of_one_item_is_bounded() {
    let mut sample = Sample::new(1.0, 1_000);
    for _ in 0..=MAX_ACCESSES {
        sample.add(Access { at: 7, item: 0, zone: 0, class: 0, duration: 0 });
    }
    assert_eq!((sample.len(), sample.check()), (MAX_ACCESSES, Ok(())));
}

#[test]
fn the_highest_clock_value_violates_no_invariant() {
    let mut sample = Sample::new(1.0, 1_000);
    for at in [Micros::MAX - 1, Micros::MAX, 5] {
        sample.add(Access { at, item: 1, zone: 0, class: 0, duration: Micros::MAX });
    }
    let mut other = Sample::new(1.0, 1_000);
    other.merge(&sample, i64::MIN);
    assert_eq!((sample.len(), sample.check(), other.check()), (2, Ok(()), Ok(())));
}

/// The same search, or the checks in `laws`, detects the absence of each rule.
#[cfg(feature = "mutants")]
#[test]
fn each_missing_rule_is_found() {
    use millethook_forecast::mutant::{Mutant, become_mutant};
    use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

    let mut missed = Vec::new();
    for mutant in Mutant::ALL
        .iter()
        .filter(|mutant| !crate::common::load::RULES_CHECKED_BY_LAWS.contains(mutant))
    {
        become_mutant(Some(*mutant));
        let merged = merge_expired_and_full_samples();
        let config = Config {
            cases: if merged.is_ok() { 2_000 } else { 0 },
            failure_persistence: None,
            ..Config::default()
        };
        let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config, random);
        let found = runner.run(&(script(MAX_STEPS), uses()), |(script, uses)| {
            play(&script).map_err(TestCaseError::fail)?;
            compare_with_reference_connections(&uses).map_err(TestCaseError::fail)
        });
        become_mutant(None);
        if let Err(error) = merged {
            println!("{mutant:?}: {error}");
            continue;
        }
        match found {
            Ok(()) => missed.push(*mutant),
            Err(found) => println!("{mutant:?}: {found}"),
        }
    }
    assert!(missed.is_empty(), "not missed by any test: {missed:?}");
}
