//! The network between a sidecar and a server: the plan's network and the currently active faults.

use crate::Micros;
use crate::plan::{Fault, FaultKind, MS, Network};
use crate::random::Stream;

/// The conditions for one attempt or answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Whether all messages are dropped.
    pub cut: bool,
    /// The share that is lost in addition to the plan's own loss.
    pub loss: f64,
    /// The delay in one direction.
    pub delay: Micros,
}

/// The active network faults, by their number in the plan.
#[derive(Debug, Default)]
pub struct Links {
    active: Vec<usize>,
}

impl Links {
    /// Activates a fault.
    pub fn begin(&mut self, fault: usize) {
        self.active.push(fault);
    }

    /// Deactivates a fault.
    pub fn end(&mut self, fault: usize) {
        self.active.retain(|active| *active != fault);
    }

    /// Returns the current conditions between a sidecar and the server at this position of the plan.
    pub fn between(
        &self,
        (network, faults): (&Network, &[Fault]),
        (sidecar, position): (usize, usize),
        random: &mut Stream,
    ) -> Link {
        let delay = network.delay_us + random.up_to(network.jitter_us);
        let mut link = Link { cut: false, loss: 0.0, delay };
        for fault in self.active.iter().map(|number| &faults[*number]) {
            let of = |list: &[usize], number| list.is_empty() || list.contains(&number);
            if !of(&fault.sidecars, sidecar) || !of(&fault.servers, position) {
                continue;
            }
            match fault.kind {
                FaultKind::Cut => link.cut = true,
                FaultKind::Loss => link.loss = 1.0 - (1.0 - link.loss) * (1.0 - fault.amount),
                FaultKind::Delay => link.delay += (fault.amount * MS as f64) as Micros,
                _ => {}
            }
        }
        link
    }
}
