//! Each way in which an attempt can end, for each class.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use millethook_testkit::*;
use serde_json::json;

use crate::form::{
    ClientRequest, Form, Outcome, REFUSED, Record, UNLIMITED, send_all, served, start,
    with_and_without_handshake_price,
};

with_and_without_handshake_price!(
    every_class_is_served,
    a_safe_request_is_tried_again,
    an_unsafe_request_that_may_have_run_is_not,
    a_keyed_request_is_repeated_in_its_group,
    a_keyed_request_stays_in_its_zone,
    the_connection_header_cannot_remove_the_key,
    a_rejected_request_goes_to_another_server,
    a_request_that_all_servers_reject_is_refused,
    a_refusal_has_a_retry_after,
    a_refused_connection_never_ran,
    a_reset_before_the_last_byte_never_ran,
    interim_answers_and_trailing_garbage_are_harmless,
    a_stale_copy_is_not_the_next_answer,
    a_stale_copy_is_not_the_next_answer_of_what_may_be_repeated,
    a_stale_copy_of_a_formerly_healthy_server_is_not_the_next_answer,
    a_request_on_a_silent_connection_is_hedged,
    a_bad_server_among_good_ones,
    a_storm_of_faults_repeats_nothing_unsafe,
);

/// The first request that any server receives meets `fault`, all others are served.
fn first_request_meets(fault: Fault) -> ServerGroup {
    ServerGroup::new(
        3,
        move |a| if a.nth == 1 { fault.clone() } else { Fault::Serve("fine".into()) },
    )
}

/// Faults after which a client cannot tell whether the request ran.
fn ambiguous_faults() -> [Fault; 6] {
    [
        Fault::Error,
        Fault::Unavailable,
        Fault::Reset,
        Fault::Garbage,
        Fault::Truncated,
        Fault::StalledBody,
    ]
}

fn every_class_is_served<F: Form>() -> Record {
    let group =
        ServerGroup::new(1, |a| Fault::Serve(format!("{} {}", a.nth, a.message.body.len())));
    let record = Record::of(send_all::<F>(&group, ClientRequest::each()), &group);
    assert_eq!(record.outcomes, [served("1 0"), served("2 4"), served("3 1")]);
    assert_eq!(record.seen[0].1, "GET /look/1?q=2");
    assert_eq!(record.seen[1].2.as_deref(), Some("5c0f"));
    record
}

fn a_safe_request_is_tried_again<F: Form>() -> Vec<Record> {
    let records = ambiguous_faults().map(|fault| {
        let group = first_request_meets(fault);
        let record = Record::without_server(send_all::<F>(&group, [ClientRequest::safe()]), &group);
        assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[served("fine")][..], 2));
        record
    });
    records.into()
}

/// Guards against a repeat without its key, which runs again although the first attempt ran.
fn the_connection_header_cannot_remove_the_key<F: Form>() -> Record {
    let named = "idempotency-key, x-correlation-id, x-account, host, x-of-this-hop";
    let request = ClientRequest::keyed().with("connection", named).with("x-of-this-hop", "1");
    let group = first_request_meets(Fault::Error);
    let agent = Agent::start(group.hosts());
    let settings = config(agent.address, |c| {
        c["settings"]["classes"][1]["dedupScope"] = json!("all");
    });
    // With `reuse = "proven"`, requests have a `Connection` field that belongs to this hop.
    let form = F::start_with(&settings, UNLIMITED);
    let record = Record::without_server(vec![form.request(request)], &group);
    assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[served("fine")][..], 2));
    for attempt in group.seen() {
        let header = |name| attempt.message.header(name);
        assert_eq!((header("idempotency-key"), header("x-account")), (Some("5c0f"), Some("acme")));
        assert_eq!((header("host"), header("x-of-this-hop")), (Some("app.svc"), None));
        assert!(header("x-correlation-id").is_some() && header("connection").is_none());
    }
    record
}

fn an_unsafe_request_that_may_have_run_is_not<F: Form>() -> Vec<Record> {
    let records = ambiguous_faults().map(|fault| {
        // Only its end tells a truncated answer from a slow one.
        let is_truncated = matches!(fault, Fault::StalledBody);
        let group = first_request_meets(fault);
        let record =
            Record::without_server(send_all::<F>(&group, [ClientRequest::at_most_once()]), &group);
        let expected = if is_truncated { Outcome::Incomplete } else { Outcome::Failed };
        assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[expected][..], 1));
        record
    });
    records.into()
}

fn a_keyed_request_is_repeated_in_its_group<F: Form>() -> Vec<Record> {
    let records = ambiguous_faults().map(|fault| {
        let group = first_request_meets(fault);
        let record =
            Record::without_server(send_all::<F>(&group, [ClientRequest::keyed()]), &group);
        assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[served("fine")][..], 2));
        record
    });
    records.into()
}

fn a_keyed_request_stays_in_its_zone<F: Form>() -> Record {
    let group = ServerGroup::new(2, |_| Fault::Reset);
    let mut hosts = group.hosts();
    hosts[1]["site"] = "b".into();
    let agent = Agent::start(hosts);
    let form = F::start(&config(agent.address, |_| {}));
    let record = Record::without_server(vec![form.request(ClientRequest::keyed())], &group);
    assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[Outcome::Failed][..], 1));
    record
}

fn a_rejected_request_goes_to_another_server<F: Form>() -> Vec<Record> {
    let timed_out = b"HTTP/1.1 504 Over\r\nx-unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
    let mut records = Vec::new();
    for fault in [Fault::Reject, Fault::Raw(timed_out)] {
        for request in ClientRequest::each() {
            let group = first_request_meets(fault.clone());
            let record = Record::without_server(send_all::<F>(&group, [request]), &group);
            assert_eq!((record.outcomes.as_slice(), record.attempts()), (&[served("fine")][..], 2));
            records.push(record);
        }
    }
    records
}

fn a_request_that_all_servers_reject_is_refused<F: Form>() -> Vec<Record> {
    let records = ClientRequest::each().map(|request| {
        let group = ServerGroup::new(3, |_| Fault::Reject);
        let record = Record::without_server(send_all::<F>(&group, [request]), &group);
        assert_eq!(record.outcomes, [REFUSED]);
        assert!((1..=3).contains(&record.attempts()), "{}", record.attempts());
        record
    });
    records.into()
}

fn a_refusal_has_a_retry_after<F: Form>() -> Record {
    let group = ServerGroup::new(2, |_| Fault::Reject);
    let (form, _agent) = start::<F>(&group, |c| {
        c["settings"]["limits"]["retryAfter"] = true.into();
        c["settings"]["limits"]["maxRetryAfter"] = 400_000.into();
    });
    let record = Record::without_server(vec![form.request(ClientRequest::at_most_once())], &group);
    assert_eq!(record.outcomes, [Outcome::Refused { retry_after: true }]);
    record
}

fn a_refused_connection_never_ran<F: Form>() -> Record {
    let group = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let agent = Agent::start([group.hosts(), vec![host("s-gone", refusing_address())]].concat());
    let form = F::start(&config(agent.address, |_| {}));
    let requests = (0..6).map(|_| ClientRequest::at_most_once());
    let record = Record::of(requests.map(|request| form.request(request)).collect(), &group);
    assert_eq!((record.outcomes.as_slice(), record.attempts()), (&vec![served("fine"); 6][..], 6));
    record
}

/// Each connection to the first server is reset after the head and before the body. Such a request
/// never ran, so an unsafe one goes to the other server.
fn a_reset_before_the_last_byte_never_ran<F: Form>() -> Record {
    let accept_fault =
        |server, _| if server == 0 { AcceptFault::ResetAfterHead } else { AcceptFault::None };
    let group = ServerGroup::with_accept_faults(2, accept_fault, |_| Fault::Serve("fine".into()));
    // The body does not fit into the kernel's buffer, so that the reset is always noticed before
    // the last byte.
    let request = || ClientRequest::at_most_once().body(vec![b'x'; 60 << 10]);
    let outcomes = send_all::<F>(&group, (0..8).map(|_| request()));
    // On a busy machine the reset may come after the last byte; then the request has failed and is
    // not sent again.
    let served_or_failed =
        outcomes.iter().all(|outcome| matches!(outcome, Outcome::Served(_) | Outcome::Failed));
    let count = outcomes.iter().filter(|outcome| **outcome == served("fine")).count();
    assert!(served_or_failed && count > 4 && group.count() == count, "{outcomes:?}");
    Record { outcomes: Vec::new(), seen: Vec::new() }
}

fn interim_answers_and_trailing_garbage_are_harmless<F: Form>() -> Vec<Record> {
    let interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
    let trailing = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfineand noise behind";
    let records = [interim, trailing].map(|bytes| {
        let group = ServerGroup::new(1, move |_| Fault::Raw(bytes.into()));
        let requests = (0..4).map(|_| ClientRequest::at_most_once());
        let record = Record::of(send_all::<F>(&group, requests), &group);
        assert_eq!(record.outcomes, vec![served("fine"); 4]);
        record
    });
    records.into()
}

/// Guards against a second copy of the last answer that arrives on an idle connection just as the
/// next request is sent, and is taken for that request's answer. The copy arrives at the request's
/// first byte, a few milliseconds before its last byte is sent, so a busy machine may miss it, but
/// not every time. Connections of a server that was seen to send a copy are not reused, so the test
/// has many servers.
fn a_stale_copy_is_not_the_next_answer<F: Form>() -> bool {
    let stale = Arc::new(AtomicUsize::new(0));
    let start = |_| {
        let sent = stale.clone();
        Server::start(move |mut conn| {
            for nth in 0.. {
                if nth == 1 && conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
                    sent.fetch_add(1, Ordering::SeqCst);
                    conn.send(ok("a copy"));
                }
                let Some(message) = conn.message().filter(|m| m.complete) else { return };
                conn.send(ok(&String::from_utf8_lossy(&message.body)));
            }
        })
    };
    let servers: Vec<Server> = (0..24).map(start).collect();
    let agent = Agent::start(hosts(&servers));
    // With `reuse = "proven"`, these servers send no copy, and the test would show nothing.
    let form = F::start_with(&config(agent.address, |_| {}), UNLIMITED);
    let send = |n: usize| {
        std::thread::sleep(Duration::from_millis(10));
        form.request(ClientRequest::at_most_once().body(format!("request {n}").into()))
    };
    let wrong = (0..96).filter(|&n| send(n) == served("a copy")).count();
    let stale = stale.load(Ordering::SeqCst);
    assert!(stale > 4 && wrong < 3, "{wrong} wrong answers of {stale} copies");
    true
}

/// Guards against serving an answer to the next request on its connection: the server answers
/// twice, and the second copy arrives only as that request begins.
fn a_stale_copy_is_not_the_next_answer_of_what_may_be_repeated<F: Form>() -> bool {
    let server = Server::start(move |mut conn| {
        for nth in 0.. {
            if nth == 1 && conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
                conn.send(ok("a copy"));
            }
            let Some(_) = conn.message().filter(|m| m.complete) else { return };
            conn.send(ok("its own"));
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let send = |_| {
        std::thread::sleep(Duration::from_millis(10));
        form.request(ClientRequest::safe())
    };
    let wrong = (0..16).map(send).filter(|outcome| *outcome == served("a copy")).count();
    assert_eq!(wrong, 0, "requests of 16 that got another one's answer");
    true
}

/// Guards against the same from a server that has passed the check before and is no longer checked.
fn a_stale_copy_of_a_formerly_healthy_server_is_not_the_next_answer<F: Form>() -> bool {
    const HEALTHY_REQUESTS: usize = 20;
    let server = Server::start(move |mut conn| {
        for nth in 0.. {
            let misbehaves = nth >= HEALTHY_REQUESTS;
            if misbehaves && conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
                conn.send(ok("a copy"));
            }
            let Some(_) = conn.message().filter(|m| m.complete) else { return };
            if misbehaves {
                // The service time of the true answer.
                std::thread::sleep(Duration::from_millis(5));
            }
            conn.send(ok("its own"));
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let send = |_| {
        std::thread::sleep(Duration::from_millis(10));
        form.request(ClientRequest::safe())
    };
    let wrong =
        (0..2 * HEALTHY_REQUESTS).map(send).filter(|outcome| *outcome == served("a copy")).count();
    assert_eq!(wrong, 0, "requests that got another one's answer");
    true
}

/// A connection stops responding although its server is healthy: once later requests have overtaken
/// the one on it, a hedge goes to another server, and the request is served long before its
/// deadline.
fn a_request_on_a_silent_connection_is_hedged<F: Form>() -> Vec<Outcome> {
    let group = ServerGroup::new(2, |a| match a.id.as_str() {
        "silent" if a.nth == 1 => Fault::Stall,
        _ => Fault::Serve("fine".into()),
    });
    let (form, _agent) = start::<F>(&group, |c| {
        for class in c["settings"]["classes"].as_array_mut().into_iter().flatten() {
            class["deadline"] = json!(20_000_000);
            class["aim"] = json!(2_000_000);
        }
    });
    let silent =
        || ClientRequest::safe().without("x-correlation-id").with("x-correlation-id", "silent");
    let outcomes = std::thread::scope(|s| {
        let first = s.spawn(|| form.request(silent().time_left(18_000)));
        wait_until("the first request is at a server", || group.count() >= 1);
        // Other requests overtake it at both servers for as long as it waits.
        while !first.is_finished() {
            assert_eq!(form.request(ClientRequest::safe()), served("fine"));
        }
        vec![first.join().expect("no client panics")]
    });
    assert_eq!(outcomes, [served("fine")]);
    let copies = group.seen().iter().filter(|a| a.id == "silent").count();
    assert_eq!(copies, 2, "the first attempt and its copy");
    outcomes
}

fn a_bad_server_among_good_ones<F: Form>() -> Record {
    let group = ServerGroup::new(3, |a| match a.server {
        0 => Fault::Garbage,
        _ => Fault::Serve("fine".into()),
    });
    let requests = (0..40).map(|_| ClientRequest::safe());
    let outcomes = send_all::<F>(&group, requests);
    // Repeats have a budget, so not every failed attempt is repeated.
    let served_count = outcomes.iter().filter(|outcome| **outcome == served("fine")).count();
    assert!(
        served_count >= 36 && outcomes.iter().all(|e| *e == REFUSED || *e == served("fine")),
        "{outcomes:?}"
    );
    let bad = group.seen().iter().filter(|a| a.server == 0).count();
    assert!(bad <= 6, "{bad} of 40 at a server whose answers are all invalid");
    Record { outcomes: Vec::new(), seen: Vec::new() }
}

/// Servers with every fault, and concurrent requests of every class: each request ends once. What
/// may have run is never repeated if it is unsafe, and never outside its deduplication zone if it
/// is keyed.
fn a_storm_of_faults_repeats_nothing_unsafe<F: Form>() -> usize {
    let may_have_run = |n: u64| !matches!(n, 0..=3);
    let draw = |a: &Attempt| Random::new(a.nth as u64).below(12);
    let group = ServerGroup::new(4, move |a| match draw(a) {
        0..=3 => Fault::Reject,
        4 => Fault::Error,
        5 => Fault::Reset,
        6 => Fault::Unavailable,
        7 => Fault::Garbage,
        8 => Fault::Delayed(Delay::Fixed(std::time::Duration::from_millis(30)), "late".into()),
        _ => Fault::Serve("fine".into()),
    });
    let mut hosts = group.hosts();
    hosts[2]["site"] = "b".into();
    hosts[3]["site"] = "b".into();
    let agent = Agent::start(hosts);
    let form = F::start(&config(agent.address, |c| {
        c["settings"]["limits"]["connectTimeout"] = json!(1_000_000);
    }));
    let outcomes: Vec<Outcome> = std::thread::scope(|s| {
        let clients = (0..8).map(|client| {
            let form = &form;
            s.spawn(move || {
                let requests = (0..15).map(|n| ClientRequest::each()[(client + n) % 3].clone());
                let id = |n: usize| format!("storm-{client}-{n}");
                requests
                    .enumerate()
                    .map(|(n, request)| {
                        form.request(
                            request.without("x-correlation-id").with("x-correlation-id", &id(n)),
                        )
                    })
                    .collect::<Vec<_>>()
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().flat_map(|c| c.join().expect("no client panics")).collect()
    });
    let known = |outcome: &Outcome| !matches!(outcome, Outcome::Invalid(_) | Outcome::Incomplete);
    assert!(outcomes.iter().all(known), "{outcomes:?}");
    let seen = group.seen();
    for attempt in &seen {
        let earlier = seen.iter().take_while(|a| a.nth < attempt.nth);
        let ran = earlier.filter(|a| a.id == attempt.id && may_have_run(draw(a)));
        for before in ran {
            let same_zone = (before.server < 2) == (attempt.server < 2);
            match attempt.line.as_str() {
                "POST /order" => panic!("an unsafe request again: {before:?}, then {attempt:?}"),
                "POST /keep" => assert!(same_zone, "a keyed one in another zone: {attempt:?}"),
                _ => {}
            }
        }
    }
    outcomes.len()
}
