//! How a call can end without an answer.

use std::fmt;
use std::time::Duration;

use http::StatusCode;
pub use millethook_http::head::Invalid;

/// Any error, of a host's body for one.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Whether a request may have had an effect at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No server has begun on it, and none will.
    NeverRan,
    /// Some server may have done it, or may be about to.
    MayHaveRun,
}

/// Why a call has no answer.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The request cannot be taken as it is. It was not sent.
    Invalid(Invalid),
    /// The body is longer than this many bytes. The request was not sent.
    TooLarge {
        /// The most bytes that a body may have.
        limit: usize,
    },
    /// The host's body broke off. The request was not sent.
    Body(BoxError),
    /// Turned away: trying again does no harm, also where a safe request may have run.
    Refused {
        /// How long to wait before that, where the settings have clients told.
        retry_after: Option<Duration>,
        /// Whether some attempt may have run.
        execution: Execution,
    },
    /// It has failed; trying again may do what has been done already.
    Failed {
        /// The time that the caller gave is over.
        timed_out: bool,
    },
    /// The fleet is being drained, or has ended. The request was not sent.
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

    /// How long to wait before trying again, where that does no harm and the time is told.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after, .. } => *retry_after,
            _ => None,
        }
    }

    /// The status that tells an HTTP client of it: 503 says that trying again does no harm (with
    /// `Retry-After`, where the time is told), 502 and 504 say nothing of the kind.
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
            Error::Body(e) => write!(f, "body: broke off: {e}"),
            Error::Refused { retry_after: None, .. } => f.write_str("refused"),
            Error::Refused { retry_after: Some(t), .. } => write!(f, "refused; again in {t:?}"),
            Error::Failed { timed_out: true } => f.write_str("failed: out of time; may have run"),
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
    /// The configuration is not sound; the text names the key and what was expected.
    Config(String),
    /// The fleet is open in this process with another configuration.
    Conflict {
        /// The fleet's name.
        fleet: String,
        /// The first key that differs, as a path (`settings.classes[1].aim`).
        key: String,
        /// Its value in the fleet that is open.
        open: String,
        /// Its value in the configuration at hand.
        here: String,
    },
    /// The system gave no thread or no event queue.
    System(std::io::Error),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Config(text) => f.write_str(text),
            OpenError::Conflict { fleet, key, open, here } => {
                write!(f, "fleet {fleet:?} is open with {key} = {open}, not {here}")
            }
            OpenError::System(e) => write!(f, "no engine: {e}"),
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
