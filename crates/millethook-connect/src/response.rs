//! An incremental decoder of answers (RFC 9112, sections 4 to 7). Heads are parsed by `httparse`, as in hyper. The
//! lengths of bodies follow section 6.3.

mod framing;
mod head;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};

use framing::Framing;
use head::Parsed;

/// The maximum length of a head. Without it, endless heads could fill the memory on every connection at once.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum length of a line with a chunk's size, including extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// The maximum number of interim answers before the final one.
const MAX_INTERIM_ANSWERS: u8 = 16;

/// The head of a final answer.
#[derive(Debug, PartialEq)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The length of the body, if the head gives it.
    pub length: Option<u64>,
}

/// The next decoded part of an answer.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// The head of the final answer.
    Head(ResponseHead),
    /// The next piece of the body, which is not empty.
    Data(Bytes),
    /// The end of the answer.
    End,
}

/// Why bytes are no valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The head is invalid or too long, or switches the protocol.
    Head,
    /// The length of the body is contradictory or invalid.
    Length,
    /// A chunk or the trailer is invalid or too long.
    Chunk,
    /// The connection ended before the end of the answer.
    Truncated,
}

/// What the decoder expects next, with the number of bytes that remain.
#[derive(Debug, Default, PartialEq)]
enum State {
    #[default]
    Head,
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Decodes one answer. Bytes behind its end stay in the buffer.
#[derive(Debug, Default)]
pub struct Decoder {
    state: State,
    keep_alive: bool,
    interim_answers: u8,
    /// The length of the trailers so far.
    trailer_bytes: usize,
}

impl Decoder {
    /// Decodes bytes from the front of `buf`; None if more are needed.
    ///
    /// # Errors
    /// The bytes are no valid answer, and the connection cannot be used any more.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Event>, Malformed> {
        loop {
            match self.state {
                State::Head => return self.head(buf),
                State::Length(0) => {
                    self.state = State::Done;
                    return Ok(Some(Event::End));
                }
                State::Length(remaining) => {
                    let Some(data) = take_up_to(buf, remaining) else { return Ok(None) };
                    self.state = State::Length(remaining - data.len() as u64);
                    return Ok(Some(Event::Data(data)));
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((line_len, size))) => {
                        let _ = buf.split_to(line_len);
                        self.state =
                            if size == 0 { State::Trailers } else { State::ChunkData(size) };
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= MAX_CHUNK_LINE_BYTES => {
                        return Ok(None);
                    }
                    _ => return Err(Malformed::Chunk),
                },
                State::ChunkData(remaining) => {
                    let Some(data) = take_up_to(buf, remaining) else { return Ok(None) };
                    let remaining = remaining - data.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::ChunkData(remaining) };
                    return Ok(Some(Event::Data(data)));
                }
                State::ChunkEnd => match buf.get(..2) {
                    None if b"\r\n".starts_with(buf) => return Ok(None),
                    Some(b"\r\n") => {
                        let _ = buf.split_to(2);
                        self.state = State::ChunkSize;
                    }
                    _ => return Err(Malformed::Chunk),
                },
                State::Trailers => {
                    let Some(end) = buf.iter().position(|&byte| byte == b'\n') else {
                        let too_long = self.trailer_bytes + buf.len() > MAX_HEAD_BYTES;
                        return if too_long { Err(Malformed::Chunk) } else { Ok(None) };
                    };
                    self.trailer_bytes += end + 1;
                    if self.trailer_bytes > MAX_HEAD_BYTES {
                        return Err(Malformed::Chunk);
                    }
                    let line = buf.split_to(end + 1);
                    if matches!(&line[..], b"\r\n" | b"\n") {
                        self.state = State::Done;
                        return Ok(Some(Event::End));
                    }
                }
                State::UntilClose => return Ok(take_up_to(buf, u64::MAX).map(Event::Data)),
                State::Done => return Ok(None),
            }
        }
    }

    /// Handles the end of the server's stream. To be called when [`Decoder::next`] returns None.
    ///
    /// # Errors
    /// The answer is incomplete.
    pub fn on_eof(&mut self) -> Result<Event, Malformed> {
        match self.state {
            State::UntilClose => {
                self.state = State::Done;
                Ok(Event::End)
            }
            _ => Err(Malformed::Truncated),
        }
    }

    /// Whether the head of the final answer has come.
    pub fn has_head(&self) -> bool {
        self.state != State::Head
    }

    /// Whether the head has come and allows another answer on the connection.
    pub fn keeps_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether the complete answer has come.
    pub fn is_complete(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the complete answer has come and the connection may carry another one.
    pub fn reusable(&self) -> bool {
        self.is_complete() && self.keep_alive
    }

    /// Decodes a head and prepares to decode the body.
    fn head(&mut self, buf: &mut BytesMut) -> Result<Option<Event>, Malformed> {
        loop {
            match head::parse(buf)? {
                None => return Ok(None),
                Some(Parsed::Interim) if self.interim_answers >= MAX_INTERIM_ANSWERS => {
                    return Err(Malformed::Head);
                }
                Some(Parsed::Interim) => self.interim_answers += 1,
                Some(Parsed::Final(head, body)) => {
                    self.keep_alive = body.keep_alive;
                    self.state = match body.framing {
                        Framing::Length(length) => State::Length(length),
                        Framing::Chunked => State::ChunkSize,
                        Framing::UntilClose => State::UntilClose,
                    };
                    return Ok(Some(Event::Head(head)));
                }
            }
        }
    }
}

/// Whether the bytes that follow an answer begin a different answer, so that it is unknown which of the two belongs to
/// the request. A second copy of the answer, noise and an incomplete head do not count.
pub fn is_different_answer(mut following: BytesMut, status: StatusCode, body: &[u8]) -> bool {
    let mut decoder = Decoder::default();
    match decoder.next(&mut following) {
        Ok(Some(Event::Head(head))) if head.status == status => {}
        Ok(Some(Event::Head(_))) => return true,
        _ => return false,
    }
    let mut expected = body;
    loop {
        match decoder.next(&mut following) {
            Ok(Some(Event::Data(piece))) => match expected.strip_prefix(&piece[..]) {
                Some(rest) => expected = rest,
                None => return true,
            },
            Ok(Some(Event::End)) => return !expected.is_empty(),
            _ => return false,
        }
    }
}

/// Takes up to `max_len` bytes from the front of `buf`; None if it is empty.
fn take_up_to(buf: &mut BytesMut, max_len: u64) -> Option<Bytes> {
    let len = usize::try_from(max_len).unwrap_or(usize::MAX).min(buf.len());
    (len > 0).then(|| buf.split_to(len).freeze())
}
