//! Errors that end a run without figures.

use std::path::PathBuf;

/// An error of a run.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// A plan could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A plan is invalid.
    #[error("{path}: {found}; {expected} expected")]
    Plan {
        /// The key or the file.
        path: String,
        /// The value found.
        found: String,
        /// The expected values.
        expected: &'static str,
    },
    /// An operation on a socket, a pipe or a process failed.
    #[error("{what}: {source}")]
    System {
        /// The operation.
        what: &'static str,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A host process exited, or sent an invalid report.
    #[error("host {host}: {found}")]
    Host {
        /// The host's number.
        host: usize,
        /// The fault.
        found: String,
    },
}

impl HollowError {
    /// Returns a closure for `map_err` that wraps an I/O error.
    pub fn system(what: &'static str) -> impl Fn(std::io::Error) -> HollowError {
        move |source| HollowError::System { what, source }
    }
}
