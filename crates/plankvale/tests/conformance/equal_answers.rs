//! Answers that equal earlier ones on their connection: copies of any age, and answers that are rightly equal.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use millethook_testkit::*;

use crate::form::{Ask, End, Form, served, where_handshakes_cost};

where_handshakes_cost!(
    a_copy_of_an_answer_from_long_ago_is_not_the_next_answer,
    a_copy_of_a_failure_is_not_the_next_answer,
    answers_that_are_rightly_equal_are_served,
    answers_that_become_equal_cost_one_request,
    a_connection_carries_many_answers_and_no_request_is_lost_at_its_end,
    a_keyed_request_whose_repeat_is_turned_away_may_have_run,
    a_keyed_request_is_not_repeated_behind_its_window,
);

/// What one connection does with a request: so many came on it before. None: it is over.
type Answers = dyn Fn(&mut Conn, &Message, usize) -> Option<()> + Send + Sync;

/// A server, and how many connections it has taken.
fn server(answers: Arc<Answers>) -> (Server, Arc<AtomicUsize>) {
    let connections = Arc::new(AtomicUsize::new(0));
    let taken = connections.clone();
    let server = Server::start(move |mut conn| {
        taken.fetch_add(1, Ordering::SeqCst);
        for nth in 0.. {
            let Some(message) = conn.message().filter(|message| message.complete) else { return };
            if answers(&mut conn, &message, nth).is_none() {
                return;
            }
        }
    });
    (server, connections)
}

fn id(message: &Message) -> &str {
    message.header("x-correlation-id").expect("an id")
}

/// Asks one after another; for each whether it got its own answer, and how it ended.
fn asked<F: Form>(form: &F, asks: impl Iterator<Item = Ask>) -> Vec<(bool, End)> {
    asks.map(|ask| {
        // Longer than a connection's quarantine.
        thread::sleep(Duration::from_millis(3));
        let id = ask.headers.iter().find(|field| field.0 == "x-correlation-id").cloned();
        let end = form.request(ask);
        (end == served(&id.expect("an id").1), end)
    })
    .collect()
}

fn wrong(ends: &[(bool, End)]) -> usize {
    ends.iter().filter(|(own, end)| !own && matches!(end, End::Served(_))).count()
}

/// Guards against a copy of another answer than the last one.
fn a_copy_of_an_answer_from_long_ago_is_not_the_next_answer<F: Form>() {
    const OLD: usize = 30;
    let first = std::sync::Mutex::new(String::new());
    let copies = Arc::new(AtomicUsize::new(0));
    let sent = copies.clone();
    let answers = move |conn: &mut Conn, message: &Message, nth: usize| {
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
    let (server, _) = server(Arc::new(answers));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let ends = asked(&form, std::iter::repeat_with(Ask::safe).take(3 * OLD));
    assert!(copies.load(Ordering::SeqCst) > 0, "no copy was sent");
    assert_eq!(wrong(&ends), 0, "so many got another one's answer");
    let own = ends.iter().filter(|(own, _)| *own).count();
    assert_eq!(own, ends.len(), "the true answer behind the copy is served");
}

/// Guards against a second copy of a failure by which the next request fails, too: none may be there to get it.
fn a_copy_of_a_failure_is_not_the_next_answer<F: Form>() {
    const FAILURE: &str = "HTTP/1.1 500 Broken\r\nContent-Length: 6\r\n\r\nbroken";
    let behind = Arc::new(AtomicUsize::new(0));
    let seen = behind.clone();
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
    let asks = (0..40).map(|n| {
        let ask = Ask::at_most_once();
        if n % 2 == 0 { ask.path("/order?fail") } else { ask }
    });
    let ends = asked(&form, asks);
    let well = ends.iter().filter(|(own, _)| *own).count();
    assert_eq!((well, behind.load(Ordering::SeqCst)), (20, 0), "{ends:?}");
}

/// Guards against requests that fail, or wait for another answer, as all answers are rightly equal.
fn answers_that_are_rightly_equal_are_served<F: Form>() {
    let answers = |conn: &mut Conn, _: &Message, _: usize| {
        conn.send(ok("done"));
        Some(())
    };
    let (server, _) = server(Arc::new(answers));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    for ask in std::iter::repeat_with(Ask::each).take(20).flatten() {
        thread::sleep(Duration::from_millis(3));
        assert_eq!(form.request(ask), served("done"));
    }
}

/// Guards against unsafe requests that fail again and again, as answers that told them apart are equal from now on. The
/// first such answer may be a copy, for all that can be told.
fn answers_that_become_equal_cost_one_request<F: Form>() {
    const DIFFERING: usize = 20;
    let count = AtomicUsize::new(0);
    let answers = move |conn: &mut Conn, message: &Message, _: usize| {
        let differs = count.fetch_add(1, Ordering::SeqCst) < DIFFERING;
        conn.send(ok(if differs { id(message) } else { "done" }));
        Some(())
    };
    let (server, _) = server(Arc::new(answers));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let ends = asked(&form, std::iter::repeat_with(Ask::at_most_once).take(3 * DIFFERING));
    assert!(ends[..DIFFERING].iter().all(|(own, _)| *own), "{ends:?}");
    let failed = ends[DIFFERING..].iter().filter(|(_, end)| *end != served("done")).count();
    assert!(failed <= 1, "{failed} failed");
}

/// Guards against a request that goes out on a connection whose answers can be remembered no more, and against a connection
/// for each few requests.
fn a_connection_carries_many_answers_and_no_request_is_lost_at_its_end<F: Form>() {
    const REQUESTS: usize = 600;
    /// So few handshakes for each request are not to be noticed beside their price.
    const MOST_CONNECTIONS: usize = REQUESTS / 50;
    let answers = |conn: &mut Conn, message: &Message, _: usize| {
        conn.send(ok(id(message)));
        Some(())
    };
    let (server, connections) = server(Arc::new(answers));
    let agent = Agent::start(hosts(&[server]));
    let form = F::start(&config(agent.address, |_| {}));
    let ends = asked(&form, std::iter::repeat_with(Ask::safe).take(REQUESTS));
    assert!(ends.iter().all(|(own, _)| *own), "not served: {ends:?}");
    let connections = connections.load(Ordering::SeqCst);
    assert!(connections > 1, "more answers than one connection can be trusted with");
    assert!(connections <= MOST_CONNECTIONS, "{connections} connections");
}

/// What a server does once it has answered the first [`WELL`] requests.
type Turned = dyn Fn(&mut Conn, &str) + Send + Sync;

const WELL: usize = 20;

/// A server that answers the first requests well, and the next one on a used connection with a copy of the last answer, once so
/// much time has gone by. From then on each request is answered as `turned` says. And the ids that it has seen.
fn copies_one(after: Duration, turned: Arc<Turned>) -> (Server, Arc<Mutex<Vec<String>>>) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let ids = seen.clone();
    let has_turned = AtomicBool::new(false);
    let server = Server::start(move |mut conn| {
        let mut last = None;
        while let Some(message) = conn.message().filter(|message| message.complete) {
            let nth = {
                let mut ids = ids.lock().expect("no server panics");
                ids.push(id(&message).to_owned());
                ids.len()
            };
            if has_turned.load(Ordering::SeqCst) {
                turned(&mut conn, id(&message));
                continue;
            }
            let earlier = last.replace(ok(id(&message)));
            match earlier.filter(|_| nth > WELL) {
                Some(copy) => {
                    has_turned.store(true, Ordering::SeqCst);
                    thread::sleep(after);
                    conn.send(copy);
                }
                None => conn.send(ok(id(&message))),
            }
        }
    });
    (server, seen)
}

/// Asks until an answer is not the request's own. How that request ended, and how often it was seen.
fn first_copy<F: Form>(after: Duration, turned: Arc<Turned>) -> (End, usize) {
    let (server, seen) = copies_one(after, turned);
    let agent = Agent::start(hosts(&[server]));
    // A second copy at the aim would be another attempt.
    let config = config(agent.address, |config| {
        config["settings"]["limits"]["mayDuplicate"] = false.into();
    });
    let form = F::start(&config);
    let mut ends = (0..3 * WELL).flat_map(|_| asked(&form, std::iter::once(Ask::keyed())));
    let (_, end) = ends.find(|(own, _)| !own).expect("a copy was sent");
    let seen = seen.lock().expect("no server panics");
    let last = seen.last().expect("requests");
    (end, seen.iter().filter(|id| *id == last).count())
}

/// Guards against a caller who is told that its request never ran, as the repeat was turned away: the first one may have.
fn a_keyed_request_whose_repeat_is_turned_away_may_have_run<F: Form>() {
    let turned_away = |conn: &mut Conn, _: &str| {
        conn.send(answer("503 Full", "x-unprocessed: 1\r\n", ""));
    };
    let (end, times) = first_copy::<F>(Duration::ZERO, Arc::new(turned_away));
    assert!(times > 1, "it was repeated");
    assert_eq!(end, End::Failed);
}

/// Guards against a second effect: behind the window servers do not know the key any more.
fn a_keyed_request_is_not_repeated_behind_its_window<F: Form>() {
    /// Longer than the class's window.
    const AFTER: Duration = Duration::from_millis(750);
    let own = |conn: &mut Conn, id: &str| conn.send(ok(id));
    assert_eq!(first_copy::<F>(AFTER, Arc::new(own)), (End::Failed, 1));
}
