//! Requests that need a new connection beside requests for which a used one will do.

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
struct TwoKinds {
    listener: TcpListener,
    address: SocketAddr,
    accepting: JoinHandle<()>,
    is_over: Arc<AtomicBool>,
    held: Arc<Mutex<Option<Held>>>,
}

/// Where a server tells of a request, and where it waits for leave to answer.
struct Held {
    seen: Sender<()>,
    leave: Receiver<()>,
}

impl TwoKinds {
    fn start() -> TwoKinds {
        let listener = short_backlog();
        let address = listener.local_addr().expect("a bound address");
        let (is_over, held) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let (taking, over) = (listener.try_clone().expect("a descriptor"), is_over.clone());
        let holding: Arc<Mutex<Option<Held>>> = Arc::clone(&held);
        let accepting = thread::spawn(move || {
            for socket in taking.incoming().flatten() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let holding = holding.clone();
                thread::spawn(move || answer_all(Conn::new(socket), &holding));
            }
        });
        TwoKinds { listener, address, accepting, is_over, held }
    }

    /// Holds the next request: where it is told of, and where leave is given to answer it.
    fn hold_next(&self) -> (Receiver<()>, Sender<()>) {
        let (seen, is_seen) = channel();
        let (give, leave) = channel();
        *self.held.lock().expect("no panic") = Some(Held { seen, leave });
        (is_seen, give)
    }

    /// From now on no connection comes up, as long as what is returned lives.
    fn accept_no_more(self) -> (TcpListener, FullBacklog) {
        self.is_over.store(true, Ordering::SeqCst);
        let last = TcpStream::connect(self.address).expect("the last one that is taken");
        self.accepting.join().expect("no panic");
        drop(last);
        (self.listener, FullBacklog::of(self.address))
    }
}

fn answer_all(mut conn: Conn, held: &Mutex<Option<Held>>) {
    while let Some(message) = conn.message().filter(|message| message.complete) {
        let held = held.lock().expect("no panic").take();
        if let Some(held) = held {
            held.seen.send(()).expect("the test waits");
            let _ = held.leave.recv();
        }
        let id = message.header("x-correlation-id").expect("an id");
        conn.send(ok(if message.first.contains("look") { id } else { "done" }));
    }
}

/// Opens a fleet of one such server, and lets it learn which answers differ.
async fn learnt(server: &TwoKinds, with: impl FnOnce(FleetBuilder) -> FleetBuilder) -> Fleet {
    let config = builder(&name(), &[]).server("s-0", server.address).reuse(Reuse::Compared);
    let fleet = Fleet::open(with(config).build().expect("sound")).expect("open");
    for class in ["look", "order"].repeat(8) {
        ask(&fleet, class).await.expect("no panic").expect("served");
    }
    fleet
}

fn ask(fleet: &Fleet, class: &'static str) -> Task<Result<(), millethook::Error>> {
    let fleet = fleet.clone();
    tokio::spawn(async move { fleet.call(request(class)).await.map(drop) })
}

async fn until(fleet: &Fleet, what: &str, holds: impl Fn(Usage) -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds(fleet.usage().await.expect("the fleet lives")) {
        assert!(Instant::now() < end, "{what}");
        tokio::task::yield_now().await;
    }
}

/// Two connections, and one handshake at once. One connection is in use, and the handshake hangs. A request that needs a
/// new connection waits for the handshake's place, and behind it one for which a used connection will do. Guards against a
/// connection at rest that nobody takes, as its news went to the one that has no use for it.
#[test]
fn a_connection_at_rest_goes_to_a_request_that_can_use_it() {
    runtime().block_on(async {
        let server = TwoKinds::start();
        let limits =
            |config: FleetBuilder| config.connections_per_server(2).handshakes_per_server(1);
        let fleet = learnt(&server, limits).await;
        let (seen, give_leave) = server.hold_next();
        let _no_room = server.accept_no_more();
        let first = ask(&fleet, "look");
        seen.recv().expect("the server lives");
        let _hangs = ask(&fleet, "order");
        until(&fleet, "a handshake hangs", |usage| usage.opening == 1).await;
        let _needs_new = ask(&fleet, "order");
        until(&fleet, "three are out", |usage| usage.attempts == 3).await;
        let second = ask(&fleet, "look");
        until(&fleet, "four are out", |usage| usage.attempts == 4).await;
        give_leave.send(()).expect("the server lives");
        first.await.expect("no panic").expect("served");
        second.await.expect("no panic").expect("served on the same connection");
    });
}

/// One connection, and it is in use. Guards against a request that needs a new one and does not hear that this one rests, and
/// may be closed.
#[test]
fn a_connection_at_rest_makes_room_for_a_new_one() {
    runtime().block_on(async {
        let server = TwoKinds::start();
        let fleet = learnt(&server, |config| config.connections_per_server(1)).await;
        let (seen, give_leave) = server.hold_next();
        let first = ask(&fleet, "look");
        seen.recv().expect("the server lives");
        let needs_new = ask(&fleet, "order");
        until(&fleet, "two are out", |usage| usage.attempts == 2).await;
        give_leave.send(()).expect("the server lives");
        first.await.expect("no panic").expect("served");
        needs_new.await.expect("no panic").expect("served on a new connection");
    });
}

/// A server whose answers are all equal: for each of its connections, in order, the first line of the request on it.
fn first_lines() -> (SocketAddr, Arc<Mutex<BTreeMap<usize, String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let lines = Arc::<Mutex<BTreeMap<_, _>>>::default();
    let noted = lines.clone();
    thread::spawn(move || {
        for (nth, socket) in listener.incoming().flatten().enumerate() {
            let noted = noted.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(socket);
                let Some(message) = conn.message().filter(|message| message.complete) else {
                    return;
                };
                noted.lock().expect("no panic").insert(nth, message.first.clone());
                conn.send(ok("done"));
            });
        }
    });
    (address, lines)
}

/// Guards against callers who wait for a new connection in vain, as those that come later pass them.
#[test]
fn new_connections_are_opened_in_the_order_of_their_requests() {
    const REQUESTS: usize = 300;
    let (address, lines) = first_lines();
    let config = builder(&name(), &[]).server("s-0", address).reuse(Reuse::Compared);
    let config = config.handshakes_per_server(1).build().expect("sound");
    let fleet = Fleet::open(config).expect("open");
    runtime().block_on(async {
        let mut waiting = Vec::new();
        for n in 0..REQUESTS {
            let mut request = request("order");
            *request.uri_mut() = format!("/order/{n}").parse().expect("sound");
            let mut call = Box::pin(fleet.call(request));
            let begun = poll_fn(|cx| Poll::Ready(call.as_mut().poll(cx))).await;
            if begun.is_pending() {
                waiting.push(call);
            }
            // The engine may take what comes at once in any order.
            fleet.usage().await.expect("the fleet lives");
        }
        for call in waiting {
            let _ = call.await;
        }
    });
    let lines = lines.lock().expect("no panic");
    let number = |line: &String| line.split(['/', ' ']).nth(3)?.parse::<usize>().ok();
    let order: Vec<usize> = lines.values().map(|line| number(line).expect("a number")).collect();
    assert!(order.len() > REQUESTS / 10, "{} went out", order.len());
    assert!(order.is_sorted(), "{order:?}");
}
