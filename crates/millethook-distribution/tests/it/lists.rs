//! Lists of servers are sent to the sidecars that subscribe to them, and to no others; changes are sent as deltas.

use crate::common::member::Member;
use crate::common::{CONTROL, MEMBERS, World, control_nodes, identity, key, limits};
use millethook_distribution::{
    ConfigError, ControlEvent, ControlNode, DistributionConfig, DocumentKey, MAX_LISTS, Micros,
    Refusal, Rollout, Subscriber, SubscriberEvent, Token, Version,
};
use millethook_machine::sim::SECOND as S;
use proptest::prelude::*;

fn publish(world: &mut World, key: DocumentKey, body: &[u8]) -> Version {
    match world.publish(0, key, Some(body.to_vec())) {
        Some(Ok(version)) => version,
        other => panic!("it is the writer: {other:?}"),
    }
}

fn report(world: &mut World, version: Version) -> Rollout {
    let report = |member: &mut Member, now| member.control()?.report(now, version);
    world.fleet.with(0, report).flatten().expect("it is the latest of its key")
}

/// A content that resembles a list of servers, without the servers for which `is_removed` is true.
fn list(servers: usize, changed: usize, is_removed: impl Fn(usize) -> bool) -> Vec<u8> {
    let server = |n: usize| {
        let weight = if n == changed { 7 } else { 100 };
        format!("server-{n:05} 10.{}.{}.9:8080 {weight}\n", n / 250, n % 250)
    };
    (0..servers).filter(|n| !is_removed(*n)).map(server).collect::<String>().into_bytes()
}

#[test]
fn a_list_reaches_its_subscribers_and_not_the_sidecars_beside_the_service() {
    // Odd sidecars subscribe to the list of service 0; the even ones run beside that service.
    let mut world = World::with_lists(3, |n| (n % 2) as u8);
    assert_eq!(identity(CONTROL + 1, 0).service, 0);
    world.lease(0);
    world.run(8 * S);
    let list = DocumentKey::server_list(0);
    let version = publish(&mut world, list, b"a:1");
    let configuration = publish(&mut world, key(3), b"for service 0");
    world.run(3 * S);
    for n in CONTROL..MEMBERS {
        let odd = n % 2 == 1;
        assert_eq!(world.in_force(n, list), odd.then_some(version), "{n}");
        assert_eq!(world.in_force(n, key(3)), (!odd).then_some(configuration), "{n}");
    }
    let rollout = report(&mut world, version);
    assert_eq!((rollout.expected, rollout.in_force, rollout.refused), (3, 3, 0), "{rollout:?}");
    assert!(rollout.is_complete(), "{rollout:?}");
    assert_eq!(world.failure, None);
}

#[test]
fn a_restarted_sidecar_receives_the_lists_it_subscribes_to_now() {
    let mut world = World::with_lists(4, |_| 0b011);
    world.lease(0);
    world.run(8 * S);
    let lists: Vec<DocumentKey> = (0..3).map(DocumentKey::server_list).collect();
    let versions: Vec<Version> =
        lists.iter().map(|list| publish(&mut world, *list, b"a:1")).collect();
    world.run(2 * S);
    let in_force = |world: &World, n| [0, 1, 2].map(|l| world.in_force(n, lists[l]));
    let first = [Some(versions[0]), Some(versions[1]), None];
    assert_eq!(in_force(&world, CONTROL), first);
    // One now subscribes to other lists, and one to none.
    world.apply(&crate::common::Step::Subscribe(CONTROL, 0b110));
    world.apply(&crate::common::Step::Subscribe(CONTROL + 1, 0));
    world.run(2 * S);
    assert_eq!(in_force(&world, CONTROL), [None, Some(versions[1]), Some(versions[2])]);
    assert_eq!(in_force(&world, CONTROL + 1), [None, None, None]);
    assert_eq!(in_force(&world, CONTROL + 2), first);
    // It is expected to have them until the control node knows that it subscribes to none.
    world.run(32 * S);
    let counts = versions.clone().into_iter().map(|v| report(&mut world, v).expected);
    assert_eq!(counts.collect::<Vec<_>>(), [4, 5, 1]);
    assert!(versions.into_iter().all(|v| report(&mut world, v).is_complete()));
    assert_eq!(world.failure, None);
}

#[test]
fn too_many_refusals_among_subscribers_restore_the_previous_list() {
    // Sidecars 5 and 7 subscribe to it; both refuse.
    let mut world = World::with_lists(5, |n| u8::from(n == 5 || n == 7));
    world.lease(0);
    world.run(8 * S);
    let list = DocumentKey::server_list(0);
    publish(&mut world, list, b"good");
    world.run(5 * S);
    let bad = publish(&mut world, list, b"!bad");
    world.run(5 * S);
    let events = world.fleet.nodes[0].machine.as_ref().map(|m| &m.events).expect("it runs");
    let stopped = events.iter().find_map(|event| match event {
        ControlEvent::Stopped { stopped, restored, .. } => Some((stopped.version, *restored)),
        _ => None,
    });
    let (stopped, restored) = stopped.expect("it is stopped");
    assert_eq!(stopped, bad);
    assert_eq!(world.in_force(5, list), Some(restored));
    assert_eq!(world.in_force(6, list), None);
    assert_eq!(world.failure, None);
}

/// Some control nodes and some sidecars run a build that drops the new messages and sends none.
#[test]
fn builds_with_and_without_lists_interoperate() {
    for old in [vec![0, 1], vec![2, 3, 4], vec![1, 6, 8], vec![0, 1, 2, 3, 4]] {
        let is_old = |n: u16| old.contains(&n);
        let mut world = World::with_builds(6, |n| u8::from(!is_old(n)), old.clone());
        world.lease(0);
        world.run(8 * S);
        let list = DocumentKey::server_list(0);
        let first = publish(&mut world, list, &list_of(0));
        let second = publish(&mut world, list, &list_of(1));
        let configuration = publish(&mut world, key(0), b"for all");
        assert!(first < second);
        world.run(5 * S);
        for n in CONTROL..MEMBERS {
            assert_eq!(world.in_force(n, key(0)), Some(configuration), "{old:?}: {n}");
            if is_old(n) || old.len() == 5 {
                assert_eq!(world.in_force(n, list), None, "{old:?}: {n}");
            }
        }
        // A sidecar receives lists if one of its two control nodes knows them.
        if old.iter().filter(|n| **n < CONTROL).count() <= 1 {
            let new = (CONTROL..MEMBERS).filter(|n| !is_old(*n));
            assert!(new.into_iter().all(|n| world.in_force(n, list) == Some(second)), "{old:?}");
        }
        let rollout = report(&mut world, configuration);
        assert!(rollout.is_complete() && rollout.expected == 6, "{old:?}: {rollout:?}");
        assert_eq!(world.failure, None, "{old:?}");
    }
}

fn list_of(changed: usize) -> Vec<u8> {
    list(20, changed, |_| false)
}

#[test]
fn more_lists_than_allowed_are_an_error() {
    let mut config = config(CONTROL, (0..64).chain(0..64).collect());
    assert_eq!(config.check(), Ok(()));
    config.lists.push(64);
    assert_eq!(config.check(), Err(ConfigError::TooManyLists { found: 65 }));
}

fn config(me: u16, lists: Vec<u32>) -> DistributionConfig {
    DistributionConfig {
        me,
        members: MEMBERS,
        control_nodes: control_nodes()[..1].to_vec(),
        identity: identity(me, 0),
        lists,
        limits: limits(),
        seed: 7,
    }
}

/// One control node, which is the writer, and one sidecar.
struct Pair {
    node: ControlNode,
    sidecar: Subscriber,
    now: Micros,
    /// Bytes of contents sent to the sidecar and by the sidecar.
    bytes: (usize, usize),
    longest: usize,
}

impl Pair {
    fn new(lists: Vec<u32>) -> Pair {
        let limits = millethook_distribution::Limits { documents: 200, ..limits() };
        let node_config = DistributionConfig { limits, ..config(0, Vec::new()) };
        let mut pair = Pair {
            node: ControlNode::new(node_config, None, 0),
            sidecar: Subscriber::new(config(CONTROL, lists), None, 0),
            now: 0,
            bytes: (0, 0),
            longest: 0,
        };
        pair.run(3 * S);
        let token = Token { epoch: 1_700_000_000_000, counter: 1, owner: 0 };
        pair.node.announce_writer(pair.now, token);
        pair.run(S);
        pair
    }

    fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while self.now < end {
            self.now += 2_000;
            self.node.tick(self.now);
            self.sidecar.tick(self.now);
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        loop {
            let down: Vec<_> = std::iter::from_fn(|| self.node.poll_transmit()).collect();
            let up: Vec<_> = std::iter::from_fn(|| self.sidecar.poll_transmit()).collect();
            if down.is_empty() && up.is_empty() {
                return;
            }
            for (_, content) in down {
                self.bytes.0 += content.len();
                self.longest = self.longest.max(content.len());
                self.sidecar.handle(self.now, 0, &content);
            }
            for (_, content) in up {
                self.bytes.1 += content.len();
                self.longest = self.longest.max(content.len());
                self.node.handle(self.now, CONTROL, &content);
            }
            assert_eq!((self.node.check(self.now), self.sidecar.check(self.now)), (Ok(()), Ok(())));
        }
    }

    fn accept_all(&mut self) {
        while let Some(SubscriberEvent::Offered { documents }) = self.sidecar.poll_event() {
            let versions: Vec<Version> = documents.iter().map(|d| d.version).collect();
            self.sidecar.accept(self.now, &versions).expect("it is offered");
        }
    }

    /// Publishes a content and lets the sidecar accept it; returns the bytes sent to the sidecar.
    fn publish_and_accept(&mut self, key: DocumentKey, body: &[u8]) -> usize {
        let before = self.bytes.0;
        let version =
            self.node.publish(self.now, key, Some(body.to_vec())).expect("it is the writer");
        for _ in 0..10 {
            self.run(S / 10);
            self.accept_all();
        }
        assert_eq!(self.sidecar.version_in_force(key), Some(version));
        let in_force = self.sidecar.in_force().into_iter().find(|d| d.key == key);
        let in_force = in_force.and_then(|d| d.body.clone());
        assert!(in_force.as_deref() == Some(body), "another content came into force");
        self.bytes.0 - before
    }
}

#[test]
fn the_maximum_number_of_lists_arrives_and_is_reported_in_bounded_messages() {
    let services: Vec<u32> = (1_000_000..1_000_000 + MAX_LISTS as u32).collect();
    let mut pair = Pair::new(services.clone());
    for service in &services {
        let key = DocumentKey::server_list(*service);
        pair.node.publish(pair.now, key, Some(list(12, 0, |_| false))).expect("it is the writer");
    }
    let other = DocumentKey::server_list(5);
    pair.node.publish(pair.now, other, Some(vec![1])).expect("it is the writer");
    pair.run(S);
    pair.accept_all();
    pair.run(S);
    let keys: Vec<DocumentKey> = pair.sidecar.in_force().iter().map(|d| d.key).collect();
    let expected: Vec<_> = services.into_iter().map(DocumentKey::server_list).collect();
    assert_eq!(keys, expected);
    assert!(pair.longest <= 241, "a message of {} bytes", pair.longest);
    let version = pair.sidecar.version_in_force(expected[63]).expect("it is in force");
    pair.run(6 * S);
    let rollout = pair.node.report(pair.now, version).expect("it is the latest");
    assert_eq!((rollout.expected, rollout.in_force), (1, 1));
    // Once the control node knows the statuses, only the hash is sent.
    let before = pair.bytes;
    pair.run(40 * S);
    let idle_rate = (pair.bytes.1 - before.1) as f64 / 40.0;
    println!("64 lists, quiet: the sidecar sends {idle_rate} bytes of contents a second");
    assert!(idle_rate < 40.0, "{idle_rate} bytes a second");
}

#[test]
fn only_what_has_changed_in_a_list_is_sent() {
    let mut pair = Pair::new(vec![5]);
    let key = DocumentKey::server_list(5);
    let complete = pair.publish_and_accept(key, &list(1_000, 0, |_| false));
    let one = pair.publish_and_accept(key, &list(1_000, 600, |_| false));
    let spread = pair.publish_and_accept(key, &list(1_000, 600, |n| n % 6 == 3));
    let back = pair.publish_and_accept(key, &list(1_000, 600, |_| false));
    let consecutive = pair.publish_and_accept(key, &list(1_000, 600, |n| (300..467).contains(&n)));
    println!(
        "bytes to the sidecar in 1 s: complete {complete}, one changes {one}, 167 spread ones leave {spread} and come {back}, \
         167 in a row leave {consecutive}"
    );
    assert!(complete > 30_000, "{complete}");
    assert!(one < 1_000 && consecutive < 1_000, "{one}, {consecutive}");
    assert!(spread < 4_000, "{spread}");
    assert_eq!(pair.sidecar.figures().deltas, 4);
}

/// At 20% loss (a fifth of all datagrams), a sidecar may learn of a list from its second control node before the first
/// one has it. It still waits for the delta.
#[test]
fn list_changes_arrive_as_deltas_under_loss() {
    let (mut deltas, mut changes) = (0, 0);
    for seed in 0..4 {
        let mut world = World::with_lists(seed, |_| 1);
        world.lease(0);
        world.run(8 * S);
        let key = DocumentKey::server_list(0);
        publish(&mut world, key, &list(200, 0, |_| false));
        world.run(4 * S);
        world.fleet.loss = 0.2;
        for changed in 1..=10 {
            let version = publish(&mut world, key, &list(200, changed, |n| n % 6 == changed % 6));
            world.run(4 * S);
            for n in CONTROL..MEMBERS {
                assert_eq!(world.in_force(n, key), Some(version), "{seed}: {changed} at {n}");
            }
            changes += u64::from(MEMBERS - CONTROL);
        }
        let figures = world.fleet.machines().filter_map(|m| Some(m.sidecar()?.figures()));
        deltas += figures.map(|figures| figures.deltas).sum::<u64>();
        assert_eq!(world.failure, None);
    }
    println!("{deltas} of {changes} changes came as deltas at 20% loss");
    assert!(deltas * 10 >= changes * 9, "{deltas} of {changes}");
}

#[test]
fn a_sidecar_without_the_base_receives_the_complete_list() {
    let mut pair = Pair::new(vec![5]);
    let key = DocumentKey::server_list(5);
    pair.publish_and_accept(key, &list(1_000, 0, |_| false));
    // It restarts without its disk; the control node assumes that it still has the base.
    pair.sidecar = Subscriber::new(config(CONTROL, vec![5]), None, pair.now);
    pair.publish_and_accept(key, &list(1_000, 1, |_| false));
    assert_eq!(pair.sidecar.figures().deltas, 0);
}

#[test]
fn a_late_decision_on_one_kind_does_not_delay_another() {
    let mut pair = Pair::new(vec![5]);
    let (list, configuration) = (DocumentKey::server_list(5), key(0));
    pair.node.publish(pair.now, configuration, Some(b"bad".to_vec())).expect("it is the writer");
    pair.run(S);
    let Some(SubscriberEvent::Offered { documents }) = pair.sidecar.poll_event() else { panic!() };
    assert_eq!(documents.iter().map(|d| d.key).collect::<Vec<_>>(), [configuration]);
    let pending = documents[0].version;
    // While the configuration waits, and after it was refused, the list arrives and is accepted.
    for n in 0..2 {
        let version = pair.node.publish(pair.now, list, Some(vec![n; 3])).expect("a writer");
        pair.run(S);
        let Some(SubscriberEvent::Offered { documents }) = pair.sidecar.poll_event() else {
            panic!()
        };
        assert_eq!(documents.iter().map(|d| d.version).collect::<Vec<_>>(), [version]);
        assert_eq!(pair.sidecar.accept(pair.now, &[version]), Ok(()));
        if n == 0 {
            let why = Refusal { code: 1, reason: "it is bad".into() };
            assert_eq!(pair.sidecar.refuse(pair.now, pending, why), Ok(()));
        }
        assert_eq!(pair.sidecar.poll_event(), None);
    }
    assert_eq!(pair.sidecar.version_in_force(configuration), None);
}

fn content() -> impl Strategy<Value = Vec<u8>> {
    // Few distinct values, so that the same ranges occur at many positions.
    prop::collection::vec(prop_oneof![Just(1u8), Just(2), any::<u8>()], 0..3_000)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any two contents: ranges of the first one, cut, repeated and moved, between random bytes.
    #[test]
    fn content_in_force_equals_published_content(
        first in content(),
        pieces in prop::collection::vec((any::<u16>(), any::<u16>(), prop::collection::vec(any::<u8>(), 0..20)), 0..12),
    ) {
        let mut second = Vec::new();
        for (begin, end, between) in pieces {
            let offset = |n: u16| usize::from(n) * first.len() / 65_536;
            let (begin, end) = (offset(begin), offset(end));
            second.extend_from_slice(first.get(begin..end).unwrap_or_default());
            second.extend(between);
        }
        let mut pair = Pair::new(vec![5]);
        let key = DocumentKey::server_list(5);
        pair.publish_and_accept(key, &first);
        pair.publish_and_accept(key, &second);
    }
}
