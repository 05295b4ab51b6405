//! The result of a run.

use std::fmt;

use crate::Micros;
use crate::judge::{Finding, Rule};

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Events of the virtual clock.
    pub events: u64,
    /// Requests that sidecars accepted.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Served requests that met the target latency.
    pub in_aim: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client left.
    pub left: u64,
    /// Requests lost when their sidecar's process ended.
    pub lost: u64,
    /// Requests that arrived while their sidecar was down.
    pub not_taken: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that servers rejected because their queue was full.
    pub full: u64,
    /// Attempts that a server executed.
    pub worked: u64,
    /// Total time that executed attempts waited in queues, in microseconds.
    pub waited: Micros,
    /// Total time from arrival to answer of the served requests, in microseconds.
    pub answer_time: Micros,
}

impl Figures {
    /// Returns the mean wait in a server's queue, in microseconds.
    pub fn mean_wait(&self) -> f64 {
        self.waited as f64 / self.worked.max(1) as f64
    }
}

/// The counts and findings of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The counts.
    pub figures: Figures,
    /// The first findings, in order.
    pub findings: Vec<Finding>,
    /// Total number of findings.
    pub found: u64,
}

impl Report {
    /// Returns the rule that was violated first; `None`: all rules hold.
    pub fn first_rule(&self) -> Option<Rule> {
        self.findings.first().map(|finding| finding.rule)
    }

    /// Returns whether this rule is violated.
    pub fn breaks(&self, rule: Rule) -> bool {
        self.findings.iter().any(|finding| finding.rule == rule)
    }
}

/// Maximum number of findings printed.
const MAX_PRINTED: usize = 10;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Figures { events, requests, served, in_aim, refused, failed, left, lost, .. } =
            self.figures;
        let Figures { not_taken, attempts, full, worked, .. } = self.figures;
        writeln!(f, "{events} events, {requests} requests taken, {not_taken} found no sidecar")?;
        writeln!(
            f,
            "served {served} (in aim {in_aim}), refused {refused}, failed {failed}, left {left}, lost {lost}"
        )?;
        writeln!(
            f,
            "attempts {attempts}: worked on {worked}, turned away {full}, mean wait {:.0} us",
            self.figures.mean_wait()
        )?;
        for finding in self.findings.iter().take(MAX_PRINTED) {
            writeln!(f, "{finding}")?;
        }
        match self.found {
            0 => writeln!(f, "all rules hold"),
            found => writeln!(f, "{found} findings"),
        }
    }
}
