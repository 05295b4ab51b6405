//! Processes that die, stand still and come back while changes go on.

use std::thread::sleep;
use std::time::Duration;

use millethook_testkit::*;
use serde_json::json;

use crate::tier::{CONTROL_NODES, Tier, classes};

#[test]
fn a_sidecar_comes_up_with_the_last_good_documents_while_control_nodes_are_gone() {
    let mut tier = Tier::start(6);
    tier.puts_into_force("all", &classes(&["page"]));
    (0..CONTROL_NODES).for_each(|node| tier.kill(node));
    tier.kill(4);
    tier.start_member(4);
    tier.until_taken_by("page", &[3, 4, 5]);
    tier.stays_taken_by("page", &[3, 4, 5], Duration::from_secs(1));
    // They come back, with what they kept, and the next change goes through.
    (0..CONTROL_NODES).for_each(|node| tier.start_member(node));
    tier.until_taken_by("page", &tier.all());
    tier.puts_into_force("all", &classes(&["next"]));
    tier.until_taken_by("next", &tier.all());
}

/// What is told to be in force is on the disks of a majority: no sidecar gives it back to control nodes that have lost it.
#[test]
fn a_change_that_is_told_to_be_in_force_outlives_that_all_control_nodes_die_at_once() {
    let mut tier = Tier::start(5);
    let said = tier.puts_into_force("all", &classes(&["page"]));
    let told = [2, 3].map(|count| format!("on disk at {count} of 3 control nodes"));
    assert!(told.iter().any(|told| said.text.contains(told)), "{said:?}");
    (0..CONTROL_NODES).for_each(|node| tier.kill(node));
    (0..CONTROL_NODES).for_each(|node| tier.start_member(node));
    wait_until("all control nodes know it", || {
        (0..CONTROL_NODES)
            .all(|node| tier.member(node).metric("sidecar.distribution.control.documents") == 1)
    });
    tier.until_taken_by("page", &tier.all());
}

/// Whether a member takes exactly one of two classes. It may go from the old document to the new one between two
/// looks, and never back: once the new class is taken the old one must be gone; until then the old one must be there,
/// or the new one must have come since.
fn takes_one_of_the_two(tier: &Tier, member: usize, old: &str, new: &str) -> bool {
    let new_at_first = tier.takes(member, new);
    let old_then = tier.takes(member, old);
    if new_at_first { !old_then } else { old_then || tier.takes(member, new) }
}

/// A long document takes a while; killed at several moments of it, a sidecar starts with the one before or with the new
/// one, and never with a part.
#[test]
fn a_sidecar_killed_while_it_takes_a_change_over_has_the_old_or_the_new_one() {
    let mut tier = Tier::start(5);
    tier.puts_into_force("all", &classes(&["page-0"]));
    for (n, wait_ms) in [0, 30, 80, 150, 300].into_iter().enumerate() {
        let (old, new) = (format!("page-{n}"), format!("page-{}", n + 1));
        let mut document = classes(&[&new]);
        document["settings"]["prices"] = json!({});
        document["settings"]["padding"] = json!("x".repeat(50_000));
        tier.submit(tier.writer(), "long", &document);
        sleep(Duration::from_millis(200 + wait_ms));
        tier.kill(4);
        tier.start_member(4);
        assert!(takes_one_of_the_two(&tier, 4, &old, &new), "one of the two");
        tier.until_taken_by(&new, &tier.all());
    }
}

#[test]
fn another_control_node_goes_on_when_the_writer_is_killed() {
    let mut tier = Tier::start(6);
    tier.puts_into_force("all", &classes(&["page"]));
    let first = tier.writer();
    tier.kill(first);
    tier.stays_taken_by("page", &tier.all(), Duration::from_millis(300));
    let said = tier.puts_into_force("all", &classes(&["next"]));
    assert!(
        said.text.contains("in force 5 of 5") || said.text.contains("in force 5 of 6"),
        "{said:?}"
    );
    tier.until_taken_by("next", &tier.all());
    // It comes back as one of the others, and takes what it missed.
    tier.start_member(first);
    tier.until_taken_by("next", &tier.all());
}

#[test]
fn with_one_control_node_left_nothing_new_is_in_force_and_nothing_is_lost() {
    let mut tier = Tier::start(6);
    tier.puts_into_force("all", &classes(&["page"]));
    tier.kill(0);
    tier.kill(1);
    tier.submit(2, "lonely", &classes(&["lonely"]));
    tier.stays_taken_by("lonely", &[], Duration::from_secs(3));
    assert!(tier.all().iter().all(|member| tier.takes(*member, "page")));
    tier.kill(5);
    tier.start_member(5);
    tier.until_taken_by("page", &tier.all());
    tier.start_member(0);
    tier.start_member(1);
    tier.puts_into_force("all", &classes(&["after"]));
    tier.until_taken_by("after", &tier.all());
    tier.until_taken_by("lonely", &[]);
}

/// The writer stands still for many leases. What was left in its folder meanwhile must not undo what its successor has
/// published since.
#[test]
fn a_writer_that_wakes_up_late_changes_nothing() {
    let tier = Tier::start(6);
    tier.puts_into_force("all", &classes(&["page"]));
    let paused = tier.writer();
    tier.signal(paused, "-STOP");
    let others = || -> Vec<usize> { (0..6).filter(|member| *member != paused).collect() };
    let successor = tier.writer_but_stopped(paused);
    tier.submit(paused, "late", &classes(&["late"]));
    let said = tier.publish_at(successor, "all", &classes(&["newer"]).to_string());
    assert!(said.text.contains("version"), "{said:?}");
    wait_until("the newer one", || others().iter().all(|member| tier.takes(*member, "newer")));
    tier.signal(paused, "-CONT");
    tier.until_taken_by("newer", &tier.all());
    tier.stays_taken_by("late", &[], Duration::from_secs(2));
    wait_until("the late request is answered", || {
        let said = tier.command(&["status", &tier.spool_path(paused)]);
        said.text.contains("all: not published")
    });
    tier.until_taken_by("newer", &tier.all());
}
