//! Measures how long a change takes until it is in force, and what it costs, for several sizes of fleet:
//! `cargo run --release -p millethook-distribution --example scale -- 60,300,1800`. The second argument `short` leaves
//! out the longest documents, and `lists` measures lists of servers instead; the third argument lists seeds. Prints CSV.
//! Datagrams take 1 to 4 ms, within a region and between regions; bytes are those of the contents plus 15 bytes of frame
//! each.

mod lists;

use millethook_distribution::{
    ControlEvent, ControlMember, ControlNode, DistributionConfig, DocumentKey, Identity, Limits,
    Micros, Scope, Subscriber, SubscriberEvent, Token, Version,
};
use millethook_machine::sim::{Fleet, Machine, OVERHEAD_BYTES, SECOND as S};

const CONTROL: u16 = 36;
const ZONES: u32 = 6;

enum Member {
    Control(Box<ControlNode>),
    /// The second value is the number of bytes that it received.
    Sidecar(Box<Subscriber>, u64),
}

impl Member {
    /// The host accepts everything that is offered.
    fn accept_all(&mut self, now: Micros) {
        if let Member::Sidecar(sidecar, _) = self {
            while let Some(SubscriberEvent::Offered { documents }) = sidecar.poll_event() {
                let versions: Vec<Version> = documents.iter().map(|d| d.version).collect();
                sidecar.accept(now, &versions).expect("what is offered can be taken");
            }
        }
    }
}

impl Machine for Member {
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        match self {
            Member::Control(node) => node.handle(now, from, content),
            Member::Sidecar(sidecar, received) => {
                *received += content.len() as u64 + OVERHEAD_BYTES;
                sidecar.handle(now, from, content);
            }
        }
        self.accept_all(now);
    }
    fn tick(&mut self, now: Micros) {
        match self {
            Member::Control(node) => node.tick(now),
            Member::Sidecar(sidecar, _) => sidecar.tick(now),
        }
        self.accept_all(now);
    }
    fn poll_timeout(&self) -> Micros {
        match self {
            Member::Control(node) => node.poll_timeout(),
            Member::Sidecar(sidecar, _) => sidecar.poll_timeout(),
        }
    }
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)> {
        let message = match self {
            Member::Control(node) => node.poll_transmit(),
            Member::Sidecar(sidecar, _) => sidecar.poll_transmit(),
        };
        message.map(|(to, content)| (Some(to), content))
    }
}

/// Control nodes are spread over the zones; so are the sidecars, which are numbered after them.
fn zone(number: u16) -> u32 {
    u32::from(number) % ZONES
}

fn region(number: u16) -> u32 {
    zone(number) / 2
}

/// Starts a process without a snapshot.
fn start(fleet: &mut Fleet<Member>, n: u16) {
    start_with_lists(fleet, n, Vec::new());
}

/// Does the same for a process that subscribes to these lists.
fn start_with_lists(fleet: &mut Fleet<Member>, n: u16, lists: Vec<u32>) {
    let control_nodes = (0..CONTROL)
        .map(|n| ControlMember { number: n, region: region(n), zone: zone(n) })
        .collect();
    let service = u32::from(n) % 1_300;
    let config = DistributionConfig {
        me: n,
        members: fleet.nodes.len() as u16,
        control_nodes,
        identity: Identity { region: region(n), zone: zone(n), service, number: n },
        lists,
        limits: Limits::default(),
        seed: fleet.below(u64::MAX),
    };
    fleet.start(n, |now| {
        if n < CONTROL {
            Member::Control(Box::new(ControlNode::new(config, None, now)))
        } else {
            Member::Sidecar(Box::new(Subscriber::new(config, None, now)), 0)
        }
    });
}

struct Run {
    fleet: Fleet<Member>,
    sidecars: u16,
    seed: u64,
    key: DocumentKey,
}

impl Run {
    fn new(sidecars: u16, seed: u64) -> Run {
        let members = CONTROL + sidecars;
        let mut fleet = Fleet::new(members, seed);
        (0..members).for_each(|n| start(&mut fleet, n));
        let key = DocumentKey::configuration(Scope::All);
        let mut run = Run { fleet, sidecars, seed, key };
        run.fleet.run(8 * S);
        run.lease(0, 1);
        run.fleet.run(3 * S);
        run
    }

    fn lease(&mut self, n: u16, counter: u32) {
        let token = Token { epoch: 1_700_000_000_000, counter, owner: n };
        self.fleet.with(n, |member, now| {
            if let Member::Control(node) = member {
                node.announce_writer(now, token);
            }
        });
    }

    fn publish(&mut self, n: u16, length: usize) -> Version {
        let body: Vec<u8> = (0..length).map(|n| (n % 251) as u8).collect();
        let key = self.key;
        let done = self.fleet.with(n, |member, now| match member {
            Member::Control(node) => node.publish(now, key, Some(body)).expect("it is the writer"),
            Member::Sidecar(..) => unreachable!("control nodes publish"),
        });
        done.expect("the writer runs")
    }

    fn row(&self, measurement: &str, unit: &str, size_of: &str, size: u64, value: f64) {
        println!("{measurement},{unit},{size_of},{size},{},{value:.3},virtual,any,none", self.seed);
    }

    /// Measures how long it takes until all sidecars have the same version in force.
    fn measure_convergence(&mut self, what: &str) {
        let begin = self.fleet.now;
        loop {
            self.fleet.run(S / 50);
            let versions = self.fleet.machines().filter_map(|member| match member {
                Member::Sidecar(sidecar, _) => Some(sidecar.version_in_force(self.key)),
                Member::Control(_) => None,
            });
            let versions: std::collections::BTreeSet<_> = versions.collect();
            if versions.len() == 1 || self.fleet.now > begin + 30 * S {
                break;
            }
        }
        let took = (self.fleet.now - begin) as f64 / S as f64;
        self.row(&format!("same_everywhere_{what}"), "s", "sidecars", self.sidecars.into(), took);
        self.fleet.run(4 * S);
    }

    /// Publishes, and prints when 50, 99 and 100 of 100 of the sidecars in `among` have the document in force.
    fn measure_change(
        &mut self,
        what: &str,
        writer: u16,
        length: usize,
        among: impl Fn(u16) -> bool,
    ) {
        let numbers: Vec<u16> = (CONTROL..CONTROL + self.sidecars).filter(|n| among(*n)).collect();
        let before: Vec<u64> = self.fleet.nodes.iter().map(|n| n.sent.0).collect();
        let version = self.publish(writer, length);
        let (begin, mut left) = (self.fleet.now, numbers.clone());
        let mut marks = [None; 3];
        while !left.is_empty() && self.fleet.now < begin + 30 * S {
            self.fleet.run(S / 50);
            let (nodes, key) = (&self.fleet.nodes, self.key);
            left.retain(|n| match &nodes[usize::from(*n)].machine {
                Some(Member::Sidecar(sidecar, _)) => sidecar.version_in_force(key) < Some(version),
                _ => false,
            });
            let here = numbers.len() - left.len();
            for (mark, share) in marks.iter_mut().zip([0.50, 0.99, 1.0]) {
                if mark.is_none() && here as f64 >= share * numbers.len() as f64 {
                    *mark = Some((self.fleet.now - begin) as f64 / S as f64);
                }
            }
        }
        let sidecars = u64::from(self.sidecars);
        for (mark, share) in marks.iter().zip([50, 99, 100]) {
            let name = format!("in_force_{share}_{what}_{length}B");
            self.row(&name, "s", "sidecars", sidecars, mark.unwrap_or(f64::INFINITY));
        }
        let sent = |n: usize| (self.fleet.nodes[n].sent.0 - before[n]) as f64;
        let control = (0..usize::from(CONTROL)).map(sent);
        let most = control.clone().fold(0.0, f64::max);
        let name = format!("sent_by_control_node_{what}_{length}B");
        self.row(&name, "bytes", "sidecars", sidecars, control.sum::<f64>() / f64::from(CONTROL));
        self.row(&format!("{name}_most"), "bytes", "sidecars", sidecars, most);
        self.fleet.run(4 * S);
    }

    /// Measures the bytes a second of one sidecar and of one control node while nothing changes.
    fn measure_idle(&mut self) {
        self.fleet.run(2 * S);
        let before: Vec<u64> = self.fleet.nodes.iter().map(|n| n.sent.0).collect();
        self.fleet.run(10 * S);
        let rate = |n: usize| (self.fleet.nodes[n].sent.0 - before[n]) as f64 / 10.0;
        let (control, all) = (usize::from(CONTROL), self.fleet.nodes.len());
        let mean = |of: std::ops::Range<usize>| of.clone().map(rate).sum::<f64>() / of.len() as f64;
        let sidecars = u64::from(self.sidecars);
        self.row("sidecar_sends_quiet", "bytes/s", "sidecars", sidecars, mean(control..all));
        self.row("control_node_sends_quiet", "bytes/s", "sidecars", sidecars, mean(0..control));
        let most = (0..control).map(rate).fold(0.0, f64::max);
        self.row("control_node_sends_quiet_most", "bytes/s", "sidecars", sidecars, most);
    }

    /// Measures how long it takes until the writer knows that a change is in force everywhere.
    fn measure_report_delay(&mut self) {
        let version = self.publish(0, 200);
        let begin = self.fleet.now;
        let whole = |member: &mut Member, now| match member {
            Member::Control(node) => node.report(now, version).is_some_and(|r| r.is_complete()),
            Member::Sidecar(..) => false,
        };
        while !self.fleet.with(0, whole).unwrap_or(false) && self.fleet.now < begin + 30 * S {
            self.fleet.run(S / 50);
        }
        let took = (self.fleet.now - begin) as f64 / S as f64;
        self.row("known_in_force_at_writer", "s", "sidecars", self.sidecars.into(), took);
    }

    /// Restarts all sidecars within 30 s without their snapshots, and measures how long after its start the last one
    /// has the document, and the most bytes that a control node sends in a second.
    fn measure_cold_start(&mut self) {
        let sidecars: Vec<u16> = (CONTROL..CONTROL + self.sidecars).collect();
        sidecars.iter().for_each(|n| self.fleet.kill(*n));
        let mut starts: Vec<(Micros, u16)> =
            sidecars.iter().map(|n| (self.fleet.now + self.fleet.below(30 * S), *n)).collect();
        starts.sort_unstable();
        let (mut starts, mut waiting) = (std::collections::VecDeque::from(starts), Vec::new());
        let (mut most, mut slowest) = (0u64, 0);
        let mut before: Vec<u64> = self.fleet.nodes.iter().map(|n| n.sent.0).collect();
        let begin = self.fleet.now;
        for step in 1.. {
            while starts.front().is_some_and(|(at, _)| *at <= self.fleet.now) {
                let Some((at, n)) = starts.pop_front() else { break };
                start(&mut self.fleet, n);
                waiting.push((at, n));
            }
            self.fleet.run(S / 50);
            let (nodes, key, now) = (&self.fleet.nodes, self.key, self.fleet.now);
            waiting.retain(|(at, n)| match &nodes[usize::from(*n)].machine {
                Some(Member::Sidecar(sidecar, _)) if sidecar.version_in_force(key).is_some() => {
                    slowest = slowest.max(now - at);
                    false
                }
                _ => true,
            });
            if step % 50 == 0 {
                for (node, before) in self.fleet.nodes.iter().zip(&mut before[..CONTROL.into()]) {
                    most = most.max(node.sent.0 - std::mem::replace(before, node.sent.0));
                }
            }
            if starts.is_empty() && waiting.is_empty() || now > begin + 90 * S {
                break;
            }
        }
        let size = self.sidecars.into();
        let left = (starts.len() + waiting.len()) as f64;
        self.row("cold_start_in_30s_slowest", "s", "sidecars", size, slowest as f64 / S as f64);
        self.row("cold_start_in_30s_without", "sidecars", "sidecars", size, left);
        self.row("cold_start_in_30s_control_node_most", "bytes/s", "sidecars", size, most as f64);
    }

    fn control_events(&mut self) {
        for n in 0..CONTROL {
            self.fleet.with(n, |member, _| {
                if let Member::Control(node) = member {
                    while let Some(ControlEvent::Stored(_)) = node.poll_event() {}
                }
            });
        }
    }
}

fn main() {
    let sizes = std::env::args().nth(1).unwrap_or_else(|| "60,300,1800".into());
    let parts = std::env::args().nth(2).unwrap_or_else(|| "all".into());
    println!("measurement,unit,size_of,size,seed,value,kind,machine,load");
    let seeds = std::env::args().nth(3).unwrap_or_else(|| "7".into());
    let seeds: Vec<u64> = seeds.split(',').filter_map(|seed| seed.parse().ok()).collect();
    let sizes = sizes.split(',').filter_map(|size| size.parse::<u16>().ok());
    for (sidecars, seed) in sizes.flat_map(|size| seeds.iter().map(move |seed| (size, *seed))) {
        if parts == "lists" {
            lists::measure(sidecars, seed);
            continue;
        }
        let mut run = Run::new(sidecars, seed);
        run.measure_idle();
        run.measure_change("quiet", 0, 200, |_| true);
        run.measure_report_delay();
        run.measure_change("quiet", 0, 2_048, |_| true);
        run.control_events();
        let with_64_kib = parts != "short";
        if with_64_kib {
            run.measure_change("quiet", 0, 65_536, |_| true);
        }
        run.fleet.loss = 0.2;
        for length in [200, 2_048, 65_536].into_iter().take(if with_64_kib { 3 } else { 2 }) {
            run.measure_change("loss20", 0, length, |_| true);
        }
        run.fleet.loss = 0.0;
        run.fleet.run(4 * S);
        // Region 1 is cut off; the writer is in region 0.
        run.fleet.passes = Box::new(|a, b| (region(a) == 1) == (region(b) == 1));
        run.fleet.run(S);
        run.measure_change("region_cut", 0, 200, |n| region(n) != 1);
        run.fleet.passes = Box::new(|_, _| true);
        run.measure_convergence("region_healed");
        // The control nodes and sidecars of zone 5 are down; the sidecars of zone 4 had their second control node
        // there.
        let gone: Vec<u16> = (0..CONTROL + sidecars).filter(|n| zone(*n) == 5).collect();
        gone.iter().for_each(|n| run.fleet.kill(*n));
        run.measure_change("zone_gone", 0, 200, |n| zone(n) != 5);
        run.measure_change("zone_gone_later", 0, 2_048, |n| zone(n) != 5);
        gone.iter().filter(|n| **n < CONTROL).for_each(|n| start(&mut run.fleet, *n));
        run.fleet.run(10 * S);
        run.measure_cold_start();
    }
}
