//! Checks the rules against the fleet's own records, never against the state of the decisions.

mod sends;
mod service;

use std::fmt;

use rustc_hash::FxHashMap;

pub use sends::Send;
pub use service::ServiceRecovery;

use crate::Micros;
use crate::fleet::{Request, SidecarLife};
use crate::plan::{Effect, MS, Plan};

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer.
    OneAnswer,
    /// The final answer comes by the client's deadline plus the allowed slack.
    InTime,
    /// Nothing is sent for a request that is answered or whose client has left.
    NothingAfterTheEnd,
    /// A keyed or unsafe request is refused only if no attempt may have been executed.
    RefusedUnrun,
    /// An unsafe request is retried only if no earlier attempt may have been executed.
    UnsafeOnce,
    /// All attempts of a keyed request that may be executed go to one zone, within its window.
    KeyedInItsWindow,
    /// No request takes effect twice at the servers.
    EffectOnce,
    /// Nothing is sent to a draining server once the grace time after the notice is over.
    DrainKept,
    /// Nothing is sent to a removed server once the grace time after the notice is over.
    GoneLeft,
    /// A cold server is not overloaded by sidecars that knew of its start.
    ColdSpared,
    /// Attempts are bounded in number and time, and sequential where hedges are not allowed.
    AttemptsBounded,
    /// The decisions hold no request at the end of the run.
    NothingLeft,
    /// Service has recovered within the set time after the last fault.
    ServiceBack,
    /// The decisions' own invariant check holds. This is not an independent check.
    OwnCheck,
    /// The decisions panicked.
    Panic,
    /// The run stays within the number of events that the plan allows.
    Bounded,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule that was violated.
    pub rule: Rule,
    /// When, as time since the start of the run.
    pub at: Micros,
    /// What violated it.
    pub found: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Finding { rule, at, found } = self;
        write!(f, "{rule:?} at {}.{:03} ms: {found}", at / MS, at % MS)
    }
}

/// Maximum number of findings kept; further ones are only counted.
const MAX_FINDINGS: usize = 100;

/// The notice that a sidecar got about a server that takes no new requests, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerNotice {
    Drains(Micros),
    Gone(Micros),
}

/// Checks the rules during a run.
#[derive(Debug)]
pub struct Judge {
    run_start: Micros,
    slack: Micros,
    stop_sending: Micros,
    max_attempts: usize,
    may_duplicate: bool,
    effects: Vec<(Effect, Micros)>,
    notices: FxHashMap<(SidecarLife, usize), ServerNotice>,
    findings: Vec<Finding>,
    count: u64,
    /// The success rate of requests before and after the faults.
    pub service: ServiceRecovery,
}

impl Judge {
    /// Creates the judge of a run of `plan` that starts at `run_start`.
    pub fn new(plan: &Plan, run_start: Micros) -> Judge {
        let effect = |class: &crate::plan::Class| (class.effect, class.window_ms * MS);
        Judge {
            run_start,
            slack: plan.rules.answer_slack_ms * MS,
            stop_sending: plan.rules.stop_sending_ms * MS,
            max_attempts: plan.sidecars.max_attempts,
            may_duplicate: plan.sidecars.may_duplicate,
            effects: plan.classes.iter().map(effect).collect(),
            notices: FxHashMap::default(),
            findings: Vec::new(),
            count: 0,
            service: ServiceRecovery::new(plan, run_start),
        }
    }

    /// Records a finding.
    pub fn record(&mut self, rule: Rule, now: Micros, found: impl FnOnce() -> String) {
        self.count += 1;
        if self.findings.len() < MAX_FINDINGS {
            let at = now.saturating_sub(self.run_start);
            self.findings.push(Finding { rule, at, found: found() });
        }
    }

    fn require(&mut self, holds: bool, rule: Rule, now: Micros, found: impl FnOnce() -> String) {
        if !holds {
            self.record(rule, now, found);
        }
    }

    /// Returns the findings that were kept, in order.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns the total number of findings.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Records that a sidecar is told that a server drains.
    pub fn told_drains(&mut self, instance: SidecarLife, server: usize, now: Micros) {
        self.notices.entry((instance, server)).or_insert(ServerNotice::Drains(now));
    }

    /// Records that a sidecar is told that a server was removed, by a change or by a list without it.
    pub fn told_gone(&mut self, instance: SidecarLife, server: usize, now: Micros) {
        let notice = self.notices.entry((instance, server)).or_insert(ServerNotice::Gone(now));
        if let ServerNotice::Drains(_) = *notice {
            *notice = ServerNotice::Gone(now);
        }
    }

    /// Checks a refusal or failure that the decisions give as the final answer.
    pub fn final_answer(&mut self, number: u64, request: &Request, refused: bool, now: Micros) {
        let description = || format!("request {number}: {:?}", request.attempts);
        self.require(!request.ended, Rule::OneAnswer, now, description);
        let executed = request.attempts.iter().any(|attempt| attempt.may_have_run());
        let safe = self.effects[request.class].0 == Effect::Safe;
        self.require(!refused || safe || !executed, Rule::RefusedUnrun, now, description);
    }

    /// Checks that a final answer is in time. `paused` is the total pause time of its sidecar.
    pub fn answered(&mut self, number: u64, request: &Request, paused: Micros, now: Micros) {
        let until = request.deadline + self.slack + (paused - request.paused);
        self.require(now <= until, Rule::InTime, now, || {
            format!("request {number}: {} us after its deadline", now - request.deadline)
        });
    }

    /// Records a request without an answer at the end of the run.
    pub fn unanswered(&mut self, number: u64, request: &Request, now: Micros) {
        self.record(Rule::OneAnswer, now, || {
            format!("request {number} has no final answer: {:?}", request.attempts)
        });
    }

    /// Checks the effects of a request after it took effect at one more server.
    pub fn effect(&mut self, number: u64, request: &Request, now: Micros) {
        let zones = &request.effects;
        let holds_once = match self.effects[request.class].0 {
            Effect::Safe => true,
            Effect::Keyed => zones.iter().all(|zone| *zone == zones[0]),
            Effect::Unsafe => zones.len() <= 1,
        };
        self.require(holds_once, Rule::EffectOnce, now, || {
            format!("request {number}: {:?}", request.attempts)
        });
    }
}
