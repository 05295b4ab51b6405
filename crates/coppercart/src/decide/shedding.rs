//! Load shedding: measures how late answers are and refuses requests while they are.

use super::*;

/// The lateness at which the class with the highest value per work begins to be shed. The three
/// constants below: how much earlier a class is shed for each factor of e that it earns less; the
/// minimum lateness for shedding; and the lateness range from the beginning of shedding to shedding
/// all.
const SHED_START_BEST: f64 = 0.3;
const SHED_START_STEP: f64 = 0.15;
pub(super) const MIN_SHED_LATENESS: f64 = 0.06;
const SHED_RAMP: f64 = 0.1;
/// The maximum share that is shed if nothing was observed within the longest aim. Without the
/// remaining requests, a sidecar that sheds all gets no answers until its lateness has decayed, and
/// goes on shedding for seconds after the fleet has recovered.
const MAX_SHARE_SHED_BLIND: f64 = 0.95;
/// The decay time of the lateness without new answers, in multiples of the longest aim.
const LATENESS_DECAY_AIMS: f64 = 4.0;

impl Balancer {
    /// The value of a class per unit of work.
    fn value_density(&self, class: usize) -> f64 {
        let class_settings = &self.settings.classes[class];
        match self.settings.worth_by {
            WorthUnit::Work => class_settings.credit,
            WorthUnit::Request => {
                class_settings.credit / self.class_stats[class].base_latency.max(1.0)
            }
        }
    }

    /// Load shedding: returns the share of a class to refuse at once.
    ///
    /// Without it, in an overload work of low value delays work of high value. The lower a class's
    /// value per work relative to the best class, the sooner it is shed. Among classes of equal
    /// value an early refusal makes no room for anything better.
    pub(super) fn shed_share(&self, class: usize) -> f64 {
        let classes = 0..self.settings.classes.len();
        let best_density = classes.map(|i| self.value_density(i)).fold(0.0, f64::max);
        let log_deficit = (best_density / self.value_density(class).max(1e-9)).ln().max(0.0);
        let start = (SHED_START_BEST - SHED_START_STEP * log_deficit).max(MIN_SHED_LATENESS);
        let recent = self.lateness.is_recent(self.now, self.longest_aim);
        ((self.current_lateness() - start) / SHED_RAMP)
            .clamp(0.0, if recent { 1.0 } else { MAX_SHARE_SHED_BLIND })
    }

    pub(super) fn current_lateness(&self) -> f64 {
        self.lateness.at(self.now, LATENESS_DECAY_AIMS * self.longest_aim)
    }

    /// Records how late an answer is: 0 up to half of the aim, 1 at the aim.
    pub(super) fn observe_latency(&mut self, slot: Slot, class: usize, latency: f64) {
        let aim = self.settings.classes[class].aim as f64;
        let late = (2.0 * latency / aim - 1.0).clamp(0.0, 1.4);
        self.lateness.observe(
            self.now,
            (LATENESS_DECAY_AIMS * self.longest_aim) as Micros,
            slot,
            late,
        );
    }

    /// Returns when a refused client should retry, where clients are told: when the measured
    /// lateness has decayed. The random part keeps clients that were refused together from retrying
    /// together.
    pub(super) fn retry_after(&mut self) -> Micros {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return 0;
        }
        let max_delay =
            (1.5 * LATENESS_DECAY_AIMS * self.longest_aim).min(limits.max_retry_after as f64);
        (max_delay * (1.0 - 2.0 / 3.0 * self.uniform())) as Micros
    }
}
