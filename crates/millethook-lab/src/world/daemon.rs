//! Daemon processes: configuration, start, signals, and termination together with the lab.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};

use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::{Signal, kill};
use nix::unistd::{Pid, getppid};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::timeline::{Effect, Group, Timeline};

/// Cost of a connection handshake in the platform's settings, charged for the first attempt on each connection.
const HANDSHAKE_PRICE: f64 = 0.08;

/// How daemon processes are started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// Path of the executable.
    pub program: PathBuf,
    /// Arguments of the daemon.
    pub args: Vec<String>,
    /// Directory for configurations and logs.
    pub folder: PathBuf,
}

/// The addresses in the configuration of one process.
#[derive(Clone, Debug)]
pub struct Wiring {
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address of the admin interface.
    pub admin: SocketAddr,
    /// Address of its discovery agent.
    pub discovery: SocketAddr,
    /// Listen address for datagrams of peers.
    pub datagrams: SocketAddr,
    /// Addresses of the peers.
    pub peers: Vec<SocketAddr>,
    /// Address that forwards to all peers.
    pub everyone: SocketAddr,
}

/// Builds the configuration of one process, in the format of `LB_CONFIG`.
pub fn configuration(timeline: &Timeline, sidecar: usize, seed: u64, wiring: &Wiring) -> Value {
    let (s, r) = (&timeline.sidecars, &timeline.rules);
    let us = |ms: f64| (ms * 1e3) as u64;
    let classes: Vec<Value> = (timeline.classes.iter())
        .map(|c| {
            json!({
                "name": c.name, "aim": us(c.aim_ms), "deadline": us(c.deadline_ms),
                "repeat": match c.effect {
                    Effect::Safe => "idempotent",
                    Effect::Keyed => "deduplicated",
                    Effect::Unsafe => "at_most_once",
                },
                "dedupScope": match c.group { Group::All => "all", Group::Zone => "zone" },
                "window": us(c.window_ms), "credit": c.worth, "lateWorth": 0.2,
            })
        })
        .collect();
    let zones: Vec<String> = (0..s.zones).map(Timeline::zone_name).collect();
    let mut config = json!({
        "name": format!("n{sidecar}"), "listen": wiring.listen.to_string(),
        "admin": wiring.admin.to_string(),
        "discovery": wiring.discovery.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": s.memory_mb, "sockets": s.descriptors},
        "settings": {
            "classes": classes, "discovery": if timeline.discovery.on_request { "on_request" } else { "pushed" },
            "goal": {"whole": 0.6, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.3},
            "instances": s.count, "kinds": ["std"],
            "limits": {
                "cancel": true, "connIdle": 10_000_000, "connectTimeout": 250_000, "maxAttempts": 4,
                "maxOpen": 1000, "mayDuplicate": true, "mayTell": timeline.network.may_tell,
                "maxRetryAfter": 2_000_000, "probing": false, "retryAfter": true,
                "streamsPerConn": 1,
            },
            "me": sidecar, "prices": {"handshake": HANDSHAKE_PRICE}, "report": {"columns": ["q", "rif"], "how": "piggyback"},
            "rules": {
                "answerSlack": us(r.answer_slack_ms), "cold": us(timeline.servers.cold_s * 1e3),
                "coldShare": timeline.servers.cold_share, "fallMultiple": r.fall_multiple,
                "mustAskIn": 10_000_000, "stopSendingWithin": us(r.stop_sending_ms),
                "tipAfter": us(r.tip_after_s * 1e3),
            },
            "tenants": [{"name": "acme", "quotaPerS": 1e6, "share": 1.0}], "tick": 2000,
            "weightKind": "silent", "worthBy": "request", "zone": sidecar % s.zones, "zones": zones,
        },
    });
    if timeline.network.may_tell {
        let peers: Vec<String> = wiring.peers.iter().map(SocketAddr::to_string).collect();
        config["peer_listen"] = json!(wiring.datagrams.to_string());
        config["peers"] = json!(peers);
        config["peers_all"] = json!(wiring.everyone.to_string());
    }
    config
}

/// The exit of a process.
#[derive(Debug)]
pub struct Exit {
    /// Process id.
    pub pid: i32,
    /// Exit status, or the error of waiting for it.
    pub status: io::Result<ExitStatus>,
}

impl Launch {
    /// Writes a configuration atomically.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, process: &str, config: &Value) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{process}.json"));
        let new = path.with_extension("new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(&new, &path)?;
        Ok(path)
    }

    /// Starts a process and sends its exit to `exits`. Call this on the main thread: the kernel kills the child when
    /// the *thread* that started it ends.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(
        &self,
        process: &str,
        config: &Path,
        product: Option<&Path>,
        exits: mpsc::UnboundedSender<Exit>,
    ) -> io::Result<i32> {
        let log = self.folder.join(format!("{process}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = tokio::process::Command::new(std::env::current_exe()?);
        command.env_clear().env("LB_CONFIG", config).kill_on_drop(true);
        if let Some(product) = product {
            command.env("MILLETHOOK_CONFIG", product);
        }
        command.arg("guard").arg(std::process::id().to_string()).arg(&self.program);
        command.arg("--").args(&self.args);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let mut child = command.spawn()?;
        let pid = child.id().ok_or_else(|| io::Error::other("it ended at once"))? as i32;
        tokio::spawn(async move {
            let status = child.wait().await;
            // The receiver is gone once the run is over.
            let _ = exits.send(Exit { pid, status });
        });
        Ok(pid)
    }
}

/// Sends a signal to a process that has not been reaped yet.
///
/// # Errors
/// The process does not exist.
pub fn signal(pid: i32, signal: Signal) -> io::Result<()> {
    kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
}

/// Intermediate process between the lab and a daemon: asks the kernel to kill this process when its parent ends,
/// then replaces itself with the daemon.
pub fn guard(parent: i32, program: &Path, args: &[String]) -> io::Error {
    if let Err(e) = set_pdeathsig(Signal::SIGKILL) {
        return e.into();
    }
    // If the parent ended before the `prctl` call, the kernel never sends the signal and the daemon would stay
    // behind.
    if getppid().as_raw() != parent {
        return io::Error::other("the lab has ended");
    }
    Command::new(program).args(args).exec()
}

/// Resource usage of a process, read from `/proc`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time consumed so far, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Total time that its threads were runnable and waited for a processor so far, in seconds.
    pub waited_s: f64,
}

/// Clock ticks per second in `/proc`; Linux uses 100 on all current machines.
const TICKS_PER_SECOND: f64 = 100.0;

impl Usage {
    /// Reads the usage of a process; `None` if it has ended.
    pub fn of(pid: i32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name may contain spaces; it ends with the last closing parenthesis.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |n: usize| fields.get(n)?.parse::<f64>().ok();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(Usage {
            cpu_s: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
            memory_kib: memory.split_whitespace().next()?.parse().ok()?,
            descriptors,
            waited_s: waited_s(pid),
        })
    }
}

/// Total time that the threads of a process waited for a processor, in seconds; 0 if the kernel does not report it.
fn waited_s(pid: i32) -> f64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    let waited = threads.flatten().filter_map(|thread| {
        // Fields: time on a processor, time waiting for one, number of time slices.
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse::<f64>().ok()
    });
    waited.sum::<f64>() / 1e9
}
