//! The contestants. Each one is a proxy in a separate process on the first core.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clap::ValueEnum;
use http::HeaderMap;
use millethook_testkit::{config, program};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

use crate::{BenchError, pin};

mod discovery;
mod library;
mod p2c;
mod proxy;
mod round_robin;

use discovery::follow_discovery;
use library::Library;
pub use library::library;
use p2c::p2c_proxy;
use proxy::listen;
use round_robin::round_robin_proxy;

/// The aim of the class that all requests belong to: answers within it count in full.
pub const AIM: Duration = Duration::from_millis(100);
/// The deadline of the class: no client waits longer.
pub const DEADLINE: Duration = Duration::from_millis(1000);

/// A load balancer that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Contestant {
    /// No balancer: clients use the servers round-robin.
    Direct,
    /// A plain hyper reverse proxy with a connection pool and round-robin.
    Hyper,
    /// The same proxy with `tower::balance::p2c` and peak EWMA.
    Tower,
    /// The same proxy with millethook as a library.
    Library,
    /// The daemon.
    Daemon,
}

impl Contestant {
    /// Returns the given contestants, or all if none is given.
    pub fn or_all(named: Vec<Contestant>) -> Vec<Contestant> {
        if named.is_empty() { Contestant::value_variants().to_vec() } else { named }
    }

    /// Returns its name in tables.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// A running contestant. Its process is killed when this is dropped.
pub struct RunningContestant {
    child: Child,
    /// The address that it listens on.
    pub at: SocketAddr,
}

impl RunningContestant {
    /// Starts a contestant. Returns `None` for [`Contestant::Direct`], which has no process.
    ///
    /// # Errors
    /// Fails if the contestant does not start.
    pub fn start(
        contestant: Contestant,
        discovery: SocketAddr,
    ) -> Result<Option<RunningContestant>, BenchError> {
        if contestant == Contestant::Direct {
            return Ok(None);
        }
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("serve").arg(contestant.name()).arg(discovery.to_string());
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or("no standard error")?;
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let at = lines.find_map(|line| {
            let at = line.rsplit_once("listens on ")?.1;
            at.split_whitespace().next()?.parse().ok()
        });
        let running =
            RunningContestant { child, at: at.ok_or("the contestant exited before it listened")? };
        std::thread::spawn(move || lines.for_each(drop));
        // Gives the contestant time to fetch its list of servers.
        std::thread::sleep(Duration::from_millis(300));
        Ok(Some(running))
    }

    /// Returns its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for RunningContestant {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Replaces this process with the daemon.
fn daemon(discovery: SocketAddr) -> Result<(), BenchError> {
    use std::os::unix::process::CommandExt;
    let config = config(discovery, |c| {
        c["begins"] = "head".into();
        c["settings"]["failover"] = serde_json::json!({"copyAtAim": true, "slowExponent": 6.0});
        for class in c["settings"]["classes"].as_array_mut().into_iter().flatten() {
            class["aim"] = (AIM.as_micros() as u64).into();
            class["deadline"] = (DEADLINE.as_micros() as u64).into();
        }
    });
    let path = std::env::temp_dir().join(format!("millethook-bench-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string())?;
    Err(Command::new(program("plankvale")).env_clear().env("LB_CONFIG", path).exec().into())
}

/// Runs a contestant in this process.
///
/// # Errors
/// Fails if the contestant cannot listen.
pub fn serve(contestant: Contestant, discovery: SocketAddr) -> Result<(), BenchError> {
    pin::pin(0);
    if contestant == Contestant::Daemon {
        return daemon(discovery);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let (list_sender, lists) = mpsc::unbounded_channel();
        match contestant {
            Contestant::Direct | Contestant::Daemon => Ok(()),
            Contestant::Library => {
                let fleet = millethook::Fleet::open(library("bench", discovery)?)?;
                fleet.ready().await;
                listen(Library(fleet)).await
            }
            Contestant::Hyper => {
                spawn_local(follow_discovery(discovery, list_sender));
                round_robin_proxy(lists).await
            }
            Contestant::Tower => {
                spawn_local(follow_discovery(discovery, list_sender));
                p2c_proxy(lists).await
            }
        }
    })
}

static IDS: AtomicU64 = AtomicU64::new(0);

/// Returns the headers of a request, with an id that is unique within this process. The daemon rejects a repeated id.
pub fn headers() -> HeaderMap {
    let n = IDS.fetch_add(1, Ordering::Relaxed);
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("host", "bench".into());
    set("x-account", "acme".into());
    set("x-correlation-id", format!("b{:x}-{n:x}", std::process::id()));
    set("x-time-left-ms", DEADLINE.as_millis().to_string());
    headers
}
