//! A change that is published once comes into force at all sidecars in its scope.

use millethook_testkit::*;
use serde_json::json;

use crate::tier::{Tier, document_with_classes, location};

#[test]
fn a_change_comes_into_force_everywhere_and_is_retracted() {
    let tier = Tier::start(8);
    assert!(!tier.accepts_class(7, "page"));
    let output = tier.publish_everywhere("all", &document_with_classes(&["page"]));
    assert!(output.text.contains("in force 8 of 8"), "{output:?}");
    // The reported status holds at this moment.
    for member in tier.running_members() {
        assert!(tier.accepts_class(member, "page"), "member {member}");
        assert!(tier.accepts_class(member, "look"), "member {member}");
    }
    let hashes = |tier: &Tier| -> Vec<u64> {
        let hash_of = |member| tier.member(member).metric("sidecar.distribution.hash");
        tier.running_members().into_iter().map(hash_of).collect()
    };
    let before = hashes(&tier);
    assert!(before.iter().all(|hash| *hash == before[0]), "{before:?}");
    let output = tier.retract("all");
    assert_eq!(output.code, Some(0), "{output:?}");
    tier.wait_until_accepted_by("page", &[]);
    assert_ne!(hashes(&tier)[0], before[0]);
}

#[test]
fn scopes_select_members_and_narrower_ones_win() {
    let tier = Tier::start(7);
    let members_where =
        |is: fn(usize) -> bool| -> Vec<usize> { (0..7).filter(|m| is(*m)).collect() };
    // Each list of classes replaces the one before, so the classes that a member accepts show which
    // document is in force.
    tier.publish_everywhere("sidecar:5", &document_with_classes(&["own"]));
    tier.wait_until_accepted_by("own", &[5]);
    tier.publish_everywhere("all", &document_with_classes(&["every"]));
    tier.wait_until_accepted_by("every", &members_where(|m| m != 5));
    tier.publish_everywhere("zone:b", &document_with_classes(&["zonal"]));
    tier.wait_until_accepted_by("zonal", &members_where(|m| location(m).1 == "b"));
    tier.publish_everywhere("region:east", &document_with_classes(&["regional"]));
    // Zone b is the narrower scope.
    tier.wait_until_accepted_by(
        "regional",
        &members_where(|m| location(m).0 == "east" && location(m).1 != "b" && m != 5),
    );
    tier.wait_until_accepted_by("zonal", &members_where(|m| location(m).1 == "b"));
    tier.publish_everywhere("service:orders", &document_with_classes(&["service"]));
    tier.wait_until_accepted_by("service", &members_where(|m| location(m).2 == "orders"));
    tier.wait_until_accepted_by("own", &[5]);
    assert_eq!(tier.retract("sidecar:5").code, Some(0));
    tier.wait_until_accepted_by("own", &[]);
    tier.wait_until_accepted_by(
        "regional",
        &members_where(|m| location(m).0 == "east" && location(m).1 != "b"),
    );
}

/// A document changes its own keys; all other keys come from the file, which is reread at SIGHUP.
#[test]
fn sighup_rereads_the_file_beneath_the_documents() {
    let tier = Tier::start(4);
    tier.publish_everywhere("all", &json!({"settings": {"limits": {"maxAttempts": 2}}}));
    let mut config = tier.config(3);
    let mut page = config["settings"]["classes"][0].clone();
    page["name"] = json!("page");
    config["settings"]["classes"].as_array_mut().expect("a list").push(page);
    tier.member(3).reload(&config.to_string());
    tier.wait_until_accepted_by("page", &[3]);
    assert_eq!(tier.member(3).metric("sidecar.distribution.in_force"), 1);
    // The documents in force are invalid over this file, so none of the file is applied.
    tier.publish_everywhere("all", &json!({"settings": {"zones": ["a"]}}));
    config["settings"]["zone"] = json!(1);
    config["settings"]["classes"].as_array_mut().expect("a list").pop();
    tier.member(3).reload(&config.to_string());
    tier.member(3).wait_for_log("LB_CONFIG with the documents in force: settings: zone");
    wait_until("the configuration is rejected", || {
        tier.member(3).metric("sidecar.sighup_rejected") == 1
    });
    assert!(tier.accepts_class(3, "page"));
}
