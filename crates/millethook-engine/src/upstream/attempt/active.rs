//! A request on its connection: writing it, streaming its body, reading the events of its answer.

use std::future::poll_fn;
use std::io::IoSlice;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use millethook_connect::answers::Fingerprint;
use millethook_connect::pool::Matching;
use millethook_connect::request::{LAST_CHUNK, MAX_IO_SLICES, Persistence, chunk};
use millethook_connect::{EncodedRequest, Event, Exchange, Execution, Failure, Progress};
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::request::AttemptRequest;
use crate::figures::Figures;
use crate::upload::{Piece, Upload};
use crate::upstream::Gate;
use crate::upstream::connection::{Connection, ConnectionGuard};

/// There will be no complete answer: the bytes are invalid, or the connection broke. What this means for the request is
/// decided by its [`Exchange`].
#[derive(Debug)]
pub(in crate::upstream) struct IncompleteAnswer;

/// One request on one connection.
pub(in crate::upstream) struct ActiveRequest {
    /// The connection.
    pub guard: ConnectionGuard,
    /// The state of the HTTP exchange.
    pub exchange: Exchange,
    /// How its answer is recognised as its own.
    pub matching: Matching,
    /// Whether the request asks to keep the connection or to close it.
    pub persistence: Persistence,
    /// The fingerprint that its answer is remembered by. `None`: the connection carries no further request.
    pub answer: Option<Fingerprint>,
    /// The request, as long as the attempt is not passing on its answer.
    request: Weak<AttemptRequest>,
    /// The request and its encoded head, until all of it is written.
    message: Option<(Rc<AttemptRequest>, Vec<u8>)>,
    /// Conditions that must hold until the request may have run.
    gate: Gate,
    /// Counts the attempt once it is written. `None` for internal requests.
    figures: Option<Rc<Figures>>,
    /// The rest of a streamed body, once this attempt has taken it.
    body_stream: Option<BodyStream>,
}

/// The rest of a body that is still arriving from the client.
struct BodyStream {
    receiver: mpsc::Receiver<Piece>,
    /// The piece that is being written, and its offset in the message.
    pieces: SmallVec<[Bytes; 3]>,
    offset: usize,
}

/// What polling the rest of a body returned.
enum BodyProgress {
    /// There is more to write, or the body has ended.
    Advanced,
    /// The client broke off, or another attempt has the rest.
    Gone,
}

/// What polling the exchange returned.
enum Step {
    /// Bytes arrived that do not complete an event.
    Progress,
    Event(Event),
}

impl ActiveRequest {
    /// Creates a request of which nothing is written. `figures` count it once it is written.
    pub fn new(
        guard: ConnectionGuard,
        exchange: Exchange,
        message: (Rc<AttemptRequest>, Vec<u8>),
        gate: Gate,
        figures: Option<Rc<Figures>>,
    ) -> ActiveRequest {
        ActiveRequest {
            guard,
            exchange,
            matching: Matching::Trust,
            persistence: Persistence::KeepAlive,
            answer: None,
            request: Rc::downgrade(&message.0),
            message: Some(message),
            gate,
            figures,
            body_stream: None,
        }
    }

    /// Writes what may be written, and reads.
    ///
    /// The rest of the request is still written while the answer arrives: a server that answers early may read the
    /// body all the same, and may need it to finish its answer.
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Result<Step, Failure>> {
        let ActiveRequest { guard, exchange, message, gate, figures, body_stream, .. } = self;
        let Some(connection) = guard.connection() else {
            return Poll::Ready(Err(Failure::Closed));
        };
        if let Some((request, head)) = message {
            let (from, to) = exchange.writable();
            let commits = from < to && exchange.execution() == Execution::NeverRan;
            if commits && !gate.may_commit(request, Instant::now()) {
                return Poll::Ready(Err(Failure::Closed));
            }
            loop {
                write(cx, connection, exchange, &request.encoded, head, body_stream);
                if !exchange.needs_more_body() {
                    break;
                }
                match poll_body_piece(cx, exchange, request, body_stream) {
                    Poll::Ready(BodyProgress::Advanced) => {}
                    // An answer that came early is complete without the rest of the request.
                    Poll::Ready(BodyProgress::Gone) if exchange.answer_begun(&connection.buf) => {
                        exchange.write_failed();
                    }
                    Poll::Ready(BodyProgress::Gone) => return Poll::Ready(Err(Failure::Closed)),
                    Poll::Pending => break,
                }
            }
            if exchange.progress() == Progress::Complete {
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
                let end = exchange.on_eof(&connection.buf).map(Step::Event);
                return Poll::Ready(end);
            }
            Poll::Ready(Ok(_)) => {}
            Poll::Ready(Err(_)) => {
                return Poll::Ready(Err(exchange.failure_on_break(&connection.buf)));
            }
        }
        let event = exchange.read(&mut connection.buf)?;
        Poll::Ready(Ok(event.map_or(Step::Progress, Step::Event)))
    }

    /// Returns the next event of the answer. The answer may pause: a server may produce it bit by bit, and a lost packet
    /// takes its time. Whoever waits for it bounds the wait; a long pause is reported.
    pub async fn event(&mut self) -> Result<Event, IncompleteAnswer> {
        loop {
            // Most events are available at once and need no timer.
            let step = match poll_fn(|cx| Poll::Ready(self.poll_step(cx))).await {
                Poll::Ready(step) => step,
                Poll::Pending => self.next_step().await,
            };
            if let Step::Event(event) = step.map_err(|_| IncompleteAnswer)? {
                return Ok(event);
            }
        }
    }

    /// Waits for the next step. If the answer has begun, a pause is reported.
    async fn next_step(&mut self) -> Result<Step, Failure> {
        if self.answer_has_begun()
            && let Some(aim) = self.request.upgrade().map(|request| request.aim)
        {
            if let Ok(step) = timeout(aim, poll_fn(|cx| self.poll_step(cx))).await {
                return step;
            }
            if let Some(request) = self.request.upgrade() {
                request.progress.record_pause(self.gate.attempt);
            }
        }
        poll_fn(|cx| self.poll_step(cx)).await
    }

    /// The index of the attempt among those of its request.
    pub fn attempt(&self) -> usize {
        self.gate.attempt
    }

    /// Whether this attempt streams the body, so that no other attempt can send it.
    pub fn streams_body(&self) -> bool {
        self.body_stream.is_some()
    }

    /// Whether the client broke off in the middle of a streamed body.
    pub fn caller_gone(&self) -> bool {
        let body_stream = self.body_stream.as_ref();
        body_stream.is_some_and(|stream| stream.receiver.is_closed() && stream.receiver.is_empty())
            && self.exchange.needs_more_body()
    }

    /// Whether part of the answer has arrived.
    pub fn answer_has_begun(&mut self) -> bool {
        let ActiveRequest { guard, exchange, .. } = self;
        guard.connection().is_some_and(|connection| exchange.answer_begun(&connection.buf))
    }
}

fn write(
    cx: &mut Context<'_>,
    connection: &mut Connection,
    exchange: &mut Exchange,
    encoded: &EncodedRequest,
    head: &[u8],
    body_stream: &Option<BodyStream>,
) {
    loop {
        let (from, to) = exchange.writable();
        if from == to {
            return;
        }
        let mut slices = [IoSlice::new(&[]); MAX_IO_SLICES];
        let n = match body_stream {
            Some(body_stream) if from >= body_stream.offset => {
                body_stream.slices(from, &mut slices)
            }
            _ => encoded.slices(head, (from, to), &mut slices),
        };
        match connection.poll_write(cx, &slices[..n]) {
            Poll::Pending => return,
            Poll::Ready(Ok(0) | Err(_)) => exchange.write_failed(),
            Poll::Ready(Ok(n)) => exchange.wrote(n),
        }
    }
}

impl BodyStream {
    /// Fills `out` with the bytes from offset `from` on.
    fn slices<'a>(&'a self, from: usize, out: &mut [IoSlice<'a>; MAX_IO_SLICES]) -> usize {
        let (mut offset, mut n) = (self.offset, 0);
        for piece in &self.pieces {
            let skip = from.saturating_sub(offset).min(piece.len());
            if skip < piece.len() {
                out[n] = IoSlice::new(&piece[skip..]);
                n += 1;
            }
            offset += piece.len();
        }
        n
    }
}

/// Takes the next piece of a body that the client is still sending.
fn poll_body_piece(
    cx: &mut Context<'_>,
    exchange: &mut Exchange,
    request: &AttemptRequest,
    body_stream: &mut Option<BodyStream>,
) -> Poll<BodyProgress> {
    let (written, _) = exchange.writable();
    let body_stream = match body_stream {
        Some(body_stream) => body_stream,
        None => {
            let Some(receiver) = request.upload.as_ref().and_then(Upload::take_receiver) else {
                return Poll::Ready(BodyProgress::Gone);
            };
            body_stream.insert(BodyStream { receiver, pieces: SmallVec::new(), offset: written })
        }
    };
    let chunked = request.encoded.is_chunked();
    body_stream.pieces.clear();
    match ready!(body_stream.receiver.poll_recv(cx)) {
        Some(Piece::Data(data)) if chunked => body_stream.pieces.extend(chunk(data)),
        Some(Piece::Data(data)) => body_stream.pieces.push(data),
        Some(Piece::End) => {
            exchange.finish_body();
            if chunked {
                body_stream.pieces.push(LAST_CHUNK);
            }
        }
        None => return Poll::Ready(BodyProgress::Gone),
    }
    body_stream.offset = written;
    exchange.extend_body(body_stream.pieces.iter().map(Bytes::len).sum());
    Poll::Ready(BodyProgress::Advanced)
}
