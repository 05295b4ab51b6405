//! Bounded exploration of three views: every order of delivery, loss, duplicate, crash, restart and leave up to a
//! depth, from a converged fleet. In each state no epoch decreases and no member that left is revived. From each
//! sampled leaf, a network without faults brings all members to the same, correct view.
//!
//! `cargo test -p millethook-view --release --features mutants --test it explore` also disables one rule at a time, and
//! checks that each is detected.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use millethook_view::{Micros, Status, View, ViewConfig};

const COUNT: u16 = 3;
const SECOND: Micros = 1_000_000;
/// The maximum number of messages in flight; beyond it the oldest is lost.
const MAX_IN_FLIGHT: usize = 6;
/// The time in which a fleet without faults has to agree: a suspicion, and ten periods.
const SETTLE_TIME: Micros = 40 * SECOND;
/// The duration of a partition of one of three members.
const CUT_DURATION: Micros = 25 * SECOND;

#[derive(Clone)]
struct World {
    now: Micros,
    views: Vec<Option<View>>,
    /// Receiver, sender, epoch, content.
    in_flight: Vec<(u16, u16, u64, Vec<u8>)>,
    /// The remaining number of faults.
    faults: u32,
    next_epoch: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Time,
    Crash(u16),
    Restart(u16),
    /// A restart after the clock was set back.
    RestartBack(u16),
    Leave(u16),
    /// Nobody receives from the member, nor it from anybody, for long enough to be declared dead.
    Cut(u16),
}

fn view(me: u16, epoch: u64, now: Micros) -> View {
    View::new(ViewConfig { me, members: COUNT, epoch, period: SECOND, seed: 7 }, now)
}

impl World {
    fn settled() -> World {
        let views = (0..COUNT).map(|n| Some(view(n, 1_000 + u64::from(n), SECOND))).collect();
        let mut world =
            World { now: SECOND, views, in_flight: Vec::new(), faults: 2, next_epoch: 5_000 };
        world.collect();
        assert!(world.settles(), "a fleet without faults agrees");
        world.in_flight.clear();
        world
    }

    fn collect(&mut self) {
        for n in 0..self.views.len() {
            let Some(view) = &mut self.views[n] else { continue };
            assert_eq!(view.check(), Ok(()), "member {n}");
            while let Some((to, content)) = view.poll_transmit() {
                let message = (to, view.me(), view.epoch(), content);
                self.in_flight.push(message);
            }
            while view.poll_event().is_some() {}
        }
        let excess = self.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.in_flight.drain(..excess);
    }

    fn possible_steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Time];
        steps.extend((0..self.in_flight.len()).map(Step::Deliver));
        if self.faults == 0 {
            return steps;
        }
        for n in 0..self.in_flight.len() {
            steps.extend([Step::Lose(n), Step::Duplicate(n)]);
        }
        // The members are symmetric, so faults of two of the three suffice.
        for n in 0..COUNT - 1 {
            match &self.views[usize::from(n)] {
                Some(_) => steps.extend([Step::Crash(n), Step::Leave(n), Step::Cut(n)]),
                None => steps.extend([Step::Restart(n), Step::RestartBack(n)]),
            }
        }
        steps
    }

    fn deliver(&mut self, message: &(u16, u16, u64, Vec<u8>)) {
        let (to, from, epoch, content) = message;
        let now = self.now;
        if let Some(view) = &mut self.views[usize::from(*to)] {
            view.handle(now, *from, *epoch, content).expect("a message");
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Deliver(n) => {
                let message = self.in_flight.remove(n);
                self.deliver(&message);
            }
            Step::Duplicate(n) => {
                self.faults -= 1;
                let message = self.in_flight[n].clone();
                self.deliver(&message);
            }
            Step::Lose(n) => {
                self.faults -= 1;
                self.in_flight.remove(n);
            }
            Step::Time => self.pass_time(),
            Step::Crash(n) => {
                self.faults -= 1;
                self.views[usize::from(n)] = None;
            }
            Step::Leave(n) => {
                self.faults -= 1;
                let now = self.now;
                if let Some(view) = &mut self.views[usize::from(n)] {
                    view.leave(now);
                }
                self.collect();
                self.views[usize::from(n)] = None;
            }
            Step::Cut(n) => {
                self.faults -= 1;
                self.run(CUT_DURATION, |to, from| to != n && from != n);
            }
            Step::Restart(n) => {
                self.next_epoch += 1;
                self.views[usize::from(n)] = Some(view(n, self.next_epoch, self.now));
            }
            Step::RestartBack(n) => self.views[usize::from(n)] = Some(view(n, 10, self.now)),
        }
        self.collect();
    }

    fn pass_time(&mut self) {
        let next = self.views.iter().flatten().map(View::poll_timeout).min();
        let Some(next) = next else { return };
        self.now = self.now.max(next);
        for view in self.views.iter_mut().flatten() {
            if view.poll_timeout() <= self.now {
                view.tick(self.now);
            }
        }
    }

    /// Runs for a time. Messages that pass are delivered in order and without delay.
    fn run(&mut self, length: Micros, passes: impl Fn(u16, u16) -> bool) {
        let end = self.now + length;
        while self.now < end {
            while !self.in_flight.is_empty() {
                let message = self.in_flight.remove(0);
                if passes(message.0, message.1) {
                    self.deliver(&message);
                    self.collect();
                }
            }
            let before = self.now;
            self.pass_time();
            self.collect();
            // Advances the clock also if a view has more to do at the same time.
            self.now = self.now.max(before + 1);
        }
    }

    /// Runs without faults. Returns whether all running members have the same, correct view.
    fn settles(&mut self) -> bool {
        self.run(SETTLE_TIME, |_, _| true);
        let running: Vec<&View> = self.views.iter().flatten().collect();
        let right = |view: &&View| {
            let is_correct = |n: u16| {
                let present = view.member(n).is_some_and(|m| m.status.is_present());
                present == self.views[usize::from(n)].is_some()
            };
            view.hash() == running[0].hash() && (0..COUNT).all(is_correct)
        };
        running.iter().all(right)
    }

    fn digest(&self) -> u64 {
        let mut hash = DefaultHasher::new();
        self.in_flight.hash(&mut hash);
        (self.now, self.faults).hash(&mut hash);
        for view in &self.views {
            let Some(view) = view else {
                0.hash(&mut hash);
                continue;
            };
            (view.epoch(), view.poll_timeout()).hash(&mut hash);
            for n in 0..COUNT {
                let m = view.member(n).expect("a member");
                (m.epoch, m.incarnation, m.status).hash(&mut hash);
            }
        }
        hash.finish()
    }
}

/// Finds a violation in the step from one world to the next.
fn find_violation(before: &World, after: &World) -> Option<String> {
    for (old, new) in before.views.iter().zip(&after.views) {
        let (Some(old), Some(new)) = (old, new) else { continue };
        if new.epoch() < old.epoch() {
            return Some(format!("the epoch of {} went back", new.me()));
        }
        for n in 0..COUNT {
            let (a, b) = (old.member(n)?, new.member(n)?);
            if b.epoch < a.epoch {
                return Some(format!("{} went back to an epoch of {n}", new.me()));
            }
            if a.status == Status::Left && b.status != Status::Left && a.epoch == b.epoch {
                return Some(format!("{} revived {n}, which had left", new.me()));
            }
        }
        if !new.member(new.me())?.status.is_present() {
            return Some(format!("{} does not think itself alive", new.me()));
        }
    }
    None
}

struct Explorer {
    seen: HashSet<u64>,
    depth: usize,
    /// One leaf in this many is run until it settles.
    leaf_interval: u64,
    max_states: usize,
    leaves: u64,
    settled: u64,
}

impl Explorer {
    fn new(depth: usize, leaf_interval: u64, max_states: usize) -> Explorer {
        Explorer { seen: HashSet::new(), depth, leaf_interval, max_states, leaves: 0, settled: 0 }
    }

    fn explore(&mut self, world: &World, path: &mut Vec<Step>) -> Result<(), String> {
        if self.seen.len() >= self.max_states || !self.seen.insert(world.digest()) {
            return Ok(());
        }
        if path.len() == self.depth {
            self.leaves += 1;
            if self.leaves.is_multiple_of(self.leaf_interval) {
                self.settled += 1;
                if !world.clone().settles() {
                    return Err(format!("not settled after {path:?}"));
                }
            }
            return Ok(());
        }
        for step in world.possible_steps() {
            let mut next = world.clone();
            next.apply(step);
            path.push(step);
            if let Some(violation) = find_violation(world, &next) {
                return Err(format!("{violation} after {path:?}"));
            }
            self.explore(&next, path)?;
            path.pop();
        }
        Ok(())
    }
}

#[test]
fn bounded_exploration_finds_no_violation() {
    let mut explorer = Explorer::new(6, 29, 100_000);
    let found = explorer.explore(&World::settled(), &mut Vec::new());
    assert_eq!(found, Ok(()));
    println!(
        "{} states, {} leaves, {} run on",
        explorer.seen.len(),
        explorer.leaves,
        explorer.settled
    );
    assert!(explorer.settled > 50, "{} leaves were looked at", explorer.settled);
}

#[test]
#[ignore = "minutes: the long form of the exploration"]
fn deep_exploration_finds_no_violation() {
    let mut explorer = Explorer::new(10, 499, 5_000_000);
    assert_eq!(explorer.explore(&World::settled(), &mut Vec::new()), Ok(()));
    println!(
        "{} states, {} leaves, {} run on",
        explorer.seen.len(),
        explorer.leaves,
        explorer.settled
    );
}

#[cfg(feature = "mutants")]
#[test]
fn each_mutant_is_detected() {
    use millethook_view::{Mutant, become_mutant};
    for mutant in [
        Mutant::EpochsDoNotCount,
        Mutant::LeftComesBack,
        Mutant::SameIncarnation,
        Mutant::NoContradiction,
        Mutant::DeadAreForgotten,
        Mutant::NeverAbove,
        Mutant::NoRepair,
        Mutant::SuspectForEver,
    ] {
        become_mutant(Some(mutant));
        let initial = std::panic::catch_unwind(World::settled);
        let found = match initial {
            Ok(world) => Explorer::new(7, 7, 400_000).explore(&world, &mut Vec::new()).err(),
            Err(_) => Some("a fleet without faults does not agree".into()),
        };
        become_mutant(None);
        println!("{mutant:?}: {found:?}");
        assert!(found.is_some(), "{mutant:?} was not found");
    }
}
