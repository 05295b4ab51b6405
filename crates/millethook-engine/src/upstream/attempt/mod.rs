//! One attempt of a request at one server. Each attempt has exactly one outcome.

mod active;
mod body_buffer;
mod buffered;
mod matching;
mod progress;
mod request;
mod unchecked;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coppercart::api::{LoadReport, Outcome, ServerId};
use http::{HeaderMap, StatusCode};
use millethook_connect::answers::{Fingerprint, Variety};
use millethook_connect::exchange::is_unprocessed_rejection;
use millethook_connect::observations::ConnectionFault;
use millethook_connect::pool::Matching;
use millethook_connect::{Begins, Event, Exchange, Execution, ResponseHead};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::ConnectionGuard;
use super::{Endpoint, Gate, StreamingResponse, Upstream};
use crate::figures::Counter;
use crate::upload::MAX_UPLOAD_BYTES;

pub(super) use active::{ActiveRequest, IncompleteAnswer};
use buffered::BufferedAnswer;
pub use buffered::MAX_BUFFERED_BYTES;
use matching::{AnswerOrigin, MAX_SKIPPED_ANSWERS};
pub use request::AttemptRequest;
use request::HANDSHAKE_AIM_DIVISOR;
pub(super) use unchecked::UncheckedBody;

/// The longest answer that is passed on, the same limit as for request bodies. Streaming classes have no limit.
/// Corrupt heads announce gigabytes, followed by garbage.
pub(super) const MAX_ANSWER_BYTES: u64 = MAX_UPLOAD_BYTES;
/// The bytes that may start a request are held back for at most this fraction of the remaining time. If the connection
/// breaks before they are written, the request certainly has not run; otherwise it may have. Without this limit, timer
/// granularity would make it cost some 2 ms of the 20 ms that an impatient client waits.
const HOLD_BACK_DIVISOR: u32 = 50;
/// How long reading the rest of an unwanted answer may take before its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The head of an answer for the client.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The status code.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
}

/// Whether an answer goes to the client. Any other answer is a failed attempt, which may have run.
///
/// The platform's own servers answer 200 or have failed. A general HTTP server may also answer that it created
/// something, or that the requested resource does not exist; that is its answer, and a retry would get the same one.
/// 408, 421, 425 and 429 each say that the request may be sent again, and a 429 passed on from here would promise the
/// client that the request never ran.
fn is_served(begins: Begins, status: StatusCode) -> bool {
    let retryable = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_EARLY,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    match begins {
        Begins::Whole => status == StatusCode::OK,
        Begins::Head => !status.is_server_error() && !retryable.contains(&status),
    }
}

/// The longest answer that is accepted.
fn max_bytes(streaming: bool) -> u64 {
    if streaming { u64::MAX } else { MAX_ANSWER_BYTES }
}

/// The connection of one attempt.
struct AttemptConnection {
    guard: ConnectionGuard,
    /// How long the connection was idle. `None`: it is new.
    idle_time: Option<Duration>,
    /// How an answer on it is recognised as the request's own.
    matching: Matching,
}

/// The result of an attempt.
pub enum AttemptOutcome {
    /// The attempt has ended. A served answer is complete.
    End {
        /// The outcome.
        outcome: Outcome,
        /// The load report that came with it.
        report: LoadReport,
        /// The answer, if one was served.
        answer: Option<(AnswerHead, Bytes)>,
    },
    /// A long answer has begun.
    Streaming(Box<StreamingResponse>),
}

impl AttemptOutcome {
    /// An attempt that got an answer to serve, of which `buffered` has arrived.
    fn served(
        active: ActiveRequest,
        head: ResponseHead,
        report: LoadReport,
        buffered: BufferedAnswer,
        streaming: bool,
    ) -> AttemptOutcome {
        let body = match buffered {
            BufferedAnswer::Complete(body) => body,
            BufferedAnswer::Prefix(prefix) | BufferedAnswer::Begun(prefix) => {
                let response = StreamingResponse::new(head, report, active, max_bytes(streaming));
                return AttemptOutcome::Streaming(Box::new(response.with_prefix(prefix)));
            }
        };
        active.finish();
        let ResponseHead { status, headers, .. } = head;
        let answer = Some((AnswerHead { status, headers }, body));
        AttemptOutcome::End { outcome: Outcome::Served, report, answer }
    }

    /// An attempt that got no answer to serve.
    pub fn end(outcome: Outcome, report: LoadReport) -> AttemptOutcome {
        AttemptOutcome::End { outcome, report, answer: None }
    }
}

impl Upstream {
    /// Runs one attempt at `server`. Dropping the future ends the attempt on its connection, too. `class`: the index
    /// of the request's class in the settings; `None` for internal requests.
    pub async fn attempt(
        self: &Rc<Upstream>,
        target: (ServerId, Endpoint),
        class: Option<usize>,
        request: &Rc<AttemptRequest>,
        gate: Gate,
        deadline: Instant,
    ) -> AttemptOutcome {
        let matching = || self.matching(target.0, class, request.repeatable);
        let equal_answer =
            match self.try_once(target, class, request, &gate, deadline, &matching).await {
                Ok(outcome) => return outcome,
                Err(equal_answer) => equal_answer,
            };
        // From now on answers of the class count as equal, unless this one turns out to be a duplicate, which is
        // recorded against the server. So this second try happens once in hundreds of answers, or once a minute for a
        // server.
        let first_on_connection = || Matching::NewConnection;
        let second =
            self.try_once(target, class, request, &gate, deadline, &first_on_connection).await;
        match second {
            // The first try may have run, whatever became of the second.
            Ok(AttemptOutcome::End { outcome, report, .. }) if outcome.never_ran() => {
                AttemptOutcome::end(Outcome::Reset, report)
            }
            Ok(outcome) => {
                if self.is_another_answer(&outcome, equal_answer) {
                    self.record_duplicate(target.0, class);
                }
                outcome
            }
            Err(_) => AttemptOutcome::end(Outcome::Reset, LoadReport::default()),
        }
    }

    /// Whether the attempt was served an answer that differs from `expected`.
    fn is_another_answer(&self, outcome: &AttemptOutcome, expected: Fingerprint) -> bool {
        let AttemptOutcome::End { answer: Some((head, body)), .. } = outcome else { return false };
        self.fingerprints.fingerprint(head.status, body) != expected
    }

    /// Sends a request until it may have run.
    ///
    /// # Errors
    /// Returns the fingerprint of an answer that equals an earlier one on its connection; the request may be
    /// repeated.
    async fn try_once(
        self: &Rc<Upstream>,
        (server, endpoint): (ServerId, Endpoint),
        class: Option<usize>,
        request: &Rc<AttemptRequest>,
        gate: &Gate,
        deadline: Instant,
        matching: &dyn Fn() -> Matching,
    ) -> Result<AttemptOutcome, Fingerprint> {
        let no_report = LoadReport::default;
        let connect_timeout = self.config.connect_timeout.min(request.aim / HANDSHAKE_AIM_DIVISOR);
        loop {
            let matching = matching();
            let (guard, idle_time) =
                match self.connection(server, endpoint, matching, connect_timeout).await {
                    Ok(found) => found,
                    Err(outcome) => return Ok(AttemptOutcome::end(outcome, no_report())),
                };
            if !gate.may_begin(request, Instant::now()) {
                guard.return_unused();
                return Ok(AttemptOutcome::end(Outcome::NeverSent, no_report()));
            }
            let target = (server, endpoint);
            let connection = AttemptConnection { guard, idle_time, matching };
            let response = match self.send(target, connection, request, gate, deadline).await {
                Ok((active, head)) => self.own_head(active, head).await,
                Err(active) => Err(active),
            };
            let active = match response {
                Ok((active, head)) => return self.answer(active, head, class, request).await,
                Err(active) => active,
            };
            let never_ran = active.exchange.execution() == Execution::NeverRan;
            // A streamed body cannot be sent again.
            let idle_time = idle_time.filter(|_| !active.streams_body());
            if active.caller_gone() {
                return Ok(AttemptOutcome::end(Outcome::Cancelled, no_report()));
            }
            // Closes the broken connection before another one is acquired.
            drop(active);
            if never_ran && !gate.may_commit(request, Instant::now()) {
                return Ok(AttemptOutcome::end(Outcome::NeverSent, no_report()));
            }
            match (never_ran, idle_time) {
                (false, _) => return Ok(AttemptOutcome::end(Outcome::Reset, no_report())),
                (true, None) => {
                    return Ok(AttemptOutcome::end(Outcome::ConnectFailed, no_report()));
                }
                // An idle connection may break when it is used. The server has not started the request, so it is sent
                // on another connection.
                (true, Some(_)) => {}
            }
        }
    }

    /// Writes the request and reads the head of its answer.
    async fn send(
        &self,
        (server, endpoint): (ServerId, Endpoint),
        connection: AttemptConnection,
        request: &Rc<AttemptRequest>,
        gate: &Gate,
        deadline: Instant,
    ) -> Result<(ActiveRequest, ResponseHead), ActiveRequest> {
        let AttemptConnection { guard, idle_time, matching } = connection;
        let now = Instant::now();
        let remaining = deadline.saturating_duration_since(now);
        // The first bytes written to an idle connection may be answered with a reset, and so may those on a new
        // connection to a server that has no worker for it. If the whole request had been written by then, one that
        // must not run twice could not be retried elsewhere. So the bytes that may start it are held back for a moment.
        let hold_back = self.pool.borrow().hold_time(server, idle_time, request.repeatable, now);
        let hold_back = hold_back.filter(|hold_back| *hold_back <= remaining / HOLD_BACK_DIVISOR);
        // The server may have sent stray bytes while this attempt waited for a connection.
        let matching = if self.pool.borrow().answers_need_proof(server, now) {
            Matching::AnnouncedClose
        } else {
            matching
        };
        let persistence = self.pool.borrow().persistence(server, matching, guard.is_used(), now);
        let mut head = Vec::new();
        request.encoded.head_into(
            &mut head,
            remaining.as_millis() as u64,
            endpoint.address,
            persistence,
        );
        let body = request.encoded.body_len();
        let mut exchange = Exchange::new(self.config.begins, head.len(), body, hold_back.is_some());
        if request.upload.is_some() {
            exchange.expect_more_body();
        }
        let figures = (!request.internal).then(|| self.figures.clone());
        let message = (request.clone(), head);
        let mut active = ActiveRequest::new(guard, exchange, message, gate.clone(), figures);
        active.matching = matching;
        active.persistence = persistence;
        let mut event = None;
        if let Some(hold_back) = hold_back {
            event = timeout(hold_back, active.event()).await.ok();
            if event.as_ref().is_some_and(Result::is_err) {
                let fault = if active.answer_has_begun() {
                    ConnectionFault::StrayBytes
                } else {
                    ConnectionFault::Broken
                };
                self.pool.borrow_mut().record_fault(server, fault, Instant::now());
            }
            active.exchange.commit();
        }
        let event = match event {
            Some(event) => event,
            None => active.event().await,
        };
        match event {
            Ok(Event::Head(head)) => Ok((active, head)),
            _ => Err(active),
        }
    }

    /// How the answer to a request is told apart from others on its connection.
    fn matching(&self, server: ServerId, class: Option<usize>, repeatable: bool) -> Matching {
        let answers = self.answers.borrow();
        // A page of the server itself is the same each time.
        let variety = class.map_or(Variety::Alike, |class| answers.variety(class, repeatable));
        self.pool.borrow().matching(server, variety, Instant::now())
    }

    /// Reads the request's answer; `head` is the first head that arrived. A request that must not run twice waits for
    /// the answer behind a duplicate.
    ///
    /// # Errors
    /// Returns the fingerprint of an answer that equals an earlier one on its connection; the request may be
    /// repeated.
    async fn answer(
        self: &Rc<Upstream>,
        mut active: ActiveRequest,
        mut head: ResponseHead,
        class: Option<usize>,
        request: &AttemptRequest,
    ) -> Result<AttemptOutcome, Fingerprint> {
        for skipped in 0..=MAX_SKIPPED_ANSWERS {
            let report = self.report(&head);
            if !is_served(self.config.begins, head.status) {
                let outcome =
                    if is_unprocessed_rejection(&head) { Outcome::Full } else { Outcome::Error };
                spawn_local(discard(active));
                return Ok(AttemptOutcome::end(outcome, report));
            }
            request.progress.record_begin(active.attempt());
            let Ok(buffered) = BufferedAnswer::read(&mut active, &head, request).await else {
                self.figures.count(Counter::IncompleteAnswers);
                return Ok(AttemptOutcome::end(Outcome::Reset, report));
            };
            if let BufferedAnswer::Begun(bytes) = &buffered {
                let body = UncheckedBody::new(self.clone(), class, head.status, bytes);
                let response =
                    StreamingResponse::new(head, report, active, max_bytes(request.streaming));
                return Ok(AttemptOutcome::Streaming(Box::new(response.with_unchecked(body))));
            }
            match self.answer_origin(&mut active, class, head.status, &buffered) {
                AnswerOrigin::Own(answer) => {
                    // A connection that carried a duplicate is not reused.
                    active.answer = (skipped == 0).then_some(answer);
                    let streaming = request.streaming;
                    return Ok(AttemptOutcome::served(active, head, report, buffered, streaming));
                }
                AnswerOrigin::Ambiguous => {
                    return Ok(AttemptOutcome::end(Outcome::Reset, report));
                }
                // A streamed body cannot be sent again.
                AnswerOrigin::Duplicate(equal_answer)
                    if request.repeatable && !active.streams_body() =>
                {
                    return Err(equal_answer);
                }
                AnswerOrigin::Duplicate(_) => {
                    match self.head_behind_duplicate(&mut active, class).await {
                        Ok(next) => head = next,
                        Err(IncompleteAnswer) => break,
                    }
                }
            }
        }
        Ok(AttemptOutcome::end(Outcome::Reset, LoadReport::default()))
    }

    /// The load report of an answer.
    fn report(&self, head: &ResponseHead) -> LoadReport {
        let text = head.headers.get("x-backend-load").and_then(|value| value.to_str().ok());
        text.map(|text| self.names.parse_report(text)).unwrap_or_default()
    }
}

/// Reads the rest of a short answer that is not served, and releases its connection.
///
/// Without this, a duplicate of that answer would be taken for the answer to the next request, which would fail, or
/// be retried or rejected as one that never ran.
async fn discard(mut active: ActiveRequest) {
    let read_rest = async {
        let mut remaining = MAX_BUFFERED_BYTES;
        loop {
            match active.event().await {
                Ok(Event::Data(piece)) => remaining = remaining.checked_sub(piece.len())?,
                Ok(Event::End) => return Some(()),
                _ => return None,
            }
        }
    };
    let read = timeout(DISCARD_TIMEOUT, read_rest).await;
    // An answer that came before its request does not prove that the server sends nothing unsolicited.
    if read == Ok(Some(())) && active.exchange.execution() == Execution::MayHaveRun {
        active.finish();
    }
}
