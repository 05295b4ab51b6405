//! Tests cold-server budgets, comparisons and judges on hand-written ledgers.

use millethook_lab::compare::compare;
use millethook_lab::figures::Figures;
use millethook_lab::ledger::cold::{ColdBudget, WarmUpCurve, tolerated_requests};
use millethook_lab::ledger::judge::{Rule, judge};
use millethook_lab::ledger::{
    Absence, Attempt, DuplicateHeader, End, Fate, Listed, Request, RequestId, RunRecords,
    ServerNotice, ServerRow,
};
use millethook_lab::timeline::{Class, Effect, Group, Rules};
use proptest::prelude::*;

fn run(seed: u64, served: f64) -> Figures {
    Figures { timeline: "calm".into(), seed, served, ..Figures::default() }
}

#[test]
fn two_builds_differ_only_if_their_paired_runs_do() {
    let first: Vec<Figures> = (0..4).map(|n| run(n, 0.8 + n as f64 / 100.0)).collect();
    let better: Vec<Figures> = (0..4).map(|n| run(n, 0.85 + n as f64 / 100.0)).collect();
    let noise = [0.02, -0.02, 0.03, -0.03];
    let same: Vec<Figures> =
        (0..4).map(|n| run(n, 0.8 + n as f64 / 100.0 + noise[n as usize])).collect();
    let verdict = |second: &[Figures]| compare(&first, second)[0].verdict();
    assert_eq!(verdict(&better), "+0.0500 to +0.0500");
    assert_eq!(verdict(&same), "no difference");
    assert_eq!(verdict(&better[..2]), "too few pairs (2)");
    let void = Figures { void: Some("late".into()), ..run(0, 0.1) };
    assert_eq!(compare(&first[..1], &[void]), []);
}

#[test]
fn a_cold_server_fails_at_its_work_limit_and_not_before() {
    let warm_up = WarmUpCurve { slots: 2.0, share: 0.25, length: 10_000_000 };
    // The server can do 0.5 s of work in its first second, and slightly more as it warms up.
    let fails = |work| {
        let mut budget = ColdBudget::new(warm_up, 2.0, 1_000_000, 10_000.0);
        (0..100).any(|n| budget.add_work(n * 10_000, work))
    };
    // The sidecars may send it 115 requests of mean work in that time, so it withstands 115 + 21 + 2.
    assert_eq!(tolerated_requests(9.0), 17.0);
    assert!(!fails(13_000));
    assert!(fails(14_500));
    let mut warm = ColdBudget::new(warm_up, 2.0, 1_000_000, 10_000.0);
    assert!(!(0..1000).any(|n| warm.add_work(10_000_000 + n * 1_000, 100_000)));
}

/// A ledger with one request of the class, sent at 1 s with 1 s left, and two servers in two zones.
struct Case {
    records: RunRecords,
    class: Class,
}

const S: u64 = 1_000_000;

fn case(effect: Effect, group: Group, end: End, ended: u64) -> Case {
    let id = RequestId::new(0, 3, 0);
    let row = |name: &str, zone| ServerRow {
        name: name.into(),
        zone,
        started: None,
        fell: None,
        cold_peak: 0.0,
        connections: 0,
    };
    let request = Request { id, class: 0, due: S, sent: S, left: S, ended, end, after: None };
    let servers = vec![row("s0", 0), row("s1", 1)];
    let records = RunRecords { requests: vec![request], servers, ..RunRecords::default() };
    let class = Class { effect, group, window_ms: 500.0, ..Class::default() };
    Case { records, class }
}

impl Case {
    fn attempt(mut self, server: usize, at: u64, fate: Fate) -> Case {
        let id = self.records.requests[0].id;
        let ran = (!matches!(fate, Fate::TurnedAway)).then_some(at);
        let ended = at + 10_000;
        let (first_byte, arrived, work, fresh) = (at, at, 1_000, false);
        self.records.attempts.push(Attempt {
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
        self
    }

    fn with_absence(mut self, from: u64, to: u64, ended: bool) -> Case {
        self.records.absences.push(Absence { sidecar: 0, from, to, ended });
        self
    }

    /// For each breach that is found, whether it depends on timing alone.
    fn timing_only(&self) -> Vec<bool> {
        let breaches = judge(&self.records, std::slice::from_ref(&self.class), &Rules::default());
        breaches.iter().map(|b| b.timing_only).collect()
    }

    fn broken_rules(&self) -> Vec<Rule> {
        let breaches = judge(&self.records, std::slice::from_ref(&self.class), &Rules::default());
        assert!(breaches.iter().all(|b| b.request.is_none() || !b.history.is_empty()));
        breaches.iter().map(|b| b.rule).collect()
    }
}

#[test]
fn answers_are_judged_by_their_time_and_by_sidecar_absences() {
    let safe = |end, ended| case(Effect::Safe, Group::All, end, ended);
    assert_eq!(safe(End::Served, 2 * S).broken_rules(), []);
    // The slack is 8 ms plus 50 ms.
    assert_eq!(safe(End::Served, 2 * S + 60_000).broken_rules(), [Rule::Lost]);
    assert_eq!(
        safe(End::Served, 2 * S + 60_000).with_absence(S, S + 10_000, false).broken_rules(),
        []
    );
    assert_eq!(safe(End::Broken, S + 5_000).broken_rules(), [Rule::Lost]);
    assert_eq!(
        safe(End::Broken, S + 5_000).with_absence(S + 4_000, u64::MAX, true).broken_rules(),
        []
    );
    assert_eq!(
        safe(End::Broken, S + 5_000).with_absence(3 * S, u64::MAX, true).broken_rules(),
        [Rule::Lost]
    );
    assert_eq!(safe(End::Silent, 4 * S).broken_rules(), [Rule::Lost]);
    assert_eq!(safe(End::Foreign, S + 1).broken_rules(), [Rule::Lost]);
    assert_eq!(safe(End::Unreached, S + 1).broken_rules(), []);
    let after = safe(End::Served, S + 5_000).attempt(0, S + 100_000, Fate::Served);
    assert_eq!(after.broken_rules(), [Rule::Lost]);
}

#[test]
fn only_late_answers_and_late_sends_are_timing_breaches() {
    let of = |effect, end, ended| case(effect, Group::All, end, ended);
    assert_eq!(of(Effect::Safe, End::Served, 2 * S + 60_000).timing_only(), [true]);
    assert_eq!(of(Effect::Safe, End::Silent, 4 * S).timing_only(), [true]);
    assert_eq!(of(Effect::Safe, End::Foreign, S + 1).timing_only(), [false]);
    assert_eq!(of(Effect::Safe, End::Broken, S + 5_000).timing_only(), [false]);
    let after = of(Effect::Safe, End::Served, S + 5_000).attempt(0, S + 100_000, Fate::Served);
    assert_eq!(after.timing_only(), [false]);
    let refused = of(Effect::Unsafe, End::Refused, S + 400_000).attempt(0, S, Fate::Open);
    assert_eq!(refused.timing_only(), [false]);
    let mut stray = of(Effect::Safe, End::Served, S + 5_000);
    stray.records.strays.push((S + 9_000, stray.records.requests[0].id));
    assert_eq!(stray.timing_only(), [false]);
    let late = 2 * S + 70_000;
    let mut drained =
        of(Effect::Safe, End::Served, S + 900_000).attempt(0, S + 800_000, Fate::Served);
    drained.records.notices.push(ServerNotice {
        at: 1,
        sidecar: 0,
        server: 0,
        listed: Listed::Leaving,
    });
    assert_eq!(drained.timing_only(), [true]);
    // A breach that does not depend on timing keeps this property beside one that does.
    let both = of(Effect::Unsafe, End::Served, late).attempt(0, S, Fate::Served);
    assert_eq!(both.attempt(1, S + 100_000, Fate::Served).timing_only(), [true, false]);
}

#[test]
fn effects_are_judged_by_what_may_have_run() {
    let order = |end| case(Effect::Unsafe, Group::All, end, S + 400_000);
    let may_have_run =
        [Fate::Served, Fate::Error, Fate::Reset, Fate::Silent, Fate::Abandoned, Fate::Open];
    for fate in may_have_run {
        let again = order(End::Served).attempt(0, S, fate).attempt(1, S + 100_000, Fate::Served);
        assert_eq!(again.broken_rules(), [Rule::Twice], "{fate:?}");
        assert_eq!(
            order(End::Refused).attempt(0, S, fate).broken_rules(),
            [Rule::Twice],
            "{fate:?}"
        );
        assert_eq!(order(End::Failed(502)).attempt(0, S, fate).broken_rules(), [], "{fate:?}");
    }
    let turned_away = order(End::Served).attempt(0, S, Fate::TurnedAway);
    assert_eq!(turned_away.attempt(1, S + 100_000, Fate::Served).broken_rules(), []);
    assert_eq!(order(End::Refused).attempt(0, S, Fate::TurnedAway).broken_rules(), []);
    // The second attempt was sent before it was known that the first had not run.
    let early =
        order(End::Served).attempt(0, S, Fate::TurnedAway).attempt(1, S + 5_000, Fate::Served);
    assert_eq!(early.broken_rules(), [Rule::Twice]);
}

#[test]
fn keyed_requests_are_judged_by_group_and_window() {
    let keyed = |group, server, at, end| {
        let case = case(Effect::Keyed, group, end, S + 900_000);
        case.attempt(0, S, Fate::Reset).attempt(server, S + at, Fate::Served).broken_rules()
    };
    assert_eq!(keyed(Group::Zone, 0, 300_000, End::Served), []);
    assert_eq!(keyed(Group::Zone, 1, 300_000, End::Served), [Rule::Twice]);
    assert_eq!(keyed(Group::All, 1, 300_000, End::Served), []);
    assert_eq!(keyed(Group::All, 1, 600_000, End::Served), [Rule::Twice]);
    assert_eq!(keyed(Group::All, 1, 300_000, End::Refused), []);
    assert_eq!(keyed(Group::Zone, 0, 300_000, End::Refused), [Rule::Twice]);
}

#[test]
fn drains_are_judged_by_the_first_notice_that_is_still_valid() {
    let judged = |told: &[(u64, Listed)], at| {
        let mut case =
            case(Effect::Safe, Group::All, End::Served, S + 900_000).attempt(0, at, Fate::Served);
        let notice =
            |t: &(u64, Listed)| ServerNotice { at: t.0, sidecar: 0, server: 0, listed: t.1 };
        case.records.notices = told.iter().map(notice).collect();
        case.broken_rules()
    };
    use Listed::{Active, Leaving};
    assert_eq!(judged(&[(0, Active)], S), []);
    assert_eq!(judged(&[(0, Active), (S - 500_000, Leaving)], S), []);
    assert_eq!(judged(&[(0, Active), (S - 600_000, Leaving)], S), [Rule::Drain]);
    assert_eq!(judged(&[(0, Leaving), (S - 100_000, Leaving)], S), [Rule::Drain]);
    assert_eq!(judged(&[(0, Leaving), (S - 100_000, Active)], S), []);
}

#[test]
fn an_overloaded_cold_server_counts_only_if_most_work_came_from_sidecars_that_listed_it() {
    let judged = |told| {
        let mut case =
            case(Effect::Safe, Group::All, End::Served, S + 900_000).attempt(0, S, Fate::Served);
        case.records.servers[0].fell = Some(S + 1);
        if told {
            case.records.notices =
                vec![ServerNotice { at: 1, sidecar: 0, server: 0, listed: Listed::Active }];
        }
        case.broken_rules()
    };
    assert_eq!(judged(true), [Rule::Cold]);
    assert_eq!(judged(false), []);
}

#[test]
fn a_header_that_a_server_got_twice_is_a_broken_rule_with_the_servers_name() {
    let mut case =
        case(Effect::Safe, Group::All, End::Served, S + 1_000).attempt(0, S, Fate::Served);
    assert_eq!(case.broken_rules(), []);
    let found = |id| DuplicateHeader { at: S, server: 1, id, header: "x-time-left-ms".into() };
    case.records.duplicate_headers = vec![found(Some(case.records.requests[0].id)), found(None)];
    assert_eq!(case.broken_rules(), [Rule::Header, Rule::Header]);
    let reported = judge(&case.records, std::slice::from_ref(&case.class), &Rules::default());
    assert!(
        reported.iter().all(|b| b.text == "s1 got x-time-left-ms twice at 1.000 s"),
        "{reported:?}"
    );
}

proptest! {
    #[test]
    fn an_id_keeps_its_parts(sidecar in 0usize..2000, arrival in 0usize..(1 << 24), attempt in 0u32..11) {
        let id = RequestId::new(sidecar, arrival, attempt);
        prop_assert_eq!(RequestId::parse(&id.to_hex()), Some(id));
        prop_assert_eq!(id.sidecar(), sidecar);
        prop_assert_eq!(id.operation(), RequestId::new(sidecar, arrival, 0).operation());
    }

    #[test]
    fn no_text_makes_the_timeline_parser_panic(text in "\\PC{0,200}") {
        let _ = millethook_lab::timeline::Timeline::from_toml(&text);
    }
}

#[test]
fn a_list_at_an_agent_counts_as_received_after_a_time_even_if_it_was_not_delivered() {
    let sends_at = |at: u64, records: fn(&mut RunRecords)| {
        let mut case = case(Effect::Safe, Group::All, End::Served, at + 10_000);
        case.records.requests[0].sent = at;
        let mut case = case.attempt(0, at, Fate::Served);
        let leaves = |at| ServerNotice { at, sidecar: 0, server: 0, listed: Listed::Leaving };
        case.records.available.push(leaves(2 * S));
        records(&mut case.records);
        case.broken_rules()
    };
    // A pushed list counts at once; the sidecar has 500 ms and the socket slack to act on it.
    assert_eq!(sends_at(2 * S + 540_000, |_| {}), []);
    assert_eq!(sends_at(2 * S + 560_000, |_| {}), [Rule::Drain]);
    // If the watch had fallen silent before, the list counts 6 s after the silence, or when it was received.
    let silent = |records: &mut RunRecords| records.silences.push((0, S));
    assert_eq!(sends_at(7 * S + 540_000, silent), []);
    assert_eq!(sends_at(7 * S + 560_000, silent), [Rule::Drain]);
    let written = |records: &mut RunRecords| {
        records.silences.push((0, S));
        records.notices.push(ServerNotice {
            at: 3 * S,
            sidecar: 0,
            server: 0,
            listed: Listed::Leaving,
        });
    };
    assert_eq!(sends_at(3 * S + 560_000, written), [Rule::Drain]);
    // The silence of another sidecar's watch does not matter.
    assert_eq!(sends_at(3 * S, |records| records.silences.push((1, S))), [Rule::Drain]);
    // After a configuration that moved discovery, the list counts 4 s after the move.
    let moved = |records: &mut RunRecords| records.moves.push((0, S));
    assert_eq!(sends_at(5 * S + 540_000, moved), []);
    assert_eq!(sends_at(5 * S + 560_000, moved), [Rule::Drain]);
}

#[test]
fn one_new_connection_in_two_hundred_may_be_closed_without_an_answer() {
    let closed = |count: usize| {
        let mut case = case(Effect::Safe, Group::All, End::Served, S + 1_000);
        let first = case.records.requests[0].clone();
        for n in 1..400 {
            let end = if n <= count { End::Closed } else { End::Served };
            let id = RequestId::new(0, n, 0);
            case.records.requests.push(Request { id, end, ..first.clone() });
        }
        case.broken_rules().len()
    };
    assert_eq!([closed(2), closed(3), closed(12)], [0, 1, 10]);
}
