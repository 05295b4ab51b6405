//! The interface of the host: errors of the writer, sums of what is in force and refused, snapshots, and malformed
//! messages.

use std::sync::Arc;

use crate::common::{CONTROL, MEMBERS, World, control_nodes, identity, key, limits};
use millethook_distribution::{
    ControlNode, DistributionConfig, Document, DocumentKey, MAX_CONTENT_BYTES, PublishError, Scope,
    Snapshot, Subscriber, Token, Version,
};
use millethook_machine::sim::SECOND as S;
use proptest::prelude::*;

fn config(me: u16) -> DistributionConfig {
    DistributionConfig {
        me,
        members: MEMBERS,
        control_nodes: control_nodes(),
        identity: identity(me, 0),
        lists: Vec::new(),
        limits: limits(),
        seed: 7,
    }
}

fn version(counter: u32) -> Version {
    Version { token: Token { epoch: 1, counter: 1, owner: 0 }, counter }
}

#[test]
fn the_writer_is_told_why_it_cannot_publish() {
    let mut world = World::new(1);
    let all = key(0);
    assert_eq!(world.publish(0, all, None), Some(Err(PublishError::NotWriter(None))));
    world.lease(0);
    assert_eq!(world.publish(0, all, None), Some(Err(PublishError::CatchingUp(5))));
    world.run(S);
    let result = world.publish(0, all, Some(vec![0; MAX_CONTENT_BYTES + 1]));
    let (found, most) = (MAX_CONTENT_BYTES + 1, MAX_CONTENT_BYTES);
    assert_eq!(result, Some(Err(PublishError::TooLong { found, most })));
    for n in 0..16 {
        let service = DocumentKey::configuration(Scope::Service(100 + n));
        assert!(matches!(world.publish(0, service, Some(vec![1])), Some(Ok(_))));
    }
    let one_more = world.publish(0, all, Some(vec![1]));
    assert_eq!(one_more, Some(Err(PublishError::TooManyDocuments { most: 16 })));
    let newer = world.lease(1);
    world.run(S);
    assert_eq!(world.publish(0, all, None), Some(Err(PublishError::NotWriter(Some(newer)))));
}

#[test]
fn the_writer_reports_where_a_document_is_in_force_and_who_refused_it() {
    let mut world = World::new(2);
    world.lease(0);
    world.run(S);
    let all = key(0);
    let Some(Ok(good)) = world.publish(0, all, Some(b"good".to_vec())) else { panic!() };
    world.run(6 * S);
    let report = |world: &mut World, version| {
        let report = world.fleet.with(0, |m, now| m.control().and_then(|c| c.report(now, version)));
        report.flatten()
    };
    let rollout = report(&mut world, good).expect("it is known");
    assert!(rollout.is_complete(), "{rollout:?}");
    assert_eq!((rollout.expected, rollout.in_force), (6, 6));
    // One sidecar refuses a document for itself, which is too few to stop it.
    let own = key(5);
    let Some(Ok(bad)) = world.publish(0, own, Some(b"!bad".to_vec())) else { panic!() };
    world.run(6 * S);
    let rollout = report(&mut world, bad).expect("it is known");
    assert_eq!((rollout.expected, rollout.in_force, rollout.refused), (1, 0, 1));
    let (who, why) = rollout.first_refusal.expect("it says why");
    assert_eq!((who, why.code), (CONTROL, 7));
    assert_eq!(why.reason, "key x: found !, number expected");
    assert_eq!(world.in_force(CONTROL, own), None);
    // A sidecar that is down is named.
    world.fleet.kill(CONTROL + 1);
    let Some(Ok(next)) = world.publish(0, all, Some(b"next".to_vec())) else { panic!() };
    world.run(8 * S);
    let rollout = report(&mut world, next).expect("it is known");
    assert_eq!((rollout.expected, rollout.in_force, rollout.not_heard), (6, 5, 1));
    assert_eq!(rollout.not_heard_members, [CONTROL + 1]);
    assert_eq!(world.failure, None);
}

#[test]
fn a_sidecar_restores_only_intact_documents_of_its_own_scopes() {
    let all = Document::new(key(0), version(1), Some(b"a".to_vec()));
    let mut damaged = Document::new(key(5), version(2), Some(b"b".to_vec()));
    damaged.body = Some(b"c".to_vec());
    let foreign = DocumentKey::configuration(Scope::Sidecar(99));
    let foreign = Document::new(foreign, version(3), Some(b"d".to_vec()));
    let snapshot = Snapshot { fence: version(3), documents: vec![all.clone(), damaged, foreign] };
    let text = serde_json::to_string(&snapshot).expect("a snapshot can be written");
    let read: Snapshot = serde_json::from_str(&text).expect("and read again");
    assert_eq!(read, snapshot);
    let sidecar = Subscriber::new(config(CONTROL), Some(read), 0);
    let in_force: Vec<Document> = sidecar.in_force().iter().map(|d| (**d).clone()).collect();
    assert_eq!(in_force, [all]);
    assert_eq!(sidecar.check(0), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each message type, followed by arbitrary bytes, at both kinds of members.
    #[test]
    fn malformed_messages_are_dropped(
        kind in 0u8..20,
        rest in prop::collection::vec(any::<u8>(), 0..241),
        from in 0..MEMBERS,
    ) {
        let mut node = ControlNode::new(config(0), None, 0);
        let mut sidecar = Subscriber::new(config(CONTROL), None, 0);
        for (at, first) in [(1, kind), (2, kind | 0x80)] {
            let content = [&[first][..], &rest].concat();
            node.handle(at, from, &content);
            sidecar.handle(at, from, &content);
            prop_assert_eq!(node.check(at), Ok(()));
            prop_assert_eq!(sidecar.check(at), Ok(()));
            let out = std::iter::from_fn(|| node.poll_transmit().or_else(|| sidecar.poll_transmit()));
            prop_assert!(out.map(|(_, content)| content.len()).all(|length| length <= 241));
        }
    }
}

#[test]
fn one_key_is_looked_up_without_the_others() {
    let mut world = World::new(4);
    world.lease(0);
    world.run(S);
    let keys = [key(0), key(1)];
    for key in keys {
        assert!(matches!(world.publish(0, key, Some(b"whole".to_vec())), Some(Ok(_))));
    }
    world.run(S);
    let retracted = world.publish(0, keys[1], None).and_then(Result::ok);
    world.run(S);
    let look_up = |member: &mut crate::common::member::Member, key| {
        let node = member.control().expect("it is a control node");
        let listed = node.documents().into_iter().find(|document| document.key == key);
        let found = node.document(key);
        // It is the stored document and not a copy.
        assert_eq!(found.as_ref().map(Arc::as_ptr), listed.as_ref().map(Arc::as_ptr));
        found
    };
    for n in 0..CONTROL {
        let found = world.fleet.with(n, |m, _| keys.map(|key| look_up(m, key))).expect("it runs");
        let [whole, gone] = found.map(|document| document.expect("it is committed"));
        assert_eq!(whole.body.as_deref(), Some(&b"whole"[..]));
        assert_eq!((gone.key, Some(gone.version), &gone.body), (keys[1], retracted, &None));
        let unknown = world.fleet.with(n, |m, _| look_up(m, key(2)));
        assert_eq!(unknown, Some(None));
    }
    // A document that only one control node has accepted is not committed.
    world.fleet.passes = Box::new(|_, _| false);
    assert!(matches!(world.publish(0, key(2), Some(b"alone".to_vec())), Some(Ok(_))));
    world.run(S);
    assert_eq!(world.fleet.with(0, |m, _| look_up(m, key(2))), Some(None));
}
