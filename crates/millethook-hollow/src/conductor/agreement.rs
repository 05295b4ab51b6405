//! Determines when all sidecars hold the same, correct state.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::protocol::{RolloutStatus, Sample};

/// When a given share of the sidecars first held the same, correct state, in seconds after the beginning of a step.
/// Taken from samples, so accurate to a quarter of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgreementTimes {
    /// 50% of the sidecars.
    pub half_s: Option<f64>,
    /// 99% of the sidecars.
    pub most_s: Option<f64>,
    /// All sidecars.
    pub all_s: Option<f64>,
    /// The agreeing share at the end of the step.
    pub share: f64,
    /// When the writer knew, for every running sidecar, that its last document is in force or refused there. Only for
    /// documents whose scope is all sidecars.
    pub reported_s: Option<f64>,
    /// What the writer knew at the end of the step.
    pub known: Option<RolloutStatus>,
}

/// The latest sample of each host in a step.
#[derive(Clone, Debug)]
pub(super) struct Agreement {
    samples: Vec<Option<Sample>>,
    agreed: AgreementTimes,
}

impl Agreement {
    pub fn new(hosts: usize) -> Agreement {
        Agreement { samples: vec![None; hosts], agreed: AgreementTimes::default() }
    }

    pub fn record(&mut self, host: usize, sample: Sample, passed_s: f64) {
        if let Some(known) = sample.rollout {
            self.agreed.known = Some(known);
            self.note_rollout(&known, passed_s);
        }
        if let Some(last) = self.samples.get_mut(host) {
            *last = Some(sample);
        }
        let share = self.share();
        self.agreed.share = share;
        let AgreementTimes { half_s, most_s, all_s, .. } = &mut self.agreed;
        for (at, wanted) in [(half_s, 0.5), (most_s, 0.99), (all_s, 1.0)] {
            if at.is_none() && share >= wanted {
                *at = Some(passed_s);
            }
        }
    }

    /// Records when the writer has status from all running sidecars. Before that its totals cover only the sidecars
    /// it has heard from.
    fn note_rollout(&mut self, known: &RolloutStatus, passed_s: f64) {
        if self.samples.iter().any(Option::is_none) {
            return;
        }
        let live: usize = self.samples.iter().flatten().map(|sample| sample.live).sum();
        let all = known.expected as usize >= live && known.control_nodes_missing == 0;
        let decided = known.in_force + known.refused == known.expected;
        if all && decided && self.agreed.reported_s.is_none() {
            self.agreed.reported_s = Some(passed_s);
        }
    }

    /// The sidecars in the largest class of each side, as a share of all running sidecars.
    fn share(&self) -> f64 {
        if self.samples.iter().any(Option::is_none) {
            return 0.0;
        }
        let samples = || self.samples.iter().flatten();
        let live: usize = samples().map(|sample| sample.live).sum();
        let mut classes: HashMap<(u8, u64), usize> = HashMap::new();
        for class in samples().flat_map(|sample| &sample.classes) {
            *classes.entry((class.side, class.hash)).or_default() += class.settled;
        }
        let mut largest: HashMap<u8, usize> = HashMap::new();
        for ((side, _), settled) in classes {
            let most = largest.entry(side).or_default();
            *most = (*most).max(settled);
        }
        match live {
            // With no running sidecar there is no disagreement.
            0 => 1.0,
            _ => largest.values().sum::<usize>() as f64 / live as f64,
        }
    }

    pub fn is_complete(&self) -> bool {
        self.agreed.share >= 1.0
    }

    pub fn agreed(&self) -> AgreementTimes {
        self.agreed
    }
}
