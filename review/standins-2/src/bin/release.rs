//! An operator's word about a write in doubt, and the kill of the sidecar that sends it.

use standins_2::*;

const BODY: &str = "card for PA3XYZ";

fn main() {
    let case = Case::open();
    let verdict = run(&case);
    case.end(verdict)
}

fn run(case: &Case) -> Verdict {
    let group = Group::default();
    let (a, b) = (free_tcp(), free_tcp());
    let agent = Agent::start(vec![host("s-a", a), host("s-b", b)]);
    let Some(mut fleet) = Fleet::start(case, 3, &agent, "classes = [\"qsl-order\"]", &classes()) else {
        return Verdict::CannotRun;
    };
    // No server can be reached; the write is kept.
    let order = Request {
        line: "POST /qsl-order/print",
        key: None,
        member: Some("pa3xyz"),
        left_ms: 1500,
        more: "Prefer: respond-async\r\n",
        body: BODY,
    };
    // The first one may find that out, and be refused: trying again is harmless then.
    let answer = (0..3).find_map(|_| ask(case, fleet.listen(0), &order).filter(|m| m.status() == 202));
    let Some(id) = answer.and_then(|m| m.header("millethook-context").map(str::to_owned)) else {
        return Verdict::CannotRun;
    };
    // The servers are back. The first arrival hangs, and is not run; each later one is run, in 0.8 s.
    let decide = |_: &Message, before: usize| match before {
        0 => Deed::Hang,
        _ => Deed::Run(seconds(0.8)),
    };
    let _servers = [("s-a", a), ("s-b", b)].map(|at| Server::start(case, &group, at, seconds(1.5), decide));
    let doubt = |fleet: &Fleet| fleet.daemons.iter().flatten().any(|d| d.figure("sidecar.edge.doubt") == Some(1));
    if !case.wait("the write is in doubt", seconds(40.0), || doubt(&fleet)) {
        return Verdict::CannotRun;
    }
    fleet.edge(&["show"]);
    // The operator has looked at the server: it has not run.
    if group.effects(BODY) != 0 || !fleet.edge(&["release", &id]).contains("recorded") {
        return Verdict::CannotRun;
    }
    if !case.wait("it is sent again", seconds(20.0), || group.seen(BODY) == 2) {
        return Verdict::CannotRun;
    }
    if case.trouble {
        // The sidecar that sends it is killed in the middle, and started again.
        let owner = fleet.owners().first().copied().unwrap_or(0);
        if let Some(daemon) = fleet.daemons[owner].take() {
            daemon.kill();
        }
        std::thread::sleep(seconds(0.5));
        fleet.start_one(owner, &classes());
    }
    // Time for another owner, for its lease and for what it sends.
    case.wait("a third arrival", seconds(30.0), || group.seen(BODY) > 2);
    std::thread::sleep(seconds(1.5));
    fleet.edge(&["show"]);
    let effects = group.effects(BODY);
    case.log(format!("the order ran {effects} times"));
    match effects {
        0 => Verdict::CannotRun,
        1 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
