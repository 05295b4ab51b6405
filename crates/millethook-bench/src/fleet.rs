//! The servers of a run: eight or more on loopback, with places, a queue and a time for work, and the
//! discovery that lists them.

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

use crate::{Fault, pin};

/// How a server works.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that wait behind them; more are turned away unseen.
    pub queue: usize,
    /// The mean time of one; exponentially spread. None: it answers at once.
    pub mean: Option<Duration>,
    /// It answers 500 at once.
    pub errs: bool,
    /// It accepts, reads, and never answers.
    pub silent: bool,
}

impl Work {
    /// It answers at once.
    pub const INSTANT: Work =
        Work { slots: usize::MAX >> 4, queue: 0, mean: None, errs: false, silent: false };

    /// Requests a second that it can do.
    pub fn capacity(&self) -> f64 {
        self.mean.map_or(f64::INFINITY, |mean| self.slots as f64 / mean.as_secs_f64())
    }
}

struct Server {
    work: Work,
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
        if self.work.silent {
            std::future::pending::<()>().await;
        }
        if self.work.errs {
            return reply(StatusCode::INTERNAL_SERVER_ERROR, b"");
        }
        let Some(mean) = self.work.mean else { return reply(StatusCode::OK, b"ok") };
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.work.queue {
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
                    // Work that has begun goes on when its caller has gone.
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
    Start(Work, u64, tokio::sync::oneshot::Sender<std::io::Result<(SocketAddr, usize)>>),
    Stop(usize),
}

/// Servers on a thread and core of their own, and the list of them.
pub struct Fleet {
    commands: tokio::sync::mpsc::UnboundedSender<Command>,
    /// Discovery.
    pub agent: Agent,
    servers: Vec<(String, SocketAddr, usize)>,
    started: u64,
}

impl Fleet {
    /// One of these servers.
    ///
    /// # Errors
    /// There is no thread or no port to be had.
    pub fn start(works: &[Work]) -> Result<Fleet, Fault> {
        let (commands, mut queue) = tokio::sync::mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::spawn(move || {
            pin::pin(1);
            LocalSet::new().block_on(&runtime, async move {
                let mut running: Vec<AbortHandle> = Vec::new();
                while let Some(command) = queue.recv().await {
                    match command {
                        Command::Stop(n) => running[n].abort(),
                        Command::Start(work, seed, told) => {
                            let bound = TcpListener::bind("127.0.0.1:0").await;
                            let bound = bound.and_then(|l| Ok((l.local_addr()?, l)));
                            let _ = told.send(bound.map(|(at, listener)| {
                                let server = Rc::new(Server {
                                    work,
                                    slots: Semaphore::new(work.slots),
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
        for work in works {
            fleet.add(*work)?;
        }
        fleet.list();
        Ok(fleet)
    }

    fn add(&mut self, work: Work) -> Result<(), Fault> {
        let (told, started) = tokio::sync::oneshot::channel();
        self.started += 1;
        let _ = self.commands.send(Command::Start(work, self.started, told));
        let (at, task) = started.blocking_recv()??;
        self.servers.push((format!("s{}", self.started), at, task));
        Ok(())
    }

    fn list(&self) {
        self.agent.set_hosts(self.servers.iter().map(|(name, at, _)| host(name, *at)).collect());
    }

    /// Puts a new server in place of the one that has been there longest. The old one takes no new
    /// connection from then on; what it has, it finishes.
    ///
    /// # Errors
    /// There is no port to be had.
    pub fn replace_one(&mut self, work: Work) -> Result<(), Fault> {
        self.add(work)?;
        let (_, _, task) = self.servers.remove(0);
        self.list();
        let _ = self.commands.send(Command::Stop(task));
        Ok(())
    }

    /// Where the servers are.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|(_, at, _)| *at).collect()
    }
}
