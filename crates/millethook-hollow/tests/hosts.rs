//! Start of hosts, and their exit when their conductor is killed.

use std::fs;
use std::io::Write;
use std::net::UdpSocket;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use millethook_hollow::address::Addresses;
use millethook_hollow::conductor;
use millethook_hollow::plan::Plan;

/// Maximum wait for hosts to start or exit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn children(pid: u32) -> Vec<u32> {
    let text = fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    text.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

fn runs(pid: u32) -> bool {
    let status = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = status.rsplit(") ").next().and_then(|rest| rest.chars().next());
    state.is_some_and(|state| state != 'Z')
}

fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn hosts_end_when_their_conductor_is_killed() {
    let mut plan = tempfile::NamedTempFile::new().expect("a file");
    let text = "size = 20\nhosts = 3\n\n[[step]]\nname = \"start\"\ndo = \"start\"\n\
                at_least_s = 60\nat_most_s = 60\n";
    plan.write_all(text.as_bytes()).expect("a plan");
    let mut conductor = Command::new(env!("CARGO_BIN_EXE_millethook-hollow"))
        .arg("run")
        .arg(plan.path())
        .stdout(Stdio::null())
        .spawn()
        .expect("a conductor");
    let mut hosts = Vec::new();
    wait("three hosts", || {
        hosts = children(conductor.id());
        hosts.len() == 3
    });
    conductor.kill().expect("its end");
    conductor.wait().expect("its end");
    wait("all hosts have ended", || !hosts.iter().any(|pid| runs(*pid)));
}

#[test]
fn an_invalid_plan_is_rejected_with_the_offending_key() {
    let cases = [
        ("size = 0\n", "size: 0; 1 to 32000 expected"),
        ("size = 5\nhosts = 17\n", "hosts: 17; 1 to 16"),
        ("size = 5\ndilation = 0.5\n", "dilation: 0.5; 1 to 100 expected"),
        ("size = 5\nsise = 5\n", "unknown field `sise`"),
        ("size = 5\n[links]\nloss = 2\n", "links.loss: 2; 0 to 1 expected"),
        ("size = 5\n[[step]]\nname = \"s\"\ndo = { kill = {} }\nat_most_s = 1\n", "step s: Target"),
    ];
    for (text, wanted) in cases {
        let mut plan = tempfile::NamedTempFile::new().expect("a file");
        plan.write_all(text.as_bytes()).expect("a plan");
        let output = Command::new(env!("CARGO_BIN_EXE_millethook-hollow"))
            .arg("run")
            .arg(plan.path())
            .output()
            .expect("its end");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{text}");
        assert!(said.contains(wanted), "{text}: {said}");
    }
}

#[test]
fn a_run_whose_addresses_are_partly_in_use_retries_with_others() {
    let text =
        "size = 20\nhosts = 2\n\n[[step]]\nname = \"start\"\ndo = \"start\"\nat_most_s = 20\n";
    let plan: Plan = toml::from_str(text).expect("a plan");
    let taken = Addresses::find_free().expect("addresses");
    let last = UdpSocket::bind(taken.address_of(19)).expect("the last sidecar's address");
    let mut asked = 0;
    let choose = || {
        asked += 1;
        if asked == 1 { Ok(taken) } else { Addresses::find_free() }
    };
    let program = Path::new(env!("CARGO_BIN_EXE_millethook-hollow"));
    let done = conductor::run_at(&plan, program, choose, |_| {}).expect("the run");
    assert_eq!((asked, done.len()), (2, 1));
    drop(last);
}
