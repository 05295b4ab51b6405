//! Starts hosts, sends them the steps of a plan, and waits for the end of each step.

mod agreement;
mod hosts;

use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::address::Addresses;
use crate::error::HollowError;
use crate::plan::{Plan, Step};
use crate::protocol::{Command, Phase, Report, Setup};
use crate::usage;
use agreement::Agreement;
pub use agreement::AgreementTimes;
use hosts::Hosts;

/// Hosts exit on their own this long after the plan's maximum duration.
const HOST_EXIT_MARGIN_S: f64 = 60.0;
/// Number of address ranges that are tried before a run fails.
const MAX_START_ATTEMPTS: usize = 3;
/// Maximum time for a host to bind its sockets or to report the end of a step.
const HOST_REPLY_TIMEOUT: Duration = Duration::from_secs(60);

/// The result of a completed step.
#[derive(Clone, Debug, Serialize)]
pub struct StepResult {
    /// The step.
    pub step: Step,
    /// Duration in seconds.
    pub length_s: f64,
    /// When the sidecars reached agreement.
    pub agreed: AgreementTimes,
    /// Totals over all hosts of sidecars.
    pub phase: Phase,
    /// Totals over all hosts of control nodes.
    pub control: Phase,
    /// Datagrams that the kernel dropped because a socket's receive buffer was full: at sidecars, and at control
    /// nodes.
    pub dropped: (u64, u64),
    /// Load average of the machine at the end of the step.
    pub load: f64,
}

/// Starts the hosts of a plan and waits until all sockets are bound. Only the first address of a range is tested
/// beforehand, so another program may hold one of the other thousands. Without a retry on another range the run would
/// then fail.
fn start_hosts(
    plan: &Plan,
    program: &Path,
    mut choose_addresses: impl FnMut() -> Result<Addresses, HollowError>,
) -> Result<(Addresses, Hosts), HollowError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let addresses = choose_addresses()?;
        let setup = |host| Setup {
            host,
            plan: plan.clone(),
            addresses,
            limit_s: plan.max_duration_s() + HOST_EXIT_MARGIN_S + HOST_REPLY_TIMEOUT.as_secs_f64(),
        };
        let mut hosts = Hosts::start(program, plan.hosts + plan.control_hosts(), setup)?;
        match hosts.wait_ready(HOST_REPLY_TIMEOUT) {
            Ok(()) => return Ok((addresses, hosts)),
            Err(error) if attempts == MAX_START_ATTEMPTS => return Err(error),
            Err(error) => eprintln!("retrying with other addresses: {error}"),
        }
    }
}

/// Runs a plan with hosts started as `program host`, on a free address range.
///
/// # Errors
/// Fails if the plan is invalid or a host failed.
pub fn run(
    plan: &Plan,
    program: &Path,
    on_step: impl FnMut(&StepResult),
) -> Result<Vec<StepResult>, HollowError> {
    run_at(plan, program, Addresses::find_free, on_step)
}

/// Like [`run`], on the address range that `choose` returns. `choose` is called again if hosts cannot bind all
/// addresses.
///
/// # Errors
/// Fails if the plan is invalid, or if `choose` or a host failed.
pub fn run_at(
    plan: &Plan,
    program: &Path,
    choose_addresses: impl FnMut() -> Result<Addresses, HollowError>,
    mut on_step: impl FnMut(&StepResult),
) -> Result<Vec<StepResult>, HollowError> {
    plan.check()?;
    let (addresses, mut hosts) = start_hosts(plan, program, choose_addresses)?;
    let mut done: Vec<StepResult> = Vec::new();
    let mut before: Option<(Step, f64, AgreementTimes)> = None;
    let mut dropped = (0, 0);
    for nth in 0..=plan.steps.len() {
        let step = plan.steps.get(nth);
        // Taken before the command is sent: some hosts begin the step while others still report on the previous one.
        let begun = Instant::now();
        hosts.send_to_all(&Command {
            step: nth + 1,
            action: step.map(|step| step.action.clone()),
        })?;
        let (phase, control) = hosts.collect(plan.hosts, HOST_REPLY_TIMEOUT)?;
        if let Some((step, length_s, agreed)) = before.take() {
            let all = usage::dropped(addresses, plan.size);
            let new = (all.0.saturating_sub(dropped.0), all.1.saturating_sub(dropped.1));
            let load = usage::load();
            let one = StepResult { step, length_s, agreed, phase, control, dropped: new, load };
            dropped = all;
            on_step(&one);
            done.push(one);
        }
        if let Some(step) = step {
            let (length_s, agreed) =
                wait_for_agreement(&mut hosts, step, (nth + 1, begun), plan.dilation)?;
            before = Some((step.clone(), length_s, agreed));
        }
    }
    hosts.wait_exited(HOST_REPLY_TIMEOUT);
    Ok(done)
}

/// Waits until all sidecars agree or the step's time limit is reached. Times are in seconds of the run.
fn wait_for_agreement(
    hosts: &mut Hosts,
    step: &Step,
    (nth, begun): (usize, Instant),
    dilation: f64,
) -> Result<(f64, AgreementTimes), HollowError> {
    let mut agreement = Agreement::new(hosts.len());
    loop {
        let passed = begun.elapsed().as_secs_f64() / dilation;
        let enough = passed >= step.at_least_s && agreement.is_complete();
        if enough || passed >= step.at_most_s {
            return Ok((passed, agreement.agreed()));
        }
        let left = Duration::from_secs_f64((step.at_most_s - passed).clamp(0.001, 0.25));
        if let Some((host, Report::Sample(sample))) = hosts.next(left)?
            && sample.step == nth
        {
            agreement.record(host, sample, begun.elapsed().as_secs_f64() / dilation);
        }
    }
}
