//! One attempt of a request at one server. It has exactly one outcome.

mod collected;
mod held;
mod own_answer;
mod request;
mod running;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coppercart::api::{LoadReport, Outcome, ServerId};
use http::{HeaderMap, StatusCode};
use millethook_connect::answers::{Fingerprint, Variety};
use millethook_connect::exchange::turns_away;
use millethook_connect::facts::Caught;
use millethook_connect::pool::Matching;
use millethook_connect::{Begins, Event, Exchange, Execution, ResponseHead};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::Lease;
use super::{Gate, StreamingResponse, Upstream};
use crate::upload::MAX_UPLOAD_BYTES;

use held::Held;
pub use held::WHOLE;
use own_answer::{MOST_SKIPPED, Verdict};
pub use request::AttemptRequest;
use request::HANDSHAKE_SHARE;
use running::Broken;
pub(super) use running::Running;

/// Longer answers are passed on up to this size, as long as a body may be; those of classes that stream have
/// no bound. Danger: spoilt heads announce gigabytes, and what follows is noise.
pub(super) const LONGEST_ANSWER: u64 = MAX_UPLOAD_BYTES;
/// The share of the time that is left which a trial takes at most. Danger: what breaks without one may
/// have run, where a trial would have told that it has not; but timers would make a trial some two of a
/// hurried client's twenty milliseconds.
const TRIAL_SHARE: u32 = 50;
/// How long the rest of an answer that nobody wants may take before its connection is closed.
const DISCARD: Duration = Duration::from_millis(500);

/// The head of an answer that goes to the caller.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
}

/// Whether an answer is for the caller. All else is a failed attempt, which may have run.
///
/// The platform's servers answer 200 or have failed. Any HTTP server may also answer that it has created
/// something, or that the request asks for what is not there: that is its answer, and asking again brings no
/// other one. Danger: 408, 421, 425 and 429 say in one way or another that the request may be sent again,
/// and 429 from here would promise that it never ran.
fn is_served(begins: Begins, status: StatusCode) -> bool {
    let again = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_EARLY,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    match begins {
        Begins::Whole => status == StatusCode::OK,
        Begins::Head => !status.is_server_error() && !again.contains(&status),
    }
}

/// The connection of one attempt.
struct AttemptConnection {
    lease: Lease,
    /// For how long it has rested; None: it is new.
    rested: Option<Duration>,
    /// How an answer on it is told to be the request's own.
    matching: Matching,
}

/// What has come of an attempt.
pub enum AttemptOutcome {
    /// It is over. An answer served is whole.
    End {
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: LoadReport,
        /// What was served.
        answer: Option<(AnswerHead, Bytes)>,
    },
    /// A long answer has begun.
    Streaming(Box<StreamingResponse>),
}

impl AttemptOutcome {
    /// One that served an answer, of which so much is held.
    fn served(
        running: Running,
        head: ResponseHead,
        report: LoadReport,
        held: Held,
        streaming: bool,
    ) -> AttemptOutcome {
        let body = match held {
            Held::Whole(body) => body,
            Held::Long(first) => {
                let most = if streaming { u64::MAX } else { LONGEST_ANSWER };
                let long = StreamingResponse::new(head, report, first, running, most);
                return AttemptOutcome::Streaming(Box::new(long));
            }
        };
        running.end();
        let ResponseHead { status, headers, .. } = head;
        let answer = Some((AnswerHead { status, headers }, body));
        AttemptOutcome::End { outcome: Outcome::Served, report, answer }
    }

    /// One that served nothing.
    pub fn end(outcome: Outcome, report: LoadReport) -> AttemptOutcome {
        AttemptOutcome::End { outcome, report, answer: None }
    }
}

impl Upstream {
    /// One attempt at `server`, to be dropped when it is no longer waited for: that ends it on the
    /// connection, too. `class`: the request's place in the settings; None for a page of the server's own.
    pub async fn attempt(
        self: &Rc<Upstream>,
        at: (ServerId, SocketAddr),
        class: Option<usize>,
        request: &Rc<AttemptRequest>,
        gate: Gate,
        until: Instant,
    ) -> AttemptOutcome {
        let matching = || self.matching(at.0, class, request.repeatable);
        let equal = match self.try_once(at, class, request, &gate, until, &matching).await {
            Ok(outcome) => return outcome,
            Err(equal) => equal,
        };
        // Answers of the class count as equal from now on, unless this one turns out to be a copy, whose server is caught: so
        // this happens once in hundreds of answers, or once a minute at a server.
        let on_new = || Matching::First;
        let again = self.try_once(at, class, request, &gate, until, &on_new).await;
        match again {
            // The first one may have run, whatever became of this one.
            Ok(AttemptOutcome::End { outcome, report, .. }) if outcome.never_ran() => {
                AttemptOutcome::end(Outcome::Reset, report)
            }
            Ok(outcome) => {
                if self.is_another_answer(&outcome, equal) {
                    self.was_copy(at.0, class);
                }
                outcome
            }
            Err(_) => AttemptOutcome::end(Outcome::Reset, LoadReport::default()),
        }
    }

    /// Whether an attempt was served an answer that differs from this one.
    fn is_another_answer(&self, outcome: &AttemptOutcome, than: Fingerprint) -> bool {
        let AttemptOutcome::End { answer: Some((head, body)), .. } = outcome else { return false };
        self.fingerprints.fingerprint(head.status, body) != than
    }

    /// Sends a request until it may have run.
    ///
    /// # Errors
    /// Its answer, which equals an earlier one on its connection; the request may be repeated.
    async fn try_once(
        self: &Rc<Upstream>,
        (server, dial): (ServerId, SocketAddr),
        class: Option<usize>,
        request: &Rc<AttemptRequest>,
        gate: &Gate,
        until: Instant,
        matching: &dyn Fn() -> Matching,
    ) -> Result<AttemptOutcome, Fingerprint> {
        let none = LoadReport::default;
        let patience = self.config.connect_timeout.min(request.aim / HANDSHAKE_SHARE);
        loop {
            let matching = matching();
            let (lease, rested) = match self.connection(server, dial, matching, patience).await {
                Ok(found) => found,
                Err(outcome) => return Ok(AttemptOutcome::end(outcome, none())),
            };
            if !gate.may_begin(request, Instant::now()) {
                lease.give_back();
                return Ok(AttemptOutcome::end(Outcome::Moot, none()));
            }
            let at = (server, dial);
            let connection = AttemptConnection { lease, rested, matching };
            let asked = match self.ask(at, connection, request, gate, until).await {
                Ok((running, head)) => self.own_head(running, head).await,
                Err(running) => Err(running),
            };
            let running = match asked {
                Ok((running, head)) => return self.answer(running, head, class, request).await,
                Err(running) => running,
            };
            let never_ran = running.exchange.execution() == Execution::NeverRan;
            // What was passed on cannot be sent once more.
            let rested = rested.filter(|_| !running.follows());
            if running.caller_gone() {
                return Ok(AttemptOutcome::end(Outcome::Cancelled, none()));
            }
            // What broke is closed before another connection is looked for.
            drop(running);
            if never_ran && !gate.may_commit(request, Instant::now()) {
                return Ok(AttemptOutcome::end(Outcome::Moot, none()));
            }
            match (never_ran, rested) {
                (false, _) => return Ok(AttemptOutcome::end(Outcome::Reset, none())),
                (true, None) => return Ok(AttemptOutcome::end(Outcome::ConnectFailed, none())),
                // A connection that has rested may break as it is used. The server has not begun with
                // the request, which gets another connection.
                (true, Some(_)) => {}
            }
        }
    }

    /// Writes the request and reads the head of its answer.
    async fn ask(
        &self,
        (server, dial): (ServerId, SocketAddr),
        connection: AttemptConnection,
        request: &Rc<AttemptRequest>,
        gate: &Gate,
        until: Instant,
    ) -> Result<(Running, ResponseHead), Running> {
        let AttemptConnection { lease, rested, matching } = connection;
        let now = Instant::now();
        let left = until.saturating_duration_since(now);
        // Danger: a connection that has rested may be reset by the first bytes written to it, and so may
        // a new one whose server has nobody to serve it. What must not run twice could then be sent
        // nowhere else, had all of it been written.
        let trial = self.pool.borrow().trial(server, rested, request.repeatable, now);
        let trial = trial.filter(|trial| *trial <= left / TRIAL_SHARE);
        // The server may have been caught while a connection was waited for.
        let matching = if self.pool.borrow().answers_need_proof(server, now) {
            Matching::End
        } else {
            matching
        };
        let persistence = self.pool.borrow().persistence(server, matching, lease.is_used(), now);
        let mut head = Vec::new();
        request.encoded.head_into(&mut head, left.as_millis() as u64, dial, persistence);
        let body = request.encoded.body_len();
        let mut exchange = Exchange::new(self.config.begins, head.len(), body, trial.is_some());
        if request.upload.is_some() {
            exchange.follow();
        }
        let figures = (!request.internal).then(|| self.figures.clone());
        let message = (request.clone(), head);
        let mut running = Running::new(lease, exchange, message, gate.clone(), figures);
        running.matching = matching;
        running.persistence = persistence;
        let mut event = None;
        if let Some(trial) = trial {
            event = timeout(trial, running.event(false)).await.ok();
            if event.as_ref().is_some_and(Result::is_err) {
                let caught = if running.begun() { Caught::Stray } else { Caught::Break };
                self.pool.borrow_mut().caught(server, caught, Instant::now());
            }
            running.exchange.commit();
        }
        let event = match event {
            Some(event) => event,
            None => running.event(false).await,
        };
        match event {
            Ok(Event::Head(head)) => Ok((running, head)),
            _ => Err(running),
        }
    }

    /// How the answer to a request is told from others on its connection.
    fn matching(&self, server: ServerId, class: Option<usize>, repeatable: bool) -> Matching {
        let answers = self.answers.borrow();
        // A page of the server's own is the same each time.
        let variety = class.map_or(Variety::Alike, |class| answers.variety(class, repeatable));
        self.pool.borrow().matching(server, variety, Instant::now())
    }

    /// Reads the request's answer, `head` being the first head that came. A request that must not run twice waits for the
    /// answer behind a copy.
    ///
    /// # Errors
    /// The answer, which equals an earlier one on its connection; the request may be repeated.
    async fn answer(
        &self,
        mut running: Running,
        mut head: ResponseHead,
        class: Option<usize>,
        request: &AttemptRequest,
    ) -> Result<AttemptOutcome, Fingerprint> {
        for skipped in 0..=MOST_SKIPPED {
            let report = self.report(&head);
            if !is_served(self.config.begins, head.status) {
                let outcome = if turns_away(&head) { Outcome::Full } else { Outcome::Error };
                spawn_local(discard(running));
                return Ok(AttemptOutcome::end(outcome, report));
            }
            let Ok(held) = Held::read(&mut running, &head, request).await else {
                return Ok(AttemptOutcome::end(Outcome::Reset, report));
            };
            match self.judge(&mut running, class, head.status, &held) {
                Verdict::Own(answer) => {
                    // Behind a copy the connection is not used again.
                    running.answer = (skipped == 0).then_some(answer);
                    let streaming = request.streaming;
                    return Ok(AttemptOutcome::served(running, head, report, held, streaming));
                }
                Verdict::Contradicted => {
                    return Ok(AttemptOutcome::end(Outcome::Reset, report));
                }
                // What was passed on cannot be sent once more.
                Verdict::Copy(equal) if request.repeatable && !running.follows() => {
                    return Err(equal);
                }
                Verdict::Copy(_) => match self.head_behind_copy(&mut running, class).await {
                    Ok(next) => head = next,
                    Err(Broken) => break,
                },
            }
        }
        Ok(AttemptOutcome::end(Outcome::Reset, LoadReport::default()))
    }

    /// The load report of an answer.
    fn report(&self, head: &ResponseHead) -> LoadReport {
        let text = head.headers.get("x-backend-load").and_then(|value| value.to_str().ok());
        text.map(|text| self.names.report(text)).unwrap_or_default()
    }
}

/// Reads what is left of a short answer that is not served, and closes its connection.
///
/// A second copy of that answer would be taken for the next request's: it would fail, or be sent again or refused as one
/// that never ran.
async fn discard(mut running: Running) {
    let rest = async {
        let mut left = WHOLE;
        loop {
            match running.event(false).await {
                Ok(Event::Data(piece)) => left = left.checked_sub(piece.len())?,
                Ok(Event::End) => return Some(()),
                _ => return None,
            }
        }
    };
    let read = timeout(DISCARD, rest).await;
    // An answer that came ahead of its request is no proof that the server sends nothing unasked.
    if read == Ok(Some(())) && running.exchange.execution() == Execution::MayHaveRun {
        running.end();
    }
}
