//! Tests how the observed departures change the survival probability.

use super::*;

const HOUR: u64 = 3_600_000;
const DAY: u64 = 24 * HOUR;

#[test]
fn servers_of_a_changing_fleet_age_faster() {
    let mut stable = History::default();
    stable.observe(DAY, 66, 0);
    let mut changing = History::default();
    changing.observe(DAY, 66, 0);
    // 61 of 66 servers are replaced in 40 s.
    changing.observe(40_000, 66, 61);
    let at = 100 * DAY;
    assert!(stable.survival(at, at + 2 * HOUR) > 0.99);
    assert!(changing.survival(at, at + 2 * HOUR) < 0.98);
    assert!(changing.survival(at, at + DAY) < 0.7 && stable.survival(at, at + DAY) > 0.95);
    assert!(changing.survival(at, at + 30 * DAY) < 0.01);
}

#[test]
fn old_departures_lose_weight() {
    let mut history = History::default();
    history.observe(HOUR, 10, 10);
    let recent = history.survival(0, DAY);
    history.observe(20 * DAY, 10, 0);
    assert!(history.survival(0, DAY) > recent);
}

#[test]
fn a_clock_that_was_set_back_gives_survival_zero() {
    assert_eq!(History::default().survival(1000, 999), 0.0);
    assert_eq!(History::default().survival(1000, 1000), 1.0);
}
