//! What is learned about a server, with times given by the tests.

use super::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn the_quarantine_follows_the_lag_of_stray_bytes_and_decays() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    assert_eq!(observations.quarantine(now), DEFAULT_QUARANTINE);
    observations.record_stray_bytes(Duration::ZERO, now);
    assert_eq!(observations.quarantine(now), DEFAULT_QUARANTINE);
    observations.record_stray_bytes(3 * MS, now);
    assert_eq!(observations.quarantine(now), 12 * MS);
    observations.record_stray_bytes(MS, now);
    assert_eq!(observations.quarantine(now), 12 * MS, "the longest lag counts");
    assert_eq!(observations.quarantine(now + STRAY_LAG_HALF_LIFE), 6 * MS);
    assert_eq!(observations.quarantine(now + 10 * STRAY_LAG_HALF_LIFE), DEFAULT_QUARANTINE);
    observations.record_stray_bytes(Duration::from_secs(9), now);
    assert_eq!(observations.quarantine(now), MAX_QUARANTINE);
}

#[test]
fn quiet_reuses_shorten_the_quarantine_and_stray_bytes_reset_it() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    for _ in 0..16 {
        observations.record_quiet_idle(MS);
        observations.record_quiet_idle(MS / 2);
    }
    assert_eq!(observations.quarantine(now), MS / 2, "shorter idle times do not count");
    for _ in 0..1000 {
        observations.record_quiet_idle(MS);
    }
    assert_eq!(observations.quarantine(now), MIN_QUARANTINE);
    observations.record_stray_bytes(Duration::ZERO, now);
    assert_eq!(observations.quarantine(now), DEFAULT_QUARANTINE);
}

#[test]
fn an_idle_limit_needs_two_closes_after_similar_idle_times() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    let (advertised, one_second) = (10_000 * MS, 1000 * MS);
    assert_eq!(observations.retire_after(advertised, now), 7000 * MS);
    observations.record_idle_close(3000 * MS, now);
    assert_eq!(observations.idle_limit(now), None);
    observations.record_idle_close(1000 * MS, now + one_second);
    assert_eq!(observations.idle_limit(now + one_second), None, "they differ");
    let then = now + 2 * one_second;
    observations.record_idle_close(1200 * MS, then);
    assert_eq!(observations.idle_limit(then), Some(1000 * MS));
    assert_eq!(observations.retire_after(advertised, then), 700 * MS);
    // A limit that is not observed again is doubled with time.
    assert_eq!(observations.retire_after(advertised, then + IDLE_LIMIT_DOUBLING_TIME), 1400 * MS);
    assert_eq!(
        observations.retire_after(advertised, then + 10 * IDLE_LIMIT_DOUBLING_TIME),
        7000 * MS
    );
}

#[test]
fn no_idle_limit_is_learned_from_a_server_that_shuts_down() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    for n in 0..20 {
        observations.record_idle_close(500 * MS, now + n * MS);
    }
    assert_eq!(observations.idle_limit(now), None, "all connections closed at once");
    for n in 0..20 {
        observations.record_idle_close(20 * MS, now + n * 500 * MS);
    }
    assert_eq!(observations.idle_limit(now), None, "closed soon after each answer");
}

/// Observations of a server whose reused connections had no stray bytes.
fn proven() -> ServerObservations {
    ServerObservations { proven: true, ..ServerObservations::default() }
}

#[test]
fn unsafe_requests_are_held_on_new_and_idle_connections() {
    let (mut observations, now) = (proven(), Instant::now());
    let hold_time = |observations: &ServerObservations, idle_ms: Option<u32>| {
        assert_eq!(
            observations.hold_time(idle_ms.map(|ms| ms * MS), true, now),
            None,
            "repeatable"
        );
        observations.hold_time(idle_ms.map(|ms| ms * MS), false, now)
    };
    assert_eq!(hold_time(&observations, Some(0)), None);
    assert_eq!(hold_time(&observations, Some(1)), None);
    assert_eq!(hold_time(&observations, Some(2)), Some(2 * MS));
    assert_eq!(hold_time(&observations, None), Some(2 * MS));
    observations.record_handshake(10 * MS);
    observations.record_handshake(Duration::from_micros(1700));
    assert_eq!(hold_time(&observations, Some(3)), None);
    assert_eq!(hold_time(&observations, Some(10)), Some(Duration::from_micros(3400)));
    let mut distant = proven();
    distant.record_handshake(50 * MS);
    assert_eq!(hold_time(&distant, Some(1000)), Some(MAX_HOLD));
}

#[test]
fn a_recorded_fault_causes_more_holds_for_a_minute() {
    let now = Instant::now();
    let later = now + FAULT_TTL;
    let mut broke = proven();
    broke.record_fault(ConnectionFault::Broken, now);
    assert_eq!(broke.hold_time(Some(MS), false, now), Some(MIN_HOLD));
    assert_eq!(broke.hold_time(Some(MS), true, now), None);
    assert_eq!(broke.hold_time(Some(MS), false, later), None);
    let mut sent_stray_bytes = proven();
    sent_stray_bytes.record_fault(ConnectionFault::StrayBytes, now);
    sent_stray_bytes.record_clean_reuse();
    assert_eq!(sent_stray_bytes.hold_time(Some(MS), true, now), Some(MIN_HOLD));
    assert_eq!(
        sent_stray_bytes.hold_time(None, true, now),
        None,
        "no earlier request was sent on it"
    );
    assert!(
        sent_stray_bytes.may_duplicate_answers(now)
            && !sent_stray_bytes.may_duplicate_answers(later)
    );
    assert_eq!(sent_stray_bytes.hold_time(Some(MS), true, later), None);
}

/// Guards against unsafe requests that keep failing at a server which announces the close with some answers only.
#[test]
fn announced_closes_count_again_a_minute_after_a_missing_one() {
    let (mut observations, now) = (ServerObservations::default(), Instant::now());
    assert!(!observations.announces_close(now), "nothing is known");
    observations.record_close_request(true, now);
    assert!(observations.announces_close(now));
    observations.record_close_request(false, now);
    observations.record_close_request(true, now + MS);
    assert!(!observations.announces_close(now + MS));
    assert!(observations.announces_close(now + FAULT_TTL));
}

/// Guards against serving another request's answer from a server that is not known yet or has sent stray bytes.
#[test]
fn every_request_on_a_reused_connection_is_held_until_a_clean_reuse() {
    let now = Instant::now();
    let holds_until_clean_reuse = |observations: &mut ServerObservations| {
        assert!(observations.may_duplicate_answers(now));
        assert_eq!(observations.hold_time(Some(Duration::ZERO), true, now), Some(MIN_HOLD));
        assert_eq!(
            observations.hold_time(None, true, now),
            None,
            "no earlier answer can come on it"
        );
        observations.record_clean_reuse();
        assert!(!observations.may_duplicate_answers(now));
        assert_eq!(observations.hold_time(Some(Duration::ZERO), true, now), None);
    };
    let mut observations = ServerObservations::default();
    holds_until_clean_reuse(&mut observations);
    // While idle, or directly behind an answer.
    observations.record_stray_bytes(Duration::ZERO, now);
    holds_until_clean_reuse(&mut observations);
}
