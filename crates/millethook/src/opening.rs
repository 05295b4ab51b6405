//! One opening of a fleet by one part of the program: its open requests and its shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

use crate::shared::Shared;

/// The result of one `Fleet::open` call. All clones of that handle share it.
pub(crate) struct Opening {
    pub(crate) shared: Arc<Shared>,
    /// Number of open requests.
    pub(crate) open: AtomicUsize,
    /// Notified when the number of open requests falls to zero.
    pub(crate) idle: Notify,
    pub(crate) draining: AtomicBool,
    closed: AtomicBool,
}

impl Opening {
    /// An opening without requests. The caller has counted it in `shared`.
    pub(crate) fn new(shared: Arc<Shared>) -> Opening {
        Opening {
            shared,
            open: AtomicUsize::new(0),
            idle: Notify::new(),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        }
    }

    /// Counts a new request; None if the opening is draining.
    pub(crate) fn begin_request(self: &Arc<Opening>) -> Option<OpenRequest> {
        // The request is counted before the drain flag is checked. In the other order, a drain could
        // miss the request and end the engine under it.
        self.open.fetch_add(1, Ordering::SeqCst);
        let request = OpenRequest { opening: self.clone() };
        (!self.draining.load(Ordering::SeqCst)).then_some(request)
    }

    /// Removes this opening from the engine, once.
    pub(crate) fn close(&self) {
        if !self.closed.swap(true, Ordering::SeqCst) {
            self.shared.remove_opening();
        }
    }

    /// Waits until no request is open.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.close();
    }
}

/// Guard of an open request; it keeps the engine running.
pub(crate) struct OpenRequest {
    opening: Arc<Opening>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.opening.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.opening.idle.notify_waiters();
        }
    }
}
