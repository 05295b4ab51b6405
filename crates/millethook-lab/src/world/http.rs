//! Whole HTTP/1.1 messages over one connection, for stand-ins: heads by `httparse`, bodies with an announced
//! length.

use std::io;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest head, and the longest body.
const LONGEST_HEAD: usize = 16 << 10;
const LONGEST_BODY: usize = 1 << 20;
const MAX_HEADERS: usize = 64;

/// A message as it came.
#[derive(Clone, Debug)]
pub struct Message {
    /// A request's target, or empty.
    pub target: String,
    /// An answer's status, or 0.
    pub status: u16,
    /// Headers in lower case.
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was there.
    pub first_byte: Instant,
}

impl Message {
    /// The name of a header that stands there more than once. Neither clients nor servers of the lab have one that
    /// may.
    pub fn duplicate_header(&self) -> Option<&str> {
        duplicate_header(&self.headers)
    }

    /// A header's value, of several the first: [`Message::duplicate_header`] tells whether there are.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
}

/// What stands on a connection between two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing.
    Clean,
    /// Bytes that belong to no message.
    Stray,
    /// The other side has ended it.
    Closed,
}

/// One end of a connection.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    first_byte: Option<Instant>,
}

impl HttpConnection {
    /// Takes a connection over.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // Without it small messages wait for acknowledgements; a stream that refuses is ended soon anyway.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new(), first_byte: None }
    }

    /// Writes all of it.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// The next request; None: the connection ended between two. Cancel-safe: what was read is kept.
    pub async fn request(&mut self) -> io::Result<Option<Message>> {
        self.message(|buffer| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let length = match head.parse(buffer).map_err(invalid)? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(length) => length,
            };
            let target = head.path.unwrap_or_default().to_owned();
            Ok(Some((length, target, 0, owned(head.headers))))
        })
        .await
    }

    /// The next answer; None: the connection ended before its first byte. Cancel-safe.
    ///
    /// # Errors
    /// It cannot be read, or holds a header twice.
    pub async fn answer(&mut self) -> io::Result<Option<Message>> {
        self.message(|buffer| {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let length = match head.parse(buffer).map_err(invalid)? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(length) => length,
            };
            let headers = owned(head.headers);
            match duplicate_header(&headers) {
                Some(name) => Err(invalid(format!("{name}: once expected"))),
                None => Ok(Some((length, String::new(), head.code.unwrap_or(0), headers))),
            }
        })
        .await
    }

    async fn message(
        &mut self,
        parse: impl Fn(&[u8]) -> io::Result<Option<Head>>,
    ) -> io::Result<Option<Message>> {
        loop {
            if let Some((head, target, status, headers)) = parse(&self.buffer)? {
                let announced = headers.iter().find(|h| h.0 == "content-length");
                let length = announced.map_or(Ok(0), |h| h.1.parse::<usize>());
                let length = length.map_err(invalid)?;
                if length > LONGEST_BODY {
                    return Err(invalid("a shorter body expected"));
                }
                if self.buffer.len() >= head + length {
                    let body = self.buffer[head..head + length].to_vec();
                    self.buffer.drain(..head + length);
                    let first_byte = self.first_byte.take().unwrap_or_else(Instant::now);
                    return Ok(Some(Message { target, status, headers, body, first_byte }));
                }
            } else if self.buffer.len() > LONGEST_HEAD {
                return Err(invalid("a shorter head expected"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            self.first_byte.get_or_insert_with(Instant::now);
        }
    }

    /// Whether bytes of an unfinished message are at hand.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// What stands on the connection now, without waiting.
    pub fn idle_state(&mut self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::Stray;
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::Stray,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => IdleState::Clean,
            Err(_) => IdleState::Closed,
        }
    }

    /// Waits until the other side ends the connection, and leaves what it sends meanwhile.
    pub async fn ended(&mut self) {
        let mut rest = [0; 1024];
        while !matches!(self.stream.read(&mut rest).await, Ok(0) | Err(_)) {}
    }

    /// Ends it by a reset.
    pub fn reset(self) {
        // Linger of zero is what makes a close a reset; where it fails, the close is an orderly one.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// The length of a head, a request's target, an answer's status, the headers.
type Head = (usize, String, u16, Vec<(String, String)>);

fn duplicate_header(headers: &[(String, String)]) -> Option<&str> {
    let mut names = headers.iter().enumerate();
    let again =
        names.find(|(nth, header)| headers[..*nth].iter().any(|earlier| earlier.0 == header.0));
    again.map(|(_, header)| header.0.as_str())
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    let own = |h: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(h.value).trim().to_owned();
        (h.name.to_ascii_lowercase(), value)
    };
    headers.iter().map(own).collect()
}

fn invalid(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e)
}

/// An answer with its length announced; `headers` end with a line break each.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}
