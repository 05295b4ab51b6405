//! A change that is stopped after the control nodes were restarted, and what was before it.

use standins_2::*;
use std::path::PathBuf;
use std::process::Command;
use std::thread::sleep;

const MEMBERS: usize = 6;
const CONTROL_NODES: usize = 3;
/// These are in another zone, and away while the change is published.
const AWAY: [usize; 2] = [4, 5];

fn main() {
    let case = Case::open();
    let verdict = run(&case);
    case.end(verdict)
}

struct Tier<'c> {
    case: &'c Case,
    daemons: Vec<Option<Daemon>>,
    peers: Vec<std::net::SocketAddr>,
    addresses: Vec<(std::net::SocketAddr, std::net::SocketAddr)>,
    discovery: std::net::SocketAddr,
}

impl Tier<'_> {
    fn spool(&self, n: usize) -> PathBuf {
        self.case.folder.join(format!("spool-{n}"))
    }

    fn start_one(&mut self, n: usize) {
        let product = self.case.folder.join(format!("product-{n}.toml"));
        let publish = match n < CONTROL_NODES {
            true => format!("publish = \"{}\"\n", self.spool(n).display()),
            false => String::new(),
        };
        let zone = usize::from(AWAY.contains(&n));
        let text = format!(
            "[fleet]\nname = \"logboek\"\n\n[lease]\n\n[distribution]\nregion = \"{}\"\nzone = \"{}\"\nservice = \"logboek\"\n\
             control_nodes = [\n  {{ member = 0, region = \"west\", zone = \"utrecht\" }},\n  {{ member = 1, region = \"west\", zone = \"utrecht\" }},\n  \
             {{ member = 2, region = \"west\", zone = \"utrecht\" }},\n]\nsnapshot = \"{}\"\n{publish}",
            ["west", "north"][zone],
            ["utrecht", "groningen"][zone],
            self.case.folder.join(format!("documents-{n}")).display(),
        );
        std::fs::write(&product, text).expect("the product's file is written");
        let (listen, admin) = self.addresses[n];
        let config = lb_config((n, &format!("n{n}")), (listen, admin, self.discovery), &self.peers, &classes());
        let config = config.replace("\"zone\":0,", &format!("\"zone\":{zone},"));
        self.daemons[n] = Some(Daemon::start(self.case, &format!("n{n}"), Some(&product), self.addresses[n], &config));
    }

    fn daemon(&self, n: usize) -> &Daemon {
        self.daemons[n].as_ref().expect("it runs")
    }

    fn figure(&self, n: usize, name: &str) -> Option<u64> {
        self.daemon(n).figure(&format!("sidecar.distribution.{name}"))
    }

    fn writer(&self) -> Option<usize> {
        (0..CONTROL_NODES).find(|n| self.figure(*n, "control.writer_ready") == Some(1))
    }

    /// Publishes at the writer and returns what `plankvale config publish` prints.
    fn publish(&self, name: &str, document: &str, wait_s: u32) -> Option<String> {
        let case = self.case;
        let mut writer = None;
        if !case.wait("a writer", seconds(25.0), || {
            writer = self.writer();
            writer.is_some()
        }) {
            return None;
        }
        let file = case.folder.join(format!("{name}.json"));
        std::fs::write(&file, document).ok()?;
        let mut command = Command::new("target/release/plankvale");
        command.current_dir(&case.root).args(["config", "publish"]).arg(&file).args(["--scope", "all", "--into"]);
        command.arg(self.spool(writer?)).args(["--wait", &wait_s.to_string()]);
        let output = command.output().ok()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        case.log(format!("operator: publish {name} at n{}: {}", writer?, text.trim().replace('\n', " / ")));
        Some(text)
    }

    /// The answers to one request of the class that the first document brings, at each of these sidecars.
    fn statuses(&self, members: &[usize]) -> Vec<u16> {
        let page = Request { line: "GET /contest-page/1", key: None, member: None, left_ms: 750, more: "", body: "" };
        let status = |n: &usize| ask(self.case, self.addresses[*n].0, &page).map_or(0, |m| m.status());
        members.iter().map(status).collect()
    }
}

fn class(name: &str) -> String {
    format!(
        "{{\"aim\":150000,\"credit\":2.0,\"deadline\":750000,\"dedupScope\":\"all\",\"lateWorth\":0.2,\"name\":\"{name}\",\
         \"repeat\":\"idempotent\",\"streaming\":false,\"window\":5000000}}"
    )
}

fn run(case: &Case) -> Verdict {
    let group = Group::default();
    let at = free_tcp();
    let _server = Server::start(case, &group, ("s-a", at), seconds(5.0), |_, _| Deed::Run(seconds(0.01)));
    let agent = Agent::start(vec![host("s-a", at)]);
    let mut tier = Tier {
        case,
        daemons: (0..MEMBERS).map(|_| None).collect(),
        peers: free_udp(MEMBERS),
        addresses: (0..MEMBERS).map(|_| (free_tcp(), free_tcp())).collect(),
        discovery: agent.address,
    };
    (0..MEMBERS).for_each(|n| tier.start_one(n));
    let ready = |tier: &Tier, n: usize| tier.daemon(n).is_ready();
    if !case.wait("all are ready", seconds(10.0), || (0..MEMBERS).all(|n| ready(&tier, n))) {
        return Verdict::CannotRun;
    }
    let all: Vec<usize> = (0..MEMBERS).collect();
    let here: Vec<usize> = all.iter().copied().filter(|n| !AWAY.contains(n)).collect();
    // The first document: a further class. It is in force everywhere, and on disk.
    let classes = format!("[{},{}]", class("call-lookup"), class("contest-page"));
    let first = tier.publish("first", &format!("{{\"settings\":{{\"classes\":{classes}}}}}"), 30);
    if !first.is_some_and(|text| text.contains("in force everywhere")) || tier.statuses(&all) != [200; MEMBERS] {
        return Verdict::CannotRun;
    }
    // A zone does not run for a while. A change that makes no sense there is published meanwhile.
    AWAY.iter().for_each(|n| tier.daemon(*n).signal("STOP"));
    let second = format!("{{\"settings\":{{\"classes\":{classes},\"zones\":[\"utrecht\"]}}}}");
    if !tier.publish("second", &second, 20).is_some_and(|text| text.contains("in force")) {
        return Verdict::CannotRun;
    }
    if case.trouble {
        // A planned restart of the control nodes, one after the other, each once the one before votes again.
        for n in 0..CONTROL_NODES {
            let mut daemon = tier.daemons[n].take().expect("it runs");
            daemon.signal("TERM");
            if !daemon.ended(seconds(4.0)) {
                return Verdict::CannotRun;
            }
            drop(daemon);
            tier.start_one(n);
            let votes = || tier.figure(n, "control.recovering") == Some(0) && tier.daemon(n).is_ready();
            if !case.wait("the control node votes again", seconds(15.0), votes) {
                return Verdict::CannotRun;
            }
        }
    }
    // The zone is back, and refuses the change.
    AWAY.iter().for_each(|n| tier.daemon(*n).signal("CONT"));
    let refused = || AWAY.iter().all(|n| tier.figure(*n, "refused").unwrap_or(0) > 0);
    if !case.wait("it is refused", seconds(20.0), refused) {
        return Verdict::CannotRun;
    }
    let stopped = || (0..CONTROL_NODES).any(|n| tier.figure(n, "control.stopped").unwrap_or(0) > 0);
    if !case.wait("it is stopped", seconds(25.0), stopped) {
        return Verdict::CannotRun;
    }
    sleep(seconds(4.0));
    // "what was before is put back": the class is known everywhere.
    let (served, away) = (tier.statuses(&here), tier.statuses(&AWAY));
    case.log(format!("the class of the first document is answered {served:?}, in the other zone {away:?}"));
    match served.iter().chain(&away).all(|status| *status == 200) {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
