//! HTTP/1.1 connections for stand-ins and clients: heads are parsed by `httparse`, bodies have a `Content-Length`.

use std::io;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum length of a head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 64;

/// A received message.
#[derive(Clone, Debug)]
pub struct Message {
    /// A request's target; empty for an answer.
    pub target: String,
    /// An answer's status; 0 for a request.
    pub status: u16,
    /// Headers, with names in lower case.
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte: Instant,
}

impl Message {
    /// The name of a header that occurs more than once. No header that the lab's clients and servers use may repeat.
    pub fn duplicate_header(&self) -> Option<&str> {
        duplicate_header(&self.headers)
    }

    /// A header's value; the first one if the header repeats, see [`Message::duplicate_header`].
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
}

/// State of a connection between two messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Open, without unread bytes.
    Clean,
    /// Unread bytes that belong to no expected message.
    Stray,
    /// Closed by the other side.
    Closed,
}

/// One side of an HTTP/1.1 connection.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    first_byte: Option<Instant>,
}

impl HttpConnection {
    /// Wraps a TCP stream.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // Without TCP_NODELAY small messages wait for acknowledgements. The call fails only on a broken stream.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::new(), first_byte: None }
    }

    /// Writes all bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next request; `None` if the connection ended between requests. Cancel-safe: bytes read are kept.
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

    /// Reads the next answer; `None` if the connection ended before its first byte. Cancel-safe.
    ///
    /// # Errors
    /// The answer cannot be read or parsed, or repeats a header.
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
                Some(name) => Err(invalid(format!("{name}: header occurs more than once"))),
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
                let content_length = headers.iter().find(|h| h.0 == "content-length");
                let length = content_length.map_or(Ok(0), |h| h.1.parse::<usize>());
                let length = length.map_err(invalid)?;
                if length > MAX_BODY_BYTES {
                    return Err(invalid("body exceeds the maximum length"));
                }
                if self.buffer.len() >= head + length {
                    let body = self.buffer[head..head + length].to_vec();
                    self.buffer.drain(..head + length);
                    let first_byte = self.first_byte.take().unwrap_or_else(Instant::now);
                    return Ok(Some(Message { target, status, headers, body, first_byte }));
                }
            } else if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid("head exceeds the maximum length"));
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

    /// Whether bytes of an incomplete message have been read.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Checks the connection between two messages, without waiting.
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

    /// Waits until the other side closes the connection, and discards what it sends meanwhile.
    pub async fn wait_closed(&mut self) {
        let mut discarded = [0; 1024];
        while !matches!(self.stream.read(&mut discarded).await, Ok(0) | Err(_)) {}
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        // A linger time of zero turns the close into a reset; if setting it fails, the close is a normal one.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// A parsed head: its length, a request's target, an answer's status, and the headers.
type Head = (usize, String, u16, Vec<(String, String)>);

fn duplicate_header(headers: &[(String, String)]) -> Option<&str> {
    let mut names = headers.iter().enumerate();
    let duplicate =
        names.find(|(nth, header)| headers[..*nth].iter().any(|earlier| earlier.0 == header.0));
    duplicate.map(|(_, header)| header.0.as_str())
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

/// Formats an answer with a `Content-Length`; each line of `headers` ends with a line break.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}
