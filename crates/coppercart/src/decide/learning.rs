//! What answers and failures say of a server: chips, loads, answer times, trials.

use super::timers::MISSED_AIM;
use super::*;

/// Algorithm 1 of the paper measures a queue against this share of the capacity.
const CAPACITY_SHARE: f64 = 0.8;
/// The paper's span for the average of reported queues, and how long no capacity is known.
const CAPACITY_SPAN: Micros = 30_000_000;
/// Chips a server can hold here: enough for a burst, few enough that a wipe costs little to regain.
const MAX_CHIPS: u32 = 16;
/// How loaded a refusal as full shows a server to be: more than answers do.
const FULL_LOAD: f64 = 16.0;
/// Failures in a row after which trials are no rarer still (each one doubles the pause).
const MAX_DOUBLINGS: u32 = 5;

impl Balancer {
    /// What an outcome tells of the server.
    pub(super) fn on_outcome(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: f64,
        report: &LoadReport,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let open = |a: &&Attempt| a.fate == Fate::Out && a.server == server;
        let Some(a) = request.attempts.get(attempt).filter(open) else { return };
        let (slot, sent, begun) = (a.slot, a.sent, a.begun);
        let (class, work, refusals) = (request.class, request.work_ratio, request.attempts.len());
        let now = self.now;
        let pause = self.reset_interval as f64 * (0.75 + 0.5 * self.uniform());
        let aim = self.settings.classes[class].aim as f64;
        let silent = self.silent(&self.servers[slot]);
        let lost = self.lost(&self.servers[slot], sent) && now - sent >= aim as Micros;
        let s = &mut self.servers[slot];
        s.in_flight = s.in_flight.saturating_sub(u32::from(!begun));
        if s.in_flight == 0 {
            // A cancelled attempt brings no answer: a server with nothing in flight is not silent.
            s.silent_since = None;
        }
        if s.id != server {
            return;
        }
        match outcome {
            // An attempt that its copy has overtaken is cancelled; without this it would tell nothing.
            Outcome::Cancelled if lost => {}
            Outcome::NeverSent | Outcome::Cancelled => return,
            Outcome::Served | Outcome::Error | Outcome::Full => {
                s.silent_since = (s.in_flight > 0).then_some(now);
                s.received = Some(now);
                // A full server refuses at once, and what waits there is none the sooner for it.
                s.answered = s.answered.max(if outcome == Outcome::Full { 0 } else { sent });
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {}
        }
        if outcome == Outcome::Served || outcome == Outcome::Error {
            self.report(slot, report);
        }
        let s = &mut self.servers[slot];
        match outcome {
            Outcome::Served => {
                s.failures = 0;
                s.ejected_until = 0;
                self.answer_time(slot, class, latency / work);
            }
            Outcome::Full => {
                self.clear_chips(slot);
                // Without this, a full zone looks quick by what it does serve.
                self.adjust_cross_zone_share(slot, FULL_LOAD);
                // Where queues are short, servers refuse long before answers are late.
                // A refusal is news of the fleet only when the request found no place at all.
                if refusals >= FULL_TRIES {
                    self.observe_latency(slot, class, aim);
                }
            }
            // Without this, hurried clients, long queues and lost answers leave out well servers, and their load piles
            // up on the others. Only silence for longer than an aim is a failure. What is unanswered after half of the
            // aim is late: where clients wait for less than the aim, nothing else tells of an overload.
            Outcome::TimedOut if !silent => {
                let waited = (now - sent) as f64 / aim;
                if s.answered <= sent && (0.5..1.0).contains(&waited) {
                    self.observe_latency(slot, class, MISSED_AIM * aim);
                }
            }
            _ => self.failed(slot, outcome, sent, pause),
        }
    }

    /// Outlier ejection: each failure in a row doubles the pause until the next single trial.
    /// A lone reset tells nothing: where networks reset connections now and then, a pause for each leaves too few.
    /// A busy sidecar has many attempts out at one server, and what ends one ends them all.
    /// Those that were out when it last failed are not a row of failures.
    fn failed(&mut self, slot: Slot, outcome: Outcome, sent: Micros, pause: f64) {
        let s = &mut self.servers[slot];
        if s.failures > 0 && sent < s.failed_at {
            return;
        }
        s.failed_at = self.now;
        s.failures += 1;
        if s.failures == 1 && outcome == Outcome::Reset {
            return;
        }
        let doubled = f64::from(1u32 << (s.failures - 1).min(MAX_DOUBLINGS));
        s.ejected_until = self.now + (pause * 0.25 * doubled) as Micros;
        s.chips = 0;
    }

    fn clear_chips(&mut self, slot: Slot) {
        let s = &mut self.servers[slot];
        s.chips = 0;
        s.received = Some(self.now);
    }

    fn answer_time(&mut self, slot: Slot, class: usize, latency: f64) {
        let mean_weight = self.sample_weight(MEAN_WEIGHT);
        let slowness_weight = self.sample_weight(SLOWNESS_WEIGHT);
        let l = &mut self.learned[class];
        if !l.seen {
            (l.base, l.usual, l.seen) = (latency, latency, true);
        }
        // A low quantile by unequal steps: quick to fall, slow to rise.
        let step = if latency < l.base { 0.5 } else { 0.02 };
        l.base += step * (latency.min(2.0 * l.base) - l.base);
        let relative = (latency / l.usual.max(1.0)).min(MOST_SLOW);
        l.usual += mean_weight * (latency.min(4.0 * l.usual) - l.usual);
        let s = &mut self.servers[slot];
        s.slowness += slowness_weight * (relative - s.slowness);
        let loaded = relative * (1.0 + s.load / s.power);
        self.adjust_cross_zone_share(slot, loaded);
        if latency < self.settings.classes[class].aim as f64 {
            // Without this, one heavy request looks like a long queue. What the report says of the
            // answer time to be expected counts as much as the answer time itself.
            let expected = match self.held_column {
                Some(_) => {
                    let held = 1.0 + self.servers[slot].load;
                    self.answer_mean.0 += mean_weight * (latency - self.answer_mean.0);
                    self.answer_mean.1 += mean_weight * (held - self.answer_mean.1);
                    held * self.answer_mean.0 / self.answer_mean.1
                }
                None => latency,
            };
            self.observe_latency(slot, class, 0.5 * (latency + expected));
        }
    }

    /// Algorithm 1 here: mint from the reported queue, or wipe when it is past capacity.
    fn report(&mut self, slot: Slot, report: &LoadReport) {
        let value = |column: Option<usize>| {
            let v = column.and_then(|i| report.0.get(i)).copied()?;
            v.is_finite().then(|| f64::from(v.max(0.0)))
        };
        let (queue, load) = (value(self.queue_column), value(self.load_column));
        let draws = (self.uniform(), self.uniform());
        let (now, mean_weight) = (self.now, self.sample_weight(MEAN_WEIGHT));
        if let Some(load) = load {
            let s = &mut self.servers[slot];
            (s.load, s.reported) = (load, now);
            self.usual_load += mean_weight * (load / s.power - self.usual_load);
        }
        let s = &mut self.servers[slot];
        let Some(queue) = queue else {
            // No queue reported: an answer in itself is the sign that another may follow.
            s.chips = (s.chips + 2).min(MAX_CHIPS);
            return;
        };
        s.average.add(now, CAPACITY_SPAN, queue);
        let share = match s.average.last {
            Some(capacity) => {
                let capacity = capacity.max(4.0);
                if queue > capacity {
                    return self.clear_chips(slot);
                }
                queue / (CAPACITY_SHARE * capacity)
            }
            None => 0.0,
        };
        // Less than one chip minted for one spent would starve a hardly loaded server: a second draw lets them grow.
        let minted = u32::from(draws.0 >= share) + u32::from(draws.1 >= 2.0 * share);
        s.chips = (s.chips + minted).min(MAX_CHIPS);
    }

    /// The weight of one more answer where a quiet sidecar gives it `quiet`.
    pub(super) fn sample_weight(&self, quiet: f64) -> f64 {
        quiet * (QUIET_RATE / self.rate.max(QUIET_RATE))
    }
}
