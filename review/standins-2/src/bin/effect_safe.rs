//! A kept write, and a new configuration under which its class may be repeated freely.

use standins_2::*;

const KEEP_S: f64 = 30.0;
const BODY: &str = "contest log";

fn main() {
    let case = Case::open();
    let verdict = run(&case);
    case.end(verdict)
}

fn run(case: &Case) -> Verdict {
    let group = Group::default();
    let (a, b) = (free_tcp(), free_tcp());
    let agent = Agent::start(vec![host("s-a", a), host("s-b", b)]);
    let edge = format!("classes = [\"log-upload\"]\nkeep_s = {KEEP_S}");
    let Some(fleet) = Fleet::start(case, 3, &agent, &edge, &classes()) else {
        return Verdict::CannotRun;
    };
    // No server can be reached; the write is kept.
    let upload = Request {
        line: "POST /log-upload/contest",
        key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        member: Some("pa3xyz"),
        left_ms: 2000,
        more: "Prefer: respond-async\r\n",
        body: BODY,
    };
    if !(0..3).any(|_| ask(case, fleet.listen(0), &upload).is_some_and(|m| m.status() == 202)) {
        return Verdict::CannotRun;
    }
    let kept = std::time::Instant::now();
    if case.trouble {
        let mut new = classes();
        new[2].repeat = "idempotent";
        (0..3).for_each(|n| fleet.daemon(n).reload(&fleet.config(n, &new)));
        let taken = || (0..3).all(|n| fleet.daemon(n).figure("sidecar.sighup_applied") == Some(1));
        if !case.wait("the new configuration is applied", seconds(3.0), taken) {
            return Verdict::CannotRun;
        }
    }
    std::thread::sleep(seconds(1.0));
    let _servers = [("s-a", a), ("s-b", b)]
        .map(|at| Server::start(case, &group, at, seconds(1.5), |_, _| Deed::Run(seconds(0.02))));
    case.log("the servers are back");
    // Little traffic, all of it served, until the time for which the write is kept is over.
    let mut refused = 0;
    while kept.elapsed() < seconds(KEEP_S + 5.0) {
        let lookup =
            Request { line: "GET /call-lookup/pa3xyz", key: None, member: None, left_ms: 750, more: "", body: "" };
        for n in 0..3 {
            refused += u32::from(ask(case, fleet.listen(n), &lookup).is_none_or(|m| m.status() != 200));
        }
        std::thread::sleep(seconds(1.0));
    }
    fleet.edge(&["show"]);
    let effects = group.effects(BODY);
    case.log(format!("{refused} lookups were not served; the acknowledged write ran {effects} times in {KEEP_S} s"));
    if effects > 0 {
        Verdict::Held
    } else if refused > 6 {
        Verdict::CannotRun
    } else {
        Verdict::Broken
    }
}
