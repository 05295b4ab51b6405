//! The true state of all members. Every host computes it independently from the same steps.

use millethook_machine::hash::mix;

use crate::Micros;
use crate::distribution::{Publication, covers, scope_of};
use crate::link::Links;
use crate::plan::{Publish, Target};
use crate::topology::Topology;

/// The true state of all members.
#[derive(Clone, Debug)]
pub(crate) struct GroundTruth {
    topology: Topology,
    seed: u64,
    /// Whether each member runs or is about to start.
    runs: Vec<bool>,
    /// Number of sidecars that run on each side of a partition.
    present: Vec<u32>,
    /// Documents published so far. The first one has serial number 1.
    publications: Vec<Publication>,
    /// The last serial number that each sidecar should have in force.
    serials: Vec<u32>,
    /// The control node that publishes.
    pub writer: u16,
}

impl GroundTruth {
    pub fn new(topology: Topology, seed: u64) -> GroundTruth {
        GroundTruth {
            topology,
            seed,
            runs: vec![true; usize::from(topology.members())],
            present: Vec::new(),
            publications: Vec::new(),
            serials: vec![0; usize::from(topology.size)],
            writer: topology.size,
        }
    }

    pub fn runs(&self, number: u16) -> bool {
        self.runs.get(usize::from(number)).copied().unwrap_or(false)
    }

    /// Returns the numbers of the running members that a target selects.
    pub fn targets(&self, target: &Target, step: usize) -> Vec<u16> {
        let all = (0..self.topology.members()).filter(|n| self.runs(*n));
        let mut all: Vec<u16> = all.filter(|n| target.covers(&self.topology, *n)).collect();
        if let Some(share) = target.share {
            let salt = mix(self.seed ^ mix(step as u64));
            all.sort_by_key(|n| mix(salt ^ u64::from(*n)));
            all.truncate((all.len() as f64 * share).round() as usize);
        }
        all
    }

    pub fn set(&mut self, numbers: &[u16], runs: bool) {
        for number in numbers {
            if let Some(one) = self.runs.get_mut(usize::from(*number)) {
                *one = runs;
            }
        }
    }

    /// Returns the members that do not run.
    pub fn absent(&self) -> Vec<u16> {
        (0..self.topology.members()).filter(|n| !self.runs(*n)).collect()
    }

    /// Registers documents that are published from `now` on, and returns their serial numbers, scopes and times.
    pub fn publish(&mut self, publish: &Publish, now: Micros) -> Vec<Publication> {
        let first = self.publications.len() as u32 + 1;
        let span = (publish.over_s.max(0.0) * 1e6) as u64;
        let each = span / u64::from(publish.count.max(1));
        let new = (0..publish.count).map(|nth| Publication {
            at: now + u64::from(nth) * each,
            serial: first + nth,
            scope: scope_of(publish.scope, first + nth, &self.topology),
            bytes: publish.bytes,
        });
        let new: Vec<Publication> = new.collect();
        self.publications.extend(&new);
        new
    }

    /// Returns the publications whose scope covers a sidecar, with serial numbers above `after` and up to `last`.
    pub fn between(
        &self,
        number: u16,
        after: u32,
        last: u32,
    ) -> impl Iterator<Item = &Publication> {
        let all = self.publications.iter().take(last as usize).skip(after as usize);
        all.filter(move |p| covers(p.scope, &self.topology, number))
    }

    /// Recomputes the sidecars that run on each side, and the last serial number that each sidecar should have.
    pub fn count(&mut self, links: &Links) {
        let mut present = vec![0; usize::from(u8::MAX) + 1];
        for number in (0..self.topology.size).filter(|n| self.runs(*n)) {
            present[usize::from(links.side(number))] += 1;
        }
        self.present = present;
        if self.publications.is_empty() {
            return;
        }
        for number in 0..self.topology.size {
            if links.connected(self.writer, number) {
                let mut mine = self.publications.iter().rev();
                let last = mine.find(|p| covers(p.scope, &self.topology, number));
                self.serials[usize::from(number)] = last.map_or(0, |p| p.serial);
            }
        }
    }

    /// Returns how many sidecars run on a side.
    pub fn present(&self, side: u8) -> u32 {
        self.present.get(usize::from(side)).copied().unwrap_or(0)
    }

    /// Returns the last serial number that a sidecar should have in force.
    pub fn serial(&self, number: u16) -> u32 {
        self.serials.get(usize::from(number)).copied().unwrap_or(0)
    }
}
