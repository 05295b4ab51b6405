//! Stand-ins for the review's cases: clients, servers, discovery and the platform that starts sidecars.
//! Everything listens and connects on loopback addresses only.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Error of a case that could not run.
pub type Failure = String;

/// Whether the case is to cause its disruption: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Log(Arc<(Instant, Mutex<File>)>);

impl Log {
    pub fn create(path: &Path) -> Result<Log, Failure> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Log(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64();
        let mut file = self.0.1.lock().expect("the record");
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    pub fn elapsed(&self) -> Duration {
        self.0.0.elapsed()
    }
}

/// Runs a case: `review/N/run.sh` passes the folder of the case. The case returns whether the rule held.
pub fn run_case(case: impl FnOnce(&Log, &Path) -> Result<bool, Failure>) -> ExitCode {
    let Some(folder) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("the folder of the case expected");
        return ExitCode::from(2);
    };
    let log = match Log::create(&folder.join("record.txt")) {
        Ok(log) => log,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    let scratch = match TempFolder::new() {
        Ok(scratch) => scratch,
        Err(e) => {
            eprintln!("a temporary folder: {e}");
            return ExitCode::from(2);
        }
    };
    log.line(format!("trouble: {}", u8::from(trouble())));
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&log, &scratch.0)));
    let (text, code) = match result {
        Ok(Ok(true)) => ("result: the rule held".to_owned(), 0),
        Ok(Ok(false)) => ("result: the rule was broken".to_owned(), 1),
        Ok(Err(e)) => (format!("result: the case could not run: {e}"), 2),
        Err(_) => ("result: the case could not run: a stand-in failed".to_owned(), 2),
    };
    log.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

/// A private folder, removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    fn new() -> io::Result<TempFolder> {
        let path = std::env::temp_dir().join(format!("millethook-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until `done` returns true.
pub fn wait_for(what: &str, most: Duration, mut done: impl FnMut() -> bool) -> Result<(), Failure> {
    let end = Instant::now() + most;
    while !done() {
        if Instant::now() > end {
            return Err(format!("{what}: not within {} s", most.as_secs()));
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// A TCP address on which nobody listens.
pub fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    listener.local_addr().expect("an address")
}

/// UDP addresses that are free.
pub fn free_udp(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("an address")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect()
}

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message whose length its head tells. None: the connection ended first.
pub fn read_message(socket: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 << 10];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let n = socket.read(&mut chunk).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
    let first = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while rest.len() < end + length {
        let n = socket.read(&mut chunk).ok().filter(|n| *n > 0)?;
        rest.extend_from_slice(&chunk[..n]);
    }
    message.body = rest[end..end + length].to_vec();
    rest.drain(..end + length);
    Some(message)
}

/// A 200 answer with this body. `close` announces the end of the connection.
pub fn answer_200(body: &str, close: bool) -> String {
    let end = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 200 OK\r\n{end}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// What a server does with a request that it has read whole.
pub enum Act {
    /// It runs the request for this long and answers with this body.
    Run(Duration, String),
    /// It runs the request, and the connection is reset before its answer is written.
    RunAndBreak,
    /// It dies before it runs the request: the connection ends, and nothing was run.
    Break,
    /// It knows the key of the request, and answers without running it again.
    Known(String),
    /// No client of its service sent this: 400, as the protocol page says.
    Unknown,
    /// It refuses without running it: 503 and `X-Unprocessed: 1`.
    TurnAway,
}

/// A server that follows the protocol page: it begins a request at its last byte, runs it once for each time that
/// it gets it, and answers. It can die and come back at its address.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Message>>>,
    life: Arc<Life>,
}

/// Whether a server's process is there.
#[derive(Default)]
struct Life {
    wanted_dead: AtomicBool,
    is_dead: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
}

/// A handle by which a server can be killed and started again.
#[derive(Clone)]
pub struct ServerProcess(Arc<Life>);

impl ServerProcess {
    /// Ends the process: new connections are refused, and open ones end.
    pub fn kill(&self) {
        self.0.wanted_dead.store(true, Ordering::SeqCst);
        while !self.0.is_dead.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        for socket in self.0.sockets.lock().expect("the sockets").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Starts the process again at the same address.
    pub fn start(&self) {
        self.0.wanted_dead.store(false, Ordering::SeqCst);
    }
}

impl Server {
    /// `decide` gets the request and its number at this server, from 1.
    pub fn start(
        name: &str,
        log: &Log,
        decide: impl Fn(&Message, u64) -> Act + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<Vec<Message>>> = Arc::default();
        let (decide, count) = (Arc::new(decide), Arc::new(AtomicU64::new(0)));
        let (log, name_of, seen) = (log.clone(), name.to_owned(), runs.clone());
        let life = Arc::new(Life::default());
        let lives = life.clone();
        thread::spawn(move || {
            let mut listening = Some(listener);
            loop {
                let dead = lives.wanted_dead.load(Ordering::SeqCst);
                if dead {
                    listening = None;
                } else if listening.is_none() {
                    listening = TcpListener::bind(address).ok();
                }
                lives.is_dead.store(listening.is_none(), Ordering::SeqCst);
                let accepted = listening.as_ref().and_then(|listener| {
                    listener.set_nonblocking(true).ok()?;
                    listener.accept().ok()
                });
                let Some((socket, _)) = accepted else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = socket.set_nonblocking(false);
                if let Ok(clone) = socket.try_clone() {
                    lives.sockets.lock().expect("the sockets").push(clone);
                }
                let (decide, count, runs) = (decide.clone(), count.clone(), seen.clone());
                let (log, name) = (log.clone(), name_of.clone());
                thread::spawn(move || serve(socket, &name, &log, &*decide, &count, &runs));
            }
        });
        Server { name: name.to_owned(), address, runs, life }
    }

    /// The requests that were run here.
    pub fn runs(&self) -> Vec<Message> {
        self.runs.lock().expect("the runs").clone()
    }

    /// The handle to kill it by.
    pub fn process(&self) -> ServerProcess {
        ServerProcess(self.life.clone())
    }
}

fn serve(
    mut socket: TcpStream,
    name: &str,
    log: &Log,
    decide: &(dyn Fn(&Message, u64) -> Act + Send + Sync),
    count: &AtomicU64,
    runs: &Mutex<Vec<Message>>,
) {
    let _ = socket.set_nodelay(true);
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut socket, &mut rest) {
        let id = request.header("x-correlation-id").unwrap_or("-").to_owned();
        let what = format!("{} id {id} body {:?}", request.first, request.text());
        let n = count.fetch_add(1, Ordering::SeqCst) + 1;
        let close = request.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        match decide(&request, n) {
            Act::Run(time, body) => {
                log.line(format!("server {name} runs {what}"));
                runs.lock().expect("the runs").push(request);
                thread::sleep(time);
                let sent = socket.write_all(answer_200(&body, close).as_bytes());
                log.line(format!("server {name} answers 200 to id {id}: {sent:?}"));
                if sent.is_err() {
                    return;
                }
            }
            Act::RunAndBreak => {
                log.line(format!("server {name} runs {what}; its connection breaks, no answer"));
                runs.lock().expect("the runs").push(request);
                let _ = socket.shutdown(Shutdown::Both);
                return;
            }
            Act::Break => {
                log.line(format!("server {name} dies with {what}, not run"));
                let _ = socket.shutdown(Shutdown::Both);
                return;
            }
            Act::Known(body) => {
                log.line(format!("server {name} knows the key of {what}, not run again"));
                if socket.write_all(answer_200(&body, close).as_bytes()).is_err() {
                    return;
                }
            }
            Act::Unknown => {
                log.line(format!("server {name} answers 400: no client of its fleet sent {what}"));
                let refusal = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
                if socket.write_all(refusal.as_bytes()).is_err() {
                    return;
                }
            }
            Act::TurnAway => {
                log.line(format!("server {name} turns away {what}, not run"));
                let refusal =
                    "HTTP/1.1 503 Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                if socket.write_all(refusal.as_bytes()).is_err() {
                    return;
                }
            }
        }
        if close {
            return;
        }
    }
}

/// One entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub health: &'static str,
}

impl Host {
    pub fn new(name: &str, address: SocketAddr) -> Host {
        Host { name: name.to_owned(), address, zone: "utrecht".to_owned(), health: "active" }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"std-2c","block":0,"health":"{}","share":1.0,"born_ms":0}}"#,
            self.name, self.address, self.zone, self.health
        )
    }
}

/// Discovery with lists that are pushed: it answers at once with what it has, and holds a watch until its list
/// changes.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Host>)>>,
}

impl Agent {
    pub fn start(hosts: Vec<Host>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let agent = Agent { address, list: Arc::new(Mutex::new((1, hosts))) };
        let serving = agent.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || agent.serve(socket));
            }
        });
        agent
    }

    /// Replaces the list.
    pub fn set(&self, hosts: Vec<Host>) {
        let mut list = self.list.lock().expect("the list");
        *list = (list.0 + 1, hosts);
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut socket, &mut rest) {
            let number = |key: &str| -> Option<u64> {
                let at = request.first.find(key)? + key.len();
                let digits: String =
                    request.first[at..].chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            let from = number("from=");
            let end = Instant::now() + Duration::from_millis(number("hold_ms=").unwrap_or(0));
            let body = loop {
                let (seq, hosts) = self.list.lock().expect("the list").clone();
                if from.is_none_or(|from| from < seq) {
                    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
                    break format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, hosts.join(","));
                }
                if Instant::now() >= end {
                    break format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#);
                }
                thread::sleep(Duration::from_millis(5));
            };
            if socket.write_all(answer_200(&body, false).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A sidecar's files and addresses. They stay the same over restarts.
pub struct Sidecar {
    pub name: String,
    pub listen: SocketAddr,
    pub config: PathBuf,
    pub product: Option<PathBuf>,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
    log: Log,
}

impl Sidecar {
    /// Writes the file of the configuration. `config` gets the address for clients.
    pub fn new(
        name: &str,
        folder: &Path,
        log: &Log,
        product: Option<&str>,
        config: impl FnOnce(SocketAddr) -> String,
    ) -> Result<Sidecar, Failure> {
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let listen = free_tcp();
        let path = folder.join("config.json");
        std::fs::write(&path, config(listen)).map_err(|e| e.to_string())?;
        let product = match product {
            Some(text) => {
                let path = folder.join("millethook.toml");
                std::fs::write(&path, text).map_err(|e| e.to_string())?;
                Some(path)
            }
            None => None,
        };
        Ok(Sidecar {
            name: name.to_owned(),
            listen,
            config: path,
            product,
            folder,
            child: None,
            starts: 0,
            log: log.clone(),
        })
    }

    /// Starts the daemon with the command `run` of the deploy file.
    pub fn start(&mut self) -> Result<(), Failure> {
        let run = run_command()?;
        self.starts += 1;
        let text = self.folder.join(format!("log-{}.txt", self.starts));
        let file = File::create(&text).map_err(|e| e.to_string())?;
        let scratch = self.folder.join(format!("tmp-{}", self.starts));
        std::fs::create_dir_all(&scratch).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&run).stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        command.env("LB_CONFIG", &self.config).env("TMPDIR", &scratch);
        command.env_remove("LB_DISCOVERY").env_remove("LB_LISTEN").env_remove("LB_NAME");
        if let Some(product) = &self.product {
            command.env("MILLETHOOK_CONFIG", product);
        }
        self.child = Some(command.spawn().map_err(|e| format!("{run}: {e}"))?);
        self.log.line(format!("platform: starts sidecar {}", self.name));
        Ok(())
    }

    /// Waits until `GET /health/ready` is answered 200.
    pub fn wait_ready(&mut self) -> Result<(), Failure> {
        let listen = self.listen;
        wait_for("a sidecar is ready", Duration::from_secs(30), || {
            let request = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
            ask(listen, request, Duration::from_secs(2)).is_ok_and(|m| m.status() == 200)
        })?;
        self.log.line(format!("platform: sidecar {} is ready", self.name));
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.log.line(format!("platform: SIG{name} to sidecar {}", self.name));
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.log.line(format!("platform: SIGKILL to sidecar {}", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the end of a process that was told to end.
    pub fn wait_ended(&mut self, most: Duration) -> Result<(), Failure> {
        let Some(child) = &mut self.child else { return Ok(()) };
        wait_for("a sidecar ends", most, || child.try_wait().is_ok_and(|status| status.is_some()))?;
        self.log.line(format!("platform: sidecar {} has ended", self.name));
        self.child = None;
        Ok(())
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// What the present process has logged.
    pub fn logged(&self) -> String {
        let path = self.folder.join(format!("log-{}.txt", self.starts));
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        // The logs of the daemons are of use where a case fails.
        for n in 1..=self.starts {
            let path = self.folder.join(format!("log-{n}.txt"));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().take(400) {
                self.log.line(format!("log of {} (start {n}): {line}", self.name));
            }
        }
    }
}

/// The value of `run` in the deploy file.
pub fn run_command() -> Result<String, Failure> {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line =
        text.lines().find(|line| line.starts_with("run ")).ok_or("no run in the deploy file")?;
    let value = line.split('"').nth(1).ok_or("no command in the deploy file")?;
    let program = value.trim_start_matches("exec ").split(' ').next().unwrap_or_default();
    if !Path::new(program).exists() {
        return Err(format!("{program}: build it first, by the command of the deploy file"));
    }
    Ok(value.to_owned())
}

/// The daemon's program, for its commands for operators.
pub fn program() -> Result<PathBuf, Failure> {
    let run = run_command()?;
    Ok(PathBuf::from(run.trim_start_matches("exec ").split(' ').next().unwrap_or_default()))
}

/// Runs a command for operators and records it with its output.
pub fn operator(log: &Log, args: &[&str]) -> Result<(String, Option<i32>), Failure> {
    let output = Command::new(program()?).args(args).output().map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    log.line(format!(
        "operator: plankvale {} -> {:?}: {}",
        args.join(" "),
        output.status.code(),
        text.trim()
    ));
    Ok((text, output.status.code()))
}

/// Sends a request on a new connection and waits for its answer.
pub fn ask(to: SocketAddr, request: &str, most: Duration) -> io::Result<Message> {
    let mut socket = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
    socket.set_read_timeout(Some(most))?;
    socket.set_nodelay(true)?;
    socket.write_all(request.as_bytes())?;
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "no answer");
    read_message(&mut socket, &mut Vec::new()).ok_or_else(ended)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A correlation id that no other request has.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A request as the protocol page words it. `extra`: further header lines, each with its end.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    left_ms: u64,
    extra: &str,
    body: &str,
) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Account: radioclub-oost\r\n\
         X-Time-Left-Ms: {left_ms}\r\n{extra}{length}\r\n{body}"
    )
}

/// The classes of the site `logboek-nl`, as the wire page shows them, with this effect of `qsl-order`.
pub fn classes(order: &str) -> String {
    format!(
        r#"{{"aim":150000,"credit":2.0,"deadline":750000,"dedupScope":"all","lateWorth":0.2,"name":"call-lookup","repeat":"idempotent","streaming":false,"window":5000000}},
{{"aim":250000,"credit":1.0,"deadline":750000,"dedupScope":"all","lateWorth":0.2,"name":"log-page","repeat":"idempotent","streaming":false,"window":5000000}},
{{"aim":400000,"credit":8.0,"deadline":1500000,"dedupScope":"all","lateWorth":0.25,"name":"qsl-order","repeat":"{order}","streaming":false,"window":5000000}},
{{"aim":400000,"credit":10.0,"deadline":2000000,"dedupScope":"zone","lateWorth":0.3,"name":"log-upload","repeat":"deduplicated","streaming":false,"window":1200000}}"#
    )
}

/// `settings` of a small deployment of the site `logboek-nl`: the values of the wire page, for this many sidecars.
pub fn settings(me: usize, instances: usize, classes: &str) -> String {
    format!(
        r#"{{"classes":[{classes}],
"clients":{{"marksRetry":false}},"discovery":"pushed","familyInfo":{{"warmKeys":false}},
"goal":{{"whole":0.45,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.35}},"instances":{instances},"kinds":["std-2c"],"layer":0,
"limits":{{"cancel":true,"connIdle":10000000,"connectTimeout":75000,"cpuUsPerRequest":0.0,"cpuUsPerS":511595,"maxAttempts":6,"maxOpen":255797,"maxRetryAfter":2000000,"mayDuplicate":true,"mayTell":true,"probing":false,"retryAfter":false,"streamsPerConn":1}},
"me":{me},"overShareWorth":0.1,
"prices":{{"connection":0.0,"crossZone":0.06,"discovery":0.0,"handshake":0.0,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"waste":0.04}},
"report":{{"columns":["q","busy","rif"],"how":"piggyback"}},
"rules":{{"answerSlack":8000,"cold":23000000,"coldShare":0.16,"fallMultiple":4.0,"mustAskIn":10000000,"stopSendingWithin":500000,"tipAfter":3000000}},
"tenants":[{{"name":"zendkring-delta","quotaPerS":84.0,"share":0.37}},{{"name":"radioclub-oost","quotaPerS":73.0,"share":0.32}},{{"name":"qrp-kring-noord","quotaPerS":70.0,"share":0.31}}],
"tick":2000,"tiers":["logboek-api"],"weightKind":"silent","workload":"mesh","worthBy":"work","zone":0,"zones":["utrecht","groningen","eindhoven"]}}"#
    )
}

/// `LB_CONFIG` of the sidecar with number `me`.
pub fn config(
    me: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    peers: &[SocketAddr],
    settings: &str,
) -> String {
    let all: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    format!(
        r#"{{"name":"n{me}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{me}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"peer_listen":"{}","peers":[{}],"settings":{settings}}}"#,
        peers[me],
        all.join(",")
    )
}

/// Sends a request with `Prefer: respond-async` until it is kept. Returns its correlation id and its receipt.
pub fn keep_write(
    log: &Log,
    to: &Sidecar,
    path: &str,
    extra: &str,
    body: &str,
) -> Result<(String, String), Failure> {
    let mut receipt = None;
    wait_for("a write is kept", Duration::from_secs(20), || {
        let id = new_id();
        let extra = format!("Prefer: respond-async\r\n{extra}");
        log.line(format!(
            "client: POST {path} id {id} body {body:?} to {}, {:?}",
            to.name,
            extra.trim()
        ));
        let answer =
            ask(to.listen, &request("POST", path, &id, 900, &extra, body), Duration::from_secs(3));
        log.line(format!(
            "client: id {id} is answered {}",
            answer.as_ref().map_or(0, Message::status)
        ));
        if let Some(answer) = answer.ok().filter(|m| m.status() == 202) {
            receipt = answer.header("millethook-context").map(|context| (id, context.to_owned()));
        }
        receipt.is_some()
    })?;
    receipt.ok_or_else(|| "no receipt".into())
}
