//! Sixty sidecars in two processes: rack failure, partition, and paused processes.

mod common;

use common::Step;
use millethook_hollow::conductor::StepResult;

/// Periods are a fifth of the defaults and budgets five times as large, so that a test takes a few seconds.
const FLEET: &str = r#"
size = 60
hosts = 2
seed = 7
rack = 5
start_over_s = 0.5

[sidecar]
period_ms = 200
bytes_per_second = 7500
jobs = 6
longest_ms = 1000
"#;

/// Starts the fleet, runs two more steps and returns the three results. Asserts that all members agree after each
/// step.
fn run(steps: [Step; 2]) -> [StepResult; 3] {
    let done = common::run(FLEET, std::iter::once(Step::start()).chain(steps));
    for step in &done {
        assert_eq!(step.phase.violations, Vec::<String>::new(), "{}", step.step.name);
        assert_eq!(step.phase.refused, 0, "{}: the kernel took all datagrams", step.step.name);
        agreed(step);
    }
    done.try_into().unwrap_or_else(|_| panic!("three steps"))
}

/// Returns when all members agreed, in seconds since the beginning of the step.
fn agreed(done: &StepResult) -> f64 {
    let at = done.agreed.all_s;
    at.unwrap_or_else(|| panic!("{}: not all agree: {:?}", done.step.name, done.agreed))
}

#[test]
fn sixty_sidecars_agree_and_detect_a_rack_that_fails_and_returns() {
    let [start, rack, back] = run([
        Step::new("rack", "{ kill = { zone = 2, rack = 1 } }", 20),
        Step::new("back", "{ restart = {} }", 20),
    ]);
    assert_eq!(start.phase.sent.len(), 60);
    assert_eq!(rack.phase.sent.len(), 55, "a rack of five is gone");
    assert_eq!(back.phase.joined_ms.len(), 5, "five have started anew");
    assert!(start.phase.kinds.view > 0 && start.phase.kinds.headers > 0);
    assert!(back.phase.kinds.lease > 0, "jobs are claimed: {:?}", back.phase.kinds);
}

#[test]
fn each_side_of_a_partition_agrees_and_all_agree_after_it_heals() {
    let [_, cut, _] = run([
        Step::new("cut", "{ cut = { groups = [[0], [1, 2]] } }", 30),
        Step::new("healed", "\"heal\"", 30),
    ]);
    assert!(cut.phase.lost > 0, "what goes to the other side is lost");
    assert!(agreed(&cut) > 0.5, "the other side is not known to be gone at once");
}

#[test]
fn paused_sidecars_are_declared_dead_and_rejoin() {
    let [_, paused, resumed] = run([
        Step::new("paused", "{ pause = { share = 0.05 } }", 20),
        Step::new("resumed", "\"resume\"", 20),
    ]);
    assert_eq!(paused.phase.sent.len(), 57);
    assert!(
        resumed.phase.stalls >= 3,
        "those that stood still know it: {:?}",
        resumed.phase.stalls
    );
}
