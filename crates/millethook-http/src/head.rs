//! What a request's head asks for. Every form reads heads here, so that all of them take the same
//! requests for the same.
//!
//! Identity is single: a head that names its class, its tenant, its id or its key in two ways could
//! be one request to the balancer and another one to a server, and is turned away.

use std::time::Duration;

use coppercart::api::Micros;
use coppercart::settings::Repeat;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use millethook_engine::driver::RequestHead;
use millethook_engine::names::{Names, stable_hash};

mod forwarding;
mod invalid;
mod path;

pub use forwarding::passed_on;
pub use invalid::Invalid;
use path::one_class;

/// How long the client will wait, in whole milliseconds. It ends at this hop: what servers are told is the encoder's.
pub use millethook_connect::request::TIME_LEFT;

static HOST: HeaderName = header::HOST;
/// The request's id, new with every request.
pub static CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// The tenant.
pub static ACCOUNT: HeaderName = HeaderName::from_static("x-account");
/// By what servers drop repeats.
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `1`: a client's own repeat.
pub static REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// A guess at the work, in microseconds.
pub static WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
/// Headers that may stand in a head once at most.
static SINGLE: [&HeaderName; 7] =
    [&HOST, &CORRELATION_ID, &ACCOUNT, &IDEMPOTENCY_KEY, &TIME_LEFT, &REPEAT, &WEIGHT_HINT];

/// What may be known of a request beside its head. Where both say something, it has to be the same.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadOverrides<'a> {
    /// The class, where it is not the path's first part.
    pub class: Option<&'a str>,
    /// How long the client will wait.
    pub left: Option<Duration>,
    /// What the request is about.
    pub key: Option<u64>,
}

/// A header's value, if it stands in the head once.
fn once<'h>(
    headers: &'h HeaderMap,
    name: &'static HeaderName,
) -> Result<Option<&'h HeaderValue>, Invalid> {
    let mut all = headers.get_all(name).iter();
    let first = all.next();
    if all.next().is_some() { Err(Invalid::Doubled(name.as_str())) } else { Ok(first) }
}

fn text<'h>(
    name: &'static HeaderName,
    value: Option<&'h HeaderValue>,
) -> Result<Option<&'h str>, Invalid> {
    let text = value.map(HeaderValue::to_str).transpose();
    text.map(|t| t.map(str::trim)).map_err(|_| Invalid::Header(name.as_str()))
}

/// The text of a header that may stand in a head once at most.
///
/// # Errors
/// It stands there twice, or is no text.
pub fn single_value<'h>(
    headers: &'h HeaderMap,
    name: &'static HeaderName,
) -> Result<Option<&'h str>, Invalid> {
    text(name, once(headers, name)?)
}

/// What [`TIME_LEFT`] says.
///
/// # Errors
/// It is no number of milliseconds below 2^32.
pub fn parse_time_left(text: &str) -> Result<Duration, Invalid> {
    let millis = text.parse::<u32>().map_err(|_| Invalid::Header(TIME_LEFT.as_str()))?;
    Ok(Duration::from_millis(millis.into()))
}

/// What a head asks for, and the request's id.
///
/// # Errors
/// Heads that say too little, the wrong thing, or two things.
pub fn parse_head<'h>(
    names: &Names,
    method: &Method,
    uri: &Uri,
    headers: &'h HeaderMap,
    overrides: HeadOverrides<'_>,
) -> Result<(RequestHead, &'h str), Invalid> {
    for name in SINGLE {
        once(headers, name)?;
    }
    let text = |name: &'static HeaderName| text(name, headers.get(name));
    let of_path = one_class(uri.path())?;
    let class = overrides.class.unwrap_or(of_path);
    // Servers go by the path: a request that names one class there and another here would be two.
    if class != of_path && names.classes.contains_key(of_path) {
        return Err(Invalid::Disagree("class"));
    }
    let class = names.classes.get(class).ok_or_else(|| Invalid::UnknownClass(class.to_owned()))?;
    let keyed = text(&IDEMPOTENCY_KEY)?.is_some();
    let expected = if class.repeat == Repeat::Safe { Method::GET } else { Method::POST };
    if *method != expected {
        return Err(Invalid::Method { expected });
    }
    if class.repeat != Repeat::Safe && keyed != (class.repeat == Repeat::Keyed) {
        return Err(Invalid::Key { needed: class.repeat == Repeat::Keyed });
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
    let cookie = headers.get_all(header::COOKIE).iter().find_map(key);
    let key = match (overrides.key, cookie) {
        (Some(a), Some(b)) if a != b => return Err(Invalid::Disagree("cookie")),
        (a, b) => a.or(b).unwrap_or(0),
    };
    let request_head = RequestHead {
        class: class.index,
        repeatable: class.repeat != Repeat::Unsafe,
        streaming: class.streaming,
        aim: class.aim,
        tenant,
        key,
        // Without this bound, a client's claimed timeout keeps its request, with all that belongs to it,
        // here for as long, and a planned end waits for the longest deadline only.
        left: left.min(class.deadline),
        hint: text(&WEIGHT_HINT)?.and_then(|v| v.parse::<Micros>().ok()),
        repeat: text(&REPEAT)? == Some("1"),
    };
    Ok((request_head, id))
}

/// What the cookie `k` names.
fn key(cookies: &HeaderValue) -> Option<u64> {
    let pairs = cookies.to_str().ok()?.split(';').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(name, _)| name.trim() == "k").map(|(_, v)| v.trim()).next()?;
    Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| stable_hash(value.as_bytes())))
}
