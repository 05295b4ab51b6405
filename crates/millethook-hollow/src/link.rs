//! Simulated network links: delay by distance, loss, and partitions between regions. They apply before the sender's
//! socket; the kernel's loopback adds about 10 microseconds.

use millethook_machine::hash::mix;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::topology::Topology;

/// One-way delays and loss rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkConfig {
    /// Within a zone, in milliseconds.
    pub zone_ms: f64,
    /// Between zones of a region, in milliseconds.
    pub region_ms: f64,
    /// Between regions 0 and 1, 0 and 2, 1 and 2 and so on, in milliseconds. If there are more pairs, the list is
    /// repeated.
    pub far_ms: Vec<f64>,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

impl Default for LinkConfig {
    fn default() -> LinkConfig {
        LinkConfig { zone_ms: 0.2, region_ms: 1.0, far_ms: vec![30.0, 80.0, 60.0], loss: 0.0 }
    }
}

/// What happens to a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It arrives after this many microseconds.
    Delayed(Micros),
    /// It is lost at random.
    Lost,
    /// Sender and receiver are partitioned.
    Cut,
}

/// The links between all sidecars, as simulated by one host.
#[derive(Clone, Debug)]
pub struct Links {
    topology: Topology,
    /// Delays by pair of regions, in row-major order.
    between: Vec<Micros>,
    zone: Micros,
    region: Micros,
    /// The side of the partition that each region is on; all 0 without a partition.
    side: Vec<u8>,
    loss: f64,
    random: u64,
}

fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0) as Micros
}

impl Links {
    /// Creates links without a partition.
    pub fn new(topology: Topology, config: &LinkConfig, seed: u64) -> Links {
        let regions = usize::from(topology.regions.max(1));
        let mut between = vec![micros(config.region_ms); regions * regions];
        let mut far = config.far_ms.iter().copied().cycle();
        for first in 0..regions {
            for second in first + 1..regions {
                let delay = micros(far.next().unwrap_or(config.region_ms));
                between[first * regions + second] = delay;
                between[second * regions + first] = delay;
            }
        }
        Links {
            topology,
            between,
            zone: micros(config.zone_ms),
            region: micros(config.region_ms),
            side: vec![0; regions],
            loss: config.loss,
            random: seed,
        }
    }

    /// Partitions regions of different groups from each other. A region that is in no group is partitioned from all
    /// others.
    pub fn cut(&mut self, groups: &[Vec<u8>]) {
        for (region, side) in self.side.iter_mut().enumerate() {
            let group = groups.iter().position(|group| group.contains(&(region as u8)));
            *side = group.unwrap_or(groups.len() + region) as u8;
        }
    }

    /// Ends the partition.
    pub fn heal(&mut self) {
        self.side.fill(0);
    }

    /// Sets the share of datagrams that are lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Returns whether two sidecars can reach each other.
    pub fn connected(&self, from: u16, to: u16) -> bool {
        self.side(from) == self.side(to)
    }

    /// Returns the side of the partition that a sidecar is on.
    pub fn side(&self, number: u16) -> u8 {
        self.side[usize::from(self.topology.region(number))]
    }

    /// Decides what happens to the next datagram.
    pub fn next_delivery(&mut self, from: u16, to: u16) -> Delivery {
        if !self.connected(from, to) {
            return Delivery::Cut;
        }
        if self.loss > 0.0 && self.uniform() < self.loss {
            return Delivery::Lost;
        }
        let (a, b) = (self.topology.zone(from), self.topology.zone(to));
        if a == b {
            return Delivery::Delayed(self.zone);
        }
        let (a, b) = (self.topology.region(from), self.topology.region(to));
        if a == b {
            return Delivery::Delayed(self.region);
        }
        let regions = self.side.len();
        Delivery::Delayed(self.between[usize::from(a) * regions + usize::from(b)])
    }

    fn uniform(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }
}
