//! Executes a step and reports it to the balancer.

use super::*;

impl World {
    /// Executes a step if it is possible next. Returns false if it is not.
    ///
    /// # Errors
    /// The balancer's reaction violates a rule.
    pub fn try_play(&mut self, step: Step, bounds: &Bounds) -> Result<bool, Finding> {
        if !self.steps(bounds).contains(&step) {
            return Ok(false);
        }
        self.play(step)?;
        Ok(true)
    }

    /// Executes one of [`World::steps`].
    ///
    /// # Errors
    /// The balancer's reaction violates a rule.
    pub fn play(&mut self, step: Step) -> Verdict {
        self.count_step(step);
        if step != Step::Advance {
            self.log_line(|| step.to_string());
        }
        match step {
            Step::Advance => self.advance()?,
            Step::Timer => self.timer()?,
            Step::Arrive => self.arrive()?,
            Step::End { request, attempt, ending } => self.end(request, attempt, ending)?,
            Step::AnswerBegins { request, attempt } => self.answer_begins(request, attempt)?,
            Step::UploadBegins { request, attempt } => {
                self.requests[request].uploading = Some(attempt);
                self.first_byte(request, attempt)?;
            }
            Step::ClientGone { request } => self.client_leaves(request)?,
            Step::List { server, change } => self.list_change(server, change)?,
        }
        if self.is_idle() {
            judge::check_idle(&self.requests, self.balancer.open_requests(), self.timers.len())?;
        }
        Ok(())
    }

    /// Counts a step against the path's bounds.
    pub(super) fn count_step(&mut self, step: Step) {
        let uncounted = match step {
            Step::Advance => {
                let late = u8::from(self.has_due_event());
                self.used.late += late;
                late == 0
            }
            Step::Timer | Step::Arrive => true,
            Step::End { request, attempt, ending } => {
                let state = &self.requests[request].attempts[attempt];
                let expected = matches!(ending, Ending::TimedOut | Ending::Cancelled);
                expected && self.outcome_due(state)
            }
            Step::List { .. } => {
                self.used.list_changes += 1;
                false
            }
            _ => false,
        };
        self.used.events += u8::from(!uncounted);
    }

    /// Runs without further counted events until the world is idle: everything due happens at its time.
    ///
    /// # Errors
    /// A rule is violated on the way, or once the world is idle.
    pub fn run_until_idle(&mut self) -> Verdict {
        for _ in 0..MAX_STEPS_UNTIL_IDLE {
            if self.is_idle() {
                return Ok(());
            }
            let step = self.step_without_event();
            self.play(step)?;
        }
        Err(Finding { rule: Rule::NothingLeft, found: "the world does not become idle".to_owned() })
    }

    pub(super) fn step_without_event(&self) -> Step {
        if self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
            return Step::Timer;
        }
        let due_attempt = self.attempts().find(|(_, _, attempt)| self.outcome_due(attempt));
        if let Some((request, attempt, state)) = due_attempt {
            let ending =
                if state.cancelled.is_some() { Ending::Cancelled } else { Ending::TimedOut };
            return Step::End { request, attempt, ending };
        }
        let answering = self.attempts().find(|(_, _, a)| a.course == AttemptProgress::Answering);
        match answering {
            Some((request, attempt, _)) => Step::End { request, attempt, ending: Ending::Reset },
            None => Step::Advance,
        }
    }

    pub(super) fn advance(&mut self) -> Verdict {
        let Some(next) = self.next_moment() else {
            let found = "nothing is due, but an attempt is in flight".to_owned();
            return Err(Finding { rule: Rule::NothingLeft, found });
        };
        self.now = next;
        self.requests.iter().try_for_each(|request| judge::check_deadline(request, next))
    }

    pub(super) fn timer(&mut self) -> Verdict {
        match self.timers.pop_first() {
            Some((_, token)) => self.deliver(Event::Timer { token }),
            None => Ok(()),
        }
    }

    pub(super) fn arrive(&mut self) -> Verdict {
        let position = self.requests.len();
        let kind = self.scenario.requests[position];
        let id = RequestId(position as u64);
        self.requests.push(Request {
            id,
            kind,
            deadline: self.now + DEADLINE,
            finals: 0,
            gone: false,
            answering: None,
            uploading: None,
            attempts: Vec::new(),
        });
        self.deliver(Event::Request(World::new_request(id, kind)))
    }

    pub(super) fn end(&mut self, r: usize, n: usize, ending: Ending) -> Verdict {
        let now = self.now;
        let request = &mut self.requests[r];
        let attempt = &mut request.attempts[n];
        attempt.course = AttemptProgress::Ended { never_ran: ending.proves_not_run(), at: now };
        let (server, latency, cancelled) =
            (attempt.server, now - attempt.sent, attempt.cancelled.is_some());
        if request.answering == Some(n) {
            request.answering = None;
        }
        if ending == Ending::Served && !request.is_ended() {
            request.finals = 1;
        }
        // A request with a streaming answer in progress is not finished.
        let finished = request.is_ended() && request.answering.is_none();
        let id = request.id;
        let reported = match self.mutant {
            Some(mutant) => mutant.ending(ending, cancelled),
            None => Some(ending),
        };
        let Some(reported) = reported else { return Ok(()) };
        let finished = self.mutant.map_or(finished, |mutant| mutant.finished(finished));
        let server = self.mutant.map_or(server, |mutant| mutant.server(server));
        self.deliver(World::answer(id, n, server, outcome(reported), latency, finished))
    }

    pub(super) fn answer_begins(&mut self, r: usize, n: usize) -> Verdict {
        let request = &mut self.requests[r];
        request.finals = 1;
        request.answering = Some(n);
        request.attempts[n].course = AttemptProgress::Answering;
        self.first_byte(r, n)
    }

    pub(super) fn first_byte(&mut self, r: usize, attempt: usize) -> Verdict {
        if self.mutant == Some(Mutant::HidesFirstBytes) {
            return Ok(());
        }
        self.deliver(Event::FirstByte { id: self.requests[r].id, attempt })
    }

    /// As in the driver: an answer that is being forwarded is cut off without consulting the decisions.
    pub(super) fn client_leaves(&mut self, r: usize) -> Verdict {
        let now = self.now;
        let request = &mut self.requests[r];
        request.gone = true;
        if let Some(n) = request.answering {
            request.attempts[n].cancelled = Some(now);
            return Ok(());
        }
        if let Some(n) = request.uploading {
            request.attempts[n].cancelled = Some(now);
        }
        if self.mutant == Some(Mutant::HidesDepartedClients) {
            return Ok(());
        }
        self.deliver(Event::ClientGone { id: self.requests[r].id })
    }

    pub(super) fn list_change(&mut self, position: usize, change: ListChange) -> Verdict {
        let now = self.now;
        let server = &mut self.servers[position];
        let restart = |server: &mut Server| (server.started, server.sends) = (now, 0);
        match change {
            ListChange::Drains => server.status = ServerStatus::Draining(now),
            ListChange::Unlisted | ListChange::Gone | ListChange::Replaced => {
                server.status = ServerStatus::Gone;
            }
            ListChange::Restarted => restart(server),
            ListChange::ReturnsCold => {
                server.status = ServerStatus::Ready;
                restart(server);
            }
        }
        let mut reported = vec![World::entry(server)];
        if change == ListChange::Replaced {
            let id = ServerId(self.servers.len() as u64 + 1);
            let zone = self.servers[position].zone;
            let replacement =
                Server { id, zone, status: ServerStatus::Ready, started: now, sends: 0 };
            reported.push(World::entry(&replacement));
            self.servers.push(replacement);
        }
        let gone = self.servers[position].status == ServerStatus::Gone;
        let drains = change == ListChange::Drains;
        if self.mutant.is_some_and(|mutant| !mutant.reports_list_change(drains, gone)) {
            return Ok(());
        }
        if change == ListChange::Unlisted {
            let listed = self.servers.iter().filter(|server| server.status != ServerStatus::Gone);
            let reported = listed.map(World::entry).collect();
            return self.list(ListKind::Whole, reported);
        }
        self.list(ListKind::Changes, reported)
    }

    pub(super) fn list(&mut self, kind: ListKind, mut entries: Vec<ServerEntry>) -> Verdict {
        if let Some(mutant) = self.mutant {
            entries.iter_mut().for_each(|entry| mutant.entry(entry));
        }
        self.deliver(Event::Servers { kind, entries: &entries })
    }
}

/// Converts an outcome to the balancer's type.
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
