//! Measures the cost of the engine's own thread: passing a request to another thread and getting the
//! answer back, compared with doing so within one thread. `docs/design/library.md` uses the result.
//!
//!     cargo bench -p millethook --bench hop

use std::hint::black_box;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinSet, LocalSet, spawn_local};

type Query = (u64, oneshot::Sender<u64>);

/// Answers each query in a separate task, as the engine does.
async fn answer(mut queue: mpsc::UnboundedReceiver<Query>) {
    while let Some((n, to)) = queue.recv().await {
        spawn_local(async move {
            let _ = to.send(n + 1);
        });
    }
}

/// Sends queries one after another until `until`; returns how many were answered.
async fn send_queries(to: mpsc::UnboundedSender<Query>, until: Instant) -> u64 {
    let mut n = 0;
    while Instant::now() < until {
        let (reply, answer) = oneshot::channel();
        if to.send((n, reply)).is_err() {
            break;
        }
        n = answer.await.unwrap_or(0);
        black_box(n);
    }
    n
}

fn report(name: &str, callers: usize, span: Duration, sent: u64) {
    let each = span.as_secs_f64() * 1e6 * callers as f64 / sent.max(1) as f64;
    let rate = sent as f64 / span.as_secs_f64();
    println!("{name:>12} {callers:>8} callers {rate:>10.0}/s {each:>8.2} us a round trip");
}

async fn callers(to: &mpsc::UnboundedSender<Query>, callers: usize, until: Instant) -> u64 {
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(send_queries(to.clone(), until));
    }
    let mut sent = 0;
    while let Some(n) = tasks.join_next().await {
        sent += n.unwrap_or(0);
    }
    sent
}

fn current_thread() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn main() {
    let span = Duration::from_secs(1);
    for n in [1, 16, 64] {
        let (to, queue) = mpsc::unbounded_channel();
        let runtime = current_thread();
        let sent = LocalSet::new().block_on(&runtime, async {
            spawn_local(answer(queue));
            callers(&to, n, Instant::now() + span).await
        });
        report("one thread", n, span, sent);

        let (to, queue) = mpsc::unbounded_channel();
        let engine = std::thread::spawn(move || {
            let runtime = current_thread();
            LocalSet::new().block_on(&runtime, answer(queue));
        });
        let sent = current_thread().block_on(callers(&to, n, Instant::now() + span));
        drop(to);
        engine.join().expect("the engine's thread");
        report("two threads", n, span, sent);
    }
}
