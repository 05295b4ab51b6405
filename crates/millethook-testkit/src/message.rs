//! Messages, and one end of a connection that a test scripts.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::WAIT_TIMEOUT;
use crate::violations::{Checked, record_violation, repeated_answer_field, repeated_field};

/// A message as it came: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// The first line: the request line or the status line.
    pub first: String,
    /// Names in lower case, and values, in order.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// It came to its end.
    pub complete: bool,
}

impl Message {
    /// The value of a field.
    ///
    /// # Panics
    /// It stands there more than once: a reader that takes one of several hides the others. The test fails, whatever
    /// thread this is.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.iter().filter(|h| h.0 == name).map(|h| h.1.as_str());
        let first = values.next();
        if values.next().is_some() {
            let text =
                format!("{}: {name} is read as one field and stands there twice", self.first);
            record_violation(text.clone());
            panic!("{text}");
        }
        first
    }

    /// Whether it is a request, and no answer.
    pub fn is_request(&self) -> bool {
        self.first.rsplit(' ').next().is_some_and(|version| version.starts_with("HTTP/1."))
    }

    /// The field that stands more than once though a message of its kind may hold it once only.
    pub fn repeated_field(&self) -> Option<&str> {
        let names = self.headers.iter().map(|h| h.0.as_str());
        if self.is_request() { repeated_field(names) } else { repeated_answer_field(names) }
    }

    /// The status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// One end of a connection, scripted by a test.
pub struct Conn {
    /// The socket.
    pub socket: TcpStream,
    reader: BufReader<TcpStream>,
    _checked: Checked,
}

impl Conn {
    /// A connection whose reads have the kit's bound.
    pub fn new(socket: TcpStream) -> Conn {
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        socket.set_nodelay(true).unwrap();
        let reader = BufReader::new(socket.try_clone().unwrap());
        Conn { socket, reader, _checked: Checked::default() }
    }

    /// Sends these bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        // A peer that has gone shows where its answer is read.
        let _ = self.socket.write_all(bytes.as_ref());
    }

    /// Waits for the first byte of the next message, and leaves it there. False: the connection ended first.
    pub fn has_next_message(&mut self) -> bool {
        self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
    }

    /// Reads a head; None: the connection ended first.
    ///
    /// A message that holds a field twice that may stand once only fails the test. Nobody gets it; a request is
    /// answered 400.
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
            let text =
                format!("{}: {name} stands there twice: {:?}", message.first, message.headers);
            record_violation(text);
            if message.is_request() {
                self.send("HTTP/1.1 400 Doubled\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
            return None;
        }
        Some(message)
    }

    /// Reads a whole message. None: nothing came; one that breaks off is not `whole`.
    pub fn message(&mut self) -> Option<Message> {
        let head = self.head()?;
        Some(self.rest_of(head))
    }

    /// Reads what belongs to a head that has been read.
    pub fn rest_of(&mut self, mut message: Message) -> Message {
        let length = message.header("content-length").map(|v| v.parse::<u64>().unwrap());
        let body = &mut message.body;
        message.complete = if message.headers.iter().any(|h| h.0 == "transfer-encoding") {
            chunks(&mut self.reader, body).is_some()
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

    /// Reads so many bytes of a body whose head has been read. None: the connection ended first.
    pub fn body(&mut self, length: u64) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        let got = (&mut self.reader).take(length).read_to_end(&mut body);
        (got.is_ok() && body.len() as u64 == length).then_some(body)
    }

    /// Whether the peer has ended or reset the connection, within the bound.
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

    /// From now on the connection is silently dead, as one whose host has vanished: a socket filter drops every packet
    /// that comes for it, so nothing is acknowledged, and nothing is sent. It must be kept, as closing it would tell.
    pub fn drop_incoming_packets(&self) {
        /// `BPF_RET | BPF_K`: the packet is cut down to so many bytes, here none.
        const RETURN: u16 = 0x06;
        let drop_all = [socket2::SockFilter::new(RETURN, 0, 0, 0)];
        socket2::SockRef::from(&self.socket).attach_filter(&drop_all).unwrap();
    }

    /// Ends it by a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.socket);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

fn chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
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

/// An answer of a server, its length announced.
pub fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// An answer with this status and these header lines, its length announced.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}
