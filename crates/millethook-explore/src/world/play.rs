//! What comes: plays one step, and tells the balancer of it.

use super::*;

impl World {
    /// Plays a step that could come next. False: it could not.
    ///
    /// # Errors
    /// The rule that is broken by what the balancer made of it.
    pub fn take(&mut self, step: Step, bounds: &Bounds) -> Result<bool, Finding> {
        if !self.steps(bounds).contains(&step) {
            return Ok(false);
        }
        self.play(step)?;
        Ok(true)
    }

    /// Plays one of [`World::steps`].
    ///
    /// # Errors
    /// The rule that is broken by what the balancer made of it.
    pub fn play(&mut self, step: Step) -> Verdict {
        self.count(step);
        if step != Step::Advance {
            self.note(|| step.to_string());
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
            Step::ClientGone { request } => self.client_gone(request)?,
            Step::List { server, change } => self.list_change(server, change)?,
        }
        if self.at_rest() {
            judge::at_rest(&self.requests, self.balancer.open_requests(), self.timers.len())?;
        }
        Ok(())
    }

    /// Puts a step on the path's account.
    pub(super) fn count(&mut self, step: Step) {
        let owed = match step {
            Step::Advance => {
                let late = u8::from(self.due());
                self.used.late += late;
                late == 0
            }
            Step::Timer | Step::Arrive => true,
            Step::End { request, attempt, ending } => {
                let state = &self.requests[request].attempts[attempt];
                let expected = matches!(ending, Ending::TimedOut | Ending::Cancelled);
                expected && self.owed(state)
            }
            Step::List { .. } => {
                self.used.list_changes += 1;
                false
            }
            _ => false,
        };
        self.used.events += u8::from(!owed);
    }

    /// The quiet course: no more events; what is due comes at its time until everything is at rest.
    ///
    /// # Errors
    /// The rule that is broken on the way, or at rest.
    pub fn come_to_rest(&mut self) -> Verdict {
        for _ in 0..REST_AFTER {
            if self.at_rest() {
                return Ok(());
            }
            let step = self.quiet_step();
            self.play(step)?;
        }
        Err(Finding { rule: Rule::NothingLeft, found: "it never comes to rest".to_owned() })
    }

    pub(super) fn quiet_step(&self) -> Step {
        if self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
            return Step::Timer;
        }
        let owed = self.attempts().find(|(_, _, attempt)| self.owed(attempt));
        if let Some((request, attempt, state)) = owed {
            let ending =
                if state.cancelled.is_some() { Ending::Cancelled } else { Ending::TimedOut };
            return Step::End { request, attempt, ending };
        }
        let answering = self.attempts().find(|(_, _, a)| a.course == Course::Answering);
        match answering {
            Some((request, attempt, _)) => Step::End { request, attempt, ending: Ending::Reset },
            None => Step::Advance,
        }
    }

    pub(super) fn advance(&mut self) -> Verdict {
        let Some(next) = self.next_moment() else {
            let found = "nothing is due, and something is out".to_owned();
            return Err(Finding { rule: Rule::NothingLeft, found });
        };
        self.now = next;
        self.requests.iter().try_for_each(|request| judge::in_time(request, next))
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
        attempt.course = Course::Ended { never_ran: ending.proves_not_run(), at: now };
        let (server, latency, cancelled) =
            (attempt.server, now - attempt.sent, attempt.cancelled.is_some());
        if request.answering == Some(n) {
            request.answering = None;
        }
        if ending == Ending::Served && !request.is_ended() {
            request.finals = 1;
        }
        // While a long answer is coming in, the request is not over.
        let finished = request.is_ended() && request.answering.is_none();
        let id = request.id;
        let told = match self.mutant {
            Some(mutant) => mutant.ending(ending, cancelled),
            None => Some(ending),
        };
        let Some(told) = told else { return Ok(()) };
        let finished = self.mutant.map_or(finished, |mutant| mutant.finished(finished));
        let server = self.mutant.map_or(server, |mutant| mutant.server(server));
        self.deliver(World::answer(id, n, server, outcome(told), latency, finished))
    }

    pub(super) fn answer_begins(&mut self, r: usize, n: usize) -> Verdict {
        let request = &mut self.requests[r];
        request.finals = 1;
        request.answering = Some(n);
        request.attempts[n].course = Course::Answering;
        self.first_byte(r, n)
    }

    pub(super) fn first_byte(&mut self, r: usize, attempt: usize) -> Verdict {
        if self.mutant == Some(Mutant::HidesFirstBytes) {
            return Ok(());
        }
        self.deliver(Event::FirstByte { id: self.requests[r].id, attempt })
    }

    /// As the driver does it: what is being passed on is cut there, and the decisions are not asked.
    pub(super) fn client_gone(&mut self, r: usize) -> Verdict {
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
            ListChange::Drains => server.standing = Standing::Draining(now),
            ListChange::Unlisted | ListChange::Gone | ListChange::Replaced => {
                server.standing = Standing::Gone;
            }
            ListChange::Restarted => restart(server),
            ListChange::ReturnsCold => {
                server.standing = Standing::Ready;
                restart(server);
            }
        }
        let mut told = vec![World::entry(server)];
        if change == ListChange::Replaced {
            let id = ServerId(self.servers.len() as u64 + 1);
            let zone = self.servers[position].zone;
            let fresh = Server { id, zone, standing: Standing::Ready, started: now, sends: 0 };
            told.push(World::entry(&fresh));
            self.servers.push(fresh);
        }
        let gone = self.servers[position].standing == Standing::Gone;
        let drains = change == ListChange::Drains;
        if self.mutant.is_some_and(|mutant| !mutant.tells_list(drains, gone)) {
            return Ok(());
        }
        if change == ListChange::Unlisted {
            let listed = self.servers.iter().filter(|server| server.standing != Standing::Gone);
            let told = listed.map(World::entry).collect();
            return self.list(ListKind::Whole, told);
        }
        self.list(ListKind::Changes, told)
    }

    pub(super) fn list(&mut self, kind: ListKind, mut entries: Vec<ServerEntry>) -> Verdict {
        if let Some(mutant) = self.mutant {
            entries.iter_mut().for_each(|entry| mutant.entry(entry));
        }
        self.deliver(Event::Servers { kind, entries: &entries })
    }
}

/// An end as the balancer's interface has it.
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
