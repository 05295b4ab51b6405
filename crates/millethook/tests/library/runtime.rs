//! Calls while the host's runtime is blocked, shut down or sees a panic, and drains.

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body::Frame;
use millethook::{Error, Execution, Fleet, RequestMeta};
use millethook_testkit::*;

use crate::common::*;

/// The host's only thread is blocked from the first poll until the server has seen its attempt end. That
/// happens at the deadline only if the timer does not run on the host's thread.
#[test]
fn deadlines_hold_while_the_host_is_blocked() {
    let (tell, ended) = channel();
    let server = Server::start(move |mut conn| {
        if conn.message().is_some_and(|m| m.complete) {
            let _ = tell.send(conn.closed_by_peer());
        }
    });
    let fleet = fleet(&[server]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let calling = tokio::spawn({
            let fleet = fleet.clone();
            async move { fleet.call(timed("order", Duration::from_millis(200))).await }
        });
        tokio::task::yield_now().await;
        assert!(receive(&ended), "the attempt was ended while the host was blocked");
        let end = calling.await.expect("no panic").expect_err("no server has answered");
        assert!(matches!(end, Error::Failed { timed_out: true }), "{end:?}");
        assert_eq!(end.execution(), Execution::MayHaveRun);
    });
}

/// An answer that arrives while the host is blocked is delivered afterwards.
#[test]
fn an_answer_waits_for_a_host_that_is_blocked() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = fleet(&stage.servers);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let calling = tokio::spawn({
            let fleet = fleet.clone();
            async move { fleet.call(request("order")).await }
        });
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(200));
        assert!(calling.await.expect("no panic").is_ok());
    });
}

#[test]
fn a_runtime_shutdown_with_open_requests_ends_attempts_and_thread() {
    let (ended_sender, ended) = channel();
    let ended_sender = Mutex::new(ended_sender);
    let received = Arc::new(Mutex::new(0));
    let count = received.clone();
    let server = Server::start(move |mut conn| {
        if conn.message().is_some_and(|m| m.complete) {
            *count.lock().expect("no panic") += 1;
            let _ = ended_sender.lock().expect("no panic").send(conn.closed_by_peer());
        }
    });
    let name = name();
    let fleet = Fleet::open(builder(&name, &[server]).build().expect("valid")).expect("open");
    let runtime = runtime();
    for _ in 0..30 {
        let fleet = fleet.clone();
        runtime.spawn(async move { fleet.call(request("order")).await.is_ok() });
    }
    wait_until("the server has all requests", || *received.lock().expect("no panic") == 30);
    drop(fleet);
    runtime.shutdown_timeout(WAIT_TIMEOUT);
    for _ in 0..30 {
        assert!(receive(&ended));
    }
    wait_until("the thread's end", || !has_thread(&format!("mh-{name}")));
}

#[test]
fn a_panic_in_a_request_body_affects_no_other_request() {
    let stage = ServerGroup::new(2, |_| {
        Fault::Delayed(Delay::Fixed(Duration::from_millis(5)), "fine".into())
    });
    let fleet = fleet(&stage.servers);
    runtime().block_on(async {
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..40 {
            let fleet = fleet.clone();
            tasks.spawn(async move {
                if n % 4 == 0 {
                    let mut request = Request::post("/order")
                        .body(Polled(|| panic!("a host's body")))
                        .expect("valid");
                    let meta = RequestMeta::new().timeout(Duration::from_secs(5));
                    request.extensions_mut().insert(meta);
                    return fleet.call(request).await.is_ok();
                }
                fleet.call(request("order")).await.is_ok()
            });
        }
        let (mut served, mut panicked) = (0, 0);
        while let Some(end) = tasks.join_next().await {
            match end {
                Ok(true) => served += 1,
                Ok(false) => panic!("a request without a panic has failed"),
                Err(e) => panicked += usize::from(e.is_panic()),
            }
        }
        assert_eq!((served, panicked), (30, 10));
        wait_until_idle(&fleet).await;
    });
    assert_eq!(stage.count(), 30);
}

#[test]
fn a_request_whose_body_fails_is_not_sent() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = fleet(&stage.servers);
    let mut half = Some(Frame::data(Bytes::from_static(b"half")));
    let body =
        Polled(move || Poll::Ready(Some(half.take().ok_or_else(|| std::io::Error::other("gone")))));
    let mut request = Request::post("/order").body(body).expect("valid");
    request.extensions_mut().insert(RequestMeta::new().timeout(Duration::from_secs(5)));
    let end = runtime().block_on(fleet.call(request)).expect_err("half a body");
    assert!(matches!(end, Error::Body(_)), "{end:?}");
    assert_eq!((end.execution(), stage.count()), (Execution::NeverRan, 0));
}

#[test]
fn a_drain_waits_for_open_requests_and_ends_the_engine() {
    let (arrival_sender, arrivals) = channel();
    let arrival_sender = Mutex::new(arrival_sender);
    let stage = ServerGroup::new(1, move |_| {
        let (release, released) = channel::<()>();
        let _ = arrival_sender.lock().expect("no panic").send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        Fault::Serve("late".into())
    });
    let name = name();
    let config = builder(&name, &stage.servers).build().expect("valid");
    let fleet = Fleet::open(config).expect("open");
    let runtime = runtime();
    let calling = fleet.clone();
    let call = runtime.spawn(async move { calling.call(request("order")).await.is_ok() });
    let release = receive(&arrivals);
    let draining = fleet.clone();
    let drained = runtime.spawn(async move { draining.drain(WAIT_TIMEOUT).await });
    // New calls fail as soon as the drain has begun.
    wait_until("closed", || {
        let end = runtime.block_on(fleet.call(timed("look", Duration::from_millis(1))));
        matches!(end, Err(Error::Closed))
    });
    release.send(()).expect("the server waits");
    assert!(runtime.block_on(call).expect("no panic"));
    assert_eq!(runtime.block_on(drained).expect("no panic").unanswered, 0);
    wait_until("the thread's end", || !has_thread(&format!("mh-{name}")));
    assert!(runtime.block_on(fleet.usage()).is_none());
}

#[test]
fn a_drain_that_times_out_reports_unanswered_requests() {
    let stage = ServerGroup::new(1, |_| Fault::Stall);
    let fleet = fleet(&stage.servers);
    let runtime = runtime();
    let calling = fleet.clone();
    let open = runtime.spawn(async move { calling.call(request("order")).await });
    wait_until("the server has the request", || stage.count() == 1);
    let drained = runtime.block_on(fleet.drain(Duration::from_millis(50)));
    assert_eq!(drained.unanswered, 1);
    let end = runtime.block_on(open).expect("no panic").expect_err("no server has answered");
    assert!(matches!(end, Error::Failed { timed_out: false }), "{end:?}");
}
