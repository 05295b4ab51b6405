//! Errors of calls and of opening a fleet.

use std::fmt;
use std::time::Duration;

use http::StatusCode;
pub use millethook_http::head::Invalid;

/// Any error, for example of a request body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Whether a request may have had an effect at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No server has begun to process the request, and none will.
    NeverRan,
    /// A server may have processed the request, or may still do so.
    MayHaveRun,
}

/// Why a call failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The request is invalid. It was not sent.
    Invalid(Invalid),
    /// The body is too long. The request was not sent.
    TooLarge {
        /// Maximum length of a body in bytes.
        limit: usize,
    },
    /// The request body failed before its end. The request was not sent.
    Body(BoxError),
    /// The request was refused. It may be retried, even if a safe request may have run.
    Refused {
        /// How long to wait before a retry, if the settings provide it.
        retry_after: Option<Duration>,
        /// Whether an attempt may have run.
        execution: Execution,
    },
    /// The request failed. A retry may take effect a second time.
    Failed {
        /// Whether the caller's timeout has passed.
        timed_out: bool,
    },
    /// The fleet is draining or has ended. The request was not sent.
    Closed,
}

impl Error {
    /// Whether the request may have run.
    pub fn execution(&self) -> Execution {
        match self {
            Error::Refused { execution, .. } => *execution,
            Error::Failed { .. } => Execution::MayHaveRun,
            _ => Execution::NeverRan,
        }
    }

    /// How long to wait before a retry, if the request may be retried and the time is known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }

    /// The status that represents this error for an HTTP client: 503 means that the client may retry
    /// (with `Retry-After` if the time is known); 502 and 504 do not.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::Invalid(invalid) => invalid.status(),
            Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Body(_) => StatusCode::BAD_REQUEST,
            Error::Refused { .. } | Error::Closed => StatusCode::SERVICE_UNAVAILABLE,
            Error::Failed { timed_out: true } => StatusCode::GATEWAY_TIMEOUT,
            Error::Failed { timed_out: false } => StatusCode::BAD_GATEWAY,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Invalid(invalid) => write!(f, "invalid request: {invalid}"),
            Error::TooLarge { limit } => write!(f, "body: {limit} bytes at most expected"),
            Error::Body(e) => write!(f, "body: ended early: {e}"),
            Error::Refused { retry_after: None, .. } => f.write_str("refused"),
            Error::Refused { retry_after: Some(t), .. } => write!(f, "refused; retry after {t:?}"),
            Error::Failed { timed_out: true } => f.write_str("failed: timed out; may have run"),
            Error::Failed { timed_out: false } => f.write_str("failed; may have run"),
            Error::Closed => f.write_str("the fleet is closed"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Invalid(invalid) => Some(invalid),
            Error::Body(e) => Some(&**e),
            _ => None,
        }
    }
}

impl From<Invalid> for Error {
    fn from(invalid: Invalid) -> Error {
        Error::Invalid(invalid)
    }
}

/// Why a fleet could not be opened.
#[derive(Debug)]
#[non_exhaustive]
pub enum OpenError {
    /// The configuration is invalid; the text names the key and the expected value.
    Config(String),
    /// The fleet is open in this process with another configuration.
    Conflict {
        /// The fleet's name.
        fleet: String,
        /// The first key that differs, as a path (`settings.classes[1].aim`).
        key: String,
        /// Its value in the fleet that is open.
        open: String,
        /// Its value in the new configuration.
        here: String,
    },
    /// The system could not provide a thread or an event queue.
    System(std::io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Config(text) => f.write_str(text),
            OpenError::Conflict { fleet, key, open, here } => {
                write!(f, "fleet {fleet:?} is open with {key} = {open}, not {here}")
            }
            OpenError::System(e) => write!(f, "the engine cannot start: {e}"),
        }
    }
}

impl std::error::Error for OpenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            OpenError::System(e) => Some(e),
            _ => None,
        }
    }
}
