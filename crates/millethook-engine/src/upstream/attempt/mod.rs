//! One attempt of a request at one server. It has exactly one outcome.

mod collected;
mod own_answer;
mod request;
mod running;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coppercart::api::{LoadReport, Outcome, ServerId};
use http::{HeaderMap, StatusCode};
use millethook_connect::exchange::turns_away;
use millethook_connect::facts::Caught;
use millethook_connect::request::Persistence;
use millethook_connect::{Begins, Event, Exchange, Execution, ResponseHead};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::Lease;
use super::{Gate, StreamingResponse, Upstream};
use crate::upload::LONGEST_UPLOAD;

use collected::Collected;
pub use request::AttemptRequest;
use request::HANDSHAKE_SHARE;
pub(super) use running::Running;

/// Answers up to this size are read whole before their outcome is told.
pub const WHOLE: usize = 64 << 10;
/// Longer answers are passed on up to this size, as long as a body may be; those of classes that stream have
/// no bound. Danger: spoilt heads announce gigabytes, and what follows is noise.
pub(super) const LONGEST_ANSWER: u64 = LONGEST_UPLOAD;
/// An answer that does not say how long it is, is passed on once so many bytes of it have come over such a part of
/// the aim: it may well be a long one, whose first bytes are waited for. Danger: what is passed on can be
/// repeated nowhere, so short answers and quick ones are held to their end.
const SLOW_ANSWER: usize = 4 << 10;
const SLOW_SHARE: u32 = 8;
/// The share of the time that is left which a trial takes at most. Danger: what breaks without one may
/// have run, where a trial would have told that it has not; but timers would make a trial some two of a
/// hurried client's twenty milliseconds.
const TRIAL_SHARE: u32 = 50;
/// How long the rest of an answer that nobody wants may take before its connection is closed.
const DISCARD: Duration = Duration::from_millis(500);

/// The head of an answer that goes to the caller.
#[derive(Clone, Debug, Default)]
pub struct Head {
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

/// What has come of an attempt.
pub enum AttemptOutcome {
    /// It is over. An answer served is whole.
    End {
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: LoadReport,
        /// What was served.
        answer: Option<(Head, Bytes)>,
    },
    /// A long answer has begun.
    Streaming(Box<StreamingResponse>),
}

impl AttemptOutcome {
    /// One that served nothing.
    pub fn end(outcome: Outcome, report: LoadReport) -> AttemptOutcome {
        AttemptOutcome::End { outcome, report, answer: None }
    }
}

impl Upstream {
    /// One attempt at `server`, to be dropped when it is no longer waited for: that ends it on the
    /// connection, too.
    pub async fn attempt(
        self: &Rc<Upstream>,
        (server, dial): (ServerId, SocketAddr),
        request: &Rc<AttemptRequest>,
        gate: Gate,
        until: Instant,
    ) -> AttemptOutcome {
        let none = LoadReport::default;
        let patience = self.config.connect_timeout.min(request.aim / HANDSHAKE_SHARE);
        loop {
            let (lease, rested) = match self.connection(server, dial, patience).await {
                Ok(found) => found,
                Err(outcome) => return AttemptOutcome::end(outcome, none()),
            };
            if !gate.may_begin(request, Instant::now()) {
                lease.give_back();
                return AttemptOutcome::end(Outcome::Moot, none());
            }
            let at = (server, dial);
            let asked = match self.ask(at, lease, rested, request, &gate, until).await {
                Ok((running, head)) => self.own_head(running, head).await,
                Err(running) => Err(running),
            };
            let running = match asked {
                Ok((running, head)) => return self.answer(running, head, request, until).await,
                Err(running) => running,
            };
            let never_ran = running.exchange.execution() == Execution::NeverRan;
            // What was passed on cannot be sent once more.
            let rested = rested.filter(|_| !running.follows());
            if running.caller_gone() {
                return AttemptOutcome::end(Outcome::Cancelled, none());
            }
            // What broke is closed before another connection is looked for.
            drop(running);
            if never_ran && !gate.may_commit(request, Instant::now()) {
                return AttemptOutcome::end(Outcome::Moot, none());
            }
            match (never_ran, rested) {
                (false, _) => return AttemptOutcome::end(Outcome::Reset, none()),
                (true, None) => return AttemptOutcome::end(Outcome::ConnectFailed, none()),
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
        lease: Lease,
        rested: Option<Duration>,
        request: &Rc<AttemptRequest>,
        gate: &Gate,
        until: Instant,
    ) -> Result<(Running, ResponseHead), Running> {
        let now = Instant::now();
        let left = until.saturating_duration_since(now);
        // Danger: a connection that has rested may be reset by the first bytes written to it, and so may
        // a new one whose server has nobody to serve it. What must not run twice could then be sent
        // nowhere else, had all of it been written.
        let trial = self.pool.borrow().trial(server, rested, request.repeatable, now);
        let trial = trial.filter(|trial| *trial <= left / TRIAL_SHARE);
        let persistence = self.persistence(server, lease.is_used());
        let mut head = Vec::new();
        request.encoded.head_into(&mut head, left.as_millis() as u64, dial, persistence);
        let body = request.encoded.body_len();
        let mut exchange = Exchange::new(self.config.begins, head.len(), body, trial.is_some());
        if request.upload.is_some() {
            exchange.follow();
        }
        let figures = (!request.own_page).then(|| self.figures.clone());
        let message = (request.clone(), head);
        let mut running = Running::new(lease, exchange, message, gate.clone(), figures);
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

    /// What a request on a connection to `server` says of that connection. Where answers have to be proven, all but the
    /// first request on a connection ask for its end, and so does each one to a server that is not known to announce it.
    fn persistence(&self, server: ServerId, used: bool) -> Persistence {
        let (pool, now) = (self.pool.borrow(), Instant::now());
        let proven = pool.answers_need_proof(server, now);
        if proven && (used || !pool.announces_end(server, now)) {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }

    async fn answer(
        self: &Rc<Upstream>,
        mut running: Running,
        head: ResponseHead,
        request: &AttemptRequest,
        until: Instant,
    ) -> AttemptOutcome {
        let streaming = request.streaming;
        let report = head.headers.get("x-backend-load").and_then(|v| v.to_str().ok());
        let report = report.map(|text| self.names.report(text)).unwrap_or_default();
        if !is_served(self.config.begins, head.status) {
            let turned_away = turns_away(&head);
            let outcome = if turned_away { Outcome::Full } else { Outcome::Error };
            spawn_local(discard(running, turned_away));
            return AttemptOutcome::end(outcome, report);
        }
        let length = head.length;
        let (mut whole, begun) = (Collected::default(), Instant::now());
        loop {
            let too_long = match length {
                Some(length) => length > WHOLE as u64,
                None => {
                    let slow = || begun.elapsed() > request.aim / SLOW_SHARE;
                    whole.len() > WHOLE || (whole.len() >= SLOW_ANSWER && slow())
                }
            };
            let most = if streaming { u64::MAX } else { LONGEST_ANSWER };
            if too_long && length.is_none_or(|length| length <= most) {
                let first = whole.take();
                let long = StreamingResponse::new(head, report, first, running, most);
                return AttemptOutcome::Streaming(Box::new(long));
            } else if too_long {
                // Guards against lengths without sense and answers without end: no body is longer
                // than the protocol allows, so this is none, and memory is kept for others.
                return AttemptOutcome::end(Outcome::Reset, report);
            }
            match running.event(streaming).await {
                Ok(Event::Data(piece)) => whole.push(piece),
                Ok(Event::End) => {
                    let ResponseHead { status, headers, .. } = head;
                    let body = whole.take();
                    if !self.is_own_answer(running, request, status, &body, until).await {
                        return AttemptOutcome::end(Outcome::Reset, report);
                    }
                    let answer = Some((Head { status, headers }, body));
                    return AttemptOutcome::End { outcome: Outcome::Served, report, answer };
                }
                Ok(Event::Head(_)) | Err(_) => return AttemptOutcome::end(Outcome::Reset, report),
            }
        }
    }
}

/// Reads what is left of a short answer, so that its connection can be used again.
///
/// A connection whose request was turned away carries no other: a second copy of that answer would tell of the next
/// request that it never ran, and have it sent again or refused.
async fn discard(mut running: Running, turned_away: bool) {
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
    let closes = turned_away && running.exchange.execution() == Execution::MayHaveRun;
    match read {
        Ok(Some(())) if closes => running.lease.close(),
        Ok(Some(())) => running.end(),
        Ok(None) | Err(_) => {}
    }
}
