//! Case: a write in doubt that an operator has released is sent, is run, and is in doubt again as its sidecar is
//! killed. The next owner of the store reads the operator's old word as if it came last, and sends the write again.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

use review_standins::*;

const SIDECARS: usize = 3;

fn main() -> ExitCode {
    run_case(case)
}

fn case(log: &Log, folder: &Path) -> Result<bool, Failure> {
    let agent = Agent::start(vec![Host::new("s-1", free_tcp())]);
    let peers = free_udp(SIDECARS);
    let stores = folder.join("edge");
    let product = format!(
        "[fleet]\nname = \"logboek\"\n\n[lease]\n\n[edge]\nfolder = {:?}\nclasses = [\"qsl-order\"]\n",
        stores.display().to_string()
    );
    let mut sidecars = Vec::new();
    for n in 0..SIDECARS {
        let sidecar = Sidecar::new(&format!("n{n}"), folder, log, Some(&product), |listen| {
            config(
                n,
                listen,
                agent.address,
                &peers,
                &settings(n, SIDECARS, &classes("at_most_once")),
            )
        })?;
        sidecars.push(sidecar);
    }
    for sidecar in &mut sidecars {
        sidecar.start()?;
    }
    for sidecar in &mut sidecars {
        sidecar.wait_ready()?;
    }
    let stores = stores.display().to_string();

    // No server can be reached. The write is kept, as docs/operate/edge.md says.
    let (id, write) = keep_write(log, &sidecars[0], "/qsl-order", "", "pay 100")?;

    // A server is back. It dies with the first attempt before it runs it: the sidecar cannot know, so the write is in
    // doubt. The next attempt is run and takes 1 s, within the deadline of the class.
    let running = Arc::new(AtomicBool::new(false));
    let began = running.clone();
    let server = Server::start("s-2", log, move |_, n| match n {
        1 => Act::Break,
        _ => {
            began.store(true, Ordering::SeqCst);
            Act::Run(Duration::from_secs(1), "done".into())
        }
    });
    agent.set(vec![Host::new("s-2", server.address)]);
    wait_for("the write is in doubt", Duration::from_secs(30), || {
        sleep(Duration::from_secs(1));
        operator(log, &["edge", "show", &stores])
            .is_ok_and(|(text, _)| text.contains("qsl-order  in doubt"))
    })?;
    if !server.runs().is_empty() {
        return Err("the server ran the first attempt".into());
    }

    // The operator looks at the server, which has not run it, and releases the write.
    let (text, code) = operator(log, &["edge", "release", &stores, &write])?;
    if code != Some(0) {
        return Err(format!("release: {text}"));
    }
    wait_for("the released write runs", Duration::from_secs(30), || {
        running.load(Ordering::SeqCst)
    })?;
    if trouble() {
        // Sidecars may be killed outright at any time, and start again.
        sleep(Duration::from_millis(300));
        sidecars[0].kill();
        sleep(Duration::from_secs(1));
        sidecars[0].start()?;
    }

    // Nobody releases the write again. It has run, so it may not run a second time.
    let end = log.elapsed() + Duration::from_secs(30);
    while log.elapsed() < end && server.runs().len() < 2 {
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(2));
    operator(log, &["edge", "show", &stores])?;
    let runs = server.runs().iter().filter(|m| m.header("x-correlation-id") == Some(&*id)).count();
    log.line(format!("the unsafe write {write}, id {id}, ran {runs} times; the operator released it once, before the first run"));
    Ok(runs <= 1)
}
