//! The attributes of a call: set in code, in headers, or inherited from the request being handled.

use std::time::Duration;

use http::header::{HeaderName, HeaderValue};
use http::request::Parts;
use millethook_engine::driver::RequestHead;
use millethook_engine::names::Names;
use millethook_http::head::{
    self, ACCOUNT, CORRELATION_ID, HeadOverrides, IDEMPOTENCY_KEY, Invalid, REPEAT, TIME_LEFT,
    WEIGHT_HINT,
};

use crate::inherit::Inherited;

/// Attributes of a request, stored in its extensions. Attributes that are not set are read from the
/// headers that the daemon reads, then from what the current handler has inherited. An attribute that is
/// set both here and in a header must have the same value in both.
#[derive(Clone, Debug, Default)]
pub struct RequestMeta {
    class: Option<String>,
    tenant: Option<String>,
    timeout: Option<Duration>,
    key: Option<u64>,
    idempotency_key: Option<String>,
    correlation: Option<String>,
    hint: Option<Duration>,
    repeat: bool,
}

impl RequestMeta {
    /// No attributes set.
    pub fn new() -> RequestMeta {
        RequestMeta::default()
    }

    /// The class, if it is not the first segment of the path.
    pub fn class(mut self, class: impl Into<String>) -> RequestMeta {
        self.class = Some(class.into());
        self
    }

    /// The tenant (`X-Account`).
    pub fn tenant(mut self, tenant: impl Into<String>) -> RequestMeta {
        self.tenant = Some(tenant.into());
        self
    }

    /// How long the caller waits, from the call on (`X-Time-Left-Ms`). It is cut to the rest of an
    /// inherited timeout and to the class's deadline.
    pub fn timeout(mut self, timeout: Duration) -> RequestMeta {
        self.timeout = Some(timeout);
        self
    }

    /// The key of the data that the request is about (the cookie `k`), so that it goes to a server that
    /// has this data cached.
    pub fn key(mut self, key: u64) -> RequestMeta {
        self.key = Some(key);
        self
    }

    /// The key by which servers drop repeats (`Idempotency-Key`).
    pub fn idempotency_key(mut self, key: impl Into<String>) -> RequestMeta {
        self.idempotency_key = Some(key.into());
        self
    }

    /// The request's id (`X-Correlation-Id`), unique to each request. Default: the id of the request being
    /// handled with a number appended, or a random id.
    pub fn correlation(mut self, id: impl Into<String>) -> RequestMeta {
        self.correlation = Some(id.into());
        self
    }

    /// An estimate of the server's work (`X-Weight-Hint`).
    pub fn hint(mut self, work: Duration) -> RequestMeta {
        self.hint = Some(work);
        self
    }

    /// Marks the request as a repeat of an earlier one (`X-Repeat`).
    pub fn repeat(mut self) -> RequestMeta {
        self.repeat = true;
        self
    }
}

/// Sets a header; one that exists already must have the same value.
fn set_header(head: &mut Parts, name: &'static HeaderName, value: &str) -> Result<(), Invalid> {
    match head.headers.get(name) {
        Some(existing) if existing.to_str().is_ok_and(|text| text.trim() == value) => Ok(()),
        Some(_) => Err(Invalid::Disagree(name.as_str())),
        None => {
            let value = HeaderValue::from_str(value).map_err(|_| Invalid::Header(name.as_str()))?;
            head.headers.insert(name, value);
            Ok(())
        }
    }
}

/// Reads the attributes of a call and its id, and sets the headers that servers need.
pub(crate) fn read_attributes(
    names: &Names,
    head: &mut Parts,
    meta: RequestMeta,
    inherited: Option<&Inherited>,
    new_id: impl FnOnce() -> String,
) -> Result<(RequestHead, String), Invalid> {
    let typed = [
        (&CORRELATION_ID, meta.correlation),
        (&ACCOUNT, meta.tenant),
        (&IDEMPOTENCY_KEY, meta.idempotency_key),
        (&WEIGHT_HINT, meta.hint.map(|t| t.as_micros().to_string())),
        (&REPEAT, meta.repeat.then(|| "1".to_owned())),
    ];
    for (name, value) in typed {
        if let Some(value) = value {
            set_header(head, name, &value)?;
        }
    }
    if let Some(from) = inherited {
        if !head.headers.contains_key(&ACCOUNT)
            && let Some(tenant) = from.tenant()
        {
            set_header(head, &ACCOUNT, tenant)?;
        }
        if !head.headers.contains_key(&CORRELATION_ID)
            && let Some(id) = from.next_id()
        {
            set_header(head, &CORRELATION_ID, &id)?;
        }
    }
    if !head.headers.contains_key(&CORRELATION_ID) {
        set_header(head, &CORRELATION_ID, &new_id())?;
    }
    let has_header = head.headers.contains_key(&TIME_LEFT);
    let inherited_left = inherited.and_then(Inherited::left);
    let left = meta.timeout.or(inherited_left.filter(|_| !has_header));
    let overrides = HeadOverrides { class: meta.class.as_deref(), left, key: meta.key };
    let (mut request_head, id) =
        head::parse_head(names, &head.method, &head.uri, &head.headers, overrides)?;
    if let Some(most) = inherited_left {
        request_head.left = request_head.left.min(most);
    }
    Ok((request_head, id.to_owned()))
}
