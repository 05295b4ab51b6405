//! The encoding of requests to servers.

use std::fmt::Display;
use std::io::{IoSlice, Write};

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Uri};

/// The maximum number of slices in one vectored write.
pub const MAX_IO_SLICES: usize = 8;

/// The header with the time that the caller still waits, in whole milliseconds. Each attempt has its own value.
pub static TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// The header fields that only [`EncodedRequest`] writes, each at most once. The caller's fields with these names are
/// not copied; only the value of `host` may come from the caller.
///
/// Without this list a server would get two values for one field, the caller's and the encoder's, and might use either.
pub static ENCODER_OWNED: [&HeaderName; 5] =
    [&HOST, &CONTENT_LENGTH, &TRANSFER_ENCODING, &TIME_LEFT, &CONNECTION];

/// What a request says about its connection (RFC 9112, section 9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// Nothing: the connection may carry another request.
    KeepAlive,
    /// `Connection: close`: this is the last request on the connection.
    Close,
}

/// The parts of a request that all its attempts share, encoded once (RFC 9112, sections 3 and 5).
#[derive(Debug)]
pub struct EncodedRequest {
    /// The request line and the caller's fields, without the empty line. Of [`ENCODER_OWNED`] it has only the fields
    /// that frame the body.
    head: Vec<u8>,
    /// The caller's `host` value; None: each attempt names the address of its server.
    host: Option<HeaderValue>,
    body: Vec<Bytes>,
    body_len: usize,
    chunked: bool,
}

/// How a request frames its body (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body is complete.
    Complete,
    /// More of the body follows, up to this total length in bytes.
    Length(u64),
    /// More of the body follows, and its length is unknown.
    Chunked,
}

/// Encodes one chunk of a body, as three pieces.
pub fn chunk(data: Bytes) -> [Bytes; 3] {
    let size = Bytes::from(format!("{:x}\r\n", data.len()));
    [size, data, Bytes::from_static(b"\r\n")]
}

/// The end of a chunked body.
pub const LAST_CHUNK: Bytes = Bytes::from_static(b"0\r\n\r\n");

impl EncodedRequest {
    /// Encodes a request with a complete body. Fields in [`ENCODER_OWNED`] are not copied from `headers`, except for
    /// the first value of `host`.
    pub fn new(method: &Method, target: &Uri, headers: &HeaderMap, body: Vec<Bytes>) -> Self {
        Self::framed(method, target, headers, body, Framing::Complete)
    }

    /// Like [`EncodedRequest::new`], where `body` may be only the first part of the body.
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
        let fields_len: usize =
            headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
        let mut head = Vec::with_capacity(method.as_str().len() + path.len() + fields_len + 48);
        for part in [method.as_str(), " ", path, " HTTP/1.1\r\n"] {
            head.extend_from_slice(part.as_bytes());
        }
        for (name, value) in headers {
            if !ENCODER_OWNED.contains(&name) {
                head.extend_from_slice(name.as_str().as_bytes());
                head.extend_from_slice(b": ");
                head.extend_from_slice(value.as_bytes());
                head.extend_from_slice(b"\r\n");
            }
        }
        // A request without a body says so if its method allows one (RFC 9110, section 8.6).
        // Writing to a vector cannot fail.
        let _ = match framing {
            Framing::Complete if body_len == 0 && *method == Method::GET => Ok(()),
            Framing::Complete => write!(head, "content-length: {body_len}\r\n"),
            Framing::Length(total) => write!(head, "content-length: {total}\r\n"),
            Framing::Chunked => write!(head, "transfer-encoding: chunked\r\n"),
        };
        EncodedRequest { head, host: headers.get(HOST).cloned(), body, body_len, chunked }
    }

    /// Writes the head of one attempt to `out`, with the attempt's [`TIME_LEFT`] and persistence. `host` is used if the
    /// caller gave none.
    pub fn head_into(
        &self,
        out: &mut Vec<u8>,
        time_left_ms: u64,
        host: impl Display,
        persistence: Persistence,
    ) {
        out.clear();
        // Reserves room for the fields that follow.
        out.reserve(self.head.len() + self.host.as_ref().map_or(0, HeaderValue::len) + 96);
        out.extend_from_slice(&self.head);
        // Writing to a vector cannot fail.
        out.extend_from_slice(b"host: ");
        match &self.host {
            Some(named) => out.extend_from_slice(named.as_bytes()),
            None => drop(write!(out, "{host}")),
        }
        let _ = write!(out, "\r\n{TIME_LEFT}: {time_left_ms}\r\n");
        if persistence == Persistence::Close {
            out.extend_from_slice(b"connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }

    /// Whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.chunked
    }

    /// The number of encoded bytes of the body so far, including the framing of chunks.
    pub fn body_len(&self) -> usize {
        self.body_len
    }

    /// Fills `out` with the slices of `head` and the body in the range from `from` to `to`, counted from the start of
    /// the head, as far as there is room. Returns the number of slices.
    pub fn slices<'a>(
        &'a self,
        head: &'a [u8],
        (from, to): (usize, usize),
        out: &mut [IoSlice<'a>; MAX_IO_SLICES],
    ) -> usize {
        let (mut offset, mut count) = (0, 0);
        for piece in std::iter::once(head).chain(self.body.iter().map(|piece| &**piece)) {
            let (first, last) = (from.max(offset), to.min(offset + piece.len()));
            if first < last
                && let Some(slot) = out.get_mut(count)
            {
                *slot = IoSlice::new(&piece[first - offset..last - offset]);
                count += 1;
            }
            offset += piece.len();
        }
        count
    }
}

#[cfg(test)]
mod tests;
