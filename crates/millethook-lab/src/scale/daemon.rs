//! Daemons under measurement. The lab's launcher starts each with its own configuration, and dropping it kills it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::ScaleError;
use super::process::{Scheduled, scheduled};
use crate::timeline::Timeline;
use crate::world::addresses::Addresses;
use crate::world::daemon::{Exit, Launch, Wiring, configuration, signal};
use crate::world::readiness::wait_until_ready;
use crate::world::views::fetch_metrics;
use crate::world::{RunError, machine_error};

const READY_TIMEOUT: Duration = Duration::from_secs(60);
const OPERATION_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The addresses of other sidecars, as one sidecar is configured with them.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The address of each sidecar by its number.
    pub each: Vec<SocketAddr>,
    /// The broadcast address, from which datagrams reach all sidecars.
    pub everyone: SocketAddr,
}

/// The parameters of a daemon.
pub struct DaemonSpec<'a> {
    /// Its number, which determines its addresses, name and zone.
    pub number: usize,
    /// The number of all sidecars.
    pub instances: usize,
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The seed of its random choices.
    pub seed: u64,
    /// The text of the product's settings file; empty for none.
    pub product: &'a str,
    /// Other sidecars, if it may exchange messages with them.
    pub peers: Option<Peers>,
    /// Changes the platform's configuration before it is written.
    pub change: &'a dyn Fn(&mut Value),
}

/// Starts daemons.
pub struct Launcher {
    launch: Launch,
    /// The addresses that daemons and stand-ins listen on.
    pub addresses: Addresses,
    timeline: Timeline,
}

impl Launcher {
    /// Creates a launcher that writes configurations and logs to `folder`.
    ///
    /// # Errors
    /// The folder cannot be created, or no loopback addresses are free.
    pub fn new(program: PathBuf, folder: PathBuf) -> Result<Launcher, RunError> {
        std::fs::create_dir_all(&folder).map_err(machine_error("the folder of logs"))?;
        let mut timeline = Timeline::default();
        timeline.classes.push(Default::default());
        timeline.sidecars.memory_mb = 256;
        timeline.sidecars.descriptors = 8192;
        timeline.sidecars.zones = 6;
        let addresses = Addresses::take().map_err(machine_error("loopback addresses"))?;
        Ok(Launcher { launch: Launch { program, args: Vec::new(), folder }, addresses, timeline })
    }

    /// Starts a daemon and waits until it is ready. Must be called on the main thread: the kernel kills a daemon when
    /// the thread that started it ends.
    ///
    /// # Errors
    /// The daemon does not start, exits, or is not ready in time.
    pub async fn start(&self, spec: &DaemonSpec<'_>) -> Result<Daemon, ScaleError> {
        let mut daemon = self.launch(spec)?;
        daemon.ready().await?;
        Ok(daemon)
    }

    /// Starts a daemon without waiting until it is ready. Must be called on the main thread.
    ///
    /// # Errors
    /// The daemon does not start.
    pub fn launch(&self, spec: &DaemonSpec<'_>) -> Result<Daemon, ScaleError> {
        let number = spec.number;
        let name = format!("n{number}");
        let config = self.configuration(spec);
        let written =
            self.launch.write(&name, &config).map_err(machine_error("a configuration"))?;
        let product = self.write_product(&name, spec.product)?;
        let (exits, exited) = mpsc::unbounded_channel();
        let started = self.launch.start(&name, &written, product.as_deref(), exits);
        Ok(Daemon {
            pid: started.map_err(machine_error(name.clone()))?,
            listen: self.addresses.listen(number, 0),
            admin: self.addresses.admin(number, 0),
            log: self.launch.folder.join(format!("{name}.log")),
            launch: self.launch.clone(),
            name,
            config,
            exited,
            exit_reported: false,
            killed: false,
        })
    }

    fn configuration(&self, spec: &DaemonSpec<'_>) -> Value {
        let number = spec.number;
        let datagrams = self.addresses.datagrams(number, 0);
        let mut timeline = self.timeline.clone();
        let (peers, everyone) = match &spec.peers {
            Some(peers) => (peers.each.clone(), peers.everyone),
            None => (Vec::new(), datagrams),
        };
        timeline.network.may_tell = !peers.is_empty();
        timeline.sidecars.count = spec.instances;
        let wiring = Wiring {
            listen: self.addresses.listen(number, 0),
            admin: self.addresses.admin(number, 0),
            discovery: spec.discovery,
            datagrams,
            peers,
            everyone,
        };
        let mut config = configuration(&timeline, number, spec.seed, &wiring);
        config["settings"]["limits"]["maxOpen"] = 4096.into();
        (spec.change)(&mut config);
        config
    }

    fn write_product(&self, name: &str, text: &str) -> Result<Option<PathBuf>, ScaleError> {
        if text.is_empty() {
            return Ok(None);
        }
        let path = self.launch.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).map_err(machine_error("the product's file"))?;
        Ok(Some(path))
    }
}

/// A running daemon, which is killed when this value is dropped.
pub struct Daemon {
    /// The id of its process.
    pub pid: i32,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The configuration in force.
    pub config: Value,
    name: String,
    log: PathBuf,
    launch: Launch,
    exited: mpsc::UnboundedReceiver<Exit>,
    /// Whether its exit was reported.
    exit_reported: bool,
    killed: bool,
}

impl Daemon {
    /// Waits until the daemon is ready.
    ///
    /// # Errors
    /// It exits, or is not ready in time.
    pub async fn ready(&mut self) -> Result<(), ScaleError> {
        let listen = self.listen;
        tokio::select! {
            ready = timeout(READY_TIMEOUT, wait_until_ready(listen)) => {
                let seconds = READY_TIMEOUT.as_secs_f64();
                let what = format!("{} is ready", self.name);
                ready.map_err(|_| ScaleError::Late { what, seconds })
            }
            _ = self.exited.recv() => {
                self.exit_reported = true;
                Err(self.exit_error())
            }
        }
    }

    fn exit_error(&self) -> ScaleError {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("its log is empty").to_owned();
        ScaleError::Ended { name: self.name.clone(), last }
    }

    /// Processor time so far.
    ///
    /// # Errors
    /// The daemon has exited.
    pub fn processor_time(&self) -> Result<Duration, ScaleError> {
        Ok(self.scheduled()?.ran)
    }

    /// Processor time so far, and time in which it waited for a core.
    ///
    /// # Errors
    /// The daemon has exited.
    pub fn scheduled(&self) -> Result<Scheduled, ScaleError> {
        scheduled(self.pid).ok_or_else(|| self.exit_error())
    }

    /// The number of configurations that it has applied while running.
    pub async fn applied(&self) -> u64 {
        figures(self.admin, ["sighup_applied"]).await.map_or(0, |[applied]| applied)
    }

    /// Replaces its configuration file and sends SIGHUP.
    ///
    /// # Errors
    /// The file cannot be written, or the signal cannot be sent.
    pub fn send_configuration(&self, config: &Value) -> Result<(), ScaleError> {
        self.launch.write(&self.name, config).map_err(machine_error("a configuration"))?;
        Ok(signal(self.pid, Signal::SIGHUP).map_err(machine_error("SIGHUP"))?)
    }

    /// Replaces its configuration and waits until the new one is in force. Returns how long that took.
    ///
    /// # Errors
    /// The configuration cannot be written, or is not in force in time.
    pub async fn reload(&mut self, config: Value) -> Result<Duration, ScaleError> {
        let applied = self.applied().await;
        let begun = Instant::now();
        self.send_configuration(&config)?;
        while self.applied().await == applied {
            if begun.elapsed() > OPERATION_TIMEOUT {
                let (what, seconds) = ("new settings".into(), OPERATION_TIMEOUT.as_secs_f64());
                return Err(ScaleError::Late { what, seconds });
            }
            sleep(POLL_INTERVAL).await;
        }
        self.config = config;
        Ok(begun.elapsed())
    }

    /// Kills the daemon and waits until it has exited.
    ///
    /// # Errors
    /// It does not exit in time.
    pub async fn stop(mut self) -> Result<(), ScaleError> {
        self.kill();
        if self.exit_reported {
            return Ok(());
        }
        let seconds = OPERATION_TIMEOUT.as_secs_f64();
        let what = format!("{} ends", self.name);
        let exit = timeout(OPERATION_TIMEOUT, self.exited.recv()).await;
        exit.map(drop).map_err(|_| ScaleError::Late { what, seconds })
    }

    fn kill(&mut self) {
        // After the exit was reported, the id may belong to another process.
        self.exit_reported |= self.exited.try_recv().is_ok();
        if !self.exit_reported && !std::mem::replace(&mut self.killed, true) {
            let sent: io::Result<()> = signal(self.pid, Signal::SIGKILL);
            if let Err(e) = sent {
                tracing::debug!(event = "kill_failed", "{}: {e}", self.name);
            }
        }
    }
}

/// Kills daemons and waits until all have exited, because the next ones listen on the same addresses.
///
/// # Errors
/// A daemon does not exit in time.
pub async fn stop_all(daemons: impl IntoIterator<Item = Daemon>) -> Result<(), ScaleError> {
    let mut daemons: Vec<Daemon> = daemons.into_iter().collect();
    daemons.iter_mut().for_each(Daemon::kill);
    for daemon in daemons {
        daemon.stop().await?;
    }
    Ok(())
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads metrics at an operators' address, named without `sidecar.`; `None` if it does not answer or lacks a metric.
pub async fn figures<const N: usize>(admin: SocketAddr, names: [&str; N]) -> Option<[u64; N]> {
    let text = timeout(OPERATION_TIMEOUT, fetch_metrics(admin)).await.ok()??;
    let mut figures = [0; N];
    for (figure, name) in figures.iter_mut().zip(names) {
        let line = text.lines().find_map(|l| l.strip_prefix("sidecar.")?.strip_prefix(name));
        *figure = line?.strip_prefix(':')?.split('|').next()?.parse().ok()?;
    }
    Some(figures)
}
