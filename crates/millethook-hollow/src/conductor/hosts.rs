//! The host processes and the pipes to them.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

use crate::error::HollowError;
use crate::protocol::{Command, Phase, Report, Setup};

/// Delay between two process starts: binding a thousand sockets takes processor time.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which exiting processes are polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Process {
    child: Child,
    input: Option<ChildStdin>,
}

/// All hosts of a run. They are killed when this is dropped.
pub(super) struct Hosts {
    processes: Vec<Process>,
    reports: Receiver<(usize, Result<Report, String>)>,
}

fn host_error(host: usize, found: impl Into<String>) -> HollowError {
    HollowError::Host { host, found: found.into() }
}

impl Hosts {
    pub fn start(
        program: &Path,
        count: usize,
        setup: impl Fn(usize) -> Setup,
    ) -> Result<Hosts, HollowError> {
        let (sender, reports) = channel();
        let mut hosts = Hosts { processes: Vec::with_capacity(count), reports };
        for host in 0..count {
            let mut child = std::process::Command::new(program)
                .arg("host")
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .map_err(HollowError::system("start a host"))?;
            let (input, output) = (child.stdin.take(), child.stdout.take());
            hosts.processes.push(Process { child, input });
            let sender = sender.clone();
            std::thread::spawn(move || {
                for line in output.into_iter().flat_map(|out| BufReader::new(out).lines()) {
                    let report = line.map_err(|e| e.to_string());
                    let report = report
                        .and_then(|line| serde_json::from_str(&line).map_err(|e| e.to_string()));
                    if sender.send((host, report)).is_err() {
                        return;
                    }
                }
                let _ = sender.send((host, Err("the process exited".into())));
            });
            hosts.write(host, &setup(host))?;
            std::thread::sleep(START_INTERVAL);
        }
        Ok(hosts)
    }

    pub fn len(&self) -> usize {
        self.processes.len()
    }

    fn write(&mut self, host: usize, line: &impl serde::Serialize) -> Result<(), HollowError> {
        let mut line = serde_json::to_string(line).map_err(|e| host_error(host, e.to_string()))?;
        line.push('\n');
        let input = self.processes.get_mut(host).and_then(|process| process.input.as_mut());
        let input = input.ok_or_else(|| host_error(host, "standard input is closed"))?;
        input
            .write_all(line.as_bytes())
            .and_then(|()| input.flush())
            .map_err(HollowError::system("send a command to a host"))
    }

    pub fn send_to_all(&mut self, command: &Command) -> Result<(), HollowError> {
        (0..self.len()).try_for_each(|host| self.write(host, command))
    }

    /// Returns the next report, or `None` if there was none within the given time.
    pub fn next(&mut self, within: Duration) -> Result<Option<(usize, Report)>, HollowError> {
        match self.reports.recv_timeout(within) {
            Ok((host, Ok(Report::Failed { why }))) => Err(host_error(host, why)),
            Ok((host, Ok(report))) => Ok(Some((host, report))),
            Ok((host, Err(found))) => Err(host_error(host, found)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(host_error(0, "all host processes exited")),
        }
    }

    /// Waits until `take` has accepted one report of each host.
    fn wait_for(
        &mut self,
        timeout: Duration,
        what: &str,
        mut take: impl FnMut(usize, Report) -> bool,
    ) -> Result<(), HollowError> {
        let begun = Instant::now();
        let mut missing = vec![true; self.len()];
        while let Some(host) = missing.iter().position(|missing| *missing) {
            let left = timeout.saturating_sub(begun.elapsed());
            if left.is_zero() {
                return Err(host_error(host, format!("no {what} within {timeout:?}")));
            }
            if let Some((host, report)) = self.next(left)? {
                missing[host] &= !take(host, report);
            }
        }
        Ok(())
    }

    pub fn wait_ready(&mut self, timeout: Duration) -> Result<(), HollowError> {
        self.wait_for(timeout, "ready report", |_, report| matches!(report, Report::Ready))
    }

    /// Collects the reports of a step: the totals of the first `first` hosts, and the totals of the others.
    pub fn collect(
        &mut self,
        first: usize,
        timeout: Duration,
    ) -> Result<(Phase, Phase), HollowError> {
        let (mut sidecars, mut others) = (Phase::default(), Phase::default());
        self.wait_for(timeout, "step report", |host, report| {
            let Report::Phase(phase) = report else { return false };
            if host < first {
                sidecars.add(*phase)
            } else {
                others.add(*phase)
            }
            true
        })?;
        Ok((sidecars, others))
    }

    /// Waits until all hosts have exited on their own. Any that remain are killed when this is dropped.
    pub fn wait_exited(&mut self, timeout: Duration) {
        let begun = Instant::now();
        self.processes.iter_mut().for_each(|process| process.input = None);
        while begun.elapsed() < timeout {
            let ended = |process: &mut Process| !matches!(process.child.try_wait(), Ok(None));
            if self.processes.iter_mut().all(ended) {
                return;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.input = None;
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
