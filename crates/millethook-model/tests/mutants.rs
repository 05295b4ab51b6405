//! Each fault injected between the fleet and the decisions is detected by the rule that it violates, and shrinking
//! keeps a plan that reproduces it.

use std::collections::BTreeSet;

use millethook_explore::mutant::Mutant;
use millethook_model::fleet::play;
use millethook_model::generate;
use millethook_model::injected_fault::InjectedFault;
use millethook_model::judge::Rule;
use millethook_model::shrink::shrink;

/// Mutants without effect in this model: answers do not come in parts, and the driver itself cancels the open attempts
/// of a departed client or an answered request.
const WITHOUT_EFFECT: [Mutant; 3] =
    [Mutant::HidesFirstBytes, Mutant::HidesDepartedClients, Mutant::CancelledAsMoot];

/// Each fault, the seed of the smallest plan of a search that shows it, and the rule that it violates there. The
/// searches covered 16 seeds each, and 60 for `HidesColdness` and `WidensWindow`, which need more.
const CASES: [(InjectedFault, u64, Rule); 23] = [
    (InjectedFault::Mutant(Mutant::LosesTimers), 3, Rule::InTime),
    (InjectedFault::Mutant(Mutant::LosesFollowingTimers), 3, Rule::InTime),
    (InjectedFault::Mutant(Mutant::TimedOutAsFull), 3, Rule::RefusedUnrun),
    (InjectedFault::Mutant(Mutant::ResetAsConnectFailed), 9, Rule::UnsafeOnce),
    (InjectedFault::Mutant(Mutant::ErrorAsFull), 15, Rule::UnsafeOnce),
    (InjectedFault::Mutant(Mutant::ForgetsCancelledEnds), 3, Rule::NothingLeft),
    (InjectedFault::Mutant(Mutant::ServedAsError), 3, Rule::NothingAfterTheEnd),
    (InjectedFault::Mutant(Mutant::RefusesInsteadOfFailing), 3, Rule::RefusedUnrun),
    (InjectedFault::Mutant(Mutant::SwallowsRefusals), 3, Rule::OneAnswer),
    (InjectedFault::Mutant(Mutant::SwallowsFailures), 3, Rule::OneAnswer),
    (InjectedFault::Mutant(Mutant::FailsTwice), 3, Rule::OneAnswer),
    (InjectedFault::Mutant(Mutant::RepeatsUnsafeSends), 3, Rule::UnsafeOnce),
    (InjectedFault::Mutant(Mutant::WithholdsDrains), 7, Rule::DrainKept),
    (InjectedFault::Mutant(Mutant::WithholdsDepartures), 9, Rule::GoneLeft),
    (InjectedFault::Mutant(Mutant::HidesColdness), 24, Rule::ColdSpared),
    (InjectedFault::Mutant(Mutant::HidesZones), 6, Rule::KeyedInItsWindow),
    (InjectedFault::Mutant(Mutant::RaisesAttempts), 15, Rule::AttemptsBounded),
    (InjectedFault::Mutant(Mutant::AllowsCopies), 13, Rule::AttemptsBounded),
    (InjectedFault::Mutant(Mutant::WidensWindow), 42, Rule::KeyedInItsWindow),
    (InjectedFault::Mutant(Mutant::StopsClock), 3, Rule::AttemptsBounded),
    (InjectedFault::Mutant(Mutant::NamesOtherServer), 3, Rule::OwnCheck),
    (InjectedFault::StaysShut, 3, Rule::ServiceBack),
    (InjectedFault::SendsToNewest, 7, Rule::ColdSpared),
];

#[test]
fn each_injected_fault_is_found_by_the_rule_that_it_violates() {
    for (injected, seed, rule) in CASES {
        let plan = generate::plan(seed);
        let report = play(&plan, Some(injected)).expect("the plan is playable");
        assert_eq!(report.first_rule(), Some(rule), "{}", injected.name());
    }
}

#[test]
fn production_decisions_violate_no_rule_in_the_plans_of_the_fault_cases() {
    let seeds: BTreeSet<u64> = CASES.into_iter().map(|(_, seed, _)| seed).collect();
    for seed in seeds {
        let report = play(&generate::plan(seed), None).expect("the plan is playable");
        assert_eq!(report.findings, [], "seed {seed}");
    }
}

#[test]
fn each_injected_fault_has_a_case_or_no_effect() {
    for injected in InjectedFault::all() {
        let has_case = CASES.into_iter().any(|(of, _, _)| of == injected);
        let without_effect =
            WITHOUT_EFFECT.into_iter().map(InjectedFault::Mutant).any(|of| of == injected);
        assert!(has_case != without_effect, "{}", injected.name());
    }
}

#[test]
fn an_unsafe_retry_is_shrunk_to_a_plan_that_reproduces_it() {
    let injected = InjectedFault::Mutant(Mutant::ResetAsConnectFailed);
    let rule = Rule::UnsafeOnce;
    let shrunk = shrink(&generate::plan(9), rule, Some(injected));
    assert!(shrunk.sidecars.count <= 2, "{}", shrunk.to_toml());
    assert!(shrunk.faults.len() <= 1, "{}", shrunk.to_toml());
    let replayed = play(&shrunk, Some(injected)).expect("the plan is playable");
    assert!(replayed.breaks(rule));
    let without_fault = play(&shrunk, None).expect("the plan is playable");
    assert_eq!(without_fault.findings, []);
}
