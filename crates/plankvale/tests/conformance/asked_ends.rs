//! Connections whose end was asked for, where answers are proven.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use millethook_testkit::*;

use crate::form::{Ask, End, Form, PROVEN, in_both_forms, served};

in_both_forms!(
    a_connection_whose_end_was_asked_for_carries_no_other_request,
    nothing_goes_out_behind_an_answer_that_came_too_early,
);

/// Longer than what is held whole.
const LONG: usize = 100 << 10;
const LONG_PATH: &str = "/look/long";

fn asks_for_end(message: &Message) -> bool {
    message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Guards against a connection that rests once its long answer is through, as the server has announced another one's end
/// meanwhile.
fn a_connection_whose_end_was_asked_for_carries_no_other_request<F: Form>() {
    const REQUESTS: usize = 8;
    let (long_begun, go_on) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let behind = Arc::new(AtomicUsize::new(0));
    let (begun, go, seen) = (long_begun.clone(), go_on.clone(), behind.clone());
    let server = Server::start(move |mut conn| {
        let mut asked = false;
        while let Some(message) = conn.message().filter(|message| message.complete) {
            seen.fetch_add(usize::from(asked), Ordering::SeqCst);
            asked = asks_for_end(&message);
            if message.first.contains(LONG_PATH) {
                // It does not announce the end, and keeps the connection.
                conn.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n"));
                conn.send("x".repeat(LONG - 1));
                begun.store(true, Ordering::SeqCst);
                wait_until("the long answer may end", || go.load(Ordering::SeqCst));
                conn.send("x");
            } else if asked {
                conn.send(answer("200 OK", "Connection: close\r\n", "short"));
                return;
            } else {
                conn.send(ok("short"));
            }
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let form = F::start_with(&config(agent.address, |_| {}), PROVEN);
    let short = || form.request(Ask::safe());
    thread::scope(|scope| {
        let long = scope.spawn(|| form.request(Ask::safe().path(LONG_PATH)));
        wait_until("the long answer has begun", || long_begun.load(Ordering::SeqCst));
        assert_eq!(short(), served("short"));
        go_on.store(true, Ordering::SeqCst);
        assert_eq!(long.join().expect("an end"), served(&"x".repeat(LONG)));
    });
    for _ in 0..REQUESTS {
        assert_eq!(short(), served("short"));
    }
    assert_eq!(behind.load(Ordering::SeqCst), 0, "requests behind one that asked for the end");
}

/// Guards against a request whose held back rest goes out though an answer has come ahead of it. A server that has turned
/// the request away by that answers no more, and a request that is known not to have run would fail, and late.
fn nothing_goes_out_behind_an_answer_that_came_too_early<F: Form>() {
    const TURNS_AWAY: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    /// So many requests whose rest has to stay back.
    const CUT_SHORT: usize = 3;
    let cut_short = Arc::new(AtomicUsize::new(0));
    let seen = cut_short.clone();
    let server = Server::start(move |mut conn| {
        let mut used = false;
        while conn.has_next_message() {
            if used {
                conn.send(TURNS_AWAY);
            }
            let message = conn.message();
            let Some(message) = message.filter(|message| message.complete) else {
                seen.fetch_add(usize::from(used), Ordering::SeqCst);
                return;
            };
            let asked = asks_for_end(&message);
            let field = if asked { "Connection: close\r\n" } else { "" };
            conn.send(answer("200 OK", field, "done"));
            if asked {
                return;
            }
            used = true;
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let form = F::start_with(&config(agent.address, |_| {}), PROVEN);
    let mut ends: Vec<End> = Vec::new();
    wait_until("some requests were held back", || {
        ends.push(form.request(Ask::at_most_once()));
        cut_short.load(Ordering::SeqCst) >= CUT_SHORT
    });
    ends.retain(|end| *end != served("done"));
    assert!(ends.is_empty(), "not served: {ends:?}");
}
