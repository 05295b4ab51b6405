//! Faults injected on purpose between world and balancer: the balancer gets a false event, or one of its actions is not
//! executed as returned. The exploration must detect each one.

use coppercart::api::{Action, Micros, RequestId, ServerEntry, ServerId};
use coppercart::settings::Settings;

use crate::scenario::{RequestKind, START};
use crate::step::Ending;

/// A fault in the interface between world and balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// No timer expires.
    LosesTimers,
    /// A timer that is set while another one expires never expires.
    LosesFollowingTimers,
    /// A timeout is reported as a rejection by a full server.
    TimedOutAsFull,
    /// A broken connection is reported as a failed connection attempt.
    ResetAsConnectFailed,
    /// An error answer is reported as a rejection by a full server.
    ErrorAsFull,
    /// A confirmed cancellation is reported as an attempt that was never sent.
    CancelledAsMoot,
    /// The outcome of a cancelled attempt is not reported.
    ForgetsCancelledEnds,
    /// An answer that went to the client is reported as an error that did not.
    ServedAsError,
    /// Each failure reaches the client as a refusal.
    RefusesInsteadOfFailing,
    /// Refusals do not reach the client.
    SwallowsRefusals,
    /// Failures do not reach the client.
    SwallowsFailures,
    /// Failures reach the client twice.
    FailsTwice,
    /// Each attempt of an unsafe request is sent twice.
    RepeatsUnsafeSends,
    /// Draining servers are not reported.
    WithholdsDrains,
    /// Removed servers are not reported.
    WithholdsDepartures,
    /// Each server is reported as started long ago.
    HidesColdness,
    /// All servers are reported to be in one zone.
    HidesZones,
    /// Client departures are not reported.
    HidesDepartedClients,
    /// The first byte of an answer or an upload is not reported.
    HidesFirstBytes,
    /// The balancer's settings allow more attempts.
    RaisesAttempts,
    /// The balancer's settings allow several concurrent attempts.
    AllowsCopies,
    /// The balancer's settings have a longer deduplication window.
    WidensWindow,
    /// The balancer's clock does not advance.
    StopsClock,
    /// Outcomes are reported for another server. Only the balancer's own invariant check sees the counts that this
    /// corrupts.
    NamesOtherServer,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Mutant; 24] = [
        Mutant::LosesTimers,
        Mutant::LosesFollowingTimers,
        Mutant::TimedOutAsFull,
        Mutant::ResetAsConnectFailed,
        Mutant::ErrorAsFull,
        Mutant::CancelledAsMoot,
        Mutant::ForgetsCancelledEnds,
        Mutant::ServedAsError,
        Mutant::RefusesInsteadOfFailing,
        Mutant::SwallowsRefusals,
        Mutant::SwallowsFailures,
        Mutant::FailsTwice,
        Mutant::RepeatsUnsafeSends,
        Mutant::WithholdsDrains,
        Mutant::WithholdsDepartures,
        Mutant::HidesColdness,
        Mutant::HidesZones,
        Mutant::HidesDepartedClients,
        Mutant::HidesFirstBytes,
        Mutant::RaisesAttempts,
        Mutant::AllowsCopies,
        Mutant::WidensWindow,
        Mutant::StopsClock,
        Mutant::NamesOtherServer,
    ];

    /// Changes the settings that are passed to the balancer.
    pub fn settings(self, settings: &mut Settings) {
        match self {
            Mutant::RaisesAttempts => settings.limits.max_attempts += 4,
            Mutant::AllowsCopies => settings.limits.may_duplicate = true,
            Mutant::WidensWindow => settings.classes.iter_mut().for_each(|class| class.window *= 4),
            _ => {}
        }
    }

    /// Returns the time that is passed to the balancer.
    pub fn now(self, now: Micros) -> Micros {
        if self == Mutant::StopsClock { now.min(START) } else { now }
    }

    /// Returns the outcome that is reported for an attempt; `None`: the outcome is not reported.
    pub fn ending(self, ending: Ending, cancelled: bool) -> Option<Ending> {
        match (self, ending) {
            (Mutant::ForgetsCancelledEnds, _) if cancelled => None,
            (Mutant::TimedOutAsFull, Ending::TimedOut) => Some(Ending::Full),
            (Mutant::ResetAsConnectFailed, Ending::Reset) => Some(Ending::ConnectFailed),
            (Mutant::ErrorAsFull, Ending::Error) => Some(Ending::Full),
            (Mutant::CancelledAsMoot, Ending::Cancelled) => Some(Ending::Moot),
            (Mutant::ServedAsError, Ending::Served) => Some(Ending::Error),
            _ => Some(ending),
        }
    }

    /// Returns the `finished` flag that is reported to the balancer.
    pub fn finished(self, finished: bool) -> bool {
        finished && self != Mutant::ServedAsError
    }

    /// Returns the server that an outcome is reported for.
    pub fn server(self, server: ServerId) -> ServerId {
        if self == Mutant::NamesOtherServer { ServerId(server.0 + 1) } else { server }
    }

    /// Returns whether a list entry that drains or is removed is reported at all.
    pub fn reports_list_change(self, drains: bool, leaves: bool) -> bool {
        !(drains && self == Mutant::WithholdsDrains
            || leaves && self == Mutant::WithholdsDepartures)
    }

    /// Changes a list entry that is passed to the balancer.
    pub fn entry(self, entry: &mut ServerEntry) {
        match self {
            Mutant::HidesColdness => entry.started = 0,
            Mutant::HidesZones => (entry.zone, entry.cell) = (0, 0),
            _ => {}
        }
    }

    /// Changes the actions that the balancer returned. `kind` returns the kind of a request; `at_timer` is set if the
    /// event was a timer.
    pub fn actions(
        self,
        actions: &mut Vec<Action>,
        at_timer: bool,
        kind: impl Fn(RequestId) -> Option<RequestKind>,
    ) {
        let returned = std::mem::take(actions);
        for action in returned {
            match (self, action) {
                (Mutant::LosesTimers, Action::Timer { .. }) => {}
                (Mutant::LosesFollowingTimers, Action::Timer { .. }) if at_timer => {}
                (Mutant::RefusesInsteadOfFailing, Action::Fail { id }) => {
                    actions.push(Action::Refuse { id, retry_after: 0 });
                }
                (Mutant::SwallowsRefusals, Action::Refuse { .. }) => {}
                (Mutant::SwallowsFailures, Action::Fail { .. }) => {}
                (Mutant::FailsTwice, Action::Fail { id }) => {
                    actions.extend([Action::Fail { id }, Action::Fail { id }]);
                }
                (Mutant::RepeatsUnsafeSends, action @ Action::Send { id, .. })
                    if kind(id) == Some(RequestKind::Unsafe) =>
                {
                    actions.extend([action.clone(), action]);
                }
                (_, action) => actions.push(action),
            }
        }
    }
}
