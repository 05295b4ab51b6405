//! Open-loop clients: calls are made at random times, whether earlier ones have been answered or not.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use millethook_testkit::{Conn, Random};

use super::counters::Counters;
use crate::chain::Chain;

/// Maximum number of concurrent calls through one sidecar.
const MAX_CONCURRENT_CALLS: usize = 192;

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Formats a request with a unique id and this remaining time in milliseconds.
pub fn request(left_ms: u128) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "GET /look/{id} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id:08x}\r\n\
         X-Account: acme\r\nX-Time-Left-Ms: {left_ms}\r\n\r\n"
    )
}

/// Makes calls at the chain's rate until the run ends.
pub fn run(chain: &Chain, counters: &Arc<Counters>, sidecars: &[SocketAddr]) {
    let mut callers = Vec::new();
    let mut queues: Vec<SyncSender<()>> = Vec::new();
    for sidecar in sidecars.iter().copied() {
        // If all callers are busy, a call waits for one. For an open loop the pool is much larger than needed.
        let (queue, calls) = sync_channel(MAX_CONCURRENT_CALLS);
        queues.push(queue);
        let calls = Arc::new(Mutex::new(calls));
        for _ in 0..MAX_CONCURRENT_CALLS {
            let (calls, counters) = (calls.clone(), counters.clone());
            let left_ms = u128::from(chain.deadline(0)) / 1_000;
            callers.push(std::thread::spawn(move || caller(&calls, &counters, sidecar, left_ms)));
        }
    }
    schedule_calls(chain, counters, &queues);
    drop(queues);
    for caller in callers {
        // A caller that panicked loses only its own calls; they count as not served.
        let _ = caller.join();
    }
}

/// Hands out calls at random times.
fn schedule_calls(chain: &Chain, counters: &Counters, queues: &[SyncSender<()>]) {
    let mut random = Random::new(chain.seed ^ 0x0c11);
    let end = Duration::from_micros(chain.warm_up + chain.counted);
    counters.start();
    let started_at = Instant::now();
    let mut due = Duration::ZERO;
    while due < end {
        std::thread::sleep(due.saturating_sub(started_at.elapsed()));
        let at = random.below(queues.len() as u64) as usize;
        if queues.get(at).is_none_or(|queue| queue.send(()).is_err()) {
            return;
        }
        due += Duration::from_secs_f64(-(1.0 - random.uniform()).ln() / chain.rate());
    }
}

/// Makes calls on its own connection until the queue closes.
fn caller(calls: &Mutex<Receiver<()>>, counters: &Counters, sidecar: SocketAddr, left_ms: u128) {
    let mut idle_conn: Option<Conn> = None;
    let next = || calls.lock().unwrap_or_else(PoisonError::into_inner).recv().is_ok();
    while next() {
        let counted = counters.count(|tally| tally.calls += 1);
        let conn = idle_conn.take().or_else(|| TcpStream::connect(sidecar).ok().map(Conn::new));
        let Some(mut conn) = conn else { continue };
        let Some(answered) = conn.request(request(left_ms)).filter(|m| m.complete) else {
            continue;
        };
        if answered.header("connection") != Some("close") {
            idle_conn = Some(conn);
        }
        if counted && answered.status() == 200 {
            counters.add_served();
        }
    }
}
