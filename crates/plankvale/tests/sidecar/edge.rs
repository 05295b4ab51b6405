//! Stored writes while no server can be reached: over sockets, across SIGKILL, and as operators see
//! them.

use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use millethook_config::ProductConfig;
use millethook_http::edge::disk::Storage;
use millethook_http::edge::folder::StoreFile;
use millethook_testkit::*;
use plankvale::config::Config;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// A folder with the stores and the product file, and the address of the only sidecar of its fleet.
pub(crate) struct StoreFolder {
    pub(crate) folder: tempfile::TempDir,
    peer: SocketAddr,
}

impl StoreFolder {
    pub(crate) fn new() -> StoreFolder {
        let folder = tempfile::tempdir().expect("a folder");
        let stores = folder.path().join("edge");
        let text = format!(
            "[fleet]\nperiod_s = 0.1\n[lease]\nlongest_s = 0.5\n[edge]\nfolder = {:?}\nclasses = [\"order\"]\n",
            stores.display().to_string()
        );
        std::fs::write(folder.path().join("product.toml"), text).expect("written");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("an address");
        StoreFolder { folder, peer: socket.local_addr().expect("an address") }
    }

    pub(crate) fn config(&self, agent: &Agent) -> Value {
        config(agent.address, |c| {
            c["admin"] = json!("127.0.0.1:0");
            c["peer_listen"] = json!(self.peer.to_string());
            c["peers"] = json!([self.peer.to_string()]);
            c["settings"]["instances"] = json!(1);
            c["settings"]["limits"]["mayTell"] = json!(true);
            c["settings"]["limits"]["retryAfter"] = json!(true);
            c["settings"]["limits"]["maxRetryAfter"] = json!(2_000_000);
        })
    }

    pub(crate) fn start(&self, agent: &Agent) -> Sidecar {
        let product = self.folder.path().join("product.toml");
        let product = product.to_str().expect("a path");
        let sidecar = Sidecar::launch_with(&self.config(agent), &[("MILLETHOOK_CONFIG", product)]);
        wait_until("ready", || {
            sidecar.request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200
        });
        sidecar
    }

    pub(crate) fn edge_command(&self, args: &[&str]) -> (String, Option<i32>) {
        let stores = self.folder.path().join("edge");
        let mut command = Command::new(program("plankvale"));
        command.arg("edge").arg(args[0]).arg(stores).args(&args[1..]);
        let output = command.output().expect("it runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (text, output.status.code())
    }
}

/// An address on which nobody listens.
pub(crate) fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    listener.local_addr().expect("an address")
}

pub(crate) fn order_request(body: &str, more: &str) -> String {
    let (headers, length) = (common_headers(), body.len());
    format!(
        "POST /order HTTP/1.1\r\nHost: app.svc\r\n{headers}{more}Content-Length: {length}\r\n\r\n{body}"
    )
}

pub(crate) const PREFER_ASYNC: &str = "Prefer: respond-async\r\n";

/// A server that records the requests it executes.
pub(crate) fn recording_server() -> (Server, Arc<Mutex<Vec<Message>>>) {
    let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
    let log = seen.clone();
    let server = Server::start(move |mut conn| {
        while let Some(message) = conn.message().filter(|m| m.complete) {
            log.lock().expect("a log").push(message);
            conn.send(ok("done"));
        }
    });
    (server, seen)
}

/// The remaining time that each request carried, in milliseconds.
fn times_left(seen: &[Message]) -> Vec<u64> {
    let left = |m: &Message| m.header("x-time-left-ms").expect("a time").parse().expect("a number");
    seen.iter().map(left).collect()
}

#[test]
fn a_write_is_stored_while_no_server_is_reachable_and_sent_once_in_order() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let sidecar = store_folder.start(&agent);
    // A client that does not accept a receipt is refused, as without stores.
    assert_eq!(sidecar.request(order_request("no", "")).status(), 503);
    let first = sidecar.request(order_request("one", PREFER_ASYNC));
    assert_eq!(first.status(), 202, "{first:?}");
    assert_eq!(first.header("preference-applied"), Some("respond-async"));
    let context = first.header("millethook-context").expect("a receipt").to_owned();
    let second = sidecar
        .request(order_request("two", &format!("{PREFER_ASYNC}Millethook-After: {context}\r\n")));
    assert_eq!(second.status(), 202);
    // A class that the configuration does not name is never stored.
    let other = keyed().replace("Host:", &format!("{PREFER_ASYNC}Host:"));
    assert_eq!(sidecar.request(other).status(), 503);
    let wrong = sidecar
        .request(order_request("x", &format!("{PREFER_ASYNC}Millethook-After: never given\r\n")));
    assert_eq!(wrong.status(), 400);
    let (text, code) = store_folder.edge_command(&["show"]);
    assert!(text.contains("2 kept") && code == Some(0), "{text}");
    let (server, seen) = recording_server();
    agent.set_hosts(vec![host("s-b", server.address)]);
    wait_until("both writes are replayed", || sidecar.metric("sidecar.edge.replayed") == 2);
    let bodies: Vec<Vec<u8>> = seen.lock().expect("a log").iter().map(|m| m.body.clone()).collect();
    assert_eq!(bodies, [b"one".to_vec(), b"two".to_vec()]);
    let seen = seen.lock().expect("a log");
    assert_eq!(seen[0].first, "POST /order HTTP/1.1");
    assert!(seen[0].header("prefer").is_none() && seen[0].header("x-correlation-id").is_some());
    // The client's 900 ms are over: a replay has the time of its class.
    let times_left = times_left(&seen);
    assert!(
        times_left.len() == 2 && times_left.iter().all(|left| (901..=1500).contains(left)),
        "{times_left:?}"
    );
    drop(seen);
    // A write that depends on an unknown one is not sent within its client's time.
    let unknown = "Millethook-After: 00ff000000000001-1\r\n";
    assert_eq!(sidecar.request(order_request("three", unknown)).status(), 503);
    assert_eq!(sidecar.request(order_request("four", "")).status(), 200);
    assert_eq!(store_folder.edge_command(&["show"]).0.lines().count(), 1);
}

#[test]
fn acknowledged_writes_survive_sigkill_and_are_sent_once_by_the_next_process() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let mut first = store_folder.start(&agent);
    let statuses: Vec<u16> = (0..20)
        .map(|n| first.request(order_request(&format!("w{n}"), PREFER_ASYNC)).status())
        .collect();
    assert!(statuses.iter().all(|status| *status == 202), "{statuses:?}");
    first.child.kill().expect("killed");
    first.child.wait().expect("ended");
    let (server, seen) = recording_server();
    agent.set_hosts(vec![host("s-b", server.address)]);
    let second = store_folder.start(&agent);
    wait_until("all writes are replayed", || second.metric("sidecar.edge.replayed") == 20);
    let mut bodies: Vec<String> = (seen.lock().expect("a log").iter())
        .map(|m| String::from_utf8_lossy(&m.body).into_owned())
        .collect();
    bodies.sort_unstable();
    let mut expected: Vec<String> = (0..20).map(|n| format!("w{n}")).collect();
    expected.sort_unstable();
    assert_eq!(bodies, expected);
}

/// The first server holds the write and then rejects it. Its client had given 200 ms, which have
/// long passed and are still in the stored request.
#[test]
fn a_replay_tells_the_time_of_its_class_once_and_its_next_attempt_less() {
    const HOLD_MS: u64 = 250;
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let sidecar = store_folder.start(&agent);
    let write = order_request("late", PREFER_ASYNC).replace("Left-Ms: 900", "Left-Ms: 200");
    assert_eq!(sidecar.request(write).status(), 202);
    assert!(
        store_folder.edge_command(&["export"]).0.contains("x-time-left-ms"),
        "{:?}",
        store_folder.edge_command(&["export"])
    );
    let group = ServerGroup::new(2, |a| match a.nth {
        1 => {
            std::thread::sleep(Duration::from_millis(HOLD_MS));
            Fault::Reject
        }
        _ => Fault::Serve("done".into()),
    });
    agent.set_hosts(group.hosts());
    wait_until("the write is replayed", || sidecar.metric("sidecar.edge.replayed") == 1);
    let seen: Vec<Message> = group.seen().into_iter().map(|a| a.message).collect();
    let times_left = times_left(&seen);
    assert_eq!(times_left.len(), 2, "{seen:?}");
    assert!(
        (201..=1500).contains(&times_left[0]) && times_left[1] <= times_left[0] - HOLD_MS,
        "{times_left:?}"
    );
}

#[test]
fn a_write_in_doubt_waits_for_an_operators_command() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let sidecar = store_folder.start(&agent);
    let receipt = sidecar.request(order_request("once", PREFER_ASYNC));
    let id = receipt.header("millethook-context").expect("a receipt").to_owned();
    // The server accepts the first write and does not answer: the connection breaks.
    let count = Arc::new(Mutex::new(0));
    let counted = count.clone();
    let server = Server::start(move |mut conn| {
        while conn.message().is_some_and(|m| m.complete) {
            let mut count = counted.lock().expect("a count");
            *count += 1;
            if *count == 1 {
                return conn.reset();
            }
            conn.send(ok("done"));
        }
    });
    agent.set_hosts(vec![host("s-b", server.address)]);
    wait_until("in doubt", || sidecar.metric("sidecar.edge.doubt") == 1);
    assert_eq!(*count.lock().expect("a count"), 1);
    assert!(store_folder.edge_command(&["show"]).0.contains("in doubt"));
    assert!(store_folder.edge_command(&["export"]).0.contains("\"body\":\"6f6e6365\""));
    assert_eq!(store_folder.edge_command(&["release", "00ff000000000001-1"]).1, Some(2));
    let (text, code) = store_folder.edge_command(&["release", &id]);
    assert_eq!(code, Some(0), "{text}");
    wait_until("done", || sidecar.metric("sidecar.edge.replayed") == 1);
    assert_eq!(*count.lock().expect("a count"), 2);
    // A write that is finished accepts no operator command.
    assert_eq!(store_folder.edge_command(&["drop", &id]).1, Some(2));
}

/// A full disk is tested in `edge::disk`; to clients, all disks that fail writes are alike.
#[test]
fn a_failing_disk_refuses_writes_at_once_with_a_retry_after() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let sidecar = store_folder.start(&agent);
    let stores = store_folder.folder.path().join("edge");
    std::fs::remove_dir_all(&stores).expect("removed");
    std::fs::write(&stores, b"a file in its place").expect("written");
    let refused = sidecar.request(order_request("cannot be kept", PREFER_ASYNC));
    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some());
    assert_eq!(sidecar.metric("sidecar.edge.refused"), 1);
    // Writes are stored again as soon as the folder exists.
    std::fs::remove_file(&stores).expect("removed");
    std::fs::create_dir(&stores).expect("a folder");
    assert_eq!(sidecar.request(order_request("kept", PREFER_ASYNC)).status(), 202);
}

/// A storage that syncs the intake file only when the test allows it.
#[derive(Clone, Default)]
pub(crate) struct GatedStorage(Arc<(Mutex<bool>, Condvar)>);

impl GatedStorage {
    fn set_open(&self, open: bool) {
        *self.0.0.lock().expect("a gate") = open;
        self.0.1.notify_all();
    }
}

impl Storage for GatedStorage {
    fn sync(&mut self, name: StoreFile, file: &File) -> io::Result<()> {
        if name == StoreFile::Intake {
            let (gate, gate_changed) = &*self.0;
            drop(
                gate_changed
                    .wait_while(gate.lock().expect("a gate"), |open| !*open)
                    .expect("a gate"),
            );
        }
        file.sync_data()
    }
}

/// Runs a daemon on a storage of the test until it is told to stop.
pub(crate) fn run_on_storage(
    config: &str,
    product: &Path,
    storage: impl Storage,
    stop: impl Future<Output = ()>,
) {
    let product = Rc::new(ProductConfig::from_file(product).expect("a product"));
    let config = Config::from_json(config.as_bytes(), [const { None }; 3], product);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (_reload, reloads) = mpsc::channel(1);
    let running =
        plankvale::run_with_storage(storage, config.expect("a configuration"), stop, reloads);
    LocalSet::new().block_on(&runtime.expect("a runtime"), running).expect("it runs");
}

/// A daemon in this process, on a storage of the test. It stops on drop.
struct InProcessDaemon {
    address: SocketAddr,
    _stop: oneshot::Sender<()>,
}

impl InProcessDaemon {
    fn start(store_folder: &StoreFolder, agent: &Agent, storage: impl Storage) -> InProcessDaemon {
        let address = unused_address();
        let mut config = store_folder.config(agent);
        config["listen"] = json!(address.to_string());
        let product = store_folder.folder.path().join("product.toml");
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::spawn(move || {
            run_on_storage(&config.to_string(), &product, storage, async {
                let _ = stopped.await;
            });
        });
        let daemon = InProcessDaemon { address, _stop: stop };
        wait_until("ready", || {
            daemon
                .request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                .is_some_and(|m| m.status() == 200)
        });
        daemon
    }

    fn request(&self, request: impl AsRef<[u8]>) -> Option<Message> {
        let socket = std::net::TcpStream::connect(self.address).ok()?;
        Conn::new(socket).request(request)
    }
}

/// Guards against replaying a write that is being stored on a slow disk when its client's time
/// ends: the client receives a 502, which is final, and the write, stored all the same, was sent
/// after that answer.
#[test]
fn a_write_answered_before_a_slow_disk_stored_it_is_never_sent() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let disk = GatedStorage::default();
    let sidecar = InProcessDaemon::start(&store_folder, &agent, disk.clone());
    assert_eq!(
        sidecar.request(order_request("slow", PREFER_ASYNC)).expect("an answer").status(),
        502
    );
    assert!(
        store_folder.edge_command(&["show"]).0.contains("0 kept, 0 out"),
        "nobody else sends it"
    );
    disk.set_open(true);
    let mut stored = 0;
    wait_until("a write is kept", || {
        let status = sidecar
            .request(order_request(&format!("w{stored}"), PREFER_ASYNC))
            .expect("an answer")
            .status();
        stored += u32::from(status == 202);
        status == 202
    });
    let (server, seen) = recording_server();
    agent.set_hosts(vec![host("s-b", server.address)]);
    // Independent writes are sent in the order of their numbers, so the slow one would be first.
    wait_until("the stored write is sent", || {
        store_folder
            .edge_command(&["show"])
            .0
            .lines()
            .next()
            .is_some_and(|store| store.contains("0 kept, 0 out"))
    });
    let bodies: Vec<Vec<u8>> = seen.lock().expect("a log").iter().map(|m| m.body.clone()).collect();
    assert_eq!(bodies, [b"w0".to_vec()]);
    let text = store_folder.edge_command(&["show"]).0;
    assert!(text.contains("1 done, 1 set apart") && text.contains("withdrawn"), "{text}");
}

/// What a member sends after a withdrawn write still waits for what was stored before that write,
/// here for one that itself waits for an unknown write.
#[test]
fn writes_stored_before_a_withdrawn_write_are_still_waited_for() {
    let store_folder = StoreFolder::new();
    let agent = Agent::start(vec![host("s-a", unused_address())]);
    let disk = GatedStorage::default();
    disk.set_open(true);
    let sidecar = InProcessDaemon::start(&store_folder, &agent, disk.clone());
    let by_member = |body: &str, more: &str| {
        let request = order_request(body, &format!("{more}Cookie: k=7\r\n"));
        sidecar.request(request).expect("an answer").status()
    };
    let first = format!("{PREFER_ASYNC}Millethook-After: 00ff000000000001-1\r\n");
    assert_eq!(by_member("first", &first), 202);
    disk.set_open(false);
    assert_eq!(by_member("slow", PREFER_ASYNC), 502);
    disk.set_open(true);
    let (server, seen) = recording_server();
    agent.set_hosts(vec![host("s-b", server.address)]);
    wait_until("a server is reached", || {
        sidecar.request(order_request("nobody's", "")).is_some_and(|m| m.status() == 200)
    });
    assert_eq!(by_member("third", ""), 503);
    let seen = seen.lock().expect("a log");
    assert!(seen.iter().all(|m| m.body == b"nobody's"), "{seen:?}");
}

/// Run with `cargo test -p plankvale --release --test sidecar -- --ignored kills`; the variable
/// KILLS sets the number of kills, 100 by default.
#[test]
#[ignore = "some minutes"]
fn kills_at_any_instant_lose_and_double_nothing() {
    let kills: usize = std::env::var("KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let store_folder = StoreFolder::new();
    let (server, seen) = recording_server();
    let mut random = Random::new(7);
    let mut acknowledged: Vec<String> = Vec::new();
    let mut sent = 0usize;
    for kill in 0..kills {
        // In every other run servers can be reached, so that the process is killed during replay.
        let reachable = kill % 2 == 1;
        let at = if reachable { server.address } else { unused_address() };
        let agent = Agent::start(vec![host(&format!("s-{kill}"), at)]);
        let mut sidecar = store_folder.start(&agent);
        let life = Duration::from_millis(if reachable { 700 } else { 5 } + random.below(300));
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            let writers: Vec<_> = (0..4)
                .map(|_| {
                    let (first, address) = (sent, sidecar.address);
                    sent += 200;
                    scope.spawn(move || {
                        let mut acknowledged_bodies = Vec::new();
                        for n in first..first + 200 {
                            let Ok(socket) = std::net::TcpStream::connect(address) else { break };
                            let mut client = Conn::new(socket);
                            let body = format!("w{n}");
                            match client.request(order_request(&body, PREFER_ASYNC)) {
                                Some(m) if m.status() == 202 || m.status() == 200 => {
                                    acknowledged_bodies.push(body)
                                }
                                Some(_) => {}
                                None => break,
                            }
                        }
                        acknowledged_bodies
                    })
                })
                .collect();
            std::thread::sleep(life.saturating_sub(started_at.elapsed()));
            sidecar.child.kill().expect("killed");
            sidecar.child.wait().expect("ended");
            for writer in writers {
                acknowledged.extend(writer.join().expect("a writer"));
            }
        });
    }
    let agent = Agent::start(vec![host("s-end", server.address)]);
    let sidecar = store_folder.start(&agent);
    let is_settled = |s: &Sidecar| s.metric("sidecar.edge.left") == s.metric("sidecar.edge.doubt");
    let end = Instant::now() + Duration::from_secs(300);
    let mut stores = 0;
    while stores < kills / 2 || !is_settled(&sidecar) {
        let (left, uncertain) =
            (sidecar.metric("sidecar.edge.left"), sidecar.metric("sidecar.edge.doubt"));
        assert!(Instant::now() < end, "{stores} stores, {left} left, {uncertain} in doubt");
        std::thread::sleep(Duration::from_millis(200));
        stores = sidecar.metric("sidecar.edge.stores") as usize;
    }
    let mut ran: HashMap<String, usize> = HashMap::new();
    for message in seen.lock().expect("a log").iter() {
        *ran.entry(String::from_utf8_lossy(&message.body).into_owned()).or_default() += 1;
    }
    let twice: Vec<&String> = ran.iter().filter(|(_, n)| **n > 1).map(|(body, _)| body).collect();
    assert!(twice.is_empty(), "{twice:?}");
    let uncertain = sidecar.metric("sidecar.edge.doubt") as usize;
    let missing = acknowledged.iter().filter(|body| !ran.contains_key(*body)).count();
    println!(
        "{kills} kills: {} acknowledged, {} ran, {uncertain} in doubt, {missing} of the acknowledged not run",
        acknowledged.len(),
        ran.len()
    );
    assert!(missing <= uncertain, "{missing} acknowledged and nowhere, {uncertain} in doubt");
}
