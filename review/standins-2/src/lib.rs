//! Stand-ins for the platform, servers and clients, and the frame of a case. Standard library only.
//!
//! All addresses are loopback addresses. Each stand-in does what `PROTOCOL-millethook.md` and `DEPLOY-millethook.md`
//! allow, and behaves like a sound peer where they are silent.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case that takes longer ends as one that could not run.
const LONGEST_RUN: Duration = Duration::from_secs(115);
/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The record of a case, and what all its parts share.
#[derive(Clone)]
pub struct Case {
    record: Arc<Mutex<File>>,
    started: Instant,
    /// The temporary folder of this run.
    pub folder: PathBuf,
    /// The root of the repository, from which the programs are started.
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    CannotRun,
}

impl Case {
    /// Reads the arguments (root, folder of the record, temporary folder) and opens the record.
    pub fn open() -> Case {
        let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
        let record = File::create(args[1].join("record.txt")).expect("record.txt can be written");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Case {
            record: Arc::new(Mutex::new(record)),
            started: Instant::now(),
            folder: args[2].clone(),
            root: args[0].clone(),
            trouble,
        };
        case.log(format!("disruption: {}", if trouble { "yes" } else { "no" }));
        let watched = case.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            for pid in CHILDREN.lock().expect("process ids").iter() {
                let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
            }
            watched.log("the case took too long");
            std::process::exit(2)
        });
        case
    }

    /// Writes one line into the record.
    pub fn log(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.record.lock().expect("the record"), "{at:8.3} {}", line.as_ref());
    }

    /// Ends the case. All processes must have been dropped before.
    pub fn end(self, verdict: Verdict) -> ! {
        let (code, text) = match verdict {
            Verdict::Held => (0, "the rule held"),
            Verdict::Broken => (1, "the rule was broken"),
            Verdict::CannotRun => (2, "the case could not run"),
        };
        self.log(format!("result {code}: {text}"));
        println!("result {code}: {text}");
        std::process::exit(code)
    }

    /// Waits until the condition holds; false if it does not within the time.
    pub fn wait(&self, what: &str, most: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.log(format!("not within {:.1} s: {what}", most.as_secs_f64()));
        false
    }
}

/// Seconds as a duration.
pub fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);
/// Ports of one run; runs side by side have other ones, as their process ids differ.
const PORTS: u64 = 100;
const FIRST_PORT: u64 = 15_000;
const BLOCKS: u64 = 170;

/// A port that is free for TCP and UDP, each time another one. It lies below the ports that the system gives to outgoing
/// connections, so it stays free while nobody listens there.
fn free_port() -> SocketAddr {
    let first = FIRST_PORT + u64::from(std::process::id()) % BLOCKS * PORTS;
    for _ in 0..BLOCKS * PORTS {
        let next = first + NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (next - FIRST_PORT) % (BLOCKS * PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port")
}

/// A free TCP address on loopback.
pub fn free_tcp() -> SocketAddr {
    free_port()
}

/// Free UDP addresses on loopback, all different.
pub fn free_udp(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_port()).collect()
}

/// One HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    /// The socket.
    pub socket: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    /// Wraps a socket.
    pub fn new(socket: TcpStream) -> Conn {
        let _ = socket.set_nodelay(true);
        Conn { socket, ahead: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let n = self.socket.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..n]);
        Ok(n > 0)
    }

    /// Reads one whole message; None if the connection ends before.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { first: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.line()?;
                let Some(line) = line else { return Ok(None) };
                let size = line.split(';').next().unwrap_or_default().trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else { return Ok(None) };
                if size == 0 {
                    while self.line()?.is_some_and(|l| !l.is_empty()) {}
                    return Ok(Some(message));
                }
                let Some(piece) = self.exactly(size + 2)? else { return Ok(None) };
                message.body.extend_from_slice(&piece[..size]);
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let Some(body) = self.exactly(length)? else { return Ok(None) };
        message.body = body;
        Ok(Some(message))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..at]).into_owned();
                self.ahead.drain(..at + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.ahead.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.ahead.drain(..length).collect()))
    }

    /// Writes bytes.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) -> io::Result<()> {
        self.socket.write_all(bytes.as_ref())
    }
}

/// An answer with a body.
pub fn answer(status: u16, reason: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// One listed server.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its address.
    pub dial: SocketAddr,
    /// `active` or `leaving`.
    pub health: &'static str,
}

/// An active server of the list.
pub fn host(name: &str, dial: SocketAddr) -> Host {
    Host { name: name.to_owned(), dial, health: "active" }
}

/// The agent of discovery on the sidecars' machine (lists are pushed): it holds a watch until there is something newer.
#[derive(Clone)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<Host>)>, Condvar)>,
}

impl Agent {
    /// Starts an agent with a list.
    pub fn start(hosts: Vec<Host>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let agent = Agent { address, state: Arc::new((Mutex::new((1, hosts)), Condvar::new())) };
        let serving = agent.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(Conn::new(socket)));
            }
        });
        agent
    }

    /// Replaces the list.
    pub fn set(&self, hosts: Vec<Host>) {
        let mut state = self.state.0.lock().expect("the list");
        *state = (state.0 + 1, hosts);
        self.state.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.message() {
            let target = request.first.split(' ').nth(1).unwrap_or_default().to_owned();
            let number = |key: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
            };
            let until = Instant::now() + Duration::from_millis(number("hold_ms").unwrap_or(0));
            let mut state = self.state.0.lock().expect("the list");
            if let Some(from) = number("from") {
                while state.0 <= from && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.state.1.wait_timeout(state, left).expect("the list").0;
                }
            }
            let unchanged = number("from").is_some_and(|from| from >= state.0);
            let hosts: Vec<String> = if unchanged { Vec::new() } else { entries(&state.1) };
            let body = format!("{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}", state.0, !unchanged, hosts.join(","));
            drop(state);
            if conn.send(answer(200, "OK", "Content-Type: application/json\r\n", &body)).is_err() {
                return;
            }
        }
    }
}

fn entries(hosts: &[Host]) -> Vec<String> {
    let entry = |h: &Host| {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"utrecht\",\"class\":\"std-2c\",\"block\":0,\
             \"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
            h.name, h.dial, h.health
        )
    };
    hosts.iter().map(entry).collect()
}

/// What a server does with a request whose last byte has come.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Runs it, and answers after this time.
    Run(Duration),
    /// Runs it, and resets the connection instead of answering.
    RunAndReset,
    /// Neither runs nor answers it: the connection stays open and silent.
    Hang,
}

/// One request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its last byte came.
    pub at: Instant,
    /// What was done.
    pub deed: Deed,
    /// The request.
    pub message: Message,
    /// Whether it took effect: a keyed repeat inside the window of its key does not.
    pub effect: bool,
}

/// What the servers of a group have seen and run.
#[derive(Clone, Default)]
pub struct Group {
    /// All arrivals, in order.
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    keys: Arc<Mutex<BTreeMap<String, Instant>>>,
}

impl Group {
    /// The arrivals whose body is this one and that took effect.
    pub fn effects(&self, body: &str) -> usize {
        let arrivals = self.arrivals.lock().expect("arrivals");
        arrivals.iter().filter(|a| a.effect && a.message.text() == body).count()
    }

    /// The arrivals whose body is this one.
    pub fn seen(&self, body: &str) -> usize {
        self.arrivals.lock().expect("arrivals").iter().filter(|a| a.message.text() == body).count()
    }
}

/// A server that begins a request with its last byte. `decide` gets the number of earlier arrivals with the same body.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server of a group at an address. Keyed repeats within `window` of the first are dropped and answered.
    pub fn start(
        case: &Case,
        group: &Group,
        (name, address): (&str, SocketAddr),
        window: Duration,
        decide: impl Fn(&Message, usize) -> Deed + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind(address).expect("the server's address is free");
        let address = listener.local_addr().expect("an address");
        let (stop, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let server = Server { address, stop: stop.clone(), open: open.clone() };
        let decide = Arc::new(decide);
        let (case, group, name) = (case.clone(), group.clone(), name.to_owned());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                open.lock().expect("sockets").push(socket.try_clone().expect("a socket"));
                let (case, group, name, decide) = (case.clone(), group.clone(), name.clone(), decide.clone());
                thread::spawn(move || serve(&case, &group, &name, window, &*decide, Conn::new(socket)));
            }
        });
        server
    }

    /// The process dies: its connections are reset and new ones refused.
    pub fn die(self) {
        self.stop.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        for socket in self.open.lock().expect("sockets").drain(..) {
            reset(&socket);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Ends a connection at once in both directions.
pub fn reset(socket: &TcpStream) {
    let _ = socket.shutdown(std::net::Shutdown::Both);
}

fn serve(
    case: &Case,
    group: &Group,
    name: &str,
    window: Duration,
    decide: &(impl Fn(&Message, usize) -> Deed + ?Sized),
    mut conn: Conn,
) {
    while let Ok(Some(message)) = conn.message() {
        let (id, text) = (message.header("x-correlation-id").unwrap_or("-").to_owned(), message.text());
        let deed = {
            let mut arrivals = group.arrivals.lock().expect("arrivals");
            let before = arrivals.iter().filter(|a| a.message.text() == text).count();
            let deed = decide(&message, before);
            let mut effect = !matches!(deed, Deed::Hang);
            if let (true, Some(key)) = (effect, message.header("idempotency-key")) {
                let mut keys = group.keys.lock().expect("keys");
                let now = Instant::now();
                match keys.get(key) {
                    Some(first) if now.duration_since(*first) < window => effect = false,
                    _ => drop(keys.insert(key.to_owned(), now)),
                }
            }
            let what = if effect { "takes effect" } else { "takes no effect" };
            case.log(format!("server {name}: {} id {id} body {text:?}: {what}, {deed:?}", message.first));
            arrivals.push(Arrival { at: Instant::now(), deed: deed.clone(), message, effect });
            deed
        };
        match deed {
            Deed::Run(after) => {
                thread::sleep(after);
                let sent = conn.send(answer(
                    200,
                    "OK",
                    "X-Backend-Load: queue=0,util=0.10,inflight=1\r\n",
                    &format!("done {text}"),
                ));
                if sent.is_err() {
                    return;
                }
            }
            Deed::RunAndReset => {
                reset(&conn.socket);
                return;
            }
            Deed::Hang => {
                let mut rest = [0; 1024];
                while conn.socket.read(&mut rest).is_ok_and(|n| n > 0) {}
                return;
            }
        }
    }
}

/// A process of the project, killed on drop.
pub struct Daemon {
    child: Child,
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The operators' address.
    pub admin: SocketAddr,
    config: PathBuf,
    case: Case,
}

impl Daemon {
    /// Starts the daemon with the `run` command of the deploy file. `config` makes LB_CONFIG from both addresses.
    pub fn start(
        case: &Case,
        name: &str,
        product: Option<&Path>,
        (listen, admin): (SocketAddr, SocketAddr),
        config: &str,
    ) -> Daemon {
        let path = case.folder.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration is written");
        let temporary = case.folder.join(format!("tmp-{name}"));
        let _ = std::fs::create_dir_all(&temporary);
        let log = File::options().create(true).append(true).open(case.folder.join(format!("{name}.log")));
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/plankvale"]).current_dir(&case.root).env_clear();
        command.env("LB_CONFIG", &path).env("TMPDIR", &temporary).env("LB_NAME", name);
        if let Some(product) = product {
            command.env("MILLETHOOK_CONFIG", product);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.expect("a log"));
        let child = command.spawn().expect("the daemon starts");
        CHILDREN.lock().expect("process ids").push(child.id());
        case.log(format!("daemon {name}: started"));
        Daemon { child, name: name.to_owned(), listen, admin, config: path, case: case.clone() }
    }

    /// Starts the daemon with the clients' listening socket open under the number 7, as for an upgrade. Processes of one
    /// sidecar share `temporary` and have an operators' address each.
    pub fn start_shared(
        case: &Case,
        name: &str,
        product: &Path,
        (listener, admin): (&TcpListener, SocketAddr),
        temporary: &Path,
        config: &str,
    ) -> Daemon {
        let path = case.folder.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration is written");
        let log = File::options().create(true).append(true).open(case.folder.join(format!("{name}.log")));
        let socket: OwnedFd = listener.try_clone().expect("a socket").into();
        let mut command = Command::new("/bin/sh");
        // The command of the deploy file; the socket comes as standard input and is moved to its number.
        command.args(["-c", "exec target/release/plankvale 7<&0 </dev/null"]).current_dir(&case.root).env_clear();
        command.env("LB_CONFIG", &path).env("TMPDIR", temporary).env("LB_INHERITED_FD", "7");
        command.env("MILLETHOOK_CONFIG", product);
        command.stdin(socket).stdout(Stdio::null()).stderr(log.expect("a log"));
        let child = command.spawn().expect("the daemon starts");
        CHILDREN.lock().expect("process ids").push(child.id());
        case.log(format!("daemon {name}: started"));
        let listen = listener.local_addr().expect("an address");
        Daemon { child, name: name.to_owned(), listen, admin, config: path, case: case.clone() }
    }

    /// Whether the operators' address says that it is ready.
    pub fn is_ready_for_operators(&self) -> bool {
        get(self.admin, "/v1/readyz").is_some_and(|m| m.status() == 200)
    }

    /// The jobs that it owns, with their tokens, as the operators' address shows them.
    pub fn jobs(&self) -> Vec<String> {
        let text = get(self.admin, "/v1/metrics").map_or(String::new(), |m| m.text());
        let job = |line: &str| Some(line.split_once("lease.job.")?.1.split(':').next()?.to_owned());
        text.lines().filter_map(job).collect()
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        get(self.listen, "/health/ready").is_some_and(|m| m.status() == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        self.case.log(format!("daemon {}: SIG{name}", self.name));
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), pid.as_str()]).status();
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, config).expect("the configuration is written");
        std::fs::rename(&new, &self.config).expect("the configuration is replaced");
        self.signal("HUP");
    }

    /// Waits for the end of the process; false if it has not ended in time.
    pub fn ended(&mut self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                forget(self.child.id());
                self.case.log(format!("daemon {}: ended, {status}", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Kills the process outright.
    pub fn kill(mut self) {
        self.signal("KILL");
        self.ended(seconds(2.0));
    }

    /// One figure of the operators' address.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let text = get(self.admin, "/v1/metrics")?.text();
        text.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.split('|').next()?.parse().ok())?
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }
}

fn forget(pid: u32) {
    CHILDREN.lock().expect("process ids").retain(|other| *other != pid);
}

/// One GET on a new connection.
pub fn get(to: SocketAddr, path: &str) -> Option<Message> {
    let socket = TcpStream::connect_timeout(&to, seconds(1.0)).ok()?;
    socket.set_read_timeout(Some(seconds(2.0))).ok()?;
    let mut conn = Conn::new(socket);
    conn.send(format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\n\r\n")).ok()?;
    conn.message().ok()?
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
pub struct Request<'a> {
    /// `POST /log-upload` and so on.
    pub line: &'a str,
    /// The idempotency key, if any.
    pub key: Option<&'a str>,
    /// The cookie `k`: the member.
    pub member: Option<&'a str>,
    /// How long the client waits, in milliseconds.
    pub left_ms: u64,
    /// Further headers, each with its line end.
    pub more: &'a str,
    /// The body.
    pub body: &'a str,
}

/// Sends a request on a new connection and waits for its answer, up to half a second after its time.
pub fn ask(case: &Case, to: SocketAddr, request: &Request) -> Option<Message> {
    let id = format!("{:016x}", unix_ms() << 16 | NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let Request { line, key, member, left_ms, more, body } = request;
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let member = member.map_or(String::new(), |k| format!("Cookie: k={k}\r\n"));
    let length = if line.starts_with("GET") { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!(
        "{line} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: zendkring-delta\r\n{member}\
         X-Time-Left-Ms: {left_ms}\r\n{key}{more}{length}\r\n{body}"
    );
    case.log(format!("client: {line} id {id} {}{}body {body:?}", key.replace("\r\n", " "), more.replace("\r\n", " ")));
    let answer = (|| {
        let socket = TcpStream::connect_timeout(&to, seconds(1.0)).ok()?;
        socket.set_read_timeout(Some(Duration::from_millis(left_ms + 500))).ok()?;
        let mut conn = Conn::new(socket);
        conn.send(&text).ok()?;
        conn.message().ok()?
    })();
    match &answer {
        Some(m) => {
            let receipt = m.header("millethook-context").map_or(String::new(), |c| format!(", receipt {c}"));
            case.log(format!("client: id {id} is answered {}{receipt}", m.first));
        }
        None => case.log(format!("client: id {id} has no answer")),
    }
    answer
}

/// A class of the settings.
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// `idempotent`, `deduplicated` or `at_most_once`.
    pub repeat: &'static str,
    /// The group of servers that drop repeats.
    pub scope: &'static str,
    /// In milliseconds: aim, deadline and window.
    pub times: (u64, u64, u64),
}

/// Three classes of the site `logboek-nl`. The group of servers that drops repeats of `log-upload` is `all`, and its window
/// 1.5 s, as for the keyed class of the site `hq-quote-taipei`.
pub fn classes() -> Vec<Class> {
    vec![
        Class { name: "call-lookup", repeat: "idempotent", scope: "all", times: (150, 750, 5000) },
        Class { name: "qsl-order", repeat: "at_most_once", scope: "all", times: (400, 1500, 5000) },
        Class { name: "log-upload", repeat: "deduplicated", scope: "all", times: (400, 2000, 1500) },
    ]
}

/// LB_CONFIG of one sidecar.
pub fn lb_config(
    (me, name): (usize, &str),
    (listen, admin, discovery): (SocketAddr, SocketAddr, SocketAddr),
    peers: &[SocketAddr],
    classes: &[Class],
) -> String {
    let class = |c: &Class| {
        let (aim, deadline, window) = c.times;
        format!(
            "{{\"aim\":{},\"credit\":2.0,\"deadline\":{},\"dedupScope\":\"{}\",\"lateWorth\":0.2,\"name\":\"{}\",\
             \"repeat\":\"{}\",\"streaming\":false,\"window\":{}}}",
            aim * 1000,
            deadline * 1000,
            c.scope,
            c.name,
            c.repeat,
            window * 1000
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let quoted: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    let fleet = if peers.is_empty() {
        String::new()
    } else {
        format!("\"peer_listen\":\"{}\",\"peers\":[{}],", peers[me], quoted.join(","))
    };
    let instances = peers.len().max(1);
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"admin\":\"{admin}\",\
         \"seed\":\"{:016x}\",{fleet}\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"settings\":{{\"classes\":[{}],\"clients\":{{\"marksRetry\":false}},\"discovery\":\"pushed\",\
         \"familyInfo\":{{\"warmKeys\":false}},\
         \"goal\":{{\"whole\":0.45,\"worstClass\":0.1,\"worstTenant\":0.1,\"worstWindow\":0.35}},\
         \"instances\":{instances},\"kinds\":[\"std-2c\"],\"layer\":0,\
         \"limits\":{{\"cancel\":true,\"connIdle\":10000000,\"connectTimeout\":75000,\"cpuUsPerRequest\":0.0,\
         \"cpuUsPerS\":511595,\"maxAttempts\":6,\"maxOpen\":255797,\"maxRetryAfter\":2000000,\"mayDuplicate\":true,\
         \"mayTell\":true,\"probing\":false,\"retryAfter\":false,\"streamsPerConn\":1}},\"me\":{me},\
         \"overShareWorth\":0.1,\"prices\":{{\"connection\":0.0,\"crossZone\":0.06,\"discovery\":0.0,\
         \"handshake\":0.0,\"lateFail\":0.03,\"moves\":0.0,\"origin\":0.0,\"peer\":0.01,\"probe\":0.0,\"waste\":0.04}},\
         \"report\":{{\"columns\":[\"q\",\"busy\",\"rif\"],\"how\":\"piggyback\"}},\
         \"rules\":{{\"answerSlack\":8000,\"cold\":23000000,\"coldShare\":0.16,\"fallMultiple\":4.0,\
         \"mustAskIn\":10000000,\"stopSendingWithin\":500000,\"tipAfter\":3000000}},\
         \"tenants\":[{{\"name\":\"zendkring-delta\",\"quotaPerS\":84.0,\"share\":1.0}}],\"tick\":2000,\
         \"tiers\":[\"logboek-api\"],\"weightKind\":\"silent\",\"workload\":\"mesh\",\"worthBy\":\"work\",\"zone\":0,\
         \"zones\":[\"utrecht\",\"groningen\",\"eindhoven\"]}}}}",
        unix_ms() ^ (me as u64) << 40,
        classes.join(","),
    )
}

/// Sidecars of one host that keep writes in one folder.
pub struct Fleet {
    /// The running ones, by number.
    pub daemons: Vec<Option<Daemon>>,
    /// The folder of the stores.
    pub stores: PathBuf,
    product: PathBuf,
    peers: Vec<SocketAddr>,
    addresses: Vec<(SocketAddr, SocketAddr)>,
    discovery: SocketAddr,
    case: Case,
}

impl Fleet {
    /// Starts `count` sidecars with `[fleet]`, `[lease]` with its defaults, and `[edge]`; None if they do not get ready.
    pub fn start(case: &Case, count: usize, agent: &Agent, edge: &str, classes: &[Class]) -> Option<Fleet> {
        let stores = case.folder.join("edge");
        let product = case.folder.join("product.toml");
        let text =
            format!("[fleet]\nname = \"logboek\"\n\n[lease]\n\n[edge]\nfolder = \"{}\"\n{edge}\n", stores.display());
        std::fs::write(&product, text).expect("the product's file is written");
        let addresses = (0..count).map(|_| (free_tcp(), free_tcp())).collect();
        let mut fleet = Fleet {
            daemons: (0..count).map(|_| None).collect(),
            stores,
            product,
            peers: free_udp(count),
            addresses,
            discovery: agent.address,
            case: case.clone(),
        };
        (0..count).for_each(|n| fleet.start_one(n, classes));
        // Signals come no sooner than after the first second of a process.
        let ready = fleet.wait_until_ready();
        thread::sleep(seconds(2.0));
        ready.then_some(fleet)
    }

    /// Starts one sidecar, under its name and addresses.
    pub fn start_one(&mut self, n: usize, classes: &[Class]) {
        let config = self.config(n, classes);
        let daemon = Daemon::start(&self.case, &format!("n{n}"), Some(&self.product), self.addresses[n], &config);
        self.daemons[n] = Some(daemon);
    }

    /// Waits until all running sidecars are ready.
    pub fn wait_until_ready(&self) -> bool {
        let ready = || self.daemons.iter().flatten().all(Daemon::is_ready);
        self.case.wait("all sidecars are ready", seconds(10.0), ready)
    }

    /// LB_CONFIG of one sidecar.
    pub fn config(&self, n: usize, classes: &[Class]) -> String {
        let (listen, admin) = self.addresses[n];
        lb_config((n, &format!("n{n}")), (listen, admin, self.discovery), &self.peers, classes)
    }

    /// Where the clients of a sidecar connect.
    pub fn listen(&self, n: usize) -> SocketAddr {
        self.addresses[n].0
    }

    /// A running sidecar.
    pub fn daemon(&self, n: usize) -> &Daemon {
        self.daemons[n].as_ref().expect("it runs")
    }

    /// Which sidecars replay a store with writes, by their figures.
    pub fn owners(&self) -> Vec<usize> {
        let owns = |d: &Daemon| d.figure("sidecar.edge.left").unwrap_or(0) > 0;
        (0..self.daemons.len()).filter(|n| self.daemons[*n].as_ref().is_some_and(owns)).collect()
    }

    /// Runs `plankvale edge` and returns what it prints.
    pub fn edge(&self, args: &[&str]) -> String {
        let mut command = Command::new("target/release/plankvale");
        command.current_dir(&self.case.root).args(["edge", args[0]]).arg(&self.stores).args(&args[1..]);
        let output = command.output().expect("plankvale edge runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
        self.case.log(format!("operator: plankvale edge {}: {}", args.join(" "), text.trim().replace('\n', " / ")));
        text
    }
}
