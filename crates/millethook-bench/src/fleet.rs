//! The servers of a run: eight or more on loopback, each with slots, a queue and a service time, and the discovery
//! that lists them.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use millethook_testkit::{Agent, host};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, LocalSet, spawn_local};

use crate::{BenchError, pin};

/// The behavior of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerBehavior {
    /// Number of requests that it serves concurrently.
    pub slots: usize,
    /// Number of requests that may wait; more are rejected as unprocessed.
    pub queue: usize,
    /// The mean of the exponentially distributed service time. `None` if it answers immediately.
    pub mean: Option<Duration>,
    /// Whether it answers 500 immediately.
    pub errs: bool,
    /// Whether it accepts, reads and never answers.
    pub silent: bool,
}

impl ServerBehavior {
    /// A server that answers immediately.
    pub const INSTANT: ServerBehavior =
        ServerBehavior { slots: usize::MAX >> 4, queue: 0, mean: None, errs: false, silent: false };

    /// Returns its capacity in requests per second.
    pub fn capacity(&self) -> f64 {
        self.mean.map_or(f64::INFINITY, |mean| self.slots as f64 / mean.as_secs_f64())
    }
}

struct Server {
    behavior: ServerBehavior,
    slots: Semaphore,
    waiting: Cell<usize>,
    held: Cell<usize>,
    random: RefCell<SmallRng>,
}

impl Server {
    async fn answer(&self) -> Response<Full<Bytes>> {
        let reply = |status: StatusCode, body: &'static [u8]| {
            let mut response = Response::new(Full::new(Bytes::from_static(body)));
            *response.status_mut() = status;
            let load = format!("inflight={},queue={}", self.held.get(), self.waiting.get());
            if let Ok(value) = load.parse() {
                response.headers_mut().insert("x-backend-load", value);
            }
            response
        };
        if self.behavior.silent {
            std::future::pending::<()>().await;
        }
        if self.behavior.errs {
            return reply(StatusCode::INTERNAL_SERVER_ERROR, b"");
        }
        let Some(mean) = self.behavior.mean else { return reply(StatusCode::OK, b"ok") };
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.behavior.queue {
            let mut full = reply(StatusCode::SERVICE_UNAVAILABLE, b"");
            full.headers_mut().insert("x-unprocessed", http::HeaderValue::from_static("1"));
            return full;
        }
        self.held.set(self.held.get() + 1);
        self.waiting.set(self.waiting.get() + 1);
        let permit = self.slots.acquire().await;
        self.waiting.set(self.waiting.get() - 1);
        let draw: f64 = self.random.borrow_mut().sample(Exp1);
        tokio::time::sleep(mean.mul_f64(draw)).await;
        drop(permit);
        self.held.set(self.held.get() - 1);
        reply(StatusCode::OK, b"ok")
    }

    async fn serve(self: Rc<Server>, listener: TcpListener) {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.set_nodelay(true);
            let server = self.clone();
            spawn_local(async move {
                let answer = service_fn(move |_: Request<Incoming>| {
                    let server = server.clone();
                    // Started work continues after its client has disconnected.
                    let done = spawn_local(async move { server.answer().await });
                    async move {
                        let failed = || Response::new(Full::default());
                        Ok::<_, Infallible>(done.await.unwrap_or_else(|_| failed()))
                    }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(socket), answer)
                    .await;
            });
        }
    }
}

enum Command {
    Start(ServerBehavior, u64, tokio::sync::oneshot::Sender<std::io::Result<(SocketAddr, usize)>>),
    Stop(usize),
}

/// Servers on a separate thread and core, and the discovery that lists them.
pub struct Fleet {
    commands: tokio::sync::mpsc::UnboundedSender<Command>,
    /// The discovery that lists the servers.
    pub agent: Agent,
    servers: Vec<(String, SocketAddr, usize)>,
    started: u64,
}

impl Fleet {
    /// Starts a fleet with a server of each given behavior.
    ///
    /// # Errors
    /// Fails if no thread can be started or no port is available.
    pub fn start(behaviors: &[ServerBehavior]) -> Result<Fleet, BenchError> {
        let (commands, mut queue) = tokio::sync::mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::spawn(move || {
            pin::pin(1);
            LocalSet::new().block_on(&runtime, async move {
                let mut running: Vec<AbortHandle> = Vec::new();
                while let Some(command) = queue.recv().await {
                    match command {
                        Command::Stop(n) => running[n].abort(),
                        Command::Start(behavior, seed, start_result) => {
                            let bound = TcpListener::bind("127.0.0.1:0").await;
                            let bound = bound.and_then(|l| Ok((l.local_addr()?, l)));
                            let _ = start_result.send(bound.map(|(at, listener)| {
                                let server = Rc::new(Server {
                                    behavior,
                                    slots: Semaphore::new(behavior.slots),
                                    waiting: Cell::new(0),
                                    held: Cell::new(0),
                                    random: RefCell::new(SmallRng::seed_from_u64(seed)),
                                });
                                let task = spawn_local(server.serve(listener));
                                running.push(task.abort_handle());
                                (at, running.len() - 1)
                            }));
                        }
                    }
                }
            });
        });
        let mut fleet =
            Fleet { commands, agent: Agent::start(Vec::new()), servers: Vec::new(), started: 0 };
        for behavior in behaviors {
            fleet.add(*behavior)?;
        }
        fleet.list();
        Ok(fleet)
    }

    fn add(&mut self, behavior: ServerBehavior) -> Result<(), BenchError> {
        let (start_result, started) = tokio::sync::oneshot::channel();
        self.started += 1;
        let _ = self.commands.send(Command::Start(behavior, self.started, start_result));
        let (at, task) = started.blocking_recv()??;
        self.servers.push((format!("s{}", self.started), at, task));
        Ok(())
    }

    fn list(&self) {
        self.agent.set_hosts(self.servers.iter().map(|(name, at, _)| host(name, *at)).collect());
    }

    /// Replaces the oldest server with a new one. The old server accepts no new connections, and finishes the
    /// requests on its open ones.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub fn replace_one(&mut self, behavior: ServerBehavior) -> Result<(), BenchError> {
        self.add(behavior)?;
        let (_, _, task) = self.servers.remove(0);
        self.list();
        let _ = self.commands.send(Command::Stop(task));
        Ok(())
    }

    /// Returns the addresses of the servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|(_, at, _)| *at).collect()
    }
}
