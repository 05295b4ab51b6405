//! Kept writes that expire after their sidecar was restarted.

use standins_2::*;

const KEEP_S: f64 = 20.0;

fn main() {
    let case = Case::open();
    let verdict = run(&case);
    case.end(verdict)
}

fn run(case: &Case) -> Verdict {
    let group = Group::default();
    let dead = free_tcp();
    let agent = Agent::start(vec![host("s-a", dead)]);
    let edge = format!("classes = [\"log-upload\"]\nkeep_s = {KEEP_S}");
    let Some(mut fleet) = Fleet::start(case, 3, &agent, &edge, &classes()) else {
        return Verdict::CannotRun;
    };
    // No server can be reached; the writes are kept.
    let mut receipts = Vec::new();
    for n in 0..3 {
        let upload = Request {
            line: "POST /log-upload/contest",
            key: Some(&format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3021{n}")),
            member: Some(&format!("pa3xy{n}")),
            left_ms: 2000,
            more: "Prefer: respond-async\r\n",
            body: &format!("contest log {n}"),
        };
        let answer = ask(case, fleet.listen(0), &upload).filter(|m| m.status() == 202);
        let Some(id) = answer.and_then(|m| m.header("millethook-context").map(str::to_owned)) else {
            return Verdict::CannotRun;
        };
        receipts.push(id);
    }
    let kept = std::time::Instant::now();
    if case.trouble {
        // A planned restart of the sidecar that has them.
        let mut daemon = fleet.daemons[0].take().expect("it runs");
        daemon.signal("TERM");
        if !daemon.ended(seconds(4.0)) {
            return Verdict::CannotRun;
        }
        fleet.start_one(0, &classes());
    }
    // The servers stay away until the writes have expired, and are back then.
    std::thread::sleep(seconds(KEEP_S + 2.0).saturating_sub(kept.elapsed()));
    fleet.edge(&["show"]);
    let _server = Server::start(case, &group, ("s-a", dead), seconds(1.5), |_, _| Deed::Run(seconds(0.02)));
    case.log("the server is back");
    let done = |fleet: &Fleet| fleet.daemons.iter().flatten().all(|d| d.figure("sidecar.edge.left") == Some(0));
    if !case.wait("the writes have their end", seconds(20.0), || done(&fleet)) {
        return Verdict::CannotRun;
    }
    std::thread::sleep(seconds(3.0));
    // "is set apart": the operator has them, to send them by hand.
    fleet.edge(&["show"]);
    let export = fleet.edge(&["export"]);
    let mut lost = 0;
    for (n, id) in receipts.iter().enumerate() {
        let sent = group.effects(&format!("contest log {n}"));
        let apart = export.lines().any(|l| l.contains(&format!("\"{id}\"")));
        case.log(format!("write {id}: ran {sent} times, {}", if apart { "is exported" } else { "is not exported" }));
        lost += usize::from(sent == 0 && !apart);
    }
    case.log(format!("{lost} of {} acknowledged writes are lost", receipts.len()));
    if lost == 0 { Verdict::Held } else { Verdict::Broken }
}
