//! The heads of answers (RFC 9112, sections 4 and 5), parsed by `httparse`.

use std::mem::MaybeUninit;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use smallvec::SmallVec;

use super::framing::BodyInfo;
use super::{MAX_HEAD_BYTES, Malformed, ResponseHead};

/// The maximum number of fields in a head.
const MAX_FIELDS: usize = 100;
/// Up to this many fields, the ranges of a head's fields need no allocation.
const INLINE_FIELDS: usize = 16;

/// A parsed head.
pub(super) enum Parsed {
    /// The head of an interim answer (1xx).
    Interim,
    /// The head of the final answer, and what it says about the body.
    Final(ResponseHead, BodyInfo),
}

/// Parses a head at the front of `buf` and removes it; None if it is incomplete.
///
/// # Errors
/// The bytes are no valid head, or switch the protocol.
pub(super) fn parse(buf: &mut BytesMut) -> Result<Option<Parsed>, Malformed> {
    // A head is parsed again from its start whenever more of it comes. The cost is quadratic in its length, which is
    // limited. Waiting for the empty line would cost less, but noise has to be recognized at its first bytes.
    let mut fields = [const { MaybeUninit::uninit() }; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut []);
    let mut config = httparse::ParserConfig::default();
    config.allow_obsolete_multiline_headers_in_responses(true);
    let end = match config.parse_response_with_uninit_headers(&mut response, buf, &mut fields) {
        Ok(httparse::Status::Complete(end)) if end <= MAX_HEAD_BYTES => end,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(Malformed::Head),
    };
    let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(Malformed::Head)?;
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(Malformed::Head);
    }
    if status.is_informational() {
        let _ = buf.split_to(end);
        return Ok(Some(Parsed::Interim));
    }
    let http_11 = response.version == Some(1);
    let base = buf.as_ptr() as usize;
    let range_of = |part: &[u8]| {
        let from = part.as_ptr() as usize - base;
        from..from + part.len()
    };
    let fields = response.headers.iter();
    let field_ranges: SmallVec<[_; INLINE_FIELDS]> =
        fields.map(|field| (range_of(field.name.as_bytes()), range_of(field.value))).collect();
    let bytes = buf.split_to(end).freeze();
    let mut headers = HeaderMap::with_capacity(field_ranges.len());
    for (name, value) in field_ranges {
        let name = HeaderName::from_bytes(&bytes[name]).map_err(|_| Malformed::Head)?;
        let value = bytes.slice(value);
        let value = if value.iter().any(|byte| matches!(byte, b'\r' | b'\n')) {
            // A folded line (RFC 9112, section 5.2): its line break is replaced by spaces.
            let unfolded = value.iter().map(|&b| if matches!(b, b'\r' | b'\n') { b' ' } else { b });
            HeaderValue::from_maybe_shared(Bytes::from_iter(unfolded))
        } else {
            HeaderValue::from_maybe_shared(value)
        };
        headers.append(name, value.map_err(|_| Malformed::Head)?);
    }
    let body = BodyInfo::from_head(status, &headers, http_11)?;
    let length = body.framing.length();
    Ok(Some(Parsed::Final(ResponseHead { status, headers, length }, body)))
}
