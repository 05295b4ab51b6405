//! Shortens the steps of a finding to those that it needs, and describes them as text.

use crate::judge::Finding;
use crate::scenario::Bounds;
use crate::search::{FoundViolation, Task};
use crate::step::Step;
use crate::world::World;

/// No bounds, because a given sequence of steps is finite.
const UNBOUNDED: Bounds =
    Bounds { events: u8::MAX, list_changes: u8::MAX, late: u8::MAX, states: usize::MAX };

/// The result of replaying a sequence of steps.
#[derive(Clone, Debug)]
pub struct Replay {
    /// The steps that were possible when they were reached; others were skipped.
    pub steps: Vec<Step>,
    /// The log, one event per line.
    pub lines: Vec<String>,
    /// The first violation.
    pub finding: Option<Finding>,
}

/// Executes steps and then runs until the world is idle. Steps that are not possible are skipped.
pub fn replay(task: &Task, steps: &[Step]) -> Replay {
    let mut world = match World::new(task.scenario.clone(), task.seed, task.mutant) {
        Ok(world) => world,
        Err(finding) => {
            return Replay { steps: Vec::new(), lines: Vec::new(), finding: Some(finding) };
        }
    };
    world.start_recording();
    let mut played = Vec::new();
    let mut finding = None;
    for &step in steps {
        match world.try_play(step, &UNBOUNDED) {
            Ok(true) => played.push(step),
            Ok(false) => {}
            Err(found) => {
                played.push(step);
                finding = Some(found);
                break;
            }
        }
    }
    if finding.is_none() {
        finding = world.run_until_idle().err();
    }
    Replay { steps: played, lines: world.log_lines().to_vec(), finding }
}

/// Removes steps, many at once and then one at a time, as long as the same rule is still violated. None of the
/// remaining steps can be removed alone.
pub fn shrink(found: &FoundViolation) -> FoundViolation {
    let mut shortest = found.clone();
    let mut length = shortest.steps.len().div_ceil(2).max(1);
    loop {
        let shorter = remove_steps(&shortest, length);
        let improved = shorter.is_some();
        shortest = shorter.unwrap_or(shortest);
        match (improved, length) {
            (true, _) => length = length.min(shortest.steps.len().div_ceil(2)).max(1),
            (false, 1) => return shortest,
            (false, _) => length = length.div_ceil(2),
        }
    }
}

/// Returns the first result of removing `length` consecutive steps that still violates the rule.
fn remove_steps(found: &FoundViolation, length: usize) -> Option<FoundViolation> {
    let count = found.steps.len();
    (0..count).step_by(length).find_map(|start| {
        let end = (start + length).min(count);
        let steps = [&found.steps[..start], &found.steps[end..]].concat();
        let replay = replay(&found.task, &steps);
        let finding = replay.finding.filter(|finding| finding.rule == found.finding.rule)?;
        Some(FoundViolation { task: found.task.clone(), steps: replay.steps, finding })
    })
}

/// Describes a finding as a list of events.
pub fn describe(found: &FoundViolation) -> String {
    let Task { scenario, seed, mutant } = &found.task;
    let mut text = format!("{:?} (scenario {}, seed {seed}", found.finding.rule, scenario.name);
    if let Some(mutant) = mutant {
        text += &format!(", mutant {mutant:?}");
    }
    text += ")\n";
    for line in replay(&found.task, &found.steps).lines {
        text += &format!("  {line}\n");
    }
    text += &format!("  broken: {}\n", found.finding);
    text
}
