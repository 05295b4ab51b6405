//! Random scripts of load and faults on a fleet of leases, and the invariants over all processes.

#![allow(dead_code)]

mod worker;

use std::collections::BTreeMap;

use millethook_lease::{Config, Fence, JobId, Lease, Member, Members, Micros, Token};
use millethook_machine::sim::{Fleet, SECOND, play_script};
use proptest::prelude::*;
use worker::{Effect, Worker};

/// The number of members; each is a process, and an acceptor of some jobs.
pub const MEMBERS: u16 = 7;
/// The number of jobs in scripts.
pub const JOBS: u64 = 2;
pub const LEASE: Micros = 2 * SECOND;
/// The configured bound on clock drift, kept unless a script says otherwise.
pub const DRIFT: f64 = 0.1;
/// Unix time at the start, in milliseconds.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Action {
    Request(u16, u64),
    Release(u16, u64, Option<u16>),
    Shutdown(u16),
    Kill(u16),
    KillAll,
    Start(u16),
    /// Milliseconds.
    Pause(u16, u64),
    /// One bit for each member: the members on one side.
    Cut(u8),
    CutOneWay(u8, u8),
    Heal,
    /// Datagrams lost, in hundredths.
    Loss(u8),
    /// In thousandths of the drift bound, signed.
    Drift(u16, i16),
    /// The member switches to this list.
    SetList(u16, u8),
    /// All members but one switch to the next list.
    NextListExcept(u16),
    /// Each owner of the job checks its lease and prepares an effect.
    PrepareEffect(u64),
    /// Each running member carries out its prepared effect, even if it was paused since it prepared it.
    ApplyEffects,
    /// Pauses the owner of the job, for milliseconds.
    PauseOwner(u64, u64),
    KillOwner(u64),
    CutOffOwner(u64),
    /// The owner's clock runs as slowly as the bound allows, all others as fast.
    SlowOwner(u64),
    Wait,
}

/// Actions, each with the milliseconds since the one before.
pub type Script = Vec<(u64, Action)>;

pub fn script(length: usize) -> impl Strategy<Value = Script> {
    let n = 0..MEMBERS;
    let job = 0..JOBS;
    let action = prop_oneof![
        9 => (n.clone(), job.clone()).prop_map(|(n, j)| Action::Request(n, j)),
        1 => (n.clone(), job.clone(), prop::option::of(n.clone())).prop_map(|(n, j, h)| Action::Release(n, j, h)),
        1 => n.clone().prop_map(Action::Shutdown),
        2 => n.clone().prop_map(Action::Kill),
        1 => Just(Action::KillAll),
        4 => n.clone().prop_map(Action::Start),
        2 => (n.clone(), 10u64..5_000).prop_map(|(n, ms)| Action::Pause(n, ms)),
        1 => any::<u8>().prop_map(Action::Cut),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Action::CutOneWay(a, b)),
        2 => Just(Action::Heal),
        1 => (0u8..50).prop_map(Action::Loss),
        1 => (n.clone(), -1_000i16..=1_000).prop_map(|(n, d)| Action::Drift(n, d)),
        2 => (n.clone(), 0u8..3).prop_map(|(n, l)| Action::SetList(n, l)),
        2 => n.clone().prop_map(Action::NextListExcept),
        6 => job.clone().prop_map(Action::PrepareEffect),
        6 => Just(Action::ApplyEffects),
        2 => (job.clone(), 10u64..6_000).prop_map(|(j, ms)| Action::PauseOwner(j, ms)),
        1 => job.clone().prop_map(Action::KillOwner),
        2 => job.clone().prop_map(Action::CutOffOwner),
        1 => job.prop_map(Action::SlowOwner),
        3 => Just(Action::Wait),
    ];
    let gap = prop_oneof![3 => 0u64..50, 3 => 0u64..700, 2 => 0u64..4_000];
    prop::collection::vec((gap, action), 1..length)
}

/// The member lists that the fleet goes through in turn: two members join, then all addresses change.
fn member_list(step: u8) -> Members {
    let all = |seed: u64, count: u64| {
        Members::new((0..count).map(|n| Member(seed ^ (n * 0x9e37_79b9))).collect())
    };
    match step {
        0 => all(1, 5),
        1 => all(1, 7),
        _ => all(7, 7),
    }
}

/// The fleet, and the state of its jobs.
pub struct World {
    pub fleet: Fleet<Worker>,
    acceptors: usize,
    /// By member, the list that it uses; it reads this list at its start.
    lists: Vec<u8>,
    /// By job, the last granted token, and the fence of its effects.
    granted: BTreeMap<JobId, Token>,
    fences: BTreeMap<JobId, Fence>,
    /// The number of effects that were carried out, and that were rejected as stale.
    pub effects: u64,
    pub stale: u64,
    pub violation: Option<String>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            fleet: Fleet::new(MEMBERS, seed),
            acceptors: if seed.is_multiple_of(2) { 5 } else { 3 },
            lists: vec![0; usize::from(MEMBERS)],
            granted: BTreeMap::new(),
            fences: BTreeMap::new(),
            effects: 0,
            stale: 0,
            violation: None,
        };
        (0..MEMBERS).for_each(|n| world.start(n));
        world.run(LEASE);
        world
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.fleet.now / 1_000
    }

    /// The list that all running members use. None: a change is not complete.
    fn common_list(&self) -> Option<u8> {
        let runs = |n: &usize| self.fleet.nodes[*n].machine.is_some();
        let mut lists = (0..usize::from(MEMBERS)).filter(runs).map(|n| self.lists[n]);
        let first = lists.next().or(self.lists.iter().max().copied())?;
        lists.all(|list| list == first).then_some(first)
    }

    pub fn start(&mut self, n: u16) {
        let (epoch, seed) = (self.unix_ms(), self.fleet.below(u64::MAX));
        let acceptors = self.acceptors;
        let config = Config {
            me: n,
            epoch,
            acceptors,
            max_lease: LEASE,
            change_timeout: 600 * SECOND,
            max_drift: DRIFT,
            seed,
        };
        let members = member_list(self.lists[usize::from(n)]);
        self.fleet.start(n, |now| Worker::new(Lease::new(config, members, now)));
    }

    /// Lets time pass, and checks all invariants over all processes after each step.
    pub fn run(&mut self, length: Micros) {
        let end = self.fleet.now + length;
        while self.violation.is_none() {
            let more = self.fleet.step_until(end);
            self.check_invariants();
            if !more {
                return;
            }
        }
    }

    pub fn owners(&self, job: u64) -> Vec<(u16, Token)> {
        let nodes = self.fleet.nodes.iter().enumerate();
        let holds = nodes.filter_map(|(n, node)| {
            // This includes a paused member: its clock keeps running, and it checks its lease when it resumes.
            let token =
                node.machine.as_ref()?.lease.holds(node.local(self.fleet.now), JobId(job))?;
            Some((n as u16, token))
        });
        holds.collect()
    }

    fn check_invariants(&mut self) {
        if let Some((n, violation)) = self.fleet.violation.take() {
            self.violation.get_or_insert_with(|| format!("member {n}: {violation}"));
        }
        for job in 0..JOBS {
            let owners = self.owners(job);
            if owners.len() > 1 {
                self.violation
                    .get_or_insert_with(|| format!("job {job} has two owners: {owners:?}"));
            }
            for (_, token) in owners {
                let last = self.granted.entry(JobId(job)).or_default();
                if token < *last {
                    self.violation
                        .get_or_insert_with(|| format!("job {job}: {token} granted after {last}"));
                }
                *last = token.max(*last);
            }
        }
    }

    pub fn apply(&mut self, action: &Action) {
        let now = self.fleet.now;
        match *action {
            Action::Request(n, job) => {
                self.fleet.with(n, |w, now| w.lease.request(now, JobId(job), LEASE, 0));
            }
            Action::Release(n, job, successor) if self.fleet.awake(n) => {
                self.fleet.with(n, |w, now| w.lease.release(now, JobId(job), successor));
            }
            Action::Shutdown(n) if self.fleet.awake(n) => {
                self.fleet.with(n, |w, now| w.lease.shutdown(now, |_| Some((n + 1) % MEMBERS)));
                self.run(1_000);
                self.fleet.kill(n);
            }
            Action::Kill(n) => self.fleet.kill(n),
            Action::KillAll if self.common_list().is_some() => {
                let list = self.common_list().unwrap_or_default();
                self.lists.fill(list);
                (0..MEMBERS).for_each(|n| self.fleet.kill(n));
                (0..MEMBERS).for_each(|n| self.start(n));
            }
            Action::Start(n) => {
                // Operators may not start a member during a member change.
                let stopped = self.fleet.nodes[usize::from(n)].machine.is_none();
                if let Some(list) = self.common_list().filter(|_| stopped) {
                    self.lists[usize::from(n)] = list;
                    self.start(n);
                }
            }
            Action::Pause(n, ms) => {
                self.fleet.nodes[usize::from(n)].paused_until = now + ms * 1_000
            }
            Action::Cut(side) => self.fleet.cut(side.into()),
            Action::CutOneWay(from, to) => self.fleet.cut_one_way(from.into(), to.into()),
            Action::Heal => self.fleet.heal(),
            Action::Loss(hundredths) => self.fleet.set_loss_percent(hundredths),
            Action::Drift(n, thousandths) => self.fleet.set_drift(n, DRIFT, thousandths),
            Action::SetList(n, step) => {
                // A list is not reverted, and none is skipped.
                let at = usize::from(n);
                let runs = |n: &usize| self.fleet.nodes[*n].machine.is_some();
                let lists = (0..usize::from(MEMBERS)).filter(runs).map(|n| self.lists[n]);
                let everywhere = lists.min().unwrap_or(0);
                if step == self.lists[at] + 1 && step <= everywhere + 1 && self.fleet.awake(n) {
                    self.lists[at] = step;
                    let unix = self.unix_ms();
                    self.fleet.with(n, |w, now| w.lease.set_members(now, member_list(step), unix));
                }
            }
            Action::NextListExcept(but) => {
                let Some(step) = self.common_list().map(|list| list + 1) else { return };
                for n in (0..MEMBERS).filter(|n| *n != but && step <= 2) {
                    self.apply(&Action::SetList(n, step));
                }
            }
            Action::PrepareEffect(job) => {
                for (n, _) in self.owners(job) {
                    if self.fleet.awake(n) {
                        self.fleet.with(n, |w, now| {
                            let token = w.lease.holds(now, JobId(job));
                            w.pending_effect = token.map(|token| Effect { job: JobId(job), token });
                        });
                    }
                }
            }
            Action::ApplyEffects => (0..MEMBERS).for_each(|n| {
                if !self.fleet.awake(n) {
                    return;
                }
                let effect = self.fleet.with(n, |w, _| w.pending_effect.take()).flatten();
                let Some(Effect { job, token }) = effect else { return };
                let fence = self.fences.entry(job).or_default();
                let stale = token < fence.highest();
                match fence.admit(token) {
                    Ok(()) if stale => {
                        self.violation
                            .get_or_insert_with(|| format!("a stale effect of {token} on {job:?}"));
                    }
                    Ok(()) => self.effects += 1,
                    Err(_) => self.stale += 1,
                }
            }),
            Action::PauseOwner(job, ms) => {
                for (n, _) in self.owners(job) {
                    self.fleet.nodes[usize::from(n)].paused_until = now + ms * 1_000;
                }
            }
            Action::KillOwner(job) => {
                self.owners(job).into_iter().for_each(|(n, _)| self.fleet.kill(n));
            }
            Action::SlowOwner(job) => {
                if let Some((owner, _)) = self.owners(job).first().copied() {
                    for n in 0..MEMBERS {
                        let rate = if n == owner { 1.0 - DRIFT } else { 1.0 + DRIFT };
                        self.fleet.set_clock(n, rate, 0);
                    }
                }
            }
            Action::CutOffOwner(job) => {
                if let Some((owner, _)) = self.owners(job).first().copied() {
                    self.fleet.passes = Box::new(move |a, b| (a == owner) == (b == owner));
                }
            }
            _ => {}
        }
        self.check_invariants();
    }
}

/// Plays a script, and then heals the fleet: within some leases each requested job has one owner.
pub fn play(seed: u64, script: &Script) -> Result<World, String> {
    let mut world = World::new(seed);
    play_script(&mut world, script, |world, wait, action| {
        world.run(wait);
        world.apply(action);
        world.violation.take()
    })?;
    world.apply(&Action::Heal);
    (0..MEMBERS).for_each(|n| world.fleet.nodes[usize::from(n)].paused_until = 0);
    // All members apply all changes, the running ones first.
    for step in [1, 2] {
        world.run(10_000);
        (0..MEMBERS).for_each(|n| world.apply(&Action::SetList(n, step)));
        (0..MEMBERS).for_each(|n| world.apply(&Action::Start(n)));
    }
    world.apply(&Action::Request(0, 0));
    // Covers the silence after a start, a change that has to complete, and the wait for a candidate's turn.
    world.run(8 * LEASE);
    match world.violation.take() {
        Some(violation) => Err(violation),
        None if world.owners(0).len() != 1 => {
            Err(format!("a whole fleet, and job 0 has the owners {:?}", world.owners(0)))
        }
        None => Ok(world),
    }
}
