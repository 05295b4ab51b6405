//! Random scripts of changes and faults on a fleet of control nodes and sidecars, and the invariants over all members.

#![allow(dead_code)]

pub mod member;
pub mod oracle;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use member::{Disk, Member, Part, accepts};
use millethook_distribution::{
    ControlEvent, ControlMember, ControlNode, DistributionConfig, DocumentKey, DocumentKind,
    Identity, Limits, Micros, PublishError, Scope, Subscriber, Token, Version,
};
use millethook_machine::sim::{Fleet, SECOND as S, play_script};
use oracle::Oracle;
use proptest::prelude::*;

/// Control nodes, in three zones of two regions.
pub const CONTROL: u16 = 5;
/// Sidecars, numbered after the control nodes.
pub const SIDECARS: u16 = 6;
pub const MEMBERS: u16 = CONTROL + SIDECARS;
/// The maximum deviation of any clock's rate.
pub const DRIFT: f64 = 0.1;

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    /// The lease goes to a control node; the previous holder is not told.
    Lease(u16),
    Resign(u16),
    /// One of the control nodes that act as the writer publishes: which one of them, the key, the length and the kind
    /// of the content.
    Publish {
        writer: u8,
        key: u8,
        length: u16,
        kind: u8,
    },
    Retract(u8),
    /// Many changes at once.
    Burst(u8),
    Kill(u16),
    /// The flag says whether its disk is lost, too.
    Start(u16, bool),
    /// The time is in milliseconds.
    Pause(u16, u64),
    PauseWriter(u64),
    KillWriter,
    /// It restarts at once, without its disk.
    RestartWithoutDisk(u16),
    /// One bit for each member.
    Cut(u16),
    CutOneWay(u16, u16),
    /// All control nodes but one are cut off from the writer.
    IsolateWriterWith(u16),
    Heal,
    /// In hundredths.
    Loss(u8),
    /// In thousandths of the maximum, signed.
    Drift(u16, i16),
    /// In seconds.
    Jump(u16, u8),
    /// The host of a sidecar stops deciding, or resumes.
    PauseDecisions(u16, bool),
    /// A sidecar restarts in another zone, beside another service.
    Relocate(u16, u8),
    /// A sidecar restarts and subscribes to other lists: one bit for each service.
    Subscribe(u16, u8),
    Wait,
}

/// Steps, each with the milliseconds since the previous one.
pub type Script = Vec<(u64, Step)>;

/// Generates a random script.
pub fn script(length: usize) -> impl Strategy<Value = Script> {
    let control = 0..CONTROL;
    let member = 0..MEMBERS;
    let sidecar = CONTROL..MEMBERS;
    let publish =
        (any::<u8>(), 0u8..KEYS, prop_oneof![3 => 0u16..150, 1 => 150u16..1_500], 0u8..12);
    let step = prop_oneof![
        6 => control.clone().prop_map(Step::Lease),
        1 => control.clone().prop_map(Step::Resign),
        16 => publish.prop_map(|(writer, key, length, kind)| Step::Publish { writer, key, length, kind }),
        1 => (0u8..KEYS).prop_map(Step::Retract),
        1 => (1u8..30).prop_map(Step::Burst),
        4 => member.clone().prop_map(Step::Kill),
        8 => (member.clone(), any::<bool>()).prop_map(|(n, lost)| Step::Start(n, lost)),
        2 => (member.clone(), 10u64..5_000).prop_map(|(n, ms)| Step::Pause(n, ms)),
        2 => (10u64..6_000).prop_map(Step::PauseWriter),
        2 => Just(Step::KillWriter),
        3 => control.clone().prop_map(Step::RestartWithoutDisk),
        3 => any::<u16>().prop_map(Step::Cut),
        1 => (any::<u16>(), any::<u16>()).prop_map(|(a, b)| Step::CutOneWay(a, b)),
        3 => control.prop_map(Step::IsolateWriterWith),
        4 => Just(Step::Heal),
        1 => (0u8..40).prop_map(Step::Loss),
        1 => (member.clone(), -1_000i16..=1_000).prop_map(|(n, d)| Step::Drift(n, d)),
        1 => (member, 1u8..20).prop_map(|(n, s)| Step::Jump(n, s)),
        2 => (sidecar.clone(), any::<bool>()).prop_map(|(n, paused)| Step::PauseDecisions(n, paused)),
        1 => (sidecar.clone(), 0u8..6).prop_map(|(n, to)| Step::Relocate(n, to)),
        1 => (sidecar, 1u8..8).prop_map(|(n, lists)| Step::Subscribe(n, lists)),
        3 => Just(Step::Wait),
    ];
    let gap = prop_oneof![4 => 0u64..10, 3 => 0u64..300, 3 => 0u64..2_500];
    prop::collection::vec((gap, step), 1..length)
}

/// The keys that scripts use.
pub fn key(number: u8) -> DocumentKey {
    DocumentKey::configuration(match number {
        0 => Scope::All,
        1 => Scope::Region(0),
        2 => Scope::Zone(1),
        3 => Scope::Service(0),
        4 => Scope::Service(1),
        5 => Scope::Sidecar(CONTROL),
        list => return DocumentKey::server_list(u32::from(list - FIRST_LIST)),
    })
}

/// The number of keys that scripts use, and the first of them that is a list's.
const KEYS: u8 = 9;
pub const FIRST_LIST: u8 = 6;

/// The services whose lists a sidecar subscribes to: one bit for each service.
pub fn services(lists: u8) -> Vec<u32> {
    (0..8).filter(|service| lists >> service & 1 > 0).collect()
}

/// The configured control nodes.
pub fn control_nodes() -> Vec<ControlMember> {
    let node =
        |n: u16| ControlMember { number: n, zone: u32::from(n % 3), region: u32::from(n % 3 / 2) };
    (0..CONTROL).map(node).collect()
}

/// The identity of a member; `location` moves it elsewhere.
pub fn identity(number: u16, location: u8) -> Identity {
    let zone = (u32::from(number) + u32::from(location)) % 3;
    let service = (u32::from(number) + u32::from(location / 3)) % 2;
    Identity { region: zone / 2, zone, service, number }
}

/// Limits that keep scripts short.
pub fn limits() -> Limits {
    Limits { silence: S, give_up_after: 0, rate: 200_000, documents: 16, ..Limits::default() }
}

/// The simulated fleet and the results of a script.
pub struct World {
    pub fleet: Fleet<Member>,
    pub oracle: Rc<RefCell<Oracle>>,
    disks: Vec<Disk>,
    locations: Vec<u8>,
    /// The lists that members subscribe to: one bit for each service.
    pub lists: Vec<u8>,
    /// Members that run a build without lists.
    old: Vec<u16>,
    token: Token,
    published: u64,
    pub rejected_publications: u64,
    pub failure: Option<String>,
}

impl World {
    /// A fleet in which no sidecar subscribes to lists.
    pub fn new(seed: u64) -> World {
        World::with_lists(seed, |_| 0)
    }

    /// A fleet with the lists that each member subscribes to.
    pub fn with_lists(seed: u64, lists: impl Fn(u16) -> u8) -> World {
        World::with_builds(seed, lists, Vec::new())
    }

    /// A fleet with the lists of each member, and members that run a build without lists.
    pub fn with_builds(seed: u64, lists: impl Fn(u16) -> u8, old: Vec<u16>) -> World {
        let oracle = Rc::new(RefCell::new(Oracle::new(usize::from(CONTROL) / 2 + 1)));
        let mut world = World {
            fleet: Fleet::new(MEMBERS, seed),
            oracle,
            disks: (0..MEMBERS).map(|_| Disk::default()).collect(),
            locations: vec![0; usize::from(MEMBERS)],
            lists: (0..MEMBERS).map(lists).collect(),
            old,
            token: Token { epoch: 1_700_000_000_000, counter: 0, owner: 0 },
            published: 0,
            rejected_publications: 0,
            failure: None,
        };
        (0..MEMBERS).for_each(|n| world.start(n));
        world.run(S);
        world
    }

    /// Starts a process with what is on its disk.
    pub fn start(&mut self, n: u16) {
        let seed = self.fleet.below(u64::MAX);
        let location = self.locations[usize::from(n)];
        let config = DistributionConfig {
            me: n,
            members: MEMBERS,
            control_nodes: control_nodes(),
            identity: identity(n, location),
            lists: services(self.lists[usize::from(n)]),
            limits: limits(),
            seed,
        };
        let is_old = self.old.contains(&n);
        let (disk, oracle) = (self.disks[usize::from(n)].clone(), self.oracle.clone());
        self.fleet.start(n, |now| {
            let snapshot = disk.borrow().clone();
            let part = if n < CONTROL {
                Part::Control(Box::new(ControlNode::new(config, snapshot, now)))
            } else {
                Part::Sidecar(Box::new(Subscriber::new(config, snapshot, now)))
            };
            let mut member = Member::new(n, part, disk, oracle);
            member.is_old = is_old;
            member
        });
    }

    /// Lets time pass; all invariants over all processes are checked after each step.
    pub fn run(&mut self, length: Micros) {
        let end = self.fleet.now + length;
        while self.failure.is_none() {
            let more = self.fleet.step_until(end);
            self.collect_failure();
            if !more {
                return;
            }
        }
    }

    fn collect_failure(&mut self) {
        if let Some((n, violation)) = self.fleet.violation.take() {
            self.failure.get_or_insert_with(|| format!("member {n}: {violation}"));
        }
        if let Some(failure) = self.oracle.borrow_mut().failure.take() {
            self.failure.get_or_insert(failure);
        }
    }

    fn control(&mut self, n: u16) -> Option<&mut ControlNode> {
        self.fleet.nodes[usize::from(n)].machine.as_mut()?.control()
    }

    /// Control nodes that act as the writer.
    fn acting_writers(&mut self) -> Vec<u16> {
        let ready = |world: &mut World, n: u16| {
            world.control(n).is_some_and(|node| node.figures(0).writer_ready)
        };
        (0..CONTROL).filter(|n| ready(self, *n)).collect()
    }

    /// The number of control nodes that do not vote; a majority has to vote.
    fn non_voting_count(&mut self) -> usize {
        let votes = |world: &mut World, n: u16| {
            world.control(n).is_some_and(|node| !node.figures(0).recovering)
        };
        (0..CONTROL).filter(|n| !votes(self, *n)).count()
    }

    /// Whether this process may be killed, so that no more than a minority has forgotten its votes.
    fn may_kill(&mut self, n: u16) -> bool {
        let votes = n < CONTROL && self.control(n).is_some_and(|node| !node.figures(0).recovering);
        n >= CONTROL || !votes || self.non_voting_count() < usize::from(CONTROL) / 2
    }

    /// Gives the lease to a control node and returns its token.
    pub fn lease(&mut self, n: u16) -> Token {
        self.token = self.token.next(n);
        let token = self.token;
        self.fleet.with(n, |member, now| {
            if let Some(node) = member.control() {
                node.announce_writer(now, token);
            }
            member.process_events(now);
        });
        token
    }

    /// Publishes a document, or a retraction, at a control node.
    pub fn publish(
        &mut self,
        n: u16,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Option<Result<Version, PublishError>> {
        let published = self.fleet.with(n, |member, now| {
            let published = member.control()?.publish(now, key, body);
            member.process_events(now);
            Some(published)
        });
        published.flatten()
    }

    fn body(&mut self, length: u16, kind: u8) -> Vec<u8> {
        self.published += 1;
        let first: &[u8] = match kind {
            0 => b"!",
            1 => b"?",
            _ => b"x",
        };
        let mut body = [first, format!("{}:", self.published).as_bytes()].concat();
        let salt = self.published;
        body.extend((0..u64::from(length)).map(|n| (n * 7 + salt) as u8));
        body
    }

    /// A content that has most of its bytes in common with others of its kind, as lists have.
    fn list_body(&mut self, length: u16, kind: u8) -> Vec<u8> {
        let mut body = self.body(0, kind);
        body.extend((0..u32::from(length)).map(|n| (n * n / 31 + n) as u8));
        body
    }

    /// Applies one step of a script.
    pub fn apply(&mut self, step: &Step) {
        let now = self.fleet.now;
        match *step {
            Step::Lease(n) if self.fleet.awake(n) => {
                self.lease(n);
            }
            Step::Resign(n) if self.fleet.awake(n) => {
                self.fleet.with(n, |member, now| member.control().map(|node| node.resign(now)));
            }
            Step::Publish { writer, key: of, length, kind } => {
                let acting_writers = self.acting_writers();
                let awake: Vec<u16> =
                    acting_writers.into_iter().filter(|n| self.fleet.awake(*n)).collect();
                if let Some(n) = awake.get(usize::from(writer) % awake.len().max(1)).copied() {
                    let is_list = of >= FIRST_LIST;
                    let body = if is_list {
                        self.list_body(length, kind)
                    } else {
                        self.body(length, kind)
                    };
                    let done = self.publish(n, key(of), Some(body));
                    self.rejected_publications += u64::from(!matches!(done, Some(Ok(_))));
                }
            }
            Step::Retract(of) => {
                if let Some(n) =
                    self.acting_writers().first().copied().filter(|n| self.fleet.awake(*n))
                {
                    self.publish(n, key(of), None);
                }
            }
            Step::Burst(count) => {
                for n in 0..count {
                    self.apply(&Step::Publish { writer: 0, key: n % 6, length: 20, kind: 9 });
                }
            }
            Step::Kill(n) if self.may_kill(n) => self.fleet.kill(n),
            Step::KillWriter => {
                for n in self.acting_writers() {
                    self.apply(&Step::Kill(n));
                }
            }
            Step::RestartWithoutDisk(n) if self.may_kill(n) => {
                self.fleet.kill(n);
                self.apply(&Step::Start(n, true));
            }
            Step::Start(n, lost) if self.fleet.nodes[usize::from(n)].machine.is_none() => {
                // A sidecar that has lost its disk would count as another one.
                if lost && n < CONTROL {
                    *self.disks[usize::from(n)].borrow_mut() = None;
                }
                self.start(n);
            }
            Step::Pause(n, ms) => self.pause(n, now + ms * 1_000),
            Step::PauseWriter(ms) => {
                for n in self.acting_writers() {
                    self.pause(n, now + ms * 1_000);
                }
            }
            Step::Cut(side) => self.fleet.cut(side.into()),
            Step::CutOneWay(from, to) => self.fleet.cut_one_way(from.into(), to.into()),
            Step::IsolateWriterWith(one) => {
                if let Some(writer) = self.acting_writers().last().copied() {
                    let side = move |n: u16| n == writer || n == one;
                    self.fleet.passes = Box::new(move |a, b| side(a) == side(b));
                }
            }
            Step::Heal => self.fleet.heal(),
            Step::Loss(hundredths) => self.fleet.set_loss_percent(hundredths),
            Step::Drift(n, thousandths) => self.fleet.set_drift(n, DRIFT, thousandths),
            Step::Jump(n, seconds) => {
                // The clock of a control node that does not vote yet must not jump: see the design note.
                let votes =
                    n >= CONTROL || self.control(n).is_some_and(|node| !node.figures(0).recovering);
                if votes {
                    self.fleet.set_clock(n, 1.0, u64::from(seconds) * S);
                }
            }
            Step::PauseDecisions(n, paused) => {
                self.fleet.with(n, |member, now| {
                    member.decisions_paused = paused;
                    member.process_events(now);
                });
            }
            Step::Relocate(n, location) => {
                self.fleet.kill(n);
                self.locations[usize::from(n)] = location;
                self.start(n);
            }
            Step::Subscribe(n, lists) => {
                self.fleet.kill(n);
                self.lists[usize::from(n)] = lists;
                self.start(n);
            }
            _ => {}
        }
        self.collect_failure();
    }

    fn pause(&mut self, n: u16, until: Micros) {
        self.fleet.nodes[usize::from(n)].paused_until = until;
    }

    /// The version that a sidecar has in force for a key.
    pub fn in_force(&self, n: u16, key: DocumentKey) -> Option<Version> {
        self.fleet.nodes[usize::from(n)].machine.as_ref()?.sidecar()?.version_in_force(key)
    }

    /// Whether a document of this key is for a sidecar.
    pub fn is_for(&self, key: DocumentKey, n: u16) -> bool {
        match key.kind {
            DocumentKind::Configuration => {
                key.scope.covers(&identity(n, self.locations[usize::from(n)]))
            }
            DocumentKind::ServerList => services(self.lists[usize::from(n)])
                .into_iter()
                .any(|service| key == DocumentKey::server_list(service)),
        }
    }

    /// Checks that the writer never expects a list at more sidecars than subscribe to it, and within 3 s at each of
    /// them: a sidecar that returns to a preferred control node is missing until that control node's next report, which
    /// shows it as moving. This holds only for a list that was committed recently, since control nodes report on older
    /// ones in turn.
    fn count(&mut self, writer: u16, key: DocumentKey, version: Version) -> Result<(), String> {
        let wanted = (CONTROL..MEMBERS).filter(|n| self.is_for(key, *n)).count() as u32;
        for last in [false, false, false, true] {
            let report = |member: &mut Member, now| member.control()?.report(now, version);
            let report = self.fleet.with(writer, report).flatten().unwrap_or_default();
            let too_few = report.expected + report.moving < wanted;
            if report.expected > wanted || too_few && last {
                return Err(format!("{key} is wanted by {wanted}: {report:?}"));
            }
            if !too_few {
                break;
            }
            self.run(S);
        }
        Ok(())
    }

    /// Whether a version, or a later one, is in force at all sidecars that it is for and whose hosts accept it.
    pub fn is_everywhere(&self, key: DocumentKey, version: Version, body: Option<&[u8]>) -> bool {
        (CONTROL..MEMBERS).all(|n| {
            !self.is_for(key, n) || !accepts(n, body) || self.in_force(n, key) >= Some(version)
        })
    }

    /// Checks that all control nodes have the same committed documents, and that these are in force wherever they
    /// should be.
    fn check_convergence(&mut self) -> Result<(), String> {
        let documents = |world: &mut World, n| world.control(n).map(|node| node.documents());
        let first = documents(self, 0).unwrap_or_default();
        for n in 1..CONTROL {
            let here = documents(self, n).unwrap_or_default();
            if here != first {
                return Err(format!("control nodes 0 and {n} differ: {first:?}, {here:?}"));
            }
        }
        let committed = self.oracle.borrow().committed.clone();
        let known: BTreeMap<DocumentKey, Version> =
            first.iter().map(|d| (d.key, d.version)).collect();
        for (key, version) in committed {
            if known.get(&key) < Some(&version) {
                return Err(format!("{key} {version} was committed and is lost: {known:?}"));
            }
        }
        for document in first {
            if !self.is_everywhere(document.key, document.version, document.body.as_deref()) {
                let in_force = (CONTROL..MEMBERS).map(|n| self.in_force(n, document.key));
                let in_force: Vec<_> = in_force.collect();
                return Err(format!("{} {}: {in_force:?}", document.key, document.version));
            }
        }
        Ok(())
    }
}

/// Scripts that random generation is unlikely to find.
pub fn corner_cases() -> Vec<Script> {
    let publish = Step::Publish { writer: 0, key: 1, length: 9, kind: 9 };
    // Control node 1 votes for a document of writer 0 and forgets it; then 2 votes for it, and 3 becomes the writer
    // with 1 and 4. By then the first vote does not count any more.
    let forgotten = vec![
        (0, Step::Lease(0)),
        (100, Step::IsolateWriterWith(1)),
        (0, publish),
        (20, Step::Cut(1)),
        (0, Step::RestartWithoutDisk(1)),
        (1_700, Step::IsolateWriterWith(2)),
        (0, Step::Lease(3)),
        (2_500, Step::Wait),
    ];
    vec![forgotten]
}

/// Plays a script, ends all faults, and checks whether a new writer can publish within the time limit.
pub fn play(seed: u64, script: &Script) -> Result<World, String> {
    let mut world = World::with_lists(seed, |n| (n % 7) as u8 + 1);
    play_script(&mut world, script, |world, wait, step| {
        world.run(wait);
        world.apply(step);
        world.failure.take()
    })?;
    end(&mut world)?;
    match world.failure.take() {
        Some(failure) => Err(failure),
        None => Ok(world),
    }
}

/// The end of each script: all faults end, a writer gets the lease, a valid change comes into force and an invalid one
/// is undone.
fn end(world: &mut World) -> Result<(), String> {
    world.apply(&Step::Heal);
    world.fleet.duplicates = 0.0;
    for n in 0..MEMBERS {
        world.pause(n, 0);
        world.apply(&Step::Start(n, false));
        world.fleet.set_clock(n, 1.0, 0);
        world.apply(&Step::PauseDecisions(n, false));
    }
    // The silence after a start, and the wait of sidecars that have tried other control nodes.
    world.run(8 * S);
    world.lease(2);
    world.run(2 * S);
    if let Some(failure) = world.failure.take() {
        return Err(failure);
    }
    let all = key(0);
    let good = b"the end".to_vec();
    let published = world.publish(2, all, Some(good.clone()));
    let Some(Ok(version)) = published else {
        return Err(format!(
            "the fleet has no fault, and the writer cannot publish: {published:?}"
        ));
    };
    let list = key(FIRST_LIST);
    let body = world.list_body(300, 9);
    let Some(Ok(list_version)) = world.publish(2, list, Some(body.clone())) else {
        return Err("a list is not published".into());
    };
    world.run(4 * S);
    if let Some(failure) = world.failure.take() {
        return Err(failure);
    }
    world.check_convergence()?;
    if !world.is_everywhere(all, version, Some(&good)) {
        return Err(format!("{version} is not in force everywhere after 4 s"));
    }
    if !world.is_everywhere(list, list_version, Some(&body)) {
        return Err(format!("list {list_version} is not in force everywhere after 4 s"));
    }
    let Some(Ok(bad)) = world.publish(2, all, Some(b"!bad".to_vec())) else {
        return Err("a second document is not published".into());
    };
    world.run(8 * S);
    let events = world.fleet.nodes[2].machine.as_mut().map(|m| std::mem::take(&mut m.events));
    let stops = |e: &&ControlEvent| matches!(e, ControlEvent::Stopped { stopped, .. } if stopped.version == bad);
    let stopped = events.iter().flatten().filter(stops).count();
    if stopped != 1 {
        return Err(format!("a document that all refuse was stopped {stopped} times"));
    }
    let last = world.control(2).map(|node| node.documents()).unwrap_or_default();
    let last = last.iter().find(|d| d.key == all).cloned();
    match last {
        Some(last) if last.body.as_deref() == Some(&good[..]) => {
            world.check_convergence()?;
            world.count(2, list, list_version)
        }
        last => Err(format!("the previous document was not restored: {last:?}")),
    }
}
