//! Inheritance of request attributes by handlers' calls, and routes that go to the fleet.

use std::convert::Infallible;
use std::time::Duration;

use axum::Router;
use axum::body::Body as AxumBody;
use axum::extract::State;
use axum::routing::get;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use millethook::{Error, Fleet, InheritLayer, Inherited, RequestMeta, RouteLayer};
use millethook_testkit::*;
use tower::{Service, ServiceExt};

use crate::common::*;

fn incoming(path: &str, headers: &[(&str, &str)]) -> Request<AxumBody> {
    let mut request = Request::get(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(AxumBody::empty()).expect("valid")
}

/// A handler that makes two calls: one with a long timeout and one without any attributes.
async fn two_calls(State(fleet): State<Fleet>) -> Result<String, Error> {
    let plain = || Request::get("/look/1").body(Full::<Bytes>::default()).expect("valid");
    let mut with_timeout = plain();
    with_timeout.extensions_mut().insert(RequestMeta::new().timeout(Duration::from_secs(10)));
    fleet.call(with_timeout).await?;
    fleet.call(plain()).await?;
    Ok("both".into())
}

#[test]
fn calls_in_a_handler_inherit_and_never_exceed_its_timeout() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let config = builder(&name(), &stage.servers).tenant("acme").build().expect("valid");
    let fleet = Fleet::open(config).expect("open");
    let app =
        Router::new().route("/work", get(two_calls)).with_state(fleet).layer(InheritLayer::new());
    let headers = [("x-time-left-ms", "700"), ("x-account", "acme"), ("x-correlation-id", "c9")];
    let response = runtime().block_on(app.oneshot(incoming("/work", &headers)));
    assert_eq!(response.expect("infallible").status(), StatusCode::OK);
    let seen = stage.seen();
    assert_eq!(seen.iter().map(|a| a.id.as_str()).collect::<Vec<_>>(), ["c9.1", "c9.2"]);
    for attempt in seen {
        let left: u64 = attempt.message.header("x-time-left-ms").unwrap().parse().unwrap();
        assert!((1..=700).contains(&left), "{left}");
        assert_eq!(attempt.message.header("x-account"), Some("acme"));
    }
}

/// A handler of a request without time left sends nothing, whatever timeout it asks for.
#[test]
fn a_handler_without_time_left_sends_nothing() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = fleet(&stage.servers);
    let app =
        Router::new().route("/work", get(two_calls)).with_state(fleet).layer(InheritLayer::new());
    let response = runtime().block_on(app.oneshot(incoming("/work", &[("x-time-left-ms", "0")])));
    assert_eq!(response.expect("infallible").status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(stage.count(), 0);
}

#[test]
fn without_the_layer_nothing_is_inherited() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let app = Router::new().route("/work", get(two_calls)).with_state(fleet(&stage.servers));
    let response = runtime().block_on(app.oneshot(incoming("/work", &[("x-time-left-ms", "700")])));
    // The first call has a timeout, the second one has none.
    assert_eq!(response.expect("infallible").status(), StatusCode::BAD_REQUEST);
    assert_eq!(stage.count(), 1);
}

#[test]
fn a_spawned_task_inherits_only_within_scope() {
    runtime().block_on(async {
        let headers = incoming("/", &[("x-account", "acme"), ("x-correlation-id", "c1")]);
        let inherited = Inherited::from_headers(headers.headers()).expect("valid");
        let (with, without) = inherited
            .clone()
            .scope(async move {
                let current = || Inherited::current().and_then(|i| Some(i.tenant()?.to_owned()));
                let with = tokio::spawn(inherited.scope(async move { current() }));
                let without = tokio::spawn(async move { current() });
                (with.await.expect("no panic"), without.await.expect("no panic"))
            })
            .await;
        assert_eq!((with.as_deref(), without), (Some("acme"), None));
    });
}

#[test]
fn a_request_with_invalid_inherited_headers_is_not_handled() {
    let app = Router::new().route("/work", get(|| async { "handled" })).layer(InheritLayer::new());
    let cases: [&[(&str, &str)]; 4] = [
        &[("x-account", "a"), ("x-account", "b")],
        &[("x-correlation-id", "a"), ("x-correlation-id", "a")],
        &[("x-time-left-ms", "5"), ("x-time-left-ms", "6")],
        &[("x-time-left-ms", "soon")],
    ];
    for headers in cases {
        let response = runtime().block_on(app.clone().oneshot(incoming("/work", headers)));
        assert_eq!(response.expect("infallible").status(), StatusCode::BAD_REQUEST, "{headers:?}");
    }
}

const HEAD: [(&str, &str); 2] = [("x-time-left-ms", "900"), ("x-correlation-id", "r1")];

fn routed(stage: &ServerGroup, classes: &[&str]) -> Router {
    let layer = RouteLayer::new(fleet(&stage.servers));
    let layer = if classes.is_empty() { layer } else { layer.classes(classes.iter().copied()) };
    Router::new().route("/home", get(|| async { "the app" })).layer(layer)
}

fn get_from(app: Router, path: &str, headers: &[(&str, &str)]) -> (StatusCode, bool, String) {
    runtime().block_on(async {
        let response = app.oneshot(incoming(path, headers)).await.expect("infallible");
        let has_retry_after = response.headers().contains_key("retry-after");
        let status = response.status();
        let body = response.into_body().collect().await.expect("whole").to_bytes();
        (status, has_retry_after, String::from_utf8_lossy(&body).into_owned())
    })
}

#[test]
fn routes_of_the_fleet_go_there_and_others_to_the_app() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("the fleet".into()));
    let ok = |body: &str| (StatusCode::OK, false, body.to_owned());
    assert_eq!(get_from(routed(&stage, &[]), "/look/1", &HEAD), ok("the fleet"));
    assert_eq!(get_from(routed(&stage, &[]), "/home", &[]), ok("the app"));
    assert_eq!(stage.seen()[0].id, "r1");
    // A class that the layer was not given goes to the app, which has no such route.
    let (status, ..) = get_from(routed(&stage, &["keep"]), "/look/1", &HEAD);
    assert_eq!((status, stage.count()), (StatusCode::NOT_FOUND, 1));
    let (status, ..) = get_from(routed(&stage, &[]), "/look/../home", &HEAD);
    assert_eq!((status, stage.count()), (StatusCode::BAD_REQUEST, 1));
}

#[test]
fn refusals_and_failures_map_to_http_statuses() {
    let full = ServerGroup::new(2, |_| Fault::Reject);
    let (status, has_retry_after, _) = get_from(routed(&full, &[]), "/look/1", &HEAD);
    assert_eq!((status, has_retry_after), (StatusCode::SERVICE_UNAVAILABLE, true));
    let unsafe_order = |fault: Fault, left: &str| {
        let stage = ServerGroup::new(1, move |_| fault.clone());
        let request = Request::post("/order/1")
            .header("x-time-left-ms", left)
            .header("x-correlation-id", "r2")
            .body(AxumBody::from("x"))
            .expect("valid");
        let response = runtime().block_on(routed(&stage, &[]).oneshot(request));
        response.expect("infallible").status()
    };
    assert_eq!(unsafe_order(Fault::Reset, "900"), StatusCode::BAD_GATEWAY);
    assert_eq!(unsafe_order(Fault::Stall, "200"), StatusCode::GATEWAY_TIMEOUT);
}

#[test]
fn a_panic_in_a_handler_affects_no_other_request() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = fleet(&stage.servers);
    let handler = |State(fleet): State<Fleet>| async move {
        let request = timed("look", Duration::from_secs(5));
        let _answer = fleet.call(request).await.expect("served");
        panic!("a handler");
        #[allow(unreachable_code)]
        ""
    };
    let app = Router::new().route("/work", get(handler)).with_state(fleet.clone());
    runtime().block_on(async {
        for _ in 0..5 {
            let app = app.clone();
            let handled = tokio::spawn(app.oneshot(incoming("/work", &[])));
            assert!(handled.await.is_err_and(|e| e.is_panic()));
            assert!(fleet.call(request("look")).await.is_ok());
        }
        wait_until_idle(&fleet).await;
    });
}

/// Uses the fleet with tower alone, without a web framework.
#[test]
fn a_fleet_is_a_service() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let mut service = fleet(&stage.servers);
    let body = runtime().block_on(async {
        let ready: &mut Fleet = ServiceExt::<Request<Full<Bytes>>>::ready(&mut service).await?;
        let answer: Response<_> = Service::call(ready, request("look")).await?;
        Ok::<_, Error>(answer.into_body().collect().await.map(|b| b.to_bytes()))
    });
    assert_eq!(body.expect("served").expect("whole"), "fine");
    let layered = tower::ServiceBuilder::new().layer(RouteLayer::new(service)).service_fn(
        |_: Request<Full<Bytes>>| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from("the app"))))
        },
    );
    let answer = runtime().block_on(layered.oneshot(request("look"))).expect("infallible");
    assert_eq!(answer.status(), StatusCode::OK);
}
