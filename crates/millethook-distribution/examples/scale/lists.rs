//! The costs of server lists: while nothing changes, after a start, and with each change.

use std::collections::VecDeque;

use millethook_distribution::{DocumentKey, Micros, Token, Version};
use millethook_machine::sim::{Fleet, SECOND as S};

use super::{CONTROL, Member, start_with_lists};

const SERVICES: u32 = 1_300;
/// The service whose list, with this many servers, every sidecar subscribes to; the other lists have [`SERVERS`].
const LARGE: u32 = 0;
const LARGE_SERVERS: usize = 1_000;
/// A service with few servers whose list every sidecar subscribes to.
const SMALL: u32 = 1;
const SERVERS: usize = 12;
/// The number of lists that a sidecar subscribes to in runs that measure changes.
const WANTED: u32 = 20;

/// A list of servers, without the servers for which `is_removed` is true; server `changed` has a different weight.
fn body(
    service: u32,
    servers: usize,
    changed: usize,
    is_removed: impl Fn(usize) -> bool,
) -> Vec<u8> {
    let server = |n: usize| {
        let weight = if n == changed { 7 } else { 100 };
        format!("s{service:04}-{n:05} 10.{service}.{}.{}:8080 {weight}\n", n / 250, n % 250)
    };
    (0..servers).filter(|n| !is_removed(*n)).map(server).collect::<String>().into_bytes()
}

/// The lists that a sidecar subscribes to: the first `common` ones are common to all sidecars, the others are spread
/// over all services.
fn wanted(n: u16, count: u32, common: u32) -> Vec<u32> {
    let first = 0..common.min(count);
    let others =
        (0..count - common.min(count)).map(|k| 2 + (u32::from(n) * 61 + k * 7) % (SERVICES - 2));
    first.chain(others).collect()
}

struct Lists {
    fleet: Fleet<Member>,
    sidecars: u16,
    seed: u64,
    /// The number of lists that each sidecar subscribes to, and how many of these are common to all.
    count: u32,
    common: u32,
}

/// The cost of a change.
struct ChangeCost {
    in_force: [f64; 3],
    received_mean: f64,
    received_most: f64,
}

impl Lists {
    fn new(sidecars: u16, seed: u64, count: u32, common: u32) -> Lists {
        let members = CONTROL + sidecars;
        let mut fleet = Fleet::new(members, seed);
        for n in 0..members {
            let lists = if n < CONTROL { Vec::new() } else { wanted(n, count, common) };
            start_with_lists(&mut fleet, n, lists);
        }
        let mut lists = Lists { fleet, sidecars, seed, count, common };
        lists.fleet.run(8 * S);
        let token = Token { epoch: 1_700_000_000_000, counter: 1, owner: 0 };
        lists.fleet.with(0, |member, now| {
            if let Member::Control(node) = member {
                node.announce_writer(now, token);
            }
        });
        lists.fleet.run(3 * S);
        for service in 2..SERVICES {
            lists.publish(service, body(service, SERVERS, 0, |_| false));
            lists.fleet.run(S / 100);
        }
        lists.fleet.run(10 * S);
        lists
    }

    fn publish(&mut self, service: u32, body: Vec<u8>) -> Version {
        let key = DocumentKey::server_list(service);
        let done = self.fleet.with(0, |member, now| match member {
            Member::Control(node) => node.publish(now, key, Some(body)).expect("it is the writer"),
            Member::Sidecar(..) => unreachable!("control nodes publish"),
        });
        done.expect("the writer runs")
    }

    fn row(&self, measurement: &str, unit: &str, value: f64) {
        let (sidecars, seed) = (self.sidecars, self.seed);
        println!("{measurement},{unit},sidecars,{sidecars},{seed},{value:.3},virtual,any,none");
    }

    /// Bytes that each sidecar received.
    fn received(&self) -> Vec<u64> {
        let received = |member: &Member| match member {
            Member::Sidecar(_, received) => Some(*received),
            Member::Control(_) => None,
        };
        self.fleet.machines().filter_map(received).collect()
    }

    fn sent(&self) -> Vec<u64> {
        self.fleet.nodes.iter().map(|node| node.sent.0).collect()
    }

    /// Measures the bytes a second while nothing changes.
    fn measure_idle(&mut self, what: &str) {
        let seconds = 20;
        let (sent, received) = (self.sent(), self.received());
        self.fleet.run(seconds * S);
        let rate = |before: &[u64], after: &[u64]| {
            let bytes: u64 = after.iter().zip(before).map(|(after, before)| after - before).sum();
            bytes as f64 / seconds as f64 / before.len() as f64
        };
        let (after, split) = (self.sent(), usize::from(CONTROL));
        let name = format!("lists_{}_of_{SERVICES}_{what}", self.count);
        self.row(
            &format!("{name}_sidecar_sends"),
            "bytes/s",
            rate(&sent[split..], &after[split..]),
        );
        self.row(&format!("{name}_sidecar_receives"), "bytes/s", rate(&received, &self.received()));
        self.row(
            &format!("{name}_control_node_sends"),
            "bytes/s",
            rate(&sent[..split], &after[..split]),
        );
    }

    /// Publishes, and prints when 50, 99 and 100 of 100 sidecars have the list in force, and the bytes to each sidecar
    /// until 2 s after that, without those that it receives when nothing changes.
    fn measure_change(&mut self, what: &str, service: u32, body: Vec<u8>) {
        let idle_before = self.received();
        self.fleet.run(2 * S);
        let before = self.received();
        let version = self.publish(service, body);
        let cost = self.measure_until_in_force(service, version, &idle_before, &before);
        for (mark, share) in cost.in_force.iter().zip([50, 99, 100]) {
            self.row(&format!("list_{what}_in_force_{share}"), "s", *mark);
        }
        self.row(&format!("list_{what}_to_sidecar"), "bytes", cost.received_mean);
        self.row(&format!("list_{what}_to_sidecar_most"), "bytes", cost.received_most);
    }

    fn measure_until_in_force(
        &mut self,
        service: u32,
        version: Version,
        idle_before: &[u64],
        before: &[u64],
    ) -> ChangeCost {
        let key = DocumentKey::server_list(service);
        let begin = self.fleet.now;
        let mut in_force = [f64::INFINITY; 3];
        while in_force[2].is_infinite() && self.fleet.now < begin + 30 * S {
            self.fleet.run(S / 50);
            let here = self.fleet.machines().filter(|member| match member {
                Member::Sidecar(sidecar, _) => sidecar.version_in_force(key) >= Some(version),
                Member::Control(_) => false,
            });
            let share = here.count() as f64 / f64::from(self.sidecars);
            for (mark, least) in in_force.iter_mut().zip([0.50, 0.99, 1.0]) {
                if mark.is_infinite() && share >= least {
                    *mark = (self.fleet.now - begin) as f64 / S as f64;
                }
            }
        }
        self.fleet.run(2 * S);
        let seconds = (self.fleet.now - begin) as f64 / S as f64;
        let idle_bytes: u64 =
            before.iter().zip(idle_before).map(|(before, idle_before)| before - idle_before).sum();
        let idle_bytes = idle_bytes as f64 / before.len() as f64 / 2.0 * seconds;
        let received = self.received();
        let bytes = received.iter().zip(before).map(|(after, before)| (after - before) as f64);
        let (sum, most) = bytes.fold((0.0, 0.0f64), |(sum, most), b| (sum + b, most.max(b)));
        let received_mean = sum / f64::from(self.sidecars) - idle_bytes;
        ChangeCost { in_force, received_mean, received_most: most - idle_bytes }
    }

    /// Measures the changes of a list at the present loss.
    fn measure_changes(&mut self, loss: &str) {
        for (name, service, servers) in [("1000", LARGE, LARGE_SERVERS), ("12", SMALL, SERVERS)] {
            let sixth = |n: usize| n % 6 == 3;
            let what = |what: &str| format!("{name}_{what}_{loss}");
            self.measure_change(
                &what("one_changes"),
                service,
                body(service, servers, 5, |_| false),
            );
            self.measure_change(&what("sixth_leaves"), service, body(service, servers, 5, sixth));
            self.measure_change(
                &what("sixth_comes"),
                service,
                body(service, servers, 5, |_| false),
            );
            // It has nothing in common with the previous content: this is what each change cost before there were
            // deltas.
            let other = body(service + 2_000, servers, 5, |_| false);
            self.measure_change(
                &what("whole"),
                service,
                other.iter().map(|byte| byte ^ 0x80).collect(),
            );
            self.measure_change(
                &what("whole_again"),
                service,
                body(service, servers, 0, |_| false),
            );
        }
    }

    /// Restarts all sidecars within 30 s without snapshots, and measures how long after its start the last one has all
    /// its lists.
    fn measure_cold_start(&mut self, what: &str) {
        let numbers: Vec<u16> = (CONTROL..CONTROL + self.sidecars).collect();
        numbers.iter().for_each(|n| self.fleet.kill(*n));
        let begin = self.fleet.now;
        let mut starts: Vec<(Micros, u16)> =
            numbers.iter().map(|n| (begin + self.fleet.below(30 * S), *n)).collect();
        starts.sort_unstable();
        let (mut starts, mut waiting) = (VecDeque::from(starts), Vec::new());
        let mut took = Vec::new();
        let (mut node_most, mut before) = (0, self.sent());
        let mut received_before = vec![0; self.fleet.nodes.len()];
        let mut sidecar_most = 0;
        for step in 1.. {
            while starts.front().is_some_and(|(at, _)| *at <= self.fleet.now) {
                let Some((at, n)) = starts.pop_front() else { break };
                start_with_lists(&mut self.fleet, n, wanted(n, self.count, self.common));
                waiting.push((at, n));
            }
            self.fleet.run(S / 50);
            let (nodes, now, count) = (&self.fleet.nodes, self.fleet.now, self.count as usize);
            waiting.retain(|(at, n)| match &nodes[usize::from(*n)].machine {
                Some(Member::Sidecar(sidecar, _)) if sidecar.in_force().len() >= count => {
                    took.push(now - at);
                    false
                }
                _ => true,
            });
            if step % 50 == 0 {
                for (n, node) in self.fleet.nodes.iter().enumerate() {
                    if n < usize::from(CONTROL) {
                        node_most = node_most.max(node.sent.0 - before[n]);
                        before[n] = node.sent.0;
                    } else if let Some(Member::Sidecar(_, received)) = &node.machine {
                        sidecar_most = sidecar_most.max(received - received_before[n]);
                        received_before[n] = *received;
                    }
                }
            }
            if starts.is_empty() && waiting.is_empty() || now > begin + 90 * S {
                break;
            }
        }
        took.sort_unstable();
        let at = |share: f64| {
            let index = (took.len() as f64 * share) as usize;
            let index = index.min(took.len().saturating_sub(1));
            took.get(index).map_or(f64::INFINITY, |took| *took as f64 / S as f64)
        };
        let name = format!("lists_{}_start_in_30s_{what}", self.count);
        self.row(&format!("{name}_50"), "s", at(0.5));
        self.row(&format!("{name}_99"), "s", at(0.99));
        self.row(&format!("{name}_100"), "s", at(1.0));
        self.row(&format!("{name}_without"), "sidecars", waiting.len() as f64);
        self.row(&format!("{name}_control_node_most"), "bytes/s", node_most as f64);
        self.row(&format!("{name}_sidecar_most"), "bytes/s", sidecar_most as f64);
        self.fleet.run(10 * S);
    }
}

/// Runs all measurements for a fleet of this size.
pub fn measure(sidecars: u16, seed: u64) {
    for count in [1, 20, 60] {
        let mut lists = Lists::new(sidecars, seed, count, 0);
        lists.measure_idle("quiet");
        lists.fleet.loss = 0.2;
        lists.fleet.run(5 * S);
        lists.measure_idle("loss20");
    }
    let mut lists = Lists::new(sidecars, seed, WANTED, 2);
    lists.publish(SMALL, body(SMALL, SERVERS, 0, |_| false));
    lists.measure_change("1000_first_quiet", LARGE, body(LARGE, LARGE_SERVERS, 0, |_| false));
    lists.measure_changes("quiet");
    lists.measure_cold_start("quiet");
    lists.fleet.loss = 0.2;
    lists.measure_changes("loss20");
    lists.measure_cold_start("loss20");
}
