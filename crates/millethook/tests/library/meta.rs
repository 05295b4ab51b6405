//! Attributes of a call, set in `RequestMeta` and in headers.

use std::time::Duration;

use http::Request;
use http_body_util::Full;
use millethook::{Error, Fleet, Invalid, RequestMeta};
use millethook_testkit::*;

use crate::common::*;

fn call(
    fleet: &Fleet,
    meta: RequestMeta,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<(), Error> {
    let mut request = Request::post(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut request = request.body(Full::new(bytes::Bytes::from("x"))).expect("valid");
    request.extensions_mut().insert(meta);
    runtime().block_on(fleet.call(request)).map(drop)
}

fn open(stage: &ServerGroup) -> Fleet {
    let config = builder(&name(), &stage.servers).tenant("acme").tenant("other").build();
    Fleet::open(config.expect("valid")).expect("open")
}

/// If they could differ, the fleet and the server would treat the same request differently.
#[test]
fn attributes_and_headers_must_agree() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = open(&stage);
    let meta = || RequestMeta::new().timeout(Duration::from_millis(900)).tenant("acme");
    let disagree = |what: &str, meta: RequestMeta, path: &str, header: (&str, &str)| match call(
        &fleet,
        meta,
        path,
        &[header],
    ) {
        Err(Error::Invalid(Invalid::Disagree(at))) => assert_eq!(at, what),
        other => panic!("{what}: {other:?}"),
    };
    disagree("x-account", meta(), "/order/1", ("x-account", "other"));
    disagree("x-time-left-ms", meta(), "/order/1", ("x-time-left-ms", "901"));
    disagree("x-correlation-id", meta().correlation("a"), "/order/1", ("x-correlation-id", "b"));
    disagree("cookie", meta().key(7), "/order/1", ("cookie", "k=8"));
    disagree("idempotency-key", meta().idempotency_key("a"), "/keep/1", ("idempotency-key", "b"));
    disagree("class", meta().class("order"), "/keep/1", ("x-kept", "yes"));
    assert_eq!(stage.count(), 0);
    let same = [("x-account", "acme"), ("x-time-left-ms", "900"), ("cookie", "k=7")];
    assert!(call(&fleet, meta().key(7).class("order"), "/order/1", &same).is_ok());
    // A path that does not start with a class belongs to the host; the attribute gives the class.
    assert!(call(&fleet, meta().class("order"), "/v2/orders", &[]).is_ok());
    assert_eq!(stage.count(), 2);
}

/// Missing and invalid attributes are errors that name the attribute; no value is guessed.
#[test]
fn errors_name_the_missing_or_invalid_attribute() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = open(&stage);
    let wrong = |meta: RequestMeta, path: &str| match call(&fleet, meta, path, &[]) {
        Err(Error::Invalid(invalid)) => invalid,
        other => panic!("{other:?}"),
    };
    let timed = || RequestMeta::new().timeout(Duration::from_millis(900));
    let meta = || timed().tenant("acme");
    let missing = Invalid::Missing;
    assert_eq!(wrong(RequestMeta::new().tenant("acme"), "/order"), missing("x-time-left-ms"));
    assert_eq!(wrong(timed(), "/order"), missing("x-account"));
    assert_eq!(wrong(meta().tenant("nobody"), "/order"), Invalid::UnknownTenant("nobody".into()));
    assert_eq!(wrong(meta(), "/nothing"), Invalid::UnknownClass("nothing".into()));
    assert_eq!(wrong(meta(), "/keep"), Invalid::Key { needed: true });
    assert_eq!(wrong(meta().idempotency_key("k"), "/order"), Invalid::Key { needed: false });
    assert_eq!(wrong(meta(), "/look"), Invalid::Method { expected: http::Method::GET });
    assert_eq!(wrong(meta().tenant("a\nb"), "/order"), Invalid::Header("x-account"));
    assert_eq!(stage.count(), 0);
}

/// Attributes set in code reach the servers as headers.
#[test]
fn attributes_are_sent_as_headers() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = open(&stage);
    let meta = RequestMeta::new()
        .timeout(Duration::from_millis(900))
        .tenant("acme")
        .idempotency_key("5c0f")
        .correlation("c77")
        .hint(Duration::from_millis(3))
        .repeat();
    call(&fleet, meta, "/keep/1", &[]).expect("served");
    let seen = stage.seen().remove(0);
    assert_eq!((seen.id.as_str(), seen.key.as_deref()), ("c77", Some("5c0f")));
    let header = |name: &str| seen.message.header(name).map(str::to_owned);
    assert_eq!(header("x-account").as_deref(), Some("acme"));
    assert_eq!(header("x-weight-hint").as_deref(), Some("3000"));
    assert_eq!(header("x-repeat").as_deref(), Some("1"));
}
