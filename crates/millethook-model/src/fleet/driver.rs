//! Passes events to the decisions and executes the actions that they return, as the engine's driver does.

use coppercart::api::{Action, Event, LoadReport, Micros, Outcome, RequestId, ServerId};
use millethook_explore::scenario::RequestKind;
use millethook_explore::step::Ending;

use super::Fleet;
use super::clients::FinalOutcome;
use super::event::{AttemptId, ScheduledEvent};
use crate::judge::Rule;
use crate::plan::Effect;

impl Fleet<'_> {
    /// Passes an event to a sidecar's decisions and executes the returned actions.
    pub(super) fn deliver_event(&mut self, sidecar: usize, event: Event<'_>) {
        let state = &mut self.sidecars[sidecar];
        let Some(balancer) = &mut state.balancer else { return };
        let mut actions = std::mem::take(&mut self.actions);
        let told = event.clone();
        balancer.handle(self.path.now(self.now), event, &mut actions);
        state.unchecked += 1;
        if self.plan.check_every > 0 && state.unchecked >= self.plan.check_every {
            state.unchecked = 0;
            if let Err(violation) = balancer.check_invariants() {
                let found = || format!("sidecar {sidecar}: {violation}");
                self.judge.record(Rule::OwnCheck, self.now, found);
            }
        }
        let kind = |id: RequestId| self.requests.get(id.0).map(|request| self.kind(request.class));
        self.path.actions(&mut actions, &told, kind);
        for action in actions.drain(..) {
            self.execute(sidecar, action);
        }
        self.actions = actions;
    }

    fn kind(&self, class: usize) -> RequestKind {
        match self.plan.classes[class].effect {
            Effect::Safe => RequestKind::Safe,
            Effect::Keyed => RequestKind::Keyed,
            Effect::Unsafe => RequestKind::Unsafe,
        }
    }

    fn execute(&mut self, sidecar: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(sidecar, id.0, server, timeout),
            Action::Cancel { id, attempt } => self.cancel(id.0, attempt),
            Action::Refuse { id, .. } => self.final_answer(id.0, FinalOutcome::Refused),
            Action::Fail { id } => self.final_answer(id.0, FinalOutcome::Failed),
            Action::Timer { delay, token } => {
                let expires = self.now.saturating_add(delay);
                self.queue.schedule(
                    expires,
                    ScheduledEvent::Timer(self.sidecars[sidecar].instance, token),
                );
            }
            Action::Subscribe | Action::FetchList => {
                self.queue
                    .schedule(self.now, ScheduledEvent::Call(self.sidecars[sidecar].instance));
            }
            // The model has no connections, no datagrams and no answers in parts.
            Action::Probe { .. }
            | Action::PassOn { .. }
            | Action::CloseIdle { .. }
            | Action::Tell { .. }
            | Action::Log { .. } => {}
        }
    }

    fn cancel(&mut self, request: u64, number: usize) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let instance = open.instance;
        let Some(attempt) = open.attempts.get_mut(number).filter(|a| a.is_out()) else { return };
        if !attempt.cancelled {
            attempt.cancelled = true;
            let id = AttemptId { request, number };
            self.queue.schedule(
                self.now,
                ScheduledEvent::AttemptEnded(instance, id, Ending::Cancelled, [0.0; 2]),
            );
        }
    }

    pub(super) fn timer(&mut self, sidecar: usize, token: u32) {
        self.deliver_event(sidecar, Event::Timer { token });
    }

    /// Handles the outcome of an attempt at its sidecar. The first served answer goes to the client.
    pub(super) fn attempt_ended(&mut self, id: AttemptId, ending: Ending, report: [f32; 2]) {
        let Some(request) = self.requests.get_mut(id.request) else { return };
        let sidecar = request.instance.sidecar;
        let paused = self.sidecars[sidecar].paused;
        let Some(attempt) = request.attempts.get_mut(id.number).filter(|a| a.is_out()) else {
            return;
        };
        attempt.ending = Some(ending);
        let (named, cancelled) = (attempt.named, attempt.cancelled);
        // Pauses of this process are subtracted, since they say nothing about the server's latency.
        let latency = (self.now - attempt.sent).saturating_sub(paused - attempt.paused);
        if ending == Ending::Served {
            self.final_answer(id.request, FinalOutcome::Served);
        }
        let finished = self.requests.get(id.request).is_none_or(|request| request.ended);
        if finished {
            self.cancel_open_attempts(id.request);
        }
        self.report_outcome(sidecar, id, (named, cancelled), (ending, latency, finished), report);
        self.requests.forget(id.request);
    }

    fn report_outcome(
        &mut self,
        sidecar: usize,
        id: AttemptId,
        (named, cancelled): (ServerId, bool),
        (ending, latency, finished): (Ending, Micros, bool),
        report: [f32; 2],
    ) {
        let Some(ending) = self.path.ending(ending, cancelled) else { return };
        let event = Event::Answer {
            id: RequestId(id.request),
            attempt: id.number,
            server: self.path.server(named),
            outcome: outcome(ending),
            latency,
            finished: self.path.finished(finished),
            report: LoadReport(report.into_iter().collect()),
        };
        self.deliver_event(sidecar, event);
    }
}

fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::Served => Outcome::Served,
        Ending::Error => Outcome::Error,
        Ending::Full => Outcome::Full,
        Ending::ConnectFailed => Outcome::ConnectFailed,
        Ending::Reset => Outcome::Reset,
        Ending::Moot => Outcome::NeverSent,
        Ending::TimedOut => Outcome::TimedOut,
        Ending::Cancelled => Outcome::Cancelled,
    }
}
