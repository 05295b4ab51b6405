//! Compares `foca`'s SWIM, configured for a LAN with packets of 241 bytes, with this package's views in the same
//! scenarios.
//!
//!     cargo run --release -p millethook-view --example beside_foca

#[path = "../tests/it/common/mod.rs"]
mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use common::{OVERHEAD, SECOND, Sim};
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec,
    Timer,
};
use millethook_view::Status;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    number: u16,
    epoch: u64,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Id> {
        Some(Id { epoch: self.epoch + 1, ..self.clone() })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        self.epoch > other.epoch
    }
}

enum Pending {
    Delivery(u16, Vec<u8>),
    Timer(u16, Timer<Id>),
}

type Node = Foca<Id, PostcardCodec, SmallRng, foca::NoCustomBroadcast>;

struct Fleet {
    now: u64,
    nodes: Vec<Option<Node>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    due: Vec<Option<Pending>>,
    random: SmallRng,
    loss: f64,
    cut: u16,
    bytes: u64,
    /// Reports that a running member is down.
    false_alarms: u64,
}

impl Fleet {
    fn new(count: u16, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: SECOND,
            nodes: (0..count).map(|_| None).collect(),
            queue: BinaryHeap::new(),
            due: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            cut: 0,
            bytes: 0,
            false_alarms: 0,
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet
    }

    fn start(&mut self, number: u16) {
        let count = self.nodes.len() as u16;
        let mut config = Config::new_lan(NonZeroU32::new(u32::from(count)).expect("some"));
        config.max_packet_size = NonZeroUsize::new(241).expect("some");
        config.periodic_announce_to_down_members = Some(PeriodicParams {
            // As often as this package's views probe dead members.
            frequency: Duration::from_secs(2),
            num_members: NonZeroUsize::new(1).expect("some"),
        });
        let id = Id { number, epoch: self.now };
        let mut node =
            Foca::new(id, config, SmallRng::seed_from_u64(self.random.random()), PostcardCodec);
        let mut runtime = AccumulatingRuntime::new();
        for _ in 0..3 {
            let other = self.random.random_range(0..count);
            if other != number {
                let _ = node.announce(Id { number: other, epoch: 0 }, &mut runtime);
            }
        }
        self.nodes[usize::from(number)] = Some(node);
        self.process_output(number, runtime);
    }

    fn push(&mut self, at: u64, due: Pending) {
        self.due.push(Some(due));
        self.queue.push(Reverse((at, self.due.len() - 1)));
    }

    fn process_output(&mut self, from: u16, mut runtime: AccumulatingRuntime<Id>) {
        while let Some((to, data)) = runtime.to_send() {
            self.bytes += data.len() as u64 + OVERHEAD;
            let cut = (from < self.cut) != (to.number < self.cut);
            if !cut && self.random.random::<f64>() >= self.loss {
                let at = self.now + self.random.random_range(1_000..4_000);
                self.push(at, Pending::Delivery(to.number, data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.push(self.now + after.as_micros() as u64, Pending::Timer(from, timer));
        }
        while let Some(notification) = runtime.to_notify() {
            if let OwnedNotification::MemberDown(id) = notification {
                self.false_alarms += u64::from(self.nodes[usize::from(id.number)].is_some());
            }
        }
    }

    fn run(&mut self, length: u64) {
        let end = self.now + length;
        while self.queue.peek().is_some_and(|Reverse((at, _))| *at <= end) {
            let Some(Reverse((at, n))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            let Some(due) = self.due[n].take() else { continue };
            let mut runtime = AccumulatingRuntime::new();
            let number = match &due {
                Pending::Delivery(number, _) | Pending::Timer(number, _) => *number,
            };
            let Some(node) = &mut self.nodes[usize::from(number)] else { continue };
            // Stale messages and timers are errors in `foca`, and harmless.
            let _ = match due {
                Pending::Delivery(_, data) => node.handle_data(&data, &mut runtime),
                Pending::Timer(_, timer) => node.handle_timer(timer, &mut runtime),
            };
            self.process_output(number, runtime);
        }
        self.now = end;
    }

    fn run_until(&mut self, limit: u64, condition: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let begin = self.now;
        while !condition(self) {
            if self.now >= begin + limit {
                return None;
            }
            self.run(SECOND / 10);
        }
        Some(self.now - begin)
    }

    fn agree(&self) -> bool {
        let running = self.nodes.iter().flatten().count();
        self.nodes.iter().flatten().all(|n| n.num_members() == running - 1)
    }
}

fn seconds(of: &mut [Option<u64>]) -> String {
    of.sort_by_key(|t| t.unwrap_or(u64::MAX));
    of[of.len() / 2].map_or("-".into(), |t| format!("{:.1}", t as f64 / SECOND as f64))
}

const SEEDS: u64 = 9;

fn main() {
    println!(
        "| sidecars | by | agree after the start s | a crash known to all s | after a cut of a third, 30 s: agree s \
         | quiet B/s | called dead in an hour at 30% loss |\n|{}",
        " --- |".repeat(7)
    );
    for size in [8u16, 60, 300] {
        let (mut start, mut crash, mut heal, mut quiet) = (Vec::new(), Vec::new(), Vec::new(), 0.0);
        let mut alarms = String::from("-");
        for seed in 0..SEEDS {
            let mut fleet = Fleet::new(size, seed);
            start.push(fleet.run_until(300 * SECOND, Fleet::agree));
            fleet.run(30 * SECOND);
            fleet.bytes = 0;
            fleet.run(20 * SECOND);
            quiet += fleet.bytes as f64 / f64::from(size) / 20.0 / SEEDS as f64;
            fleet.nodes[usize::from(size / 3)] = None;
            crash.push(fleet.run_until(120 * SECOND, Fleet::agree));
            fleet.start(size / 3);
            fleet.run(30 * SECOND);
            fleet.cut = size / 3;
            fleet.run(30 * SECOND);
            fleet.cut = 0;
            heal.push(fleet.run_until(300 * SECOND, Fleet::agree));
            if size == 8 && seed == 0 {
                (fleet.loss, fleet.false_alarms) = (0.3, 0);
                fleet.run(3_600 * SECOND);
                // Each of the other members reports each alarm.
                alarms = (fleet.false_alarms / u64::from(size - 1)).to_string();
            }
        }
        let (start, crash, heal) = (seconds(&mut start), seconds(&mut crash), seconds(&mut heal));
        println!("| {size} | foca 1.0 | {start} | {crash} | {heal} | {quiet:.0} | {alarms} |");
        measure_views(size);
    }
}

fn measure_views(size: u16) {
    let (mut start, mut crash, mut heal, mut quiet) = (Vec::new(), Vec::new(), Vec::new(), 0.0);
    let mut alarms = String::from("-");
    for seed in 0..SEEDS {
        let mut sim = Sim::new(size, seed);
        (0..size).for_each(|n| sim.start(n));
        start.push(sim.run_until(300 * SECOND, Sim::agree));
        sim.run(30 * SECOND);
        sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
        sim.run(20 * SECOND);
        let all: u64 = sim.nodes.iter().map(|n| n.bytes).sum();
        quiet += all as f64 / f64::from(size) / 20.0 / SEEDS as f64;
        sim.kill(size / 3);
        crash.push(sim.run_until(120 * SECOND, Sim::agree));
        sim.start(size / 3);
        sim.run(30 * SECOND);
        let side = size / 3;
        sim.passes = Box::new(move |a, b| (a < side) == (b < side));
        sim.run(30 * SECOND);
        sim.passes = Box::new(|_, _| true);
        heal.push(sim.run_until(300 * SECOND, Sim::agree));
        if size == 8 && seed == 0 {
            sim.loss = 0.3;
            sim.events.clear();
            sim.run(3_600 * SECOND);
            let dead = sim.events.iter().filter(|e| e.2.new_status == Status::Dead).count();
            alarms = (dead / usize::from(size - 1)).to_string();
        }
    }
    let (start, crash, heal) = (seconds(&mut start), seconds(&mut crash), seconds(&mut heal));
    println!("| {size} | this package | {start} | {crash} | {heal} | {quiet:.0} | {alarms} |");
}
