//! What a fleet of replicas does on a virtual clock.

use crate::common::{BORN, Held, SECOND, Sim};
use millethook_replica::{
    Departure, MAX_EVIDENCE, ObservedOutcome, Replica, ReplicaConfig, ServerStatus,
};
use rand_core::RngCore;

#[test]
fn what_two_have_met_all_know_soon_and_one_alone_is_not_believed() {
    let mut sim = Sim::new(60, 4, 1);
    sim.end_two_attempts(7, 1, ObservedOutcome::TimedOut);
    sim.run(3 * SECOND);
    assert_eq!(sim.stand(1, ServerStatus::Suspected), 0, "one may be cut off, or lie");
    sim.end_two_attempts(8, 1, ObservedOutcome::Broken);
    let took = sim.run_until(2 * SECOND, |sim| sim.stand(1, ServerStatus::Suspected) == 60);
    assert!(took.is_some());
    // The first that is answered again takes the doubt from all.
    sim.run(SECOND);
    sim.end_two_attempts(30, 1, ObservedOutcome::Answered);
    assert!(sim.run_until(2 * SECOND, |sim| sim.stand(1, ServerStatus::Trusted) == 60).is_some());
    assert_eq!(sim.stand(2, ServerStatus::Trusted), 60);
}

#[test]
fn one_that_is_cut_off_and_thinks_all_dead_takes_none_from_the_others() {
    let mut sim = Sim::new(8, 12, 2);
    sim.passes = Box::new(|a, b| a != 3 && b != 3);
    for server in 1..=12 {
        sim.end_two_attempts(3, server, ObservedOutcome::TimedOut);
    }
    sim.run(SECOND);
    sim.passes = Box::new(|_, _| true);
    sim.run(5 * SECOND);
    assert!((1..=12).all(|server| sim.stand(server, ServerStatus::Suspected) == 0));
}

#[test]
fn another_zone_reaches_what_this_one_does_not() {
    let mut sim = Sim::new(6, 1, 3);
    // Made anew as of another zone.
    for n in 3..6 {
        let config = ReplicaConfig {
            me: n,
            members: 6,
            epoch: BORN + 90_000,
            zone: 1,
            period: SECOND,
            silence: SECOND / 2,
            seed: u64::from(n),
        };
        let mut replica = Replica::new(config, sim.now);
        replica.on_server_listed(sim.now, 1, BORN);
        sim.nodes[usize::from(n)].machine = Some(Held(replica));
    }
    sim.end_two_attempts(3, 1, ObservedOutcome::TimedOut);
    sim.end_two_attempts(4, 1, ObservedOutcome::TimedOut);
    sim.run(3 * SECOND);
    assert_eq!(sim.stand(1, ServerStatus::Suspected), 3, "those of zone 1 only");
    assert!(sim.agree());
}

#[test]
fn old_evidence_does_not_touch_a_new_process_and_a_departure_ends_with_it() {
    let mut sim = Sim::new(8, 2, 4);
    sim.end_two_attempts(0, 1, ObservedOutcome::Broken);
    sim.end_two_attempts(1, 1, ObservedOutcome::Broken);
    // Heard from one list before the others' say so.
    sim.with(5, |r, now| r.on_departure(now, 2, BORN, Departure::Leaving));
    sim.run(2 * SECOND);
    assert_eq!(
        (sim.stand(1, ServerStatus::Suspected), sim.stand(2, ServerStatus::Leaving)),
        (8, 8)
    );
    for n in 0..8 {
        sim.with(n, |r, now| {
            r.on_server_listed(now, 1, BORN + 5);
            r.on_server_listed(now, 2, BORN + 5);
        });
    }
    assert_eq!((sim.stand(1, ServerStatus::Trusted), sim.stand(2, ServerStatus::Trusted)), (8, 8));
    sim.run(3 * SECOND);
    assert_eq!((sim.stand(1, ServerStatus::Trusted), sim.stand(2, ServerStatus::Trusted)), (8, 8));
}

#[test]
fn one_that_starts_is_told_eight_kibibytes_within_a_second() {
    let mut sim = Sim::new(60, 480, 5);
    // All lists say it.
    for (n, server) in (0..60).flat_map(|n| (1..=480).map(move |server| (n, server))) {
        sim.with(n, |r, now| r.on_departure(now, server, BORN, Departure::Leaving));
    }
    sim.run(5 * SECOND);
    sim.restart(17);
    let all = |sim: &Sim| sim.replica(17).figures().entries == 480;
    assert!(sim.run_until(SECOND, all).is_some());
}

#[test]
fn losses_duplicates_and_another_order_change_nothing_in_the_end() {
    let mut sim = Sim::new(20, 6, 6);
    (sim.loss, sim.duplicates) = (0.3, 0.1);
    for step in 0..200 {
        let (who, server) = (sim.random.next_u64() % 20, 1 + sim.random.next_u64() % 6);
        let outcome =
            if step % 3 == 0 { ObservedOutcome::Answered } else { ObservedOutcome::TimedOut };
        sim.end_two_attempts(who as u16, server, outcome);
        sim.run(SECOND / 20);
    }
    assert!(sim.run_until(5 * SECOND, Sim::agree).is_some());
}

#[test]
fn a_fleet_that_is_ever_new_leaves_memory_flat() {
    let mut sim = Sim::new(4, 0, 7);
    // A server a second comes, fails and goes, for 45 minutes.
    let mut most = 0;
    for server in 1..=2_700u64 {
        for n in 0..4 {
            sim.with(n, |r, now| r.on_server_listed(now, server, BORN));
        }
        sim.end_two_attempts(0, server, ObservedOutcome::Broken);
        sim.end_two_attempts(1, server, ObservedOutcome::Broken);
        for n in 0..4 {
            sim.with(n, |r, now| r.on_departure(now, server, BORN, Departure::Gone));
        }
        sim.run(SECOND);
        most = most.max(sim.replicas().map(|r| r.figures().entries).max().unwrap_or(0));
    }
    assert!(most < 100, "{most}: what lives 10 s and 60 s, at one a second");
    sim.run(70 * SECOND);
    assert!(sim.replicas().all(|r| r.figures().entries == 0));
}

#[test]
fn a_flood_of_words_is_bounded_and_the_oldest_go_first() {
    let mut sim = Sim::new(2, 5_000, 8);
    for server in 1..=5_000 {
        sim.with(0, |r, now| {
            r.on_attempt_ended(now, server, now - 10, ObservedOutcome::Broken);
            r.on_attempt_ended(now + 20, server, now + 15, ObservedOutcome::Broken);
        });
    }
    let figures = sim.replica(0).figures();
    assert!(figures.entries <= MAX_EVIDENCE && figures.crowded_out > 0, "{figures:?}");
}

#[test]
fn words_forged_in_anothers_name_are_contradicted() {
    let mut sim = Sim::new(8, 1, 9);
    // The liar speaks as a former process of 1, and as the present one of 7: the last that was started.
    for (name, epoch) in [(1u16, BORN + 1), (7, sim.epoch)] {
        let config = ReplicaConfig {
            me: name,
            members: 8,
            epoch,
            zone: 0,
            period: SECOND,
            silence: SECOND / 2,
            seed: 1,
        };
        let mut forged = Replica::new(config, sim.now);
        forged.on_server_listed(sim.now, 1, BORN);
        forged.on_attempt_ended(sim.now, 1, sim.now - 10, ObservedOutcome::Broken);
        forged.on_attempt_ended(sim.now + 20, 1, sim.now + 15, ObservedOutcome::Broken);
        forged.send_state(sim.now, 5, 0, 1);
        let (_, content) = forged.poll_transmit().expect("a message");
        sim.with(5, |r, now| r.handle(now, 6, &content).expect("a message"));
    }
    assert_eq!(sim.stand(1, ServerStatus::Suspected), 1, "the one that was lied to");
    sim.run(3 * SECOND);
    assert_eq!(sim.stand(1, ServerStatus::Suspected), 0, "7 says that it has not said so");
}

#[test]
fn servers_that_owe_an_answer_are_silent_before_any_time_is_over() {
    let mut sim = Sim::new(8, 2, 11);
    for n in 0..3 {
        sim.with(n, |r, now| r.on_attempt_sent(now, 1));
        sim.with(n, |r, now| r.on_attempt_sent(now, 2));
    }
    sim.run(SECOND / 4);
    for n in 0..3 {
        sim.with(n, |r, now| {
            r.on_attempt_ended(now, 2, now - SECOND / 4, ObservedOutcome::Answered)
        });
    }
    sim.run(SECOND);
    assert_eq!(
        (sim.stand(1, ServerStatus::Suspected), sim.stand(2, ServerStatus::Trusted)),
        (8, 8)
    );
}
