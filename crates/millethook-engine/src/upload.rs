//! Request bodies that are too long to be buffered: they are streamed to one server as they arrive.
//!
//! The first part of such a body is buffered like any other. As long as no more than that was sent, the request may
//! go to another server. From the first byte beyond the buffer on, it belongs to one attempt.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{Notify, mpsc};
use tokio::time::{timeout, timeout_at};

/// The longest body that is streamed. A client that sends without end would otherwise occupy a connection and a
/// server forever.
pub const MAX_UPLOAD_BYTES: u64 = 32 << 20;
/// How long a server may accept no bytes of a body before its attempt fails.
const SERVER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A part of a body beyond the buffer.
#[derive(Debug)]
pub enum Piece {
    /// The next bytes.
    Data(Bytes),
    /// The end of the body.
    End,
}

/// The receiving half of a streamed body, used by an attempt.
#[derive(Debug)]
pub struct Upload {
    receiver: Mutex<Option<mpsc::Receiver<Piece>>>,
    end: Arc<UploadEnd>,
    /// How long the client waits for an answer after it has sent the whole body.
    answer_timeout: Duration,
}

/// What is known of a client that sends a body.
pub trait UploadSource {
    /// The earliest time at which the client may have sent the last byte. `unread`: how many bytes of the body are
    /// not read yet, if its length is known. Bytes that are not read wait in the system's buffers, and the client's
    /// time may run meanwhile.
    fn earliest_end(&self, unread: Option<u64>) -> Instant;
}

/// When the client had sent the whole body.
#[derive(Debug, Default)]
struct UploadEnd {
    at: OnceLock<Instant>,
    notify: Notify,
}

/// The sending half of a streamed body. If it is dropped before [`UploadSender::end`], the body is incomplete.
#[derive(Debug)]
pub struct UploadSender {
    sender: mpsc::Sender<Piece>,
    end: Arc<UploadEnd>,
    /// How long the client waits for an answer after it has sent the whole body.
    answer_timeout: Duration,
}

/// Why the rest of the body is no longer accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadError {
    /// The attempt has ended.
    Closed,
    /// The server did not accept it before the client's time may have been up, or accepted nothing for ten seconds.
    Stalled,
}

impl Upload {
    /// Creates a body whose client waits for `answer_timeout` after it has sent everything.
    pub fn new(answer_timeout: Duration) -> (Upload, UploadSender) {
        // One buffered piece keeps the connection busy; further bytes wait in the client's socket.
        let (sender, receiver) = mpsc::channel(1);
        let end = Arc::<UploadEnd>::default();
        let sender = UploadSender { sender, end: end.clone(), answer_timeout };
        (Upload { receiver: Mutex::new(Some(receiver)), end, answer_timeout }, sender)
    }

    /// Takes the receiver for one attempt. `None`: another attempt has it.
    pub fn take_receiver(&self) -> Option<mpsc::Receiver<Piece>> {
        self.receiver.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Whether an attempt has taken the receiver.
    pub fn is_taken(&self) -> bool {
        self.receiver.lock().unwrap_or_else(PoisonError::into_inner).is_none()
    }

    /// When the client had sent the whole body; from then on it waits for the answer.
    pub fn ended_at(&self) -> Option<Instant> {
        self.end.at.get().copied()
    }

    /// Waits until the client's answer timeout has expired. Cancel safe.
    pub async fn wait_until_expired(&self) {
        loop {
            let notified = self.end.notify.notified();
            match self.ended_at() {
                Some(at) => {
                    return tokio::time::sleep_until((at + self.answer_timeout).into()).await;
                }
                None => notified.await,
            }
        }
    }
}

impl UploadSender {
    /// Sends a piece once the server has accepted the previous one. `unread`: bytes of the body behind it.
    ///
    /// # Errors
    /// The body is no longer accepted.
    pub async fn send(
        &self,
        piece: Bytes,
        unread: Option<u64>,
        source: &impl UploadSource,
    ) -> Result<(), UploadError> {
        let give_up = Instant::now() + SERVER_STALL_TIMEOUT;
        let mut due = source.earliest_end(unread) + self.answer_timeout;
        loop {
            match timeout_at(due.min(give_up).into(), self.sender.reserve()).await {
                Ok(Ok(slot)) => {
                    slot.send(Piece::Data(piece));
                    return Ok(());
                }
                Ok(Err(_)) => return Err(UploadError::Closed),
                Err(_) => {}
            }
            due = source.earliest_end(unread) + self.answer_timeout;
            if Instant::now() >= due.min(give_up) {
                return Err(UploadError::Stalled);
            }
        }
    }

    /// Marks the end of the body.
    ///
    /// # Errors
    /// The body is no longer accepted.
    pub async fn end(self, source: &impl UploadSource) -> Result<(), UploadError> {
        // The client's time runs from when it sent the last byte, whenever that byte is read here and the server
        // accepts it.
        let _ = self.end.at.set(source.earliest_end(Some(0)));
        self.end.notify.notify_waiters();
        match timeout(SERVER_STALL_TIMEOUT, self.sender.send(Piece::End)).await {
            Ok(sent) => sent.map_err(|_| UploadError::Closed),
            Err(_) => Err(UploadError::Stalled),
        }
    }
}
