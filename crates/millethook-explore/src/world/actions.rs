//! Checks and executes the balancer's actions.

use super::*;

impl World {
    pub(super) fn handle(&mut self, event: Event<'_>) -> Result<Vec<Action>, Finding> {
        let mut actions = Vec::new();
        let now = self.mutant.map_or(self.now, |mutant| mutant.now(self.now));
        let balancer = &mut self.balancer;
        // `AssertUnwindSafe` is sound because the world is not used after a panic.
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
        if handled.is_err() {
            return Err(Finding {
                rule: Rule::Panic,
                found: "see the panic's own message".to_owned(),
            });
        }
        Ok(actions)
    }

    /// Runs the balancer's own invariant check, after the independent checks of its actions.
    pub(super) fn check_balancer(&self) -> Verdict {
        let own =
            |violation: Violation| Finding { rule: Rule::OwnCheck, found: violation.to_string() };
        self.balancer.check_invariants().map_err(own)
    }

    pub(super) fn deliver(&mut self, event: Event<'_>) -> Verdict {
        let at_timer = matches!(event, Event::Timer { .. });
        let mut actions = self.handle(event)?;
        if let Some(mutant) = self.mutant {
            let kind = |id: RequestId| self.requests.get(id.0 as usize).map(|request| request.kind);
            mutant.actions(&mut actions, at_timer, kind);
        }
        actions.into_iter().try_for_each(|action| self.execute(action))?;
        self.check_balancer()
    }

    pub(super) fn execute(&mut self, action: Action) -> Verdict {
        match action {
            Action::Send { id, server, timeout, commit_within } => {
                self.log_line(|| {
                    format!("    -> sends request {} to server {}", id.0, server.0 - 1)
                });
                self.send(id, server, judge::Send { now: self.now, timeout, commit_within })
            }
            Action::Refuse { id, .. } => {
                self.log_line(|| format!("    -> refuses request {}", id.0));
                self.final_answer(id, true)
            }
            Action::Fail { id } => {
                self.log_line(|| format!("    -> fails request {}", id.0));
                self.final_answer(id, false)
            }
            Action::Cancel { id, attempt } => {
                self.log_line(|| format!("    -> cancels request {}, attempt {attempt}", id.0));
                self.cancel(id, attempt)
            }
            Action::Timer { delay, token } => {
                self.timers.insert((self.now + delay, token));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    pub(super) fn request_of(&mut self, id: RequestId) -> Result<&mut Request, Finding> {
        let unknown = || Finding { rule: Rule::OneAnswer, found: format!("{id:?} is unknown") };
        self.requests.get_mut(id.0 as usize).ok_or_else(unknown)
    }

    pub(super) fn send(&mut self, id: RequestId, to: ServerId, send: judge::Send) -> Verdict {
        let scenario = self.scenario.clone();
        let position = self.servers.iter().position(|server| server.id == to);
        let Some(position) = position else {
            return Err(Finding { rule: Rule::GoneLeft, found: format!("{to:?} is unknown") });
        };
        let server = self.servers[position].clone();
        let request = self.request_of(id)?;
        judge::send(&scenario, request, &server, send)?;
        request.attempts.push(Attempt {
            server: to,
            zone: server.zone,
            sent: send.now,
            until: send.now + send.timeout,
            commit_by: send.now + send.commit_within,
            cancelled: None,
            course: AttemptProgress::Out,
        });
        self.servers[position].sends += 1;
        Ok(())
    }

    pub(super) fn final_answer(&mut self, id: RequestId, refused: bool) -> Verdict {
        let request = self.request_of(id)?;
        judge::final_answer(request, refused)?;
        request.finals += 1;
        Ok(())
    }

    pub(super) fn cancel(&mut self, id: RequestId, attempt: usize) -> Verdict {
        let now = self.now;
        let request = self.request_of(id)?;
        match request.attempts.get_mut(attempt) {
            Some(attempt) => {
                // The decisions do not interrupt an answer that is being forwarded to the client.
                if attempt.course == AttemptProgress::Out {
                    attempt.cancelled.get_or_insert(now);
                }
                Ok(())
            }
            None => {
                let found = format!("{id:?}: attempt {attempt} was never made");
                Err(Finding { rule: Rule::AttemptsBounded, found })
            }
        }
    }
}
