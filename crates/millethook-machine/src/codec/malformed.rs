//! Why bytes are no message.

use std::fmt;

/// Why a content is no message, or a record in it is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Too short, or too long.
    Length,
    /// Of no kind that is known.
    Kind,
    /// A number that its field cannot have.
    Value,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Length => {
                write!(
                    f,
                    "a message that ends too early, or has more than {} bytes",
                    crate::MAX_MESSAGE_BYTES
                )
            }
            Malformed::Kind => f.write_str("a message or record of a kind that is not known"),
            Malformed::Value => f.write_str("a number that its field cannot have"),
        }
    }
}

impl std::error::Error for Malformed {}
