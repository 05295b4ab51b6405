//! Requests that need a new connection, together with requests that can reuse one.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use millethook::{Fleet, FleetBuilder, Reuse, Usage};
use millethook_testkit::*;
use tokio::task::JoinHandle as Task;

use crate::common::*;

/// A server whose answers to `look` differ, and whose answers to `order` are equal.
struct MixedServer {
    listener: TcpListener,
    address: SocketAddr,
    accepting: JoinHandle<()>,
    stopped: Arc<AtomicBool>,
    held: Arc<Mutex<Option<HeldRequest>>>,
}

/// Channels on which a server reports a request and waits until it may answer.
struct HeldRequest {
    seen: Sender<()>,
    released: Receiver<()>,
}

impl MixedServer {
    fn start() -> MixedServer {
        let listener = short_backlog();
        let address = listener.local_addr().expect("a bound address");
        let (stopped, held) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let (acceptor, stop) = (listener.try_clone().expect("a descriptor"), stopped.clone());
        let held_by_server: Arc<Mutex<Option<HeldRequest>>> = Arc::clone(&held);
        let accepting = thread::spawn(move || {
            for socket in acceptor.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let held_by_server = held_by_server.clone();
                thread::spawn(move || answer_all(Conn::new(socket), &held_by_server));
            }
        });
        MixedServer { listener, address, accepting, stopped, held }
    }

    /// Holds the next request. Returns a channel that reports it and one that releases it.
    fn hold_next(&self) -> (Receiver<()>, Sender<()>) {
        let (seen, is_seen) = channel();
        let (release, released) = channel();
        *self.held.lock().expect("no panic") = Some(HeldRequest { seen, released });
        (is_seen, release)
    }

    /// Makes all further handshakes hang until the returned values are dropped.
    fn stop_accepting(self) -> (TcpListener, FullBacklog) {
        self.stopped.store(true, Ordering::SeqCst);
        let last = TcpStream::connect(self.address).expect("the last accepted connection");
        self.accepting.join().expect("no panic");
        drop(last);
        (self.listener, FullBacklog::of(self.address))
    }
}

fn answer_all(mut conn: Conn, held: &Mutex<Option<HeldRequest>>) {
    while let Some(message) = conn.message().filter(|message| message.complete) {
        let held = held.lock().expect("no panic").take();
        if let Some(held) = held {
            held.seen.send(()).expect("the test waits");
            let _ = held.released.recv();
        }
        let id = message.header("x-correlation-id").expect("an id");
        conn.send(ok(if message.first.contains("look") { id } else { "done" }));
    }
}

/// Opens a fleet of one such server and sends requests until it has learnt which answers differ.
async fn trained_fleet(
    server: &MixedServer,
    with: impl FnOnce(FleetBuilder) -> FleetBuilder,
) -> Fleet {
    let config = builder(&name(), &[]).server("s-0", server.address).reuse(Reuse::Compared);
    let fleet = Fleet::open(with(config).build().expect("valid")).expect("open");
    for class in ["look", "order"].repeat(8) {
        spawn_call(&fleet, class).await.expect("no panic").expect("served");
    }
    fleet
}

fn spawn_call(fleet: &Fleet, class: &'static str) -> Task<Result<(), millethook::Error>> {
    let fleet = fleet.clone();
    tokio::spawn(async move { fleet.call(request(class)).await.map(drop) })
}

async fn wait_for(fleet: &Fleet, what: &str, holds: impl Fn(Usage) -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds(fleet.usage().await.expect("the fleet lives")) {
        assert!(Instant::now() < end, "{what}");
        tokio::task::yield_now().await;
    }
}

/// Limits: two connections, one concurrent handshake. One connection is in use, and a handshake hangs. A
/// request that needs a new connection waits for the handshake, and behind it waits a request that could
/// reuse a connection. Guards against an idle connection that stays unused because the wake-up went to
/// the request that cannot use it.
#[test]
fn an_idle_connection_goes_to_a_request_that_can_use_it() {
    runtime().block_on(async {
        let server = MixedServer::start();
        let limits =
            |config: FleetBuilder| config.connections_per_server(2).handshakes_per_server(1);
        let fleet = trained_fleet(&server, limits).await;
        let (seen, release) = server.hold_next();
        let _hanging = server.stop_accepting();
        let first = spawn_call(&fleet, "look");
        seen.recv().expect("the server lives");
        let _hangs = spawn_call(&fleet, "order");
        wait_for(&fleet, "a handshake hangs", |usage| usage.opening == 1).await;
        let _needs_new = spawn_call(&fleet, "order");
        wait_for(&fleet, "three attempts", |usage| usage.attempts == 3).await;
        let second = spawn_call(&fleet, "look");
        wait_for(&fleet, "four attempts", |usage| usage.attempts == 4).await;
        release.send(()).expect("the server lives");
        first.await.expect("no panic").expect("served");
        second.await.expect("no panic").expect("served on the same connection");
    });
}

/// Limit: one connection, and it is in use. Guards against a request that needs a new connection and is
/// not woken when this one becomes idle and may be closed.
#[test]
fn an_idle_connection_is_closed_to_make_room_for_a_new_one() {
    runtime().block_on(async {
        let server = MixedServer::start();
        let fleet = trained_fleet(&server, |config| config.connections_per_server(1)).await;
        let (seen, release) = server.hold_next();
        let first = spawn_call(&fleet, "look");
        seen.recv().expect("the server lives");
        let needs_new = spawn_call(&fleet, "order");
        wait_for(&fleet, "two attempts", |usage| usage.attempts == 2).await;
        release.send(()).expect("the server lives");
        first.await.expect("no panic").expect("served");
        needs_new.await.expect("no panic").expect("served on a new connection");
    });
}

/// A server whose answers are all equal. It records the first line of the request on each connection, in
/// the order of connections.
fn recording_server() -> (SocketAddr, Arc<Mutex<BTreeMap<usize, String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let lines = Arc::<Mutex<BTreeMap<_, _>>>::default();
    let recorded = lines.clone();
    thread::spawn(move || {
        for (nth, socket) in listener.incoming().flatten().enumerate() {
            let recorded = recorded.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(socket);
                let Some(message) = conn.message().filter(|message| message.complete) else {
                    return;
                };
                recorded.lock().expect("no panic").insert(nth, message.first.clone());
                conn.send(ok("done"));
            });
        }
    });
    (address, lines)
}

/// Guards against requests that starve because later requests get the new connections first.
#[test]
fn new_connections_are_opened_in_the_order_of_their_requests() {
    const REQUESTS: usize = 300;
    let (address, lines) = recording_server();
    let config = builder(&name(), &[]).server("s-0", address).reuse(Reuse::Compared);
    let config = config.handshakes_per_server(1).build().expect("valid");
    let fleet = Fleet::open(config).expect("open");
    runtime().block_on(async {
        let mut waiting = Vec::new();
        for n in 0..REQUESTS {
            let mut request = request("order");
            *request.uri_mut() = format!("/order/{n}").parse().expect("valid");
            let mut call = Box::pin(fleet.call(request));
            let begun = poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx))).await;
            if begun.is_pending() {
                waiting.push(call);
            }
            // A round trip to the engine: it may otherwise take queued calls in any order.
            fleet.usage().await.expect("the fleet lives");
        }
        for call in waiting {
            let _ = call.await;
        }
    });
    let lines = lines.lock().expect("no panic");
    let number = |line: &String| line.split(['/', ' ']).nth(3)?.parse::<usize>().ok();
    let order: Vec<usize> = lines.values().map(|line| number(line).expect("a number")).collect();
    assert!(order.len() > REQUESTS / 10, "{} requests were sent", order.len());
    assert!(order.is_sorted(), "{order:?}");
}
