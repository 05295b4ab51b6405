//! What was to be looked at later.

use super::requests::RETRY_SHARE;
use super::shedding::SHED_FROM;
use super::*;

/// The answer time, in aims, that is taken for granted of what has not come by its aim.
pub(super) const MISSED_AIM: f64 = 1.5;

impl Balancer {
    pub(super) fn set_alarm(&mut self, delay: Micros, alarm: Alarm, out: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.alarms.insert(token, alarm);
        out.push(Action::Timer { delay, token });
    }

    /// Looks at a request after `delay`, and at its end in time at the latest (rule 1). Otherwise three
    /// timers for each at once would be kept for as long as clients say that they wait.
    pub(super) fn look_again(&mut self, delay: Micros, alarm: Alarm, out: &mut Vec<Action>) {
        let (Alarm::Copy(id) | Alarm::Late(id) | Alarm::Overdue(id)) = alarm else { return };
        let Some(r) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        let left = r.deadline.saturating_sub(self.now);
        let alarm = if left <= delay { Alarm::Overdue(id) } else { alarm };
        self.set_alarm(left.min(delay), alarm, out);
    }

    pub(super) fn timer(&mut self, token: u32, out: &mut Vec<Action>) {
        match self.alarms.remove(&token) {
            // A connection or an answer that falls silent takes its request with it. Where that does no harm a second
            // copy goes out, within the budget for repeats; in an overload, copies would be what makes others late.
            Some(Alarm::Copy(id)) => {
                let Some(r) = self.requests.get(&id) else { return };
                // Timers run late, and the next one is not to run later for that.
                let aim = self.settings.classes[r.class].aim;
                let due = r.attempts.first().map_or(self.now, |a| a.sent) + aim;
                // One that came long after it: a heavy request is soon overtaken, too.
                let usual = self.learned[r.class].usual as Micros;
                let calm = self.lateness_now() < SHED_FROM;
                self.copy(id, calm, |_, s, a| s.answered > a.sent + usual, out);
                self.look_again(due.saturating_sub(self.now), Alarm::Late(id), out);
            }
            Some(Alarm::Late(id)) => {
                // Nothing overtakes a request at a server that accepts and never answers, so this copy is by time.
                let calm = self.lateness_now() < SHED_FROM;
                self.unanswered(id);
                self.copy(id, calm, |b, s, a| b.lost(s, a.sent), out);
                // Without another look, and budget earned by waiting, a lone caller would wait out its whole time.
                let more = self.settings.failover.copy_at_aim;
                let again = if more { self.longest_aim as Micros } else { Micros::MAX };
                self.retry_budget += if more { RETRY_SHARE } else { 0.0 };
                self.look_again(again, Alarm::Late(id), out);
            }
            Some(Alarm::Overdue(id)) if self.requests.get(&id).is_some_and(|r| !r.streams()) => {
                self.end(id, out);
            }
            Some(Alarm::Subscribe) => out.push(Action::Subscribe),
            Some(Alarm::Overdue(_)) | None => {}
        }
    }

    /// Sends one more copy where `lost` is true of every attempt so far.
    fn copy(
        &mut self,
        id: RequestId,
        calm: bool,
        lost: impl Fn(&Self, &Server, &Attempt) -> bool,
        out: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get(&id) else { return };
        let repeat = self.settings.classes[r.class].repeat;
        let harmless = repeat != RetrySafety::Unsafe && self.settings.limits.may_duplicate;
        let waiting = harmless && !r.ended && !r.streaming && r.out() > 0;
        let all = r.attempts.iter().all(|a| lost(self, &self.servers[a.slot], a));
        if waiting && all && calm {
            self.retry(id, out);
        }
    }

    /// Whether nothing has come from a server since then, where that means another attempt.
    pub(super) fn lost(&self, s: &Server, sent: Micros) -> bool {
        self.settings.failover.copy_at_aim && s.silent_since.is_some_and(|t| t <= sent)
    }

    /// With few requests of its own, a sidecar that waits for late answers to come in
    /// learns of an overload when it is over. Not having come by the aim counts.
    fn unanswered(&mut self, id: RequestId) {
        // An answer that has begun is in time, however long it takes to come.
        let open = self.requests.get(&id).filter(|r| !r.ended && !r.streaming);
        let Some(r) = open else { return };
        let class = r.class;
        // A connection may fall silent though its server is well: what a later attempt there has overtaken tells of
        // itself alone. Each attempt counts at one look.
        let overtaken = |a: &Attempt| self.servers[a.slot].answered > a.sent;
        let until = self.settings.classes[class].aim + self.longest_aim as Micros;
        let counts = |a: &&Attempt| a.fate == Fate::Out && self.now - a.sent < until;
        let out = r.attempts.iter().filter(counts).filter(|a| !overtaken(a));
        let slots: SmallVec<[Slot; 2]> = out.map(|a| a.slot).collect();
        let slowness_weight = self.sample_weight(SLOWNESS_WEIGHT);
        for slot in slots {
            let s = &mut self.servers[slot];
            s.slowness += slowness_weight * (MOST_SLOW - s.slowness);
            self.observe_latency(slot, class, MISSED_AIM * self.settings.classes[class].aim as f64);
        }
    }
}
