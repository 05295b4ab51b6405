//! One attempt of a request at one server. It has exactly one outcome.

use std::future::poll_fn;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use coppercart::api::{LoadReport, Outcome, ServerId};
use http::{HeaderMap, Method, StatusCode, Uri};
use millethook_connect::exchange::turns_away;
use millethook_connect::facts::Caught;
use millethook_connect::request::{LAST_CHUNK, PIECES, chunk};
use millethook_connect::{
    Begins, EncodedRequest, Event, Exchange, Execution, Failure, Progress, ResponseHead,
};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::{Connection, Lease};
use super::{StreamingResponse, Upstream};
use crate::budget::ByteReservation;
use crate::figures::Figures;
use crate::upload::{LONGEST_UPLOAD, Piece, Upload};

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
/// How long an answer that has begun may stand still. It is written in one go, so what stops is cut
/// short or was given too great a length. Danger: over a line that loses packets an answer may
/// pause for as long as its system takes to send them again, some 200 ms.
const STANDSTILL: Duration = Duration::from_millis(100);
/// The share of the time that is left which a trial takes at most. Danger: what breaks without one may
/// have run, where a trial would have told that it has not; but timers would make a trial some two of a
/// hurried client's twenty milliseconds.
const TRIAL_SHARE: u32 = 50;
/// The share of the aim that a handshake may take. One that never comes up is known to have carried
/// nothing, so another server may get the request while its answer can still be in time.
const HANDSHAKE_SHARE: u32 = 2;
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

/// A client's request as servers get it, kept for repeats.
pub struct AttemptRequest {
    /// What goes out.
    pub encoded: EncodedRequest,
    /// It asks for a page of the server's own, and no caller for it.
    pub own_page: bool,
    /// Sent twice, it does no harm.
    pub repeatable: bool,
    /// Its answer may be long, and take its time.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// What the body takes of the budget.
    pub account: ByteReservation,
    /// What follows the part of the body that is held.
    pub upload: Option<Upload>,
}

impl AttemptRequest {
    /// A request for one of a server's own pages.
    pub(super) fn page(path: &Uri, patience: Duration) -> AttemptRequest {
        AttemptRequest {
            encoded: EncodedRequest::new(&Method::GET, path, &HeaderMap::new(), Vec::new()),
            own_page: true,
            repeatable: true,
            streaming: false,
            aim: patience * HANDSHAKE_SHARE,
            account: ByteReservation::default(),
            upload: None,
        }
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

/// There will be no whole answer: the bytes or the connection say so, or it has begun and then stood
/// still. What that means for the request, its [`Exchange`] tells.
#[derive(Debug)]
pub(super) struct Broken;

/// One request on one connection.
pub(super) struct Running {
    pub lease: Lease,
    pub exchange: Exchange,
    /// The request and its head, until all of it is out.
    message: Option<(Rc<AttemptRequest>, Vec<u8>)>,
    /// Told when all of it is out. None for a page of the server's own.
    figures: Option<Rc<Figures>>,
    /// The rest of a body, once this attempt has taken it.
    following: Option<Following>,
}

/// The rest of a body on its way.
struct Following {
    rest: mpsc::Receiver<Piece>,
    /// The part of it that is being written, and where in the message that begins.
    pieces: SmallVec<[Bytes; 3]>,
    at: usize,
}

/// What has become of the rest of a body.
enum Followed {
    /// There is more to write, or nothing ever more.
    Changed,
    /// The caller has broken off, or another attempt has the rest.
    Gone,
}

enum Step {
    /// Bytes came that are no event yet.
    Progress,
    Event(Event),
}

impl Running {
    /// Writes what may be written, and reads.
    ///
    /// Danger: a server that answers early may read the body all the same, and may need it to end its
    /// answer: what is left of the request goes out while the answer comes in.
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Result<Step, Failure>> {
        let Running { lease, exchange, message, figures, following } = self;
        let Some(connection) = lease.connection() else {
            return Poll::Ready(Err(Failure::Closed));
        };
        if let Some((request, head)) = message {
            loop {
                write(cx, connection, exchange, &request.encoded, head, following);
                if !exchange.wants_more() {
                    break;
                }
                match poll_follow(cx, exchange, request, following) {
                    Poll::Ready(Followed::Changed) => {}
                    // An answer that came early is whole without the rest of the request.
                    Poll::Ready(Followed::Gone) if exchange.answer_begun(&connection.buf) => {
                        exchange.write_failed();
                    }
                    Poll::Ready(Followed::Gone) => return Poll::Ready(Err(Failure::Closed)),
                    Poll::Pending => break,
                }
            }
            if exchange.progress() == Progress::Whole {
                *message = None;
                if let Some(figures) = figures {
                    figures.attempt_written();
                }
            }
        }
        if let Some(event) = exchange.read(&mut connection.buf)? {
            return Poll::Ready(Ok(Step::Event(event)));
        }
        match connection.poll_read(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(0)) => {
                let end = exchange.closed(&connection.buf).map(Step::Event);
                return Poll::Ready(end);
            }
            Poll::Ready(Ok(_)) => {}
            Poll::Ready(Err(_)) => return Poll::Ready(Err(exchange.broken(&connection.buf))),
        }
        let event = exchange.read(&mut connection.buf)?;
        Poll::Ready(Ok(event.map_or(Step::Progress, Step::Event)))
    }

    /// The next event of the answer. `patient`: it may stand still.
    pub async fn event(&mut self, patient: bool) -> Result<Event, Broken> {
        loop {
            // Most of what is waited for is here already, and needs no timer.
            let step = match poll_fn(|cx| Poll::Ready(self.poll_step(cx))).await {
                Poll::Ready(step) => step,
                Poll::Pending => {
                    let begun = !patient && self.begun();
                    let step = poll_fn(|cx| self.poll_step(cx));
                    match begun {
                        false => step.await,
                        true => timeout(STANDSTILL, step).await.map_err(|_| Broken)?,
                    }
                }
            };
            if let Step::Event(event) = step.map_err(|_| Broken)? {
                return Ok(event);
            }
        }
    }

    /// Whether the caller has broken off within a body that is being passed on.
    fn caller_gone(&self) -> bool {
        let following = self.following.as_ref();
        following.is_some_and(|f| f.rest.is_closed() && f.rest.is_empty())
            && self.exchange.wants_more()
    }

    fn begun(&mut self) -> bool {
        let Running { lease, exchange, .. } = self;
        lease.connection().is_some_and(|connection| exchange.answer_begun(&connection.buf))
    }
}

fn write(
    cx: &mut Context<'_>,
    connection: &mut Connection,
    exchange: &mut Exchange,
    encoded: &EncodedRequest,
    head: &[u8],
    following: &Option<Following>,
) {
    loop {
        let (from, to) = exchange.writable();
        if from == to {
            return;
        }
        let mut slices = [IoSlice::new(&[]); PIECES];
        let n = match following {
            Some(following) if from >= following.at => following.slices(from, &mut slices),
            _ => encoded.slices(head, (from, to), &mut slices),
        };
        match connection.poll_write(cx, &slices[..n]) {
            Poll::Pending => return,
            Poll::Ready(Ok(0) | Err(_)) => exchange.write_failed(),
            Poll::Ready(Ok(n)) => exchange.wrote(n),
        }
    }
}

impl Following {
    /// What lies from `from` on.
    fn slices<'a>(&'a self, from: usize, out: &mut [IoSlice<'a>; PIECES]) -> usize {
        let (mut at, mut n) = (self.at, 0);
        for piece in &self.pieces {
            let skip = from.saturating_sub(at).min(piece.len());
            if skip < piece.len() {
                out[n] = IoSlice::new(&piece[skip..]);
                n += 1;
            }
            at += piece.len();
        }
        n
    }
}

/// Takes the next piece of a body whose caller is still sending it.
fn poll_follow(
    cx: &mut Context<'_>,
    exchange: &mut Exchange,
    request: &AttemptRequest,
    following: &mut Option<Following>,
) -> Poll<Followed> {
    let (written, _) = exchange.writable();
    let following = match following {
        Some(following) => following,
        None => {
            let Some(rest) = request.upload.as_ref().and_then(Upload::take_rest) else {
                return Poll::Ready(Followed::Gone);
            };
            following.insert(Following { rest, pieces: SmallVec::new(), at: written })
        }
    };
    let chunked = request.encoded.is_chunked();
    following.pieces.clear();
    match ready!(following.rest.poll_recv(cx)) {
        Some(Piece::Data(data)) if chunked => following.pieces.extend(chunk(data)),
        Some(Piece::Data(data)) => following.pieces.push(data),
        Some(Piece::End) => {
            exchange.finish();
            if chunked {
                following.pieces.push(LAST_CHUNK);
            }
        }
        None => return Poll::Ready(Followed::Gone),
    }
    following.at = written;
    exchange.extend(following.pieces.iter().map(Bytes::len).sum());
    Poll::Ready(Followed::Changed)
}

impl Upstream {
    /// One attempt at `server`, to be dropped when it is no longer waited for: that ends it on the
    /// connection, too.
    pub async fn attempt(
        self: &Rc<Upstream>,
        server: ServerId,
        dial: SocketAddr,
        request: &Rc<AttemptRequest>,
        until: Instant,
    ) -> AttemptOutcome {
        let none = LoadReport::default;
        let patience = self.config.connect_timeout.min(request.aim / HANDSHAKE_SHARE);
        loop {
            let (lease, rested) = match self.connection(server, dial, patience).await {
                Ok(found) => found,
                Err(outcome) => return AttemptOutcome::end(outcome, none()),
            };
            let running = match self.ask((server, dial), lease, rested, request, until).await {
                Ok((running, head)) => return self.answer(running, head, request).await,
                Err(running) => running,
            };
            let never_ran = running.exchange.execution() == Execution::NeverRan;
            // What was passed on cannot be sent once more.
            let rested = rested.filter(|_| running.following.is_none());
            if running.caller_gone() {
                return AttemptOutcome::end(Outcome::Cancelled, none());
            }
            // What broke is closed before another connection is looked for.
            drop(running);
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
        until: Instant,
    ) -> Result<(Running, ResponseHead), Running> {
        let now = Instant::now();
        let left = until.saturating_duration_since(now);
        // Danger: a connection that has rested may be reset by the first bytes written to it, and so may
        // a new one whose server has nobody to serve it. What must not run twice could then be sent
        // nowhere else, had all of it been written.
        let trial = self.pool.borrow().trial(server, rested, request.repeatable, now);
        let trial = trial.filter(|trial| *trial <= left / TRIAL_SHARE);
        let mut head = Vec::new();
        request.encoded.head_into(&mut head, left.as_millis() as u64, dial);
        let body = request.encoded.body_len();
        let mut exchange = Exchange::new(self.config.begins, head.len(), body, trial.is_some());
        if request.upload.is_some() {
            exchange.follow();
        }
        let figures = (!request.own_page).then(|| self.figures.clone());
        let mut running = Running {
            lease,
            exchange,
            message: Some((request.clone(), head)),
            figures,
            following: None,
        };
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

    async fn answer(
        self: &Rc<Upstream>,
        mut running: Running,
        head: ResponseHead,
        request: &AttemptRequest,
    ) -> AttemptOutcome {
        let streaming = request.streaming;
        let report = head.headers.get("x-backend-load").and_then(|v| v.to_str().ok());
        let report = report.map(|text| self.names.report(text)).unwrap_or_default();
        if !is_served(self.config.begins, head.status) {
            let outcome = if turns_away(&head) { Outcome::Full } else { Outcome::Error };
            spawn_local(discard(running));
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
                    running.lease.end(&running.exchange);
                    let ResponseHead { status, headers, .. } = head;
                    let answer = Some((Head { status, headers }, whole.take()));
                    return AttemptOutcome::End { outcome: Outcome::Served, report, answer };
                }
                Ok(Event::Head(_)) | Err(_) => return AttemptOutcome::end(Outcome::Reset, report),
            }
        }
    }
}

/// Reads what is left of a short answer, so that its connection can be used again.
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
    if let Ok(Some(())) = timeout(DISCARD, rest).await {
        running.lease.end(&running.exchange);
    }
}

/// A body's pieces; one alone is not copied.
#[derive(Default)]
struct Collected {
    first: Bytes,
    rest: BytesMut,
}

impl Collected {
    fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
        } else {
            self.rest.extend_from_slice(&piece);
        }
    }

    fn take(self) -> Bytes {
        if self.rest.is_empty() {
            return self.first;
        }
        let mut all = BytesMut::with_capacity(self.len());
        all.extend_from_slice(&self.first);
        all.extend_from_slice(&self.rest);
        all.freeze()
    }
}
