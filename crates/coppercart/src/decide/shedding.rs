//! Load shedding: how late answers are, what is turned away then, and until when.

use super::*;

/// The lateness at which the class that earns most for its work begins to be shed, how much sooner
/// one is that earns an e-th of it, the least lateness to shed at, and how much more sheds all.
const SHED_LAST: f64 = 0.3;
const SHED_SPREAD: f64 = 0.15;
pub(super) const SHED_FROM: f64 = 0.06;
const SHED_BAND: f64 = 0.1;
/// The most that is shed where nothing was heard for the longest aim. Without the rest, a sidecar that sheds all hears
/// nothing until its lateness has faded, and goes on shedding for seconds after the fleet is well.
const SHED_MOST: f64 = 0.95;
/// A lateness that no answer renews fades over this many of the longest aims.
const LATENESS_FADES: f64 = 4.0;

impl Balancer {
    /// How much a unit of a class's work is worth.
    fn density(&self, class: usize) -> f64 {
        let c = &self.settings.classes[class];
        match self.settings.worth_by {
            WorthBy::Work => c.credit,
            WorthBy::Request => c.credit / self.learned[class].base.max(1.0),
        }
    }

    /// Load shedding: the share of a class to refuse at once. Without it, in an overload work that
    /// earns little makes late what earns much. The less a class earns for its work beside the
    /// best, the sooner it is shed. Among equals an early refusal frees nothing for a better one.
    pub(super) fn shed_share(&self, class: usize) -> f64 {
        let classes = 0..self.settings.classes.len();
        let best = classes.map(|i| self.density(i)).fold(0.0, f64::max);
        let below = (best / self.density(class).max(1e-9)).ln().max(0.0);
        let start = (SHED_LAST - SHED_SPREAD * below).max(SHED_FROM);
        let recent = self.lateness.is_recent(self.now, self.longest_aim);
        ((self.lateness_now() - start) / SHED_BAND).clamp(0.0, if recent { 1.0 } else { SHED_MOST })
    }

    pub(super) fn lateness_now(&self) -> f64 {
        self.lateness.at(self.now, LATENESS_FADES * self.longest_aim)
    }

    /// Takes one more sight of how late answers are: 0 up to half of the aim, 1 at the aim.
    pub(super) fn observe_latency(&mut self, slot: Slot, class: usize, latency: f64) {
        let aim = self.settings.classes[class].aim as f64;
        let late = (2.0 * latency / aim - 1.0).clamp(0.0, 1.4);
        self.lateness.observe(self.now, (LATENESS_FADES * self.longest_aim) as Micros, slot, late);
    }

    /// When a client that is refused should come back, where clients are told: when what was measured
    /// of the fleet has faded. The random part keeps those refused together from coming back together.
    pub(super) fn retry_after(&mut self) -> Micros {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return 0;
        }
        let longest = (1.5 * LATENESS_FADES * self.longest_aim).min(limits.max_retry_after as f64);
        (longest * (1.0 - 2.0 / 3.0 * self.uniform())) as Micros
    }
}
