//! A server that was well answers twice from some request on: the second copy of an answer comes as the next request on
//! its connection begins, ahead of that request's own answer.
//!
//! Each answer names the request that it was made for. The server counts requests over all connections, so that it turns
//! bad however few requests a connection carries; a variant in which no copy was sent shows nothing, and fails.

use std::io::ErrorKind::{TimedOut, WouldBlock};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;

use crate::form::{
    Ask, End, Form, PROVEN, UNLIMITED, in_both_forms, served, where_handshakes_cost,
};

in_both_forms!(
    proven_the_true_answer_comes_soon_after_the_copy,
    proven_the_true_answer_comes_long_after_the_copy,
    proven_the_server_drops_its_work_once_its_client_has_ended,
    proven_the_copy_comes_late,
    proven_an_unsafe_request_gets_no_copy,
    proven_a_keyed_request_gets_no_copy,
    proven_a_request_with_little_time_left_gets_no_copy,
    proven_the_server_ignores_connection_close,
    the_true_answer_comes_soon_after_the_copy,
    the_true_answer_comes_long_after_the_copy,
    the_server_drops_its_work_once_its_client_has_ended,
    the_copy_comes_late,
    an_unsafe_request_gets_no_copy,
    a_keyed_request_gets_no_copy,
    a_request_with_little_time_left_gets_no_copy,
    the_server_ignores_connection_close,
);

where_handshakes_cost!(
    the_true_answer_comes_soon_after_the_copy,
    the_true_answer_comes_long_after_the_copy,
    the_server_drops_its_work_once_its_client_has_ended,
    the_copy_comes_late,
    an_unsafe_request_gets_no_copy,
    a_keyed_request_gets_no_copy,
    a_request_with_little_time_left_gets_no_copy,
);

/// The server is well for so many requests, over all connections.
const WELL: usize = 20;
/// How many requests clients make after that, one after another.
const REQUESTS: usize = 30;
/// The share of safe requests that has to be served: three of four.
const LEAST_SERVED: usize = (REQUESTS * 3).div_ceil(4);
const MS: Duration = Duration::from_millis(1);

/// What the server does once it has turned bad.
#[derive(Clone, Copy)]
struct Script {
    /// From a request's first byte to the copy that goes ahead of its answer.
    copy_after: Duration,
    /// From that copy to the request's own answer.
    work: Duration,
    /// It gives up its work, and closes, once the client has ended its side.
    drops_work: bool,
    /// It does as `Connection: close` asks: says so in its answer, and closes behind it.
    closes: bool,
}

/// The copy comes with the first byte, the true answer 5 ms later, from a server that honours HTTP.
const SOON: Script = Script {
    copy_after: Duration::ZERO,
    work: Duration::from_millis(5),
    drops_work: false,
    closes: true,
};

/// What the server saw and sent.
#[derive(Default)]
struct Tally {
    /// Whole requests.
    count: AtomicUsize,
    /// The ids of those that are unsafe.
    at_most_once: Mutex<Vec<String>>,
    /// Copies of earlier answers that went out after a request's first byte.
    copies: AtomicUsize,
}

impl Tally {
    /// Takes down a whole request; its id.
    fn take(&self, message: &Message) -> String {
        let id = message.header("x-correlation-id").unwrap_or_default().to_owned();
        if message.first.starts_with("POST /order ") {
            self.at_most_once.lock().expect("no server panics").push(id.clone());
        }
        self.count.fetch_add(1, Ordering::SeqCst);
        id
    }

    /// How many unsafe requests came whole once more.
    fn repeated(&self) -> usize {
        let mut ids = self.at_most_once.lock().expect("no server panics").clone();
        let all = ids.len();
        ids.sort_unstable();
        ids.dedup();
        all - ids.len()
    }
}

impl Script {
    /// Serves one connection.
    fn serve(self, mut conn: Conn, tally: &Tally) {
        let mut earlier: Option<String> = None;
        while conn.has_next_message() {
            let turned_bad = tally.count.load(Ordering::SeqCst) >= WELL;
            if turned_bad && let Some(copy) = &earlier {
                thread::sleep(self.copy_after);
                conn.send(copy);
                tally.copies.fetch_add(1, Ordering::SeqCst);
            }
            let copied = Instant::now();
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let id = tally.take(&message);
            if turned_bad && !self.works(&conn, copied + self.work) {
                return;
            }
            let asked =
                message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            let closes = asked && self.closes;
            let field = if closes { "Connection: close\r\n" } else { "" };
            let own = answer("200 OK", field, &id);
            conn.send(&own);
            if closes {
                return;
            }
            earlier = Some(own);
        }
    }

    /// Works until `done`. False: it has given up, as the client has ended its side.
    fn works(self, conn: &Conn, done: Instant) -> bool {
        let left = || done.saturating_duration_since(Instant::now());
        if self.drops_work && !left().is_zero() {
            conn.socket.set_read_timeout(Some(left().max(MS))).expect("an open socket");
            let looked = conn.socket.peek(&mut [0]);
            conn.socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("an open socket");
            match looked {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), TimedOut | WouldBlock) => {}
                Err(_) => return false,
            }
        }
        thread::sleep(left());
        true
    }
}

/// What came of a variant.
#[derive(Debug)]
struct Played {
    /// Requests that got their own answer once the server had turned bad.
    served: usize,
    /// Requests that got what was not made for them.
    wrong: usize,
    /// Copies that the server sent.
    copies: usize,
    /// Unsafe requests that the server got whole more than once.
    repeated: usize,
}

/// Asks one after another. None that was made for another request may be served, and no unsafe request may run twice.
fn played<F: Form>(script: Script, product: &str, ask: impl Fn() -> Ask) -> Played {
    let tally = Arc::new(Tally::default());
    let seen = tally.clone();
    let server = Server::start(move |conn| script.serve(conn, &seen));
    let agent = Agent::start(hosts(&[server]));
    let settings = config(agent.address, |c| {
        // Far beyond what an answer takes, so that the rise is not taken for an overload and refused.
        for class in c["settings"]["classes"].as_array_mut().into_iter().flatten() {
            class["aim"] = json!(2_000_000);
            class["deadline"] = json!(20_000_000);
        }
    });
    let form = F::start_with(&settings, product);
    let mut ends = Vec::new();
    // Safe requests are not held back before their last byte once the server has proven itself with some.
    wait_until("the server has been used", || {
        ends.extend((0..WELL).map(|_| end_of(&form, Ask::safe())));
        tally.count.load(Ordering::SeqCst) >= WELL
    });
    let then: Vec<GotBack> = (0..REQUESTS).map(|_| end_of(&form, ask())).collect();
    let count = |ends: &[GotBack], what| ends.iter().filter(|end| **end == what).count();
    let played = Played {
        served: count(&then, GotBack::Own),
        wrong: count(&ends, GotBack::Other) + count(&then, GotBack::Other),
        copies: tally.copies.load(Ordering::SeqCst),
        repeated: tally.repeated(),
    };
    let may_send_copies = script.closes || product != PROVEN;
    assert_eq!(played.copies > 0, may_send_copies, "whether copies were sent: {played:?}");
    assert_eq!(played.wrong, 0, "so many got another one's answer: {played:?}");
    assert_eq!(played.repeated, 0, "so many unsafe ones ran twice: {played:?}");
    played
}

/// What a client got back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum GotBack {
    /// The answer that was made for its request.
    Own,
    /// A refusal or a failure.
    None,
    /// Anything else.
    Other,
}

fn end_of<F: Form>(form: &F, ask: Ask) -> GotBack {
    let id = ask.headers.iter().find(|h| h.0 == "x-correlation-id").map(|h| h.1.clone());
    let own = served(&id.expect("each has one"));
    match form.request(ask) {
        end if end == own => GotBack::Own,
        End::Refused { .. } | End::Failed => GotBack::None,
        _ => GotBack::Other,
    }
}

/// The same for safe requests, most of which have to be served.
fn safe_ones<F: Form>(script: Script, product: &str, ask: impl Fn() -> Ask) {
    let played = played::<F>(script, product, ask);
    assert!(played.served >= LEAST_SERVED, "too few were served: {played:?}");
}

/// Guards against a copy that is served as the true answer has not come yet, from a server that has proven itself.
fn the_true_answer_comes_soon_after_the_copy<F: Form>() {
    safe_ones::<F>(SOON, "", Ask::safe);
}

/// The same where answers are proven.
fn proven_the_true_answer_comes_soon_after_the_copy<F: Form>() {
    safe_ones::<F>(SOON, PROVEN, Ask::safe);
}

/// Guards against a copy that is served once nothing else has come for some time.
fn the_true_answer_comes_long_after_the_copy<F: Form>() {
    safe_ones::<F>(Script { work: 150 * MS, ..SOON }, "", Ask::safe);
}

/// The same where answers are proven.
fn proven_the_true_answer_comes_long_after_the_copy<F: Form>() {
    safe_ones::<F>(Script { work: 150 * MS, ..SOON }, PROVEN, Ask::safe);
}

/// Guards against a copy that is served once the server has closed, which drops the request when its client ends.
fn the_server_drops_its_work_once_its_client_has_ended<F: Form>() {
    safe_ones::<F>(Script { work: 40 * MS, drops_work: true, ..SOON }, "", Ask::safe);
}

/// The same where answers are proven.
fn proven_the_server_drops_its_work_once_its_client_has_ended<F: Form>() {
    safe_ones::<F>(Script { work: 40 * MS, drops_work: true, ..SOON }, PROVEN, Ask::safe);
}

/// Guards against a copy that is served as it came later than a request's first byte calls one forth.
fn the_copy_comes_late<F: Form>() {
    safe_ones::<F>(Script { copy_after: 30 * MS, work: 60 * MS, ..SOON }, "", Ask::safe);
}

/// The same where answers are proven.
fn proven_the_copy_comes_late<F: Form>() {
    safe_ones::<F>(Script { copy_after: 30 * MS, work: 60 * MS, ..SOON }, PROVEN, Ask::safe);
}

/// Guards against a copy that is served to an unsafe request, and against one that runs twice for it.
fn an_unsafe_request_gets_no_copy<F: Form>() {
    played::<F>(SOON, "", Ask::at_most_once);
}

/// The same where answers are proven.
fn proven_an_unsafe_request_gets_no_copy<F: Form>() {
    played::<F>(SOON, PROVEN, Ask::at_most_once);
}

/// Guards against a copy that is served to a keyed request.
fn a_keyed_request_gets_no_copy<F: Form>() {
    played::<F>(SOON, "", Ask::keyed);
}

/// The same where answers are proven.
fn proven_a_keyed_request_gets_no_copy<F: Form>() {
    played::<F>(SOON, PROVEN, Ask::keyed);
}

/// Guards against a copy that is served as too little time was left to tell it from the true answer.
fn a_request_with_little_time_left_gets_no_copy<F: Form>() {
    safe_ones::<F>(SOON, "", || Ask::safe().left(90));
}

/// The same where answers are proven.
fn proven_a_request_with_little_time_left_gets_no_copy<F: Form>() {
    safe_ones::<F>(SOON, PROVEN, || Ask::safe().left(90));
}

/// Guards against a copy that is served by a server that neither says that it closes nor does.
fn the_server_ignores_connection_close<F: Form>() {
    // Where answers are proven, such a server sends no copy, and nothing would be shown.
    safe_ones::<F>(Script { closes: false, ..SOON }, UNLIMITED, Ask::safe);
}

/// The same where answers are proven.
fn proven_the_server_ignores_connection_close<F: Form>() {
    safe_ones::<F>(Script { closes: false, ..SOON }, PROVEN, Ask::safe);
}
