//! The steps that are possible next, within the bounds.

use super::*;

impl World {
    /// Returns whether the outcome of an attempt is due: it has timed out, or its cancellation was requested.
    pub(super) fn outcome_due(&self, attempt: &Attempt) -> bool {
        attempt.course == AttemptProgress::Out
            && (attempt.cancelled.is_some() || self.now >= attempt.until)
    }

    /// Returns whether a timer or an outcome is due now.
    pub(super) fn has_due_event(&self) -> bool {
        let timer = self.timers.first().is_some_and(|(at, _)| *at <= self.now);
        timer || self.attempts().any(|(_, _, attempt)| self.outcome_due(attempt))
    }

    /// Returns each attempt with the index of its request and its own index.
    pub(super) fn attempts(&self) -> impl Iterator<Item = (usize, usize, &Attempt)> {
        self.requests.iter().enumerate().flat_map(|(r, request)| {
            request.attempts.iter().enumerate().map(move |(n, attempt)| (r, n, attempt))
        })
    }

    /// Returns the next relevant time. `None` if there is none, or if something due must happen first.
    pub(super) fn next_moment(&self) -> Option<Micros> {
        let now = self.now;
        let mut next = Micros::MAX;
        let mut last = Micros::MAX;
        let mut at = |moment: Micros| {
            if moment > now {
                next = next.min(moment);
            }
        };
        let mut limit = |moment: Micros| last = last.min(moment);
        for &(expires, _) in &self.timers {
            at(expires);
            if expires <= now {
                at(expires + MAX_TIMER_DELAY);
            }
            limit(expires + MAX_TIMER_DELAY);
        }
        for request in &self.requests {
            for attempt in
                request.attempts.iter().filter(|attempt| attempt.course == AttemptProgress::Out)
            {
                at(attempt.until);
                if attempt.until <= now {
                    at(attempt.until + MAX_OUTCOME_DELAY);
                }
                limit(attempt.until + MAX_OUTCOME_DELAY);
                if let Some(cancelled_at) = attempt.cancelled {
                    at(cancelled_at + MAX_CANCEL_DELAY);
                    limit(cancelled_at + MAX_CANCEL_DELAY);
                }
            }
            if request.kind == RequestKind::Keyed && !request.is_ended() {
                request.attempts.iter().for_each(|attempt| at(attempt.sent + WINDOW));
            }
        }
        for server in &self.servers {
            if let ServerStatus::Draining(since) = server.status {
                at(since + DRAIN_GRACE);
                at(since + DRAIN_GRACE + 1);
            }
        }
        (next <= last && next < Micros::MAX).then_some(next)
    }

    /// Returns all steps that are possible next, within the bounds.
    pub fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        let events_left = self.used.events < bounds.events;
        if self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
            steps.push(Step::Timer);
        }
        if self.requests.len() < self.scenario.requests.len() {
            steps.push(Step::Arrive);
        }
        for (request, n, attempt) in self.attempts() {
            self.attempt_steps(request, n, attempt, events_left, &mut steps);
        }
        if events_left {
            self.client_steps(&mut steps);
            if self.used.list_changes < bounds.list_changes {
                self.list_steps(&mut steps);
            }
        }
        let may_be_late = events_left && self.used.late < bounds.late;
        if self.next_moment().is_some() && (may_be_late || !self.has_due_event()) {
            steps.push(Step::Advance);
        }
        steps
    }

    pub(super) fn attempt_steps(
        &self,
        request: usize,
        attempt: usize,
        state: &Attempt,
        events_left: bool,
        steps: &mut Vec<Step>,
    ) {
        let end = |ending| Step::End { request, attempt, ending };
        let request_state = &self.requests[request];
        match state.course {
            AttemptProgress::Ended { .. } => {}
            AttemptProgress::Answering if events_left => {
                steps.extend([Ending::Served, Ending::Reset].map(end));
                if state.cancelled.is_some() {
                    steps.push(end(Ending::Cancelled));
                }
            }
            AttemptProgress::Answering => {}
            AttemptProgress::Out => {
                let uploading = request_state.uploading == Some(attempt);
                if state.cancelled.is_some() {
                    steps.push(end(Ending::Cancelled));
                }
                if self.now >= state.until || uploading && events_left {
                    steps.push(end(Ending::TimedOut));
                }
                if !events_left {
                    return;
                }
                steps.extend(Ending::AT_ANY_TIME.map(end));
                if self.scenario.options.streaming
                    && !request_state.is_ended()
                    && request_state.answering.is_none()
                {
                    steps.push(Step::AnswerBegins { request, attempt });
                    if request_state.uploading.is_none() && state.cancelled.is_none() {
                        steps.push(Step::UploadBegins { request, attempt });
                    }
                }
            }
        }
    }

    pub(super) fn client_steps(&self, steps: &mut Vec<Step>) {
        for (request, state) in self.requests.iter().enumerate() {
            if !state.gone && (state.finals == 0 || state.answering.is_some()) {
                steps.push(Step::ClientGone { request });
            }
        }
    }

    pub(super) fn list_steps(&self, steps: &mut Vec<Step>) {
        for (server, state) in self.servers.iter().enumerate() {
            for change in ListChange::ALL {
                let is_ready = state.status == ServerStatus::Ready;
                let possible = match change {
                    ListChange::Drains | ListChange::Restarted => is_ready,
                    ListChange::Unlisted | ListChange::Gone | ListChange::Replaced => {
                        state.status != ServerStatus::Gone
                    }
                    ListChange::ReturnsCold => !is_ready,
                };
                if possible {
                    steps.push(Step::List { server, change });
                }
            }
        }
    }

    /// Returns whether no attempt is in flight and no timer is set, so that nothing more happens by itself.
    pub fn is_idle(&self) -> bool {
        self.timers.is_empty() && !self.attempts().any(|(_, _, attempt)| attempt.is_out())
    }
}
