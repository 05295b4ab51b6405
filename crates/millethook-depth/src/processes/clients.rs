//! Clients in open loop: calls come at random, whatever has become of those before.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use millethook_testkit::{Conn, Random};

use super::counters::Counters;
use crate::chain::Chain;

/// Calls that one sidecar's clients make at once, at most.
const AT_ONCE: usize = 192;

static IDS: AtomicU64 = AtomicU64::new(0);

/// A call with so many milliseconds left, under an id that no other has.
pub fn request(left: u128) -> String {
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    format!(
        "GET /look/{id} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id:08x}\r\n\
         X-Account: acme\r\nX-Time-Left-Ms: {left}\r\n\r\n"
    )
}

/// Calls at the chain's rate until its time is over.
pub fn call(chain: &Chain, counters: &Arc<Counters>, sidecars: &[SocketAddr]) {
    let mut callers = Vec::new();
    let mut queues: Vec<SyncSender<()>> = Vec::new();
    for sidecar in sidecars.iter().copied() {
        // A call that finds no caller free waits for one; in open loop the pool is far larger than needed.
        let (queue, calls) = sync_channel(AT_ONCE);
        queues.push(queue);
        let calls = Arc::new(Mutex::new(calls));
        for _ in 0..AT_ONCE {
            let (calls, counters) = (calls.clone(), counters.clone());
            let left = u128::from(chain.deadline(0)) / 1_000;
            callers.push(std::thread::spawn(move || caller(&calls, &counters, sidecar, left)));
        }
    }
    pace(chain, counters, &queues);
    drop(queues);
    for caller in callers {
        // One that panicked has lost its calls only; they count as not served.
        let _ = caller.join();
    }
}

/// Hands calls out at random moments.
fn pace(chain: &Chain, counters: &Counters, queues: &[SyncSender<()>]) {
    let mut random = Random::new(chain.seed ^ 0x0c11);
    let end = Duration::from_micros(chain.warm_up + chain.counted);
    counters.begin();
    let begun = Instant::now();
    let mut due = Duration::ZERO;
    while due < end {
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
        let at = random.below(queues.len() as u64) as usize;
        if queues.get(at).is_none_or(|queue| queue.send(()).is_err()) {
            return;
        }
        due += Duration::from_secs_f64(-(1.0 - random.uniform()).ln() / chain.rate());
    }
}

/// Makes calls on a connection of its own until there are no more.
fn caller(calls: &Mutex<Receiver<()>>, counters: &Counters, sidecar: SocketAddr, left: u128) {
    let mut kept: Option<Conn> = None;
    let next = || calls.lock().unwrap_or_else(PoisonError::into_inner).recv().is_ok();
    while next() {
        let counted = counters.count(|tally| tally.calls += 1);
        let conn = kept.take().or_else(|| TcpStream::connect(sidecar).ok().map(Conn::new));
        let Some(mut conn) = conn else { continue };
        let Some(answered) = conn.request(request(left)).filter(|m| m.complete) else {
            continue;
        };
        if answered.header("connection") != Some("close") {
            kept = Some(conn);
        }
        if counted && answered.status() == 200 {
            counters.served();
        }
    }
}
