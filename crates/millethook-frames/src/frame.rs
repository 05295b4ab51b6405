//! The format of a datagram between sidecars. Numbers are big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version |
//! | 4 | the fleet: CRC-32 of its name |
//! | 2 | the sender's number |
//! | 6 | the epoch of the sender's process |
//! | 1, 1, n | records: kind, length, content |

use millethook_machine::codec::{self, BufMut};

/// The longest datagram that the platform allows, in bytes.
pub const MAX_FRAME_BYTES: usize = 256;
/// The version of the frame format.
pub const VERSION: u8 = 1;
const HEADER_BYTES: usize = 13;
const RECORD_HEADER_BYTES: usize = 2;
/// The longest content of a record, in bytes.
pub const MAX_RECORD: usize = MAX_FRAME_BYTES - HEADER_BYTES - RECORD_HEADER_BYTES;

/// The header of a frame: its fleet and its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The id of the fleet; see [`fleet_id`].
    pub fleet: u32,
    /// The sender's member number.
    pub from: u16,
    /// The epoch of the sender's process: 48 bits.
    pub epoch: u64,
}

/// Why bytes are not a valid frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The datagram is longer than a frame may be, or shorter than a header.
    #[error("{0} bytes: {HEADER_BYTES} to {MAX_FRAME_BYTES} expected")]
    Length(usize),
    /// The frame has another version.
    #[error("version {0}: {VERSION} expected")]
    Version(u8),
    /// A record extends beyond the end of the frame.
    #[error("a record extends beyond the end of the frame")]
    Truncated,
}

/// The id of a fleet, derived from its name. Two names may have the same id by chance: it protects against mistakes, not
/// against attacks.
pub fn fleet_id(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// A parsed frame. Its records are known to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'b> {
    /// The header of the frame.
    pub header: Header,
    records: &'b [u8],
}

impl<'b> Frame<'b> {
    /// Parses a datagram.
    ///
    /// # Errors
    /// The datagram is not a frame of this version. Nothing of it may be used.
    pub fn parse(bytes: &'b [u8]) -> Result<Frame<'b>, FrameError> {
        if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&bytes.len()) {
            return Err(FrameError::Length(bytes.len()));
        }
        let mut records = bytes;
        let mut take = |width| codec::take_uint(&mut records, width).ok_or(FrameError::Truncated);
        let version = take(1)? as u8;
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        let header = Header { fleet: take(4)? as u32, from: take(2)? as u16, epoch: take(6)? };
        let frame = Frame { header, records };
        let length: usize =
            frame.records().map(|(_, content)| RECORD_HEADER_BYTES + content.len()).sum();
        if length != records.len() {
            return Err(FrameError::Truncated);
        }
        Ok(frame)
    }

    /// The records of the frame: kind and content.
    pub fn records(&self) -> impl Iterator<Item = (u8, &'b [u8])> + use<'b> {
        let mut rest = self.records;
        std::iter::from_fn(move || {
            let (&[kind, length], remaining) = rest.split_first_chunk()?;
            let content = remaining.get(..usize::from(length))?;
            rest = &remaining[content.len()..];
            Some((kind, content))
        })
    }
}

/// A frame that is being written.
#[derive(Clone, Debug)]
pub struct FrameWriter(Vec<u8>);

impl FrameWriter {
    /// Creates a frame without records.
    pub fn new(header: Header) -> FrameWriter {
        let mut bytes = Vec::with_capacity(MAX_FRAME_BYTES);
        bytes.put_u8(VERSION);
        bytes.put_u32(header.fleet);
        bytes.put_u16(header.from);
        codec::put_epoch(&mut bytes, header.epoch);
        FrameWriter(bytes)
    }

    /// The longest content of a record that still fits, in bytes.
    pub fn room(&self) -> usize {
        MAX_FRAME_BYTES.saturating_sub(self.0.len() + RECORD_HEADER_BYTES)
    }

    /// Adds a record. False: it does not fit, and the frame is unchanged.
    pub fn push(&mut self, kind: u8, content: &[u8]) -> bool {
        // Counting the record's header keeps an empty record from extending beyond the end.
        let fits = self.0.len() + RECORD_HEADER_BYTES + content.len() <= MAX_FRAME_BYTES;
        if fits {
            // A content that fits is shorter than 256 bytes.
            self.0.extend_from_slice(&[kind, content.len() as u8]);
            self.0.extend_from_slice(content);
        }
        fits
    }

    /// Returns the finished datagram.
    pub fn finish(self) -> Vec<u8> {
        self.0
    }
}
