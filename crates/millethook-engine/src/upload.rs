//! Bodies too long to be held whole: they are passed on to one server as they come.
//!
//! The first part of such a body is held like any other, and as long as no more than that was sent, the
//! request may go to another server. From the first piece that is not held it belongs to one attempt.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

/// The longest body that is passed on. Danger: whoever sends without end would keep a connection for
/// ever, and a server busy with it.
pub const MAX_UPLOAD_BYTES: u64 = 32 << 20;
/// How long a server may take none of a body before its attempt is given up.
const SERVER_STALL: Duration = Duration::from_secs(10);

/// What follows the part of a body that is held.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes.
    Data(Bytes),
    /// There are no more.
    End,
}

/// The rest of a body, as an attempt gets it.
#[derive(Debug)]
pub struct Upload {
    rest: Mutex<Option<mpsc::Receiver<Piece>>>,
    ended: Arc<Ended>,
    /// How long the caller waits for an answer once it has sent all.
    left: Duration,
}

/// When the caller had sent all.
#[derive(Debug, Default)]
struct Ended {
    at: OnceLock<Instant>,
    told: Notify,
}

/// The other end, where the caller's bytes come in. Dropped before [`UploadSender::end`], the body has broken off.
#[derive(Debug)]
pub struct UploadSender {
    to: mpsc::Sender<Piece>,
    ended: Arc<Ended>,
}

/// Nobody takes the rest of the body any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadError {
    /// The attempt is over.
    Closed,
    /// The server has taken nothing for ten seconds.
    Stalled,
}

impl Upload {
    /// A body whose caller waits for `left` once it has sent all of it.
    pub fn new(left: Duration) -> (Upload, UploadSender) {
        // One piece under way keeps the line busy; what follows waits in the caller's socket.
        let (feed, rest) = mpsc::channel(1);
        let ended = Arc::<Ended>::default();
        let feed = UploadSender { to: feed, ended: ended.clone() };
        (Upload { rest: Mutex::new(Some(rest)), ended, left }, feed)
    }

    /// Takes the rest for one attempt. None: another one has it.
    pub fn take_rest(&self) -> Option<mpsc::Receiver<Piece>> {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Whether some attempt has taken the rest.
    pub fn is_taken(&self) -> bool {
        self.rest.lock().unwrap_or_else(PoisonError::into_inner).is_none()
    }

    /// When the caller had sent all of it: from then on it waits for an answer.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended.at.get().copied()
    }

    /// Waits until the caller no longer waits. Cancel safe.
    pub async fn expired(&self) {
        loop {
            let told = self.ended.told.notified();
            match self.ended_at() {
                Some(at) => return tokio::time::sleep_until((at + self.left).into()).await,
                None => told.await,
            }
        }
    }
}

impl UploadSender {
    /// Passes a piece on, when the server has taken the one before.
    ///
    /// # Errors
    /// Nobody takes it.
    pub async fn send(&self, piece: Bytes) -> Result<(), UploadError> {
        match tokio::time::timeout(SERVER_STALL, self.to.send(Piece::Data(piece))).await {
            Ok(sent) => sent.map_err(|_| UploadError::Closed),
            Err(_) => Err(UploadError::Stalled),
        }
    }

    /// The body is whole.
    ///
    /// # Errors
    /// Nobody takes that.
    pub async fn end(self) -> Result<(), UploadError> {
        // The caller's time runs from now on, whenever the server takes the last of it.
        let _ = self.ended.at.set(Instant::now());
        self.ended.told.notify_waiters();
        match tokio::time::timeout(SERVER_STALL, self.to.send(Piece::End)).await {
            Ok(sent) => sent.map_err(|_| UploadError::Closed),
            Err(_) => Err(UploadError::Stalled),
        }
    }
}
