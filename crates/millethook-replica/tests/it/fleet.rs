//! Behaviour of a fleet of replicas on a virtual clock.

use crate::common::{SECOND, SERVER_EPOCH, Sim, SimReplica};
use millethook_replica::{
    Departure, MAX_EVIDENCE, ObservedOutcome, Replica, ReplicaConfig, ServerStatus,
};
use rand_core::RngCore;

#[test]
fn two_failure_reports_make_all_members_suspect_a_server_and_one_does_not() {
    let mut sim = Sim::new(60, 4, 1);
    sim.end_two_attempts(7, 1, ObservedOutcome::TimedOut);
    sim.run(3 * SECOND);
    assert_eq!(
        sim.count_with_status(1, ServerStatus::Suspected),
        0,
        "a single reporter may be partitioned, or wrong"
    );
    sim.end_two_attempts(8, 1, ObservedOutcome::Broken);
    let took =
        sim.run_until(2 * SECOND, |sim| sim.count_with_status(1, ServerStatus::Suspected) == 60);
    assert!(took.is_some());
    // The first answer clears the suspicion at all members.
    sim.run(SECOND);
    sim.end_two_attempts(30, 1, ObservedOutcome::Answered);
    assert!(
        sim.run_until(2 * SECOND, |sim| sim.count_with_status(1, ServerStatus::Trusted) == 60)
            .is_some()
    );
    assert_eq!(sim.count_with_status(2, ServerStatus::Trusted), 60);
}

#[test]
fn isolated_member_makes_no_server_suspected_for_the_others() {
    let mut sim = Sim::new(8, 12, 2);
    sim.passes = Box::new(|a, b| a != 3 && b != 3);
    for server in 1..=12 {
        sim.end_two_attempts(3, server, ObservedOutcome::TimedOut);
    }
    sim.run(SECOND);
    sim.passes = Box::new(|_, _| true);
    sim.run(5 * SECOND);
    assert!((1..=12).all(|server| sim.count_with_status(server, ServerStatus::Suspected) == 0));
}

#[test]
fn failure_reports_count_only_within_their_zone() {
    let mut sim = Sim::new(6, 1, 3);
    // Created again as members of another zone.
    for n in 3..6 {
        let config = ReplicaConfig {
            me: n,
            members: 6,
            epoch: SERVER_EPOCH + 90_000,
            zone: 1,
            period: SECOND,
            silence: SECOND / 2,
            seed: u64::from(n),
        };
        let mut replica = Replica::new(config, sim.now);
        replica.on_server_listed(sim.now, 1, SERVER_EPOCH);
        sim.nodes[usize::from(n)].machine = Some(SimReplica(replica));
    }
    sim.end_two_attempts(3, 1, ObservedOutcome::TimedOut);
    sim.end_two_attempts(4, 1, ObservedOutcome::TimedOut);
    sim.run(3 * SECOND);
    assert_eq!(sim.count_with_status(1, ServerStatus::Suspected), 3, "only the members of zone 1");
    assert!(sim.agree());
}

#[test]
fn evidence_and_departures_do_not_apply_to_a_newer_process() {
    let mut sim = Sim::new(8, 2, 4);
    sim.end_two_attempts(0, 1, ObservedOutcome::Broken);
    sim.end_two_attempts(1, 1, ObservedOutcome::Broken);
    // One list reports it before the others.
    sim.with(5, |r, now| r.on_departure(now, 2, SERVER_EPOCH, Departure::Leaving));
    sim.run(2 * SECOND);
    assert_eq!(
        (
            sim.count_with_status(1, ServerStatus::Suspected),
            sim.count_with_status(2, ServerStatus::Leaving)
        ),
        (8, 8)
    );
    for n in 0..8 {
        sim.with(n, |r, now| {
            r.on_server_listed(now, 1, SERVER_EPOCH + 5);
            r.on_server_listed(now, 2, SERVER_EPOCH + 5);
        });
    }
    assert_eq!(
        (
            sim.count_with_status(1, ServerStatus::Trusted),
            sim.count_with_status(2, ServerStatus::Trusted)
        ),
        (8, 8)
    );
    sim.run(3 * SECOND);
    assert_eq!(
        (
            sim.count_with_status(1, ServerStatus::Trusted),
            sim.count_with_status(2, ServerStatus::Trusted)
        ),
        (8, 8)
    );
}

#[test]
fn started_member_receives_eight_kibibytes_within_a_second() {
    let mut sim = Sim::new(60, 480, 5);
    // All lists report the departures.
    for (n, server) in (0..60).flat_map(|n| (1..=480).map(move |server| (n, server))) {
        sim.with(n, |r, now| r.on_departure(now, server, SERVER_EPOCH, Departure::Leaving));
    }
    sim.run(5 * SECOND);
    sim.restart(17);
    let all = |sim: &Sim| sim.replica(17).figures().entries == 480;
    assert!(sim.run_until(SECOND, all).is_some());
}

#[test]
fn copies_converge_despite_loss_duplicates_and_reordering() {
    let mut sim = Sim::new(20, 6, 6);
    (sim.loss, sim.duplicates) = (0.3, 0.1);
    for step in 0..200 {
        let (member, server) = (sim.random.next_u64() % 20, 1 + sim.random.next_u64() % 6);
        let outcome =
            if step % 3 == 0 { ObservedOutcome::Answered } else { ObservedOutcome::TimedOut };
        sim.end_two_attempts(member as u16, server, outcome);
        sim.run(SECOND / 20);
    }
    assert!(sim.run_until(5 * SECOND, Sim::agree).is_some());
}

#[test]
fn constant_server_replacement_keeps_memory_bounded() {
    let mut sim = Sim::new(4, 0, 7);
    // One server per second is listed, fails and departs, for 45 minutes.
    let mut most = 0;
    for server in 1..=2_700u64 {
        for n in 0..4 {
            sim.with(n, |r, now| r.on_server_listed(now, server, SERVER_EPOCH));
        }
        sim.end_two_attempts(0, server, ObservedOutcome::Broken);
        sim.end_two_attempts(1, server, ObservedOutcome::Broken);
        for n in 0..4 {
            sim.with(n, |r, now| r.on_departure(now, server, SERVER_EPOCH, Departure::Gone));
        }
        sim.run(SECOND);
        most = most.max(sim.replicas().map(|r| r.figures().entries).max().unwrap_or(0));
    }
    assert!(most < 100, "{most}: entries live 10 s and 60 s, one server per second");
    sim.run(70 * SECOND);
    assert!(sim.replicas().all(|r| r.figures().entries == 0));
}

#[test]
fn flood_of_reports_is_bounded_and_drops_the_oldest() {
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
fn forged_reports_in_another_members_name_are_refuted() {
    let mut sim = Sim::new(8, 1, 9);
    // The forger writes as a former process of member 1, and as the current process of member 7, which was started
    // last.
    for (name, epoch) in [(1u16, SERVER_EPOCH + 1), (7, sim.epoch)] {
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
        forged.on_server_listed(sim.now, 1, SERVER_EPOCH);
        forged.on_attempt_ended(sim.now, 1, sim.now - 10, ObservedOutcome::Broken);
        forged.on_attempt_ended(sim.now + 20, 1, sim.now + 15, ObservedOutcome::Broken);
        forged.send_state(sim.now, 5, 0, 1);
        let (_, content) = forged.poll_transmit().expect("a message");
        sim.with(5, |r, now| r.handle(now, 6, &content).expect("a message"));
    }
    assert_eq!(
        sim.count_with_status(1, ServerStatus::Suspected),
        1,
        "the member that received the forged reports"
    );
    sim.run(3 * SECOND);
    assert_eq!(
        sim.count_with_status(1, ServerStatus::Suspected),
        0,
        "member 7 has refuted the report"
    );
}

#[test]
fn unanswered_servers_are_suspected_before_any_attempt_times_out() {
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
        (
            sim.count_with_status(1, ServerStatus::Suspected),
            sim.count_with_status(2, ServerStatus::Trusted)
        ),
        (8, 8)
    );
}
