//! What is learned of a server, on a clock that the tests turn.

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_quarantine_follows_what_was_seen_and_is_forgotten() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    assert_eq!(observations.quarantine(now), QUARANTINE);
    observations.stray_bytes(Duration::ZERO, now);
    assert_eq!(observations.quarantine(now), QUARANTINE);
    observations.stray_bytes(3 * MS, now);
    assert_eq!(observations.quarantine(now), 12 * MS);
    observations.stray_bytes(MS, now);
    assert_eq!(observations.quarantine(now), 12 * MS, "the latest counts");
    assert_eq!(observations.quarantine(now + STRAY_HALF_LIFE), 6 * MS);
    assert_eq!(observations.quarantine(now + 10 * STRAY_HALF_LIFE), QUARANTINE);
    observations.stray_bytes(Duration::from_secs(9), now);
    assert_eq!(observations.quarantine(now), LONGEST_QUARANTINE);
}

#[test]
fn silence_earns_a_shorter_rest_and_stray_bytes_lose_it() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    for _ in 0..16 {
        observations.rested_in_silence(MS);
        observations.rested_in_silence(MS / 2);
    }
    assert_eq!(observations.quarantine(now), MS / 2, "rests that were too short tell nothing");
    for _ in 0..1000 {
        observations.rested_in_silence(MS);
    }
    assert_eq!(observations.quarantine(now), SHORTEST_QUARANTINE);
    observations.stray_bytes(Duration::ZERO, now);
    assert_eq!(observations.quarantine(now), QUARANTINE);
}

#[test]
fn an_idle_limit_needs_two_closes_that_agree() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    let (told, second) = (10_000 * MS, 1000 * MS);
    assert_eq!(observations.retire_after(told, now), 7000 * MS);
    observations.closed_idle(3000 * MS, now);
    assert_eq!(observations.idle_limit(now), None);
    observations.closed_idle(1000 * MS, now + second);
    assert_eq!(observations.idle_limit(now + second), None, "they differ");
    let then = now + 2 * second;
    observations.closed_idle(1200 * MS, then);
    assert_eq!(observations.idle_limit(then), Some(1000 * MS));
    assert_eq!(observations.retire_after(told, then), 700 * MS);
    // What is not seen again is believed less and less.
    assert_eq!(observations.retire_after(told, then + IDLE_DOUBLES), 1400 * MS);
    assert_eq!(observations.retire_after(told, then + 10 * IDLE_DOUBLES), 7000 * MS);
}

#[test]
fn a_server_that_ends_shows_no_idle_limit() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    for n in 0..20 {
        observations.closed_idle(500 * MS, now + n * MS);
    }
    assert_eq!(observations.idle_limit(now), None, "all at once");
    for n in 0..20 {
        observations.closed_idle(20 * MS, now + n * 500 * MS);
    }
    assert_eq!(observations.idle_limit(now), None, "after each answer");
}

/// What is known of a server whose used connections were quiet.
fn proven() -> ServerObservations {
    ServerObservations { proven: true, ..ServerObservations::default() }
}

#[test]
fn new_and_rested_connections_are_tried() {
    let (mut observations, now) = (proven(), Instant::now());
    let trial = |observations: &ServerObservations, rested: Option<u32>| {
        assert_eq!(
            observations.hold_time(rested.map(|ms| ms * MS), true, now),
            None,
            "harmless twice"
        );
        observations.hold_time(rested.map(|ms| ms * MS), false, now)
    };
    assert_eq!(trial(&observations, Some(0)), None);
    assert_eq!(trial(&observations, Some(1)), None);
    assert_eq!(trial(&observations, Some(2)), Some(2 * MS));
    assert_eq!(trial(&observations, None), Some(2 * MS));
    observations.connected(10 * MS);
    observations.connected(Duration::from_micros(1700));
    assert_eq!(trial(&observations, Some(3)), None);
    assert_eq!(trial(&observations, Some(10)), Some(Duration::from_micros(3400)));
    let mut far = proven();
    far.connected(50 * MS);
    assert_eq!(trial(&far, Some(1000)), Some(LONGEST_TRIAL));
}

#[test]
fn who_was_caught_is_tried_more_often_for_a_while() {
    let now = Instant::now();
    let later = now + CAUGHT_FOR;
    let mut breaks = proven();
    breaks.record_fault(ConnectionFault::Broken, now);
    assert_eq!(breaks.hold_time(Some(MS), false, now), Some(TRIAL));
    assert_eq!(breaks.hold_time(Some(MS), true, now), None);
    assert_eq!(breaks.hold_time(Some(MS), false, later), None);
    let mut strays = proven();
    strays.record_fault(ConnectionFault::StrayBytes, now);
    strays.record_clean_reuse();
    assert_eq!(strays.hold_time(Some(MS), true, now), Some(TRIAL));
    assert_eq!(strays.hold_time(None, true, now), None, "nothing was asked on it before");
    assert!(strays.answers_in_doubt(now) && !strays.answers_in_doubt(later));
    assert_eq!(strays.hold_time(Some(MS), true, later), None);
}

/// Guards against unsafe requests that fail again and again at a server which announces ends with some answers only.
#[test]
fn an_announced_end_counts_again_a_minute_after_one_that_was_missing() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    assert!(!observations.announces_close(now), "nothing is known");
    observations.record_close_request(true, now);
    assert!(observations.announces_close(now));
    observations.record_close_request(false, now);
    observations.record_close_request(true, now + MS);
    assert!(!observations.announces_close(now + MS));
    assert!(observations.announces_close(now + CAUGHT_FOR));
}

/// Guards against another request's answer from a server of which nothing is known yet, or that has sent stray bytes.
#[test]
fn a_server_has_to_prove_itself_whatever_the_request() {
    let now = Instant::now();
    let proves_itself = |observations: &mut ServerObservations| {
        assert!(observations.answers_in_doubt(now));
        assert_eq!(observations.hold_time(Some(Duration::ZERO), true, now), Some(TRIAL));
        assert_eq!(
            observations.hold_time(None, true, now),
            None,
            "no earlier answer can come on it"
        );
        observations.record_clean_reuse();
        assert!(!observations.answers_in_doubt(now));
        assert_eq!(observations.hold_time(Some(Duration::ZERO), true, now), None);
    };
    let mut observations = ServerObservations::default();
    proves_itself(&mut observations);
    // At rest, or right behind an answer.
    observations.stray_bytes(Duration::ZERO, now);
    proves_itself(&mut observations);
}
