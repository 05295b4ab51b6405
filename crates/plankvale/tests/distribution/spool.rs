//! The spool folder of publish requests, and the commands that use it.

use std::process::Command;

use millethook_testkit::*;
use serde_json::{Value, json};

use crate::tier::{CONTROL_NODES, Tier, document_with_classes};

#[test]
fn invalid_documents_are_rejected_with_what_was_expected() {
    let tier = Tier::start(CONTROL_NODES);
    let writer = tier.writer();
    for (document, expected_text) in [
        ("{\"settings\":", "no JSON: EOF"),
        ("[]", "the document: an object expected, found a list"),
        ("{}", "settings: expected, found no such key"),
        ("{\"settings\": 3}", "settings: an object expected, found a number"),
        ("{\"settings\": {}, \"extra\": 1}", "\"extra\": no such key, only \"settings\" expected"),
        ("{\"settings\": {\"me\": 1}}", "settings.me: belongs to one process"),
        ("{\"settings\": {\"limits\": {\"mayTell\": false}}}", "settings.limits.mayTell: belongs"),
        ("{\"settings\": {\"limits\": null}}", "settings.limits: an object expected, found null"),
    ] {
        let output = tier.publish_at(writer, "all", document);
        assert!(
            output.code == Some(2) && output.text.contains(expected_text),
            "{document}: {output:?}"
        );
        assert!(output.text.contains("document-all: "), "the file is named: {output:?}");
        // A request that bypasses the command is rejected too.
        let request =
            json!({"scope": "all", "retract": false, "document": document, "asked_ms": now_ms()});
        let status = write_request(&tier, writer, &request.to_string());
        assert_eq!(status["stage"], "rejected", "{status}");
        assert!(status["error"].as_str().is_some_and(|e| e.contains(expected_text)), "{status}");
    }
    let large_document = "x".repeat(70_000);
    let output = tier.publish_at(writer, "all", &large_document);
    assert!(output.code == Some(2) && output.text.contains("65536 at most expected"), "{output:?}");
    let output = tier.publish_at(writer, "everybody", "{}");
    assert!(output.code == Some(2) && output.text.contains("region:NAME"), "{output:?}");
    let without_action =
        json!({"scope": "all", "retract": false, "asked_ms": now_ms()}).to_string();
    for text in ["no JSON", "{\"scope\": \"all\"}", "{\"scope\": \"al\"}", &without_action] {
        let status = write_request(&tier, writer, text);
        assert_eq!(status["stage"], "rejected", "{status}");
    }
    let expired = json!({"scope": "all", "retract": false, "document": "{\"settings\": {}}", "asked_ms": now_ms() - 60_000});
    let status = write_request(&tier, writer, &expired.to_string());
    assert_eq!(status["stage"], "expired", "{status}");
    assert_eq!(tier.member(writer).metric("sidecar.distribution.control.committed"), 0);
    let output = tier.command(&["status", tier.spool(writer).to_str().expect("a path")]);
    assert!(output.code == Some(0) && output.text.contains("not published: too old"), "{output:?}");
    assert!(output.text.lines().count() >= 10, "{output:?}");
}

/// Another control node cannot publish: it waits for a while to become the writer, then names the
/// writer.
#[test]
fn a_control_node_that_is_not_the_writer_names_it() {
    let tier = Tier::start(CONTROL_NODES);
    let writer = tier.writer();
    let other = (writer + 1) % CONTROL_NODES;
    let output = tier.publish_at(other, "all", &document_with_classes(&["page"]).to_string());
    assert_eq!(output.code, Some(1), "{output:?}");
    assert!(output.text.contains("not the writer"), "{output:?}");
    assert!(output.text.contains(&format!("member {writer} is")), "{output:?}");
    tier.wait_until_accepted_by("page", &[]);
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
    let (code, expected_text) = start(&config);
    assert!(
        code == Some(2) && expected_text.contains("a section [lease] expected: member 0"),
        "{expected_text}"
    );
    let beyond = text.replace("member = 0", "member = 3");
    std::fs::write(&product, beyond).expect("written");
    let (code, expected_text) = start(&config);
    let expected = "distribution.control_nodes[0].member: below 3 expected";
    assert!(code == Some(2) && expected_text.contains(expected), "{expected_text}");
    // The file alone is valid.
    let checked = Command::new(program("plankvale")).args(["check", path]).status();
    assert_eq!(checked.expect("it runs").code(), Some(0));
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64
}

/// Writes a request file directly into the spool and waits for its status.
fn write_request(tier: &Tier, node: usize, text: &str) -> Value {
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
