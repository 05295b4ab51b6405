//! The error for malformed messages.

use std::fmt;

/// Why bytes are not a valid message, or not a valid record of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The message or record is too short or too long.
    Length,
    /// The kind of the message or record is unknown.
    Kind,
    /// A number is out of range for its field.
    Value,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Length => {
                write!(f, "message is truncated, or longer than {} bytes", crate::MAX_MESSAGE_BYTES)
            }
            Malformed::Kind => f.write_str("unknown kind of message or record"),
            Malformed::Value => f.write_str("number is out of range for its field"),
        }
    }
}

impl std::error::Error for Malformed {}
