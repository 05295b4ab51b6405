//! Tests of weighted random selection.

use super::*;

#[test]
fn each_slot_is_selected_in_proportion_to_its_weight() {
    let draws = WeightedSlots { slots: vec![7, 8, 9], sums: vec![1.0, 1.0, 4.0] };
    let drawn: Vec<usize> = (0..8).map(|i| draws.select(f64::from(i) / 8.0)).collect();
    assert_eq!(drawn, [7, 7, 9, 9, 9, 9, 9, 9], "a slot without weight is never selected");
}

#[test]
fn running_sums_follow_the_slot_order() {
    let draws = WeightedSlots { slots: vec![2, 0, 5], sums: Vec::new() };
    assert_eq!(draws.running_sums(|slot| slot as f64 + 1.0), [3.0, 4.0, 10.0]);
}
