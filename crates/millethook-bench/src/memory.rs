//! Measures the memory used by connections: a given number of concurrent requests are held open, and as many idle
//! connections remain afterwards.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use millethook::{ClassConfig, Fleet, FleetConfig, RequestMeta, Reuse};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

use crate::BenchError;

const SERVERS: usize = 10;
const DEADLINE: Duration = Duration::from_secs(60);

/// Starts servers that hold all requests until `n` have arrived, and then answer all of them.
fn servers(n: usize) -> Result<Vec<SocketAddr>, BenchError> {
    let (address_sender, addresses) = std::sync::mpsc::channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::spawn(move || {
        LocalSet::new().block_on(&runtime, async move {
            let (held, all) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
            for _ in 0..SERVERS {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let _ = address_sender.send(listener.local_addr()?);
                let (held, all) = (held.clone(), all.clone());
                spawn_local(async move {
                    while let Ok((socket, _)) = listener.accept().await {
                        let (held, all) = (held.clone(), all.clone());
                        spawn_local(async move {
                            let answer = service_fn(move |_: Request<Incoming>| {
                                let (held, all) = (held.clone(), all.clone());
                                async move {
                                    let all_arrived = all.notified();
                                    held.set(held.get() + 1);
                                    match held.get() {
                                        m if m < n => all_arrived.await,
                                        m if m == n => all.notify_waiters(),
                                        _ => {}
                                    }
                                    let body = Full::new(Bytes::from_static(b"ok"));
                                    Ok::<_, Infallible>(Response::new(body))
                                }
                            });
                            let _ = hyper::server::conn::http1::Builder::new()
                                .serve_connection(TokioIo::new(socket), answer)
                                .await;
                        });
                    }
                });
            }
            std::future::pending::<Result<(), BenchError>>().await
        })
    });
    Ok(addresses.iter().take(SERVERS).collect())
}

/// Measures the library in a separate process.
///
/// # Errors
/// Fails if a part does not start, for example for lack of file descriptors (`ulimit -n`).
pub fn run(n: usize) -> Result<(), BenchError> {
    let list: Vec<String> = servers(n)?.iter().map(ToString::to_string).collect();
    let own = std::env::current_exe()?;
    let status = Command::new(own).args(["hold", &n.to_string(), &list.join(",")]).status()?;
    if status.success() { Ok(()) } else { Err("the measured process failed".into()) }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Runs the measured process.
///
/// # Errors
/// Fails if the library does not start or a request fails.
pub fn hold(n: usize, servers: &str) -> Result<(), BenchError> {
    let class = ClassConfig::safe("look", DEADLINE, DEADLINE);
    let mut config = FleetConfig::builder("memory").class(class).open(2 * n).sockets(2 * n);
    for (i, at) in servers.split(',').enumerate() {
        config = config.server(&format!("s{i}"), at.parse()?);
    }
    let config = config.connections_per_server(n).reuse(Reuse::Unlimited);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let fleet = Fleet::open(config.build()?)?;
        let perform_request = |fleet: Fleet| async move {
            let mut request = Request::get("/look/1").body(Empty::<Bytes>::new())?;
            request.extensions_mut().insert(RequestMeta::new().timeout(DEADLINE));
            fleet.call(request).await?.into_body().collect().await?;
            Ok::<_, BenchError>(())
        };
        let before = resident_kib();
        let mut tasks = tokio::task::JoinSet::new();
        for i in 0..n {
            tasks.spawn(perform_request(fleet.clone()));
            // Concurrent handshakes are limited, and a request that waits too long for one is refused.
            if i % 100 == 99 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            if i + 1 == n {
                let held = resident_kib();
                println!("{i} held open: {:.2} KiB each", each(held, before, n));
            }
        }
        while let Some(task) = tasks.join_next().await {
            task??;
        }
        let usage = fleet.usage().await.ok_or("the fleet has ended")?;
        let rest = resident_kib();
        println!("{} connections at rest: {:.2} KiB each", usage.idle, each(rest, before, n));
        Ok(())
    })
}

fn each(after: u64, before: u64, n: usize) -> f64 {
    after.saturating_sub(before) as f64 / n as f64
}
