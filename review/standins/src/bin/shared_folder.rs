//! Case: sidecars of two fleets on one host share the folder of stores. A sidecar of one fleet is killed with writes
//! in its store; sidecars of the other fleet take the store over, and send the writes to their own servers.

use std::collections::HashSet;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use review_standins::*;

/// Sidecars of each fleet.
const SIDECARS: usize = 3;
const WRITES: usize = 5;

fn main() -> ExitCode {
    run_case(case)
}

/// One fleet: its discovery, its sidecars, and the ids that its clients have sent.
struct Fleet {
    name: &'static str,
    agent: Agent,
    sidecars: Vec<Sidecar>,
    sent: Arc<Mutex<HashSet<String>>>,
}

impl Fleet {
    fn new(name: &'static str, stores: &str, folder: &Path, log: &Log) -> Result<Fleet, Failure> {
        // No server of it can be reached yet.
        let agent = Agent::start(vec![Host::new("s-0", free_tcp())]);
        let peers = free_udp(SIDECARS);
        let product = format!(
            "[fleet]\nname = \"{name}\"\n\n[lease]\n\n[edge]\nfolder = {stores:?}\nclasses = [\"qsl-order\"]\n"
        );
        let mut sidecars = Vec::new();
        for n in 0..SIDECARS {
            let of = format!("{name}-n{n}");
            sidecars.push(Sidecar::new(&of, folder, log, Some(&product), |listen| {
                config(
                    n,
                    listen,
                    agent.address,
                    &peers,
                    &settings(n, SIDECARS, &classes("at_most_once")),
                )
            })?);
        }
        Ok(Fleet { name, agent, sidecars, sent: Arc::default() })
    }

    /// Starts a server of this fleet and lists it. It answers 400 to a request that no client of the fleet sent.
    fn start_server(&self, log: &Log, asked: &Arc<Mutex<Vec<String>>>) -> Server {
        let (sent, asked) = (self.sent.clone(), asked.clone());
        let server = Server::start(&format!("of {}", self.name), log, move |request, _| {
            let id = request.header("x-correlation-id").unwrap_or_default().to_owned();
            if sent.lock().expect("the ids").contains(&id) {
                return Act::Run(Duration::from_millis(20), "done".into());
            }
            asked.lock().expect("the ids").push(id);
            Act::Unknown
        });
        self.agent.set(vec![Host::new("s-1", server.address)]);
        server
    }
}

fn case(log: &Log, folder: &Path) -> Result<bool, Failure> {
    let stores = folder.join("edge").display().to_string();
    let mut fleets = [
        Fleet::new("logboek", &stores, folder, log)?,
        Fleet::new("kantoor", &stores, folder, log)?,
    ];
    for fleet in &mut fleets {
        for sidecar in &mut fleet.sidecars {
            sidecar.start()?;
        }
        // A store is named by its process's number and the millisecond of its start, and those of two fleets differ.
        sleep(Duration::from_secs(1));
    }
    for fleet in &mut fleets {
        for sidecar in &mut fleet.sidecars {
            sidecar.wait_ready()?;
        }
    }
    let [logboek, kantoor] = &mut fleets;
    let strange: Arc<Mutex<Vec<String>>> = Arc::default();
    let other_server = kantoor.start_server(log, &strange);
    sleep(Duration::from_secs(8));

    // The other fleet serves its own clients all the time.
    for n in 0..WRITES {
        let id = new_id();
        kantoor.sent.lock().expect("the ids").insert(id.clone());
        let text = request("POST", "/qsl-order", &id, 900, "", &format!("of kantoor {n}"));
        let answer = ask(kantoor.sidecars[0].listen, &text, Duration::from_secs(3));
        log.line(format!(
            "client of kantoor: id {id} is answered {}",
            answer.map_or(0, |m| m.status())
        ));
    }
    // Writes of the first fleet are kept, as none of its servers can be reached.
    let mut kept = Vec::new();
    for n in 0..WRITES {
        let body = format!("of logboek {n}");
        let (id, _) = keep_write(log, &logboek.sidecars[0], "/qsl-order", "", &body)?;
        logboek.sent.lock().expect("the ids").insert(id.clone());
        kept.push(id);
    }
    if trouble() {
        // Sidecars may be killed outright at any time. This one starts again 1 s later.
        logboek.sidecars[0].kill();
        sleep(Duration::from_secs(1));
        logboek.sidecars[0].start()?;
    }
    sleep(Duration::from_secs(12));
    let own_server = logboek.start_server(log, &strange);
    sleep(Duration::from_secs(20));
    operator(log, &["edge", "show", &stores])?;

    let strange = strange.lock().expect("the ids").clone();
    log.line(format!("sent to a server of the other fleet: {strange:?}"));
    let ran =
        |id: &String| own_server.runs().iter().any(|m| m.header("x-correlation-id") == Some(&**id));
    log.line(format!(
        "{} of {} kept writes ran at their own fleet's server",
        kept.iter().filter(|id| ran(id)).count(),
        kept.len()
    ));
    log.line(format!(
        "the other fleet's server ran {} requests of its own clients",
        other_server.runs().len()
    ));
    Ok(strange.is_empty())
}
