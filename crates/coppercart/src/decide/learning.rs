//! Learns from outcomes about servers: chips, loads, answer times and trials.

use super::timers::MISSED_AIM_LATENCY;
use super::*;

/// Algorithm 1 of the paper compares a queue with this share of the capacity.
const CAPACITY_SHARE: f64 = 0.8;
/// The paper's averaging span for reported queues. Until the first span has passed, the capacity is
/// unknown.
const CAPACITY_SPAN_US: Micros = 30_000_000;
/// The maximum number of chips per server: enough for a burst, and few enough to regain soon after
/// they are cleared.
const MAX_CHIPS: u32 = 16;
/// The load that a refusal as full stands for; higher than the load that answers show.
const FULL_LOAD: f64 = 16.0;
/// Consecutive failures after which the pause between trials no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

impl Balancer {
    /// Updates what is known about the server from the outcome of an attempt.
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
        let open = |a: &&Attempt| a.state == AttemptState::InFlight && a.server == server;
        let Some(a) = request.attempts.get(attempt).filter(open) else { return };
        let (slot, sent, response_started) = (a.slot, a.sent_at, a.response_started);
        let (class, work, attempt_count) =
            (request.class, request.work_ratio, request.attempts.len());
        let now = self.now;
        let pause = self.reset_interval as f64 * (0.75 + 0.5 * self.uniform());
        let aim = self.settings.classes[class].aim as f64;
        let silent = self.is_silent(&self.servers[slot]);
        let unresponsive =
            self.is_silent_since(&self.servers[slot], sent) && now - sent >= aim as Micros;
        let s = &mut self.servers[slot];
        s.in_flight = s.in_flight.saturating_sub(u32::from(!response_started));
        if s.in_flight == 0 {
            // A cancelled attempt gets no answer: a server with nothing in flight is not silent.
            s.unanswered_since = None;
        }
        if s.id != server {
            return;
        }
        match outcome {
            // An attempt that its hedge overtook is cancelled. Without this, nothing would be
            // learned from it.
            Outcome::Cancelled if unresponsive => {}
            Outcome::NeverSent | Outcome::Cancelled => return,
            Outcome::Served | Outcome::Error | Outcome::Full => {
                s.unanswered_since = (s.in_flight > 0).then_some(now);
                s.last_received = Some(now);
                // A full server refuses at once. That says nothing about the attempts that wait
                // there.
                s.latest_answered_send =
                    s.latest_answered_send.max(if outcome == Outcome::Full { 0 } else { sent });
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {}
        }
        if outcome == Outcome::Served || outcome == Outcome::Error {
            self.apply_report(slot, report);
        }
        let s = &mut self.servers[slot];
        match outcome {
            Outcome::Served => {
                s.failures = 0;
                s.ejected_until = 0;
                self.record_latency(slot, class, latency / work);
            }
            Outcome::Full => {
                self.clear_chips(slot);
                // Without this, a full zone looks fast by the requests that it does serve.
                self.adjust_cross_zone_share(slot, FULL_LOAD);
                // Where queues are short, servers refuse long before answers are late. A refusal
                // says something about the fleet only if the request found no server at all.
                if attempt_count >= MAX_ATTEMPTS_WHEN_FULL {
                    self.observe_latency(slot, class, aim);
                }
            }
            // Without this, short client timeouts, long queues and lost answers eject healthy
            // servers, and their load piles up on the others. Only silence for longer than an aim
            // is a failure. An attempt that is unanswered after half of the aim counts as late:
            // where clients wait for less than the aim, nothing else shows an overload.
            Outcome::TimedOut if !silent => {
                let waited = (now - sent) as f64 / aim;
                if s.latest_answered_send <= sent && (0.5..1.0).contains(&waited) {
                    self.observe_latency(slot, class, MISSED_AIM_LATENCY * aim);
                }
            }
            _ => self.record_failure(slot, outcome, sent, pause),
        }
    }

    /// Outlier ejection: each consecutive failure doubles the pause until the next single trial.
    ///
    /// A single reset does not count: where the network resets connections now and then, a pause
    /// after each leaves too few servers. A busy sidecar has many attempts open at one server, and
    /// one fault ends all of them: attempts that were open when the server last failed do not count
    /// as consecutive failures.
    fn record_failure(&mut self, slot: Slot, outcome: Outcome, sent: Micros, pause: f64) {
        let s = &mut self.servers[slot];
        if s.failures > 0 && sent < s.failed_at {
            return;
        }
        s.failed_at = self.now;
        s.failures += 1;
        if s.failures == 1 && outcome == Outcome::Reset {
            return;
        }
        let factor = f64::from(1u32 << (s.failures - 1).min(MAX_DOUBLINGS));
        s.ejected_until = self.now + (pause * 0.25 * factor) as Micros;
        s.chips = 0;
    }

    fn clear_chips(&mut self, slot: Slot) {
        let s = &mut self.servers[slot];
        s.chips = 0;
        s.last_received = Some(self.now);
    }

    fn record_latency(&mut self, slot: Slot, class: usize, latency: f64) {
        let mean_weight = self.sample_weight(MEAN_SAMPLE_WEIGHT);
        let slowness_weight = self.sample_weight(SLOWNESS_SAMPLE_WEIGHT);
        let stats = &mut self.class_stats[class];
        if !stats.has_samples {
            (stats.base_latency, stats.mean_latency, stats.has_samples) = (latency, latency, true);
        }
        // Estimates a low quantile by unequal steps: it falls quickly and rises slowly.
        let step = if latency < stats.base_latency { 0.5 } else { 0.02 };
        stats.base_latency += step * (latency.min(2.0 * stats.base_latency) - stats.base_latency);
        let relative = (latency / stats.mean_latency.max(1.0)).min(MAX_SLOWNESS);
        stats.mean_latency +=
            mean_weight * (latency.min(4.0 * stats.mean_latency) - stats.mean_latency);
        let s = &mut self.servers[slot];
        s.slowness += slowness_weight * (relative - s.slowness);
        let load = relative * (1.0 + s.load / s.power);
        self.adjust_cross_zone_share(slot, load);
        if latency < self.settings.classes[class].aim as f64 {
            // Without this, one heavy request looks like a long queue. The answer time expected
            // from the load report counts as much as the measured one.
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

    /// Algorithm 1 of the paper: mints chips according to the reported queue, or clears them when
    /// the queue exceeds the capacity.
    fn apply_report(&mut self, slot: Slot, report: &LoadReport) {
        let value = |column: Option<usize>| {
            let v = column.and_then(|i| report.0.get(i)).copied()?;
            v.is_finite().then(|| f64::from(v.max(0.0)))
        };
        let (queue, load) = (value(self.queue_column), value(self.load_column));
        let draws = (self.uniform(), self.uniform());
        let (now, mean_weight) = (self.now, self.sample_weight(MEAN_SAMPLE_WEIGHT));
        if let Some(load) = load {
            let s = &mut self.servers[slot];
            (s.load, s.reported_at) = (load, now);
            self.mean_load += mean_weight * (load / s.power - self.mean_load);
        }
        let s = &mut self.servers[slot];
        let Some(queue) = queue else {
            // No queue was reported: an answer by itself shows that the server can take another
            // request.
            s.chips = (s.chips + 2).min(MAX_CHIPS);
            return;
        };
        s.mean_queue.add(now, CAPACITY_SPAN_US, queue);
        let fill_level = match s.mean_queue.last_mean {
            Some(capacity) => {
                let capacity = capacity.max(4.0);
                if queue > capacity {
                    return self.clear_chips(slot);
                }
                queue / (CAPACITY_SHARE * capacity)
            }
            None => 0.0,
        };
        // Minting less than one chip per spent one would starve a lightly loaded server. The second
        // draw lets chips accumulate.
        let minted = u32::from(draws.0 >= fill_level) + u32::from(draws.1 >= 2.0 * fill_level);
        s.chips = (s.chips + minted).min(MAX_CHIPS);
    }

    /// Returns the weight of one more answer: `full_weight` up to [`LOW_RATE_PER_S`], less above.
    pub(super) fn sample_weight(&self, full_weight: f64) -> f64 {
        full_weight * (LOW_RATE_PER_S / self.rate.max(LOW_RATE_PER_S))
    }
}
