//! Tests of the remaining share of the recent capacity.

use super::*;

#[test]
fn lost_capacity_is_forgotten_over_time() {
    let mut capacity = Capacity::default();
    capacity.observe(100, 1000, 4.0);
    assert_eq!(capacity.remaining_share(), 1.0);
    capacity.observe(200, 1000, 1.0);
    let left = capacity.remaining_share();
    assert!((0.25..0.3).contains(&left), "{left}");
    capacity.observe(60_000, 1000, 1.0);
    assert!(capacity.remaining_share() > 0.99);
}

#[test]
fn added_capacity_raises_the_peak_at_once() {
    let mut capacity = Capacity::default();
    capacity.observe(0, 1000, 1.0);
    capacity.observe(1, 1000, 5.0);
    assert_eq!(capacity.remaining_share(), 1.0);
}

#[test]
fn nothing_is_forgotten_while_there_are_no_servers() {
    let mut capacity = Capacity::default();
    assert_eq!(capacity.remaining_share(), 1.0, "nothing is known yet");
    capacity.observe(0, 1000, 4.0);
    capacity.observe(1, 1000, 0.0);
    capacity.observe(90_000, 1000, 0.0);
    capacity.observe(90_001, 1000, 1.0);
    let left = capacity.remaining_share();
    assert!((0.25..0.26).contains(&left), "{left}");
}
