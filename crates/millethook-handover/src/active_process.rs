//! Tells a new process whether the process before it is still alive.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use crate::endpoint::next_path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream as AsyncStream;
use tokio::time::timeout;

/// The interval between two liveness checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout of a liveness check. A process that does not answer hangs, or its version does not answer checks.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to the process that holds the endpoint, or to the one that is next.
pub struct ActiveProcess {
    stream: AsyncStream,
}

impl ActiveProcess {
    /// Connects to the process that holds the endpoint at `path`. None: no process does. Call this before binding an
    /// endpoint there. Must be called within a runtime.
    pub fn connect(path: &Path) -> Option<ActiveProcess> {
        let stream = UnixStream::connect(path).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(ActiveProcess { stream: AsyncStream::from_std(stream).ok()? })
    }

    /// Connects to the process that is next for the endpoint at `path`, or that holds it by now. For a process that a
    /// later one has replaced as the next one.
    pub fn connect_next(path: &Path) -> Option<ActiveProcess> {
        ActiveProcess::connect(&next_path(path)).or_else(|| ActiveProcess::connect(path))
    }

    /// Waits until the process has ended or does not answer.
    pub async fn wait_until_ended(mut self) {
        while let Ok(Ok(_)) = timeout(ANSWER_TIMEOUT, self.check_alive()).await {
            // The process sends no byte unless asked, so a read returns only when it has ended.
            if let Ok(Err(_)) = timeout(CHECK_INTERVAL, self.stream.read_u8()).await {
                return;
            }
        }
    }

    /// Sends a byte and waits for it to be sent back.
    async fn check_alive(&mut self) -> io::Result<u8> {
        self.stream.write_u8(0).await?;
        self.stream.read_u8().await
    }
}
