//! Processes that are killed, paused and restarted during configuration changes.

use std::thread::sleep;
use std::time::Duration;

use millethook_testkit::*;
use serde_json::json;

use crate::tier::{CONTROL_NODES, Tier, document_with_classes};

#[test]
fn a_sidecar_starts_with_the_last_good_documents_while_control_nodes_are_gone() {
    let mut tier = Tier::start(6);
    tier.publish_everywhere("all", &document_with_classes(&["page"]));
    (0..CONTROL_NODES).for_each(|node| tier.kill(node));
    tier.kill(4);
    tier.start_member(4);
    tier.wait_until_accepted_by("page", &[3, 4, 5]);
    tier.check_accepted_by("page", &[3, 4, 5], Duration::from_secs(1));
    // The control nodes restart with what they stored, and the next change is distributed.
    (0..CONTROL_NODES).for_each(|node| tier.start_member(node));
    tier.wait_until_accepted_by("page", &tier.running_members());
    tier.publish_everywhere("all", &document_with_classes(&["next"]));
    tier.wait_until_accepted_by("next", &tier.running_members());
}

/// A change that was reported to be in force is on the disks of a majority of control nodes; no
/// sidecar returns it to control nodes that have lost it.
#[test]
fn a_change_reported_in_force_survives_the_death_of_all_control_nodes() {
    let mut tier = Tier::start(5);
    let output = tier.publish_everywhere("all", &document_with_classes(&["page"]));
    let expected_text = [2, 3].map(|count| format!("on disk at {count} of 3 control nodes"));
    assert!(
        expected_text.iter().any(|expected_text| output.text.contains(expected_text)),
        "{output:?}"
    );
    (0..CONTROL_NODES).for_each(|node| tier.kill(node));
    (0..CONTROL_NODES).for_each(|node| tier.start_member(node));
    wait_until("all control nodes have the document", || {
        (0..CONTROL_NODES)
            .all(|node| tier.member(node).metric("sidecar.distribution.control.documents") == 1)
    });
    tier.wait_until_accepted_by("page", &tier.running_members());
}

/// Whether a member accepts exactly one of two classes. Between two looks it may go from the old
/// document to the new one, but never back: once the new class is accepted the old one must be
/// gone; until then the old one must be accepted, or the new one must have arrived since.
fn accepts_one_of_the_two(tier: &Tier, member: usize, old: &str, new: &str) -> bool {
    let new_at_first = tier.accepts_class(member, new);
    let old_then = tier.accepts_class(member, old);
    if new_at_first { !old_then } else { old_then || tier.accepts_class(member, new) }
}

/// A long document takes a while to store. A sidecar that is killed at several moments of that
/// starts with the previous or with the new document, and never with a part.
#[test]
fn a_sidecar_killed_during_a_change_has_the_old_or_the_new_document() {
    let mut tier = Tier::start(5);
    tier.publish_everywhere("all", &document_with_classes(&["page-0"]));
    for (n, wait_ms) in [0, 30, 80, 150, 300].into_iter().enumerate() {
        let (old, new) = (format!("page-{n}"), format!("page-{}", n + 1));
        let mut document = document_with_classes(&[&new]);
        document["settings"]["prices"] = json!({});
        document["settings"]["padding"] = json!("x".repeat(50_000));
        tier.submit(tier.writer(), "long", &document);
        sleep(Duration::from_millis(200 + wait_ms));
        tier.kill(4);
        tier.start_member(4);
        assert!(accepts_one_of_the_two(&tier, 4, &old, &new), "one of the two");
        tier.wait_until_accepted_by(&new, &tier.running_members());
    }
}

#[test]
fn another_control_node_takes_over_when_the_writer_is_killed() {
    let mut tier = Tier::start(6);
    tier.publish_everywhere("all", &document_with_classes(&["page"]));
    let first = tier.writer();
    tier.kill(first);
    tier.check_accepted_by("page", &tier.running_members(), Duration::from_millis(300));
    let output = tier.publish_everywhere("all", &document_with_classes(&["next"]));
    assert!(
        output.text.contains("in force 5 of 5") || output.text.contains("in force 5 of 6"),
        "{output:?}"
    );
    tier.wait_until_accepted_by("next", &tier.running_members());
    // The former writer restarts as an ordinary control node and receives what it missed.
    tier.start_member(first);
    tier.wait_until_accepted_by("next", &tier.running_members());
}

#[test]
fn with_one_control_node_left_nothing_new_is_in_force_and_nothing_is_lost() {
    let mut tier = Tier::start(6);
    tier.publish_everywhere("all", &document_with_classes(&["page"]));
    tier.kill(0);
    tier.kill(1);
    tier.submit(2, "lonely", &document_with_classes(&["lonely"]));
    tier.check_accepted_by("lonely", &[], Duration::from_secs(3));
    assert!(tier.running_members().iter().all(|member| tier.accepts_class(*member, "page")));
    tier.kill(5);
    tier.start_member(5);
    tier.wait_until_accepted_by("page", &tier.running_members());
    tier.start_member(0);
    tier.start_member(1);
    tier.publish_everywhere("all", &document_with_classes(&["after"]));
    tier.wait_until_accepted_by("after", &tier.running_members());
    tier.wait_until_accepted_by("lonely", &[]);
}

/// The writer is paused for many lease periods. A request left in its folder in the meantime must
/// not undo what its successor has published since.
#[test]
fn a_writer_that_resumes_late_changes_nothing() {
    let tier = Tier::start(6);
    tier.publish_everywhere("all", &document_with_classes(&["page"]));
    let paused = tier.writer();
    tier.signal(paused, "-STOP");
    let others = || -> Vec<usize> { (0..6).filter(|member| *member != paused).collect() };
    let successor = tier.writer_other_than_paused(paused);
    tier.submit(paused, "late", &document_with_classes(&["late"]));
    let output = tier.publish_at(successor, "all", &document_with_classes(&["newer"]).to_string());
    assert!(output.text.contains("version"), "{output:?}");
    wait_until("the newer document is in force", || {
        others().iter().all(|member| tier.accepts_class(*member, "newer"))
    });
    tier.signal(paused, "-CONT");
    tier.wait_until_accepted_by("newer", &tier.running_members());
    tier.check_accepted_by("late", &[], Duration::from_secs(2));
    wait_until("the late request is answered", || {
        let output = tier.command(&["status", &tier.spool_path(paused)]);
        output.text.contains("all: not published")
    });
    tier.wait_until_accepted_by("newer", &tier.running_members());
}
