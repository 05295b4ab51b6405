//! Answers, read as their bytes come: RFC 9112, sections 4 to 7. The head is parsed by `httparse`, as
//! hyper has it; body lengths follow section 6.3.

mod framing;
mod head;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};

use framing::Framing;
use head::Parsed;

/// The longest head in bytes. A head without end would fill memory, on every connection at once.
pub const LONGEST_HEAD: usize = 16 << 10;
/// The longest line that tells a chunk's size, extensions included.
const LONGEST_CHUNK_LINE: usize = 1024;
/// The most interim answers ahead of one answer.
const MOST_INTERIM: u8 = 16;

/// The head of a final answer.
#[derive(Debug, PartialEq)]
pub struct ResponseHead {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
    /// The body's length, where the head tells it.
    pub length: Option<u64>,
}

/// What bytes of an answer come to.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// The head of the final answer.
    Head(ResponseHead),
    /// The next piece of its body; not empty.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Why bytes are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The head cannot be read, is too long, or changes the protocol.
    Head,
    /// The body's length is told in two ways, or in none that makes sense.
    Length,
    /// A chunk cannot be read.
    Chunk,
    /// The connection ended within it.
    Truncated,
}

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

/// Reads one answer. Bytes beyond its end stay in the buffer.
#[derive(Debug, Default)]
pub struct Decoder {
    state: State,
    keep_alive: bool,
    interim: u8,
    /// Bytes of trailers so far.
    trailers: usize,
}

impl Decoder {
    /// Takes what it can use from `buf`. None: it needs more.
    ///
    /// # Errors
    /// The bytes are no answer; the connection is of no more use.
    pub fn next(&mut self, buf: &mut BytesMut) -> Result<Option<Event>, Malformed> {
        loop {
            match self.state {
                State::Head => return self.head(buf),
                State::Length(0) => {
                    self.state = State::Done;
                    return Ok(Some(Event::End));
                }
                State::Length(left) => {
                    let Some(data) = piece(buf, left) else { return Ok(None) };
                    self.state = State::Length(left - data.len() as u64);
                    return Ok(Some(Event::Data(data)));
                }
                State::ChunkSize => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((n, size))) => {
                        let _ = buf.split_to(n);
                        self.state =
                            if size == 0 { State::Trailers } else { State::ChunkData(size) };
                    }
                    Ok(httparse::Status::Partial) if buf.len() <= LONGEST_CHUNK_LINE => {
                        return Ok(None);
                    }
                    _ => return Err(Malformed::Chunk),
                },
                State::ChunkData(left) => {
                    let Some(data) = piece(buf, left) else { return Ok(None) };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
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
                        let too_long = self.trailers + buf.len() > LONGEST_HEAD;
                        return if too_long { Err(Malformed::Chunk) } else { Ok(None) };
                    };
                    self.trailers += end + 1;
                    if self.trailers > LONGEST_HEAD {
                        return Err(Malformed::Chunk);
                    }
                    let line = buf.split_to(end + 1);
                    if matches!(&line[..], b"\r\n" | b"\n") {
                        self.state = State::Done;
                        return Ok(Some(Event::End));
                    }
                }
                State::UntilClose => return Ok(piece(buf, u64::MAX).map(Event::Data)),
                State::Done => return Ok(None),
            }
        }
    }

    /// The server sends no more. Call it when [`Decoder::next`] can use nothing more.
    ///
    /// # Errors
    /// The answer is not whole.
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

    /// Whether the head, once it has come, lets the connection carry another answer.
    pub fn keeps_alive(&self) -> bool {
        self.keep_alive
    }

    /// Whether the whole answer has come.
    pub fn is_complete(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the whole answer has come, and its connection may carry another one.
    pub fn reusable(&self) -> bool {
        self.is_complete() && self.keep_alive
    }

    /// Reads a head, and goes on with what it says of the body.
    fn head(&mut self, buf: &mut BytesMut) -> Result<Option<Event>, Malformed> {
        loop {
            match head::parse(buf)? {
                None => return Ok(None),
                Some(Parsed::Interim) if self.interim >= MOST_INTERIM => {
                    return Err(Malformed::Head);
                }
                Some(Parsed::Interim) => self.interim += 1,
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

/// Whether bytes that came behind an answer begin another one that differs from it, so that the bytes do not tell which
/// of the two was asked for. A second copy of the answer, noise, and a head that is cut short do not count.
pub fn is_different_answer(mut behind: BytesMut, status: StatusCode, body: &[u8]) -> bool {
    let mut decoder = Decoder::default();
    match decoder.next(&mut behind) {
        Ok(Some(Event::Head(head))) if head.status == status => {}
        Ok(Some(Event::Head(_))) => return true,
        _ => return false,
    }
    let mut same = body;
    loop {
        match decoder.next(&mut behind) {
            Ok(Some(Event::Data(piece))) => match same.strip_prefix(&piece[..]) {
                Some(rest) => same = rest,
                None => return true,
            },
            Ok(Some(Event::End)) => return !same.is_empty(),
            _ => return false,
        }
    }
}

/// Takes the next bytes, `most` at most; None: there are none.
fn piece(buf: &mut BytesMut, most: u64) -> Option<Bytes> {
    let n = usize::try_from(most).unwrap_or(usize::MAX).min(buf.len());
    (n > 0).then(|| buf.split_to(n).freeze())
}
