//! An upload helper that balances load inside its process: an axum application with five stand-in
//! servers that the example starts.
//!
//!     cargo run --example upload_helper
//!
//! It listens on loopback, sends itself a hundred uploads and a hundred lookups, prints their results,
//! and drains the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, Request, StatusCode};
use axum::routing::post;
use http_body_util::Full;
use millethook::{ClassConfig, Error, Fleet, FleetConfig, InheritLayer, RequestMeta, RouteLayer};
use millethook_testkit::{ColdStart, Delay, Server, Worker};
use tokio::net::{TcpListener, TcpStream};

/// Handles one upload: counts its lines and sends it to one of the log servers. The call inherits the
/// request's remaining time, tenant and id.
async fn upload(
    State(fleet): State<Fleet>,
    headers: HeaderMap,
    log: Bytes,
) -> Result<String, Error> {
    let lines = log.iter().filter(|&&b| b == b'\n').count();
    let mut meta = RequestMeta::new();
    if let Some(key) = headers.get("idempotency-key").and_then(|v| v.to_str().ok()) {
        meta = meta.idempotency_key(key);
    }
    let mut request =
        Request::post("/log-upload/new").body(Full::new(log)).expect("a valid request");
    request.extensions_mut().insert(meta);
    fleet.call(request).await?;
    Ok(format!("{lines} lines kept\n"))
}

fn servers() -> Vec<Server> {
    let worker = |n: u64| {
        // The last server has just started and is slow until it is warm.
        let cold = (n == 4).then(|| ColdStart {
            since: std::time::Instant::now(),
            warm_after: Duration::from_secs(5),
            share: 0.2,
        });
        let work = Delay::Exponential(Duration::from_millis(4));
        Worker { slots: 4, queue: 16, work, cold }.start(n)
    };
    (0..5).map(worker).collect()
}

/// Sends one request to the application on a new connection; returns the status.
async fn send_request(at: std::net::SocketAddr, request: String) -> std::io::Result<u16> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut socket = TcpStream::connect(at).await?;
    socket.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await?;
    Ok(answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (aim, deadline) = (Duration::from_millis(100), Duration::from_secs(1));
    let mut config = FleetConfig::builder("logboek")
        .class(ClassConfig::keyed("log-upload", aim, deadline, Duration::from_secs(30)).worth(8.0))
        .class(ClassConfig::safe("log-page", aim, deadline))
        .tenant("acme");
    let servers = servers();
    for (n, server) in servers.iter().enumerate() {
        config = config.server(&format!("log{n:02}"), server.address);
    }
    let fleet = Fleet::open(config.build()?)?;

    // Lookups go directly to the fleet; uploads are handled by the application.
    let app = Router::new()
        .route("/upload", post(upload))
        .with_state(fleet.clone())
        .layer(RouteLayer::new(fleet.clone()).classes(["log-page"]))
        .layer(InheritLayer::new());
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    println!("the upload helper listens on {at}");
    tokio::spawn(async move { axum::serve(listener, app).await });

    let mut clients = tokio::task::JoinSet::new();
    for n in 0..200 {
        let head = format!(
            "Host: helper\r\nX-Account: acme\r\nX-Correlation-Id: up{n}\r\nX-Time-Left-Ms: 900\r\n\
             Connection: close\r\n"
        );
        let request = match n % 2 {
            0 => format!(
                "POST /upload HTTP/1.1\r\n{head}Idempotency-Key: k{n}\r\nContent-Length: 10\r\n\r\n\
                 one\ntwo\nm\n"
            ),
            _ => format!("GET /log-page/{n} HTTP/1.1\r\n{head}\r\n"),
        };
        let kind = if n % 2 == 0 { "uploads" } else { "lookups" };
        clients.spawn(async move { (kind, send_request(at, request).await) });
        if n % 10 == 9 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let mut ends: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    while let Some(client) = clients.join_next().await {
        let (kind, status) = client?;
        *ends.entry((kind, status?)).or_default() += 1;
    }
    for ((kind, status), count) in &ends {
        println!("{kind}: {count} with {}", StatusCode::from_u16(*status)?);
    }
    println!("held at the end: {:?}", fleet.usage().await);
    println!("drained: {:?}", fleet.drain(Duration::from_secs(5)).await);
    Ok(())
}
