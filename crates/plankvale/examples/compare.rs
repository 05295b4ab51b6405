//! Measures in one run, on one core each: a call without any balancing, a plain hyper client with a
//! pool, the library, and the daemon with a plain client before it.
//!
//!     cargo build --release && cargo run --release --example compare [SECONDS]
//!
//! Eight servers that answer at once run in this process, on the other cores; each form runs in a
//! process of its own, held to core 0 by `taskset` where there is one. CPU is that of the process
//! measured (of the daemon alone, where it is the daemon), as the system counts it. Loads are closed
//! loops of so many callers, GETs of a safe class; they stop by themselves.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use millethook::{ClassConfig, Fleet, FleetConfig, RequestMeta};
use millethook_testkit::{Agent, Sidecar, config, host};
use tokio::net::{TcpListener, TcpStream};

type Fault = Box<dyn Error + Send + Sync>;

const SERVERS: usize = 8;
const CALLERS: [usize; 3] = [1, 16, 64];
/// Requests that are held open, to see what one costs in memory.
const HELD: usize = 200;
const HOLD: Duration = Duration::from_millis(1500);

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path().contains("hold") {
        tokio::time::sleep(HOLD).await;
    }
    Ok(Response::new(Full::new(Bytes::from_static(b"ok"))))
}

async fn server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.set_nodelay(true);
            let serving = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service_fn(answer));
            tokio::spawn(serving);
        }
    });
    Ok(at)
}

/// What is measured of a form.
trait Caller: Clone + Send + 'static {
    fn call(&mut self, path: &'static str) -> impl Future<Output = Result<(), Fault>> + Send;
}

/// One connection for each caller, to one server: no pool, no choice.
struct Direct {
    to: SocketAddr,
    sender: Option<hyper::client::conn::http1::SendRequest<Empty<Bytes>>>,
}

impl Clone for Direct {
    fn clone(&self) -> Direct {
        Direct { to: self.to, sender: None }
    }
}

impl Caller for Direct {
    async fn call(&mut self, path: &'static str) -> Result<(), Fault> {
        let mut sender = match self.sender.take() {
            Some(sender) => sender,
            None => {
                let socket = TcpStream::connect(self.to).await?;
                socket.set_nodelay(true)?;
                let (sender, driving) =
                    hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
                tokio::spawn(driving);
                sender
            }
        };
        sender.ready().await?;
        let request = Request::get(path).header("host", "a").body(Empty::new())?;
        sender.send_request(request).await?.into_body().collect().await?;
        self.sender = Some(sender);
        Ok(())
    }
}

/// A plain client with a pool; servers by turns, or the daemon alone.
#[derive(Clone)]
struct Pooled {
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Empty<Bytes>>,
    to: Arc<[SocketAddr]>,
    turn: Arc<AtomicUsize>,
}

impl Pooled {
    fn new(to: Vec<SocketAddr>) -> Pooled {
        let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Pooled { client, to: to.into(), turn: Arc::default() }
    }
}

impl Caller for Pooled {
    async fn call(&mut self, path: &'static str) -> Result<(), Fault> {
        let n = self.turn.fetch_add(1, Ordering::Relaxed);
        let to = self.to[n % self.to.len()];
        let request = Request::get(format!("http://{to}{path}"))
            .header("x-correlation-id", format!("m{n:x}"))
            .header("x-account", "acme")
            .header("x-time-left-ms", "5000")
            .body(Empty::new())?;
        let answer = self.client.request(request).await?;
        let served = answer.status() == http::StatusCode::OK;
        answer.into_body().collect().await?;
        if served { Ok(()) } else { Err("refused or failed".into()) }
    }
}

#[derive(Clone)]
struct InProcess(Fleet);

impl Caller for InProcess {
    async fn call(&mut self, path: &'static str) -> Result<(), Fault> {
        let mut request = Request::get(path).body(Empty::<Bytes>::new())?;
        request.extensions_mut().insert(RequestMeta::new().timeout(Duration::from_secs(5)));
        self.0.call(request).await?.into_body().collect().await?;
        Ok(())
    }
}

/// CPU of a process so far, and its resident memory in KiB, as the system tells.
fn process(pid: u32) -> Option<(Duration, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some((Duration::from_millis(ticks * 10), rss.split_whitespace().next()?.parse().ok()?))
}

/// Loads a form and prints a line for each number of callers; `pid` is the process to be measured.
async fn measure<C: Caller>(caller: C, pid: u32, seconds: u64) -> Result<(), Fault> {
    // Memory first, before a load has left its own: one call, so many open, and their connections at
    // rest afterwards.
    let mut first = caller.clone();
    first.call("/look/1").await?;
    let rss = || process(pid).map_or(0, |p| p.1);
    let before = rss();
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..HELD {
        let mut caller = caller.clone();
        tasks.spawn(async move { caller.call("/look/hold").await.is_ok() });
    }
    tokio::time::sleep(HOLD / 2).await;
    let open = rss();
    let mut held = 0;
    while let Some(task) = tasks.join_next().await {
        held += usize::from(task?);
    }
    let idle = rss();
    let each = |kib: u64| kib.saturating_sub(before) as f64 / HELD as f64;
    println!(
        "  memory {before} KiB; {held} held open: {:.1} KiB each, {:.1} each at rest after",
        each(open),
        each(idle),
    );
    for callers in CALLERS {
        for (warm, span) in
            [(true, Duration::from_millis(500)), (false, Duration::from_secs(seconds))]
        {
            let end = Instant::now() + span;
            let before = process(pid).ok_or("no figures of the process")?;
            let mut tasks = tokio::task::JoinSet::new();
            for _ in 0..callers {
                let mut caller = caller.clone();
                tasks.spawn(async move {
                    let (mut took, mut failed) = (Vec::new(), 0usize);
                    while Instant::now() < end {
                        let began = Instant::now();
                        match caller.call("/look/1").await {
                            Ok(()) => took.push(began.elapsed().as_nanos() as u64),
                            Err(_) => failed += 1,
                        }
                    }
                    (took, failed)
                });
            }
            let (mut took, mut failed) = (Vec::new(), 0);
            while let Some(task) = tasks.join_next().await {
                let (some, not) = task?;
                took.extend(some);
                failed += not;
            }
            if warm {
                continue;
            }
            let cpu = process(pid).ok_or("no figures of the process")?.0 - before.0;
            took.sort_unstable();
            let at = |share: f64| {
                let i = (share * (took.len().max(1) - 1) as f64) as usize;
                took.get(i).map_or(0.0, |ns| *ns as f64 / 1e6)
            };
            println!(
                "{callers:>8} {:>9.0} {:>9.1} {:>8.3} {:>8.3} {failed:>7}",
                took.len() as f64 / span.as_secs_f64(),
                cpu.as_secs_f64() * 1e6 / took.len().max(1) as f64,
                at(0.5),
                at(0.99),
            );
        }
    }
    Ok(())
}

fn child(core: &str, args: &[String]) -> Result<Child, Fault> {
    let own = std::env::current_exe()?;
    let pinned = Command::new("taskset").args(["-c", core]).arg(&own).args(args).spawn();
    match pinned {
        Ok(child) => Ok(child),
        Err(_) => {
            eprintln!("no taskset: not held to a core");
            Ok(Command::new(own).args(args).spawn()?)
        }
    }
}

/// A child's part: one form, in a runtime of one thread.
fn play(form: &str, seconds: u64, to: Vec<SocketAddr>, pid: u32) -> Result<(), Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        match form {
            "direct" => measure(Direct { to: to[0], sender: None }, pid, seconds).await,
            "library" => {
                // No answer is late here, those that are held open included.
                let (aim, deadline) = (Duration::from_secs(4), Duration::from_secs(5));
                let mut config = FleetConfig::builder("measured")
                    .class(ClassConfig::safe("look", aim, deadline));
                for (n, at) in to.iter().enumerate() {
                    config = config.server(&format!("s{n}"), *at);
                }
                let fleet = Fleet::open(config.build()?)?;
                measure(InProcess(fleet), pid, seconds).await
            }
            _ => measure(Pooled::new(to), pid, seconds).await,
        }
    })
}

fn parent(seconds: u64) -> Result<(), Fault> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let servers: Vec<SocketAddr> = runtime.block_on(async {
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            servers.push(server().await?);
        }
        Ok::<_, std::io::Error>(servers)
    })?;
    // The servers' threads leave core 0 to the form.
    let own = std::process::id().to_string();
    let _ = Command::new("taskset")
        .args(["-a", "-p", "-c", "1-255", &own])
        .stdout(Stdio::null())
        .status();
    println!(
        "{:>8} {:>9} {:>9} {:>8} {:>8} {:>7}",
        "callers", "req/s", "CPU us", "p50 ms", "p99 ms", "failed"
    );
    let list = |to: &[SocketAddr]| to.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    for form in ["direct", "pooled", "library"] {
        println!("{form}");
        let args = [form.to_owned(), seconds.to_string(), list(&servers), "0".into()];
        child("0", &args)?.wait()?;
    }
    println!("daemon (its own CPU; the client is on another core)");
    let hosts = servers.iter().enumerate().map(|(n, at)| host(&format!("s{n}"), *at)).collect();
    let agent = Agent::start(hosts);
    let daemon = Sidecar::start(&config(agent.address, |c| {
        for class in c["settings"]["classes"].as_array_mut().into_iter().flatten() {
            class["deadline"] = 5_000_000.into();
            class["aim"] = 4_000_000.into();
        }
    }));
    let pid = daemon.child.id();
    let _ = Command::new("taskset")
        .args(["-a", "-p", "-c", "0", &pid.to_string()])
        .stdout(Stdio::null())
        .status();
    let args =
        ["pooled".to_owned(), seconds.to_string(), daemon.address.to_string(), pid.to_string()];
    child("1", &args)?.wait()?;
    Ok(())
}

fn main() -> Result<(), Fault> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.as_slice() {
        [form, seconds, to, pid] => {
            let to = to.split(',').map(str::parse).collect::<Result<Vec<SocketAddr>, _>>()?;
            let pid = pid.parse::<u32>()?;
            play(form, seconds.parse()?, to, if pid == 0 { std::process::id() } else { pid })
        }
        [] => parent(5),
        [seconds] => parent(seconds.parse()?),
        _ => Err("usage: compare [SECONDS]".into()),
    }
}
