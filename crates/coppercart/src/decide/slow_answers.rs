//! Answers that take their time: what is sent beside one that pauses, and which one is passed on at the deadline.

use super::*;

impl Request {
    /// The attempt whose answer is passed on if none is complete: one that has not paused, then the oldest.
    fn best_begun_answer(&self) -> Option<usize> {
        let attempts = self.attempts.iter().enumerate();
        let begun = attempts.filter(|(_, a)| a.answer_begun && a.state == AttemptState::InFlight);
        begun.min_by_key(|(index, a)| (a.answer_paused, *index)).map(|(index, _)| index)
    }
}

impl Balancer {
    pub(super) fn on_answer_begun(&mut self, id: RequestId, attempt: usize) {
        if let Some(a) = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt)) {
            a.answer_begun = true;
        }
    }

    /// Sends one more attempt beside an answer that has begun and pauses: it may be truncated, or come from
    /// a server that hangs.
    pub(super) fn on_answer_paused(
        &mut self,
        id: RequestId,
        attempt: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // Where the answers of two servers pause, a third one would most likely pause, too.
        let is_first = !request.attempts.iter().any(|a| a.answer_paused);
        let Some(paused) = request.attempts.get_mut(attempt) else { return };
        paused.answer_paused = true;
        if !is_first {
            return;
        }
        // The pause itself makes the server look late, so lateness says nothing here. The retry budget
        // bounds these attempts, as it does those after a failure.
        let is_lost = |a: &Attempt| a.answer_paused || a.state != AttemptState::InFlight;
        self.hedge(id, true, |_, _, a| is_lost(a), out);
    }

    /// The attempt's time is up. A request whose body only this attempt can send has no other deadline.
    pub(super) fn on_answer_overdue(
        &mut self,
        id: RequestId,
        attempt: usize,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.ended) else { return };
        let overdue = request.attempts.get(attempt);
        if overdue.is_some_and(|a| a.response_started && a.state == AttemptState::InFlight) {
            return out.push(Action::PassOn { id, attempt });
        }
        self.on_deadline(id, out);
    }

    /// Ends a request whose time is up. An answer that has begun is not cut off: the server may be sound, and
    /// the request has run.
    pub(super) fn on_deadline(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.ended || request.has_open_stream() || request.passing_on.is_some() {
            return;
        }
        request.passing_on = request.best_begun_answer();
        match request.passing_on {
            Some(attempt) => out.push(Action::PassOn { id, attempt }),
            None => self.refuse_or_fail(id, out),
        }
    }
}
