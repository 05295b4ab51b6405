//! Where the body of an answer ends, and whether the connection may carry another answer (RFC 9112, sections 6.3 and
//! 9.3).

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

use super::Malformed;

/// What delimits a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// A length in bytes.
    Length(u64),
    /// Chunks, the last of which is empty.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

impl Framing {
    /// The length of the body in bytes, if the head gives it.
    pub(super) fn length(self) -> Option<u64> {
        match self {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// What a head says about its body and its connection.
pub(super) struct BodyInfo {
    /// What delimits the body.
    pub(super) framing: Framing,
    /// Whether the connection may carry another answer.
    pub(super) keep_alive: bool,
}

impl BodyInfo {
    /// Reads the framing of the answer to a GET or POST request.
    ///
    /// # Errors
    /// The length is contradictory or invalid.
    pub(super) fn from_head(
        status: StatusCode,
        headers: &HeaderMap,
        http_11: bool,
    ) -> Result<BodyInfo, Malformed> {
        let keep_alive = match http_11 {
            true => !connection_has_option(headers, "close"),
            false => connection_has_option(headers, "keep-alive"),
        };
        if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
            return Ok(BodyInfo { framing: Framing::Length(0), keep_alive });
        }
        if let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            let last = coding.to_str().ok().and_then(|text| text.rsplit(',').next());
            let chunked = last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"));
            let framing = if chunked { Framing::Chunked } else { Framing::UntilClose };
            // An answer that also gives a length may be framed differently by an intermediary.
            let unambiguous = !headers.contains_key(CONTENT_LENGTH);
            return Ok(BodyInfo { framing, keep_alive: keep_alive && unambiguous });
        }
        let framing = content_length(headers)?.map_or(Framing::UntilClose, Framing::Length);
        Ok(BodyInfo { framing, keep_alive })
    }
}

/// Whether the `Connection` fields contain this option.
fn connection_has_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut options = values.flat_map(|value| value.split(','));
    options.any(|other| other.trim().eq_ignore_ascii_case(option))
}

/// The length in the `Content-Length` fields, which must all agree; None if there are none.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Malformed> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| Malformed::Length)?;
        for part in text.split(',').map(str::trim) {
            let digits = !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
            let parsed = part.parse::<u64>().ok().filter(|_| digits);
            let parsed = parsed.ok_or(Malformed::Length)?;
            if length.replace(parsed).is_some_and(|previous| previous != parsed) {
                return Err(Malformed::Length);
            }
        }
    }
    Ok(length)
}
