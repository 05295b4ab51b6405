//! Bodies: those of requests, held whole within a budget or passed on as they come, and those of long
//! answers.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use millethook_connect::request::Framing;
use millethook_engine::budget::{ByteReservation, MAX_BODY_BYTES};
use millethook_engine::driver::StreamingReply;
use millethook_engine::upload::{UploadError, UploadSender};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Bodies are kept in pieces of this size.
const PIECE: usize = 64 << 10;

/// The least rate, in bytes a second, at which a body may come. Members on weak lines send at 64 kB a
/// second; a quarter of that is slower than any line that is of use.
const LEAST_RATE: f64 = 16_000.0;
/// How long a body may stand still at first, and what it can save up by coming faster. A client that sends
/// half a body and stops holds a connection, and its part of the budget, for so long.
const GRACE: Duration = Duration::from_millis(1500);

/// Why a request's body could not be read.
#[derive(Debug)]
pub enum ReadError<E> {
    /// It is longer than it may be.
    TooLong,
    /// It comes more slowly than [`Pace`] allows.
    TooSlow,
    /// It broke off.
    Broken(E),
}

/// How long a sender may keep one waiting: bytes that come earn time, waiting for them spends it.
///
/// Only the wait for the sender counts. What stands still because nobody reads it costs it nothing.
#[derive(Debug)]
pub struct Pace {
    left: Duration,
    most: Duration,
}

impl Pace {
    /// A sender who is to keep to the least rate, with 1.5 s of grace at first.
    pub fn new() -> Pace {
        Pace { left: GRACE, most: GRACE }
    }

    /// A sender who may take as long as it likes.
    pub fn unbounded() -> Pace {
        Pace { left: Duration::MAX, most: Duration::MAX }
    }

    /// Waits for the sender; None: its time is spent.
    async fn wait<T>(&mut self, sender: impl Future<Output = T>) -> Option<T> {
        if self.left == Duration::MAX {
            return Some(sender.await);
        }
        let since = Instant::now();
        let got = timeout(self.left, sender).await.ok();
        self.left = self.left.saturating_sub(since.elapsed());
        got
    }

    /// So many bytes have come.
    fn earn(&mut self, bytes: usize) {
        let earned = Duration::from_secs_f64(bytes as f64 / LEAST_RATE);
        self.left = self.left.saturating_add(earned).min(self.most);
    }
}

impl Default for Pace {
    fn default() -> Pace {
        Pace::new()
    }
}

/// What has been read of a body.
#[derive(Debug)]
pub enum Held {
    /// All of it.
    Whole(Vec<Bytes>),
    /// More than [`MAX_BODY_BYTES`] bytes, and more may follow.
    Part(Vec<Bytes>),
}

/// Reads as much of a body as is held, on the `account`: all of it, or its first [`MAX_BODY_BYTES`] bytes and
/// the piece in which they end.
///
/// Room is taken before bytes are here; else the budget would be overdrawn by all who send
/// at once. What is not yet read waits in the client.
///
/// # Errors
/// Says whether it is announced as longer than `most` bytes, comes too slowly or broke off.
///
/// Dropped on the way, it gives back nothing: that is the account's own part.
pub async fn hold<B>(
    body: &mut B,
    most: u64,
    account: &mut ByteReservation,
    pace: &mut Pace,
) -> Result<Held, ReadError<B::Error>>
where
    B: Body + Unpin,
{
    let mut pieces = Vec::new();
    let mut piece = BytesMut::new();
    let mut left = MAX_BODY_BYTES;
    // What is announced as too long need not be waited for.
    if body.size_hint().lower() > most {
        return Err(ReadError::TooLong);
    }
    if body.is_end_stream() {
        return Ok(Held::Whole(pieces));
    }
    account.grow(PIECE).await;
    let more = loop {
        let frame = pace.wait(body.frame()).await.ok_or(ReadError::TooSlow)?;
        let Some(frame) = frame else { break false };
        let Ok(mut data) = frame.map_err(ReadError::Broken)?.into_data() else { continue };
        pace.earn(data.remaining());
        let rest = left.checked_sub(data.remaining());
        while data.has_remaining() {
            // Bodies that come byte by byte would cost many times their size if each
            // byte were kept as it came.
            let n = data.remaining().min(PIECE - piece.len());
            piece.put(data.copy_to_bytes(n));
            if piece.len() == PIECE {
                pieces.push(std::mem::take(&mut piece).freeze());
                account.grow(PIECE).await;
            }
        }
        match rest {
            Some(rest) => left = rest,
            None => break true,
        }
    };
    if !piece.is_empty() {
        pieces.push(piece.freeze());
    }
    Ok(if more { Held::Part(pieces) } else { Held::Whole(pieces) })
}

/// How servers are told the length of a body of which `held` bytes are here.
pub fn framing(body: &impl Body, held: u64) -> Framing {
    body.size_hint().exact().map_or(Framing::Chunked, |rest| Framing::Length(held + rest))
}

/// Why the rest of a body was not passed on.
#[derive(Debug)]
pub enum FeedError<E> {
    /// The sender's part.
    Read(ReadError<E>),
    /// The server's part.
    NotTaken(UploadError),
}

/// Passes on what follows the part of a body that is held, `held` bytes long, up to `most` bytes in all.
///
/// # Errors
/// Says which side broke off, or was too slow. The body is not whole then, and the server is not told that
/// it is.
pub async fn feed<B>(
    body: &mut B,
    held: u64,
    most: u64,
    pace: &mut Pace,
    feed: UploadSender,
) -> Result<(), FeedError<B::Error>>
where
    B: Body + Unpin,
{
    let mut room = most.saturating_sub(held);
    loop {
        let frame = pace.wait(body.frame()).await.ok_or(FeedError::Read(ReadError::TooSlow))?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|e| FeedError::Read(ReadError::Broken(e)))?;
        let Ok(mut data) = frame.into_data() else { continue };
        let n = data.remaining();
        pace.earn(n);
        room = room.checked_sub(n as u64).ok_or(FeedError::Read(ReadError::TooLong))?;
        if n > 0 {
            feed.send(data.copy_to_bytes(n)).await.map_err(FeedError::NotTaken)?;
        }
    }
    feed.end().await.map_err(FeedError::NotTaken)
}

/// The client has gone, or cannot be told anything more.
#[derive(Debug)]
pub struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is of no more use")
    }
}

impl std::error::Error for Gone {}

/// A long answer's body.
pub struct Pieces {
    pieces: mpsc::Receiver<Option<Bytes>>,
    left: Option<u64>,
}

impl From<StreamingReply> for Pieces {
    fn from(long: StreamingReply) -> Pieces {
        Pieces { pieces: long.pieces, left: long.length }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Gone;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Gone>>> {
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Some(piece)) => {
                self.left = self.left.map(|l| l.saturating_sub(piece.len() as u64));
                Some(Ok(Frame::data(piece)))
            }
            Some(None) => None,
            // It broke off.
            None => Some(Err(Gone)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
