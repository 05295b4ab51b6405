//! A change that is published once is in force at all that it is for.

use millethook_testkit::*;
use serde_json::json;

use crate::tier::{Tier, classes, place};

#[test]
fn a_change_is_in_force_everywhere_and_is_taken_back() {
    let tier = Tier::start(8);
    assert!(!tier.takes(7, "page"));
    let said = tier.puts_into_force("all", &classes(&["page"]));
    assert!(said.text.contains("in force 8 of 8"), "{said:?}");
    // What the status says is so, now.
    for member in tier.all() {
        assert!(tier.takes(member, "page"), "member {member}");
        assert!(tier.takes(member, "look"), "member {member}");
    }
    let hashes = |tier: &Tier| -> Vec<u64> {
        let of = |member| tier.member(member).metric("sidecar.distribution.hash");
        tier.all().into_iter().map(of).collect()
    };
    let before = hashes(&tier);
    assert!(before.iter().all(|hash| *hash == before[0]), "{before:?}");
    let said = tier.retract("all");
    assert_eq!(said.code, Some(0), "{said:?}");
    tier.until_taken_by("page", &[]);
    assert_ne!(hashes(&tier)[0], before[0]);
}

#[test]
fn scopes_reach_whom_they_are_for_and_narrower_ones_win() {
    let tier = Tier::start(7);
    let of = |is: fn(usize) -> bool| -> Vec<usize> { (0..7).filter(|m| is(*m)).collect() };
    // Each list of classes takes the place of the one before: who takes what tells which document holds.
    tier.puts_into_force("sidecar:5", &classes(&["own"]));
    tier.until_taken_by("own", &[5]);
    tier.puts_into_force("all", &classes(&["every"]));
    tier.until_taken_by("every", &of(|m| m != 5));
    tier.puts_into_force("zone:b", &classes(&["zonal"]));
    tier.until_taken_by("zonal", &of(|m| place(m).1 == "b"));
    tier.puts_into_force("region:east", &classes(&["regional"]));
    // Zone b is the narrower one.
    tier.until_taken_by("regional", &of(|m| place(m).0 == "east" && place(m).1 != "b" && m != 5));
    tier.until_taken_by("zonal", &of(|m| place(m).1 == "b"));
    tier.puts_into_force("service:orders", &classes(&["service"]));
    tier.until_taken_by("service", &of(|m| place(m).2 == "orders"));
    tier.until_taken_by("own", &[5]);
    assert_eq!(tier.retract("sidecar:5").code, Some(0));
    tier.until_taken_by("own", &[]);
    tier.until_taken_by("regional", &of(|m| place(m).0 == "east" && place(m).1 != "b"));
}

/// A document changes a key of its own; the file, read anew at SIGHUP, has the rest.
#[test]
fn sighup_reads_the_file_anew_beneath_the_documents() {
    let tier = Tier::start(4);
    tier.puts_into_force("all", &json!({"settings": {"limits": {"maxAttempts": 2}}}));
    let mut config = tier.config(3);
    let mut page = config["settings"]["classes"][0].clone();
    page["name"] = json!("page");
    config["settings"]["classes"].as_array_mut().expect("a list").push(page);
    tier.member(3).reload(&config.to_string());
    tier.until_taken_by("page", &[3]);
    assert_eq!(tier.member(3).metric("sidecar.distribution.in_force"), 1);
    // Over this file the documents in force make no sense: nothing of it is taken.
    tier.puts_into_force("all", &json!({"settings": {"zones": ["a"]}}));
    config["settings"]["zone"] = json!(1);
    config["settings"]["classes"].as_array_mut().expect("a list").pop();
    tier.member(3).reload(&config.to_string());
    tier.member(3).wait_for_log("LB_CONFIG with the documents in force: settings: zone");
    wait_until("turned down", || tier.member(3).metric("sidecar.sighup_rejected") == 1);
    assert!(tier.takes(3, "page"));
}
