//! The fixed header at the beginning of each message.

use super::{Malformed, Reader};
use crate::MAX_MESSAGE_BYTES;

/// The fixed header of a state machine's messages.
pub trait Header: Sized {
    /// The length of the header in bytes.
    const LENGTH: usize;

    /// Appends the header, which has [`Header::LENGTH`] bytes.
    fn write(&self, bytes: &mut Vec<u8>);

    /// Reads the header, which has [`Header::LENGTH`] bytes.
    ///
    /// # Errors
    /// There are fewer bytes, or the kind of the message is unknown.
    fn read(reader: &mut Reader<'_>) -> Result<Self, Malformed>;
}

/// Starts a message with its header. The buffer has a capacity of [`MAX_MESSAGE_BYTES`].
pub fn write_header(header: &impl Header) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
    header.write(&mut bytes);
    bytes
}

/// Reads the header of a message. The [`Reader`] holds the rest.
///
/// # Errors
/// [`Malformed::Length`]: the message is shorter than its header, or longer than [`MAX_MESSAGE_BYTES`].
/// [`Malformed::Kind`]: the kind of the message is unknown.
pub fn read_message<H: Header>(content: &[u8]) -> Result<(H, Reader<'_>), Malformed> {
    if !(H::LENGTH..=MAX_MESSAGE_BYTES).contains(&content.len()) {
        return Err(Malformed::Length);
    }
    let mut reader = Reader::new(content);
    let header = H::read(&mut reader)?;
    Ok((header, reader))
}
