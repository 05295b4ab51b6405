//! Reduces a plan that violates a rule to few faults, sidecars and servers that still violate it.

use crate::fleet::play;
use crate::injected_fault::InjectedFault;
use crate::judge::Rule;
use crate::plan::{Fault, Network, Plan};

/// Upper bound on the runs of one reduction.
const MAX_RUNS: usize = 400;

/// Reduces a plan that violates `rule`. The result violates the same rule.
pub fn shrink(plan: &Plan, rule: Rule, injected: Option<InjectedFault>) -> Plan {
    let mut shrinker = Shrinker { best: plan.clone(), rule, injected, runs: 0 };
    loop {
        let before = shrinker.best.clone();
        shrinker.remove_faults();
        shrinker.reduce_sidecars();
        shrinker.reduce_servers();
        shrinker.reduce_targets();
        shrinker.remove_permanent_effects();
        if shrinker.best == before || shrinker.runs >= MAX_RUNS {
            return shrinker.best;
        }
    }
}

struct Shrinker {
    best: Plan,
    rule: Rule,
    injected: Option<InjectedFault>,
    runs: usize,
}

impl Shrinker {
    /// Adopts a candidate plan if it violates the rule too. Returns whether it does.
    fn try_candidate(&mut self, smaller: Plan) -> bool {
        if smaller == self.best || self.runs >= MAX_RUNS || !smaller.problems().is_empty() {
            return false;
        }
        self.runs += 1;
        let broken = play(&smaller, self.injected).is_ok_and(|report| report.breaks(self.rule));
        if broken {
            self.best = smaller;
        }
        broken
    }

    /// Removes faults: half of them, then a quarter, and finally one at a time.
    fn remove_faults(&mut self) {
        let mut length = self.best.faults.len();
        while length > 0 {
            let mut from = 0;
            while from < self.best.faults.len() {
                let mut smaller = self.best.clone();
                let upto = (from + length).min(smaller.faults.len());
                smaller.faults.drain(from..upto);
                if !self.try_candidate(smaller) {
                    from += length;
                }
            }
            length /= 2;
        }
    }

    fn reduce_sidecars(&mut self) {
        while self.reduce_count(self.best.sidecars.count, with_sidecars) {}
    }

    fn reduce_servers(&mut self) {
        while self.reduce_count(self.best.servers.count, with_servers) {}
    }

    /// Tries half the count, then one less. Returns false if neither violates the rule.
    fn reduce_count(&mut self, count: usize, with: fn(&Plan, usize) -> Plan) -> bool {
        let counts = [count.div_ceil(2), count - 1];
        counts.into_iter().filter(|smaller| (1..count).contains(smaller)).any(|smaller_count| {
            let smaller = with(&self.best, smaller_count);
            self.try_candidate(smaller)
        })
    }

    /// Limits each fault to the first or the second half of its targets.
    fn reduce_targets(&mut self) {
        for fault in 0..self.best.faults.len() {
            for targets_of in [Fault::sidecars_mut, Fault::servers_mut] {
                while self.halve_targets(fault, targets_of) {}
            }
        }
    }

    fn halve_targets(
        &mut self,
        fault: usize,
        targets_of: fn(&mut Fault) -> &mut Vec<usize>,
    ) -> bool {
        let count = targets_of(&mut self.best.faults[fault]).len();
        let half = count.div_ceil(2);
        if count < 2 {
            return false;
        }
        [0..half, half..count].into_iter().any(|part| {
            let mut smaller = self.best.clone();
            let list = targets_of(&mut smaller.faults[fault]);
            *list = list[part].to_vec();
            self.try_candidate(smaller)
        })
    }

    /// Removes permanent effects: jitter, loss, early leavers, discovery delay, lists on request and zones.
    fn remove_permanent_effects(&mut self) {
        let mut smaller = self.best.clone();
        let Network { delay_us, .. } = smaller.network;
        smaller.network = Network { delay_us, jitter_us: 0, ..Network::default() };
        self.try_candidate(smaller);
        let mut smaller = self.best.clone();
        smaller.load.leave_early = 0.0;
        self.try_candidate(smaller);
        let mut smaller = self.best.clone();
        smaller.discovery.late_ms = 0;
        self.try_candidate(smaller);
        let mut smaller = self.best.clone();
        smaller.discovery.on_request = false;
        self.try_candidate(smaller);
        let mut smaller = self.best.clone();
        smaller.sidecars.zones = 1;
        self.try_candidate(smaller);
    }
}

impl Fault {
    fn sidecars_mut(&mut self) -> &mut Vec<usize> {
        &mut self.sidecars
    }

    fn servers_mut(&mut self) -> &mut Vec<usize> {
        &mut self.servers
    }
}

/// Changes sizes and scales the load of each sidecar so that the servers' utilization stays the same. Otherwise a
/// smaller plan could become one of an overload.
fn with_same_utilization(plan: &Plan, change: impl FnOnce(&mut Plan)) -> Plan {
    let mut smaller = plan.clone();
    change(&mut smaller);
    smaller.load.per_sidecar *= plan.utilization() / smaller.utilization();
    smaller
}

/// Returns the plan with the first `count` sidecars, without the faults that affect only removed ones.
fn with_sidecars(plan: &Plan, count: usize) -> Plan {
    with_same_utilization(plan, |plan| {
        plan.sidecars.count = count;
        retain_targets(&mut plan.faults, count, Fault::sidecars_mut);
    })
}

/// Returns the plan with the first `count` servers, without the faults that affect only removed ones.
fn with_servers(plan: &Plan, count: usize) -> Plan {
    with_same_utilization(plan, |plan| {
        plan.servers.count = count;
        retain_targets(&mut plan.faults, count, Fault::servers_mut);
    })
}

fn retain_targets(
    faults: &mut Vec<Fault>,
    count: usize,
    targets_of: fn(&mut Fault) -> &mut Vec<usize>,
) {
    faults.retain_mut(|fault| {
        let list = targets_of(fault);
        let hit = !list.is_empty();
        list.retain(|number| *number < count);
        !hit || !list.is_empty()
    });
}
