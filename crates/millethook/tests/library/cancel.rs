//! Cancellation: the host drops the future of a call at every stage.

use std::pin::Pin;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;

use http::Request;
use http_body::Body as _;
use http_body_util::BodyExt;
use millethook::{Error, RequestMeta};
use millethook_testkit::*;

use crate::common::*;

async fn poll_once<F: Future + Unpin>(mut future: F) -> F {
    std::future::poll_fn(|cx| {
        let _ = Pin::new(&mut future).poll(cx);
        Poll::Ready(())
    })
    .await;
    future
}

#[test]
fn before_a_server_is_picked() {
    let stage = ServerGroup::new(1, |_| Fault::Serve("fine".into()));
    let fleet = fleet(&stage.servers);
    runtime().block_on(async {
        let mut request = Request::post("/order").body(Polled(|| Poll::Pending)).expect("valid");
        request.extensions_mut().insert(RequestMeta::new().timeout(Duration::from_secs(5)));
        let waiting = poll_once(Box::pin(fleet.call(request))).await;
        let usage = fleet.usage().await.expect("alive");
        assert_eq!((usage.open, usage.requests), (1, 0));
        assert!(usage.body_bytes > 0);
        drop(waiting);
        wait_until_idle(&fleet).await;
    });
    assert_eq!(stage.count(), 0);
}

/// A call that is dropped before the engine handles it is not sent, or its attempt is cancelled.
#[test]
fn right_after_the_call() {
    let stage = ServerGroup::new(1, |_| Fault::Stall);
    let fleet = fleet(&stage.servers);
    runtime().block_on(async {
        for _ in 0..200 {
            drop(poll_once(Box::pin(fleet.call(request("order")))).await);
        }
        wait_until_idle(&fleet).await;
    });
    let seen = stage.seen();
    let mut ids: Vec<_> = seen.iter().map(|a| &a.id).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), seen.len(), "no id twice");
}

#[test]
fn while_connecting() {
    let silent = BlackHole::start();
    let name = name();
    let config = builder(&name, &[])
        .server("s-0", silent.address)
        .connect_timeout(Duration::from_secs(10))
        .build()
        .expect("valid");
    let fleet = millethook::Fleet::open(config).expect("open");
    runtime().block_on(async {
        let waiting = poll_once(Box::pin(fleet.call(request("order")))).await;
        loop {
            let usage = fleet.usage().await.expect("alive");
            if usage.attempts == 1 && usage.sockets == 1 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        drop(waiting);
        wait_until_idle(&fleet).await;
        assert_eq!(fleet.usage().await.expect("alive").sockets, 0);
    });
}

/// The future is dropped when the server has all but the last byte of the request.
#[test]
fn with_the_last_byte_held_back() {
    let (arrival_sender, arrivals) = channel();
    let arrival_sender = Mutex::new(arrival_sender);
    let ended = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let ends = ended.clone();
    let server = Server::start(move |mut conn| {
        if conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
            let _ = arrival_sender.lock().expect("no panic").send(());
            let whole = conn.message().is_some_and(|m| m.complete);
            if whole {
                conn.closed_by_peer();
            }
            ends.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        }
    });
    let fleet = fleet(&[server]);
    runtime().block_on(async {
        for n in 1..=20 {
            let waiting = poll_once(Box::pin(fleet.call(request("order")))).await;
            tokio::task::block_in_place(|| receive(&arrivals));
            drop(waiting);
            wait_until_idle(&fleet).await;
            // The attempt has ended at the server, and there was no second one.
            tokio::task::block_in_place(|| {
                wait_until("the end", || ended.load(std::sync::atomic::Ordering::SeqCst) == n)
            });
        }
    });
    assert!(arrivals.try_recv().is_err(), "nothing was sent again");
}

#[test]
fn after_the_last_byte() {
    let stage = ServerGroup::new(2, |_| Fault::Stall);
    let fleet = fleet(&stage.servers);
    let runtime = runtime();
    for (n, class) in ["look", "keep", "order"].iter().enumerate() {
        let calling = fleet.clone();
        let class = *class;
        let task = runtime.spawn(async move { calling.call(request(class)).await.is_ok() });
        wait_until("a server has the request", || stage.count() == n + 1);
        task.abort();
        runtime.block_on(wait_until_idle(&fleet));
        assert_eq!(stage.count(), n + 1, "{class}: nothing was sent again");
    }
}

#[test]
fn while_the_answer_streams() {
    let (tell, ended) = channel();
    let server = Server::start(move |mut conn| {
        use std::io::Write;
        while conn.message().is_some() {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 1073741824\r\n\r\n");
            while conn.socket.write_all(&[b'x'; 1 << 16]).is_ok() {}
            let _ = tell.send(());
        }
    });
    let fleet = fleet(&[server]);
    runtime().block_on(async {
        for _ in 0..5 {
            let mut body = fleet.call(request("look")).await.expect("an answer").into_body();
            let piece = body.frame().await.expect("a frame").expect("in order");
            assert!(piece.data_ref().is_some_and(|data| !data.is_empty()));
            assert!(!body.is_end_stream());
            drop(body);
            tokio::task::block_in_place(|| receive(&ended));
            wait_until_idle(&fleet).await;
        }
    });
}

/// Thousands of calls dropped at random times, with servers that show every fault: all counts return to
/// zero, and no unsafe request that may have run is sent again.
#[test]
fn at_random_times() {
    const CALLS: u64 = 3_000;
    let turned_away = |a: &Attempt| Random::new(a.nth as u64 ^ 0xfa).below(10) == 0;
    let stage = ServerGroup::new(4, move |a| {
        if turned_away(a) {
            return Fault::Reject;
        }
        match Random::new(a.nth as u64).below(10) {
            0 => Fault::Error,
            1 => Fault::Reset,
            2 => Fault::Stall,
            3 => Fault::Trickle("y".repeat(100), 30, Duration::from_millis(1)),
            4 if a.line.starts_with("GET") => Fault::Serve("z".repeat(200_000)),
            5..=7 => Fault::Delayed(
                Delay::Uniform(Duration::ZERO, Duration::from_millis(8)),
                "late".into(),
            ),
            _ => Fault::Serve("fine".into()),
        }
    });
    let fleet = fleet(&stage.servers);
    runtime().block_on(async {
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..CALLS {
            let fleet = fleet.clone();
            tasks.spawn(async move {
                let mut random = Random::new(n);
                let class = ["look", "keep", "order"][random.below(3) as usize];
                let whole = async {
                    let answer = fleet.call(request(class)).await?;
                    answer.into_body().collect().await.map_err(Error::Body)
                };
                // Most calls are dropped before their end.
                let drop_after = Duration::from_micros(random.below(12_000));
                let drop_after = if n % 10 == 0 { Duration::from_millis(100) } else { drop_after };
                let _ = tokio::time::timeout(drop_after, whole).await;
            });
            if n % 60 == 59 {
                while tasks.join_next().await.is_some_and(|t| t.is_ok()) {}
            }
        }
        while let Some(task) = tasks.join_next().await {
            task.expect("no task panics");
        }
        wait_until_idle(&fleet).await;
    });
    let seen = stage.seen();
    assert!(seen.len() > 500, "{} attempts reached a server", seen.len());
    let mut ran = std::collections::HashSet::new();
    for attempt in seen.iter().filter(|a| a.line.starts_with("POST /order")) {
        assert!(!ran.contains(&attempt.id), "again: {attempt:?}");
        if !turned_away(attempt) {
            ran.insert(attempt.id.clone());
        }
    }
}
