//! Bodies of messages: request bodies, buffered within a memory budget or forwarded as they arrive, and the
//! bodies of streaming answers.

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
use millethook_engine::upload::{UploadError, UploadSender, UploadSource};
use tokio::sync::mpsc;
use tokio::time::{timeout, timeout_at};

/// Size of the chunks in which a body is buffered and charged.
const CHUNK_BYTES: usize = 16 << 10;
/// Size of the frames in which bodies usually arrive.
const FRAME_BYTES: usize = 8 << 10;

/// Lowest average rate at which a client may send a body. Clients on weak links send at 64 kB/s; a quarter
/// of that is slower than any usable link.
const MIN_BYTES_PER_SECOND: f64 = 16_000.0;
/// How long a body may stall at first, and the most stall time that a fast sender can save up. A client
/// that sends half a body and stops holds its connection and its part of the memory budget for this long.
const MAX_STALL: Duration = Duration::from_millis(1500);

/// Reason why a request body could not be read.
#[derive(Debug)]
pub enum ReadError<E> {
    /// The body is longer than allowed.
    TooLong,
    /// The body arrives more slowly than [`StallBudget`] allows.
    TooSlow,
    /// No memory was available for the body in time. The client may have sent all of it.
    NoMemory,
    /// The connection failed before the end of the body.
    Broken(E),
}

/// Time for which a sender may stall: received bytes add to it, waiting for the sender uses it up.
///
/// Only time spent waiting for the sender counts. Time in which the receiver does not read costs the sender
/// nothing.
#[derive(Debug)]
pub struct StallBudget {
    remaining: Duration,
    cap: Duration,
}

impl StallBudget {
    /// A budget that enforces the minimum rate, with an initial 1.5 s of stall time.
    pub fn new() -> StallBudget {
        StallBudget { remaining: MAX_STALL, cap: MAX_STALL }
    }

    /// A budget without a limit.
    pub fn unbounded() -> StallBudget {
        StallBudget { remaining: Duration::MAX, cap: Duration::MAX }
    }

    /// Waits for the sender. Returns None if the budget runs out first.
    async fn wait<T>(&mut self, sender: impl Future<Output = T>) -> Option<T> {
        if self.remaining == Duration::MAX {
            return Some(sender.await);
        }
        let started = Instant::now();
        let result = timeout(self.remaining, sender).await.ok();
        self.remaining = self.remaining.saturating_sub(started.elapsed());
        result
    }

    /// Adds the stall time that this number of received bytes is worth.
    fn credit(&mut self, bytes: usize) {
        let credited = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND);
        self.remaining = self.remaining.saturating_add(credited).min(self.cap);
    }
}

impl Default for StallBudget {
    fn default() -> StallBudget {
        StallBudget::new()
    }
}

/// Limits on a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The longest body.
    pub max_bytes: u64,
    /// Bytes that are buffered without being charged, because they are part of what a connection may take. Shorter
    /// bodies never wait for others.
    pub uncharged_bytes: usize,
}

/// The buffered part of a body.
#[derive(Debug)]
pub enum BufferedBody {
    /// The complete body.
    Complete(Vec<Bytes>),
    /// More than [`MAX_BODY_BYTES`] bytes; more may follow.
    Partial(Vec<Bytes>),
}

/// Buffers a body, with its memory charged to `account`: the complete body, or its first [`MAX_BODY_BYTES`]
/// bytes up to the end of the frame in which that limit is exceeded.
///
/// Memory is reserved before the bytes are buffered, because otherwise many clients that send at the same time
/// would overdraw the budget. Unread bytes wait at the client. `due` says until when memory may be waited for:
/// the client may have sent everything by now, and then it waits for its answer already.
///
/// # Errors
/// Fails if the announced length exceeds `max_bytes`, the body arrives too slowly, there is no memory for it in
/// time, or the connection fails.
///
/// If the future is dropped, the reserved memory stays with `account`, which releases it.
pub async fn buffer_body<B>(
    body: &mut B,
    limits: BodyLimits,
    account: &mut ByteReservation,
    stall_budget: &mut StallBudget,
    due: impl Fn() -> Instant,
) -> Result<BufferedBody, ReadError<B::Error>>
where
    B: Body + Unpin,
{
    let mut pieces = Vec::new();
    let mut room = MAX_BODY_BYTES;
    // A body that is announced as too long is rejected without waiting for it.
    if body.size_hint().lower() > limits.max_bytes {
        return Err(ReadError::TooLong);
    }
    if body.is_end_stream() {
        return Ok(BufferedBody::Complete(pieces));
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut piece = BytesMut::with_capacity(limits.uncharged_bytes.min(announced));
    let mut free_bytes = limits.uncharged_bytes;
    let partial = loop {
        // Otherwise each frame that waits for memory would take some of its own.
        let nothing_read = free_bytes == limits.uncharged_bytes;
        if free_bytes < next_frame_bytes(body, nothing_read.then_some(free_bytes)) {
            grow(account, &mut free_bytes, &due).await?;
        }
        let frame = stall_budget.wait(body.frame()).await.ok_or(ReadError::TooSlow)?;
        let Some(frame) = frame else { break false };
        let Ok(mut data) = frame.map_err(ReadError::Broken)?.into_data() else { continue };
        stall_budget.credit(data.remaining());
        let after = room.checked_sub(data.remaining());
        while data.has_remaining() {
            // Copies into full chunks: if each received frame were kept as it is, a body that arrives byte
            // by byte would take many times its size in memory.
            if free_bytes == 0 {
                grow(account, &mut free_bytes, &due).await?;
            }
            if piece.len() == piece.capacity() {
                let chunk = BytesMut::with_capacity(free_bytes.min(CHUNK_BYTES));
                let full = std::mem::replace(&mut piece, chunk);
                pieces.extend((!full.is_empty()).then(|| full.freeze()));
            }
            let n = data.remaining().min(piece.capacity() - piece.len()).min(free_bytes);
            free_bytes -= n;
            piece.put(data.copy_to_bytes(n));
        }
        match after {
            Some(after) => room = after,
            None => break true,
        }
    };
    if !piece.is_empty() {
        pieces.push(piece.freeze());
    }
    Ok(if partial { BufferedBody::Partial(pieces) } else { BufferedBody::Complete(pieces) })
}

/// Room that the next frame of a body may need. `first`: what is assumed for the first frame of a body of unknown
/// length, which may be short.
fn next_frame_bytes(body: &impl Body, first: Option<usize>) -> usize {
    match body.size_hint().exact() {
        Some(rest) => usize::try_from(rest).unwrap_or(usize::MAX).min(FRAME_BYTES),
        None => first.filter(|&first| first > 0).unwrap_or(FRAME_BYTES),
    }
}

/// Charges one more chunk, once there is memory for it.
async fn grow<E>(
    account: &mut ByteReservation,
    free_bytes: &mut usize,
    due: &impl Fn() -> Instant,
) -> Result<(), ReadError<E>> {
    let growth = timeout_at(due().into(), account.grow(CHUNK_BYTES)).await;
    growth.map_err(|_| ReadError::NoMemory)?;
    *free_bytes += CHUNK_BYTES;
    Ok(())
}

/// Framing of the request to the server, for a body of which `buffered` bytes have been read.
pub fn framing(body: &impl Body, buffered: u64) -> Framing {
    body.size_hint().exact().map_or(Framing::Chunked, |rest| Framing::Length(buffered + rest))
}

/// Reason why the rest of a body was not forwarded.
#[derive(Debug)]
pub enum ForwardError<E> {
    /// The client's side failed.
    Read(ReadError<E>),
    /// The server's side failed.
    NotTaken(UploadError),
}

/// Forwards the part of a body that follows the `buffered` bytes read so far. The complete body may have at
/// most `max_bytes` bytes. `source` tells when the client may have sent its end.
///
/// # Errors
/// Says which side failed or was too slow. The body is then incomplete, and it is not finished towards the
/// server, so that the server does not take it for complete.
pub async fn forward_rest<B>(
    body: &mut B,
    buffered: u64,
    max_bytes: u64,
    stall_budget: &mut StallBudget,
    feed: UploadSender,
    source: &impl UploadSource,
) -> Result<(), ForwardError<B::Error>>
where
    B: Body + Unpin,
{
    let mut room = max_bytes.saturating_sub(buffered);
    loop {
        let frame =
            stall_budget.wait(body.frame()).await.ok_or(ForwardError::Read(ReadError::TooSlow))?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|e| ForwardError::Read(ReadError::Broken(e)))?;
        let Ok(mut data) = frame.into_data() else { continue };
        let n = data.remaining();
        stall_budget.credit(n);
        room = room.checked_sub(n as u64).ok_or(ForwardError::Read(ReadError::TooLong))?;
        if n > 0 {
            let unread = body.size_hint().exact();
            let piece = data.copy_to_bytes(n);
            feed.send(piece, unread, source).await.map_err(ForwardError::NotTaken)?;
        }
    }
    feed.end(source).await.map_err(ForwardError::NotTaken)
}

/// Error of a client connection that was closed or can carry no further response.
#[derive(Debug)]
pub struct ClientGone;

impl std::fmt::Display for ClientGone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the client connection was closed or can no longer be used")
    }
}

impl std::error::Error for ClientGone {}

/// Body of a streaming answer.
pub struct StreamingBody {
    pieces: mpsc::Receiver<Option<Bytes>>,
    remaining: Option<u64>,
}

impl From<StreamingReply> for StreamingBody {
    fn from(reply: StreamingReply) -> StreamingBody {
        StreamingBody { pieces: reply.pieces, remaining: reply.length }
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = ClientGone;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ClientGone>>> {
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Some(piece)) => {
                self.remaining =
                    self.remaining.map(|remaining| remaining.saturating_sub(piece.len() as u64));
                Some(Ok(Frame::data(piece)))
            }
            Some(None) => None,
            // The server's answer ended early.
            None => Some(Err(ClientGone)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
