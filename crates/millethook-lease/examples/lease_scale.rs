//! Measures the cost of leases and how long a job has no owner, by size: `cargo run --release -p millethook-lease
//! --example lease_scale [SEED]` (default 7). Datagrams take 1 to 4 ms; the budget of one process is the daemon's.

mod common;

use common::{CANDIDATES, LEASE, Run, mean_and_greatest};
use millethook_lease::JobId;
use millethook_machine::sim::SECOND;

/// How long the program waits for jobs to have an owner.
const MAX_UNOWNED: u64 = 60 * SECOND;
/// The seed of the table in `docs/design/lease.md`.
const DEFAULT_SEED: u64 = 7;

/// A fleet whose jobs have been owned for three leases.
fn settled(count: u16, jobs: u64, seed: u64, loss: f64) -> Run {
    let mut run = Run::new(count, jobs, seed, loss, true);
    request_jobs(&mut run);
    run.fleet.run(3 * LEASE);
    run
}

/// For each job, the running members that come first in `Members::rank` request it.
fn request_jobs(run: &mut Run) {
    let present: Vec<u16> = (0..run.members.len() as u16)
        .filter(|n| run.fleet.nodes[usize::from(*n)].machine.is_some())
        .collect();
    for job in run.jobs.clone() {
        for n in present.iter().copied() {
            let rank = run.members.rank(job, n, present.iter().copied());
            if rank < CANDIDATES {
                run.request_job(n, job, rank);
            }
        }
    }
}

/// How long each of these jobs has no owner, in seconds: the mean and the longest.
fn without_owner(run: &mut Run, jobs: &[JobId]) -> String {
    let (mean, longest) = mean_and_greatest(&run.until_owned(jobs, SECOND / 100, MAX_UNOWNED));
    format!("{mean:.1}, {longest:.1}")
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(DEFAULT_SEED);
    println!(
        "| sidecars | jobs | loss | owned | B/s of one, mean | most | rounds failed | a crash: mean s, most | a leave: mean s, most |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (count, jobs) in [(8, 8), (60, 60), (300, 60), (1800, 60), (1800, 360)] {
        for loss in [0.0, 0.2] {
            let mut run = settled(count, jobs, seed, loss);
            let owned = run.owners().len();
            let sent: Vec<u64> = run.fleet.nodes.iter().map(|n| n.sent.0).collect();
            run.fleet.run(60 * SECOND);
            let rates: Vec<f64> = (run.fleet.nodes.iter().zip(&sent))
                .map(|(n, before)| (n.sent.0 - before) as f64 / 60.0)
                .collect();
            let (mean, most) = mean_and_greatest(&rates);
            let failed: u64 = run.fleet.machines().map(|m| m.lease.figures(0).failed).sum();
            let crashed: Vec<(JobId, u16)> =
                run.owners().into_iter().take(jobs as usize / 8).collect();
            let mut lost: Vec<JobId> = crashed.iter().map(|c| c.0).collect();
            let dead: Vec<u16> = crashed.iter().map(|c| c.1).collect();
            lost.extend(
                run.owners()
                    .into_iter()
                    .filter(|(j, n)| dead.contains(n) && !lost.contains(j))
                    .map(|o| o.0)
                    .collect::<Vec<_>>(),
            );
            dead.iter().for_each(|n| run.fleet.kill(*n));
            // The next candidates request the jobs after the view has reported the crash.
            run.fleet.run(SECOND / 100);
            request_jobs(&mut run);
            let crash = without_owner(&mut run, &lost);
            request_jobs(&mut run);
            run.fleet.run(2 * LEASE);
            let leaver = run.owners().into_iter().next();
            let Some((_, leaver)) = leaver else { continue };
            let left: Vec<JobId> =
                run.owners().into_iter().filter(|o| o.1 == leaver).map(|o| o.0).collect();
            let members = run.members.clone();
            let present: Vec<u16> = (0..count)
                .filter(|n| *n != leaver && run.fleet.nodes[usize::from(*n)].machine.is_some())
                .collect();
            run.fleet.with(leaver, |m, now| {
                m.lease.shutdown(now, |job| {
                    let rank = |n: &u16| members.rank(job, *n, present.iter().copied());
                    present.iter().copied().min_by_key(|n| rank(n))
                });
            });
            run.fleet.run(1_000);
            run.fleet.kill(leaver);
            let leave = without_owner(&mut run, &left);
            println!(
                "| {count} | {jobs} | {loss} | {owned} | {mean:.0} | {most:.0} | {failed} | {crash} | {leave} |"
            );
        }
    }
}
