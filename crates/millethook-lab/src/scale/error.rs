//! Errors of measurements.

use crate::world::RunError;

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The operating system did not provide a resource that the run needs.
    #[error(transparent)]
    Machine(#[from] RunError),
    /// A row could not be written.
    #[error("cannot write rows: {0}")]
    Rows(#[from] csv::Error),
    /// A daemon exited by itself.
    #[error("{name} exited; the last line of its log: {last}")]
    Ended {
        /// The name of the daemon.
        name: String,
        /// The last line of its log.
        last: String,
    },
    /// Something did not happen within its time limit.
    #[error("{what}: timed out after {seconds} s")]
    Late {
        /// What was waited for.
        what: String,
        /// The time limit.
        seconds: f64,
    },
}
