//! A cursor over received bytes.

use bytes::Buf;

use super::{EPOCH_BYTES, Malformed};

/// Reads numbers from the front of a message.
///
/// Each method consumes its bytes only if all of them are present.
#[derive(Clone, Debug)]
pub struct Reader<'b> {
    bytes: &'b [u8],
}

impl<'b> Reader<'b> {
    /// Creates a reader at the first byte.
    pub fn new(bytes: &'b [u8]) -> Reader<'b> {
        Reader { bytes }
    }

    /// The bytes that have not been read yet.
    pub fn remaining(&self) -> &'b [u8] {
        self.bytes
    }

    /// Reads a one-byte number.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn u8(&mut self) -> Result<u8, Malformed> {
        self.bytes.try_get_u8().map_err(|_| Malformed::Length)
    }

    /// Reads a two-byte number.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn u16(&mut self) -> Result<u16, Malformed> {
        self.bytes.try_get_u16().map_err(|_| Malformed::Length)
    }

    /// Reads a four-byte number.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn u32(&mut self) -> Result<u32, Malformed> {
        self.bytes.try_get_u32().map_err(|_| Malformed::Length)
    }

    /// Reads a signed four-byte number in two's complement.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn i32(&mut self) -> Result<i32, Malformed> {
        self.bytes.try_get_i32().map_err(|_| Malformed::Length)
    }

    /// Reads a six-byte number: an epoch, or another 48-bit number.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn u48(&mut self) -> Result<u64, Malformed> {
        self.bytes.try_get_uint(EPOCH_BYTES).map_err(|_| Malformed::Length)
    }

    /// Reads an eight-byte number.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn u64(&mut self) -> Result<u64, Malformed> {
        self.bytes.try_get_u64().map_err(|_| Malformed::Length)
    }

    /// Reads the next `N` bytes.
    ///
    /// # Errors
    /// [`Malformed::Length`]: there are fewer bytes.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let (array, rest) = self.bytes.split_first_chunk::<N>().ok_or(Malformed::Length)?;
        self.bytes = rest;
        Ok(*array)
    }

    /// Reads a value with a function on the remaining bytes, which returns None if there are too few.
    ///
    /// # Errors
    /// [`Malformed::Length`]: the function returned None.
    pub fn value<T>(
        &mut self,
        read: impl FnOnce(&mut &'b [u8]) -> Option<T>,
    ) -> Result<T, Malformed> {
        read(&mut self.bytes).ok_or(Malformed::Length)
    }

    /// Reads consecutive records, up to the first one that is invalid or padding. [`Reader::remaining`] then starts with
    /// that one.
    pub fn records<T>(
        &mut self,
        mut read: impl FnMut(&mut Reader<'b>) -> Result<T, Malformed>,
    ) -> impl Iterator<Item = T> {
        std::iter::from_fn(move || {
            let mut next = self.clone();
            let record = read(&mut next).ok()?;
            *self = next;
            Some(record)
        })
    }
}
