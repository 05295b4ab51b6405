//! A server that was healthy answers twice from some request on: the second copy of an answer
//! arrives as the next request on its connection begins, before that request's own answer.
//!
//! Each answer contains the id of its request. The server counts requests over all connections, so
//! that it misbehaves however few requests a connection carries. A variant in which no copy was
//! sent shows nothing, and fails.

use std::io::ErrorKind::{TimedOut, WouldBlock};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;

use crate::form::{
    ClientRequest, Form, Outcome, PROVEN, UNLIMITED, in_both_forms, served, where_handshakes_cost,
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
    a_copy_that_pauses_beyond_the_time_is_not_passed_on,
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
    a_copy_that_pauses_beyond_the_time_is_not_passed_on,
);

/// The number of requests, over all connections, for which the server is healthy.
const HEALTHY_REQUESTS: usize = 20;
/// The number of requests that clients send after that, one after another.
const REQUESTS: usize = 30;
/// The number of safe requests that have to be served: three of four.
const LEAST_SERVED: usize = (REQUESTS * 3).div_ceil(4);
const MS: Duration = Duration::from_millis(1);

/// What the server does once it misbehaves.
#[derive(Clone, Copy)]
struct Script {
    /// The time from a request's first byte to the copy that precedes its answer.
    copy_after: Duration,
    /// How long the server pauses within that copy.
    copy_pause: Duration,
    /// The time from that copy to the request's own answer.
    work: Duration,
    /// It abandons its work and closes once the client has closed its side.
    drops_work: bool,
    /// It honours `Connection: close`: announces the close in its answer, and closes.
    closes: bool,
}

/// The copy is sent at the first byte and the true answer 5 ms later, by a server that honours
/// HTTP.
const SHORT_WORK: Script = Script {
    copy_after: Duration::ZERO,
    copy_pause: Duration::ZERO,
    work: Duration::from_millis(5),
    drops_work: false,
    closes: true,
};

/// What the server received and sent.
#[derive(Default)]
struct ServerCounts {
    /// Complete requests.
    count: AtomicUsize,
    /// The ids of the unsafe ones.
    at_most_once: Mutex<Vec<String>>,
    /// Copies of earlier answers that were sent after a request's first byte.
    copies: AtomicUsize,
}

impl ServerCounts {
    /// Records a complete request and returns its id.
    fn record(&self, message: &Message) -> String {
        let id = message.header("x-correlation-id").unwrap_or_default().to_owned();
        if message.first.starts_with("POST /order ") {
            self.at_most_once.lock().expect("no server panics").push(id.clone());
        }
        self.count.fetch_add(1, Ordering::SeqCst);
        id
    }

    /// The number of unsafe requests that arrived complete more than once.
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
    fn serve(self, mut conn: Conn, counts: &ServerCounts) {
        let mut earlier: Option<String> = None;
        while conn.has_next_message() {
            let misbehaves = counts.count.load(Ordering::SeqCst) >= HEALTHY_REQUESTS;
            if misbehaves && let Some(copy) = &earlier {
                thread::sleep(self.copy_after);
                let (begin, end) = copy.split_at(copy.len() - 1);
                conn.send(begin);
                thread::sleep(self.copy_pause);
                conn.send(end);
                counts.copies.fetch_add(1, Ordering::SeqCst);
            }
            let copied = Instant::now();
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let id = counts.record(&message);
            if misbehaves && !self.work_until(&conn, copied + self.work) {
                return;
            }
            let close_requested =
                message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
            let closes = close_requested && self.closes;
            let field = if closes { "Connection: close\r\n" } else { "" };
            let own = answer("200 OK", field, &id);
            conn.send(&own);
            if closes {
                return;
            }
            earlier = Some(own);
        }
    }

    /// Works until `done`. False: the work was abandoned, as the client has closed its side.
    fn work_until(self, conn: &Conn, done: Instant) -> bool {
        let remaining = || done.saturating_duration_since(Instant::now());
        if self.drops_work && !remaining().is_zero() {
            conn.socket.set_read_timeout(Some(remaining().max(MS))).expect("an open socket");
            let peeked = conn.socket.peek(&mut [0]);
            conn.socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("an open socket");
            match peeked {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), TimedOut | WouldBlock) => {}
                Err(_) => return false,
            }
        }
        thread::sleep(remaining());
        true
    }
}

/// The results of a variant.
#[derive(Debug)]
struct VariantResult {
    /// Requests that got their own answer after the server began to misbehave.
    served: usize,
    /// Requests that got an answer made for another request.
    wrong: usize,
    /// Requests of which a part of an answer was served.
    incomplete: usize,
    /// Copies that the server sent.
    copies: usize,
    /// Unsafe requests that the server received completely more than once.
    repeated: usize,
}

/// Sends requests one after another. No answer made for another request may be served, and no
/// unsafe request may run twice.
fn run_variant<F: Form>(
    script: Script,
    product: &str,
    request: impl Fn() -> ClientRequest,
) -> VariantResult {
    let counts = Arc::new(ServerCounts::default());
    let seen = counts.clone();
    let server = Server::start(move |conn| script.serve(conn, &seen));
    let agent = Agent::start(hosts(&[server]));
    let settings = config(agent.address, |c| {
        // Far longer than an answer takes, so that the slower answers are not taken for an overload
        // and refused.
        for class in c["settings"]["classes"].as_array_mut().into_iter().flatten() {
            class["aim"] = json!(2_000_000);
            class["deadline"] = json!(20_000_000);
        }
    });
    let form = F::start_with(&settings, product);
    let mut outcomes = Vec::new();
    // Safe requests are not held back before their last byte once the server has passed the check
    // with some.
    wait_until("the server has been used", || {
        outcomes.extend((0..HEALTHY_REQUESTS).map(|_| received_by(&form, ClientRequest::safe())));
        counts.count.load(Ordering::SeqCst) >= HEALTHY_REQUESTS
    });
    let later: Vec<ReceivedAnswer> = (0..REQUESTS).map(|_| received_by(&form, request())).collect();
    let count = |outcomes: &[ReceivedAnswer], what| {
        outcomes.iter().filter(|outcome| **outcome == what).count()
    };
    let result = VariantResult {
        served: count(&later, ReceivedAnswer::Own),
        wrong: count(&outcomes, ReceivedAnswer::Other) + count(&later, ReceivedAnswer::Other),
        incomplete: count(&outcomes, ReceivedAnswer::Incomplete)
            + count(&later, ReceivedAnswer::Incomplete),
        copies: counts.copies.load(Ordering::SeqCst),
        repeated: counts.repeated(),
    };
    let may_send_copies = script.closes || product != PROVEN;
    assert_eq!(result.copies > 0, may_send_copies, "whether copies were sent: {result:?}");
    assert_eq!(result.wrong, 0, "requests that got another one's answer: {result:?}");
    // Of a copy that pauses beyond a request's time, the head alone may have been passed on.
    let may_be_incomplete = !script.copy_pause.is_zero();
    assert!(result.incomplete == 0 || may_be_incomplete, "parts of answers: {result:?}");
    assert_eq!(result.repeated, 0, "unsafe requests that ran twice: {result:?}");
    result
}

/// What a client received.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReceivedAnswer {
    /// The answer that was made for its request.
    Own,
    /// A refusal or a failure.
    None,
    /// An answer that is visibly incomplete.
    Incomplete,
    /// Anything else.
    Other,
}

fn received_by<F: Form>(form: &F, request: ClientRequest) -> ReceivedAnswer {
    let id = request.headers.iter().find(|h| h.0 == "x-correlation-id").map(|h| h.1.clone());
    let own = served(&id.expect("each has one"));
    match form.request(request) {
        outcome if outcome == own => ReceivedAnswer::Own,
        Outcome::Refused { .. } | Outcome::Failed => ReceivedAnswer::None,
        Outcome::Incomplete => ReceivedAnswer::Incomplete,
        _ => ReceivedAnswer::Other,
    }
}

/// Like [`run_variant`] for safe requests, most of which have to be served.
fn run_safe_variant<F: Form>(script: Script, product: &str, request: impl Fn() -> ClientRequest) {
    let result = run_variant::<F>(script, product, request);
    assert!(result.served >= LEAST_SERVED, "too few were served: {result:?}");
}

/// Guards against serving the copy because the true answer has not arrived yet, from a server that
/// has passed the check.
fn the_true_answer_comes_soon_after_the_copy<F: Form>() {
    run_safe_variant::<F>(SHORT_WORK, "", ClientRequest::safe);
}

/// The same with `reuse = "proven"`.
fn proven_the_true_answer_comes_soon_after_the_copy<F: Form>() {
    run_safe_variant::<F>(SHORT_WORK, PROVEN, ClientRequest::safe);
}

/// Guards against serving the copy once nothing else has arrived for some time.
fn the_true_answer_comes_long_after_the_copy<F: Form>() {
    run_safe_variant::<F>(Script { work: 150 * MS, ..SHORT_WORK }, "", ClientRequest::safe);
}

/// The same with `reuse = "proven"`.
fn proven_the_true_answer_comes_long_after_the_copy<F: Form>() {
    run_safe_variant::<F>(Script { work: 150 * MS, ..SHORT_WORK }, PROVEN, ClientRequest::safe);
}

/// Guards against serving the copy once the server has closed: it abandons the request when its
/// client closes.
fn the_server_drops_its_work_once_its_client_has_ended<F: Form>() {
    run_safe_variant::<F>(
        Script { work: 40 * MS, drops_work: true, ..SHORT_WORK },
        "",
        ClientRequest::safe,
    );
}

/// The same with `reuse = "proven"`.
fn proven_the_server_drops_its_work_once_its_client_has_ended<F: Form>() {
    run_safe_variant::<F>(
        Script { work: 40 * MS, drops_work: true, ..SHORT_WORK },
        PROVEN,
        ClientRequest::safe,
    );
}

/// Guards against serving a copy that arrives later than one triggered by a request's first byte.
fn the_copy_comes_late<F: Form>() {
    run_safe_variant::<F>(
        Script { copy_after: 30 * MS, work: 60 * MS, ..SHORT_WORK },
        "",
        ClientRequest::safe,
    );
}

/// The same with `reuse = "proven"`.
fn proven_the_copy_comes_late<F: Form>() {
    run_safe_variant::<F>(
        Script { copy_after: 30 * MS, work: 60 * MS, ..SHORT_WORK },
        PROVEN,
        ClientRequest::safe,
    );
}

/// Guards against serving the copy to an unsafe request, and against running that request twice
/// because of it.
fn an_unsafe_request_gets_no_copy<F: Form>() {
    run_variant::<F>(SHORT_WORK, "", ClientRequest::at_most_once);
}

/// The same with `reuse = "proven"`.
fn proven_an_unsafe_request_gets_no_copy<F: Form>() {
    run_variant::<F>(SHORT_WORK, PROVEN, ClientRequest::at_most_once);
}

/// Guards against serving the copy to a keyed request.
fn a_keyed_request_gets_no_copy<F: Form>() {
    run_variant::<F>(SHORT_WORK, "", ClientRequest::keyed);
}

/// The same with `reuse = "proven"`.
fn proven_a_keyed_request_gets_no_copy<F: Form>() {
    run_variant::<F>(SHORT_WORK, PROVEN, ClientRequest::keyed);
}

/// Guards against serving the copy because too little time was left to tell it from the true
/// answer.
fn a_request_with_little_time_left_gets_no_copy<F: Form>() {
    run_safe_variant::<F>(SHORT_WORK, "", || ClientRequest::safe().time_left(90));
}

/// The same with `reuse = "proven"`.
fn proven_a_request_with_little_time_left_gets_no_copy<F: Form>() {
    run_safe_variant::<F>(SHORT_WORK, PROVEN, || ClientRequest::safe().time_left(90));
}

/// Guards against passing on a copy because it has begun as the time is up.
fn a_copy_that_pauses_beyond_the_time_is_not_passed_on<F: Form>() {
    let script = Script { copy_pause: 130 * MS, ..SHORT_WORK };
    run_variant::<F>(script, "", || ClientRequest::safe().time_left(90));
    run_variant::<F>(script, "", || ClientRequest::keyed().time_left(90));
}

/// Guards against serving the copy of a server that neither announces a close nor closes.
fn the_server_ignores_connection_close<F: Form>() {
    // With `reuse = "proven"`, such a server sends no copy, and the test would show nothing.
    run_safe_variant::<F>(Script { closes: false, ..SHORT_WORK }, UNLIMITED, ClientRequest::safe);
}

/// The same with `reuse = "proven"`.
fn proven_the_server_ignores_connection_close<F: Form>() {
    run_safe_variant::<F>(Script { closes: false, ..SHORT_WORK }, PROVEN, ClientRequest::safe);
}
