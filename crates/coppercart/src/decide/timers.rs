//! Timers: checks of open requests, deadlines and renewed subscriptions.

use super::requests::RETRY_BUDGET_RATIO;
use super::shedding::MIN_SHED_LATENESS;
use super::*;

/// The answer time, in aims, assumed for an attempt that is unanswered at its aim.
pub(super) const MISSED_AIM_LATENCY: f64 = 1.5;

impl Balancer {
    pub(super) fn set_timer(&mut self, delay: Micros, kind: TimerKind, out: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.timers.insert(token, kind);
        out.push(Action::Timer { delay, token });
    }

    /// Schedules a check of a request after `delay`, but not later than its deadline (rule 1).
    ///
    /// One timer per request: three timers set at its start would all be kept for as long as the
    /// client says that it waits.
    pub(super) fn schedule_check(&mut self, delay: Micros, kind: TimerKind, out: &mut Vec<Action>) {
        let (TimerKind::EarlyHedge(id) | TimerKind::LateHedge(id) | TimerKind::Deadline(id)) = kind
        else {
            return;
        };
        let Some(request) = self.requests.get(&id).filter(|request| !request.ended) else { return };
        let time_left = request.deadline.saturating_sub(self.now);
        let kind = if time_left <= delay { TimerKind::Deadline(id) } else { kind };
        self.set_timer(time_left.min(delay), kind, out);
    }

    pub(super) fn on_timer(&mut self, token: u32, out: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            // A connection or an answer that goes silent blocks its request. A hedge goes out if it
            // is harmless and within the retry budget; in an overload, hedges would be what makes
            // others late.
            Some(TimerKind::EarlyHedge(id)) => {
                let Some(request) = self.requests.get(&id) else { return };
                // Timers fire late. The next one must not be later for that.
                let aim = self.settings.classes[request.class].aim;
                let aim_time = request.attempts.first().map_or(self.now, |a| a.sent_at) + aim;
                // Counts answers to attempts sent clearly after this one: a heavy request is easily
                // overtaken.
                let mean_latency = self.class_stats[request.class].mean_latency as Micros;
                let overload_free = self.current_lateness() < MIN_SHED_LATENESS;
                self.hedge(
                    id,
                    overload_free,
                    |_, s, a| s.latest_answered_send > a.sent_at + mean_latency,
                    out,
                );
                self.schedule_check(
                    aim_time.saturating_sub(self.now),
                    TimerKind::LateHedge(id),
                    out,
                );
            }
            Some(TimerKind::LateHedge(id)) => {
                // A server that accepts requests and never answers overtakes nothing, so this hedge
                // depends on time alone.
                let overload_free = self.current_lateness() < MIN_SHED_LATENESS;
                self.record_late_attempts(id);
                self.hedge(id, overload_free, |b, s, a| b.is_silent_since(s, a.sent_at), out);
                // Without another check, and budget earned by waiting, a lone client would wait
                // until its deadline.
                let keep_checking = self.settings.failover.copy_at_aim;
                let next_check =
                    if keep_checking { self.longest_aim as Micros } else { Micros::MAX };
                self.retry_budget += if keep_checking { RETRY_BUDGET_RATIO } else { 0.0 };
                self.schedule_check(next_check, TimerKind::LateHedge(id), out);
            }
            Some(TimerKind::Deadline(id)) => self.on_deadline(id, out),
            Some(TimerKind::Subscribe) => out.push(Action::Subscribe),
            None => {}
        }
    }

    /// Sends one more attempt if `is_lost` holds for every attempt so far.
    pub(super) fn hedge(
        &mut self,
        id: RequestId,
        overload_free: bool,
        is_lost: impl Fn(&Self, &Server, &Attempt) -> bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let repeat = self.settings.classes[request.class].repeat;
        let harmless = repeat != RetrySafety::Unsafe && self.settings.limits.may_duplicate;
        let waiting = harmless && !request.ended && !request.streaming && request.in_flight() > 0;
        let all_lost = request.attempts.iter().all(|a| is_lost(self, &self.servers[a.slot], a));
        if waiting && all_lost && overload_free {
            self.retry(id, out);
        }
    }

    /// Returns whether the server has sent nothing since `sent`, where the settings hedge in that
    /// case.
    pub(super) fn is_silent_since(&self, s: &Server, sent: Micros) -> bool {
        self.settings.failover.copy_at_aim && s.unanswered_since.is_some_and(|t| t <= sent)
    }

    /// Counts the open attempts of a request as late at its aim. A sidecar with few requests that
    /// waits for late answers to arrive learns of an overload only when it is over.
    fn record_late_attempts(&mut self, id: RequestId) {
        // An answer that has begun is in time, however long it takes to arrive.
        let open = self.requests.get(&id).filter(|request| !request.ended && !request.streaming);
        let Some(request) = open else { return };
        let class = request.class;
        // A connection may go silent though its server is healthy: an attempt that a later one has
        // overtaken says nothing about the server. Each attempt counts at one check.
        let overtaken = |a: &Attempt| self.servers[a.slot].latest_answered_send > a.sent_at;
        let until = self.settings.classes[class].aim + self.longest_aim as Micros;
        let counts =
            |a: &&Attempt| a.state == AttemptState::InFlight && self.now - a.sent_at < until;
        let late = request.attempts.iter().filter(counts).filter(|a| !overtaken(a));
        let slots: SmallVec<[Slot; 2]> = late.map(|a| a.slot).collect();
        let slowness_weight = self.sample_weight(SLOWNESS_SAMPLE_WEIGHT);
        for slot in slots {
            let s = &mut self.servers[slot];
            s.slowness += slowness_weight * (MAX_SLOWNESS - s.slowness);
            self.observe_latency(
                slot,
                class,
                MISSED_AIM_LATENCY * self.settings.classes[class].aim as f64,
            );
        }
    }
}
