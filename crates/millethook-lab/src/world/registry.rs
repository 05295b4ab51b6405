//! A stand-in for a discovery service that is polled: one service for all sidecars that processes calls in order.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

/// A queue of calls. A call whose client has disconnected is still processed, since the worker learns of that late.
pub struct Registry {
    queue: mpsc::Sender<oneshot::Sender<()>>,
}

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Registry {
    /// Starts a service that takes `work` for each call and queues up to `queue` calls. It ends when the handle is
    /// dropped.
    pub fn start(work: Duration, queue: usize) -> Registry {
        let (queue, mut calls) = mpsc::channel::<oneshot::Sender<()>>(queue);
        tokio::spawn(async move {
            let mut done = Instant::now();
            while let Some(call) = calls.recv().await {
                done = done.max(Instant::now()) + work;
                sleep_until(done).await;
                // The caller may have disconnected.
                let _ = call.send(());
            }
        });
        Registry { queue }
    }

    /// Queues a call; the receiver is notified when the call has been processed.
    ///
    /// # Errors
    /// The queue is full.
    pub fn enqueue(&self) -> Result<oneshot::Receiver<()>, Full> {
        let (done, processed) = oneshot::channel();
        self.queue.try_send(done).map_err(|_| Full)?;
        Ok(processed)
    }
}
