//! Behaviour of a fleet of views on a virtual clock: joins, crashes, pauses, losses, partitions.

use crate::common::{PERIOD, SECOND, Sim};
use millethook_view::{Status, View, ViewConfig};
use proptest::collection::vec;
use proptest::prelude::*;

const SEEDS: u64 = 10;

#[test]
fn members_join_together_one_by_one_and_after_an_hour() {
    for seed in 0..SEEDS {
        let mut sim = Sim::new(9, seed);
        (0..8).for_each(|n| sim.start(n));
        assert!(sim.run_until(5 * SECOND, Sim::agree).is_some(), "at once, seed {seed}");
        let mut sim = Sim::new(9, seed);
        for n in 0..8 {
            sim.start(n);
            assert!(sim.run_until(5 * SECOND, Sim::agree).is_some(), "{n}, seed {seed}");
        }
        sim.events.clear();
        sim.run(3_600 * SECOND);
        assert_eq!(sim.events, [], "an hour without any change");
        sim.start(8);
        assert!(sim.run_until(3 * SECOND, Sim::agree).is_some(), "after an hour, seed {seed}");
    }
}

#[test]
fn three_killed_members_are_detected_without_false_alarms() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        [1, 4, 6].into_iter().for_each(|n| sim.kill(n));
        let took = sim.run_until(20 * SECOND, Sim::agree).expect("all agree");
        assert!(took > 3 * SECOND, "a single report declares nobody dead: {took}");
        assert_eq!(sim.count_declared_dead(|n| ![1, 4, 6].contains(&n)), 0, "seed {seed}");
        // They come back at once as other processes.
        [1, 4, 6].into_iter().for_each(|n| sim.start(n));
        assert!(sim.run_until(5 * SECOND, Sim::agree).is_some(), "seed {seed}");
    }
}

#[test]
fn partitioned_fleet_of_100_converges_within_ten_periods_on_the_daemons_budget() {
    let mut sim = Sim::converged(100, 1);
    sim.passes = Box::new(|a, b| (a < 33) == (b < 33));
    sim.run(30 * SECOND);
    sim.passes = Box::new(|_, _| true);
    assert!(sim.run_until(10 * PERIOD, Sim::agree).is_some());
}

#[test]
fn leave_is_disseminated_despite_a_full_update_queue() {
    let mut sim = Sim::converged(100, 2);
    sim.kill(7);
    sim.start(7);
    // It has just received facts about a hundred members, and has not sent them on.
    sim.run(2 * SECOND);
    sim.leave(7);
    assert!(sim.run_until(4 * SECOND, Sim::agree).is_some(), "a suspicion would last longer");
}

#[test]
fn at_30_percent_loss_none_of_60_members_is_declared_dead() {
    let mut sim = Sim::converged(60, 1);
    sim.loss = 0.3;
    sim.run(300 * SECOND);
    assert_eq!(sim.count_declared_dead(|_| true), 0);
}

#[test]
fn dead_member_is_probed_indefinitely_at_a_low_rate() {
    let mut sim = Sim::converged(100, 1);
    sim.kill(7);
    assert!(sim.run_until(60 * SECOND, Sim::agree).is_some());
    sim.run(20 * SECOND);
    let sent = |sim: &Sim| sim.nodes.iter().map(|n| n.datagrams).sum::<u64>();
    let before = sent(&sim);
    sim.run(100 * PERIOD);
    // A ping and its answer in a period of each of the 99 members, and the probes of the dead one.
    let probes = sent(&sim) - before - 99 * 200;
    assert!((200..800).contains(&probes), "{probes} in 100 periods");
}

#[test]
fn leaving_member_is_removed_at_once_and_permanently() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        sim.leave(3);
        let took = sim.run_until(5 * SECOND, Sim::agree).expect("all agree");
        assert!(took <= 3 * SECOND, "{took}");
        assert!(sim.views().all(|v| v.member(3).unwrap().status == Status::Left));
        sim.events.clear();
        sim.run(300 * SECOND);
        assert_eq!(sim.events, []);
        sim.start(3);
        assert!(sim.run_until(5 * SECOND, Sim::agree).is_some());
    }
}

#[test]
fn paused_member_recovers_and_declares_nobody_dead() {
    for (length, seed) in [SECOND / 2, 2 * SECOND, 20 * SECOND]
        .into_iter()
        .flat_map(|l| (0..SEEDS).map(move |s| (l, s)))
    {
        let mut sim = Sim::converged(8, seed);
        let epoch = sim.nodes[2].view.as_ref().unwrap().epoch();
        sim.pause(2, length);
        sim.run(length);
        let dead = sim.views().filter(|v| v.member(2).unwrap().status == Status::Dead).count();
        match length / SECOND {
            0 => assert_eq!(sim.events, []),
            20 => assert!(dead > 0, "seed {seed}"),
            _ => assert_eq!(dead, 0),
        }
        assert!(sim.run_until(10 * PERIOD, Sim::agree).is_some(), "{length}, seed {seed}");
        assert_eq!(
            sim.nodes[2].view.as_ref().unwrap().epoch(),
            epoch,
            "the process keeps its epoch"
        );
        assert_eq!(sim.count_declared_dead(|n| n != 2), 0, "{length}, seed {seed}");
    }
}

#[test]
fn flapping_member_causes_no_false_alarms() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        for _ in 0..20 {
            sim.kill(5);
            sim.run(SECOND * 3 / 2);
            sim.start(5);
            sim.run(SECOND);
        }
        assert!(sim.run_until(5 * SECOND, Sim::agree).is_some());
        assert_eq!(sim.count_declared_dead(|n| n != 5), 0);
    }
}

#[test]
fn false_alarms_under_loss_duplicates_and_reordering_are_short() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        (sim.loss, sim.duplicates, sim.delay) = (0.3, 0.1, (1_000, 150_000));
        sim.run(600 * SECOND);
        let mut since = std::collections::HashMap::new();
        for (at, observer, event) in &sim.events {
            match event.new_status {
                Status::Dead => drop(since.insert((*observer, event.number), *at)),
                _ => {
                    if let Some(dead) = since.remove(&(*observer, event.number)) {
                        assert!(at - dead < 10 * PERIOD, "seed {seed}: dead for {}", at - dead);
                    }
                }
            }
        }
        assert!(since.values().all(|dead| sim.now - dead < 10 * PERIOD));
        sim.loss = 0.0;
        assert!(sim.run_until(10 * PERIOD, Sim::agree).is_some());
    }
}

#[test]
fn one_way_link_failure_is_bridged_by_indirect_probes() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        sim.passes = Box::new(|from, to| (from, to) != (0, 1));
        sim.run(300 * SECOND);
        assert_eq!(sim.count_declared_dead(|_| true), 0, "seed {seed}");
    }
}

#[test]
fn member_that_can_only_receive_is_dead_until_it_can_send() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        sim.passes = Box::new(|from, _| from != 7);
        sim.run(40 * SECOND);
        let others = || sim.views().filter(|v| v.me() != 7);
        assert!(others().all(|v| v.member(7).unwrap().status == Status::Dead), "seed {seed}");
        assert!(others().all(|v| (0..7).all(|n| v.member(n).unwrap().status == Status::Alive)));
        sim.passes = Box::new(|_, _| true);
        assert!(sim.run_until(10 * PERIOD, Sim::agree).is_some(), "seed {seed}");
    }
}

#[test]
fn partitions_of_any_length_heal() {
    for (side, length) in [(5, 10 * SECOND), (4, 10 * SECOND), (5, 3_600 * SECOND)] {
        for seed in 0..SEEDS {
            let mut sim = Sim::converged(8, seed);
            sim.passes = Box::new(move |a, b| (a < side) == (b < side));
            sim.run(length);
            sim.passes = Box::new(|_, _| true);
            let took = sim.run_until(10 * PERIOD, Sim::agree);
            assert!(took.is_some(), "{side} to {}, {length}, seed {seed}", 8 - side);
        }
    }
}

#[test]
fn overlapping_partitions_heal() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        sim.passes = Box::new(|a, b| (a < 4) == (b < 4));
        sim.run(10 * SECOND);
        sim.passes = Box::new(|a, b| a % 2 == b % 2);
        sim.run(10 * SECOND);
        sim.passes = Box::new(|_, _| true);
        assert!(sim.run_until(10 * PERIOD, Sim::agree).is_some(), "seed {seed}");
    }
}

#[test]
fn full_and_rolling_restarts_converge_without_a_message_storm() {
    for seed in 0..3 {
        let mut sim = Sim::converged(60, seed);
        (0..60).for_each(|n| sim.kill(n));
        sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
        let begin = sim.now;
        for n in 0..60 {
            sim.start(n);
            sim.run(SECOND / 30);
        }
        assert!(sim.run_until(8 * SECOND, Sim::agree).is_some(), "at once, seed {seed}");
        let length = (sim.now - begin) as f64 / SECOND as f64;
        let most = sim.nodes.iter().map(|n| n.bytes).max().unwrap() as f64 / length;
        assert!(most < 3_000.0, "{most} bytes a second of one process");
        for tenth in 0..10 {
            (0..6).for_each(|n| sim.leave(tenth * 6 + n));
            sim.run(SECOND / 2);
            (0..6).for_each(|n| sim.start(tenth * 6 + n));
            sim.run(SECOND);
        }
        assert!(sim.run_until(8 * SECOND, Sim::agree).is_some(), "by tenths, seed {seed}");
    }
}

#[test]
fn clock_set_back_and_duplicate_member_number_are_tolerated() {
    for seed in 0..SEEDS {
        let mut sim = Sim::converged(8, seed);
        let before = sim.nodes[4].view.as_ref().unwrap().epoch();
        sim.kill(4);
        sim.start_at(4, 1_000);
        assert!(sim.run_until(8 * SECOND, Sim::agree).is_some(), "seed {seed}");
        assert!(sim.nodes[4].view.as_ref().unwrap().epoch() > before);
        assert_eq!(sim.count_declared_dead(|n| n != 4), 0);
    }
}

#[test]
fn idle_traffic_does_not_grow_with_the_fleet() {
    let quiet = |count| {
        let mut sim = Sim::converged(count, 1);
        sim.run(20 * SECOND);
        sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
        sim.run(60 * SECOND);
        sim.nodes.iter().map(|n| n.bytes).max().unwrap() as f64 / 60.0
    };
    let (few, many) = (quiet(8), quiet(60));
    assert!(many < 1.5 * few, "{few} and {many} bytes a second");
    assert!(many < 250.0, "{many} bytes a second");
}

#[test]
fn answers_are_no_longer_than_requests() {
    let config = ViewConfig { me: 0, members: 300, epoch: 9_000, period: SECOND, seed: 3 };
    let mut view = View::new(config, SECOND);
    // It knows of many members, and has updates about them.
    for n in 1..300u16 {
        let mut content = vec![0; 17];
        content[0] = 6;
        content[7] = n as u8;
        view.handle(SECOND, n, 1_000, &content).unwrap();
    }
    while view.poll_transmit().is_some() {}
    for what in 1..=7u8 {
        for length in (17..=241).step_by(5) {
            let mut content = vec![0xff; length];
            content[0] = what;
            content[9..11].copy_from_slice(&[0, 7]);
            view.handle(SECOND, 5, 1_000, &content).unwrap();
            let sent: Vec<_> = std::iter::from_fn(|| view.poll_transmit()).collect();
            // A request for an indirect probe is answered, and another member is probed.
            let answers = sent.iter().filter(|(to, _)| *to == 5).count();
            assert!(answers <= 1 && sent.len() <= 2, "{what}: {} messages", sent.len());
            assert!(sent.iter().all(|(_, c)| c.len() <= length), "{what} of {length} bytes");
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_content_causes_no_panic_and_no_message_storm(
        contents in vec((0u16..12, 0u64..1 << 43, vec(any::<u8>(), 0..260)), 1..60),
    ) {
        let config = ViewConfig { me: 2, members: 10, epoch: 5_000, period: SECOND, seed: 1 };
        let mut view = View::new(config, SECOND);
        let (mut now, mut sent) = (SECOND, 0);
        let count = contents.len();
        for (from, epoch, mut content) in contents {
            if let Some(first) = content.first_mut() {
                *first %= 8;
            }
            now += SECOND / 100;
            let epoch_before = view.member(from).map(|m| m.epoch);
            let _ = view.handle(now, from, epoch, &content);
            prop_assert!(view.member(from).map(|m| m.epoch) >= epoch_before);
            while view.poll_timeout() <= now {
                view.tick(now);
            }
            while view.poll_transmit().is_some() {
                sent += 1;
            }
        }
        // One answer each, some notices, and the periodic messages of the process.
        prop_assert!(sent <= 10 * count + 20);
        let c = view.counts();
        prop_assert_eq!(c.unknown + c.alive + c.suspect + c.dead + c.left, 10);
        prop_assert_eq!(view.member(2).map(|m| m.status), Some(Status::Alive));
    }
}
