//! The process that a new one waits for: whether it lives and still serves.

use std::io;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use crate::endpoint::line;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream as AsyncStream;
use tokio::time::timeout;

/// Between two questions whether it lives.
const INTERVAL: Duration = Duration::from_secs(1);
/// It answers nothing for so long: it stands still, or is of a build that does not answer.
const SILENCE: Duration = Duration::from_secs(2);

/// The process that holds the seat.
pub struct ActiveProcess {
    stream: AsyncStream,
}

impl ActiveProcess {
    /// The process that holds the seat at `path`; None: nobody does. To be asked before the seat is taken. Must be called
    /// within a runtime.
    pub fn connect(path: &Path) -> Option<ActiveProcess> {
        let stream = UnixStream::connect(path).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(ActiveProcess { stream: AsyncStream::from_std(stream).ok()? })
    }

    /// The process that stands in line for the seat at `path`, or that holds it by now. For one that a later one has
    /// overtaken in line.
    pub fn connect_next(path: &Path) -> Option<ActiveProcess> {
        ActiveProcess::connect(&line(path)).or_else(|| ActiveProcess::connect(path))
    }

    /// Waits until it has ended, or says nothing.
    pub async fn wait_until_ended(mut self) {
        while let Ok(Ok(_)) = timeout(SILENCE, self.answer()).await {
            // Nothing comes unasked but the end.
            if let Ok(Err(_)) = timeout(INTERVAL, self.stream.read_u8()).await {
                return;
            }
        }
    }

    /// Asks whether it lives.
    async fn answer(&mut self) -> io::Result<u8> {
        self.stream.write_u8(0).await?;
        self.stream.read_u8().await
    }
}
