//! Compares the bytes of every message of a fixed fleet with those that an earlier build wrote.
//!
//! A change that is not meant to alter behaviour leaves `golden/messages.txt` unchanged. The numbers depend on the
//! floating point logarithm of the platform, which is the same on all that the project is built for.

use crate::common::{PERIOD, SECOND, Sim};
use millethook_machine::sim::Transcript;
use millethook_view::{Malformed, View, ViewConfig};

/// The number of message kinds in `src/message.rs`.
const KINDS: u8 = 10;
const EPOCH: u64 = 1_800_000_000_000;

/// Plays joins, crashes, restarts, losses, partitions, pauses and a second process with one number.
fn faults(sim: &mut Sim) {
    (0..20).for_each(|n| sim.start(n));
    sim.run(10 * SECOND);
    (sim.loss, sim.duplicates) = (0.1, 0.1);
    [1, 4, 6].into_iter().for_each(|n| sim.kill(n));
    sim.run(20 * SECOND);
    [1, 4].into_iter().for_each(|n| sim.start(n));
    sim.leave(9);
    sim.pause(2, 5 * SECOND);
    sim.run(10 * SECOND);
    sim.passes = Box::new(|a, b| (a < 7) == (b < 7));
    sim.run(30 * SECOND);
    sim.passes = Box::new(|_, _| true);
    sim.start(9);
    sim.start_at(3, EPOCH - 1);
    sim.run(30 * SECOND);
}

/// Delivers a message of member 1 to member 0 that reports all of these members dead.
fn tell_dead(sim: &mut Sim, numbers: std::ops::Range<u16>) {
    let epoch = sim.nodes[1].view.as_ref().map_or(0, View::epoch);
    let mut message = vec![6, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff];
    message.extend_from_slice(&epoch.to_be_bytes()[2..]);
    for number in numbers {
        message.extend_from_slice(&number.to_be_bytes());
        // The status, the distance from the sender's epoch, and the reporting member.
        message.extend_from_slice(&[3, 0, 0, 0, 0, 0, 1]);
    }
    let now = sim.now;
    let view = sim.nodes[0].view.as_mut().expect("the member is running");
    view.handle(now, 1, epoch, &message).expect("a message");
}

/// Two members with a table so large that a range that differs is compared in parts.
fn a_large_table(sim: &mut Sim) {
    sim.start(0);
    sim.start(1);
    tell_dead(sim, 0..0);
    sim.run(10 * SECOND);
    (200..300).step_by(20).for_each(|first| tell_dead(sim, first..first + 20));
    sim.run(20 * SECOND);
}

#[test]
fn messages_match_the_golden_file() {
    let mut written = String::new();
    let mut all = Vec::new();
    for (count, play) in [(20, faults as fn(&mut Sim)), (8_192, a_large_table)] {
        let mut sim = Sim::new(count, 7);
        sim.transcript = Some(Transcript::default());
        play(&mut sim);
        let transcript = sim.transcript.take().unwrap_or_default();
        written += &transcript.to_string();
        all.push(transcript);
    }
    assert_eq!(written, include_str!("../golden/messages.txt"));
    let kinds = (1..=KINDS).filter(|k| all.iter().any(|t| t.first_of_kind().contains_key(k)));
    assert_eq!(kinds.count(), usize::from(KINDS), "the run has messages of every kind");
}

/// Reads each message of the file, and checks that each truncation of it is either read or rejected.
#[test]
fn golden_messages_are_read() {
    let mut outcomes = String::new();
    for content in Transcript::messages_in(include_str!("../golden/messages.txt")) {
        let config = ViewConfig { me: 0, members: 8_192, epoch: EPOCH, period: PERIOD, seed: 1 };
        let mut view = View::new(config, SECOND);
        assert_eq!(view.handle(2 * SECOND, 1, EPOCH, &content), Ok(()));
        for length in 0..content.len() {
            let short = view.clone().handle(2 * SECOND, 1, EPOCH, &content[..length]);
            assert_eq!(short, if length < 17 { Err(Malformed::Length) } else { Ok(()) });
        }
        let counts = view.counts();
        let answer = view.poll_transmit().map_or(0, |(_, answer)| answer.len());
        outcomes += &format!("{} {counts:?} answer {answer}\n", content[0]);
    }
    assert_eq!(outcomes, include_str!("../golden/outcomes.txt"));
}
