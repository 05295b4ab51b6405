//! Enforces the four rules: every send passes through `send`, every refusal or failure through
//! `refuse_or_fail`.

use super::*;

impl Request {
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::InFlight).count()
    }
    pub(super) fn cancel_attempts(
        &self,
        id: RequestId,
        except: Option<usize>,
        out: &mut Vec<Action>,
    ) {
        let is_open =
            |n: &usize| Some(*n) != except && self.attempts[*n].state == AttemptState::InFlight;
        let open = (0..self.attempts.len()).filter(is_open);
        out.extend(open.map(|attempt| Action::Cancel { id, attempt }));
    }
    pub(super) fn has_open_stream(&self) -> bool {
        self.attempts.iter().any(|a| a.response_started && a.state == AttemptState::InFlight)
    }
    /// The attempts that have run or may still run, as far as is known.
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.state != AttemptState::NeverRan)
    }
    pub(super) fn never_ran(&self) -> bool {
        self.may_have_run().next().is_none()
    }
}

impl Balancer {
    /// Rule 2: returns whether `s` may get an attempt of this request.
    pub(super) fn may_send(&self, request: &Request, s: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let limits = &self.settings.limits;
        if request.ended
            || request.streaming
            || request.passing_on.is_some()
            || self.now >= request.deadline
            || request.attempts.len() >= request.attempt_limit
            || (request.in_flight() > 0 && !limits.may_duplicate)
        {
            return false;
        }
        match class.repeat {
            RetrySafety::Safe => true,
            RetrySafety::Unsafe => request.never_ran(),
            RetrySafety::Keyed => request.may_have_run().all(|a| {
                let shared = class.dedup_scope.covers_both((a.zone, a.cell), (s.zone, s.cell));
                shared && self.now - a.sent_at < class.window
            }),
        }
    }

    /// Rule 2: returns whether the client may be told that a retry is harmless.
    fn may_refuse(&self, request: &Request) -> bool {
        // For a keyed request this cannot be promised: the client's retry may come after the
        // servers have forgotten the key.
        self.settings.classes[request.class].repeat == RetrySafety::Safe || request.never_ran()
    }

    /// Sends an attempt; the only place that does.
    pub(super) fn send(&mut self, id: RequestId, slot: Slot, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (now, s) = (self.now, &self.servers[slot]);
        if s.health != Health::Ready || !self.may_send(request, s) {
            return false;
        }
        let time_left = request.deadline - now;
        // A hedge has to be on the wire within the deduplication window, not only decided. An
        // attempt whose connection is slow, and an earlier one that is even slower, both have to be
        // written within the window that began with the first decision.
        let elapsed = now - request.may_have_run().map(|a| a.sent_at).min().unwrap_or(now);
        let window = self.settings.classes[request.class].commit_window() - elapsed;
        let s = &mut self.servers[slot];
        if s.chips > 0 {
            s.chips -= 1;
        } else if s.last_received.is_some() {
            s.last_received = Some(now);
        }
        s.in_flight += 1;
        s.unanswered_since.get_or_insert(now);
        let (server, zone, cell) = (s.id, s.zone, s.cell);
        let attempt = Attempt {
            slot,
            server,
            zone,
            cell,
            sent_at: now,
            state: AttemptState::InFlight,
            response_started: false,
            answer_begun: false,
            answer_paused: false,
        };
        out.push(Action::Send {
            id,
            server,
            timeout: time_left,
            commit_within: time_left.min(window),
        });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
        true
    }

    /// Refuses or fails a request; the only place that does.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        out.push(match self.may_refuse(request) {
            true => Action::Refuse { id, retry_after: self.retry_after() },
            false => Action::Fail { id },
        });
        self.close_request(id, out);
    }

    /// Ends a request: cancels its open attempts, and forgets it once none is open.
    pub(super) fn close_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        if request.in_flight() == 0 {
            self.requests.remove(&id);
        } else if self.settings.limits.cancel && !request.streaming {
            request.cancel_attempts(id, None, out);
        }
    }
}
