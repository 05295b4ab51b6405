//! Compares the bytes of every message of a fixed fleet with those that an earlier build wrote.
//!
//! A change that is not meant to alter behaviour leaves `golden/messages.txt` unchanged.

use crate::common::{Action, LEASE, MEMBERS, START_UNIX_MS, World};
use millethook_lease::{Config, JobId, Lease, Member, Members, Token};
use millethook_machine::sim::{SECOND, Transcript};

/// The number of record kinds in `src/message.rs`.
const KINDS: u8 = 6;

/// Plays claims, renewals, partitions, losses, pauses, a member change, handovers and restarts.
fn play(world: &mut World) {
    (0..MEMBERS).for_each(|n| world.apply(&Action::Request(n, u64::from(n) % 2)));
    world.run(2 * LEASE);
    (0..MEMBERS).for_each(|n| world.apply(&Action::Request(n, 1)));
    world.apply(&Action::Loss(20));
    world.run(2 * LEASE);
    world.apply(&Action::Cut(0b111));
    world.run(2 * LEASE);
    world.apply(&Action::Heal);
    world.apply(&Action::PauseOwner(1, 5_000));
    world.run(3 * LEASE);
    world.apply(&Action::NextListExcept(3));
    world.run(LEASE);
    world.apply(&Action::SetList(3, 1));
    world.run(LEASE);
    let owner = world.owners(1).first().map_or(0, |owner| owner.0);
    world.apply(&Action::Release(owner, 1, Some((owner + 1) % MEMBERS)));
    world.run(LEASE);
    let owner = world.owners(0).first().map_or(0, |owner| owner.0);
    world.apply(&Action::Shutdown(owner));
    world.run(LEASE);
    world.apply(&Action::KillAll);
    (0..MEMBERS).for_each(|n| world.apply(&Action::Request(n, 0)));
    world.run(3 * LEASE);
}

#[test]
fn messages_match_the_golden_file() {
    let mut world = World::new(8);
    world.fleet.transcript = Some(Transcript::default());
    play(&mut world);
    assert_eq!(world.violation, None);
    let transcript = world.fleet.transcript.take().unwrap_or_default();
    assert_eq!(transcript.to_string(), include_str!("../golden/messages.txt"));
    let kinds: Vec<u8> = transcript.first_of_kind().keys().copied().collect();
    assert_eq!(kinds, (1..=KINDS).collect::<Vec<u8>>(), "the run has messages of every kind");
}

/// The answers of one member to a record of each kind: whole, truncated, twice, and with more member lists than
/// allowed.
#[test]
fn records_are_read_as_in_the_golden_file() {
    let members = Members::new((0..5).map(|n| Member(n * 77)).collect());
    let id = members.id().to_be_bytes();
    let mut token = Vec::new();
    Token { epoch: START_UNIX_MS, counter: 7, owner: 3 }.write(&mut token);
    let job = 5u64.to_be_bytes();
    let mut records = Vec::new();
    for lists in 0..=4u8 {
        let before: Vec<u8> = (0..lists).flat_map(|n| u32::from(n + 1).to_be_bytes()).collect();
        let head = [&[1][..], &job, &[0, 0, 0, 9], &id, &[lists]].concat();
        records.push([&head[..], &before, &token, &[7, 0xd0]].concat());
    }
    // The identifier 0 stands for no list.
    let zero = [&[1][..], &job, &[0, 0, 0, 9], &id, &[1, 0, 0, 0, 0], &token, &[7, 0xd0]];
    records.push(zero.concat());
    for kind in 2..=4u8 {
        let time: &[u8] = if kind == 3 { &[1, 2] } else { &[] };
        records.push([&[kind][..], &job, &[0, 0, 0, 9], &id, &token, time].concat());
    }
    for kind in [0, 5, 6, 7] {
        records.push([&[kind][..], &job, &token].concat());
    }
    let mut outcomes = String::new();
    for record in records {
        for content in [record.clone(), record[..record.len() - 1].to_vec(), record.repeat(2)] {
            let config = Config {
                me: 0,
                epoch: START_UNIX_MS,
                acceptors: 3,
                max_lease: LEASE,
                change_timeout: 60 * SECOND,
                max_drift: 0.1,
                seed: 1,
            };
            let mut lease = Lease::new(config, members.clone(), SECOND);
            let now = SECOND + LEASE + 1;
            lease.request(now, JobId(5), LEASE, SECOND);
            lease.handle(now, 3, &content);
            let answer = lease.poll_transmit();
            let figures = lease.figures(now);
            let due = lease.poll_timeout();
            outcomes += &format!("{answer:?} {figures:?} {due}\n");
        }
    }
    assert_eq!(outcomes, include_str!("../golden/outcomes.txt"));
}
