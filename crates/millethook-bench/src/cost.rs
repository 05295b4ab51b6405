//! Measures the cost of a request: closed loops to servers that answer immediately, with the contestant on a separate
//! core.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::ValueEnum;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use millethook::{ClassConfig, FleetConfig, RequestMeta, Reuse};
use tokio::task::{LocalSet, spawn_local};

use crate::contestant::{Contestant, DEADLINE, RunningContestant, headers};
use crate::fleet::{Fleet, ServerBehavior};
use crate::report::Table;
use crate::{BenchError, load, pin};

const SERVERS: usize = 8;
/// Duration of the warm-up load, which is not counted.
const WARM_UP: Duration = Duration::from_millis(700);

/// Clients that are called within their process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum InProcess {
    /// A plain hyper client with a connection pool and round-robin.
    Client,
    /// The library.
    Fleet,
}

/// Requests per second, CPU time per request in microseconds, median and p99 in milliseconds.
type Figures = [f64; 4];

fn median(mut rounds: Vec<Figures>) -> Figures {
    std::array::from_fn(|i| {
        rounds.sort_by(|a, b| a[i].total_cmp(&b[i]));
        rounds.get(rounds.len() / 2).map_or(0.0, |figures| figures[i])
    })
}

/// Runs the measurements, prints the table and writes it to `out`.
///
/// # Errors
/// Fails if a part of the run does not start.
pub fn run(
    seconds: u64,
    connections: &[usize],
    contestants: &[Contestant],
    rounds: usize,
    out: Option<PathBuf>,
) -> Result<(), BenchError> {
    let span = Duration::from_secs(seconds);
    let mut table =
        Table::new(&["contestant", "connections", "requests/s", "CPU us", "p50 ms", "p99 ms"]);
    println!("{} cores; servers on the second, callers on the third", pin::cores());
    for &n in connections {
        for &contestant in contestants {
            let mut figures = Vec::new();
            for _ in 0..rounds.max(1) {
                let fleet = Fleet::start(&[ServerBehavior::INSTANT; SERVERS])?;
                let running = RunningContestant::start(contestant, fleet.agent.address)?;
                figures.push(proxied(&fleet, running.as_ref(), n, span)?);
            }
            table.row(&contestant.name(), &format!("{n}"), &median(figures));
        }
        for client in InProcess::value_variants() {
            let mut figures = Vec::new();
            for _ in 0..rounds.max(1) {
                let fleet = Fleet::start(&[ServerBehavior::INSTANT; SERVERS])?;
                figures.push(in_process(&fleet, *client, n, seconds)?);
            }
            let name = match client {
                InProcess::Client => "in process: hyper client",
                InProcess::Fleet => "in process: library",
            };
            table.row(name, &format!("{n}"), &median(figures));
        }
    }
    table.print();
    match out {
        Some(path) => table.save(&path),
        None => Ok(()),
    }
}

fn proxied(
    fleet: &Fleet,
    running: Option<&RunningContestant>,
    n: usize,
    span: Duration,
) -> Result<Figures, BenchError> {
    let to = running.map_or_else(|| fleet.addresses(), |running| vec![running.at]);
    let run_load = |span| {
        let to = to.clone();
        std::thread::spawn(move || load::closed(&to, n, span)).join()
    };
    let ended = |_| "a caller's thread panicked";
    run_load(WARM_UP).map_err(ended)??;
    let cpu = || running.and_then(|running| pin::cpu(running.pid())).unwrap_or_default();
    let before = cpu();
    let outcomes = run_load(span).map_err(ended)??;
    let used = cpu() - before;
    if outcomes.failed + outcomes.refused > 0 {
        eprintln!("{} failed, {} refused", outcomes.failed, outcomes.refused);
    }
    let served = outcomes.served.max(1) as f64;
    let rate = served / outcomes.took.as_secs_f64();
    Ok([rate, used.as_secs_f64() * 1e6 / served, outcomes.ms(0.5), outcomes.ms(0.99)])
}

fn in_process(
    fleet: &Fleet,
    client: InProcess,
    n: usize,
    seconds: u64,
) -> Result<Figures, BenchError> {
    let servers: Vec<String> = fleet.addresses().iter().map(ToString::to_string).collect();
    let name = client.to_possible_value().ok_or("no name")?;
    let output = Command::new(std::env::current_exe()?)
        .args(["client", name.get_name(), &n.to_string(), &seconds.to_string()])
        .arg(servers.join(","))
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let figures: Vec<f64> = text.split_whitespace().filter_map(|f| f.parse().ok()).collect();
    figures.try_into().map_err(|_| format!("the client's figures: {text:?}").into())
}

/// Runs an in-process client and prints its figures.
///
/// # Errors
/// Fails if the client does not start or a request fails.
pub fn client(which: InProcess, n: usize, seconds: u64, servers: &str) -> Result<(), BenchError> {
    pin::pin(0);
    let servers: Vec<SocketAddr> = servers.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let span = Duration::from_secs(seconds);
    let figures = LocalSet::new().block_on(&runtime, async {
        match which {
            InProcess::Client => {
                let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
                connector.set_nodelay(true);
                let client = Client::builder(TokioExecutor::new()).build(connector);
                let (turn, servers) = (Arc::new(AtomicUsize::new(0)), Arc::new(servers));
                measure(n, span, move || {
                    let (client, servers) = (client.clone(), servers.clone());
                    let n = turn.fetch_add(1, Ordering::Relaxed);
                    async move {
                        let uri = format!("http://{}/look/1", servers[n % servers.len()]);
                        let mut request = Request::get(uri).body(Empty::<Bytes>::new())?;
                        request.headers_mut().extend(headers());
                        client.request(request).await?.into_body().collect().await?;
                        Ok(())
                    }
                })
                .await
            }
            InProcess::Fleet => {
                // The aim is so long that no answer counts as late.
                let class = ClassConfig::safe("look", DEADLINE * 4, DEADLINE * 5);
                let mut config = FleetConfig::builder("cost").class(class).open(4096);
                config = config.reuse(Reuse::Unlimited);
                for (n, at) in servers.iter().enumerate() {
                    config = config.server(&format!("s{n}"), *at);
                }
                let fleet = millethook::Fleet::open(config.build()?)?;
                measure(n, span, move || {
                    let fleet = fleet.clone();
                    async move {
                        let mut request = Request::get("/look/1").body(Empty::<Bytes>::new())?;
                        request.extensions_mut().insert(RequestMeta::new().timeout(DEADLINE * 5));
                        fleet.call(request).await?.into_body().collect().await?;
                        Ok(())
                    }
                })
                .await
            }
        }
    })?;
    println!("{} {} {} {}", figures[0], figures[1], figures[2], figures[3]);
    Ok(())
}

async fn measure<F>(
    n: usize,
    span: Duration,
    call: impl Fn() -> F + 'static,
) -> Result<Figures, BenchError>
where
    F: Future<Output = Result<(), BenchError>> + 'static,
{
    let call = Rc::new(call);
    let mut figures = [0.0; 4];
    for span in [WARM_UP, span] {
        let before = pin::cpu(std::process::id()).unwrap_or_default();
        let began = Instant::now();
        let mut tasks = Vec::new();
        for _ in 0..n {
            let call = call.clone();
            tasks.push(spawn_local(async move {
                let mut took = Vec::new();
                while began.elapsed() < span {
                    let started = Instant::now();
                    call().await?;
                    took.push(started.elapsed().as_nanos() as u64);
                }
                Ok::<_, BenchError>(took)
            }));
        }
        let mut took = Vec::new();
        for task in tasks {
            took.extend(task.await??);
        }
        let spent = began.elapsed().as_secs_f64();
        let used = pin::cpu(std::process::id()).unwrap_or_default() - before;
        took.sort_unstable();
        let at = |share: f64| {
            let i = (share * (took.len().max(1) - 1) as f64) as usize;
            took.get(i).map_or(0.0, |ns| *ns as f64 / 1e6)
        };
        let served = took.len().max(1) as f64;
        figures = [served / spent, used.as_secs_f64() * 1e6 / served, at(0.5), at(0.99)];
    }
    Ok(figures)
}
