//! Kept writes of a fleet whose sidecars are killed at once while no server can be reached.

use standins_2::*;
use std::time::Instant;

fn main() {
    let case = Case::open();
    let verdict = run(&case);
    case.end(verdict)
}

/// Sidecars of one host, and how many of them are killed at once: seven in ten.
const SIZE: usize = 20;
const KILLED: usize = 14;
/// How long a write is kept at most.
const KEEP_S: f64 = 75.0;

fn run(case: &Case) -> Verdict {
    let group = Group::default();
    let (a, b) = (free_tcp(), free_tcp());
    let agent = Agent::start(vec![host("s-a", a), host("s-b", b)]);
    let edge = format!("classes = [\"log-upload\"]\nkeep_s = {KEEP_S}");
    let Some(mut fleet) = Fleet::start(case, SIZE, &agent, &edge, &classes()) else {
        return Verdict::CannotRun;
    };
    let mut kept: Vec<(String, Instant)> = Vec::new();
    let mut keep = |fleet: &Fleet, round: usize| {
        for n in 0..SIZE {
            let body = format!("contest log {round}-{n}");
            let key = format!("5c0f6e1a2b3d4c59a8b7c6d5{round:04}{n:04}");
            let upload = Request {
                line: "POST /log-upload/contest",
                key: Some(&key),
                member: Some(&body.replace(' ', "-")),
                left_ms: 2000,
                more: "Prefer: respond-async\r\n",
                body: &body,
            };
            if (0..3).any(|_| ask(case, fleet.listen(n), &upload).is_some_and(|m| m.status() == 202)) {
                kept.push((body, Instant::now()));
            }
        }
    };
    keep(&fleet, 0);
    if case.trouble {
        let gone: Vec<Daemon> = (0..KILLED).filter_map(|n| fleet.daemons[n].take()).collect();
        gone.into_iter().for_each(Daemon::kill);
        (0..KILLED).for_each(|n| fleet.start_one(n, &classes()));
        if !fleet.wait_until_ready() {
            return Verdict::CannotRun;
        }
    }
    keep(&fleet, 1);
    let _servers = [("s-a", a), ("s-b", b)]
        .map(|at| Server::start(case, &group, at, seconds(1.5), |_, _| Deed::Run(seconds(0.02))));
    let back = Instant::now();
    // Little live traffic: a lookup at each sidecar now and then.
    let lookups = |fleet: &Fleet| {
        let lookup =
            Request { line: "GET /call-lookup/pa3xyz", key: None, member: None, left_ms: 750, more: "", body: "" };
        (0..SIZE).filter(|n| ask(case, fleet.listen(*n), &lookup).is_some_and(|m| m.status() == 200)).count()
    };
    let mut served = lookups(&fleet);
    case.log(format!("{} writes are acknowledged; the servers are back", kept.len()));
    let ran = |kept: &[(String, Instant)]| kept.iter().filter(|(body, _)| group.effects(body) > 0).count();
    while ran(&kept) < kept.len() && kept.iter().any(|(_, at)| at.elapsed() < seconds(KEEP_S)) {
        std::thread::sleep(seconds(5.0));
        served = lookups(&fleet);
        let sum = |figure: &str| fleet.daemons.iter().flatten().filter_map(|d| d.figure(figure)).sum::<u64>();
        case.log(format!(
            "{:.0} s later: {served} of {SIZE} lookups served, {} of {} writes ran; jobs wanted {}, owned {}, messages held too long {}, isolated {}",
            back.elapsed().as_secs_f64(),
            ran(&kept),
            kept.len(),
            sum("sidecar.lease.wanted"),
            sum("sidecar.lease.owned"),
            sum("sidecar.fleet.held_too_long"),
            sum("sidecar.edge.isolated"),
        ));
    }
    fleet.edge(&["show"]);
    let lost = kept.len() - ran(&kept);
    case.log(format!(
        "{served} of the last {SIZE} lookups were served; {lost} of {} acknowledged writes were not sent in {KEEP_S} s",
        kept.len()
    ));
    match lost {
        0 => Verdict::Held,
        _ if served < SIZE => Verdict::CannotRun,
        _ => Verdict::Broken,
    }
}
