//! HTTP messages, and one end of a connection that a test scripts.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::WAIT_TIMEOUT;
use crate::violations::{ViolationGuard, record_violation, repeated_answer_field, repeated_field};

/// A received message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// Names in lower case and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body, without framing.
    pub body: Vec<u8>,
    /// The message was received up to its end.
    pub complete: bool,
}

impl Message {
    /// The value of a header field.
    ///
    /// # Panics
    ///
    /// If the field is repeated, as reading one of several values would hide the others. The test
    /// fails, whichever thread this is called on.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|h| h.0 == name).map(|h| h.1.as_str());
        let first = values.next();
        if values.next().is_some() {
            let text = format!("{}: {name} is read as one field and is repeated", self.first);
            record_violation(text.clone());
            panic!("{text}");
        }
        first
    }

    /// Whether this is a request rather than an answer.
    pub fn is_request(&self) -> bool {
        self.first.rsplit(' ').next().is_some_and(|version| version.starts_with("HTTP/1."))
    }

    /// A field that is repeated although a message of its kind may contain it only once.
    pub fn repeated_field(&self) -> Option<&str> {
        let names = self.headers.iter().map(|h| h.0.as_str());
        if self.is_request() { repeated_field(names) } else { repeated_answer_field(names) }
    }

    /// The status of an answer; 0 if the first line contains none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// One end of a connection, scripted by a test.
pub struct Conn {
    /// The socket.
    pub socket: TcpStream,
    reader: BufReader<TcpStream>,
    _guard: ViolationGuard,
}

impl Conn {
    /// Wraps a socket and sets the read timeout of the test kit.
    pub fn new(socket: TcpStream) -> Conn {
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        socket.set_nodelay(true).unwrap();
        let reader = BufReader::new(socket.try_clone().unwrap());
        Conn { socket, reader, _guard: ViolationGuard::default() }
    }

    /// Sends these bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        // A closed connection shows when the answer is read.
        let _ = self.socket.write_all(bytes.as_ref());
    }

    /// Waits for the first byte of the next message without consuming it. False: the connection
    /// ended first.
    pub fn has_next_message(&mut self) -> bool {
        self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
    }

    /// Reads a head. None: the connection ended first.
    ///
    /// A message that repeats a field which may occur only once fails the test. It is not returned;
    /// a request is answered 400.
    pub fn head(&mut self) -> Option<Message> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
                return None;
            }
            let line = line.trim_end().to_owned();
            if line.is_empty() {
                break;
            }
            lines.push(line);
        }
        let mut lines = lines.into_iter();
        let first = lines.next()?;
        let headers = lines.filter_map(|l| {
            let (name, value) = l.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        });
        let message = Message { first, headers: headers.collect(), ..Message::default() };
        if let Some(name) = message.repeated_field() {
            let text = format!("{}: {name} is repeated: {:?}", message.first, message.headers);
            record_violation(text);
            if message.is_request() {
                self.send("HTTP/1.1 400 Doubled\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
            return None;
        }
        Some(message)
    }

    /// Reads a message. None: the connection ended before its head was complete. `complete` is
    /// false if it broke off after that.
    pub fn message(&mut self) -> Option<Message> {
        let head = self.head()?;
        Some(self.rest_of(head))
    }

    /// Reads the body that follows a head.
    pub fn rest_of(&mut self, mut message: Message) -> Message {
        let length = message.header("content-length").map(|v| v.parse::<u64>().unwrap());
        let body = &mut message.body;
        message.complete = if message.headers.iter().any(|h| h.0 == "transfer-encoding") {
            read_chunks(&mut self.reader, body).is_some()
        } else {
            let length = length.unwrap_or(0);
            let got = (&mut self.reader).take(length).read_to_end(body);
            got.is_ok() && body.len() as u64 == length
        };
        message
    }

    /// Sends a request and reads its answer.
    pub fn request(&mut self, request: impl AsRef<[u8]>) -> Option<Message> {
        self.send(request);
        self.message()
    }

    /// Reads a body of this length after its head. None: the connection ended first.
    pub fn body(&mut self, length: u64) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        let got = (&mut self.reader).take(length).read_to_end(&mut body);
        (got.is_ok() && body.len() as u64 == length).then_some(body)
    }

    /// Whether the peer closes or resets the connection within the timeout.
    pub fn closed_by_peer(&mut self) -> bool {
        let mut rest = [0; 4096];
        loop {
            match self.reader.read(&mut rest) {
                Ok(0) => return true,
                Ok(_) => continue,
                Err(e) => {
                    use std::io::ErrorKind::{TimedOut, WouldBlock};
                    return !matches!(e.kind(), TimedOut | WouldBlock);
                }
            }
        }
    }

    /// Makes the connection dead without closing it, as after the loss of the host: a socket filter
    /// drops every packet that arrives, so nothing is acknowledged, and nothing is sent. Keep the
    /// value alive, as closing the socket would notify the peer.
    pub fn drop_incoming_packets(&self) {
        /// `BPF_RET | BPF_K`: truncates the packet to this many bytes, here none.
        const RETURN: u16 = 0x06;
        let drop_all = [socket2::SockFilter::new(RETURN, 0, 0, 0)];
        socket2::SockRef::from(&self.socket).attach_filter(&drop_all).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.socket);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = line.trim().split(';').next()?;
        let size = u64::from_str_radix(size, 16).ok()?;
        let before = body.len() as u64;
        reader.take(size).read_to_end(body).ok()?;
        if body.len() as u64 != before + size {
            return None;
        }
        line.clear();
        reader.read_line(&mut line).ok()?;
        if size == 0 {
            return (line == "\r\n").then_some(());
        }
    }
}

/// An answer with status 200 and a `Content-Length`.
pub fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// An answer with this status, these header lines and a `Content-Length`.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}
