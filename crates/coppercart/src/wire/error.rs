//! The error of the wire format.

use std::fmt;

/// A malformed frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// What was found, or what was expected.
    pub message: String,
    /// The offset of the fault from the start of the frame.
    pub offset: usize,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed frame: {} at byte {}", self.message, self.offset)
    }
}

impl std::error::Error for WireError {}

pub(super) fn wire_error<T>(offset: usize, message: impl Into<String>) -> Result<T, WireError> {
    Err(WireError { message: message.into(), offset })
}
