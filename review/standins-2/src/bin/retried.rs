//! A keyed write whose answer is lost as the servers go away, and the client's retry, which is kept.

use standins_2::*;

const BODY: &str = "contest log";
/// The class's `window`: the servers drop repeats of a key for so long, from the first on.
const WINDOW_S: f64 = 1.5;
/// For how long the servers of the zone are down: 5 s at most.
const DOWN_S: f64 = 4.8;

fn main() {
    let case = Case::open();
    let verdict = run(&case);
    case.end(verdict)
}

fn run(case: &Case) -> Verdict {
    let group = Group::default();
    let (a, b) = (free_tcp(), free_tcp());
    let start = || {
        // An upload takes 0.2 s; its effect takes place as it begins.
        let decide = |m: &Message, _: usize| Deed::Run(seconds(if m.text() == BODY { 0.2 } else { 0.03 }));
        [("s-a", a), ("s-b", b)].map(|at| Server::start(case, &group, at, seconds(WINDOW_S), decide))
    };
    let agent = Agent::start(vec![host("s-a", a), host("s-b", b)]);
    let mut servers = Some(start());
    let Some(fleet) = Fleet::start(case, 3, &agent, "classes = [\"log-upload\"]", &classes()) else {
        return Verdict::CannotRun;
    };
    // Usual traffic before.
    for n in 0..20 {
        let lookup =
            Request { line: "GET /call-lookup/pa3xyz", key: None, member: None, left_ms: 750, more: "", body: "" };
        if ask(case, fleet.listen(n % 3), &lookup).is_none_or(|m| m.status() != 200) {
            return Verdict::CannotRun;
        }
    }
    let upload = Request {
        line: "POST /log-upload/contest",
        key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        member: Some("pa3xyz"),
        left_ms: 2000,
        more: "Prefer: respond-async\r\n",
        body: BODY,
    };
    let mut down = std::time::Instant::now();
    let first = std::thread::scope(|scope| {
        let first = scope.spawn(|| ask(case, fleet.listen(0), &upload));
        case.wait("the write arrives", seconds(2.0), || group.seen(BODY) > 0);
        if case.trouble {
            down = std::time::Instant::now();
            // The servers die before they have answered it.
            servers.take().into_iter().flatten().for_each(Server::die);
            case.log("the servers are down");
        }
        first.join().expect("a client")
    });
    // The client tries again, inside the window: at once, and once more if it is told to.
    let mut status = first.map(|m| m.status());
    for _ in 0..2 {
        if matches!(status, Some(200 | 202)) {
            break;
        }
        status = ask(case, fleet.listen(0), &upload).map(|m| m.status());
    }
    case.log(format!("the client's last answer: {status:?}"));
    std::thread::sleep(seconds(DOWN_S).saturating_sub(down.elapsed()));
    if case.trouble {
        servers = Some(start());
        case.log("the servers are back");
    }
    std::thread::sleep(seconds(10.0));
    fleet.edge(&["show"]);
    let effects = group.effects(BODY);
    case.log(format!("the upload took effect {effects} times"));
    drop(servers);
    match (effects, status) {
        (0, _) => Verdict::CannotRun,
        (1, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
