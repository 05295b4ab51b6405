//! Tests of pause detection.

use super::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn running_time_excludes_only_the_overlap_with_a_pause() {
    let (pauses, start) = (Pauses::default(), Instant::now());
    pauses.expect_wakeup(Some(start + ms(25)));
    pauses.check(start + ms(425));
    assert!(pauses.take_ended());
    pauses.check(start + ms(426));
    assert!(!pauses.take_ended(), "a pause is reported once");
    assert_eq!(pauses.running_time(start, start + ms(430)), ms(30));
    assert_eq!(pauses.running_time(start + ms(100), start + ms(430)), ms(5));
    assert_eq!(pauses.running_time(start + ms(425), start + ms(500)), ms(75));
    assert_eq!(pauses.running_time(start, start + ms(20)), ms(20));
}

#[test]
fn timely_wakeups_and_unset_timers_are_not_pauses() {
    let (pauses, start) = (Pauses::default(), Instant::now());
    pauses.expect_wakeup(Some(start + ms(25)));
    pauses.check(start + ms(25) + MIN_PAUSE);
    pauses.expect_wakeup(None);
    pauses.check(start + ms(60_000));
    assert!(!pauses.take_ended());
    assert_eq!(pauses.running_time(start, start + ms(300)), ms(300));
}

/// Guards against timers that are postponed again and again and never expire, and against answers that are excused
/// although they really are late.
#[test]
fn repeated_late_wakeups_are_overload_and_not_pauses() {
    let (pauses, start) = (Pauses::default(), Instant::now());
    let mut now = start;
    for nth in 0..20 {
        pauses.expect_wakeup(Some(now + ms(25)));
        now += ms(225);
        pauses.check(now);
        assert_eq!(pauses.take_ended(), nth == 0);
    }
    assert_eq!(pauses.running_time(start + ms(1_000), now), now - start - ms(1_000));
    let later = now + MIN_PAUSE_SPACING;
    pauses.expect_wakeup(Some(later + ms(25)));
    pauses.check(later + ms(225));
    assert!(pauses.take_ended(), "the process was punctual for a while, so this is a pause");
}
