//! Case: a keyed request is run as the servers go away, and its answer is lost. Its client tries again within the
//! window, with the same key, as the pages allow. That try is kept, and sent after the window: the write runs twice.

use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins::*;

const SIDECARS: usize = 3;
/// `classes[].window` of the keyed class.
const WINDOW: Duration = Duration::from_secs(5);
/// How long the servers are away.
const OUTAGE: Duration = Duration::from_secs(10);
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn main() -> ExitCode {
    run_case(case)
}

/// The servers' common memory of keys: when each was first seen. It outlives their processes.
type Keys = Arc<Mutex<HashMap<String, Instant>>>;

fn case(log: &Log, folder: &Path) -> Result<bool, Failure> {
    let keys: Keys = Arc::default();
    let processes: Arc<OnceLock<Vec<ServerProcess>>> = Arc::default();
    let away = Arc::new(AtomicBool::new(false));
    let start = |name: &str| {
        let (keys, processes, away, notes) =
            (keys.clone(), processes.clone(), away.clone(), log.clone());
        Server::start(name, log, move |request, _| {
            let key = request.header("idempotency-key").unwrap_or_default().to_owned();
            let now = Instant::now();
            {
                let mut keys = keys.lock().expect("the keys");
                if keys.get(&key).is_some_and(|first| now.duration_since(*first) < WINDOW) {
                    return Act::Known("done".into());
                }
                keys.insert(key, now);
            }
            if trouble() && !away.swap(true, Ordering::SeqCst) {
                // All servers go away while this one works. It has run the request; its answer is lost.
                processes.get().into_iter().flatten().for_each(ServerProcess::kill);
                notes.line("platform: all servers are gone");
                return Act::RunAndBreak;
            }
            Act::Run(Duration::from_millis(20), "done".into())
        })
    };
    let servers = [start("s-1"), start("s-2")];
    let _ = processes.set(servers.iter().map(Server::process).collect());

    let agent = Agent::start(
        servers.iter().map(|server| Host::new(&server.name, server.address)).collect(),
    );
    let peers = free_udp(SIDECARS);
    let stores = folder.join("edge").display().to_string();
    let product = format!(
        "[fleet]\nname = \"logboek\"\n\n[lease]\n\n[edge]\nfolder = {stores:?}\nclasses = [\"log-upload\"]\n"
    );
    // The servers share what they know of keys, so the group is `all`, and clients may try again.
    let classes = classes("at_most_once")
        .replace(r#""dedupScope":"zone""#, r#""dedupScope":"all""#)
        .replace(r#""window":1200000"#, r#""window":5000000"#);
    let mut sidecars = Vec::new();
    for n in 0..SIDECARS {
        sidecars.push(Sidecar::new(&format!("n{n}"), folder, log, Some(&product), |listen| {
            config(n, listen, agent.address, &peers, &settings(n, SIDECARS, &classes))
        })?);
    }
    for sidecar in &mut sidecars {
        sidecar.start()?;
    }
    for sidecar in &mut sidecars {
        sidecar.wait_ready()?;
    }
    sleep(Duration::from_secs(8));

    // The client tries until it has a 200 or a receipt, always with the same key, and only within the window.
    let (began, mut done) = (Instant::now(), false);
    while !done && began.elapsed() < WINDOW - Duration::from_secs(1) {
        let id = new_id();
        let extra = format!("Prefer: respond-async\r\nIdempotency-Key: {KEY}\r\n");
        let text = request("POST", "/log-upload", &id, 2000, &extra, "entry 1");
        log.line(format!(
            "client: POST /log-upload id {id} key {KEY}, {:.1} s after its first try",
            began.elapsed().as_secs_f64()
        ));
        let answer = ask(sidecars[0].listen, &text, Duration::from_secs(4));
        let status = answer.as_ref().map_or(0, Message::status);
        log.line(format!("client: id {id} is answered {status}"));
        done = status == 200 || status == 202;
        sleep(Duration::from_millis(200));
    }
    if !done {
        return Err("the client had neither an answer nor a receipt within the window".into());
    }
    if trouble() {
        sleep(OUTAGE.saturating_sub(began.elapsed()));
        processes.get().into_iter().flatten().for_each(ServerProcess::start);
        log.line("platform: all servers are back at their addresses");
    }
    sleep(Duration::from_secs(25));
    operator(log, &["edge", "show", &stores])?;

    let runs: Vec<String> = (servers.iter().flat_map(Server::runs))
        .filter(|m| m.header("idempotency-key") == Some(KEY))
        .map(|m| m.header("x-correlation-id").unwrap_or_default().to_owned())
        .collect();
    log.line(format!("the write with key {KEY} ran {} times, as {runs:?}", runs.len()));
    Ok(runs.len() <= 1)
}
