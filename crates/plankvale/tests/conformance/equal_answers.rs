//! Answers that equal earlier ones on their connection: copies of any age, and answers that are
//! legitimately equal.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use millethook_testkit::*;

use crate::form::{ClientRequest, Form, Outcome, served, where_handshakes_cost};

where_handshakes_cost!(
    a_copy_of_an_answer_from_long_ago_is_not_the_next_answer,
    a_copy_of_a_failure_is_not_the_next_answer,
    legitimately_equal_answers_are_served,
    answers_that_become_equal_cost_one_request,
    a_connection_carries_many_answers_and_no_request_is_lost_at_its_end,
    a_keyed_request_whose_repeat_is_rejected_may_have_run,
    a_keyed_request_is_not_repeated_after_its_window,
);

/// What a connection does with a request, given the number of earlier requests on it. None: it
/// closes.
type Handler = dyn Fn(&mut Conn, &Message, usize) -> Option<()> + Send + Sync;

/// A server, and the counter of connections it has accepted.
fn server(handler: Arc<Handler>) -> (Server, Arc<AtomicUsize>) {
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = connections.clone();
    let server = Server::start(move |mut conn| {
        accepted.fetch_add(1, Ordering::SeqCst);
        for nth in 0.. {
            let Some(message) = conn.message().filter(|message| message.complete) else { return };
            if handler(&mut conn, &message, nth).is_none() {
                return;
            }
        }
    });
    (server, connections)
}

fn id(message: &Message) -> &str {
    message.header("x-correlation-id").expect("an id")
}

/// Sends requests one after another; returns for each whether it got its own answer, and how it
/// ended.
fn send_all<F: Form>(
    form: &F,
    requests: impl Iterator<Item = ClientRequest>,
) -> Vec<(bool, Outcome)> {
    requests
        .map(|request| {
            // Longer than a connection's quarantine.
            thread::sleep(Duration::from_millis(3));
            let id = request.headers.iter().find(|field| field.0 == "x-correlation-id").cloned();
            let outcome = form.request(request);
            (outcome == served(&id.expect("an id").1), outcome)
        })
        .collect()
}

fn wrong_answers(outcomes: &[(bool, Outcome)]) -> usize {
    outcomes.iter().filter(|(own, outcome)| !own && matches!(outcome, Outcome::Served(_))).count()
}

/// Guards against a copy of an answer older than the last one.
fn a_copy_of_an_answer_from_long_ago_is_not_the_next_answer<F: Form>() {
    const OLD: usize = 30;
    let first = std::sync::Mutex::new(String::new());
    let copies = Arc::new(AtomicUsize::new(0));
    let sent = copies.clone();
    let handler = move |conn: &mut Conn, message: &Message, nth: usize| {
        let own = ok(id(message));
        let mut first = first.lock().expect("no server panics");
        if nth == 0 {
            first.clone_from(&own);
        }
        if nth == OLD {
            sent.fetch_add(1, Ordering::SeqCst);
            conn.send(&*first);
            thread::sleep(Duration::from_millis(20));
        }
        conn.send(own);
        Some(())
    };
    let (server, _) = server(Arc::new(handler));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let outcomes = send_all(&form, std::iter::repeat_with(ClientRequest::safe).take(3 * OLD));
    assert!(copies.load(Ordering::SeqCst) > 0, "no copy was sent");
    assert_eq!(wrong_answers(&outcomes), 0, "requests that got another one's answer");
    let own = outcomes.iter().filter(|(own, _)| *own).count();
    assert_eq!(own, outcomes.len(), "the true answer behind the copy is served");
}

/// Guards against a second copy of a failure that makes the next request fail too: no request may
/// be sent on a connection after a failure.
fn a_copy_of_a_failure_is_not_the_next_answer<F: Form>() {
    const FAILURE: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 6\r\n\r\nbroken";
    let after_failure = Arc::new(AtomicUsize::new(0));
    let seen = after_failure.clone();
    let server = Server::start(move |mut conn| {
        let mut has_failed = false;
        while let Some(message) = conn.message().filter(|message| message.complete) {
            if has_failed {
                seen.fetch_add(1, Ordering::SeqCst);
                conn.send(FAILURE);
            }
            let fails = message.first.contains("fail");
            has_failed |= fails;
            conn.send(if fails { FAILURE.to_owned() } else { ok(id(&message)) });
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let requests = (0..40).map(|n| {
        let request = ClientRequest::at_most_once();
        if n % 2 == 0 { request.path("/order?fail") } else { request }
    });
    let outcomes = send_all(&form, requests);
    let served_count = outcomes.iter().filter(|(own, _)| *own).count();
    assert_eq!((served_count, after_failure.load(Ordering::SeqCst)), (20, 0), "{outcomes:?}");
}

/// Guards against requests that fail, or wait for another answer, because all answers are
/// legitimately equal.
fn legitimately_equal_answers_are_served<F: Form>() {
    let handler = |conn: &mut Conn, _: &Message, _: usize| {
        conn.send(ok("done"));
        Some(())
    };
    let (server, _) = server(Arc::new(handler));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    for request in std::iter::repeat_with(ClientRequest::each).take(20).flatten() {
        thread::sleep(Duration::from_millis(3));
        assert_eq!(form.request(request), served("done"));
    }
}

/// Guards against unsafe requests that fail repeatedly because answers that used to differ are
/// equal from now on. The first equal answer may be a copy, which cannot be ruled out.
fn answers_that_become_equal_cost_one_request<F: Form>() {
    const DIFFERING: usize = 20;
    let count = AtomicUsize::new(0);
    let handler = move |conn: &mut Conn, message: &Message, _: usize| {
        let differs = count.fetch_add(1, Ordering::SeqCst) < DIFFERING;
        conn.send(ok(if differs { id(message) } else { "done" }));
        Some(())
    };
    let (server, _) = server(Arc::new(handler));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let outcomes =
        send_all(&form, std::iter::repeat_with(ClientRequest::at_most_once).take(3 * DIFFERING));
    assert!(outcomes[..DIFFERING].iter().all(|(own, _)| *own), "{outcomes:?}");
    let failed =
        outcomes[DIFFERING..].iter().filter(|(_, outcome)| *outcome != served("done")).count();
    assert!(failed <= 1, "{failed} failed");
}

/// Guards against a request on a connection whose answers can no longer be remembered, and against
/// one connection for every few requests.
fn a_connection_carries_many_answers_and_no_request_is_lost_at_its_end<F: Form>() {
    const REQUESTS: usize = 600;
    /// With this few handshakes for each request, their price is negligible.
    const MOST_CONNECTIONS: usize = REQUESTS / 50;
    let handler = |conn: &mut Conn, message: &Message, _: usize| {
        conn.send(ok(id(message)));
        Some(())
    };
    let (server, connections) = server(Arc::new(handler));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let outcomes = send_all(&form, std::iter::repeat_with(ClientRequest::safe).take(REQUESTS));
    assert!(outcomes.iter().all(|(own, _)| *own), "not served: {outcomes:?}");
    let connections = connections.load(Ordering::SeqCst);
    assert!(connections > 1, "more answers than one connection can be trusted with");
    assert!(connections <= MOST_CONNECTIONS, "{connections} connections");
}

/// What a server does after the first [`HEALTHY_REQUESTS`] requests.
type LaterHandler = dyn Fn(&mut Conn, &str) + Send + Sync;

const HEALTHY_REQUESTS: usize = 20;

/// A server that answers the first requests correctly, and the next one on a reused connection with
/// a copy of the previous answer after this delay. From then on it handles each request with
/// `later_handler`. Also returns the ids that it has received.
fn server_with_one_copy(
    delay: Duration,
    later_handler: Arc<LaterHandler>,
) -> (Server, Arc<Mutex<Vec<String>>>) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let ids = seen.clone();
    let copy_was_sent = AtomicBool::new(false);
    let server = Server::start(move |mut conn| {
        let mut last = None;
        while let Some(message) = conn.message().filter(|message| message.complete) {
            let nth = {
                let mut ids = ids.lock().expect("no server panics");
                ids.push(id(&message).to_owned());
                ids.len()
            };
            if copy_was_sent.load(Ordering::SeqCst) {
                later_handler(&mut conn, id(&message));
                continue;
            }
            let earlier = last.replace(ok(id(&message)));
            match earlier.filter(|_| nth > HEALTHY_REQUESTS) {
                Some(copy) => {
                    copy_was_sent.store(true, Ordering::SeqCst);
                    thread::sleep(delay);
                    conn.send(copy);
                }
                None => conn.send(ok(id(&message))),
            }
        }
    });
    (server, seen)
}

/// Sends requests until an answer is not the request's own. Returns how that request ended, and how
/// often it was received.
fn outcome_of_first_copy<F: Form>(
    delay: Duration,
    later_handler: Arc<LaterHandler>,
) -> (Outcome, usize) {
    let (server, seen) = server_with_one_copy(delay, later_handler);
    let agent = Agent::start(hosts(&[server]));
    // A hedge at the aim would be another attempt.
    let config = config(agent.address, |config| {
        config["settings"]["limits"]["mayDuplicate"] = false.into();
    });
    let form = F::start(&config);
    let mut outcomes = (0..3 * HEALTHY_REQUESTS)
        .flat_map(|_| send_all(&form, std::iter::once(ClientRequest::keyed())));
    let (_, outcome) = outcomes.find(|(own, _)| !own).expect("a copy was sent");
    let seen = seen.lock().expect("no server panics");
    let last = seen.last().expect("requests");
    (outcome, seen.iter().filter(|id| *id == last).count())
}

/// Guards against telling a caller that its request never ran because the repeat was rejected: the
/// first attempt may have run.
fn a_keyed_request_whose_repeat_is_rejected_may_have_run<F: Form>() {
    let rejecting = |conn: &mut Conn, _: &str| {
        conn.send(answer("503 Full", "x-unprocessed: 1\r\n", ""));
    };
    let (outcome, times) = outcome_of_first_copy::<F>(Duration::ZERO, Arc::new(rejecting));
    assert!(times > 1, "it was repeated");
    assert_eq!(outcome, Outcome::Failed);
}

/// Guards against a second effect: after the window, servers no longer know the key.
fn a_keyed_request_is_not_repeated_after_its_window<F: Form>() {
    /// Longer than the class's window.
    const DELAY: Duration = Duration::from_millis(750);
    let own = |conn: &mut Conn, id: &str| conn.send(ok(id));
    assert_eq!(outcome_of_first_copy::<F>(DELAY, Arc::new(own)), (Outcome::Failed, 1));
}
