//! Errors in a plan are reported with their position, their key and what was expected.

use millethook_model::fleet::play;
use millethook_model::judge::Rule;
use millethook_model::plan::{Fault, FaultKind, Plan};

fn refused(text: &str) -> String {
    let folder = tempfile::tempdir().expect("a temporary directory is created");
    let path = folder.path().join("plan.toml");
    std::fs::write(&path, text).expect("the file is written");
    Plan::read(&path).expect_err("it is refused").to_string()
}

#[test]
fn an_unknown_key_is_named_with_its_line() {
    let text = refused("seed = 1\n[servers]\nslot = 3\n");
    assert!(text.contains("line 3"), "{text}");
    assert!(text.contains("unknown field `slot`, expected one of `count`, `slots`"), "{text}");
}

#[test]
fn all_out_of_range_values_are_named() {
    let text = refused(
        "duration_ms = 0\n[network]\nreset = 2.0\n[[fault]]\nkind = \"crash\"\nservers = [9]\n",
    );
    assert!(text.contains("duration_ms: 1 to 3600000 expected, found 0"), "{text}");
    assert!(text.contains("network.reset: a share from 0 to 1 expected, found 2"), "{text}");
    let fault = "fault[0].servers: numbers below servers.count expected, found 9";
    assert!(text.contains(fault), "{text}");
}

#[test]
fn a_missing_file_is_named() {
    let text = Plan::read("no/such/plan.toml".as_ref()).expect_err("it is not there").to_string();
    assert!(text.starts_with("no/such/plan.toml: "), "{text}");
}

#[test]
fn a_fault_needs_targets() {
    for kind in FaultKind::ALL {
        let plan = Plan { faults: vec![Fault { kind, ..Fault::default() }], ..Plan::default() };
        let keys: Vec<String> = plan.problems().into_iter().map(|problem| problem.key).collect();
        let missing = kind.affects_servers() || kind.affects_sidecars();
        let names_targets = |key: &String| key.ends_with("servers") || key.ends_with("sidecars");
        assert_eq!(keys.iter().any(names_targets), missing, "{kind:?}: {keys:?}");
    }
}

#[test]
fn a_run_stops_at_the_event_limit_of_its_plan() {
    let plan = Plan { most_events: 1_000, ..Plan::default() };
    let report = play(&plan, None).expect("the plan is playable");
    assert_eq!(report.first_rule(), Some(Rule::Bounded));
}
