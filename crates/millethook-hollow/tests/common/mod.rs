//! Helpers to write and run plans in tests.

use std::path::Path;

use millethook_hollow::conductor::{self, StepResult};
use millethook_hollow::plan::Plan;

/// A step of a plan, as TOML text.
pub struct Step(String);

impl Step {
    /// Creates a step that ends after at most `at_most_s` seconds. `action` is the value of `do`, in TOML.
    pub fn new(name: &str, action: &str, at_most_s: u32) -> Step {
        Step(format!("\n[[step]]\nname = \"{name}\"\ndo = {action}\nat_most_s = {at_most_s}\n"))
    }

    /// Creates the step that starts all members.
    pub fn start() -> Step {
        Step::new("start", "\"start\"", 20)
    }

    /// Sets the minimum duration of the step in seconds.
    #[allow(dead_code)] // One of the two test programs needs it.
    pub fn at_least(mut self, seconds: f64) -> Step {
        self.0 += &format!("at_least_s = {seconds:?}\n");
        self
    }
}

/// Runs a plan that begins with the TOML text `fleet`, and returns the results of all its steps.
///
/// # Panics
/// Panics if the text is not a valid plan, the run failed, or a step has no result.
pub fn run(fleet: &str, steps: impl IntoIterator<Item = Step>) -> Vec<StepResult> {
    let text: String = steps.into_iter().map(|step| step.0).collect();
    let plan: Plan = toml::from_str(&format!("{fleet}{text}")).expect("a plan");
    let program = Path::new(env!("CARGO_BIN_EXE_millethook-hollow"));
    let done = conductor::run(&plan, program, |_| {}).expect("the run");
    assert_eq!(done.len(), plan.steps.len());
    done
}
