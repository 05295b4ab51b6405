//! The exploration finds each fault that is injected between world and balancer, and reproduces it in a few steps.

use millethook_explore::judge::Rule;
use millethook_explore::mutant::Mutant;
use millethook_explore::scenario::{Bounds, Scenario};
use millethook_explore::search::{FoundViolation, Task, find_smallest};
use millethook_explore::shrink::{describe, replay, shrink};

/// Maximum length of a shortened sequence, most of whose steps advance the time.
const MAX_STEPS: usize = 16;

/// The scenarios searched for a mutant: servers, requests, a part of the scenarios' names, and counted events.
type SearchScope = (usize, usize, &'static str, u8);

/// Returns the smallest scenarios that can show a mutant. Other scenarios cannot show some of them; for example, there
/// are no hedges where they are not allowed.
fn search_scope(mutant: Mutant) -> SearchScope {
    match mutant {
        Mutant::LosesTimers | Mutant::LosesFollowingTimers => (2, 1, "platform/one-zone", 1),
        Mutant::CancelledAsMoot => (2, 1, "streams/one-zone/k", 2),
        Mutant::HidesFirstBytes => (2, 1, "streams/one-zone", 1),
        Mutant::RaisesAttempts => (3, 1, "single/two-zones/s", 2),
        Mutant::AllowsCopies => (2, 3, "single/one-zone/sku", 1),
        Mutant::HidesZones => (2, 1, "platform/two-zones", 1),
        Mutant::HidesColdness => (2, 1, "platform/one-zone/s", 2),
        _ => (2, 1, "platform", 1),
    }
}

fn find(mutant: Mutant) -> Option<FoundViolation> {
    let (servers, requests, name, events) = search_scope(mutant);
    let bounds = Bounds { events, list_changes: 1, late: 1, states: 1_000_000 };
    let scenarios = Scenario::all(servers, requests).unwrap().into_iter();
    let named = scenarios.filter(|scenario| scenario.name.contains(name)).collect();
    let tasks = Task::all(named, 1).into_iter();
    let with = |task: Task| Task { mutant: Some(mutant), ..task };
    tasks.map(with).find_map(|task| find_smallest(&task, &bounds))
}

#[test]
fn each_mutant_is_found_and_reproduced_in_few_steps() {
    let mut missed = Vec::new();
    for mutant in Mutant::ALL {
        let Some(found) = find(mutant) else {
            missed.push(mutant);
            continue;
        };
        let shortest = shrink(&found);
        println!("{}", describe(&shortest));
        assert_eq!(shortest.finding.rule, found.finding.rule);
        assert!(shortest.steps.len() <= MAX_STEPS, "{mutant:?}: {}", describe(&shortest));
        // The shortened sequence violates the rule when it is replayed, and needs each of its steps.
        let replayed = replay(&shortest.task, &shortest.steps);
        assert_eq!(replayed.finding.as_ref(), Some(&shortest.finding), "{mutant:?}");
        for removed in 0..shortest.steps.len() {
            let mut fewer = shortest.steps.clone();
            fewer.remove(removed);
            let rule = replay(&shortest.task, &fewer).finding.map(|finding| finding.rule);
            assert_ne!(rule, Some(found.finding.rule), "{mutant:?}: step {removed} is not needed");
        }
        // Without the mutant the same steps violate nothing.
        let without_mutant = Task { mutant: None, ..shortest.task.clone() };
        assert_eq!(replay(&without_mutant, &shortest.steps).finding, None, "{mutant:?}");
        // The balancer's own invariant check is not independent. Only one mutant may be found by it alone, because it
        // corrupts nothing but the balancer's own records.
        let by_own_check = shortest.finding.rule == Rule::OwnCheck;
        assert!(!by_own_check || mutant == Mutant::NamesOtherServer, "{mutant:?}");
    }
    assert_eq!(missed, [], "mutants that are not found");
}
