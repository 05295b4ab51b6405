//! Scripts of load and faults that random tests generate and shrink.

use std::fmt::Debug;

use crate::Micros;

/// The time unit of scripts, in microseconds.
const MILLISECOND: Micros = 1_000;

/// Runs a script: a list of actions, each with its delay in milliseconds after the action before.
///
/// `step` lets the given number of microseconds pass, carries out the action, and returns the first violated rule.
///
/// # Errors
/// A rule was violated. The error names the rule and the action before it.
pub fn play_script<W, Action: Debug>(
    world: &mut W,
    script: &[(u64, Action)],
    step: impl Fn(&mut W, Micros, &Action) -> Option<String>,
) -> Result<(), String> {
    for (delay, action) in script {
        if let Some(violation) = step(world, delay * MILLISECOND, action) {
            return Err(format!("{action:?}: {violation}"));
        }
    }
    Ok(())
}
