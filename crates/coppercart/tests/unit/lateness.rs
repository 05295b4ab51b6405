//! Tests of the combined lateness of several servers.

use super::*;

#[test]
fn the_latest_third_is_ignored_and_lateness_decays() {
    let mut lateness = Lateness::default();
    for slot in 0..9 {
        lateness.observe(1_000, 100, slot, if slot < 3 { 1.0 } else { 0.0 });
    }
    assert_eq!(lateness.at(1_000, 10.0), 0.0, "a few failing servers are no overload");
    (0..9).for_each(|slot| lateness.observe(1_000, 100, slot, 1.0));
    let level = lateness.at(1_000, 10.0);
    assert!(level > 0.3, "{level}");
    assert!(lateness.at(1_020, 10.0) < 0.2 * level);
}
