//! What was to be looked at later.

use super::shedding::SHED_FROM;
use super::*;

/// The answer time, in aims, that is taken for granted of what has not come by its aim.
const LATE_AT_AIM: f64 = 1.5;

impl Balancer {
    pub(super) fn set_alarm(&mut self, delay: Micros, alarm: Alarm, out: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.alarms.insert(token, alarm);
        out.push(Action::Timer { delay, token });
    }

    pub(super) fn timer(&mut self, token: u32, out: &mut Vec<Action>) {
        match self.alarms.remove(&token) {
            // Danger: a connection or an answer that falls silent takes its request with it. Where
            // that does no harm a second copy goes out, within the budget for repeats; in an
            // overload, copies would be what makes others late.
            Some(Alarm::Copy(id)) => {
                // One that came long after it: a heavy request is soon overtaken, too.
                let overtaken = |r: &Request| {
                    let usual = self.learned[r.class].usual as Micros;
                    r.attempts.iter().all(|a| self.servers[a.slot].answered > a.sent + usual)
                };
                let waiting = self
                    .requests
                    .get(&id)
                    .is_some_and(|r| !r.ended && !r.streaming && r.out() > 0 && overtaken(r));
                if waiting && self.lateness_now() < SHED_FROM {
                    self.again(id, out);
                }
            }
            Some(Alarm::Late(id)) => self.unanswered(id),
            Some(Alarm::Overdue(id)) if self.requests.get(&id).is_some_and(|r| !r.streaming) => {
                self.end(id, out);
            }
            Some(Alarm::Subscribe) => out.push(Action::Subscribe),
            Some(Alarm::Overdue(_)) | None => {}
        }
    }

    /// Danger: with few requests of its own, a sidecar that waits for late answers to come in
    /// learns of an overload when it is over. Not having come by the aim counts.
    fn unanswered(&mut self, id: RequestId) {
        // Danger: an answer that has begun is in time, however long it takes to come.
        let open = self.requests.get(&id).filter(|r| !r.ended && !r.streaming);
        let Some(r) = open else { return };
        let class = r.class;
        // Danger: a connection may fall silent though its server is well. An attempt that a later
        // one to the same server has overtaken tells of itself alone.
        let overtaken = |a: &Attempt| self.servers[a.slot].answered > a.sent;
        let out = r.attempts.iter().filter(|a| a.fate == Fate::Out && !overtaken(a));
        let slots: SmallVec<[Slot; 2]> = out.map(|a| a.slot).collect();
        let slow_news = self.news(SLOW_NEWS);
        for slot in slots {
            let s = &mut self.servers[slot];
            s.slowness += slow_news * (MOST_SLOW - s.slowness);
            self.feel(slot, class, LATE_AT_AIM * self.settings.classes[class].aim as f64);
        }
    }
}
