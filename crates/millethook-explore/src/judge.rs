//! The rules, checked against the world's own records when an action is executed, when time advances, and when the
//! world is idle.

use std::fmt;

use coppercart::api::Micros;

use crate::records::{Request, Server, ServerStatus};
use crate::scenario::{
    ANSWER_SLACK, COLD, COLD_SHARE, DRAIN_GRACE, FALL_MULTIPLE, RequestKind, Scenario, WINDOW,
};

/// A rule that the balancer must follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer.
    OneAnswer,
    /// The final answer comes by the deadline plus the slack.
    InTime,
    /// Nothing is sent for a request that is answered, whose client has left, or whose answer has begun.
    NothingAfterTheEnd,
    /// A keyed or unsafe request is refused only if it was never executed, since a refusal promises that.
    RefusedUnrun,
    /// An unsafe request is retried only if each earlier attempt is known not to have been executed.
    UnsafeOnce,
    /// Attempts of a keyed request that may have been executed are all in one zone and within its window.
    KeyedInItsWindow,
    /// Nothing is sent to a draining server after its grace time.
    DrainKept,
    /// Nothing is sent to a removed or unknown server.
    GoneLeft,
    /// A cold server gets no retries and no hedges, and no more first attempts than its budget.
    ColdSpared,
    /// Attempts are bounded in number and time, and sequential where hedges are not allowed.
    AttemptsBounded,
    /// No requests and no timers are left when the world is idle.
    NothingLeft,
    /// The balancer's own invariant check holds. This is not an independent check.
    OwnCheck,
    /// The balancer panicked.
    Panic,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule that was violated.
    pub rule: Rule,
    /// The values that violate it.
    pub found: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.found)
    }
}

/// The result of a check.
pub type Verdict = Result<(), Finding>;

fn require(holds: bool, rule: Rule, found: impl FnOnce() -> String) -> Verdict {
    if holds { Ok(()) } else { Err(Finding { rule, found: found() }) }
}

/// An attempt that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// When it is sent.
    pub now: Micros,
    /// The attempt's timeout.
    pub timeout: Micros,
    /// The time within which the bytes that trigger its execution are sent.
    pub commit_within: Micros,
}

/// Checks an attempt before it is added to the records.
///
/// # Errors
/// The rule that is violated.
pub fn send(scenario: &Scenario, request: &Request, server: &Server, send: Send) -> Verdict {
    let description = || format!("{:?} to {:?}", request.id, server.id);
    require(!request.is_ended(), Rule::NothingAfterTheEnd, description)?;
    let forwarding_started = request.answering.is_some() || request.uploading.is_some();
    require(!forwarding_started, Rule::NothingAfterTheEnd, description)?;
    let Send { now, timeout, commit_within } = send;
    require(now < request.deadline, Rule::AttemptsBounded, description)?;
    require(
        now + timeout.max(commit_within) <= request.deadline,
        Rule::AttemptsBounded,
        description,
    )?;
    let count = request.attempts.len();
    require(count < scenario.options.max_attempts, Rule::AttemptsBounded, description)?;
    let out = request.attempts.iter().any(|attempt| attempt.is_out());
    require(scenario.options.may_duplicate || !out, Rule::AttemptsBounded, description)?;
    check_retry(request, server, send)?;
    check_server_status(server, now)?;
    check_cold_server(server, count, now)
}

/// Rule 2: which requests may be retried.
fn check_retry(request: &Request, server: &Server, send: Send) -> Verdict {
    let mut executed = request.attempts.iter().filter(|attempt| attempt.may_have_run());
    let description =
        || format!("{:?} to {:?} after {:?}", request.id, server.id, request.attempts);
    match request.kind {
        RequestKind::Safe => Ok(()),
        RequestKind::Unsafe => require(executed.next().is_none(), Rule::UnsafeOnce, description),
        RequestKind::Keyed => {
            // Any two attempts must be executed within the window of each other, whichever is executed first.
            let latest = send.now + send.commit_within;
            let within_window = executed.all(|attempt| {
                let span = latest - attempt.sent;
                let latest_after = attempt.latest_run().saturating_sub(send.now);
                attempt.zone == server.zone && span <= WINDOW && latest_after <= WINDOW
            });
            require(within_window, Rule::KeyedInItsWindow, description)
        }
    }
}

/// Rule 3: which servers may get new requests.
fn check_server_status(server: &Server, now: Micros) -> Verdict {
    let description = || format!("{:?}", server.id);
    match server.status {
        ServerStatus::Ready => Ok(()),
        ServerStatus::Draining(since) => {
            require(now <= since + DRAIN_GRACE, Rule::DrainKept, description)
        }
        ServerStatus::Gone => require(false, Rule::GoneLeft, description),
    }
}

/// Rule 4: which load a cold server must be spared. `earlier` is the number of earlier attempts of the request.
///
/// The platform's bound, N + 3 root N + 3, applies to the sum of all sidecars. N is the load that the server tolerates
/// now, taken here as its share of the maximum number of requests (four). With so few requests the other part matters
/// more: a request that failed elsewhere must not go to the server with the least capacity.
fn check_cold_server(server: &Server, earlier: usize, now: Micros) -> Verdict {
    if server.started == 0 || now.saturating_sub(server.started) >= COLD {
        return Ok(());
    }
    let description =
        || format!("{:?}: {} sends, {earlier} earlier attempts", server.id, server.sends);
    require(earlier == 0, Rule::ColdSpared, description)?;
    let tolerated = FALL_MULTIPLE * COLD_SHARE;
    let budget = tolerated + 3.0 * tolerated.sqrt() + 3.0;
    require(f64::from(server.sends + 1) <= budget, Rule::ColdSpared, description)
}

/// Checks a final answer that the balancer gives: a refusal or a failure.
///
/// # Errors
/// The rule that is violated.
pub fn final_answer(request: &Request, refused: bool) -> Verdict {
    let description = || format!("{:?}: {:?}", request.id, request.attempts);
    require(!request.is_ended(), Rule::OneAnswer, description)?;
    let executed = request.attempts.iter().any(|attempt| attempt.may_have_run());
    require(
        !refused || request.kind == RequestKind::Safe || !executed,
        Rule::RefusedUnrun,
        description,
    )
}

/// Checks a request when time advances.
///
/// # Errors
/// It has no answer although its deadline and the slack are over.
pub fn check_deadline(request: &Request, now: Micros) -> Verdict {
    let open = !request.is_ended() && !request.is_uploading();
    require(!open || now <= request.deadline + ANSWER_SLACK, Rule::InTime, || {
        format!("{:?}: {} us after its deadline", request.id, now - request.deadline)
    })
}

/// Checks the idle world, after all outcomes have arrived.
///
/// # Errors
/// A request has no answer, or the balancer still holds requests or timers.
pub fn check_idle(requests: &[Request], open: usize, timers: usize) -> Verdict {
    for request in requests {
        let ended = request.finals == 1 || request.gone;
        require(ended, Rule::OneAnswer, || format!("{:?} has no answer when idle", request.id))?;
    }
    require(open == 0, Rule::NothingLeft, || format!("{open} requests are held when idle"))?;
    require(timers == 0, Rule::NothingLeft, || format!("{timers} timers are set when idle"))
}
