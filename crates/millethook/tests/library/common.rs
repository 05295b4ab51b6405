//! Helpers that open fleets of test servers, make requests and check what a fleet holds.

use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body::Frame;
use http_body_util::Full;
use millethook::{ClassConfig, Fleet, FleetBuilder, FleetConfig, RequestMeta};
use millethook_testkit::*;

/// A request body whose frames come from a function.
pub struct Polled<F>(pub F);

impl<F> http_body::Body for Polled<F>
where
    F: FnMut() -> Poll<Option<std::io::Result<Frame<Bytes>>>> + Unpin,
{
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        (self.0)()
    }
}

static NAMES: AtomicUsize = AtomicUsize::new(0);

/// A fleet name that is unique within the test process.
pub fn name() -> String {
    format!("t{}", NAMES.fetch_add(1, Ordering::SeqCst))
}

/// The configuration of a fleet of these servers, with one class of each kind. `look` may stream.
pub fn builder(name: &str, servers: &[Server]) -> FleetBuilder {
    let (aim, deadline) = (Duration::from_millis(300), Duration::from_secs(15));
    let mut builder = FleetConfig::builder(name)
        .seed(0x8c1f_30d2_7a5b_e964)
        .class(ClassConfig::safe("look", aim, deadline).streaming())
        .class(ClassConfig::keyed("keep", aim, deadline, Duration::from_secs(5)))
        .class(ClassConfig::at_most_once("order", aim, deadline).worth(8.0));
    for (i, server) in servers.iter().enumerate() {
        builder = builder.server(&format!("s-{i}"), server.address);
    }
    builder
}

/// Opens a fleet of these servers.
pub fn fleet(servers: &[Server]) -> Fleet {
    Fleet::open(builder(&name(), servers).build().expect("valid")).expect("open")
}

/// A host's runtime with two threads.
pub fn runtime() -> tokio::runtime::Runtime {
    let builder = &mut tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().expect("a runtime")
}

/// A request of a class with a timeout of 12 s.
pub fn request(class: &str) -> Request<Full<Bytes>> {
    timed(class, Duration::from_secs(12))
}

/// A request of a class with this timeout.
pub fn timed(class: &str, left: Duration) -> Request<Full<Bytes>> {
    let mut meta = RequestMeta::new().timeout(left);
    let method = if class == "look" { "GET" } else { "POST" };
    if class == "keep" {
        meta = meta.idempotency_key("5c0f");
    }
    let body = if class == "look" { "" } else { "body" };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{class}/1"))
        .body(Full::new(Bytes::from(body)))
        .expect("a valid request");
    request.extensions_mut().insert(meta);
    request
}

/// Waits until the fleet has no request in progress and holds only idle connections.
pub async fn wait_until_idle(fleet: &Fleet) {
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let usage = fleet.usage().await.expect("the fleet is open");
        if usage.is_idle() {
            return;
        }
        assert!(std::time::Instant::now() < end, "still held: {usage:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Whether this process has a thread of this name.
pub fn has_thread(name: &str) -> bool {
    let tasks = std::fs::read_dir("/proc/self/task").expect("threads are listed");
    let names = tasks.flatten().filter_map(|t| std::fs::read_to_string(t.path().join("comm")).ok());
    names.into_iter().any(|n| n.trim() == name)
}
