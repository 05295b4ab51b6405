//! What stands at the beginning of each message.

use super::{Malformed, Reader};
use crate::MAX_MESSAGE_BYTES;

/// The fixed part at the beginning of the messages of a state machine.
pub trait Header: Sized {
    /// Its bytes.
    const LENGTH: usize;

    /// Adds its [`Header::LENGTH`] bytes.
    fn write(&self, bytes: &mut Vec<u8>);

    /// Takes its [`Header::LENGTH`] bytes.
    ///
    /// # Errors
    /// There are fewer bytes, or the message is of no kind that is known.
    fn read(reader: &mut Reader<'_>) -> Result<Self, Malformed>;
}

/// Begins a message that has room for [`MAX_MESSAGE_BYTES`] bytes.
pub fn write_header(header: &impl Header) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
    header.write(&mut bytes);
    bytes
}

/// Reads the header of a message; what follows it is in the [`Reader`].
///
/// # Errors
/// [`Malformed::Length`]: the message is shorter than its header, or longer than [`MAX_MESSAGE_BYTES`].
/// [`Malformed::Kind`]: it is of no kind that is known.
pub fn read_message<H: Header>(content: &[u8]) -> Result<(H, Reader<'_>), Malformed> {
    if !(H::LENGTH..=MAX_MESSAGE_BYTES).contains(&content.len()) {
        return Err(Malformed::Length);
    }
    let mut reader = Reader::new(content);
    let header = H::read(&mut reader)?;
    Ok((header, reader))
}
