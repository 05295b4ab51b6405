//! A process that keeps one core busy for a bounded time.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::sync::mpsc;

use super::ScaleError;
use crate::world::daemon::{Exit, Launch, signal};
use crate::world::machine_error;

/// The name of the hidden command that spins.
pub const COMMAND: &str = "spin";

/// Keeps the present core busy.
pub fn spin(span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        std::hint::spin_loop();
    }
}

/// A spinning process; it ends with this value, and by itself after its time.
pub struct Spinner {
    pid: i32,
    exited: mpsc::UnboundedReceiver<Exit>,
}

impl Spinner {
    /// Starts one with its log in `folder`. Has to run on the main thread.
    ///
    /// # Errors
    /// It does not start.
    pub fn start(folder: PathBuf, span: Duration) -> Result<Spinner, ScaleError> {
        let program = std::env::current_exe().map_err(machine_error("this program's path"))?;
        let seconds = span.as_secs().to_string();
        let launch = Launch { program, args: vec![COMMAND.into(), seconds], folder };
        let (exits, exited) = mpsc::unbounded_channel();
        // It reads no configuration.
        let config = launch.folder.join("none");
        let pid = launch.start(COMMAND, &config, None, exits).map_err(machine_error(COMMAND))?;
        Ok(Spinner { pid, exited })
    }

    /// Its process.
    pub fn pid(&self) -> i32 {
        self.pid
    }
}

impl Drop for Spinner {
    fn drop(&mut self) {
        // Once the exit was told the number may belong to another process.
        if self.exited.try_recv().is_err() {
            // It may be ending by itself.
            let _ = signal(self.pid, Signal::SIGKILL);
        }
    }
}
