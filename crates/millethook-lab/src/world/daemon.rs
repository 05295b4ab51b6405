//! The daemons' processes: configuration, start, signals, and an end that follows the lab's own.

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

/// The price of a handshake in the platform's settings, for each first attempt.
const HANDSHAKE_PRICE: f64 = 0.08;

/// How daemons are started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// What it is given.
    pub args: Vec<String>,
    /// Where configurations and logs are written.
    pub folder: PathBuf,
}

/// The addresses that one process is told.
#[derive(Clone, Debug)]
pub struct Wiring {
    /// Where it accepts clients.
    pub listen: SocketAddr,
    /// Where operators call.
    pub admin: SocketAddr,
    /// Its agent of discovery.
    pub discovery: SocketAddr,
    /// Where its datagrams arrive.
    pub datagrams: SocketAddr,
    /// The others.
    pub peers: Vec<SocketAddr>,
    /// All of them.
    pub everyone: SocketAddr,
}

/// The configuration of one process, as `LB_CONFIG` holds it.
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
            "classes": classes, "discovery": if timeline.discovery.asked { "on_request" } else { "pushed" },
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

/// The end of a process.
#[derive(Debug)]
pub struct Exit {
    /// Which one.
    pub pid: i32,
    /// How.
    pub status: io::Result<ExitStatus>,
}

impl Launch {
    /// Writes a configuration, whole or not at all.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn write(&self, process: &str, config: &Value) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{process}.json"));
        let new = path.with_extension("new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(&new, &path)?;
        Ok(path)
    }

    /// Starts a process; `exits` hears of its end. Danger: the kernel ends the child with the *thread* that
    /// started it, so this has to be called on the main one.
    ///
    /// # Errors
    /// It cannot be started.
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
            // Nobody listens once the run is over.
            let _ = exits.send(Exit { pid, status });
        });
        Ok(pid)
    }
}

/// Sends a signal to a process that has not been waited for yet.
///
/// # Errors
/// There is no such process.
pub fn signal(pid: i32, signal: Signal) -> io::Result<()> {
    kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
}

/// The step between the lab and a daemon: asks the kernel to end this process with its parent, and becomes the
/// daemon.
pub fn guard(parent: i32, program: &Path, args: &[String]) -> io::Error {
    if let Err(e) = set_pdeathsig(Signal::SIGKILL) {
        return e.into();
    }
    // Danger: a parent that ended before that would never be noticed.
    if getppid().as_raw() != parent {
        return io::Error::other("the lab has ended");
    }
    Command::new(program).args(args).exec()
}

/// What a process uses, as `/proc` tells it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time so far, in seconds.
    pub cpu_s: f64,
    /// Memory, in KiB.
    pub memory_kib: u64,
    /// Descriptors.
    pub descriptors: usize,
    /// How long its threads were ready and waited for a processor so far, in sum, in seconds.
    pub waited_s: f64,
}

/// Clock ticks in a second, as Linux counts them for `/proc` on every machine of today.
const TICKS: f64 = 100.0;

impl Usage {
    /// Reads it; None: the process has ended.
    pub fn of(pid: i32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may hold blanks; it ends with the last parenthesis.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |n: usize| fields.get(n)?.parse::<f64>().ok();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(Usage {
            cpu_s: (ticks(11)? + ticks(12)?) / TICKS,
            memory_kib: memory.split_whitespace().next()?.parse().ok()?,
            descriptors,
            waited_s: waited_s(pid),
        })
    }
}

/// How long the threads of a process waited for a processor; 0 where the kernel does not tell.
fn waited_s(pid: i32) -> f64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    let waited = threads.flatten().filter_map(|thread| {
        // Time on a processor, time waiting for one, and the number of turns.
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().nth(1)?.parse::<f64>().ok()
    });
    waited.sum::<f64>() / 1e9
}
