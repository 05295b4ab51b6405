//! Tests the figures and expectations of documents on hand-written logs and outcomes.

use millethook_lab::figures::distribution::{DistributionFigures, distribution, missed};
use millethook_lab::ledger::{Absence, RunRecords};
use millethook_lab::timeline::Timeline;
use millethook_lab::world::Outcome;
use millethook_lab::world::documents::{DocumentEvent, DocumentEventKind, DocumentVersion, read};
use millethook_lab::world::publisher::Publication;

const S: u64 = 1_000_000;

fn timeline() -> Timeline {
    let text = "about = \"three\"\nduration_s = 20\nwarm_up_s = 0\n[sidecars]\ncount = 3\nview_period_s = 1\n\
                product = \"[lease]\"\n[network]\nmay_tell = true\n[distribution]\ncontrol_nodes = 1\n\
                [expect]\nin_force_within_s = 4\n";
    Timeline::from_toml(text).expect("sound")
}

fn event(at: u64, sidecar: usize, kind: DocumentEventKind, counter: u64) -> DocumentEvent {
    let version = DocumentVersion { token: "0a".into(), counter };
    let all = matches!(kind, DocumentEventKind::Published(_));
    let key = if all { "all" } else { "Configuration of All" }.to_owned();
    DocumentEvent { at, sidecar, kind, key, version }
}

fn published(at: u64, counter: u64) -> [DocumentEvent; 2] {
    let name = DocumentEventKind::Published(format!("change-{counter}"));
    [event(at, 0, name, counter), event(at + S / 10, 0, DocumentEventKind::Committed, counter)]
}

fn applied(at: u64, sidecar: usize, counter: u64) -> DocumentEvent {
    event(at, sidecar, DocumentEventKind::Applied, counter)
}

fn requested(at: u64, counter: u64) -> Publication {
    Publication { request: format!("change-{counter}"), at, scope: "all".into() }
}

/// One change requested at 1 s that came into force at the three sidecars at these times.
fn outcome_of_one_change(times: [Option<u64>; 3]) -> Outcome {
    let mut documents = published(S, 1).to_vec();
    let each = times.into_iter().enumerate();
    documents.extend(each.filter_map(|(n, at)| Some(applied(at?, n, 1))));
    documents.sort_by_key(|event| event.at);
    Outcome { publications: vec![requested(S, 1)], documents, ..Outcome::default() }
}

fn evaluate(outcome: &Outcome) -> (DistributionFigures, Vec<String>) {
    let figures = distribution(&timeline(), outcome).expect("documents");
    let missed = missed(&timeline(), &figures);
    (figures, missed)
}

#[test]
fn a_change_takes_until_its_last_sidecar_applies_it() {
    let (figures, missed) =
        evaluate(&outcome_of_one_change([Some(2 * S), Some(3 * S), Some(4 * S)]));
    assert_eq!((figures.in_force_p50_s, figures.in_force_all_s), (2.0, 3.0));
    assert_eq!((figures.requested, figures.committed, missed), (1, 1, vec![]));
    let (_, missed) = evaluate(&outcome_of_one_change([Some(2 * S), Some(3 * S), Some(6 * S)]));
    assert_eq!(missed, ["in_force_within_s: 4 expected, not 5.00"]);
    let (figures, missed) = evaluate(&outcome_of_one_change([Some(2 * S), Some(3 * S), None]));
    assert_eq!((figures.never, missed.len()), (1, 2), "never, and another version at the end");
}

#[test]
fn an_absent_sidecar_is_timed_from_its_return() {
    let mut outcome = outcome_of_one_change([Some(2 * S), Some(3 * S), Some(12 * S)]);
    let absence = |to| Absence { sidecar: 2, from: S / 2, to, ended: true };
    outcome.records = RunRecords { absences: vec![absence(10 * S)], ..RunRecords::default() };
    assert_eq!(evaluate(&outcome).0.in_force_all_s, 2.0);
    outcome.records.absences = vec![absence(5 * S)];
    assert_eq!(evaluate(&outcome).1, ["in_force_within_s: 4 expected, not 7.00"]);
    // The lab notices slightly later that the sidecar is ready again.
    outcome = outcome_of_one_change([Some(2 * S), Some(3 * S), Some(12 * S)]);
    outcome.records.absences = vec![absence(12 * S + S / 10)];
    assert_eq!(evaluate(&outcome).0.in_force_all_s, 2.0);
    // A sidecar that stays down until the end does not count.
    outcome = outcome_of_one_change([Some(2 * S), Some(3 * S), None]);
    outcome.records.absences = vec![absence(u64::MAX)];
    assert_eq!(evaluate(&outcome).0.never, 0);
}

#[test]
fn a_version_that_goes_back_is_reported_and_one_that_overtakes_is_not() {
    let mut outcome = outcome_of_one_change([Some(2 * S), Some(3 * S), Some(3 * S)]);
    outcome.documents.extend(published(4 * S, 2));
    outcome.publications.push(requested(4 * S, 2));
    outcome.documents.extend([0, 1, 2].map(|n| applied(5 * S, n, 2)));
    assert_eq!(evaluate(&outcome).1, [""; 0]);
    outcome.documents.push(applied(6 * S, 1, 1));
    let (figures, missed) = evaluate(&outcome);
    assert_eq!((figures.went_back, figures.different_at_end), (1, 1));
    assert!(missed.contains(&"a version in force went back 1 times".to_owned()), "{missed:?}");
}

#[test]
fn only_document_events_are_read_from_logs() {
    let folder = std::env::temp_dir().join(format!("millethook-lab-logs-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let line = |second: u32, event: &str, rest: &str| {
        format!(
            "{{\"timestamp\":\"2026-12-02T05:00:{second:02}.250000Z\",\"fields\":{{\"event\":\"{event}\",{rest}}}}}\n"
        )
    };
    let version = "\"version\":\"0a-7\",\"message\":\"Configuration of All: in force\"";
    let log = line(1, "listening", "\"message\":\"n0 listens\"")
        + &line(2, "distribution_applied", version)
        + "no JSON \"distribution_applied\"\n"
        + &line(
            3,
            "distribution_published",
            "\"request\":\"x\",\"version\":\"0a-8\",\"message\":\"all\"",
        );
    std::fs::write(folder.join("n0.log"), log).expect("written");
    // 2026-12-02 05:00:00, in microseconds of Unix time.
    let read = read(&folder, 2, 1_796_187_600_000_000);
    let _ = std::fs::remove_dir_all(&folder);
    let expected = [
        event(2_250_000, 0, DocumentEventKind::Applied, 7),
        event(3_250_000, 0, DocumentEventKind::Published("x".into()), 8),
    ];
    assert_eq!(read, expected);
}

#[test]
fn a_timeline_with_documents_needs_valid_control_nodes() {
    let text = "about = \"x\"\n[distribution]\ncontrol_nodes = 9\nregions = 2\n[[event]]\ndo = \"kill\"\nscope = \"all\"\n";
    let faults = Timeline::from_toml(text).expect_err("unsound");
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    let of = |key| keys.iter().filter(|k| **k == key).count();
    assert_eq!(
        (of("distribution.control_nodes"), of("distribution.regions")),
        (3, 1),
        "{faults:?}"
    );
    assert_eq!(of("event[0].do"), 1, "{faults:?}");
    let without = "about = \"x\"\n[[event]]\ndo = \"publish\"\namount = 1\n";
    assert!(Timeline::from_toml(without).is_err());
}
