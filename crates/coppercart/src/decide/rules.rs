//! The four rules: every send passes `send`, every refusal or failure passes `end`.

use super::*;

impl Request {
    pub(super) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == Fate::Out).count()
    }
    pub(super) fn cancel(&self, id: RequestId, but: Option<usize>, out: &mut Vec<Action>) {
        let of = |n: &usize| Some(*n) != but && self.attempts[*n].fate == Fate::Out;
        let all = (0..self.attempts.len()).filter(of);
        out.extend(all.map(|attempt| Action::Cancel { id, attempt }));
    }
    pub(super) fn streams(&self) -> bool {
        self.attempts.iter().any(|a| a.begun && a.fate == Fate::Out)
    }
    /// The attempts that may have run, or may yet.
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }
    pub(super) fn never_ran(&self) -> bool {
        self.may_have_run().next().is_none()
    }
}

impl Balancer {
    /// Rule 2: whether `s` may get (another) attempt of this request.
    pub(super) fn allowed(&self, request: &Request, s: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let limits = &self.settings.limits;
        if request.ended
            || request.streaming
            || self.now >= request.deadline
            || request.attempts.len() >= request.most_attempts
            || (request.out() > 0 && !limits.may_duplicate)
        {
            return false;
        }
        match class.repeat {
            RetrySafety::Safe => true,
            RetrySafety::Unsafe => request.never_ran(),
            RetrySafety::Keyed => request.may_have_run().all(|a| {
                let shared = class.dedup_scope.shares((a.zone, a.cell), (s.zone, s.cell));
                shared && self.now - a.sent < class.window
            }),
        }
    }

    /// Rule 2: whether the client may be told that trying again is harmless.
    fn refusable(&self, request: &Request) -> bool {
        // A client's own retry of a keyed request may come when no server remembers it.
        self.settings.classes[request.class].repeat == RetrySafety::Safe || request.never_ran()
    }

    /// The one gate of all sends.
    pub(super) fn send(&mut self, id: RequestId, slot: Slot, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let (now, s) = (self.now, &self.servers[slot]);
        if s.health != Health::Ready || !self.allowed(request, s) {
            return false;
        }
        let left = request.deadline - now;
        // Copies count when they are out, not when they are decided on. One whose connection is late, and
        // one that was first and is later still, both have to be out within the window of the first decision.
        let since = now - request.may_have_run().map(|a| a.sent).min().unwrap_or(now);
        let window = self.settings.classes[request.class].commit_window() - since;
        let s = &mut self.servers[slot];
        if s.chips > 0 {
            s.chips -= 1;
        } else if s.received.is_some() {
            s.received = Some(now);
        }
        s.in_flight += 1;
        s.silent_since.get_or_insert(now);
        let (server, zone, cell) = (s.id, s.zone, s.cell);
        let attempt =
            Attempt { slot, server, zone, cell, sent: now, fate: Fate::Out, begun: false };
        out.push(Action::Send { id, server, timeout: left, commit_within: left.min(window) });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
        true
    }

    /// The one gate of all refusals and failures.
    pub(super) fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        out.push(match self.refusable(request) {
            true => Action::Refuse { id, retry_after: self.retry_after() },
            false => Action::Fail { id },
        });
        self.call_off(id, out);
    }

    /// A request's end: calls off what is still out and forgets it when nothing is.
    pub(super) fn call_off(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.ended = true;
        if request.out() == 0 {
            self.requests.remove(&id);
        } else if self.settings.limits.cancel && !request.streaming {
            request.cancel(id, None, out);
        }
    }
}
