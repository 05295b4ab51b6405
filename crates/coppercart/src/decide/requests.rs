//! The lifecycle of a request: arrival, attempts, retries and hedges.

use super::*;

/// Tokens that each request adds to the retry budget: the usual tenth.
pub(super) const RETRY_BUDGET_RATIO: f64 = 0.1;
/// The minimum cap of the retry budget: a few, so that one failing server does not use up a
/// minute's worth.
const MIN_RETRY_BUDGET_CAP: f64 = 5.0;
/// The averaging window of the request rate, in seconds.
const RATE_WINDOW_S: f64 = 10.0;
/// The aim divided by this is when an early hedge may go out: few answers are still to come by
/// then, and the hedge can still be in time.
pub(super) const EARLY_HEDGE_DIVISOR: Micros = 2;
/// The maximum work hint counted, as a multiple of the mean: hints are rough.
const MAX_WORK_RATIO: f64 = 6.0;

impl Balancer {
    pub(super) fn on_request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        let id = new.id;
        let class = new.class.min(self.settings.classes.len() - 1);
        // Without this, one heavy request looks like a slow server or a full fleet. About half of
        // an answer time grows with the announced work.
        let stats = &mut self.class_stats[class];
        let work_ratio = new.work_hint.filter(|&h| h > 0).map_or(1.0, |hint| {
            let hint = hint as f64;
            stats.mean_hint = if stats.mean_hint > 0.0 {
                stats.mean_hint + MEAN_SAMPLE_WEIGHT * (hint - stats.mean_hint)
            } else {
                hint
            };
            0.5 + 0.5 * (hint / stats.mean_hint).min(MAX_WORK_RATIO)
        });
        self.requests.insert(
            id,
            Request {
                class,
                key: new.key,
                work_ratio,
                deadline: self.now + new.time_left,
                attempt_limit: self.settings.limits.max_attempts,
                ended: false,
                streaming: false,
                passing_on: None,
                attempts: SmallVec::new(),
            },
        );
        let gap = (self.now.saturating_sub(self.rate_at) as f64 / 1e6).max(1e-3);
        self.rate_at = self.now;
        let decay = (-gap / RATE_WINDOW_S).exp();
        self.rate = self.rate * decay + (1.0 - decay) / gap;
        // The cap grows with the rate: a busy sidecar sees in a second what others see in a minute.
        let budget_cap = RETRY_BUDGET_RATIO * self.rate * self.reset_interval as f64 / 1e6;
        self.retry_budget =
            (self.retry_budget + RETRY_BUDGET_RATIO).min(budget_cap.max(MIN_RETRY_BUDGET_CAP));
        if self.uniform() < self.shed_share(class) || !self.try_send(id, out) {
            return self.refuse_or_fail(id, out);
        }
        self.schedule_check(
            self.settings.classes[class].aim / EARLY_HEDGE_DIVISOR,
            TimerKind::EarlyHedge(id),
            out,
        );
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

    /// Sends one more attempt after a failure, within the retry budget.
    pub(super) fn retry(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let sent = self.retry_budget >= 1.0 && self.try_send(id, out);
        if sent {
            self.retry_budget -= 1.0;
        }
        sent
    }

    /// Decides how the request goes on after an attempt has ended.
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
            a.state =
                if outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        }
        request.ended |= finished || outcome == Outcome::Served;
        if request.ended {
            return self.close_request(id, out);
        }
        if request.passing_on == Some(attempt) && !request.streaming {
            request.passing_on = None;
            return self.on_deadline(id, out);
        }
        // A stream has no deadline, so nothing else ends a request whose stream ended without being
        // served, for example cancelled as its first byte arrived. An open hedge does not keep such
        // a request past its deadline.
        let deadline_passed = self.now >= request.deadline;
        if request.in_flight() > 0
            && !(deadline_passed && request.streaming && !request.has_open_stream())
        {
            return;
        }
        if request.streaming || deadline_passed {
            return self.refuse_or_fail(id, out);
        }
        let sent = match outcome {
            Outcome::Full => {
                request.attempts.len() < MAX_ATTEMPTS_WHEN_FULL && self.try_send(id, out)
            }
            _ => self.retry(id, out),
        };
        if !sent {
            self.refuse_or_fail(id, out);
        }
    }

    pub(super) fn on_first_byte(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        // A long answer can take seconds after the server has done its work. Counted as waiting, it
        // makes a healthy server look silent and full.
        if let Some(a) = request.attempts.get_mut(attempt).filter(|a| !a.response_started) {
            a.response_started = true;
            let s = &mut self.servers[a.slot];
            if s.id == a.server {
                s.in_flight = s.in_flight.saturating_sub(1);
                s.unanswered_since = (s.in_flight > 0).then_some(self.now);
                s.last_received = Some(self.now);
            }
        }
        if self.settings.limits.cancel {
            request.cancel_attempts(id, Some(attempt), out);
        }
    }
}
