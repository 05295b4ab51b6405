//! The form of a datagram between sidecars. Numbers are big-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | version |
//! | 4 | the fleet: CRC-32 of its name |
//! | 2 | the sender's number |
//! | 6 | the epoch of the sender's process |
//! | 1, 1, n | records: kind, length, content |

use millethook_machine::codec::{self, BufMut};

/// The longest datagram, as the platform bounds it.
pub const MAX_FRAME_BYTES: usize = 256;
/// The version that is spoken.
pub const VERSION: u8 = 1;
const HEADER: usize = 13;
const RECORD_HEADER: usize = 2;
/// The longest content of a record.
pub const MAX_RECORD: usize = MAX_FRAME_BYTES - HEADER - RECORD_HEADER;

/// Who says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The fleet; see [`fleet_id`].
    pub fleet: u32,
    /// The sender's number.
    pub from: u16,
    /// The epoch of its process: 48 bits.
    pub epoch: u64,
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Longer than a frame may be, or shorter than a header.
    #[error("{0} bytes: {HEADER} to {MAX_FRAME_BYTES} expected")]
    Length(usize),
    /// Another version.
    #[error("version {0}: {VERSION} expected")]
    Version(u8),
    /// A record that goes beyond the end.
    #[error("a record ends behind the frame")]
    Truncated,
}

/// A fleet's name as a number. Two names may share one by chance; it guards against mistakes, not malice.
pub fn fleet_id(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// A frame that was read: its records are known to be whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'b> {
    /// Who says it.
    pub header: Header,
    records: &'b [u8],
}

impl<'b> Frame<'b> {
    /// Reads a datagram.
    ///
    /// # Errors
    /// It is no frame of this version; nothing of it may be used.
    pub fn parse(bytes: &'b [u8]) -> Result<Frame<'b>, FrameError> {
        if !(HEADER..=MAX_FRAME_BYTES).contains(&bytes.len()) {
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
        let read: usize = frame.records().map(|(_, content)| RECORD_HEADER + content.len()).sum();
        if read != records.len() {
            return Err(FrameError::Truncated);
        }
        Ok(frame)
    }

    /// Its records: kind and content.
    pub fn records(&self) -> impl Iterator<Item = (u8, &'b [u8])> + use<'b> {
        let mut rest = self.records;
        std::iter::from_fn(move || {
            let (&[kind, length], after) = rest.split_first_chunk()?;
            let content = after.get(..usize::from(length))?;
            rest = &after[content.len()..];
            Some((kind, content))
        })
    }
}

/// A frame that is being written.
#[derive(Clone, Debug)]
pub struct FrameWriter(Vec<u8>);

impl FrameWriter {
    /// An empty one.
    pub fn new(header: Header) -> FrameWriter {
        let mut bytes = Vec::with_capacity(MAX_FRAME_BYTES);
        bytes.put_u8(VERSION);
        bytes.put_u32(header.fleet);
        bytes.put_u16(header.from);
        codec::put_epoch(&mut bytes, header.epoch);
        FrameWriter(bytes)
    }

    /// The longest content that still fits.
    pub fn room(&self) -> usize {
        MAX_FRAME_BYTES.saturating_sub(self.0.len() + RECORD_HEADER)
    }

    /// Adds a record; false: it does not fit, and nothing has changed.
    pub fn push(&mut self, kind: u8, content: &[u8]) -> bool {
        // Danger: where not even a record's head has room, an empty one would go beyond the end.
        let fits = self.0.len() + RECORD_HEADER + content.len() <= MAX_FRAME_BYTES;
        if fits {
            // What fits is shorter than 256.
            self.0.extend_from_slice(&[kind, content.len() as u8]);
            self.0.extend_from_slice(content);
        }
        fits
    }

    /// The datagram.
    pub fn finish(self) -> Vec<u8> {
        self.0
    }
}
