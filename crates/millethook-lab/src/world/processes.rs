//! The running daemons: start, supervision, signals and termination.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::addresses::Addresses;
use super::daemon::{Exit, Launch, Usage, Wiring, configuration, signal};
use super::readiness::wait_until_ready;
use super::relay::Relay;
use super::{Options, ProcessSample, RunError, machine_error, members};
use crate::ledger::{Clock, Ledger};
use crate::plan::Plan;
use crate::timeline::Timeline;

/// The daemon's default limit on the bytes that a sidecar sends to peers in a period of up to a second.
const BYTES_PER_PERIOD: f64 = 1_500.0;

/// Edge settings for the lab: the forerunner time is 20 s, since runs are short.
const EDGE_SETTINGS: &str = "forerunner_s = 20\n";

/// Time limit until all initial daemons are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// A daemon process.
struct Process {
    sidecar: usize,
    name: String,
    /// Whether the process was told to exit; its exit is then not a finding.
    ending: bool,
    /// Delay between its exit and its restart, if it is restarted.
    back: Option<Duration>,
}

/// Reports that a sidecar answers as ready.
pub struct Ready {
    /// The sidecar's number.
    pub sidecar: usize,
}

/// Whether the exit of a process was expected.
pub enum Ended {
    /// The exit was not requested.
    ByItself,
    /// The exit was requested; the sidecar restarts after the delay `back`, if there is one.
    Planned { sidecar: usize, back: Option<Duration> },
}

/// Channels that report process events.
pub struct Events {
    /// Exits of processes.
    pub exits: mpsc::UnboundedReceiver<Exit>,
    /// Processes that became ready.
    pub readies: mpsc::UnboundedReceiver<Ready>,
}

/// All daemon processes of a run.
pub struct Processes {
    timeline: Arc<Timeline>,
    plan: Arc<Plan>,
    ledger: Arc<Ledger>,
    clock: Clock,
    relay: Arc<Relay>,
    /// Loopback addresses of the lab.
    pub addresses: Addresses,
    launcher: Launch,
    /// The product configuration file of each host.
    products: Vec<PathBuf>,
    /// Address of each sidecar's discovery agent.
    discovery: Vec<SocketAddr>,
    running: HashMap<i32, Process>,
    starts: u64,
    exits: mpsc::UnboundedSender<Exit>,
    readies: mpsc::UnboundedSender<Ready>,
    samples: Arc<Mutex<Vec<ProcessSample>>>,
}

impl Processes {
    /// Writes the product configurations and starts no process. `discovery` holds the address of each sidecar's
    /// agent.
    ///
    /// # Errors
    /// The directory of configurations and logs cannot be written.
    pub fn new(
        (timeline, plan): (&Arc<Timeline>, &Arc<Plan>),
        (ledger, clock): (&Arc<Ledger>, &Clock),
        relay: &Arc<Relay>,
        addresses: Addresses,
        discovery: Vec<SocketAddr>,
        options: &Options,
    ) -> Result<(Processes, Events), RunError> {
        let launcher = Launch {
            program: options.program.clone(),
            args: options.args.clone(),
            folder: options.folder.clone(),
        };
        std::fs::create_dir_all(&launcher.folder)
            .map_err(machine_error("creating the log directory"))?;
        let mut product = timeline.sidecars.product.clone();
        let period = timeline.sidecars.view_period_s;
        if period > 0.0 {
            // A period's messages have the same size whatever its length, so the budget per second follows from the
            // period.
            let bytes = (BYTES_PER_PERIOD / period.min(1.0)).round();
            product += "\n[fleet]\nname = \"lab\"\n";
            product += &format!("period_s = {period}\nbytes_per_second = {bytes}\n");
            if timeline.sidecars.share_evidence {
                product += "share_evidence = true\n";
            }
        }
        let mut products = Vec::new();
        if timeline.distribution.control_nodes > 0 {
            products = members::products(timeline, &product, &launcher.folder)
                .map_err(machine_error("writing the product configuration files"))?;
        }
        let per_host = timeline.sidecars.edge_host;
        let hosts = if per_host == 0 { 1 } else { timeline.sidecars.count.div_ceil(per_host) };
        for host in 0..hosts {
            let text = format!("{product}{}", edge_section(timeline, &launcher.folder, host));
            if text.is_empty() || !products.is_empty() && host == 0 && per_host == 0 {
                break;
            }
            // Removes writes that an earlier run stored in the same directory.
            let stores = launcher.folder.join(format!("edge{host}"));
            if stores.exists() {
                std::fs::remove_dir_all(&stores)
                    .map_err(machine_error("removing stored writes of an earlier run"))?;
            }
            let path = launcher.folder.join(format!("product{host}.toml"));
            std::fs::write(&path, text)
                .map_err(machine_error("writing the product configuration file"))?;
            products.push(path);
        }
        let (to_exits, exits) = mpsc::unbounded_channel();
        let (to_readies, readies) = mpsc::unbounded_channel();
        let processes = Processes {
            timeline: timeline.clone(),
            plan: plan.clone(),
            ledger: ledger.clone(),
            clock: clock.clone(),
            relay: relay.clone(),
            addresses,
            launcher,
            products,
            discovery,
            running: HashMap::new(),
            starts: 0,
            exits: to_exits,
            readies: to_readies,
            samples: Arc::default(),
        };
        Ok((processes, Events { exits, readies }))
    }

    /// Records and logs a problem that none of the rules covers.
    pub fn finding(&self, text: String) {
        tracing::warn!(event = "finding", "{text}");
        self.ledger.open().findings.push(text);
    }

    fn wiring(&self, sidecar: usize, twin: usize) -> io::Result<Wiring> {
        let (peers, everyone) = self.relay.peers(sidecar)?;
        let datagrams = self.addresses.datagrams(sidecar, twin);
        let listen = self.addresses.listen(sidecar, twin);
        let (admin, discovery) = (self.addresses.admin(sidecar, twin), self.discovery[sidecar]);
        Ok(Wiring { listen, admin, discovery, datagrams, peers, everyone })
    }

    /// Starts a process of a sidecar and reports when it becomes ready. `twin` numbers additional processes from 1.
    pub fn start(&mut self, sidecar: usize, twin: usize) -> Result<(), RunError> {
        let name = match twin {
            0 => format!("n{sidecar}"),
            n => format!("n{sidecar}-twin{n}"),
        };
        let started = self.launch(sidecar, twin, &name);
        let (pid, listen) = started
            .map_err(machine_error(format!("{name}: {}", self.launcher.program.display())))?;
        let process = Process { sidecar, name, ending: false, back: None };
        self.running.insert(pid, process);
        let readies = self.readies.clone();
        tokio::spawn(async move {
            wait_until_ready(listen).await;
            // The receiver is gone once the run is over.
            let _ = readies.send(Ready { sidecar });
        });
        Ok(())
    }

    fn launch(&mut self, sidecar: usize, twin: usize, name: &str) -> io::Result<(i32, SocketAddr)> {
        let wiring = self.wiring(sidecar, twin)?;
        self.starts += 1;
        // Each start has a different seed; a repeated run has the same seeds.
        let seed = self.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ (sidecar as u64) << 20
            ^ self.starts;
        let config = configuration(&self.timeline, sidecar, seed, &wiring);
        let path = self.launcher.write(name, &config)?;
        let of_member = self.timeline.distribution.control_nodes > 0;
        let host =
            if of_member { sidecar } else { sidecar / self.timeline.sidecars.edge_host.max(1) };
        let product = self.products.get(host).or(self.products.first());
        let pid =
            self.launcher.start(name, &path, product.map(PathBuf::as_path), self.exits.clone())?;
        self.relay.admit(sidecar, wiring.datagrams);
        Ok((pid, wiring.listen))
    }

    /// Starts the initial daemons and waits until all are ready. Returns false if one exits or is not ready in time.
    pub async fn first_starts(
        &mut self,
        exited: &mut mpsc::UnboundedReceiver<Exit>,
    ) -> Result<bool, RunError> {
        let first: Vec<usize> =
            (0..self.plan.sidecars.len()).filter(|n| !self.plan.sidecars[*n].late).collect();
        for n in &first {
            self.start(*n, 0)?;
        }
        let mut waiting = JoinSet::new();
        for n in first {
            waiting.spawn(wait_until_ready(self.addresses.listen(n, 0)));
        }
        let end = sleep(READY_TIMEOUT);
        tokio::pin!(end);
        loop {
            tokio::select! {
                done = waiting.join_next() => if done.is_none() {
                    return Ok(true);
                },
                Some(exit) = exited.recv() => {
                    self.record_unexpected_exit(&exit);
                    return Ok(false);
                }
                () = &mut end => {
                    self.finding(format!("{} daemons were not ready within {READY_TIMEOUT:?}", waiting.len()));
                    return Ok(false);
                }
            }
        }
    }

    fn record_unexpected_exit(&self, exit: &Exit) {
        let name = self.running.get(&exit.pid).map_or("a process", |p| p.name.as_str());
        let how = match &exit.status {
            Ok(status) => status.to_string(),
            Err(e) => e.to_string(),
        };
        let log = self.launcher.folder.join(format!("{name}.log"));
        let log = std::fs::read_to_string(log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("its log is empty");
        self.finding(format!("{name} ended by itself ({how}); last line of its log: {last}"));
    }

    /// Samples the resource usage of all processes on a blocking thread: reading `/proc` for hundreds of processes
    /// would delay the conductor's steps.
    pub fn sample(&self) {
        let at = self.clock.now();
        let daemons = self.running.iter().map(|(pid, p)| (*pid, Some(p.sidecar)));
        let all: Vec<_> = daemons.chain([(std::process::id() as i32, None)]).collect();
        let samples = self.samples.clone();
        tokio::task::spawn_blocking(move || {
            let read = all.into_iter().filter_map(|(pid, sidecar)| {
                Usage::of(pid).map(|usage| ProcessSample { at, sidecar, usage })
            });
            let read: Vec<_> = read.collect();
            samples.lock().unwrap_or_else(PoisonError::into_inner).extend(read);
        });
    }

    /// Ids of a sidecar's processes that run and were not told to exit.
    fn pids(&self, sidecar: usize) -> Vec<i32> {
        let mut pids: Vec<i32> = (self.running.iter())
            .filter(|(_, p)| p.sidecar == sidecar && !p.ending)
            .map(|(pid, _)| *pid)
            .collect();
        pids.sort_unstable();
        pids
    }

    /// Number of sidecars with a running process that was not told to exit.
    pub fn running(&self) -> usize {
        let running: HashSet<usize> =
            self.running.values().filter(|p| !p.ending).map(|p| p.sidecar).collect();
        running.len()
    }

    /// Sends a signal to all running processes of a sidecar.
    pub fn signal(&self, sidecar: usize, which: Signal) {
        self.pids(sidecar).into_iter().for_each(|pid| self.send(pid, which));
    }

    fn send(&self, pid: i32, which: Signal) {
        if let Err(e) = signal(pid, which) {
            self.finding(format!("{which} to process {pid}: {e}"));
        }
    }

    /// Sends SIGHUP to all processes of a sidecar, including those that were told to exit.
    pub fn hang_up(&self, sidecar: usize) {
        for (pid, process) in self.running.iter().filter(|(_, p)| p.sidecar == sidecar) {
            match signal(*pid, Signal::SIGHUP) {
                // A process that was told to exit may be gone already.
                Err(_) if process.ending => {}
                Err(e) => self.finding(format!("SIGHUP to process {pid}: {e}")),
                Ok(()) => {}
            }
        }
    }

    /// Terminates the processes of a sidecar by a signal and returns their ids.
    pub fn end(&mut self, sidecar: usize, back: Option<Duration>, which: Signal) -> Vec<i32> {
        let pids = self.pids(sidecar);
        for (nth, pid) in pids.iter().enumerate() {
            self.send(*pid, which);
            if let Some(process) = self.running.get_mut(pid) {
                process.ending = true;
                // Only one of two twin processes restarts.
                process.back = back.filter(|_| nth == 0);
            }
        }
        pids
    }

    /// Kills a process that did not exit in time, if it still runs.
    pub fn kill_overdue(&self, pid: i32) {
        if let Some(process) = self.running.get(&pid) {
            self.finding(format!("{} had not ended in time after SIGTERM", process.name));
            self.send(pid, Signal::SIGKILL);
        }
    }

    /// Handles the exit of a process.
    pub fn ended(&mut self, exit: &Exit) -> Ended {
        match self.running.get(&exit.pid) {
            Some(process) if process.ending => {
                let (sidecar, back) = (process.sidecar, process.back);
                self.running.remove(&exit.pid);
                Ended::Planned { sidecar, back }
            }
            Some(_) | None => {
                self.record_unexpected_exit(exit);
                Ended::ByItself
            }
        }
    }

    /// Writes a configuration with a new discovery address and sends SIGHUP.
    pub fn reload(&mut self, sidecar: usize, discovery: SocketAddr) {
        self.discovery[sidecar] = discovery;
        let written = self.wiring(sidecar, 0).and_then(|wiring| {
            let config = configuration(&self.timeline, sidecar, self.plan.seed, &wiring);
            self.launcher.write(&format!("n{sidecar}"), &config)
        });
        match written {
            Ok(_) => self.signal(sidecar, Signal::SIGHUP),
            Err(e) => self.finding(format!("n{sidecar}: no new configuration: {e}")),
        }
    }

    /// Kills all processes and returns the usage samples, sorted by time.
    pub fn end_all(&mut self) -> Vec<ProcessSample> {
        for pid in self.running.keys() {
            // The process may be gone already.
            let _ = signal(*pid, Signal::SIGKILL);
        }
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let mut samples = std::mem::take(&mut *samples);
        samples.sort_by_key(|s| (s.at, s.sidecar));
        samples
    }
}

/// The `[edge]` section of a host's product configuration; empty if edge storage is off.
fn edge_section(timeline: &Timeline, folder: &std::path::Path, host: usize) -> String {
    if timeline.sidecars.edge_host == 0 {
        return String::new();
    }
    let classes = timeline.classes.iter().filter(|c| c.receipts).map(|c| format!("{:?}", c.name));
    let classes = classes.collect::<Vec<_>>().join(", ");
    let stores = folder.join(format!("edge{host}"));
    format!(
        "\n[edge]\nfolder = {:?}\nclasses = [{classes}]\n{EDGE_SETTINGS}",
        stores.display().to_string()
    )
}
