//! The contestants, each a proxy in a process of its own on the first core.

use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use clap::ValueEnum;
use futures_util::stream;
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Either, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use millethook::{ClassConfig, Error, FleetConfig, RequestMeta};
use millethook_testkit::{config, program};
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tower::Service;
use tower::balance::p2c::Balance;
use tower::discover::Change;
use tower::load::{CompleteOnResponse, PeakEwma};

use crate::{Fault, pin};

/// The class that all requests are of: answers within the aim count in full, and nobody waits longer
/// than the deadline.
pub const AIM: Duration = Duration::from_millis(100);
/// See [`AIM`].
pub const DEADLINE: Duration = Duration::from_millis(1000);

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Contestant {
    /// No balancer: callers take the servers by turns.
    Direct,
    /// A plain hyper reverse proxy with a connection pool; the servers by turns.
    Hyper,
    /// The same over `tower::balance::p2c` with peak EWMA.
    Tower,
    /// The same over millethook as a library.
    Library,
    /// The daemon.
    Daemon,
}

impl Contestant {
    /// The ones named, or all.
    pub fn or_all(named: Vec<Contestant>) -> Vec<Contestant> {
        if named.is_empty() { Contestant::value_variants().to_vec() } else { named }
    }

    /// Its name in tables.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }
}

/// A contestant at work. Dropped, it ends.
pub struct Running {
    child: Child,
    /// Where it listens.
    pub at: SocketAddr,
}

impl Running {
    /// Starts it; None for [`Contestant::Direct`], which is no process.
    ///
    /// # Errors
    /// It did not come up.
    pub fn start(contestant: Contestant, discovery: SocketAddr) -> Result<Option<Running>, Fault> {
        if contestant == Contestant::Direct {
            return Ok(None);
        }
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("serve").arg(contestant.name()).arg(discovery.to_string());
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or("no standard error")?;
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let at = lines.find_map(|line| {
            let at = line.rsplit_once("listens on ")?.1;
            at.split_whitespace().next()?.parse().ok()
        });
        let running = Running { child, at: at.ok_or("it ended before it listened")? };
        std::thread::spawn(move || lines.for_each(drop));
        // Its list of servers has to be there, too.
        std::thread::sleep(Duration::from_millis(300));
        Ok(Some(running))
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

type Plain = Client<HttpConnector, Empty<Bytes>>;
type Answer = Response<Either<Incoming, Full<Bytes>>>;

fn plain() -> Plain {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

fn to(request: Request<Incoming>, at: SocketAddr) -> Option<Request<Empty<Bytes>>> {
    let (mut head, _) = request.into_parts();
    let path = head.uri.path_and_query()?.clone();
    head.uri = Uri::builder()
        .scheme("http")
        .authority(at.to_string())
        .path_and_query(path)
        .build()
        .ok()?;
    Some(Request::from_parts(head, Empty::new()))
}

fn status(status: StatusCode) -> Answer {
    let mut response = Response::new(Either::Right(Full::default()));
    *response.status_mut() = status;
    response
}

/// How a proxy gets an answer.
trait Proxy: Clone + 'static {
    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Answer>;
}

/// The servers by turns.
#[derive(Clone)]
struct Turns {
    client: Plain,
    servers: Rc<RefCell<(usize, Vec<SocketAddr>)>>,
}

impl Proxy for Turns {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let at = {
            let mut servers = self.servers.borrow_mut();
            servers.0 += 1;
            let n = servers.0;
            let list = &servers.1;
            if list.is_empty() { None } else { list.get(n % list.len()).copied() }
        };
        let Some(request) = at.and_then(|at| to(request, at)) else {
            return status(StatusCode::BAD_GATEWAY);
        };
        match self.client.request(request).await {
            Ok(answer) => answer.map(Either::Left),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }
}

/// One server of tower's.
struct Endpoint {
    client: Plain,
    at: SocketAddr,
}

impl Service<Request<Incoming>> for Endpoint {
    type Response = Response<Incoming>;
    type Error = Fault;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Incoming>, Fault>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Fault>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let request = to(request, self.at).map(|request| self.client.request(request));
        Box::pin(async move { Ok(request.ok_or("no path")?.await?) })
    }
}

type Changes = Pin<Box<dyn stream::Stream<Item = Result<Change<SocketAddr, Measured>, Fault>>>>;
type Measured = PeakEwma<Endpoint>;

#[derive(Clone)]
struct P2c(Rc<RefCell<Balance<Changes, Request<Incoming>>>>);

impl Proxy for P2c {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let ready = std::future::poll_fn(|cx| self.0.borrow_mut().poll_ready(cx)).await;
        if ready.is_err() {
            return status(StatusCode::BAD_GATEWAY);
        }
        let answer = self.0.borrow_mut().call(request);
        match answer.await {
            Ok(answer) => answer.map(Either::Left),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }
}

#[derive(Clone)]
struct Library(millethook::Fleet);

impl Proxy for Library {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let left = request.headers().get("x-time-left-ms").and_then(|v| v.to_str().ok());
        let left = left.and_then(|v| v.parse().ok()).map_or(DEADLINE, Duration::from_millis);
        let mut inner = Request::new(Empty::<Bytes>::new());
        *inner.uri_mut() = request.uri().clone();
        inner.extensions_mut().insert(RequestMeta::new().timeout(left));
        match self.0.call(inner).await {
            Ok(answer) => {
                let (head, body) = answer.into_parts();
                let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
                Response::from_parts(head, Either::Right(Full::new(body)))
            }
            Err(Error::Refused { .. }) => status(StatusCode::SERVICE_UNAVAILABLE),
            Err(_) => status(StatusCode::BAD_GATEWAY),
        }
    }
}

/// The library's configuration of a run.
///
/// # Errors
/// It makes no sense.
pub fn library(name: &str, discovery: SocketAddr) -> Result<FleetConfig, Fault> {
    let class = ClassConfig::safe("look", AIM, DEADLINE);
    Ok(FleetConfig::builder(name).discovery(discovery).class(class).open(4096).build()?)
}

async fn listen(proxy: impl Proxy) -> Result<(), Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("listens on {}", listener.local_addr()?);
    loop {
        let (socket, _) = listener.accept().await?;
        let _ = socket.set_nodelay(true);
        let proxy = proxy.clone();
        spawn_local(async move {
            let serving = service_fn(move |request| {
                let proxy = proxy.clone();
                async move { Ok::<_, std::convert::Infallible>(proxy.call(request).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), serving)
                .await;
        });
    }
}

#[derive(Deserialize)]
struct List {
    seq: u64,
    hosts: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    dial: SocketAddr,
}

/// Tells of each new list of servers.
async fn follow(discovery: SocketAddr, tell: mpsc::UnboundedSender<Vec<SocketAddr>>) {
    let client = plain();
    let mut seq = 0;
    loop {
        let uri = format!("http://{discovery}/registry/instances?from={seq}&hold_ms=5000");
        let Ok(uri) = uri.parse() else { return };
        let answer = async {
            let body = client.get(uri).await.ok()?.into_body().collect().await.ok()?.to_bytes();
            serde_json::from_slice::<List>(&body).ok()
        };
        match answer.await {
            Some(list) if list.seq > seq => {
                seq = list.seq;
                if tell.send(list.hosts.iter().map(|entry| entry.dial).collect()).is_err() {
                    return;
                }
            }
            Some(_) => {}
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn turns(mut lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>) -> Result<(), Fault> {
    let proxy = Turns { client: plain(), servers: Rc::default() };
    let servers = proxy.servers.clone();
    spawn_local(async move {
        while let Some(list) = lists.recv().await {
            servers.borrow_mut().1 = list;
        }
    });
    listen(proxy).await
}

async fn p2c(mut lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>) -> Result<(), Fault> {
    let (tell, mut changes) = mpsc::unbounded_channel();
    let client = plain();
    spawn_local(async move {
        let mut known: Vec<SocketAddr> = Vec::new();
        while let Some(list) = lists.recv().await {
            for at in known.iter().filter(|at| !list.contains(at)) {
                let _ = tell.send(Ok(Change::Remove(*at)));
            }
            for at in list.iter().filter(|at| !known.contains(at)) {
                let endpoint = Endpoint { client: client.clone(), at: *at };
                let decay = Duration::from_secs(10).as_nanos() as f64;
                let usual = Duration::from_millis(5);
                let measured = PeakEwma::new(endpoint, usual, decay, CompleteOnResponse::default());
                let _ = tell.send(Ok(Change::Insert(*at, measured)));
            }
            known = list;
        }
    });
    let changes: Changes = Box::pin(stream::poll_fn(move |cx| changes.poll_recv(cx)));
    listen(P2c(Rc::new(RefCell::new(Balance::new(changes))))).await
}

/// Puts the daemon in this process's place.
fn daemon(discovery: SocketAddr) -> Result<(), Fault> {
    use std::os::unix::process::CommandExt;
    let config = config(discovery, |c| {
        c["begins"] = "head".into();
        c["settings"]["failover"] = serde_json::json!({"copyAtAim": true, "slowExponent": 6.0});
        for class in c["settings"]["classes"].as_array_mut().into_iter().flatten() {
            class["aim"] = (AIM.as_micros() as u64).into();
            class["deadline"] = (DEADLINE.as_micros() as u64).into();
        }
    });
    let path = std::env::temp_dir().join(format!("millethook-bench-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string())?;
    Err(Command::new(program("plankvale")).env_clear().env("LB_CONFIG", path).exec().into())
}

/// A contestant's own process.
///
/// # Errors
/// It cannot listen.
pub fn serve(contestant: Contestant, discovery: SocketAddr) -> Result<(), Fault> {
    pin::pin(0);
    if contestant == Contestant::Daemon {
        return daemon(discovery);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let (tell, lists) = mpsc::unbounded_channel();
        match contestant {
            Contestant::Direct | Contestant::Daemon => Ok(()),
            Contestant::Library => {
                let fleet = millethook::Fleet::open(library("bench", discovery)?)?;
                fleet.ready().await;
                listen(Library(fleet)).await
            }
            Contestant::Hyper => {
                spawn_local(follow(discovery, tell));
                turns(lists).await
            }
            Contestant::Tower => {
                spawn_local(follow(discovery, tell));
                p2c(lists).await
            }
        }
    })
}

static IDS: AtomicU64 = AtomicU64::new(0);

/// The headers of a request, with an id that no other request of this process has. Danger: an id that comes
/// again is turned away by the daemon.
pub fn headers() -> HeaderMap {
    let n = IDS.fetch_add(1, Ordering::Relaxed);
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("host", "bench".into());
    set("x-account", "acme".into());
    set("x-correlation-id", format!("b{:x}-{n:x}", std::process::id()));
    set("x-time-left-ms", DEADLINE.as_millis().to_string());
    headers
}
