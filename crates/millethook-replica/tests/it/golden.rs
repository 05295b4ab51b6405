//! Compares the bytes of every message of a fixed fleet with those that an earlier build wrote.
//!
//! A change that is not meant to alter behaviour leaves `golden/messages.txt` unchanged.

use crate::common::{SECOND, SERVER_EPOCH, Sim};
use millethook_lease::Token;
use millethook_machine::sim::Transcript;
use millethook_replica::{
    Departure, EntryValue, Key, Malformed, ObservedOutcome, Replica, ReplicaConfig,
};

/// The number of message kinds in `src/message.rs`.
const KINDS: u8 = 5;

fn token(counter: u32, owner: u16) -> Token {
    Token { epoch: SERVER_EPOCH, counter, owner }
}

/// Plays every kind of entry, with losses, a partition, restarts, departures and a removed server.
fn play(sim: &mut Sim) {
    for server in 1..=6 {
        sim.end_two_attempts(1, server, ObservedOutcome::TimedOut);
        sim.end_two_attempts(2, server, ObservedOutcome::Broken);
        sim.end_two_attempts(3, server, ObservedOutcome::Error);
    }
    sim.run(2 * SECOND);
    sim.end_two_attempts(4, 1, ObservedOutcome::Answered);
    sim.with(5, |replica, now| replica.on_departure(now, 7, SERVER_EPOCH, Departure::Leaving));
    sim.with(6, |replica, now| replica.on_departure(now, 8, SERVER_EPOCH, Departure::Gone));
    sim.with(6, |replica, now| replica.on_attempt_sent(now, 9));
    sim.with(0, |replica, now| {
        let value = EntryValue::Job { token: token(3, 0), said: 9 };
        replica.publish_owned(now, Key::Job { job: 77 }, value);
    });
    sim.with(2, |replica, now| {
        let (upto, beyond, failed) = (1_000, 0x8000_0000_0000_0005, [1, 0, 7]);
        let value = EntryValue::Edge { token: token(4, 2), upto, beyond, failed, left: 3 };
        replica.publish_owned(now, Key::Edge { edge: 99 }, value);
    });
    sim.with(7, |replica, now| replica.query_edge(now, 2, 99));
    sim.run(3 * SECOND);
    (sim.loss, sim.duplicates) = (0.2, 0.1);
    sim.passes = Box::new(|a, b| (a < 4) == (b < 4));
    for server in 9..=12 {
        sim.end_two_attempts(0, server, ObservedOutcome::TimedOut);
        sim.end_two_attempts(5, server, ObservedOutcome::Error);
        sim.end_two_attempts(6, server, ObservedOutcome::Broken);
    }
    sim.run(4 * SECOND);
    sim.passes = Box::new(|_, _| true);
    sim.run(2 * SECOND);
    sim.restart(3);
    sim.run(3 * SECOND);
    sim.with(1, |replica, now| replica.on_server_listed(now, 1, SERVER_EPOCH + 5));
    sim.with(1, |replica, _| replica.on_server_unlisted(2));
    sim.run(20 * SECOND);
}

#[test]
fn messages_match_the_golden_file() {
    let mut sim = Sim::new(8, 12, 7);
    sim.transcript = Some(Transcript::default());
    play(&mut sim);
    let transcript = sim.transcript.take().unwrap_or_default();
    assert_eq!(transcript.to_string(), include_str!("../golden/messages.txt"));
    let kinds: Vec<u8> = transcript.first_of_kind().keys().copied().collect();
    assert_eq!(kinds, (1..=KINDS).collect::<Vec<u8>>(), "the run has messages of every kind");
}

fn replica() -> Replica {
    let config = ReplicaConfig {
        me: 0,
        members: 8,
        epoch: SERVER_EPOCH,
        zone: 0,
        period: SECOND,
        silence: SECOND / 2,
        seed: 1,
    };
    let mut replica = Replica::new(config, SECOND);
    (1..=12).for_each(|server| replica.on_server_listed(SECOND, server, SERVER_EPOCH));
    replica
}

/// An entry of each kind: whole, without its last byte, and twice.
fn each_entry() -> Vec<Vec<u8>> {
    let head = [1u8, 0, 0, 1, 2, 3, 4];
    let epoch = &SERVER_EPOCH.to_be_bytes()[2..];
    let (number, token) = (9u64.to_be_bytes(), [epoch, &[0, 0, 0, 5, 0, 3]].concat());
    let verdicts = (0x10..=0x15u8).map(|kind| {
        [&[kind][..], &number, &[0, 3], epoch, &[0, 0, 0, 7], epoch, &[0, 1, 2]].concat()
    });
    let departures =
        (0x20..=0x23u8).map(|kind| [&[kind][..], &number, epoch, &[0xff, 0xff]].concat());
    let job = [&[0x30][..], &number, &token, &[0, 8, 0, 1]].concat();
    let edge = [
        &[0x40][..],
        &number,
        &token,
        &[0, 0, 0, 0, 3, 4],
        &number,
        &[0, 1, 0, 2, 0, 3],
        &[0, 6, 0, 1],
    ];
    let edge = edge.concat();
    let unknown = [&[0x31][..], &job[1..]].concat();
    let all = verdicts.chain(departures).chain([job, edge, unknown]);
    all.flat_map(|entry| {
        let short = entry[..entry.len() - 1].to_vec();
        [entry.clone(), short, entry.repeat(2)]
    })
    .map(|entry| [&head[..], &entry].concat())
    .collect()
}

/// Checks what is read of each entry, and of the messages in the file.
#[test]
fn entries_are_read_as_in_the_golden_file() {
    let mut outcomes = String::new();
    for content in each_entry() {
        let mut replica = replica();
        let handled = replica.handle(2 * SECOND, 3, &content);
        let figures = replica.figures();
        outcomes +=
            &format!("{handled:?} {:?} {}\n", replica.entries(2 * SECOND), figures.malformed);
    }
    for content in Transcript::messages_in(include_str!("../golden/messages.txt")) {
        let mut replica = replica();
        for length in 0..content.len() {
            let short = replica.clone().handle(2 * SECOND, 3, &content[..length]);
            let least = if content[0] == 2 { 7 + 32 } else { 7 };
            assert_eq!(short, if length < least { Err(Malformed::Length) } else { Ok(()) });
        }
        assert_eq!(replica.handle(2 * SECOND, 3, &content), Ok(()));
        outcomes += &format!("{} {:?}\n", content[0], replica.entries(2 * SECOND));
    }
    assert_eq!(outcomes, include_str!("../golden/outcomes.txt"));
}
