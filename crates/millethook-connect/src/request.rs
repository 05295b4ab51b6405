//! A request as it goes to servers.

use std::fmt::Display;
use std::io::{IoSlice, Write};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Uri};

/// The most pieces that are written at once.
pub const MAX_IO_SLICES: usize = 8;

/// How long the caller still waits, in whole milliseconds. Each attempt has its own figure.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// Fields that [`EncodedRequest`] owns. It alone writes them, each at most once; what a caller's headers hold
/// under these names is not copied.
///
/// Without this list a server gets two values for one field: the caller's own and the encoder's behind it, and
/// which of them it believes is its choice. `host` is the one whose value the caller may give.
pub static OWNED: [&HeaderName; 5] =
    [&HOST, &CONTENT_LENGTH, &TRANSFER_ENCODING, &TIME_LEFT, &CONNECTION];

/// What a request says of its connection (RFC 9112, section 9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// Nothing: the connection may carry another request.
    KeepAlive,
    /// `Connection: close`: it is the connection's last request.
    Close,
}

/// The parts of a request that all its attempts share, encoded once (RFC 9112, sections 3 and 5).
#[derive(Debug)]
pub struct EncodedRequest {
    /// The request line and the caller's fields, without the empty line; none of [`OWNED`] is among them but those
    /// that frame the body.
    head: Vec<u8>,
    /// What the caller calls the server; None: each attempt names the address that it goes to.
    host: Option<HeaderValue>,
    body: Vec<Bytes>,
    body_len: usize,
    chunked: bool,
}

/// How the length of a body is told to servers (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// All of it is here.
    Complete,
    /// More follows, up to so many bytes in all.
    Length(u64),
    /// More follows, and nobody knows how much.
    Chunked,
}

/// One chunk of a body, in three pieces.
pub fn chunk(data: Bytes) -> [Bytes; 3] {
    let size = Bytes::from(format!("{:x}\r\n", data.len()));
    [size, data, Bytes::from_static(b"\r\n")]
}

/// What ends a body that is sent in chunks.
pub const LAST_CHUNK: Bytes = Bytes::from_static(b"0\r\n\r\n");

impl EncodedRequest {
    /// Encodes a request. Fields in [`OWNED`] are not copied from `headers` but made anew, `host` with the value that
    /// stands there first: the body is whole, and its length is known.
    pub fn new(method: &Method, target: &Uri, headers: &HeaderMap, body: Vec<Bytes>) -> Self {
        Self::framed(method, target, headers, body, Framing::Complete)
    }

    /// The same for a body of which `body` may be the first part only.
    pub fn framed(
        method: &Method,
        target: &Uri,
        headers: &HeaderMap,
        body: Vec<Bytes>,
        framing: Framing,
    ) -> Self {
        let chunked = framing == Framing::Chunked;
        let body: Vec<Bytes> =
            if chunked { body.into_iter().flat_map(chunk).collect() } else { body };
        let body_len = body.iter().map(Bytes::len).sum();
        let path = target.path_and_query().map_or("/", |path| path.as_str());
        let fields: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
        let mut head = Vec::with_capacity(method.as_str().len() + path.len() + fields + 48);
        for part in [method.as_str(), " ", path, " HTTP/1.1\r\n"] {
            head.extend_from_slice(part.as_bytes());
        }
        for (name, value) in headers {
            if !OWNED.contains(&name) {
                head.extend_from_slice(name.as_str().as_bytes());
                head.extend_from_slice(b": ");
                head.extend_from_slice(value.as_bytes());
                head.extend_from_slice(b"\r\n");
            }
        }
        // RFC 9110, section 8.6: one without a body says so where its method could have one.
        // Writing to a vector does not fail.
        let _ = match framing {
            Framing::Complete if body_len == 0 && *method == Method::GET => Ok(()),
            Framing::Complete => write!(head, "content-length: {body_len}\r\n"),
            Framing::Length(all) => write!(head, "content-length: {all}\r\n"),
            Framing::Chunked => write!(head, "transfer-encoding: chunked\r\n"),
        };
        EncodedRequest { head, host: headers.get(HOST).cloned(), body, body_len, chunked }
    }

    /// The head of one attempt: with its own [`TIME_LEFT`], with `host` where the request names none, and with what it
    /// says of its connection.
    pub fn head_into(
        &self,
        out: &mut Vec<u8>,
        left_ms: u64,
        host: impl Display,
        persistence: Persistence,
    ) {
        out.clear();
        // Room for the fields that follow.
        out.reserve(self.head.len() + self.host.as_ref().map_or(0, HeaderValue::len) + 96);
        out.extend_from_slice(&self.head);
        // Writing to a vector does not fail.
        out.extend_from_slice(b"host: ");
        match &self.host {
            Some(named) => out.extend_from_slice(named.as_bytes()),
            None => drop(write!(out, "{host}")),
        }
        let _ = write!(out, "\r\n{TIME_LEFT}: {left_ms}\r\n");
        if persistence == Persistence::Close {
            out.extend_from_slice(b"connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }

    /// Whether the body goes out in chunks.
    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    /// Bytes of the body that are here, chunks' own bytes among them.
    pub fn body_len(&self) -> usize {
        self.body_len
    }

    /// The pieces of `head` and the body that lie from `from` up to `to`, counted from the head's
    /// first byte, as far as there is room for them; how many there are.
    pub fn slices<'a>(
        &'a self,
        head: &'a [u8],
        (from, to): (usize, usize),
        out: &mut [IoSlice<'a>; MAX_IO_SLICES],
    ) -> usize {
        let (mut at, mut n) = (0, 0);
        for piece in std::iter::once(head).chain(self.body.iter().map(|piece| &**piece)) {
            let (first, last) = (from.max(at), to.min(at + piece.len()));
            if first < last
                && let Some(place) = out.get_mut(n)
            {
                *place = IoSlice::new(&piece[first - at..last - at]);
                n += 1;
            }
            at += piece.len();
        }
        n
    }
}

#[cfg(test)]
mod tests;
