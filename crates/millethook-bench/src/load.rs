//! Load generators: closed loops to measure the cost of a request, and an open loop to measure what clients see.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};

use crate::contestant::{AIM, DEADLINE, headers};
use crate::{BenchError, pin};

/// The targets of requests, used round-robin.
pub type Targets = Arc<Mutex<Vec<SocketAddr>>>;

/// The results of a load.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Times of the served answers in microseconds, from when each request was due.
    pub times: Histogram<u64>,
    /// Requests that were due.
    pub due: u64,
    /// Answers with the status 200, in time.
    pub served: u64,
    /// Those of them that were within the aim.
    pub in_aim: u64,
    /// Answers with the status 503 or 429.
    pub refused: u64,
    /// All other requests, including those without an answer in time.
    pub failed: u64,
    /// Duration of the load.
    pub took: Duration,
}

impl Outcomes {
    fn new() -> Outcomes {
        Outcomes {
            times: Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!()),
            due: 0,
            served: 0,
            in_aim: 0,
            refused: 0,
            failed: 0,
            took: Duration::ZERO,
        }
    }

    fn add(&mut self, end: Outcome, time: Duration) {
        match end {
            Outcome::Served => {
                self.served += 1;
                self.in_aim += u64::from(time <= AIM);
                self.times.saturating_record(time.as_micros().max(1) as u64);
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Returns a quantile of the answer times in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Served,
    Refused,
    Failed,
}

type Sender = SendRequest<Empty<Bytes>>;

async fn connect(to: SocketAddr) -> Result<Sender, BenchError> {
    let socket = TcpStream::connect(to).await?;
    socket.set_nodelay(true)?;
    let (sender, driving) = handshake(TokioIo::new(socket)).await?;
    spawn_local(driving);
    Ok(sender)
}

async fn perform_request(sender: &mut Sender) -> Result<Outcome, BenchError> {
    sender.ready().await?;
    let mut request = Request::get("/look/1").body(Empty::new())?;
    *request.headers_mut() = headers();
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    Ok(match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Refused,
        _ => Outcome::Failed,
    })
}

/// Runs clients that each send the next request as soon as the last one is answered.
///
/// # Errors
/// Fails if no runtime or connection can be created.
pub fn closed(to: &[SocketAddr], callers: usize, span: Duration) -> Result<Outcomes, BenchError> {
    pin::pin(2);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let all = Rc::new(RefCell::new(Outcomes::new()));
        let began = Instant::now();
        let mut tasks = Vec::new();
        let next = Rc::new(Cell::new(0));
        for caller in 0..callers {
            let (all, to, next) = (all.clone(), to[caller % to.len()], next.clone());
            tasks.push(spawn_local(async move {
                let mut sender = connect(to).await?;
                while began.elapsed() < span {
                    let started = Instant::now();
                    next.set(next.get() + 1);
                    let end = match perform_request(&mut sender).await {
                        Ok(end) => end,
                        Err(_) => {
                            sender = connect(to).await?;
                            Outcome::Failed
                        }
                    };
                    all.borrow_mut().add(end, started.elapsed());
                }
                Ok::<_, BenchError>(())
            }));
        }
        for task in tasks {
            task.await??;
        }
        let mut all = all.borrow().clone();
        all.due = next.get();
        all.took = began.elapsed();
        Ok(all)
    })
}

/// Sends requests that are due at random times, at `rate` per second, whether or not earlier ones are answered. Times
/// are measured from when a request was due, so that delays caused by a stall count as well (coordinated omission).
///
/// # Errors
/// Fails if no runtime can be created or there is no target.
pub fn open(
    targets: &Targets,
    rate: f64,
    span: Duration,
    seed: u64,
) -> Result<Outcomes, BenchError> {
    pin::pin(2);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let targets = targets.clone();
    LocalSet::new().block_on(&runtime, async move {
        let all = Rc::new(RefCell::new(Outcomes::new()));
        let idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>> = Rc::default();
        let mut random = SmallRng::seed_from_u64(seed);
        let began = tokio::time::Instant::now();
        let (mut due, mut n) = (began, 0u64);
        let mut tasks = tokio::task::JoinSet::new();
        loop {
            let gap: f64 = random.sample(Exp1);
            due += Duration::from_secs_f64(gap / rate);
            if due >= began + span {
                break;
            }
            tokio::time::sleep_until(due).await;
            n += 1;
            let to = {
                let list = targets.lock().unwrap_or_else(PoisonError::into_inner);
                let at = n as usize % list.len().max(1);
                list.get(at).copied().ok_or("no target")?
            };
            let (all, idle) = (all.clone(), idle.clone());
            tasks.spawn_local(async move {
                let exchange = async {
                    let kept = idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
                    let mut sender = match kept.filter(|sender| !sender.is_closed()) {
                        Some(sender) => sender,
                        None => connect(to).await?,
                    };
                    let end = perform_request(&mut sender).await?;
                    idle.borrow_mut().entry(to).or_default().push(sender);
                    Ok::<_, BenchError>(end)
                };
                let end = tokio::time::timeout_at(due + DEADLINE, exchange).await;
                let end = end.map_or(Outcome::Failed, |end| end.unwrap_or(Outcome::Failed));
                all.borrow_mut().add(end, due.elapsed());
            });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        let mut all = all.borrow().clone();
        (all.due, all.took) = (n, began.elapsed());
        Ok(all)
    })
}
