//! Measures the cost of leases by number of jobs and members, as rows of `docs/capacity/lease.csv`: `cargo run
//! --release -p millethook-lease --example capacity > docs/capacity/lease.csv`.
//!
//! Virtual clock, leases of 6 s, five acceptors, the daemon's budget for each member, datagrams of 1 to 4 ms, no loss.
//! Each job is wanted by three members. All rows grow with one size, the number of jobs for each member.

mod common;

use common::{CANDIDATES, LEASE, Run, mean_and_greatest};
use millethook_lease::JobId;
use millethook_machine::hash::mix;
use millethook_machine::sim::SECOND;

/// Hash input that makes a job's candidates differ from its acceptors, as in `Members::rank`.
const CANDIDATE: u64 = 0x0b;
/// Bytes per second that one member may send, as in the virtual fleet.
const BUDGET: f64 = 1_500.0;
/// A crash is simulated only where members send no more than this per second: the virtual fleet does not delay messages
/// beyond the budget, so its times mean nothing above it.
const MAX_RATE_FOR_CRASH: f64 = 2.0 * BUDGET;
/// How long messages are counted, in seconds.
const COUNTED_SECONDS: u64 = 20;
const MEMBERS: [u16; 4] = [60, 300, 600, 1800];
const JOBS: [u64; 3] = [60, 600, 6000];
const SEEDS: [u64; 3] = [1, 2, 3];

/// One fleet, and the seed that it was created with.
struct Measurement {
    seed: u64,
    run: Run,
}

impl Measurement {
    /// A fleet of `count` members whose jobs have been owned for three leases.
    fn settled(count: u16, jobs: u64, seed: u64) -> Measurement {
        // Random load checks the rules elsewhere; here checks would take most of the time.
        let run = Run::new(count, jobs, seed, 0.0, false);
        let mut measurement = Measurement { seed, run };
        measurement.request_jobs();
        measurement.run.fleet.run(3 * LEASE);
        measurement
    }

    /// The members that come first for a job in `Members::rank` request it.
    fn request_jobs(&mut self) {
        for job in self.run.jobs.clone() {
            let candidates = self.run.members.acceptors(JobId(mix(job.0 ^ CANDIDATE)), CANDIDATES);
            for (rank, number) in candidates.into_iter().enumerate() {
                self.run.request_job(number, job, rank);
            }
        }
    }

    /// Bytes and datagrams that each member sends per second.
    fn sent_in_a_second(&mut self) -> Vec<(f64, f64)> {
        let fleet = &mut self.run.fleet;
        let before: Vec<(u64, u64)> = fleet.nodes.iter().map(|node| node.sent).collect();
        fleet.run(COUNTED_SECONDS * SECOND);
        let rate = |now: u64, then: u64| (now - then) as f64 / COUNTED_SECONDS as f64;
        let nodes = fleet.nodes.iter().zip(&before);
        nodes.map(|(node, b)| (rate(node.sent.0, b.0), rate(node.sent.1, b.1))).collect()
    }

    /// Kills one owner. Returns how long each of its jobs has no owner, in seconds.
    fn crash(&mut self) -> Vec<f64> {
        let owners = self.run.owners();
        let Some(dead) = owners.values().next().copied() else { return Vec::new() };
        let lost: Vec<JobId> = owners.iter().filter(|o| *o.1 == dead).map(|o| *o.0).collect();
        self.run.fleet.kill(dead);
        self.run.until_owned(&lost, SECOND / 10, 5 * LEASE)
    }

    fn row(&self, measurement: &str, unit: &str, size_of: &str, size: f64, value: f64) {
        let (seed, members, jobs) = (self.seed, self.run.members.len(), self.run.jobs.len());
        println!(
            "{measurement},{unit},{size_of},{size:.4},{seed},{value:.4},virtual,8 cores,{members} members and {jobs} jobs"
        );
    }
}

fn measure(count: u16, jobs: u64, seed: u64) {
    let mut measurement = Measurement::settled(count, jobs, seed);
    let owned = measurement.run.owners().len() as f64 / jobs as f64;
    let rates = measurement.sent_in_a_second();
    let members = f64::from(count);
    let share = jobs as f64 / members;
    let bytes: f64 = rates.iter().map(|rate| rate.0).sum();
    let datagrams: f64 = rates.iter().map(|rate| rate.1).sum();
    let most = rates.iter().map(|rate| rate.0).fold(0.0, f64::max);
    let fleet = &measurement.run.fleet;
    let granting: Vec<f64> = (fleet.nodes.iter())
        .filter_map(|node| Some((node, node.machine.as_ref()?)))
        .map(|(node, member)| member.lease.figures(node.local(fleet.now)).granting as f64)
        .collect();
    let (mean, highest) = mean_and_greatest(&granting);
    let each = "jobs for each member";
    measurement.row("lease jobs with an owner", "share", each, share, owned);
    measurement.row("lease bytes sent by a member", "B/s", each, share, bytes / members);
    measurement.row("lease bytes sent by the busiest member", "B/s", each, share, most);
    measurement.row("lease grants held by a seat", "grants", each, share, mean);
    measurement.row("lease grants held by the fullest seat", "grants", each, share, highest);
    // Where members exceed the budget, the bytes that they send say nothing about the cost of a job.
    if bytes / members <= BUDGET {
        let of_one_job = |value: f64| value / jobs as f64;
        let (bytes, datagrams) = (of_one_job(bytes), of_one_job(datagrams));
        measurement.row("lease bytes sent for one job", "B/s", "members", members, bytes);
        let name = "lease datagrams sent for one job";
        measurement.row(name, "datagrams/s", "members", members, datagrams);
    }
    if bytes / members > MAX_RATE_FOR_CRASH {
        return;
    }
    let took = measurement.crash();
    if took.is_empty() {
        return;
    }
    let (mean, longest) = mean_and_greatest(&took);
    measurement.row("lease time without an owner after a crash", "s", "members", members, mean);
    let name = "lease longest time without an owner after a crash";
    measurement.row(name, "s", "members", members, longest);
}

/// The members of the fleet whose memory is measured: all of a job's five acceptors and three candidates.
const MEMORY_FLEET_MEMBERS: u16 = 8;
/// Numbers of jobs whose memory is measured; a member requests 1,024 at most.
const JOBS_IN_MEMORY: [u64; 4] = [250, 500, 1000, 2000];

/// Resident memory of this process, in bytes. 0: the system does not report it.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Memory that all members together use for each number of jobs: requests, leases, grants, and the virtual fleet's own
/// queue.
fn measure_memory() {
    // Kept until the end: freed memory would be reused and not counted.
    let mut kept = Vec::new();
    for jobs in JOBS_IN_MEMORY {
        for seed in SEEDS {
            let before = resident();
            let fleet = Measurement::settled(MEMORY_FLEET_MEMBERS, jobs, seed);
            let held = resident() - before;
            fleet.row("lease memory of all members", "bytes", "jobs", jobs as f64, held);
            kept.push(fleet);
        }
    }
}

/// The single size to measure, if given as arguments: members and jobs.
fn size_from_args() -> Option<(u16, u64)> {
    let mut arguments = std::env::args().skip(1);
    Some((arguments.next()?.parse().ok()?, arguments.next()?.parse().ok()?))
}

fn main() {
    println!("measurement,unit,size_of,size,seed,value,kind,machine,load");
    if let Some((count, jobs)) = size_from_args() {
        SEEDS.into_iter().for_each(|seed| measure(count, jobs, seed));
        return;
    }
    // First, while no memory has been freed that could be reused.
    measure_memory();
    for count in MEMBERS {
        for jobs in JOBS {
            for seed in SEEDS {
                measure(count, jobs, seed);
            }
        }
    }
}
