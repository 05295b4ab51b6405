//! Random scripts of changes and faults on a fleet of control nodes and sidecars, and what may never be.

#![allow(dead_code)]

pub mod member;
pub mod truth;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use member::{Disk, Member, Part, takes};
use millethook_distribution::{
    ControlEvent, ControlMember, ControlNode, DistributionConfig, DocumentKey, DocumentKind,
    Identity, Limits, Micros, PublishError, Scope, Subscriber, Token, Version,
};
use millethook_machine::sim::{Fleet, SECOND as S, play_script};
use proptest::prelude::*;
use truth::Truth;

/// Control nodes, in three zones of two regions.
pub const CONTROL: u16 = 5;
/// Sidecars, behind them.
pub const SIDECARS: u16 = 6;
pub const MEMBERS: u16 = CONTROL + SIDECARS;
/// How much faster or slower any clock runs, at most.
pub const DRIFT: f64 = 0.1;

/// One step of a script.
#[derive(Clone, Debug)]
pub enum Act {
    /// The lease goes to a control node; the one before is not told.
    Lease(u16),
    Resign(u16),
    /// Whoever believes to be a writer publishes: by which one of them, the key, the length of the content, its kind.
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
    /// Whether its disk is lost, too.
    Start(u16, bool),
    /// Milliseconds.
    Pause(u16, u64),
    PauseWriter(u64),
    KillWriter,
    /// It starts again at once, without its disk.
    Forget(u16),
    /// Bit by member.
    Cut(u16),
    CutOneWay(u16, u16),
    /// All but one control node are cut off from the writer.
    LeaveWriterOne(u16),
    Heal,
    /// Hundredths.
    Loss(u8),
    /// In thousandths of the bound, signed.
    Drift(u16, i16),
    /// Seconds.
    Jump(u16, u8),
    /// A sidecar's host decides nothing, or goes on.
    Hold(u16, bool),
    /// A sidecar starts again in another zone, beside another service.
    Relocate(u16, u8),
    /// A sidecar starts again and wants other lists: bit by service.
    Want(u16, u8),
    Wait,
}

/// A step, and how many milliseconds after the one before.
pub type Script = Vec<(u64, Act)>;

pub fn script(length: usize) -> impl Strategy<Value = Script> {
    let control = 0..CONTROL;
    let member = 0..MEMBERS;
    let sidecar = CONTROL..MEMBERS;
    let publish =
        (any::<u8>(), 0u8..KEYS, prop_oneof![3 => 0u16..150, 1 => 150u16..1_500], 0u8..12);
    let act = prop_oneof![
        6 => control.clone().prop_map(Act::Lease),
        1 => control.clone().prop_map(Act::Resign),
        16 => publish.prop_map(|(writer, key, length, kind)| Act::Publish { writer, key, length, kind }),
        1 => (0u8..KEYS).prop_map(Act::Retract),
        1 => (1u8..30).prop_map(Act::Burst),
        4 => member.clone().prop_map(Act::Kill),
        8 => (member.clone(), any::<bool>()).prop_map(|(n, lost)| Act::Start(n, lost)),
        2 => (member.clone(), 10u64..5_000).prop_map(|(n, ms)| Act::Pause(n, ms)),
        2 => (10u64..6_000).prop_map(Act::PauseWriter),
        2 => Just(Act::KillWriter),
        3 => control.clone().prop_map(Act::Forget),
        3 => any::<u16>().prop_map(Act::Cut),
        1 => (any::<u16>(), any::<u16>()).prop_map(|(a, b)| Act::CutOneWay(a, b)),
        3 => control.prop_map(Act::LeaveWriterOne),
        4 => Just(Act::Heal),
        1 => (0u8..40).prop_map(Act::Loss),
        1 => (member.clone(), -1_000i16..=1_000).prop_map(|(n, d)| Act::Drift(n, d)),
        1 => (member, 1u8..20).prop_map(|(n, s)| Act::Jump(n, s)),
        2 => (sidecar.clone(), any::<bool>()).prop_map(|(n, holds)| Act::Hold(n, holds)),
        1 => (sidecar.clone(), 0u8..6).prop_map(|(n, to)| Act::Relocate(n, to)),
        1 => (sidecar, 1u8..8).prop_map(|(n, lists)| Act::Want(n, lists)),
        3 => Just(Act::Wait),
    ];
    let gap = prop_oneof![4 => 0u64..10, 3 => 0u64..300, 3 => 0u64..2_500];
    prop::collection::vec((gap, act), 1..length)
}

/// The keys that scripts speak of.
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

/// Keys that scripts speak of, and the first list of these.
const KEYS: u8 = 9;
pub const FIRST_LIST: u8 = 6;

/// The services whose lists a sidecar wants: bit by service.
pub fn services(lists: u8) -> Vec<u32> {
    (0..8).filter(|service| lists >> service & 1 > 0).collect()
}

pub fn control_nodes() -> Vec<ControlMember> {
    let node =
        |n: u16| ControlMember { number: n, zone: u32::from(n % 3), region: u32::from(n % 3 / 2) };
    (0..CONTROL).map(node).collect()
}

/// Where a member stands; `place` moves it elsewhere.
pub fn identity(number: u16, place: u8) -> Identity {
    let zone = (u32::from(number) + u32::from(place)) % 3;
    let service = (u32::from(number) + u32::from(place / 3)) % 2;
    Identity { region: zone / 2, zone, service, number }
}

pub fn limits() -> Limits {
    Limits { silence: S, give_up_after: 0, rate: 200_000, documents: 16, ..Limits::default() }
}

/// The fleet, and what has come of it.
pub struct World {
    pub fleet: Fleet<Member>,
    pub truth: Rc<RefCell<Truth>>,
    disks: Vec<Disk>,
    places: Vec<u8>,
    /// The lists that members want: bit by service.
    pub lists: Vec<u8>,
    /// Members of a build without lists.
    old: Vec<u16>,
    token: Token,
    published: u64,
    pub refused_to_publish: u64,
    pub broken: Option<String>,
}

impl World {
    /// A fleet in which nobody wants lists.
    pub fn new(seed: u64) -> World {
        World::with_lists(seed, |_| 0)
    }

    pub fn with_lists(seed: u64, lists: impl Fn(u16) -> u8) -> World {
        World::with_builds(seed, lists, Vec::new())
    }

    pub fn with_builds(seed: u64, lists: impl Fn(u16) -> u8, old: Vec<u16>) -> World {
        let truth = Rc::new(RefCell::new(Truth::new(usize::from(CONTROL) / 2 + 1)));
        let mut world = World {
            fleet: Fleet::new(MEMBERS, seed),
            truth,
            disks: (0..MEMBERS).map(|_| Disk::default()).collect(),
            places: vec![0; usize::from(MEMBERS)],
            lists: (0..MEMBERS).map(lists).collect(),
            old,
            token: Token { epoch: 1_700_000_000_000, counter: 0, owner: 0 },
            published: 0,
            refused_to_publish: 0,
            broken: None,
        };
        (0..MEMBERS).for_each(|n| world.start(n));
        world.run(S);
        world
    }

    pub fn start(&mut self, n: u16) {
        let seed = self.fleet.below(u64::MAX);
        let place = self.places[usize::from(n)];
        let config = DistributionConfig {
            me: n,
            members: MEMBERS,
            control_nodes: control_nodes(),
            identity: identity(n, place),
            lists: services(self.lists[usize::from(n)]),
            limits: limits(),
            seed,
        };
        let is_old = self.old.contains(&n);
        let (disk, truth) = (self.disks[usize::from(n)].clone(), self.truth.clone());
        self.fleet.start(n, |now| {
            let snapshot = disk.borrow().clone();
            let part = if n < CONTROL {
                Part::Control(Box::new(ControlNode::new(config, snapshot, now)))
            } else {
                Part::Sidecar(Box::new(Subscriber::new(config, snapshot, now)))
            };
            let mut member = Member::new(n, part, disk, truth);
            member.is_old = is_old;
            member
        });
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

    fn look(&mut self) {
        if let Some((n, violation)) = self.fleet.violation.take() {
            self.broken.get_or_insert_with(|| format!("member {n}: {violation}"));
        }
        if let Some(broken) = self.truth.borrow_mut().broken.take() {
            self.broken.get_or_insert(broken);
        }
    }

    fn control(&mut self, n: u16) -> Option<&mut ControlNode> {
        self.fleet.nodes[usize::from(n)].machine.as_mut()?.control()
    }

    /// Control nodes that believe to be the writer.
    fn believers(&mut self) -> Vec<u16> {
        let ready = |world: &mut World, n: u16| {
            world.control(n).is_some_and(|node| node.figures(0).writer_ready)
        };
        (0..CONTROL).filter(|n| ready(self, *n)).collect()
    }

    /// Control nodes that do not vote: a majority has to.
    fn silent(&mut self) -> usize {
        let votes = |world: &mut World, n: u16| {
            world.control(n).is_some_and(|node| !node.figures(0).recovering)
        };
        (0..CONTROL).filter(|n| !votes(self, *n)).count()
    }

    /// Whether this one may be killed without that more than a minority has forgotten its votes.
    fn may_kill(&mut self, n: u16) -> bool {
        let votes = n < CONTROL && self.control(n).is_some_and(|node| !node.figures(0).recovering);
        n >= CONTROL || !votes || self.silent() < usize::from(CONTROL) / 2
    }

    pub fn lease(&mut self, n: u16) -> Token {
        self.token = self.token.next(n);
        let token = self.token;
        self.fleet.with(n, |member, now| {
            if let Some(node) = member.control() {
                node.announce_writer(now, token);
            }
            member.settle(now);
        });
        token
    }

    pub fn publish(
        &mut self,
        n: u16,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Option<Result<Version, PublishError>> {
        let published = self.fleet.with(n, |member, now| {
            let published = member.control()?.publish(now, key, body);
            member.settle(now);
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

    pub fn act(&mut self, act: &Act) {
        let now = self.fleet.now;
        match *act {
            Act::Lease(n) if self.fleet.awake(n) => {
                self.lease(n);
            }
            Act::Resign(n) if self.fleet.awake(n) => {
                self.fleet.with(n, |member, now| member.control().map(|node| node.resign(now)));
            }
            Act::Publish { writer, key: of, length, kind } => {
                let believers = self.believers();
                let awake: Vec<u16> =
                    believers.into_iter().filter(|n| self.fleet.awake(*n)).collect();
                if let Some(n) = awake.get(usize::from(writer) % awake.len().max(1)).copied() {
                    let is_list = of >= FIRST_LIST;
                    let body = if is_list {
                        self.list_body(length, kind)
                    } else {
                        self.body(length, kind)
                    };
                    let done = self.publish(n, key(of), Some(body));
                    self.refused_to_publish += u64::from(!matches!(done, Some(Ok(_))));
                }
            }
            Act::Retract(of) => {
                if let Some(n) = self.believers().first().copied().filter(|n| self.fleet.awake(*n))
                {
                    self.publish(n, key(of), None);
                }
            }
            Act::Burst(count) => {
                for n in 0..count {
                    self.act(&Act::Publish { writer: 0, key: n % 6, length: 20, kind: 9 });
                }
            }
            Act::Kill(n) if self.may_kill(n) => self.fleet.kill(n),
            Act::KillWriter => {
                for n in self.believers() {
                    self.act(&Act::Kill(n));
                }
            }
            Act::Forget(n) if self.may_kill(n) => {
                self.fleet.kill(n);
                self.act(&Act::Start(n, true));
            }
            Act::Start(n, lost) if self.fleet.nodes[usize::from(n)].machine.is_none() => {
                // A sidecar that has lost its disk is another one.
                if lost && n < CONTROL {
                    *self.disks[usize::from(n)].borrow_mut() = None;
                }
                self.start(n);
            }
            Act::Pause(n, ms) => self.pause(n, now + ms * 1_000),
            Act::PauseWriter(ms) => {
                for n in self.believers() {
                    self.pause(n, now + ms * 1_000);
                }
            }
            Act::Cut(side) => self.fleet.cut(side.into()),
            Act::CutOneWay(from, to) => self.fleet.cut_one_way(from.into(), to.into()),
            Act::LeaveWriterOne(one) => {
                if let Some(writer) = self.believers().last().copied() {
                    let side = move |n: u16| n == writer || n == one;
                    self.fleet.passes = Box::new(move |a, b| side(a) == side(b));
                }
            }
            Act::Heal => self.fleet.heal(),
            Act::Loss(hundredths) => self.fleet.set_loss_percent(hundredths),
            Act::Drift(n, thousandths) => self.fleet.set_drift(n, DRIFT, thousandths),
            Act::Jump(n, seconds) => {
                // The clock of a control node that does not vote yet may not jump: see the design note.
                let votes =
                    n >= CONTROL || self.control(n).is_some_and(|node| !node.figures(0).recovering);
                if votes {
                    self.fleet.set_clock(n, 1.0, u64::from(seconds) * S);
                }
            }
            Act::Hold(n, holds) => {
                self.fleet.with(n, |member, now| {
                    member.holds = holds;
                    member.settle(now);
                });
            }
            Act::Relocate(n, place) => {
                self.fleet.kill(n);
                self.places[usize::from(n)] = place;
                self.start(n);
            }
            Act::Want(n, lists) => {
                self.fleet.kill(n);
                self.lists[usize::from(n)] = lists;
                self.start(n);
            }
            _ => {}
        }
        self.look();
    }

    fn pause(&mut self, n: u16, until: Micros) {
        self.fleet.nodes[usize::from(n)].paused_until = until;
    }

    /// What a sidecar has in force of a key.
    pub fn in_force(&self, n: u16, key: DocumentKey) -> Option<Version> {
        self.fleet.nodes[usize::from(n)].machine.as_ref()?.sidecar()?.version_in_force(key)
    }

    /// Whether a document of this key is for a sidecar.
    pub fn is_for(&self, key: DocumentKey, n: u16) -> bool {
        match key.kind {
            DocumentKind::Configuration => {
                key.scope.covers(&identity(n, self.places[usize::from(n)]))
            }
            DocumentKind::ServerList => services(self.lists[usize::from(n)])
                .into_iter()
                .any(|service| key == DocumentKey::server_list(service)),
        }
    }

    /// The writer never expects a list at more sidecars than want it, and within 3 s at each of them: a sidecar that goes
    /// back to a better control node just then is missing until that one's next report, and is shown as moving then.
    /// Only for one that was committed lately: on others control nodes report in turn.
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

    /// Whether a version, or a later one, is in force at all sidecars that it is for and whose hosts take it.
    pub fn is_everywhere(&self, key: DocumentKey, version: Version, body: Option<&[u8]>) -> bool {
        (CONTROL..MEMBERS).all(|n| {
            !self.is_for(key, n) || !takes(n, body) || self.in_force(n, key) >= Some(version)
        })
    }

    /// All that is committed is the same at all control nodes, and in force wherever it should be.
    fn whole(&mut self) -> Result<(), String> {
        let documents = |world: &mut World, n| world.control(n).map(|node| node.documents());
        let first = documents(self, 0).unwrap_or_default();
        for n in 1..CONTROL {
            let here = documents(self, n).unwrap_or_default();
            if here != first {
                return Err(format!("control nodes 0 and {n} differ: {first:?}, {here:?}"));
            }
        }
        let committed = self.truth.borrow().committed.clone();
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

/// Scripts that chance would take too long to come by.
pub fn corners() -> Vec<Script> {
    let publish = Act::Publish { writer: 0, key: 1, length: 9, kind: 9 };
    // Control node 1 votes for a document of writer 0 and forgets it; then 2 votes for it, and 3 becomes the writer with
    // 1 and 4. The first vote counts no more by then.
    let forgotten = vec![
        (0, Act::Lease(0)),
        (100, Act::LeaveWriterOne(1)),
        (0, publish),
        (20, Act::Cut(1)),
        (0, Act::Forget(1)),
        (1_700, Act::LeaveWriterOne(2)),
        (0, Act::Lease(3)),
        (2_500, Act::Wait),
    ];
    vec![forgotten]
}

/// Plays a script, lets the fleet be whole, and looks whether a new writer can change things within the time.
pub fn play(seed: u64, script: &Script) -> Result<World, String> {
    let mut world = World::with_lists(seed, |n| (n % 7) as u8 + 1);
    play_script(&mut world, script, |world, wait, act| {
        world.run(wait);
        world.act(act);
        world.broken.take()
    })?;
    end(&mut world)?;
    match world.broken.take() {
        Some(broken) => Err(broken),
        None => Ok(world),
    }
}

/// The end of each play: all is mended, a writer is there, a good change comes through and a bad one is put back.
fn end(world: &mut World) -> Result<(), String> {
    world.act(&Act::Heal);
    world.fleet.duplicates = 0.0;
    for n in 0..MEMBERS {
        world.pause(n, 0);
        world.act(&Act::Start(n, false));
        world.fleet.set_clock(n, 1.0, 0);
        world.act(&Act::Hold(n, false));
    }
    // Silence after a start, and the wait of those that tried others.
    world.run(8 * S);
    world.lease(2);
    world.run(2 * S);
    if let Some(broken) = world.broken.take() {
        return Err(broken);
    }
    let all = key(0);
    let good = b"the end".to_vec();
    let published = world.publish(2, all, Some(good.clone()));
    let Some(Ok(version)) = published else {
        return Err(format!("a whole fleet, and the writer cannot publish: {published:?}"));
    };
    let list = key(FIRST_LIST);
    let body = world.list_body(300, 9);
    let Some(Ok(list_version)) = world.publish(2, list, Some(body.clone())) else {
        return Err("a list is not published".into());
    };
    world.run(4 * S);
    if let Some(broken) = world.broken.take() {
        return Err(broken);
    }
    world.whole()?;
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
            world.whole()?;
            world.count(2, list, list_version)
        }
        last => Err(format!("the document before was not put back: {last:?}")),
    }
}
