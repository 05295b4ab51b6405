//! A request from its coming to its end: attempts, repeats and copies.

use super::*;

/// Repeats after failures, as a share of requests: a tenth, as is usual.
pub(super) const RETRY_SHARE: f64 = 0.1;
/// Repeats that may be saved up; a few, so that one sick server does not spend a minute's worth.
const RETRY_SAVED: f64 = 5.0;
/// Seconds over which a sidecar's own rate is taken.
const RATE_SPAN: f64 = 10.0;
/// When a second copy goes out, as a part of the aim: few answers are still to come, and its own can be in time.
pub(super) const COPY_AT: Micros = 2;
/// Requests count as so many times as heavy as the usual at most: hints are rough.
const MAX_WORK_RATIO: f64 = 6.0;

impl Balancer {
    pub(super) fn request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        let id = new.id;
        let class = new.class.min(self.settings.classes.len() - 1);
        // Without this, one heavy request looks like a slow server or a full fleet. Half of an answer
        // time, about, grows with the work that was announced.
        let l = &mut self.learned[class];
        let work_ratio = new.work_hint.filter(|&h| h > 0).map_or(1.0, |hint| {
            let hint = hint as f64;
            l.hint = if l.hint > 0.0 { l.hint + MEAN_WEIGHT * (hint - l.hint) } else { hint };
            0.5 + 0.5 * (hint / l.hint).min(MAX_WORK_RATIO)
        });
        self.requests.insert(
            id,
            Request {
                class,
                key: new.key,
                work_ratio,
                deadline: self.now + new.time_left,
                most_attempts: self.settings.limits.max_attempts,
                ended: false,
                streaming: false,
                attempts: SmallVec::new(),
            },
        );
        let gap = (self.now.saturating_sub(self.rate_at) as f64 / 1e6).max(1e-3);
        self.rate_at = self.now;
        let kept = (-gap / RATE_SPAN).exp();
        self.rate = self.rate * kept + (1.0 - kept) / gap;
        // A busy sidecar meets in a second what a quiet one does in a minute.
        let saved = RETRY_SHARE * self.rate * self.reset_interval as f64 / 1e6;
        self.retry_budget = (self.retry_budget + RETRY_SHARE).min(saved.max(RETRY_SAVED));
        if self.uniform() < self.shed_share(class) || !self.try_send(id, out) {
            return self.end(id, out);
        }
        self.look_again(self.settings.classes[class].aim / COPY_AT, Alarm::Copy(id), out);
    }

    fn try_send(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let slot = self.pick(&request);
        if request.attempts.is_empty() {
            self.recent_keys[self.next_recent_key % RECENT_KEYS] = request.key;
            self.next_recent_key += 1;
        }
        self.requests.insert(id, request);
        slot.is_some_and(|slot| self.send(id, slot, out))
    }

    /// One more attempt after a failure, within the retry budget.
    pub(super) fn retry(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let sent = self.retry_budget >= 1.0 && self.try_send(id, out);
        if sent {
            self.retry_budget -= 1.0;
        }
        sent
    }

    /// What an outcome means for the request.
    pub(super) fn on_attempt_end(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(a) = request.attempts.get_mut(attempt) {
            a.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        }
        request.ended |= finished || outcome == Outcome::Served;
        if request.ended {
            return self.call_off(id, out);
        }
        // A stream has no deadline, so nothing else ends a request whose stream ended unserved: cancelled,
        // off, say, as its first byte came. A copy that is out beside it does not hold it past its end.
        let over = self.now >= request.deadline;
        if request.out() > 0 && !(over && request.streaming && !request.streams()) {
            return;
        }
        if request.streaming || over {
            return self.end(id, out);
        }
        let sent = match outcome {
            Outcome::Full => request.attempts.len() < FULL_TRIES && self.try_send(id, out),
            _ => self.retry(id, out),
        };
        if !sent {
            self.end(id, out);
        }
    }

    pub(super) fn first_byte(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        // A long answer is under way for seconds after the server has done its work. Taken
        // for one that is waited for, it makes a well server look silent and full.
        if let Some(a) = request.attempts.get_mut(attempt).filter(|a| !a.begun) {
            a.begun = true;
            let s = &mut self.servers[a.slot];
            if s.id == a.server {
                s.in_flight = s.in_flight.saturating_sub(1);
                s.silent_since = (s.in_flight > 0).then_some(self.now);
                s.received = Some(self.now);
            }
        }
        if self.settings.limits.cancel {
            request.cancel(id, Some(attempt), out);
        }
    }
}
