//! The door of the decisions: events go in, and what they say is carried out. As the engine's driver does it.

use coppercart::api::{Action, Event, LoadReport, Micros, Outcome, RequestId, ServerId};
use millethook_explore::scenario::Kind;
use millethook_explore::step::Ending;

use super::Fleet;
use super::clients::Final;
use super::due::{AttemptId, Due};
use crate::judge::Rule;
use crate::plan::Effect;

impl Fleet<'_> {
    /// Tells a sidecar's decisions of an event, and does what they say.
    pub(super) fn tell(&mut self, sidecar: usize, event: Event<'_>) {
        let own = &mut self.sidecars[sidecar];
        let Some(balancer) = &mut own.balancer else { return };
        let mut actions = std::mem::take(&mut self.actions);
        let told = event.clone();
        balancer.handle(self.path.now(self.now), event, &mut actions);
        own.unchecked += 1;
        if self.plan.check_every > 0 && own.unchecked >= self.plan.check_every {
            own.unchecked = 0;
            if let Err(violation) = balancer.check_invariants() {
                let found = || format!("sidecar {sidecar}: {violation}");
                self.judge.find(Rule::OwnCheck, self.now, found);
            }
        }
        let kind = |id: RequestId| self.requests.get(id.0).map(|request| self.kind(request.class));
        self.path.actions(&mut actions, &told, kind);
        for action in actions.drain(..) {
            self.act(sidecar, action);
        }
        self.actions = actions;
    }

    fn kind(&self, class: usize) -> Kind {
        match self.plan.classes[class].effect {
            Effect::Safe => Kind::Safe,
            Effect::Keyed => Kind::Keyed,
            Effect::Unsafe => Kind::Unsafe,
        }
    }

    fn act(&mut self, sidecar: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(sidecar, id.0, server, timeout),
            Action::Cancel { id, attempt } => self.cancel(id.0, attempt),
            Action::Refuse { id, .. } => self.final_answer(id.0, Final::Refused),
            Action::Fail { id } => self.final_answer(id.0, Final::Failed),
            Action::Timer { delay, token } => {
                let at = self.now.saturating_add(delay);
                self.queue.add(at, Due::Timer(self.sidecars[sidecar].at, token));
            }
            Action::Subscribe | Action::FetchList => {
                self.queue.add(self.now, Due::Call(self.sidecars[sidecar].at));
            }
            // Connections and datagrams have no part in the model.
            Action::Probe { .. }
            | Action::CloseIdle { .. }
            | Action::Tell { .. }
            | Action::Log { .. } => {}
        }
    }

    fn cancel(&mut self, request: u64, number: usize) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let at = open.at;
        let Some(attempt) = open.attempts.get_mut(number).filter(|a| a.is_out()) else { return };
        if !attempt.cancelled {
            attempt.cancelled = true;
            let id = AttemptId { request, number };
            self.queue.add(self.now, Due::Ended(at, id, Ending::Cancelled, [0.0; 2]));
        }
    }

    pub(super) fn timer(&mut self, sidecar: usize, token: u32) {
        self.tell(sidecar, Event::Timer { token });
    }

    /// The end of an attempt comes to its sidecar. The first answer served goes to the client.
    pub(super) fn ended(&mut self, id: AttemptId, ending: Ending, report: [f32; 2]) {
        let Some(request) = self.requests.get_mut(id.request) else { return };
        let sidecar = request.at.sidecar;
        let paused = self.sidecars[sidecar].paused;
        let Some(attempt) = request.attempts.get_mut(id.number).filter(|a| a.is_out()) else {
            return;
        };
        attempt.ending = Some(ending);
        let (named, cancelled) = (attempt.named, attempt.cancelled);
        // A pause of this process says nothing of the server.
        let latency = (self.now - attempt.sent).saturating_sub(paused - attempt.paused);
        if ending == Ending::Served {
            self.final_answer(id.request, Final::Served);
        }
        let finished = self.requests.get(id.request).is_none_or(|request| request.ended);
        if finished {
            self.withdraw(id.request);
        }
        self.tell_end(sidecar, id, (named, cancelled), (ending, latency, finished), report);
        self.requests.forget(id.request);
    }

    fn tell_end(
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
        self.tell(sidecar, event);
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
