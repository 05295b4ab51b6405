//! Tests of the rules on hand-made records: what each rule rejects and what it accepts, to the microsecond.

use coppercart::api::{Micros, RequestId, ServerId};
use millethook_explore::judge::{self, Finding, Rule, Send, Verdict};
use millethook_explore::records::{Attempt, AttemptProgress, Request, Server, ServerStatus};
use millethook_explore::scenario::{
    ANSWER_SLACK, COLD, DEADLINE, DRAIN_GRACE, MS, RequestKind, START, Scenario, WINDOW,
};

fn request(kind: RequestKind, attempts: Vec<Attempt>) -> Request {
    Request {
        id: RequestId(0),
        kind,
        deadline: START + DEADLINE,
        finals: 0,
        gone: false,
        answering: None,
        uploading: None,
        attempts,
    }
}

/// Returns an attempt sent 10 ms after the start.
fn attempt(zone: u8, course: AttemptProgress) -> Attempt {
    let sent = START + 10 * MS;
    let (until, commit_by) = (START + DEADLINE, sent + WINDOW);
    Attempt { server: ServerId(1), zone, sent, until, commit_by, cancelled: None, course }
}

fn ended_attempt(never_ran: bool) -> AttemptProgress {
    AttemptProgress::Ended { never_ran, at: START + 20 * MS }
}

fn server(status: ServerStatus) -> Server {
    Server { id: ServerId(2), zone: 0, status, started: 0, sends: 0 }
}

fn scenario(name: &str) -> Scenario {
    Scenario::all(2, 1).unwrap().into_iter().find(|s| s.name.starts_with(name)).unwrap()
}

fn send_at(at: Micros, commit_within: Micros) -> Send {
    Send { now: START + at, timeout: DEADLINE - at, commit_within }
}

fn check_send(request: &Request, server: &Server, send: Send) -> Option<Rule> {
    violated_rule(judge::send(&scenario("platform"), request, server, send))
}

fn violated_rule(verdict: Verdict) -> Option<Rule> {
    verdict.err().map(|Finding { rule, .. }| rule)
}

#[test]
fn an_unsafe_request_is_retried_only_if_no_attempt_may_have_run() {
    let ready = server(ServerStatus::Ready);
    let send = send_at(30 * MS, 100 * MS);
    let of = |courses: &[AttemptProgress]| {
        request(RequestKind::Unsafe, courses.iter().map(|course| attempt(0, *course)).collect())
    };
    assert_eq!(check_send(&of(&[]), &ready, send), None);
    assert_eq!(check_send(&of(&[ended_attempt(true)]), &ready, send), None);
    assert_eq!(check_send(&of(&[ended_attempt(true), ended_attempt(true)]), &ready, send), None);
    assert_eq!(
        check_send(&of(&[ended_attempt(true), ended_attempt(false)]), &ready, send),
        Some(Rule::UnsafeOnce)
    );
    assert_eq!(check_send(&of(&[AttemptProgress::Out]), &ready, send), Some(Rule::UnsafeOnce));
}

#[test]
fn a_keyed_request_is_retried_within_its_zone_and_window() {
    let ready = server(ServerStatus::Ready);
    let of = |zone, course| request(RequestKind::Keyed, vec![attempt(zone, course)]);
    let rest = WINDOW - 20 * MS;
    assert_eq!(check_send(&of(0, ended_attempt(false)), &ready, send_at(30 * MS, rest)), None);
    let wide = send_at(30 * MS, rest + 1);
    assert_eq!(
        check_send(&of(0, ended_attempt(false)), &ready, wide),
        Some(Rule::KeyedInItsWindow)
    );
    assert_eq!(check_send(&of(0, ended_attempt(true)), &ready, wide), None);
    let away = of(1, ended_attempt(false));
    assert_eq!(check_send(&away, &ready, send_at(30 * MS, rest)), Some(Rule::KeyedInItsWindow));
    assert_eq!(check_send(&of(1, ended_attempt(true)), &ready, send_at(30 * MS, rest)), None);
    let late = send_at(10 * MS + WINDOW + 1, 0);
    assert_eq!(
        check_send(&of(0, AttemptProgress::Out), &ready, late),
        Some(Rule::KeyedInItsWindow)
    );
}

#[test]
fn draining_servers_have_a_grace_time_and_removed_ones_none() {
    let fresh = request(RequestKind::Safe, Vec::new());
    let at = |status, at| check_send(&fresh, &server(status), send_at(at, MS));
    let draining = ServerStatus::Draining(START);
    assert_eq!(at(draining, DRAIN_GRACE), None);
    assert_eq!(at(draining, DRAIN_GRACE + 1), Some(Rule::DrainKept));
    assert_eq!(at(ServerStatus::Gone, 0), Some(Rule::GoneLeft));
}

#[test]
fn a_cold_server_gets_no_retry_and_limited_first_attempts() {
    let cold = |sends| Server { started: START, sends, ..server(ServerStatus::Ready) };
    let first = request(RequestKind::Safe, Vec::new());
    let second = request(RequestKind::Safe, vec![attempt(0, ended_attempt(true))]);
    let send = send_at(30 * MS, MS);
    assert_eq!(check_send(&first, &cold(4), send), None);
    assert_eq!(check_send(&first, &cold(5), send), Some(Rule::ColdSpared));
    assert_eq!(check_send(&second, &cold(0), send), Some(Rule::ColdSpared));
    let warm = Server { started: START + 30 * MS - COLD, ..cold(5) };
    assert_eq!(check_send(&second, &warm, send), None);
}

#[test]
fn attempts_are_bounded_in_number_time_and_concurrency() {
    let ready = server(ServerStatus::Ready);
    let of = |count| request(RequestKind::Safe, vec![attempt(0, ended_attempt(true)); count]);
    let send = send_at(30 * MS, MS);
    assert_eq!(check_send(&of(3), &ready, send), None);
    assert_eq!(check_send(&of(4), &ready, send), Some(Rule::AttemptsBounded));
    let past_deadline_send = Send { timeout: send.timeout + 1, ..send };
    assert_eq!(check_send(&of(0), &ready, past_deadline_send), Some(Rule::AttemptsBounded));
    assert_eq!(check_send(&of(0), &ready, send_at(DEADLINE, 0)), Some(Rule::AttemptsBounded));
    let out = request(RequestKind::Safe, vec![attempt(0, AttemptProgress::Out)]);
    assert_eq!(check_send(&out, &ready, send), None);
    let single = judge::send(&scenario("single"), &out, &ready, send);
    assert_eq!(violated_rule(single), Some(Rule::AttemptsBounded));
}

#[test]
fn nothing_is_sent_after_the_end_of_a_request() {
    let ready = server(ServerStatus::Ready);
    let send = send_at(30 * MS, MS);
    let open = request(RequestKind::Safe, vec![attempt(0, ended_attempt(true))]);
    let ended = [
        Request { finals: 1, ..open.clone() },
        Request { gone: true, ..open.clone() },
        Request { answering: Some(0), ..open.clone() },
        Request { uploading: Some(0), ..open.clone() },
    ];
    for request in ended {
        assert_eq!(check_send(&request, &ready, send), Some(Rule::NothingAfterTheEnd));
    }
}

#[test]
fn one_final_answer_and_no_refusal_of_an_executed_request() {
    let of = |kind, course| request(kind, vec![attempt(0, course)]);
    for kind in [RequestKind::Keyed, RequestKind::Unsafe] {
        assert_eq!(violated_rule(judge::final_answer(&of(kind, ended_attempt(true)), true)), None);
        for course in [ended_attempt(false), AttemptProgress::Out] {
            let refused = judge::final_answer(&of(kind, course), true);
            assert_eq!(violated_rule(refused), Some(Rule::RefusedUnrun));
            assert_eq!(violated_rule(judge::final_answer(&of(kind, course), false)), None);
        }
    }
    assert_eq!(
        violated_rule(judge::final_answer(&of(RequestKind::Safe, ended_attempt(false)), true)),
        None
    );
    let answered = Request { finals: 1, ..of(RequestKind::Safe, ended_attempt(true)) };
    assert_eq!(violated_rule(judge::final_answer(&answered, false)), Some(Rule::OneAnswer));
}

#[test]
fn an_answer_must_come_by_the_deadline_plus_slack() {
    let open = request(RequestKind::Safe, vec![attempt(0, AttemptProgress::Out)]);
    let end = START + DEADLINE + ANSWER_SLACK;
    assert_eq!(violated_rule(judge::check_deadline(&open, end)), None);
    assert_eq!(violated_rule(judge::check_deadline(&open, end + 1)), Some(Rule::InTime));
    let answered = Request { finals: 1, ..open.clone() };
    assert_eq!(violated_rule(judge::check_deadline(&answered, end + 1)), None);
    // The deadline does not apply while the body is being forwarded, and applies again afterwards.
    let uploading = Request { uploading: Some(0), ..open };
    assert_eq!(violated_rule(judge::check_deadline(&uploading, end + 1)), None);
    let mut uploaded = uploading;
    uploaded.attempts[0].course = ended_attempt(false);
    assert_eq!(violated_rule(judge::check_deadline(&uploaded, end + 1)), Some(Rule::InTime));
}

#[test]
fn nothing_is_left_when_idle() {
    let open = [request(RequestKind::Safe, Vec::new())];
    assert_eq!(violated_rule(judge::check_idle(&open, 0, 0)), Some(Rule::OneAnswer));
    let answered = [Request { finals: 1, ..open[0].clone() }];
    assert_eq!(violated_rule(judge::check_idle(&answered, 0, 0)), None);
    assert_eq!(violated_rule(judge::check_idle(&answered, 1, 0)), Some(Rule::NothingLeft));
    assert_eq!(violated_rule(judge::check_idle(&answered, 0, 1)), Some(Rule::NothingLeft));
}
