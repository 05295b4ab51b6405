//! Fleets of a stage's servers, and looks at what they hold.

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

/// A body that comes as a function says.
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

/// A name that no other test has.
pub fn name() -> String {
    format!("t{}", NAMES.fetch_add(1, Ordering::SeqCst))
}

/// A fleet of these servers, with a class of each kind. `look` may stream.
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

pub fn fleet(servers: &[Server]) -> Fleet {
    Fleet::open(builder(&name(), servers).build().expect("sound")).expect("open")
}

pub fn runtime() -> tokio::runtime::Runtime {
    let builder = &mut tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().expect("a runtime")
}

/// A request of a class, with time enough.
pub fn request(class: &str) -> Request<Full<Bytes>> {
    timed(class, Duration::from_secs(12))
}

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
        .expect("a sound request");
    request.extensions_mut().insert(meta);
    request
}

/// Waits until the fleet holds nothing but connections at rest.
pub async fn nothing_held(fleet: &Fleet) {
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        let usage = fleet.usage().await.expect("the fleet lives");
        if usage.at_rest() {
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
