//! A process that keeps one core busy for a limited time.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use tokio::sync::mpsc;

use super::ScaleError;
use crate::world::daemon::{Exit, Launch, signal};
use crate::world::machine_error;

/// The name of the hidden command that keeps a core busy.
pub const COMMAND: &str = "spin";

/// Keeps one core busy for `span`.
pub fn spin(span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        std::hint::spin_loop();
    }
}

/// A process that keeps a core busy. It is killed when this value is dropped, and exits by itself after its time.
pub struct Spinner {
    pid: i32,
    exited: mpsc::UnboundedReceiver<Exit>,
}

impl Spinner {
    /// Starts the process with its log in `folder`. Must be called on the main thread.
    ///
    /// # Errors
    /// The process does not start.
    pub fn start(folder: PathBuf, span: Duration) -> Result<Spinner, ScaleError> {
        let program = std::env::current_exe().map_err(machine_error("this program's path"))?;
        let seconds = span.as_secs().to_string();
        let launch = Launch { program, args: vec![COMMAND.into(), seconds], folder };
        let (exits, exited) = mpsc::unbounded_channel();
        // The process does not read a configuration.
        let config = launch.folder.join("none");
        let pid = launch.start(COMMAND, &config, None, exits).map_err(machine_error(COMMAND))?;
        Ok(Spinner { pid, exited })
    }

    /// The id of the process.
    pub fn pid(&self) -> i32 {
        self.pid
    }
}

impl Drop for Spinner {
    fn drop(&mut self) {
        // After the exit was reported, the id may belong to another process.
        if self.exited.try_recv().is_err() {
            // The signal fails if the process is exiting by itself.
            let _ = signal(self.pid, Signal::SIGKILL);
        }
    }
}
