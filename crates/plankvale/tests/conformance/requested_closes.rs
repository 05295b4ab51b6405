//! Connections on which the daemon or library has sent `Connection: close`, with `reuse =
//! "proven"`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use millethook_testkit::*;

use crate::form::{ClientRequest, Form, Outcome, PROVEN, in_both_forms, served};

in_both_forms!(
    a_connection_with_a_requested_close_carries_no_other_request,
    nothing_is_sent_after_a_premature_answer,
);

/// Longer than what is buffered completely.
const LONG_LENGTH: usize = 100 << 10;
const LONG_PATH: &str = "/look/long";

fn requests_close(message: &Message) -> bool {
    message.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Guards against reuse of a connection after its long answer has ended: the server had announced
/// the close of another connection in the meantime.
fn a_connection_with_a_requested_close_carries_no_other_request<F: Form>() {
    const REQUESTS: usize = 8;
    let (long_begun, release_long_answer) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let requests_after_close = Arc::new(AtomicUsize::new(0));
    let (begun, may_finish, seen) =
        (long_begun.clone(), release_long_answer.clone(), requests_after_close.clone());
    let server = Server::start(move |mut conn| {
        let mut close_requested = false;
        while let Some(message) = conn.message().filter(|message| message.complete) {
            seen.fetch_add(usize::from(close_requested), Ordering::SeqCst);
            close_requested = requests_close(&message);
            if message.first.contains(LONG_PATH) {
                // The server does not announce the close and keeps the connection open.
                conn.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_LENGTH}\r\n\r\n"));
                conn.send("x".repeat(LONG_LENGTH - 1));
                begun.store(true, Ordering::SeqCst);
                wait_until("the long answer may end", || may_finish.load(Ordering::SeqCst));
                conn.send("x");
            } else if close_requested {
                conn.send(answer("200 OK", "Connection: close\r\n", "short"));
                return;
            } else {
                conn.send(ok("short"));
            }
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let form = F::start_with(&config(agent.address, |_| {}), PROVEN);
    let short = || form.request(ClientRequest::safe());
    thread::scope(|scope| {
        let long_request = scope.spawn(|| form.request(ClientRequest::safe().path(LONG_PATH)));
        wait_until("the long answer has begun", || long_begun.load(Ordering::SeqCst));
        assert_eq!(short(), served("short"));
        release_long_answer.store(true, Ordering::SeqCst);
        assert_eq!(long_request.join().expect("an end"), served(&"x".repeat(LONG_LENGTH)));
    });
    for _ in 0..REQUESTS {
        assert_eq!(short(), served("short"));
    }
    assert_eq!(
        requests_after_close.load(Ordering::SeqCst),
        0,
        "requests behind one that asked for the end"
    );
}

/// Guards against sending the held-back rest of a request after an answer has arrived before it. A
/// server that rejected the request with that answer sends no other one, so a request that is known
/// not to have run would fail, and late.
fn nothing_is_sent_after_a_premature_answer<F: Form>() {
    const TURNS_AWAY: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    /// The number of requests whose rest must not be sent.
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
            let close_requested = requests_close(&message);
            let field = if close_requested { "Connection: close\r\n" } else { "" };
            conn.send(answer("200 OK", field, "done"));
            if close_requested {
                return;
            }
            used = true;
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let mut outcomes: Vec<Outcome> = Vec::new();
    wait_until("some requests were held back", || {
        // Where the server was too late once, this form sends no second request on a connection any more.
        let form = F::start_with(&config(agent.address, |_| {}), PROVEN);
        outcomes.extend((0..2 * CUT_SHORT).map(|_| form.request(ClientRequest::at_most_once())));
        cut_short.load(Ordering::SeqCst) >= CUT_SHORT
    });
    outcomes.retain(|outcome| *outcome != served("done"));
    assert!(outcomes.is_empty(), "not served: {outcomes:?}");
}
