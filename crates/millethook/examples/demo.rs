//! A demonstration with six stand-in servers, of which one fails, one is slow and one starts cold, and
//! with a load that rises above their capacity. Prints statistics every second for ten seconds.
//!
//!     cargo run --release --example demo

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use millethook::{ClassConfig, Error, Fleet, FleetConfig, RequestMeta};
use millethook_testkit::{ColdStart, Delay, Fault, ServerGroup, Worker};

const SECONDS: u64 = 10;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    in_time: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    micros: AtomicU64,
}

/// Sends one request and counts its outcome.
async fn send_one(fleet: Fleet, counts: Arc<Counts>, n: u64) {
    // An upload has the value of eight lookups.
    let request = match n % 4 {
        0 => Request::post("/upload/1").header("idempotency-key", n.to_string()),
        _ => Request::get("/look/1"),
    };
    let mut request = request.body(Full::<Bytes>::default()).expect("a valid request");
    let left = Duration::from_millis(400);
    request.extensions_mut().insert(RequestMeta::new().timeout(left));
    let began = Instant::now();
    counts.sent.fetch_add(1, Ordering::Relaxed);
    let (count, took) = match fleet.call(request).await {
        Ok(_) => (&counts.served, began.elapsed()),
        Err(Error::Refused { .. }) => (&counts.refused, Duration::ZERO),
        Err(_) => (&counts.failed, Duration::ZERO),
    };
    count.fetch_add(1, Ordering::Relaxed);
    if !took.is_zero() {
        counts.micros.fetch_add(took.as_micros() as u64, Ordering::Relaxed);
        counts.in_time.fetch_add(usize::from(took < Duration::from_millis(100)), Ordering::Relaxed);
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (aim, deadline) = (Duration::from_millis(100), Duration::from_millis(500));
    let mut config = FleetConfig::builder("demo")
        .class(ClassConfig::keyed("upload", aim, deadline, Duration::from_secs(30)).worth(8.0))
        .class(ClassConfig::safe("look", aim, deadline));
    let work = |ms| Delay::Exponential(Duration::from_millis(ms));
    let worker = |ms, cold| Worker { slots: 4, queue: 12, work: work(ms), cold };
    let cold =
        ColdStart { since: Instant::now(), warm_after: Duration::from_secs(SECONDS), share: 0.2 };
    let failing = ServerGroup::new(1, |a| if a.nth % 2 == 0 { Fault::Error } else { Fault::Stall });
    let mut servers = vec![
        ("plain-1", worker(8, None).start(1)),
        ("plain-2", worker(8, None).start(2)),
        ("plain-3", worker(8, None).start(3)),
        ("slow", worker(40, None).start(4)),
        ("cold", worker(8, Some(cold)).start(5)),
    ];
    servers.extend(failing.servers.into_iter().map(|s| ("failing", s)));
    for (name, server) in &servers {
        config = config.server(name, server.address);
    }
    let fleet = Fleet::open(config.build()?)?;
    println!(
        "six servers on loopback: three plain, one five times as slow, one cold, one that fails"
    );
    println!(
        "{:>3} {:>7} {:>7} {:>8} {:>8} {:>7} {:>9} {:>5}",
        "s", "asked", "served", "in time", "refused", "failed", "mean ms", "open"
    );
    let began = Instant::now();
    let mut n = 0;
    for second in 1..=SECONDS {
        let counts = Arc::new(Counts::default());
        // In the second half, the load exceeds the capacity of these servers.
        let rate = if second <= SECONDS / 2 { 800 } else { 2400 };
        let end = began + Duration::from_secs(second);
        let gap = Duration::from_secs(1) / rate;
        let mut next = Instant::now();
        while Instant::now() < end {
            tokio::spawn(send_one(fleet.clone(), counts.clone(), n));
            n += 1;
            next += gap;
            tokio::time::sleep_until(next.into()).await;
        }
        let get = |c: &AtomicUsize| c.load(Ordering::Relaxed);
        let (served, micros) = (get(&counts.served), counts.micros.load(Ordering::Relaxed));
        let mean = micros as f64 / 1e3 / served.max(1) as f64;
        let open = fleet.usage().await.map_or(0, |u| u.open);
        println!(
            "{second:>3} {:>7} {served:>7} {:>8} {:>8} {:>7} {mean:>9.1} {open:>5}",
            get(&counts.sent),
            get(&counts.in_time),
            get(&counts.refused),
            get(&counts.failed)
        );
    }
    println!("drained: {:?}", fleet.drain(Duration::from_secs(2)).await);
    Ok(())
}
