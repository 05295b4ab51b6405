//! Header fields: numbers of a fixed width.

use bytes::BufMut;

use super::{EPOCH_BYTES, Malformed, Reader, put_epoch};

/// The encoding of a value in a fixed number of bytes.
pub trait Field {
    /// The type of the value.
    type Value;

    /// The length of the encoding in bytes.
    const LENGTH: usize;

    /// Appends the encoding of a value.
    fn put(value: Self::Value, bytes: &mut Vec<u8>);

    /// Reads a value.
    ///
    /// # Errors
    /// There are fewer bytes, or they do not encode a value.
    fn take(reader: &mut Reader<'_>) -> Result<Self::Value, Malformed>;
}

/// Implements [`Field`] for numbers that use all bytes of their type, big-endian.
macro_rules! full_width_numbers {
    ($($number:ident $put:ident,)+) => {
        $(impl Field for $number {
            type Value = $number;

            const LENGTH: usize = size_of::<$number>();

            fn put(value: $number, bytes: &mut Vec<u8>) {
                bytes.$put(value);
            }

            fn take(reader: &mut Reader<'_>) -> Result<$number, Malformed> {
                reader.$number()
            }
        })+
    };
}

full_width_numbers! {
    u8 put_u8,
    u16 put_u16,
    u32 put_u32,
    u64 put_u64,
}

/// The encoding of the lowest 48 bits of a number, as used for epochs.
pub enum U48 {}

impl Field for U48 {
    type Value = u64;

    const LENGTH: usize = EPOCH_BYTES;

    fn put(value: u64, bytes: &mut Vec<u8>) {
        put_epoch(bytes, value);
    }

    fn take(reader: &mut Reader<'_>) -> Result<u64, Malformed> {
        reader.u48()
    }
}
