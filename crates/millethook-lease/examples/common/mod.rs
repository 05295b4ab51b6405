//! A fleet of leases on the virtual clock, for the examples that measure it.

// Each example uses a part of it.
#![allow(dead_code)]

#[path = "../../tests/it/common/worker.rs"]
mod worker;

use std::collections::BTreeMap;

use millethook_lease::{Config, JobId, Lease, Member, Members, Micros};
use millethook_machine::hash::mix;
use millethook_machine::sim::{Fleet, SECOND};
use worker::Worker;

/// The length of all leases.
pub const LEASE: Micros = 6 * SECOND;
/// The number of acceptors of a job.
pub const ACCEPTORS: usize = 5;
/// Members that request a job; the others wait until one of these is gone.
pub const CANDIDATES: usize = 3;
/// Each further candidate waits this much longer before it claims a job.
const CANDIDATE_WAIT: Micros = SECOND / 4;

/// A fleet and its jobs.
pub struct Run {
    pub fleet: Fleet<Worker>,
    pub members: Members,
    pub jobs: Vec<JobId>,
}

impl Run {
    /// A fleet of `count` members that have run for one lease, without requested jobs. `checked`: the invariants of all
    /// members are checked after each step.
    pub fn new(count: u16, jobs: u64, seed: u64, loss: f64, checked: bool) -> Run {
        let members = Members::new((0..u64::from(count)).map(|n| Member(mix(n + 1))).collect());
        let mut fleet = Fleet::new(count, seed);
        fleet.loss = loss;
        for number in 0..count {
            let config = Config {
                me: number,
                epoch: 1_700_000_000_000 + u64::from(number),
                acceptors: ACCEPTORS,
                max_lease: LEASE,
                change_timeout: 600 * SECOND,
                max_drift: 0.01,
                seed: fleet.below(u64::MAX),
            };
            let members = members.clone();
            fleet.start(number, |now| {
                let lease = Lease::new(config, members, now);
                if checked { Worker::new(lease) } else { Worker::unchecked(lease) }
            });
        }
        fleet.run(LEASE);
        let jobs = (0..jobs).map(|n| JobId(mix(seed ^ (n << 20)))).collect();
        Run { fleet, members, jobs }
    }

    /// The candidate of this rank requests a job.
    pub fn request_job(&mut self, number: u16, job: JobId, rank: usize) {
        let wait = rank as Micros * CANDIDATE_WAIT;
        self.fleet.with(number, |member, now| member.lease.request(now, job, LEASE, wait));
    }

    /// The owner of each job that has one.
    ///
    /// # Panics
    /// A job has two owners.
    pub fn owners(&self) -> BTreeMap<JobId, u16> {
        let mut owners = BTreeMap::new();
        for (number, node) in self.fleet.nodes.iter().enumerate() {
            let Some(member) = &node.machine else { continue };
            for (job, _) in member.lease.owned(node.local(self.fleet.now)) {
                assert!(owners.insert(job, number as u16).is_none(), "two owners of one job");
            }
        }
        owners
    }

    /// Runs until each of these jobs has an owner, checked every `interval`, for `longest` at most. Returns how long it
    /// took for each that has one, in seconds, in the order of job ids.
    pub fn until_owned(&mut self, jobs: &[JobId], interval: Micros, longest: Micros) -> Vec<f64> {
        let begin = self.fleet.now;
        let mut took: BTreeMap<JobId, Micros> = BTreeMap::new();
        while took.len() < jobs.len() && self.fleet.now < begin + longest {
            self.fleet.run(interval);
            let (owners, now) = (self.owners(), self.fleet.now);
            for job in jobs.iter().filter(|job| owners.contains_key(job)) {
                took.entry(*job).or_insert(now - begin);
            }
        }
        took.into_values().map(|took| took as f64 / SECOND as f64).collect()
    }
}

/// The mean and the greatest of some values; 0 if there are none.
pub fn mean_and_greatest(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    (mean, values.iter().copied().fold(0.0, f64::max))
}
