//! Measures a start while discovery is down, with a server list that is 20 days old: not used, trusted without
//! checks, or verified.
//!
//! Of ten listed servers four still run, four are gone, and two addresses now belong to other programs, which answer
//! any request with 200. Discovery returns after a while, with the four servers and four new ones.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use millethook_membership::History;
use millethook_membership::snapshot::{Remembered, Snapshot};
use millethook_membership::store::Store;
use millethook_testkit::{
    Agent, Server, Sidecar, answer, config, host, ok, refusing_address, safe, unsafe_with,
};
use serde_json::{Value, json};

use crate::BenchError;
use crate::report::Table;

const CALLERS: usize = 4;
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
const SNAPSHOT_AGE: Duration = Duration::from_secs(20 * 86_400);

/// How the old list is used, with the daemon's settings for it.
const MODES: [(&str, Option<&str>); 3] = [
    ("no snapshot", None),
    ("trusted blindly", Some("usable_above = 0\ndropped_below = 0")),
    ("weighed", Some("identity_header = \"X-Server-Name\"")),
];

/// Starts a program that answers requests with `name`, and returns it with a counter of its requests other than
/// health checks.
fn program(name: &'static str) -> (Server, Arc<AtomicUsize>) {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    let server = Server::start(move |mut conn| {
        while let Some(message) = conn.message() {
            if message.first.starts_with("GET /health/live ") {
                conn.send(answer("200 OK", &format!("X-Server-Name: {name}\r\n"), "up"));
            } else {
                count.fetch_add(1, Ordering::SeqCst);
                conn.send(ok(name));
            }
        }
    });
    (server, requests)
}

/// The status of each answer that a client received, with the time since the start.
#[derive(Default)]
struct Responses(Vec<(Duration, u16)>);

fn call(sidecar: &Sidecar, began: Instant, stop: &AtomicBool, caller: usize) -> Responses {
    let mut seen = Responses::default();
    let mut n = caller;
    while !stop.load(Ordering::SeqCst) {
        // Half of the requests must not run twice.
        let request = if n.is_multiple_of(2) { safe() } else { unsafe_with("an order") };
        n += 1;
        let mut client = sidecar.client();
        client.send(request);
        let status = client.message().map_or(0, |message| message.status());
        seen.0.push((began.elapsed(), status));
        thread::sleep(REQUEST_PAUSE);
    }
    seen
}

/// Runs each mode and prints the table.
///
/// # Errors
/// Fails if a part of the run does not start.
pub fn run(down: Duration) -> Result<(), BenchError> {
    let mut table = Table::new(&[
        "list of before",
        "",
        "served % while down",
        "first served ms",
        "other programs asked",
        "whole service ms after",
    ]);
    for (name, more) in MODES {
        let figures = run_mode(more, down)?;
        table.row(name, "", &figures);
    }
    table.print();
    Ok(())
}

fn run_mode(more: Option<&str>, down: Duration) -> Result<[f64; 4], BenchError> {
    let names = ["s-0", "s-1", "s-2", "s-3", "s-new0", "s-new1", "s-new2", "s-new3"];
    let members: Vec<(Server, Arc<AtomicUsize>)> = names.into_iter().map(program).collect();
    let entry = |n: usize| host(names[n], members[n].0.address);
    let others = [program("a"), program("b")];
    let mut listed: Vec<Value> = (0..4).map(entry).collect();
    for n in 4..8 {
        listed.push(host(&format!("s-{n}"), refusing_address()));
    }
    for (n, (other, _)) in others.iter().enumerate() {
        listed.push(host(&format!("s-{}", 8 + n), other.address));
    }
    let folder = Folder::new()?;
    let env = match more {
        Some(more) => vec![("MILLETHOOK_CONFIG", folder.write(more, &listed)?)],
        None => Vec::new(),
    };
    let env: Vec<(&str, &str)> = env.iter().map(|(k, v)| (*k, v.as_str())).collect();
    let broken = config(refusing_address(), |c| {
        c["settings"]["limits"]["connectTimeout"] = json!(250_000);
        c["begins"] = json!("head");
    });
    let began = Instant::now();
    let sidecar = Sidecar::launch_with(&broken, &env);
    let stop = AtomicBool::new(false);
    let mut back = Duration::ZERO;
    let seen = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                let (sidecar, stop) = (&sidecar, &stop);
                scope.spawn(move || call(sidecar, began, stop, n))
            })
            .collect();
        thread::sleep(down.saturating_sub(began.elapsed()));
        let agent = Agent::start((0..8).map(entry).collect());
        let mut live = broken.clone();
        live["discovery"] = json!(agent.address.to_string());
        back = began.elapsed();
        sidecar.reload(&live.to_string());
        thread::sleep(Duration::from_secs(3));
        stop.store(true, Ordering::SeqCst);
        let ended = callers.into_iter().map(|c| c.join().map_err(|_| "a caller panicked"));
        ended.collect::<Result<Vec<Responses>, _>>()
    })?;
    let mut seen: Vec<(Duration, u16)> = seen.into_iter().flat_map(|s| s.0).collect();
    seen.sort_unstable();
    let before: Vec<_> = seen.iter().filter(|(at, _)| *at < back).collect();
    let served = before.iter().filter(|(_, status)| *status == 200).count();
    let ms = |at: Duration| at.as_secs_f64() * 1e3;
    let first = seen.iter().find(|(_, status)| *status == 200).map_or(f64::NAN, |(at, _)| ms(*at));
    // Service counts as complete from the last failed request on.
    let last_failed = seen.iter().rev().find(|(_, status)| *status != 200).map(|(at, _)| *at);
    let whole = last_failed.map_or(0.0, |at| ms(at.saturating_sub(back)));
    let requests: usize = others.iter().map(|(_, requests)| requests.load(Ordering::SeqCst)).sum();
    Ok([100.0 * served as f64 / before.len().max(1) as f64, first, requests as f64, whole])
}

/// A temporary folder of the run, removed when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Result<Folder, BenchError> {
        let path = std::env::temp_dir().join(format!("millethook-starts-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Writes the daemon's configuration file and a snapshot of `hosts`, and returns the path of the file.
    fn write(&self, more: &str, hosts: &[Value]) -> Result<String, BenchError> {
        let (file, members) = (self.0.join("millethook.toml"), self.0.join("members"));
        std::fs::write(&file, format!("[membership]\nsnapshot = {members:?}\n{more}\n"))?;
        let confirmed = SystemTime::now().duration_since(UNIX_EPOCH)? - SNAPSHOT_AGE;
        let confirmed_ms = confirmed.as_millis() as u64;
        let mut servers = Vec::new();
        for host in hosts {
            servers.push(Remembered { confirmed_ms, host: serde_json::from_value(host.clone())? });
        }
        let history = History::default();
        let snapshot =
            Snapshot { fleet: "n0".into(), written_ms: confirmed_ms, seq: 900, history, servers };
        Store::new(members, "n0").save(&snapshot)?;
        Ok(file.to_string_lossy().into_owned())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
