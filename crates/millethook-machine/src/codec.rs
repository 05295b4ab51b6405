//! Reads and writes messages of at most [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES) bytes.
//!
//! A message is a fixed header ([`Header`], see [`message_header!`](crate::message_header)), followed by records.
//! Records are appended while they fit ([`push_within`]) and read up to the first one that is invalid or padding
//! ([`Reader::records`]). Numbers are unsigned and big-endian, as [`bytes::BufMut`] writes them. All reads check that
//! enough bytes are left.

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

/// The length of an epoch in bytes.
const EPOCH_BYTES: usize = 6;
/// The highest 48-bit number.
const EPOCH_MASK: u64 = (1 << (8 * EPOCH_BYTES)) - 1;

/// Takes an unsigned number of `width` bytes (1 to 8) from the front. None: there are fewer bytes, and nothing was taken.
pub fn take_uint(bytes: &mut &[u8], width: usize) -> Option<u64> {
    bytes.try_get_uint(width).ok()
}

/// Takes a one-byte number from the front. None: there are no bytes.
pub fn take_u8(bytes: &mut &[u8]) -> Option<u8> {
    bytes.try_get_u8().ok()
}

/// Takes a two-byte number from the front. None: there are fewer bytes.
pub fn take_u16(bytes: &mut &[u8]) -> Option<u16> {
    bytes.try_get_u16().ok()
}

/// Takes a four-byte number from the front. None: there are fewer bytes.
pub fn take_u32(bytes: &mut &[u8]) -> Option<u32> {
    bytes.try_get_u32().ok()
}

/// Appends the lowest 48 bits of an epoch.
pub fn put_epoch(bytes: &mut Vec<u8>, epoch: u64) {
    bytes.put_uint(epoch & EPOCH_MASK, EPOCH_BYTES);
}

/// Takes an epoch of 48 bits from the front. None: there are fewer bytes.
pub fn take_epoch(bytes: &mut &[u8]) -> Option<u64> {
    take_uint(bytes, EPOCH_BYTES)
}

/// Appends what `write` writes, unless the message would then exceed `max_bytes` or
/// [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES). Returns false if it would; the message is unchanged then.
pub fn push_within(
    bytes: &mut Vec<u8>,
    max_bytes: usize,
    write: impl FnOnce(&mut Vec<u8>),
) -> bool {
    let length_before = bytes.len();
    write(bytes);
    let fits = bytes.len() <= max_bytes.min(crate::MAX_MESSAGE_BYTES);
    if !fits {
        bytes.truncate(length_before);
    }
    fits
}

/// Reads records up to the first one for which `read` returns None, because it is padding or invalid.
pub fn records<'b, T: 'b>(
    mut bytes: &'b [u8],
    mut read: impl FnMut(&mut &'b [u8]) -> Option<T> + 'b,
) -> impl Iterator<Item = T> + 'b {
    std::iter::from_fn(move || read(&mut bytes))
}
