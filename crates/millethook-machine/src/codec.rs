//! Reading and writing of messages of at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) bytes.
//!
//! A message is a fixed header ([`Header`], see [`message_header!`](crate::message_header)) and, behind it, records that are written one behind another for as long as
//! they fit ([`push_within`]) and read up to the first that makes no sense or is padding ([`Reader::records`]). Numbers
//! are unsigned and big-endian, as [`bytes::BufMut`] writes them. Nothing that is read is trusted to be long enough.

mod field;
mod header;
mod malformed;
mod message_header;
mod reader;
mod wire_enum;

use bytes::Buf;
pub use bytes::BufMut;

pub use field::{Field, U48};
pub use header::{Header, read_message, write_header};
pub use malformed::Malformed;
pub use reader::Reader;

/// Bytes of an epoch.
const EPOCH_BYTES: usize = 6;
/// The highest number of 48 bits.
const EPOCH_MASK: u64 = (1 << (8 * EPOCH_BYTES)) - 1;

/// Takes an unsigned number of 1 to 8 bytes from the front; None: there is less, and nothing was taken.
pub fn take_uint(bytes: &mut &[u8], width: usize) -> Option<u64> {
    bytes.try_get_uint(width).ok()
}

/// Takes a number of one byte; None: there is none.
pub fn take_u8(bytes: &mut &[u8]) -> Option<u8> {
    bytes.try_get_u8().ok()
}

/// Takes a number of two bytes; None: there are fewer.
pub fn take_u16(bytes: &mut &[u8]) -> Option<u16> {
    bytes.try_get_u16().ok()
}

/// Takes a number of four bytes; None: there are fewer.
pub fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    bytes.try_get_u32().ok()
}

/// Adds an epoch: the lowest 48 bits.
pub fn put_epoch(bytes: &mut Vec<u8>, epoch: u64) {
    bytes.put_uint(epoch & EPOCH_MASK, EPOCH_BYTES);
}

/// Takes an epoch of 48 bits; None: there are fewer bytes.
pub fn take_epoch(bytes: &mut &[u8]) -> Option<u64> {
    take_uint(bytes, EPOCH_BYTES)
}

/// Adds what `write` writes, if the whole then has at most `longest` and at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) bytes;
/// false: it would have more, and nothing has changed.
pub fn push_within(bytes: &mut Vec<u8>, longest: usize, write: impl FnOnce(&mut Vec<u8>)) -> bool {
    let before = bytes.len();
    write(bytes);
    let fits = bytes.len() <= longest.min(crate::MAX_MESSAGE_BYTES);
    if !fits {
        bytes.truncate(before);
    }
    fits
}

/// Records up to the first for which `read` returns None, which is padding or makes no sense.
pub fn records<'b, T: 'b>(
    mut bytes: &'b [u8],
    mut read: impl FnMut(&mut &'b [u8]) -> Option<T> + 'b,
) -> impl Iterator<Item = T> + 'b {
    std::iter::from_fn(move || read(&mut bytes))
}
