//! A request on its connection: writing it, following its body, reading events of its answer.

use std::future::poll_fn;
use std::io::IoSlice;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

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
use crate::upstream::connection::{Connection, Lease};

/// How long an answer that has begun may stand still. It is written in one go, so what stops is cut
/// short or was given too great a length. Danger: over a line that loses packets an answer may
/// pause for as long as its system takes to send them again, some 200 ms.
const STANDSTILL: Duration = Duration::from_millis(100);

/// There will be no whole answer: the bytes or the connection say so, or it has begun and then stood
/// still. What that means for the request, its [`Exchange`] tells.
#[derive(Debug)]
pub(in crate::upstream) struct Broken;

/// One request on one connection.
pub(in crate::upstream) struct Running {
    pub lease: Lease,
    pub exchange: Exchange,
    /// How its answer is told to be its own.
    pub matching: Matching,
    /// What the request says of its connection.
    pub persistence: Persistence,
    /// What its answer is remembered by; None: the connection carries no other request.
    pub answer: Option<Fingerprint>,
    /// The request and its head, until all of it is out.
    message: Option<(Rc<AttemptRequest>, Vec<u8>)>,
    /// What has to hold until it may have run.
    gate: Gate,
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
    /// A request of which nothing is out. `figures` are told when all of it is.
    pub fn new(
        lease: Lease,
        exchange: Exchange,
        message: (Rc<AttemptRequest>, Vec<u8>),
        gate: Gate,
        figures: Option<Rc<Figures>>,
    ) -> Running {
        Running {
            lease,
            exchange,
            matching: Matching::Trust,
            persistence: Persistence::KeepAlive,
            answer: None,
            message: Some(message),
            gate,
            figures,
            following: None,
        }
    }

    /// Writes what may be written, and reads.
    ///
    /// Danger: a server that answers early may read the body all the same, and may need it to end its
    /// answer: what is left of the request goes out while the answer comes in.
    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Result<Step, Failure>> {
        let Running { lease, exchange, message, gate, figures, following, .. } = self;
        let Some(connection) = lease.connection() else {
            return Poll::Ready(Err(Failure::Closed));
        };
        if let Some((request, head)) = message {
            let (from, to) = exchange.writable();
            let commits = from < to && exchange.execution() == Execution::NeverRan;
            if commits && !gate.may_commit(request, Instant::now()) {
                return Poll::Ready(Err(Failure::Closed));
            }
            loop {
                write(cx, connection, exchange, &request.encoded, head, following);
                if !exchange.needs_more_body() {
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

    /// Whether the rest of a body passes through here, and so nowhere else.
    pub fn follows(&self) -> bool {
        self.following.is_some()
    }

    /// Whether the caller has broken off within a body that is being passed on.
    pub fn caller_gone(&self) -> bool {
        let following = self.following.as_ref();
        following.is_some_and(|f| f.rest.is_closed() && f.rest.is_empty())
            && self.exchange.needs_more_body()
    }

    pub fn begun(&mut self) -> bool {
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
        let mut slices = [IoSlice::new(&[]); MAX_IO_SLICES];
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
    fn slices<'a>(&'a self, from: usize, out: &mut [IoSlice<'a>; MAX_IO_SLICES]) -> usize {
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
            exchange.finish_body();
            if chunked {
                following.pieces.push(LAST_CHUNK);
            }
        }
        None => return Poll::Ready(Followed::Gone),
    }
    following.at = written;
    exchange.extend_body(following.pieces.iter().map(Bytes::len).sum());
    Poll::Ready(Followed::Changed)
}
