//! Parsing of request heads. The daemon and the library both use this module, so that they treat the same
//! request in the same way.
//!
//! A head must identify its request unambiguously. If the class, the tenant, the id or the key is given
//! twice, the balancer and a server could read different values, so such a head is rejected.

use std::time::Duration;

use coppercart::api::Micros;
use coppercart::settings::RetrySafety;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use millethook_engine::driver::RequestHead;
use millethook_engine::names::{Names, stable_hash};

mod forwarding;
mod invalid;
mod path;

pub use forwarding::end_to_end_headers;
pub use invalid::Invalid;
use path::unambiguous_class;

/// How long the client will wait, in whole milliseconds. The header is not forwarded: the encoder writes
/// the value for the server.
pub use millethook_connect::request::TIME_LEFT;

static HOST: HeaderName = header::HOST;
/// Header with the id of the request, which is new for each request.
pub static CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Header with the tenant.
pub static ACCOUNT: HeaderName = HeaderName::from_static("x-account");
/// Header by which servers drop duplicates.
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that marks a retry by the client itself, with the value `1`.
pub static REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// Header with an estimate of the request's work, in microseconds.
pub static WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// Headers that may occur at most once in a head.
static SINGLE_VALUE_HEADERS: [&HeaderName; 7] =
    [&HOST, &CORRELATION_ID, &ACCOUNT, &IDEMPOTENCY_KEY, &TIME_LEFT, &REPEAT, &WEIGHT_HINT];

/// Values that a caller knows about a request beside its head. A value that the head states as well must be
/// the same.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadOverrides<'a> {
    /// The class, if it is not the first segment of the path.
    pub class: Option<&'a str>,
    /// How long the client will wait.
    pub left: Option<Duration>,
    /// Key of the object that the request concerns.
    pub key: Option<u64>,
}

/// Returns the value of a header that may occur at most once.
fn at_most_one<'h>(
    headers: &'h HeaderMap,
    name: &'static HeaderName,
) -> Result<Option<&'h HeaderValue>, Invalid> {
    let mut all = headers.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() { Err(Invalid::Doubled(name.as_str())) } else { Ok(first) }
}

fn header_text<'h>(
    name: &'static HeaderName,
    value: Option<&'h HeaderValue>,
) -> Result<Option<&'h str>, Invalid> {
    let text = value.map(HeaderValue::to_str).transpose();
    text.map(|t| t.map(str::trim)).map_err(|_| Invalid::Header(name.as_str()))
}

/// Returns the text of a header that may occur at most once.
///
/// # Errors
/// Fails if the header occurs twice or is not text.
pub fn single_value<'h>(
    headers: &'h HeaderMap,
    name: &'static HeaderName,
) -> Result<Option<&'h str>, Invalid> {
    header_text(name, at_most_one(headers, name)?)
}

/// Parses the value of the [`TIME_LEFT`] header.
///
/// # Errors
/// Fails if the value is not a number of milliseconds below 2^32.
pub fn parse_time_left(text: &str) -> Result<Duration, Invalid> {
    let millis = text.parse::<u32>().map_err(|_| Invalid::Header(TIME_LEFT.as_str()))?;
    Ok(Duration::from_millis(millis.into()))
}

/// Parses a request head. Returns what the head asks for and the request's id.
///
/// # Errors
/// Fails if a required value is missing, invalid or given in two different ways.
pub fn parse_head<'h>(
    names: &Names,
    method: &Method,
    uri: &Uri,
    headers: &'h HeaderMap,
    overrides: HeadOverrides<'_>,
) -> Result<(RequestHead, &'h str), Invalid> {
    for name in SINGLE_VALUE_HEADERS {
        at_most_one(headers, name)?;
    }
    let text = |name: &'static HeaderName| header_text(name, headers.get(name));
    let path_class = unambiguous_class(uri.path())?;
    let class = overrides.class.unwrap_or(path_class);
    // Servers choose the class by the path, so the two classes of such a request would differ between the
    // balancer and the server.
    if class != path_class && names.classes.contains_key(path_class) {
        return Err(Invalid::Disagree("class"));
    }
    let class = names.classes.get(class).ok_or_else(|| Invalid::UnknownClass(class.to_owned()))?;
    let has_key = text(&IDEMPOTENCY_KEY)?.is_some();
    let expected = if class.repeat == RetrySafety::Safe { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(Invalid::Method { expected });
    }
    if class.repeat != RetrySafety::Safe && has_key != (class.repeat == RetrySafety::Keyed) {
        return Err(Invalid::Key { needed: class.repeat == RetrySafety::Keyed });
    }
    let id = text(&CORRELATION_ID)?.filter(|id| !id.is_empty());
    let id = id.ok_or(Invalid::Missing(CORRELATION_ID.as_str()))?;
    let tenant = match text(&ACCOUNT)? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(Invalid::Missing(ACCOUNT.as_str())),
        Some(name) => {
            let known = names.tenants.get(name).copied();
            known.ok_or_else(|| Invalid::UnknownTenant(name.to_owned()))?
        }
    };
    let left = match (overrides.left, text(&TIME_LEFT)?) {
        (Some(left), None) => left,
        (Some(left), Some(value)) if value.parse() == Ok(left.as_millis()) => left,
        (Some(_), Some(_)) => return Err(Invalid::Disagree(TIME_LEFT.as_str())),
        (None, None) => return Err(Invalid::Missing(TIME_LEFT.as_str())),
        (None, Some(value)) => parse_time_left(value)?,
    };
    let cookie = headers.get_all(header::COOKIE).iter().find_map(cookie_key);
    let key = match (overrides.key, cookie) {
        (Some(given), Some(cookie)) if given != cookie => return Err(Invalid::Disagree("cookie")),
        (given, cookie) => given.or(cookie).unwrap_or(0),
    };
    let request_head = RequestHead {
        class: class.index,
        repeatable: class.repeat != RetrySafety::Unsafe,
        streaming: class.streaming,
        aim: class.aim,
        tenant,
        key,
        // Without this bound, a client that claims a long timeout keeps its request and the resources of
        // the request for that long, while a shutdown waits only for the longest deadline.
        left: left.min(class.deadline),
        hint: text(&WEIGHT_HINT)?.and_then(|v| v.parse::<Micros>().ok()),
        repeat: text(&REPEAT)? == Some("1"),
    };
    Ok((request_head, id))
}

/// Reads the key from the cookie `k`.
fn cookie_key(cookies: &HeaderValue) -> Option<u64> {
    let pairs = cookies.to_str().ok()?.split(';').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(name, _)| name.trim() == "k").map(|(_, v)| v.trim()).next()?;
    Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| stable_hash(value.as_bytes())))
}
