//! Compares the figures of a generated outcome with those that an earlier build computed.
//!
//! A code change that is not meant to change figures must leave `golden/figures.txt` unchanged.

use millethook_lab::figures::{figures, missed};
use millethook_lab::ledger::{Attempt, End, Fate, Request, RequestId, RunRecords, ServerRow};
use millethook_lab::plan::Plan;
use millethook_lab::timeline::Timeline;
use millethook_lab::world::daemon::Usage;
use millethook_lab::world::{Outcome, ProcessSample, ServerSample, ViewSample};
use serde_json::Value;

const S: u64 = 1_000_000;
const SIDECARS: u64 = 4;
const SERVERS: u64 = 6;

/// A timeline whose expectations all have limits that the outcome misses.
const TIMELINE: &str = r#"
about = "An outcome made by rule"
duration_s = 20

[sidecars]
count = 4
zones = 2
view_period_s = 1

[network]
may_tell = true

[servers]
count = 6

[expect]
served = 0.999
back_within_s = 0.1
imbalance = 0.5
handshakes = 0.001
kept_open = 0
kept = 1000
unanswered = 0
owned_at_end = 9
view_agrees_within_s = 0.2
evidence_agrees_within_s = 0.2

[[class]]
name = "look"
share = 6
aim_ms = 250

[[class]]
name = "order"
effect = "unsafe"
share = 2
worth = 4
aim_ms = 400

[[event]]
at_s = 4
do = "kill"
who = { count = 1 }
back_after_s = 2

[[event]]
at_s = 9
for_s = 3
do = "partition"
who = { share = 0.5 }
"#;

/// One operation in ten has a retry. During an event, answers are late and one request in three fails.
fn records() -> RunRecords {
    let mut records = RunRecords::default();
    for n in 0..1_200u64 {
        let due = n * 18_000;
        let during_event = (6 * S..8 * S).contains(&due) || (11 * S..14 * S).contains(&due);
        let ends = [End::Failed(503), End::Served, End::Kept, End::Silent, End::Refused];
        let end = if during_event && n % 3 == 0 { ends[(n / 3 % 5) as usize] } else { End::Served };
        let took = 20_000 + n * 7_919 % 90_000 + if during_event { 300_000 } else { 0 };
        for attempt in 0..if n % 10 == 0 { 2u32 } else { 1 } {
            let id = RequestId::new((n % SIDECARS) as usize, n as usize, attempt);
            let retried = n % 10 == 0 && attempt == 0;
            let end = if retried { End::Failed(500) } else { end };
            let class = usize::from(n % 4 == 3);
            let (sent, ended) = (due + 100, due + took);
            let (left, after) = (400_000, None);
            records.requests.push(Request { id, class, due, sent, left, ended, end, after });
            let server = (n * n / 7 % SERVERS) as usize;
            let fate = if end == End::Silent { Fate::Silent } else { Fate::Served };
            let (arrived, ran) = (due + 2_000, (n % 17 != 0).then_some(due + 5_000));
            let (first_byte, fresh) = (arrived, n % 50 == 0);
            let work = 10_000;
            let ended = ended - 1_000;
            records.attempts.push(Attempt {
                id,
                server,
                first_byte,
                arrived,
                work,
                fresh,
                ran,
                fate,
                ended,
            });
        }
    }
    let row = |n: u64| ServerRow {
        name: format!("s{n}"),
        zone: n as usize % 2,
        started: None,
        fell: None,
        cold_peak: n as f64 / 10.0,
        connections: 10 + n,
    };
    records.servers = (0..SERVERS).map(row).collect();
    records.stalls = vec![(S, S + 1_500), (9 * S, 9 * S + 2_000)];
    records.not_sent = 3;
    records
}

fn view(at: u64, sidecar: u64) -> ViewSample {
    // Views and evidence agree some time after each event.
    let settled = |from: u64, until: u64| !(from..until).contains(&at);
    let hash = if settled(6 * S, 9 * S) && settled(11 * S, 16 * S) { 7 } else { sidecar };
    let evidence = if settled(6 * S, 10 * S) { (1, 0) } else { (sidecar, 1) };
    let owner = if at < 12 * S { 0 } else { 1 };
    let owned = if sidecar == owner { vec![(5, format!("token{owner}"))] } else { Vec::new() };
    ViewSample {
        requested_at: at - 10_000,
        owned,
        at,
        sidecar: sidecar as usize,
        present: if hash == 7 { SIDECARS as usize } else { 2 },
        dead: usize::from(hash != 7),
        hash,
        evidence: Some(evidence),
    }
}

fn outcome() -> Outcome {
    let seconds = 0..22u64;
    let load = |at: u64, n: u64| {
        (n != 2 || !at.is_multiple_of(3)).then(|| {
            let taken = (at * 3 + n * 5) % 4;
            (taken as usize, taken.saturating_sub(2) as usize)
        })
    };
    let servers = (0..88u64).map(|n| ServerSample {
        at: n * S / 4,
        load: (0..SERVERS).map(|server| load(n, server)).collect(),
    });
    let usage = |at: u64, who: u64| Usage {
        waited_s: if who == 2 && at > 6 { at as f64 / 400.0 } else { at as f64 / 500.0 },
        cpu_s: if who == 2 && at > 6 { at as f64 / 50.0 - 0.1 } else { at as f64 / 40.0 },
        memory_kib: 9_000 + 100 * at + 7 * who,
        descriptors: (20 + at + who) as usize,
    };
    let processes = seconds.flat_map(|at| {
        (0..=SIDECARS).map(move |who| ProcessSample {
            at: at * S,
            sidecar: (who < SIDECARS).then_some(who as usize),
            usage: usage(at, who),
        })
    });
    let samples = (1..110u64).flat_map(|n| (0..SIDECARS).map(move |who| (n * S / 5 + who, who)));
    Outcome {
        records: records(),
        marks: vec![(6 * S, 0, true), (7 * S, 0, false), (11 * S, 1, true), (14 * S, 1, false)],
        processes: processes.collect(),
        servers: servers.collect(),
        views: samples.map(|(at, who)| view(at, who)).collect(),
        publications: Vec::new(),
        documents: Vec::new(),
        running: vec![(0, SIDECARS as usize), (6 * S, 3), (8 * S, SIDECARS as usize)],
        traffic: (0..SIDECARS).map(|n| (100 + n, 9_000 + n, 90)).collect(),
        relay: [1, 2, 3, 4],
        late_p99: std::time::Duration::from_micros(1_234),
    }
}

/// Writes one line per figure, with six decimals because the order of summation may differ between runs.
fn lines(name: &str, value: &Value, to: &mut String) {
    match value {
        Value::Object(all) => {
            all.iter().for_each(|(key, value)| lines(&format!("{name}.{key}"), value, to));
        }
        Value::Array(all) => {
            let all = all.iter().enumerate();
            all.for_each(|(n, value)| lines(&format!("{name}.{n}"), value, to));
        }
        Value::Number(number) => {
            *to += &format!("{name} {:.6}\n", number.as_f64().unwrap_or(f64::NAN));
        }
        other => *to += &format!("{name} {other}\n"),
    }
}

#[test]
fn figures_match_the_golden_file() {
    let timeline = Timeline::from_toml(TIMELINE).expect("a timeline");
    let plan = Plan::new(&timeline, 7);
    let figures = figures("by-rule", &timeline, &plan, &outcome());
    let mut text = String::new();
    lines("figures", &serde_json::to_value(&figures).expect("figures"), &mut text);
    for line in missed(&timeline, &figures) {
        text += &format!("missed {line}\n");
    }
    assert_eq!(text, include_str!("../golden/figures.txt"));
}

/// With leases of 1 s all sidecars know the owner 3 s after it gets the job, and 3 s after an event.
#[test]
fn only_attempts_beside_an_agreed_owner_count_as_trials_by_others() {
    let product = "product = '''\n[lease]\nlongest_s = 1\n'''\ncount = 4\nzones = 2";
    let timeline = Timeline::from_toml(&TIMELINE.replacen("count = 4\nzones = 2", product, 1));
    let timeline = timeline.expect("a timeline");
    let plan = Plan::new(&timeline, 7);
    let trials = |sidecar: usize, at: u64| {
        let mut outcome = outcome();
        let mut attempt = outcome.records.attempts[0].clone();
        attempt.id = RequestId::new(sidecar, 9_999, 0);
        (attempt.first_byte, attempt.fate) = (at, Fate::Silent);
        outcome.records.attempts = vec![attempt];
        figures("by-rule", &timeline, &plan, &outcome).trials_by_others
    };
    // Sidecar 0 owns the job up to 12 s, sidecar 1 from then on; events begin and end at 6, 7, 11 and 14 s.
    assert_eq!(trials(2, 5 * S), 1);
    assert_eq!(trials(0, 5 * S), 0, "the owner");
    assert_eq!(trials(2, 2 * S), 0, "it has just got the job");
    assert_eq!(trials(2, 8 * S), 0, "soon after an event");
    assert_eq!(trials(2, 18 * S), 1);
    assert_eq!(trials(1, 18 * S), 0, "the next owner");
}
