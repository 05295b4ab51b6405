//! Runs the production decisions on small fleets, and checks that a search continues where another one stopped.

use std::path::Path;

use millethook_explore::mutant::Mutant;
use millethook_model::fleet::play;
use millethook_model::injected_fault::InjectedFault;
use millethook_model::judge::Rule;
use millethook_model::plan::{FaultKind, Plan};
use millethook_model::search::{Outcome, Search};

fn search(seeds: std::ops::Range<u64>, threads: usize) -> Outcome {
    let search =
        Search { seeds, threads, injected: None, time: None, shrink: false, first_only: false };
    search.run().expect("the plans are playable")
}

#[test]
fn production_decisions_violate_no_rule_on_small_fleets() {
    let outcome = search(0..14, 2);
    let found: Vec<_> = outcome.found.iter().map(|found| (found.seed, found.rule)).collect();
    assert_eq!(found, [], "{:?}", outcome.found);
    assert_eq!((outcome.played, outcome.next), (14, 14));
}

fn pinned(name: &str) -> Plan {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/plans").join(name);
    Plan::read(&path).expect("the plan is readable")
}

/// Runs the plan with and without the loss of the other servers: the cold server is not overloaded, and it does get
/// requests.
#[test]
fn a_cold_server_is_not_overloaded_while_all_others_are_gone() {
    let plan = pinned("only-cold-server-left.toml");
    let report = play(&plan, None).expect("the plan is playable");
    assert_eq!(report.findings, []);
    assert!(report.figures.served > 9_000, "{:?}", report.figures);
    let mut without = plan.clone();
    without.faults.retain(|fault| fault.kind != FaultKind::Vanish);
    let report = play(&without, None).expect("the plan is playable");
    assert_eq!(report.findings, [], "no rule is violated with the other servers");
}

/// Guards against blaming a sidecar for a backlog: most of it was sent before the sidecar could read that the server
/// had restarted.
#[test]
fn a_backlog_sent_before_the_notice_of_a_restart_is_not_attributed_to_the_sidecar() {
    let plan = pinned("backlog-to-cold-server.toml");
    let report = play(&plan, None).expect("the plan is playable");
    assert_eq!(report.findings, []);
    let mut without = plan.clone();
    without.faults.retain(|fault| fault.sidecars.is_empty());
    let report = play(&without, None).expect("the plan is playable");
    assert_eq!(report.findings, [], "no rule is violated without the pause");
}

/// Requests sent after the notice of a start count: decisions that know of the start, but not that the server is cold,
/// overload it.
#[test]
fn requests_sent_after_the_notice_of_a_start_are_attributed_to_the_sidecar() {
    let plan = pinned("only-cold-server-left.toml");
    let injected = Some(InjectedFault::Mutant(Mutant::HidesColdness));
    let report = play(&plan, injected).expect("the plan is playable");
    assert_eq!(report.first_rule(), Some(Rule::ColdSpared), "{:?}", report.findings);
}

#[test]
fn consecutive_searches_add_up_to_one_search() {
    let whole = search(3..8, 2);
    let (first, second) = (search(3..5, 1), search(5..8, 1));
    assert_eq!(second.next, whole.next);
    assert_eq!(first.requests + second.requests, whole.requests);
    assert_eq!(first.events + second.events, whole.events);
}
