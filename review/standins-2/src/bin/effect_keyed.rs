//! A kept write that must not run twice, and a new configuration under which its class is keyed.

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
    let Some(fleet) = Fleet::start(case, 3, &agent, "classes = [\"qsl-order\"]", &classes()) else {
        return Verdict::CannotRun;
    };
    let servers = || {
        // The answer to the first arrival of the write is lost: the connection is reset after it has run.
        let decide = |m: &Message, before: usize| match (m.text() == BODY, before) {
            (true, 0) => Deed::RunAndReset,
            _ => Deed::Run(seconds(0.02)),
        };
        [("s-a", a), ("s-b", b)].map(|at| Server::start(case, &group, at, seconds(1.5), decide))
    };
    // Usual traffic before.
    let before = servers();
    for n in 0..40 {
        let lookup =
            Request { line: "GET /call-lookup/pa3xyz", key: None, member: None, left_ms: 750, more: "", body: "" };
        if ask(case, fleet.listen(n % 3), &lookup).is_none_or(|m| m.status() != 200) {
            return Verdict::CannotRun;
        }
    }
    before.into_iter().for_each(Server::die);
    case.log("no server can be reached");
    let order = Request {
        line: "POST /qsl-order/print",
        key: None,
        member: Some("pa3xyz"),
        left_ms: 1500,
        more: "Prefer: respond-async\r\n",
        body: BODY,
    };
    // The first one may find that out, and be refused: trying again is harmless then.
    if !(0..3).any(|_| ask(case, fleet.listen(0), &order).is_some_and(|m| m.status() == 202)) {
        return Verdict::CannotRun;
    }
    if case.trouble {
        let mut new = classes();
        new[1].repeat = "deduplicated";
        (0..3).for_each(|n| fleet.daemon(n).reload(&fleet.config(n, &new)));
        let taken = || (0..3).all(|n| fleet.daemon(n).figure("sidecar.sighup_applied") == Some(1));
        if !case.wait("the new configuration is applied", seconds(3.0), taken) {
            return Verdict::CannotRun;
        }
    }
    std::thread::sleep(seconds(1.0));
    let _servers = servers();
    case.log("the servers are back");
    if !case.wait("the write is sent", seconds(20.0), || group.seen(BODY) > 0) {
        return Verdict::CannotRun;
    }
    std::thread::sleep(seconds(8.0));
    fleet.edge(&["show"]);
    let effects = group.effects(BODY);
    case.log(format!("the order ran {effects} times"));
    if effects > 1 { Verdict::Broken } else { Verdict::Held }
}
