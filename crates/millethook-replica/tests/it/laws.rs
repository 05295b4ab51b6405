//! The laws of the join, and convergence of the copies of a fleet; with `--features mutants`, that each disabled rule
//! is detected.

use crate::common::{SECOND, SERVER_EPOCH, Sim};
use millethook_lease::Token;
use millethook_replica::{
    Departure, Entry, EntryValue, Key, ObservedOutcome, Replica, ReplicaConfig, Verdict,
};
use proptest::prelude::*;

fn evidence() -> impl Strategy<Value = Entry> {
    let verdict = prop_oneof![Just(Verdict::Well), Just(Verdict::Silent), Just(Verdict::Erring)];
    (0u64..4, 0u32..4, 0u64..3, verdict, 0u64..3).prop_map(
        |(author_epoch, counter, server_epoch, verdict, age)| Entry {
            value: EntryValue::Evidence { author_epoch, counter, server_epoch, verdict, zone: 0 },
            age,
        },
    )
}

fn departure() -> impl Strategy<Value = Entry> {
    let how = prop_oneof![Just(Departure::Leaving), Just(Departure::Gone)];
    (0u64..4, how, 0u64..3).prop_map(|(server_epoch, departure, age)| Entry {
        value: EntryValue::Departure { server_epoch, departure },
        age,
    })
}

fn token() -> impl Strategy<Value = Token> {
    let parts = (0u64..3, 0u32..3, 0u16..2);
    parts.prop_map(|(epoch, counter, owner)| Token { epoch, counter, owner })
}

fn job() -> impl Strategy<Value = Entry> {
    let parts = (token(), 0u16..4, 0u64..3);
    parts.prop_map(|(token, said, age)| Entry { value: EntryValue::Job { token, said }, age })
}

fn edge() -> impl Strategy<Value = Entry> {
    let parts = (token(), 0u64..4, 0u64..4, 0u16..2, 0u64..3);
    parts.prop_map(|(token, upto, beyond, left, age)| Entry {
        value: EntryValue::Edge { token, upto, beyond, failed: [0; 3], left },
        age,
    })
}

fn joined(a: Entry, b: Entry) -> Entry {
    let mut joined = a;
    joined.join(&b);
    joined
}

fn check_join_laws(a: Entry, b: Entry, c: Entry) -> Result<(), TestCaseError> {
    prop_assert_eq!(joined(a, b), joined(b, a), "commutative");
    prop_assert_eq!(joined(joined(a, b), c), joined(a, joined(b, c)), "associative");
    prop_assert_eq!(joined(a, a), a, "idempotent");
    prop_assert_eq!(joined(joined(a, b), b), joined(a, b), "absorbing");
    // Monotone: no merge makes a value earlier, and a restart of its author or server takes precedence over all older
    // values.
    prop_assert!(joined(a, b).value >= a.value);
    Ok(())
}

fn check_restart_precedence(early: Entry, late: Entry) -> Result<(), TestCaseError> {
    let epoch = |e: Entry| match e.value {
        EntryValue::Evidence { author_epoch, .. } => author_epoch,
        EntryValue::Departure { server_epoch, .. } => server_epoch,
        EntryValue::Job { token, .. } | EntryValue::Edge { token, .. } => token.epoch,
    };
    if epoch(late) > epoch(early) {
        prop_assert_eq!(joined(early, late).value, late.value);
        prop_assert_eq!(joined(late, early).value, late.value);
    }
    Ok(())
}

proptest! {
    #[test]
    fn evidence_join_obeys_the_laws((a, b, c) in (evidence(), evidence(), evidence())) {
        check_join_laws(a, b, c)?;
        check_restart_precedence(a, b)?;
    }

    #[test]
    fn departure_join_obeys_the_laws((a, b, c) in (departure(), departure(), departure())) {
        check_join_laws(a, b, c)?;
        check_restart_precedence(a, b)?;
    }

    #[test]
    fn token_ordered_join_obeys_the_laws((a, b, c) in prop_oneof![(job(), job(), job()), (edge(), edge(), edge())]) {
        check_join_laws(a, b, c)?;
        check_restart_precedence(a, b)?;
    }

    /// Arbitrary content must not crash a replica or be answered with more bytes than it has; the replica stays
    /// bounded.
    #[test]
    fn arbitrary_content_causes_no_panic_and_no_amplification(
        contents in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..40),
        kinds in proptest::collection::vec(0u8..6, 40),
    ) {
        let config = ReplicaConfig { me: 0, members: 4, epoch: SERVER_EPOCH, zone: 0, period: SECOND, silence: SECOND / 2, seed: 1 };
        let mut replica = Replica::new(config, SECOND);
        replica.on_server_listed(SECOND, 1, SERVER_EPOCH);
        for (mut content, kind) in contents.into_iter().zip(kinds) {
            if let Some(first) = content.first_mut() {
                *first = kind;
            }
            let _ = replica.handle(2 * SECOND, 1, &content);
            let mut out = 0;
            while let Some((_, bytes)) = replica.poll_transmit() {
                out += bytes.len();
            }
            prop_assert!(out <= content.len(), "{out} for {}", content.len());
        }
    }
}

/// Partitions a fleet of eight into two halves that learn different things about the same servers, then heals it.
fn partition_and_heal(seed: u64) -> Option<(u64, Vec<(Key, Entry)>)> {
    let mut sim = Sim::new(8, 3, seed);
    sim.passes = Box::new(|a, b| (a < 4) == (b < 4));
    for n in 0..2 {
        sim.end_two_attempts(n, 1, ObservedOutcome::TimedOut);
        sim.end_two_attempts(n + 4, 1, ObservedOutcome::Broken);
        sim.end_two_attempts(n + 6, 2, ObservedOutcome::Error);
    }
    sim.with(0, |r, now| r.on_departure(now, 3, SERVER_EPOCH, Departure::Gone));
    sim.with(5, |r, now| r.on_departure(now, 3, SERVER_EPOCH, Departure::Leaving));
    sim.run(4 * SECOND);
    // Later reports of the same authors, which the other side has not received.
    sim.end_two_attempts(0, 1, ObservedOutcome::Answered);
    sim.run(3 * SECOND);
    assert!(!sim.agree());
    sim.passes = Box::new(|_, _| true);
    let took = sim.run_until(3 * SECOND, Sim::agree)?;
    let now = sim.now;
    sim.replicas().next().map(|r| (took, r.entries(now)))
}

fn partitions_heal() -> bool {
    (0..6).all(|seed| {
        let Some((took, entries)) = partition_and_heal(seed) else { return false };
        let value = |key| entries.iter().find(|e| e.0 == key).map(|e| e.1.value);
        let reports = |server, author, verdict| {
            matches!(value(Key::Evidence { server, author }), Some(EntryValue::Evidence { verdict: v, .. }) if v == verdict)
        };
        let gone = value(Key::Departure { server: 3 });
        took <= 2 * SECOND
            && reports(1, 0, Verdict::Well)
            && reports(1, 1, Verdict::Silent)
            && reports(1, 4, Verdict::Refusing)
            && reports(2, 6, Verdict::Erring)
            && gone == Some(EntryValue::Departure { server_epoch: SERVER_EPOCH, departure: Departure::Gone })
    })
}

#[test]
fn copies_converge_to_the_greatest_entries_after_a_partition() {
    assert!(partitions_heal());
}

/// One member resumes after 20 s with the entries that it held then, and the author of some has restarted meanwhile.
fn stale_entries_override_nothing() -> bool {
    let mut sim = Sim::new(6, 2, 9);
    sim.end_two_attempts(0, 1, ObservedOutcome::TimedOut);
    sim.end_two_attempts(1, 1, ObservedOutcome::TimedOut);
    sim.run(2 * SECOND);
    let now = sim.now;
    sim.nodes[5].paused_until = now + 20 * SECOND;
    sim.run(SECOND / 10);
    sim.restart(0);
    sim.end_two_attempts(0, 1, ObservedOutcome::Answered);
    sim.run(21 * SECOND);
    // The entries of the paused member have exceeded their lifetime by now.
    let now = sim.now;
    sim.agree() && sim.replicas().all(|r| r.entries(now).is_empty())
}

#[test]
fn resumed_member_overrides_no_newer_entry() {
    assert!(stale_entries_override_nothing());
}

#[cfg(feature = "mutants")]
#[test]
fn each_mutant_is_detected() {
    use millethook_replica::{Mutant, become_mutant};
    use proptest::test_runner::TestRunner;
    let laws_hold = || {
        let mut runner = TestRunner::deterministic();
        let values = (evidence(), evidence(), evidence());
        let evidence = runner
            .run(&values, |(a, b, c)| check_join_laws(a, b, c).and(check_restart_precedence(a, b)));
        let values = (departure(), departure(), departure());
        let departures = runner
            .run(&values, |(a, b, c)| check_join_laws(a, b, c).and(check_restart_precedence(a, b)));
        evidence.is_ok() && departures.is_ok()
    };
    let all = [
        Mutant::LastComerHolds,
        Mutant::EpochsDoNotCount,
        Mutant::AgesShrink,
        Mutant::FirstDepartureHolds,
        Mutant::NoRepair,
    ];
    assert!(laws_hold() && partitions_heal());
    for mutant in all {
        become_mutant(Some(mutant));
        assert!(
            !(laws_hold() && partitions_heal() && stale_entries_override_nothing()),
            "{mutant:?} is not detected"
        );
        become_mutant(None);
    }
}
