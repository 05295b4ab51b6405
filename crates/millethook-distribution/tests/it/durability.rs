//! A document that is reported as durable survives the simultaneous failure of all control nodes; a document that is
//! only committed may be lost.

use crate::common::{CONTROL, World, key};
use millethook_distribution::{Rollout, Version};
use millethook_machine::sim::SECOND as S;

const WRITER: u16 = 0;

fn report(world: &mut World, version: Version) -> Rollout {
    let report =
        |member: &mut crate::common::member::Member, now| member.control()?.report(now, version);
    world.fleet.with(WRITER, report).flatten().expect("it is the latest of its key")
}

/// A fleet in which these control nodes have not yet written the document that was committed last.
fn world_with_slow_disks(seed: u64, slow: &[u16]) -> (World, Version) {
    let mut world = World::new(seed);
    world.lease(WRITER);
    world.run(2 * S);
    for n in slow {
        world.fleet.with(*n, |member, _| member.slow_disk = true);
    }
    let Some(Ok(version)) = world.publish(WRITER, key(0), Some(b"last".to_vec())) else {
        panic!("it is the writer")
    };
    world.run(3 * S);
    assert_eq!(world.failure, None);
    (world, version)
}

/// Kills all control nodes at once and restarts them with what is on their disks. Returns those that then know the
/// version.
fn known_after_all_have_died(world: &mut World, version: Version) -> Vec<u16> {
    (0..CONTROL).for_each(|n| world.fleet.kill(n));
    (0..CONTROL).for_each(|n| world.start(n));
    // The invariants over all members do not hold for documents that were lost.
    world.fleet.run(3 * S);
    world.lease(1);
    world.fleet.run(4 * S);
    let knows = |n: &u16| {
        let machine = world.fleet.nodes[usize::from(*n)].machine.as_mut();
        let documents = machine.and_then(|m| m.control()).map(|node| node.documents());
        documents.unwrap_or_default().iter().any(|document| document.version == version)
    };
    (0..CONTROL).filter(knows).collect()
}

#[test]
fn documents_on_disk_at_a_majority_survive_the_death_of_all_control_nodes() {
    for (seed, slow) in [vec![], vec![0, 1], vec![0, 4], vec![2, 3], vec![3, 4]].iter().enumerate()
    {
        let (mut world, version) = world_with_slow_disks(seed as u64, slow);
        let rollout = report(&mut world, version);
        assert!(rollout.is_durable(), "slow {slow:?}: {rollout:?}");
        assert_eq!((rollout.persisted, rollout.control_nodes), (5 - slow.len() as u32, 5));
        let known = known_after_all_have_died(&mut world, version);
        assert_eq!(known, [0, 1, 2, 3, 4], "slow {slow:?}");
    }
}

#[test]
fn committed_documents_on_no_disk_are_not_reported_as_durable() {
    let all: Vec<u16> = (0..CONTROL).collect();
    let (mut world, version) = world_with_slow_disks(7, &all);
    let rollout = report(&mut world, version);
    assert!(!rollout.is_durable(), "{rollout:?}");
    assert_eq!((rollout.persisted, rollout.in_force), (0, rollout.expected));
    let known = known_after_all_have_died(&mut world, version);
    assert!(known.is_empty(), "it was in memory only, and {known:?} know it");
    // A minority is not enough for a document to be reported as durable.
    let (mut world, version) = world_with_slow_disks(8, &[0, 1, 2]);
    let rollout = report(&mut world, version);
    assert!(!rollout.is_durable(), "{rollout:?}");
    assert_eq!(rollout.persisted, 2);
}
