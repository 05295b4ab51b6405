//! Case: writes of a class that may not be repeated are kept, a new configuration gives the class another effect, and
//! the kept writes are replayed under the new one: they are sent again though they may have run.

use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use review_standins::*;

const SIDECARS: usize = 3;
const WRITES: usize = 6;

fn main() -> ExitCode {
    run_case(case)
}

fn case(log: &Log, folder: &Path) -> Result<bool, Failure> {
    let agent = Agent::start(vec![Host::new("s-1", free_tcp())]);
    let peers = free_udp(SIDECARS);
    let stores = folder.join("edge").display().to_string();
    let product = format!(
        "[fleet]\nname = \"logboek\"\n\n[lease]\n\n[edge]\nfolder = {stores:?}\nclasses = [\"qsl-order\"]\n"
    );
    let text = |n: usize, listen, effect: &str| {
        config(n, listen, agent.address, &peers, &settings(n, SIDECARS, &classes(effect)))
    };
    let mut sidecars = Vec::new();
    for n in 0..SIDECARS {
        sidecars.push(Sidecar::new(&format!("n{n}"), folder, log, Some(&product), |listen| {
            text(n, listen, "at_most_once")
        })?);
    }
    for sidecar in &mut sidecars {
        sidecar.start()?;
    }
    for sidecar in &mut sidecars {
        sidecar.wait_ready()?;
    }
    sleep(Duration::from_secs(2));

    // No server can be reached: writes are kept. They have no Idempotency-Key, since their class may not be repeated.
    for n in 0..WRITES {
        keep_write(log, &sidecars[0], "/qsl-order", "", &format!("pay {n}"))?;
    }

    if trouble() {
        // A new configuration: from now on `qsl-order` is keyed. The class keeps its name.
        for (n, sidecar) in sidecars.iter().enumerate() {
            let config = text(n, sidecar.listen, "deduplicated");
            let next = sidecar.config.with_extension("next");
            std::fs::write(&next, config).map_err(|e| e.to_string())?;
            std::fs::rename(&next, &sidecar.config).map_err(|e| e.to_string())?;
            log.line(format!(
                "platform: {} has a new configuration, qsl-order is deduplicated",
                sidecar.name
            ));
            sidecar.signal("HUP");
        }
        sleep(Duration::from_secs(1));
        for sidecar in &sidecars {
            if !sidecar.logged().contains("new configuration applied") {
                return Err("the new configuration was not applied".into());
            }
        }
    }

    // Servers are back. Each runs what it gets; the answer of each other request is lost, as its connection is reset.
    let decide = |_: &Message, n: u64| match n % 2 {
        1 => Act::RunAndBreak,
        _ => Act::Run(Duration::from_millis(5), "done".into()),
    };
    let servers = [Server::start("s-2", log, decide), Server::start("s-3", log, decide)];
    agent.set(servers.iter().map(|server| Host::new(&server.name, server.address)).collect());
    sleep(Duration::from_secs(30));
    operator(log, &["edge", "show", &stores])?;

    let mut held = true;
    for n in 0..WRITES {
        let body = format!("pay {n}");
        let runs = servers.iter().flat_map(Server::runs).filter(|m| m.text() == body);
        let keys: Vec<Option<String>> =
            runs.map(|m| m.header("idempotency-key").map(str::to_owned)).collect();
        log.line(format!("{body:?} ran {} times, keys {keys:?}", keys.len()));
        held &= keys.len() <= 1;
    }
    Ok(held)
}
