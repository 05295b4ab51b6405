//! A sidecar that moves from one control node to another is counted once at the writer, whatever state the previous
//! control node is in.

use crate::common::{CONTROL, FIRST_LIST, Step, World, key};
use millethook_distribution::{ControlEvent, DocumentKey, Rollout, Scope, Version};
use millethook_machine::sim::SECOND as S;

/// The sidecar that moves. Its first control node is the only one in its zone.
const SIDECAR: u16 = CONTROL;
const FIRST: u16 = 2;
const WRITER: u16 = 0;

/// A fleet with one document, for one sidecar, which refuses it. One refusal is too few to stop it.
fn world_with_one_refusal(seed: u64) -> (World, Version) {
    let mut world = World::new(seed);
    world.lease(WRITER);
    world.run(8 * S);
    let own: DocumentKey = key(5);
    assert_eq!(own.scope, Scope::Sidecar(SIDECAR));
    let Some(Ok(version)) = world.publish(WRITER, own, Some(b"!bad".to_vec())) else {
        panic!("it is the writer")
    };
    world.run(4 * S);
    let rollout = report(&mut world, version);
    assert_eq!((rollout.expected, rollout.refused, rollout.moving), (1, 1, 0), "{rollout:?}");
    assert_eq!(first_of(&mut world, FIRST), 2);
    (world, version)
}

fn report(world: &mut World, version: Version) -> Rollout {
    let report =
        |member: &mut crate::common::member::Member, now| member.control()?.report(now, version);
    world.fleet.with(WRITER, report).flatten().expect("it is the latest of its key")
}

fn first_of(world: &mut World, n: u16) -> usize {
    let count = |member: &mut crate::common::member::Member, now| {
        Some(member.control()?.figures(now).first_of)
    };
    world.fleet.with(n, count).flatten().unwrap_or(0)
}

fn was_stopped(world: &mut World) -> bool {
    let events = world.fleet.nodes[usize::from(WRITER)].machine.as_ref().map(|m| &m.events);
    let stopped = |event: &ControlEvent| matches!(event, ControlEvent::Stopped { .. });
    events.is_some_and(|events| events.iter().any(stopped))
}

/// Runs for this many seconds and checks that the sidecar is never counted more than once.
fn assert_counted_once(world: &mut World, version: Version, seconds: u64) {
    for _ in 0..seconds * 20 {
        world.run(S / 20);
        assert!(!was_stopped(world), "one refusal has stopped a document");
        let rollout = report(world, version);
        assert!(rollout.expected <= 1 && rollout.refused <= 1, "counted twice: {rollout:?}");
    }
    assert_eq!(world.failure, None);
}

#[test]
fn a_sidecar_cut_off_from_its_control_node_is_counted_once() {
    for seed in 0..8 {
        let (mut world, version) = world_with_one_refusal(seed);
        world.fleet.passes =
            Box::new(|a, b| (a, b) != (SIDECAR, FIRST) && (b, a) != (SIDECAR, FIRST));
        assert_counted_once(&mut world, version, 20);
        let rollout = report(&mut world, version);
        let counted = (rollout.expected, rollout.refused, rollout.moving);
        assert_eq!(counted, (1, 1, 0), "after the move: {rollout:?}");
        // It returns to the control node that it prefers.
        world.fleet.passes = Box::new(|_, _| true);
        assert_counted_once(&mut world, version, 60);
        let rollout = report(&mut world, version);
        let counted = (rollout.expected, rollout.refused, rollout.moving);
        assert_eq!(counted, (1, 1, 0), "after its return: {rollout:?}");
        assert_eq!(first_of(&mut world, FIRST), 2);
    }
}

#[test]
fn a_sidecar_whose_control_node_is_down_is_counted_once() {
    for seed in 0..8 {
        let (mut world, version) = world_with_one_refusal(seed);
        world.fleet.kill(FIRST);
        assert_counted_once(&mut world, version, 20);
        let rollout = report(&mut world, version);
        let counted = (rollout.expected, rollout.refused, rollout.moving);
        assert_eq!(counted, (1, 1, 0), "after the move: {rollout:?}");
        assert_eq!(rollout.control_nodes_missing, 1);
        world.start(FIRST);
        assert_counted_once(&mut world, version, 60);
        let rollout = report(&mut world, version);
        let counted = (rollout.expected, rollout.refused, rollout.moving);
        assert_eq!(counted, (1, 1, 0), "after its return: {rollout:?}");
        assert_eq!(rollout.control_nodes_missing, 0);
    }
}

/// The previous control node is cut off from the sidecar and from its new control node, and receives no notice of the
/// move.
#[test]
fn a_control_node_that_missed_a_move_learns_of_it_when_reachable() {
    for seed in 0..8 {
        let (mut world, version) = world_with_one_refusal(seed);
        world.fleet.passes = Box::new(|a, b| (a == FIRST) == (b == FIRST));
        assert_counted_once(&mut world, version, 20);
        world.fleet.passes =
            Box::new(|a, b| (a, b) != (SIDECAR, FIRST) && (b, a) != (SIDECAR, FIRST));
        // Until it learns of the move, it reports the sidecar as silent.
        for _ in 0..15 * 20 {
            world.run(S / 20);
            let rollout = report(&mut world, version);
            assert!(rollout.refused <= 1, "refused twice: {rollout:?}");
            assert!(rollout.expected <= 1 + rollout.not_heard, "counted twice: {rollout:?}");
        }
        for _ in 0..40 {
            world.run(S / 20);
            let rollout = report(&mut world, version);
            assert_eq!((rollout.expected, rollout.refused), (1, 1), "after the cut: {rollout:?}");
        }
    }
}

/// No control node is left out by chance when the others announce which sidecars they count: each is told once in a
/// round over all others, and reports to the writer within a second.
#[test]
fn a_control_node_learns_of_a_move_within_one_round_of_the_others() {
    for seed in 0..32 {
        let (mut world, version) = world_with_one_refusal(seed);
        world.fleet.passes = Box::new(|a, b| (a == FIRST) == (b == FIRST));
        assert_counted_once(&mut world, version, 20);
        world.fleet.passes =
            Box::new(|a, b| (a, b) != (SIDECAR, FIRST) && (b, a) != (SIDECAR, FIRST));
        let round = u64::from(CONTROL - 1) * S;
        world.run(round + S + S / 10);
        let rollout = report(&mut world, version);
        assert_eq!((rollout.expected, rollout.not_heard), (1, 0), "seed {seed}: {rollout:?}");
    }
}

/// The previous control node sends the sidecar parts of a list that it subscribed to there. The sidecar requests the
/// rest, and must not be counted there because of that.
#[test]
fn a_sidecar_that_asks_for_parts_elsewhere_is_not_counted_there() {
    for seed in 0..16 {
        let mut world = World::with_lists(seed, |n| if n == SIDECAR { 1 } else { 2 });
        world.lease(WRITER);
        world.run(8 * S);
        assert_eq!(first_of(&mut world, FIRST), 2);
        world.fleet.passes = Box::new(|a, b| (a == FIRST) == (b == FIRST));
        world.apply(&Step::Subscribe(SIDECAR, 2));
        world.run(12 * S);
        world.fleet.heal();
        let list = world.publish(WRITER, key(FIRST_LIST), Some(vec![7; 3_000]));
        let Some(Ok(version)) = list else { panic!("it is the writer: {list:?}") };
        world.run(u64::from(CONTROL - 1) * S + S + S / 10);
        let rollout = report(&mut world, version);
        assert_eq!(rollout.expected, 0, "seed {seed}, nobody wants it: {rollout:?}");
    }
}
