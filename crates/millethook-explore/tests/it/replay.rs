//! Replay of sequences of steps, in the form in which they are printed.

use std::sync::Arc;

use millethook_explore::judge::Rule;
use millethook_explore::mutant::Mutant;
use millethook_explore::scenario::Scenario;
use millethook_explore::search::{FoundViolation, Task};
use millethook_explore::shrink::{describe, replay};
use millethook_explore::step::{Ending, Step};

fn task(name: &str, mutant: Option<Mutant>) -> Task {
    let all = Scenario::all(2, 1).unwrap();
    let scenario = all.into_iter().find(|scenario| scenario.name == name).unwrap();
    Task { scenario: Arc::new(scenario), seed: 1, mutant }
}

/// An unsafe request whose connection breaks. The mutant reports it as a failed connection attempt, so that the request
/// is retried.
const CONNECTION_BREAKS: [Step; 2] =
    [Step::Arrive, Step::End { request: 0, attempt: 0, ending: Ending::Reset }];

#[test]
fn a_failing_sequence_fails_again_and_is_described_as_a_list_of_events() {
    let task = task("platform/one-zone/u", Some(Mutant::ResetAsConnectFailed));
    let replay = replay(&task, &CONNECTION_BREAKS);
    let finding = replay.finding.unwrap();
    assert_eq!(finding.rule, Rule::UnsafeOnce);
    let text = describe(&FoundViolation { task, steps: CONNECTION_BREAKS.to_vec(), finding });
    println!("{text}");
    let text_lines: Vec<_> = text.lines().map(|line| line.trim()).collect();
    assert!(
        text_lines[0].starts_with("UnsafeOnce (scenario platform/one-zone/u, seed 1"),
        "{text}"
    );
    assert!(text_lines[1].ends_with("the next request comes"), "{text}");
    assert!(text_lines[2].contains("-> sends request 0 to server"), "{text}");
    assert!(text_lines[3].ends_with("request 0, attempt 0: Reset"), "{text}");
    assert!(text_lines[4].contains("-> sends request 0 to server"), "{text}");
    assert!(text_lines[5].starts_with("broken: UnsafeOnce"), "{text}");
}

#[test]
fn the_same_sequence_violates_nothing_without_the_mutant() {
    let replay = replay(&task("platform/one-zone/u", None), &CONNECTION_BREAKS);
    assert_eq!(replay.finding, None);
    assert_eq!(replay.steps, CONNECTION_BREAKS);
    assert!(replay.lines.iter().any(|line| line.contains("-> fails request 0")), "{replay:?}");
}

#[test]
fn impossible_steps_are_skipped() {
    let late = Step::End { request: 0, attempt: 0, ending: Ending::TimedOut };
    let steps = [late, Step::Arrive, late, Step::Timer];
    let replay = replay(&task("platform/one-zone/s", None), &steps);
    assert_eq!(replay.steps, [Step::Arrive]);
    assert_eq!(replay.finding, None);
}
