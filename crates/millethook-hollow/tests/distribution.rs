//! Distribution of documents from nine control nodes to sixty sidecars, during loss, without a zone, during a
//! partition and after a cold start.

mod common;

use common::Step;
use millethook_hollow::conductor::StepResult;

/// Maximum time until a change is in force at all reachable sidecars.
const MAX_IN_FORCE_MS: u32 = 4_000;

const FLEET: &str = r#"
size = 60
hosts = 2
machines = "distribution"
seed = 7
start_over_s = 0.5

[sidecar]
bytes_per_second = 6000

[distribution]
control_nodes = 9
hosts = 1
silence_ms = 500
"#;

/// Starts the fleet and runs these steps. Returns the results of all steps, including the start.
fn run(steps: Vec<Step>) -> Vec<StepResult> {
    let start = Step::start().at_least(2.0);
    let done = common::run(FLEET, std::iter::once(start).chain(steps));
    for step in &done {
        let name = &step.step.name;
        assert_eq!(step.phase.violations, Vec::<String>::new(), "{name}");
        assert_eq!(step.control.violations, Vec::<String>::new(), "{name}");
        assert!(step.agreed.share >= 1.0, "{name}: {:?}", step.agreed);
    }
    done
}

/// A step in which one document is published.
fn publish_one(name: &str) -> Step {
    Step::new(name, "{ publish = { count = 1 } }", 20)
}

/// Asserts that each of `sidecars` sidecars has had each of `documents` documents in force within the time limit.
fn assert_in_force(done: &StepResult, sidecars: u64, documents: u64) {
    let times = &done.phase.in_force_ms;
    assert_eq!(times.values().sum::<u64>(), sidecars * documents, "{}", done.step.name);
    let slowest = times.last_key_value().map_or(0, |(ms, _)| *ms);
    assert!(slowest <= MAX_IN_FORCE_MS, "{}: {slowest} ms", done.step.name);
}

#[test]
fn changes_are_in_force_in_time_also_with_packet_loss_and_without_a_zone() {
    let publish_three = "{ publish = { count = 3, over_s = 1.5, bytes = 3000 } }";
    let done = run(vec![
        Step::new("changes", publish_three, 20).at_least(2.0),
        Step::new("loss", "{ loss = { share = 0.2 } }", 5),
        publish_one("change at loss"),
        Step::new("zone gone", "{ kill = { zone = 4 } }", 5),
        publish_one("change without a zone"),
    ]);
    assert_in_force(&done[1], 60, 3);
    assert_in_force(&done[3], 60, 1);
    assert_in_force(&done[5], 50, 1);
    assert!(done[3].phase.lost > 0);
}

#[test]
fn a_partition_without_the_writer_keeps_its_documents_and_catches_up_after_it_heals() {
    let done = run(vec![
        publish_one("change"),
        Step::new("cut", "{ cut = { groups = [[0, 1], [2]] } }", 5),
        publish_one("change on one side").at_least(2.0),
        Step::new("healed", "\"heal\"", 20),
    ]);
    assert_in_force(&done[1], 60, 1);
    assert_in_force(&done[3], 40, 1);
    let healed = &done[4];
    assert_eq!(healed.phase.in_force_ms.values().sum::<u64>(), 20, "the other side has it, too");
    let slowest = healed.phase.settled_ms.iter().flatten().copied().fold(0.0, f64::max);
    assert!(slowest <= f64::from(MAX_IN_FORCE_MS), "{slowest} ms after the end of the cut");
}

#[test]
fn sidecars_that_cold_start_together_get_the_last_document_in_time() {
    let done = run(vec![
        publish_one("change"),
        Step::new("down", "{ kill = { share = 1.0 } }", 5).at_least(0.5),
        Step::new("cold start", "{ restart = { over_s = 1.0 } }", 20).at_least(1.0),
    ]);
    let cold = &done[3];
    assert_eq!(cold.phase.joined_ms.len(), 60);
    let slowest = cold.phase.joined_ms.iter().flatten().copied().fold(0.0, f64::max);
    assert!(slowest <= f64::from(MAX_IN_FORCE_MS), "{slowest} ms after its start");
}
