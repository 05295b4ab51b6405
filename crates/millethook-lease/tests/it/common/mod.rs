//! Random scripts of load and faults on a fleet of leases, and what may never be over all of them.

#![allow(dead_code)]

mod worker;

use std::collections::BTreeMap;

use millethook_lease::{Config, Fence, JobId, Lease, Member, Members, Micros, Token};
use millethook_machine::sim::{Fleet, SECOND, play_script};
use proptest::prelude::*;
use worker::{Effect, Worker};

/// Members; each is a process, and a seat of some jobs.
pub const MEMBERS: u16 = 7;
/// Jobs that scripts speak of.
pub const JOBS: u64 = 2;
pub const LEASE: Micros = 2 * SECOND;
/// The bound on clocks that the fleet is told, and keeps unless a script says otherwise.
pub const DRIFT: f64 = 0.1;
/// Unix time at the start, in milliseconds.
pub const BORN: u64 = 1_700_000_000_000;

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Act {
    Request(u16, u64),
    Release(u16, u64, Option<u16>),
    Shutdown(u16),
    Kill(u16),
    KillAll,
    Start(u16),
    /// Milliseconds.
    Pause(u16, u64),
    /// Bit by member: who is on the one side.
    Cut(u8),
    CutOneWay(u8, u8),
    Heal,
    /// Hundredths.
    Loss(u8),
    /// In thousandths of the bound, signed.
    Drift(u16, i16),
    /// The member now goes by this list.
    List(u16, u8),
    /// All members but one go by the next list.
    ListBut(u16),
    /// Whoever owns it looks at its lease and makes an effect ready.
    Look(u64),
    /// Each that has made something ready and is awake carries it out, wherever it stopped meanwhile.
    Do,
    /// To whoever owns it.
    PauseOwner(u64, u64),
    KillOwner(u64),
    CutOffOwner(u64),
    /// Its clock runs as slow as the bound allows, all others as fast.
    SlowOwner(u64),
    Wait,
}

/// A step, and how many milliseconds after the one before.
pub type Script = Vec<(u64, Act)>;

pub fn script(length: usize) -> impl Strategy<Value = Script> {
    let n = 0..MEMBERS;
    let job = 0..JOBS;
    let act = prop_oneof![
        9 => (n.clone(), job.clone()).prop_map(|(n, j)| Act::Request(n, j)),
        1 => (n.clone(), job.clone(), prop::option::of(n.clone())).prop_map(|(n, j, h)| Act::Release(n, j, h)),
        1 => n.clone().prop_map(Act::Shutdown),
        2 => n.clone().prop_map(Act::Kill),
        1 => Just(Act::KillAll),
        4 => n.clone().prop_map(Act::Start),
        2 => (n.clone(), 10u64..5_000).prop_map(|(n, ms)| Act::Pause(n, ms)),
        1 => any::<u8>().prop_map(Act::Cut),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Act::CutOneWay(a, b)),
        2 => Just(Act::Heal),
        1 => (0u8..50).prop_map(Act::Loss),
        1 => (n.clone(), -1_000i16..=1_000).prop_map(|(n, d)| Act::Drift(n, d)),
        2 => (n.clone(), 0u8..3).prop_map(|(n, l)| Act::List(n, l)),
        2 => n.clone().prop_map(Act::ListBut),
        6 => job.clone().prop_map(Act::Look),
        6 => Just(Act::Do),
        2 => (job.clone(), 10u64..6_000).prop_map(|(j, ms)| Act::PauseOwner(j, ms)),
        1 => job.clone().prop_map(Act::KillOwner),
        2 => job.clone().prop_map(Act::CutOffOwner),
        1 => job.prop_map(Act::SlowOwner),
        3 => Just(Act::Wait),
    ];
    let gap = prop_oneof![3 => 0u64..50, 3 => 0u64..700, 2 => 0u64..4_000];
    prop::collection::vec((gap, act), 1..length)
}

/// The lists that the fleet goes through, one after another: two join, then all have moved.
fn list(step: u8) -> Members {
    let all = |seed: u64, count: u64| {
        Members::new((0..count).map(|n| Member(seed ^ (n * 0x9e37_79b9))).collect())
    };
    match step {
        0 => all(1, 5),
        1 => all(1, 7),
        _ => all(7, 7),
    }
}

/// The fleet, and what has come of its jobs.
pub struct World {
    pub fleet: Fleet<Worker>,
    seats: usize,
    /// The list by which each member goes; the file that it reads at its start.
    lists: Vec<u8>,
    /// Of each job: the last token that was granted, and what guards its effects.
    granted: BTreeMap<JobId, Token>,
    fences: BTreeMap<JobId, Fence>,
    /// Effects that were carried out, and refused as stale.
    pub effects: u64,
    pub stale: u64,
    pub broken: Option<String>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            fleet: Fleet::new(MEMBERS, seed),
            seats: if seed.is_multiple_of(2) { 5 } else { 3 },
            lists: vec![0; usize::from(MEMBERS)],
            granted: BTreeMap::new(),
            fences: BTreeMap::new(),
            effects: 0,
            stale: 0,
            broken: None,
        };
        (0..MEMBERS).for_each(|n| world.start(n));
        world.run(LEASE);
        world
    }

    fn unix_ms(&self) -> u64 {
        BORN + self.fleet.now / 1_000
    }

    /// The list by which all that run go; None: the change is not through.
    fn common_list(&self) -> Option<u8> {
        let runs = |n: &usize| self.fleet.nodes[*n].machine.is_some();
        let mut lists = (0..usize::from(MEMBERS)).filter(runs).map(|n| self.lists[n]);
        let first = lists.next().or(self.lists.iter().max().copied())?;
        lists.all(|list| list == first).then_some(first)
    }

    pub fn start(&mut self, n: u16) {
        let (epoch, seed) = (self.unix_ms(), self.fleet.below(u64::MAX));
        let seats = self.seats;
        let config = Config {
            me: n,
            epoch,
            seats,
            longest: LEASE,
            change: 600 * SECOND,
            drift: DRIFT,
            seed,
        };
        let members = list(self.lists[usize::from(n)]);
        self.fleet.start(n, |now| Worker::new(Lease::new(config, members, now)));
    }

    /// Lets time pass; after each step all rules have to hold over all processes.
    pub fn run(&mut self, length: Micros) {
        let end = self.fleet.now + length;
        while self.broken.is_none() {
            let more = self.fleet.step_until(end);
            self.look();
            if !more {
                return;
            }
        }
    }

    pub fn owners(&self, job: u64) -> Vec<(u16, Token)> {
        let nodes = self.fleet.nodes.iter().enumerate();
        let holds = nodes.filter_map(|(n, node)| {
            // Also of one that stands still: its clock runs on, and it looks as soon as it wakes.
            let token =
                node.machine.as_ref()?.lease.holds(node.local(self.fleet.now), JobId(job))?;
            Some((n as u16, token))
        });
        holds.collect()
    }

    fn look(&mut self) {
        if let Some((n, violation)) = self.fleet.violation.take() {
            self.broken.get_or_insert_with(|| format!("member {n}: {violation}"));
        }
        for job in 0..JOBS {
            let owners = self.owners(job);
            if owners.len() > 1 {
                self.broken.get_or_insert_with(|| format!("job {job} has two owners: {owners:?}"));
            }
            for (_, token) in owners {
                let last = self.granted.entry(JobId(job)).or_default();
                if token < *last {
                    self.broken
                        .get_or_insert_with(|| format!("job {job}: {token} granted after {last}"));
                }
                *last = token.max(*last);
            }
        }
    }

    pub fn act(&mut self, act: &Act) {
        let now = self.fleet.now;
        match *act {
            Act::Request(n, job) => {
                self.fleet.with(n, |w, now| w.lease.request(now, JobId(job), LEASE, 0));
            }
            Act::Release(n, job, successor) if self.fleet.awake(n) => {
                self.fleet.with(n, |w, now| w.lease.release(now, JobId(job), successor));
            }
            Act::Shutdown(n) if self.fleet.awake(n) => {
                self.fleet.with(n, |w, now| w.lease.shutdown(now, |_| Some((n + 1) % MEMBERS)));
                self.run(1_000);
                self.fleet.kill(n);
            }
            Act::Kill(n) => self.fleet.kill(n),
            Act::KillAll if self.common_list().is_some() => {
                let list = self.common_list().unwrap_or_default();
                self.lists.fill(list);
                (0..MEMBERS).for_each(|n| self.fleet.kill(n));
                (0..MEMBERS).for_each(|n| self.start(n));
            }
            Act::Start(n) => {
                // The rule that operators are given: nobody starts while the list changes.
                let stopped = self.fleet.nodes[usize::from(n)].machine.is_none();
                if let Some(list) = self.common_list().filter(|_| stopped) {
                    self.lists[usize::from(n)] = list;
                    self.start(n);
                }
            }
            Act::Pause(n, ms) => self.fleet.nodes[usize::from(n)].paused_until = now + ms * 1_000,
            Act::Cut(side) => self.fleet.cut(side.into()),
            Act::CutOneWay(from, to) => self.fleet.cut_one_way(from.into(), to.into()),
            Act::Heal => self.fleet.heal(),
            Act::Loss(hundredths) => self.fleet.set_loss_percent(hundredths),
            Act::Drift(n, thousandths) => self.fleet.set_drift(n, DRIFT, thousandths),
            Act::List(n, step) => {
                // A file is not taken back, and none is passed over.
                let at = usize::from(n);
                let runs = |n: &usize| self.fleet.nodes[*n].machine.is_some();
                let lists = (0..usize::from(MEMBERS)).filter(runs).map(|n| self.lists[n]);
                let everywhere = lists.min().unwrap_or(0);
                if step == self.lists[at] + 1 && step <= everywhere + 1 && self.fleet.awake(n) {
                    self.lists[at] = step;
                    let unix = self.unix_ms();
                    self.fleet.with(n, |w, now| w.lease.set_members(now, list(step), unix));
                }
            }
            Act::ListBut(but) => {
                let Some(step) = self.common_list().map(|list| list + 1) else { return };
                for n in (0..MEMBERS).filter(|n| *n != but && step <= 2) {
                    self.act(&Act::List(n, step));
                }
            }
            Act::Look(job) => {
                for (n, _) in self.owners(job) {
                    if self.fleet.awake(n) {
                        self.fleet.with(n, |w, now| {
                            let token = w.lease.holds(now, JobId(job));
                            w.ready = token.map(|token| Effect { job: JobId(job), token });
                        });
                    }
                }
            }
            Act::Do => (0..MEMBERS).for_each(|n| {
                if !self.fleet.awake(n) {
                    return;
                }
                let effect = self.fleet.with(n, |w, _| w.ready.take()).flatten();
                let Some(Effect { job, token }) = effect else { return };
                let fence = self.fences.entry(job).or_default();
                let stale = token < fence.highest();
                match fence.admit(token) {
                    Ok(()) if stale => {
                        self.broken
                            .get_or_insert_with(|| format!("a stale effect of {token} on {job:?}"));
                    }
                    Ok(()) => self.effects += 1,
                    Err(_) => self.stale += 1,
                }
            }),
            Act::PauseOwner(job, ms) => {
                for (n, _) in self.owners(job) {
                    self.fleet.nodes[usize::from(n)].paused_until = now + ms * 1_000;
                }
            }
            Act::KillOwner(job) => {
                self.owners(job).into_iter().for_each(|(n, _)| self.fleet.kill(n));
            }
            Act::SlowOwner(job) => {
                if let Some((owner, _)) = self.owners(job).first().copied() {
                    for n in 0..MEMBERS {
                        let rate = if n == owner { 1.0 - DRIFT } else { 1.0 + DRIFT };
                        self.fleet.set_clock(n, rate, 0);
                    }
                }
            }
            Act::CutOffOwner(job) => {
                if let Some((owner, _)) = self.owners(job).first().copied() {
                    self.fleet.passes = Box::new(move |a, b| (a == owner) == (b == owner));
                }
            }
            _ => {}
        }
        self.look();
    }
}

/// Plays a script, and then lets the fleet be whole: within some leases each wanted job has an owner.
pub fn play(seed: u64, script: &Script) -> Result<World, String> {
    let mut world = World::new(seed);
    play_script(&mut world, script, |world, wait, act| {
        world.run(wait);
        world.act(act);
        world.broken.take()
    })?;
    world.act(&Act::Heal);
    (0..MEMBERS).for_each(|n| world.fleet.nodes[usize::from(n)].paused_until = 0);
    // All go through all changes, those that run first.
    for step in [1, 2] {
        world.run(10_000);
        (0..MEMBERS).for_each(|n| world.act(&Act::List(n, step)));
        (0..MEMBERS).for_each(|n| world.act(&Act::Start(n)));
    }
    world.act(&Act::Request(0, 0));
    // Silence after a start, a change that has to be through, and the wait for one's turn.
    world.run(8 * LEASE);
    match world.broken.take() {
        Some(broken) => Err(broken),
        None if world.owners(0).len() != 1 => {
            Err(format!("a whole fleet, and job 0 has the owners {:?}", world.owners(0)))
        }
        None => Ok(world),
    }
}
