//! The folder of requests and the commands around it.

use std::process::Command;

use millethook_testkit::*;
use serde_json::{Value, json};

use crate::tier::{CONTROL_NODES, Tier, classes};

#[test]
fn what_is_no_document_is_told_with_what_was_expected_and_not_published() {
    let tier = Tier::start(CONTROL_NODES);
    let writer = tier.writer();
    for (document, told) in [
        ("{\"settings\":", "no JSON: EOF"),
        ("[]", "the document: an object expected, found a list"),
        ("{}", "settings: expected, found no such key"),
        ("{\"settings\": 3}", "settings: an object expected, found a number"),
        ("{\"settings\": {}, \"extra\": 1}", "\"extra\": no such key, only \"settings\" expected"),
        ("{\"settings\": {\"me\": 1}}", "settings.me: belongs to one process"),
        ("{\"settings\": {\"limits\": {\"mayTell\": false}}}", "settings.limits.mayTell: belongs"),
        ("{\"settings\": {\"limits\": null}}", "settings.limits: an object expected, found null"),
    ] {
        let said = tier.publish_at(writer, "all", document);
        assert!(said.code == Some(2) && said.text.contains(told), "{document}: {said:?}");
        assert!(said.text.contains("document-all: "), "the file is named: {said:?}");
        // Whoever goes past the command is told, too.
        let request =
            json!({"scope": "all", "retract": false, "document": document, "asked_ms": now_ms()});
        let status = leave(&tier, writer, &request.to_string());
        assert_eq!(status["stage"], "rejected", "{status}");
        assert!(status["error"].as_str().is_some_and(|e| e.contains(told)), "{status}");
    }
    let long = "x".repeat(70_000);
    let said = tier.publish_at(writer, "all", &long);
    assert!(said.code == Some(2) && said.text.contains("65536 at most expected"), "{said:?}");
    let said = tier.publish_at(writer, "everybody", "{}");
    assert!(said.code == Some(2) && said.text.contains("region:NAME"), "{said:?}");
    let neither = json!({"scope": "all", "retract": false, "asked_ms": now_ms()}).to_string();
    for text in ["no JSON", "{\"scope\": \"all\"}", "{\"scope\": \"al\"}", &neither] {
        let status = leave(&tier, writer, text);
        assert_eq!(status["stage"], "rejected", "{status}");
    }
    let old = json!({"scope": "all", "retract": false, "document": "{\"settings\": {}}", "asked_ms": now_ms() - 60_000});
    let status = leave(&tier, writer, &old.to_string());
    assert_eq!(status["stage"], "expired", "{status}");
    assert_eq!(tier.member(writer).metric("sidecar.distribution.control.committed"), 0);
    let said = tier.command(&["status", tier.spool(writer).to_str().expect("a path")]);
    assert!(said.code == Some(0) && said.text.contains("not published: too old"), "{said:?}");
    assert!(said.text.lines().count() >= 10, "{said:?}");
}

/// Another control node cannot publish: it waits a while to become the writer, then says who it is.
#[test]
fn whoever_is_not_the_writer_says_who_is() {
    let tier = Tier::start(CONTROL_NODES);
    let writer = tier.writer();
    let other = (writer + 1) % CONTROL_NODES;
    let said = tier.publish_at(other, "all", &classes(&["page"]).to_string());
    assert_eq!(said.code, Some(1), "{said:?}");
    assert!(said.text.contains("not the writer"), "{said:?}");
    assert!(said.text.contains(&format!("member {writer} is")), "{said:?}");
    tier.until_taken_by("page", &[]);
    assert_eq!(std::fs::read_dir(tier.spool(other)).expect("a folder").count(), 1, "only statuses");
}

#[test]
fn a_control_node_without_leases_does_not_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let product = folder.path().join("product");
    let text = "[fleet]\n[distribution]\nregion = \"west\"\nzone = \"a\"\nservice = \"s\"\n\
                control_nodes = [{ member = 0, region = \"west\", zone = \"a\" }]\n";
    std::fs::write(&product, text).expect("written");
    let config = config(([127, 0, 0, 1], 9).into(), |c| {
        c["peer_listen"] = json!("127.0.0.1:0");
        c["peers"] = json!(["127.0.0.1:9", "127.0.0.2:9", "127.0.0.3:9"]);
        c["settings"]["limits"]["mayTell"] = json!(true);
    });
    let path = product.to_str().expect("a path");
    let start = |config: &Value| {
        let output = failed_start(&config.to_string(), &[("MILLETHOOK_CONFIG", path)]);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (code, told) = start(&config);
    assert!(code == Some(2) && told.contains("a section [lease] expected: member 0"), "{told}");
    let beyond = text.replace("member = 0", "member = 3");
    std::fs::write(&product, beyond).expect("written");
    let (code, told) = start(&config);
    let expected = "distribution.control_nodes[0].member: below 3 expected";
    assert!(code == Some(2) && told.contains(expected), "{told}");
    // The file by itself is sound.
    let checked = Command::new(program("plankvale")).args(["check", path]).status();
    assert_eq!(checked.expect("it runs").code(), Some(0));
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64
}

/// Leaves a request by hand and waits for what becomes of it.
fn leave(tier: &Tier, node: usize, text: &str) -> Value {
    static COUNT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let name = format!("by-hand-{count:04}.json");
    let hidden = tier.spool(node).join(".by-hand");
    std::fs::write(&hidden, text).expect("written");
    std::fs::rename(&hidden, tier.spool(node).join(&name)).expect("renamed");
    let status = tier.spool(node).join("status").join(&name);
    wait_until("a status", || status.exists());
    serde_json::from_slice(&std::fs::read(status).expect("read")).expect("a status")
}
