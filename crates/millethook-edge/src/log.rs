//! The format of a store's files: a sequence of records. Each header has its own checksum, so that a damaged body can
//! be attributed to its write and the next record can be found.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | `mhE1` |
//! | 4 | length of the body |
//! | 8 | number of the write that the record belongs to |
//! | 4 | CRC-32 of the body |
//! | 4 | CRC-32 of the 20 bytes before |
//! | n | the record (postcard) |

use crate::mutant::{self, Mutant};
use crate::record::Record;

const MAGIC: [u8; 4] = *b"mhE1";
/// Length of a record's header in bytes.
pub const HEADER_BYTES: usize = 24;
/// Maximum length of a record's body: a request's body has up to 64 KiB, and its head may be as long.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// One item of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// An intact record.
    Record {
        /// The write that the record belongs to.
        seq: u64,
        /// Offset of the record's body.
        at: u64,
        /// Length of the record's body.
        length: u32,
        /// The decoded record.
        record: Record,
    },
    /// Damaged bytes, followed by intact ones.
    Damaged {
        /// Offset of the damaged bytes.
        at: u64,
        /// Number of damaged bytes.
        length: u64,
        /// The write that the record belonged to, if its header is intact.
        seq: Option<u64>,
    },
    /// An incomplete record at the end of the file: an append was cut short. Nothing depends on it yet.
    Torn {
        /// Offset of the incomplete record.
        at: u64,
        /// Number of bytes.
        length: u64,
    },
}

/// The record's body exceeds [`MAX_BODY_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Appends a record.
///
/// # Errors
/// The record's body is too long; `bytes` is unchanged.
pub fn append(bytes: &mut Vec<u8>, seq: u64, record: &Record) -> Result<(), TooLong> {
    let body = postcard::to_allocvec(record).map_err(|_| TooLong)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(TooLong);
    }
    let begin = bytes.len();
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&seq.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    let checksum = crc32fast::hash(&bytes[begin..]);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

struct Header {
    length: usize,
    seq: u64,
    checksum: u32,
}

fn parse_header(bytes: &[u8]) -> Option<Header> {
    let header = bytes.get(..HEADER_BYTES)?;
    let u32_at = |at: usize| -> Option<u32> {
        Some(u32::from_le_bytes(header.get(at..at + 4)?.try_into().ok()?))
    };
    let sound = header[..4] == MAGIC && u32_at(20)? == crc32fast::hash(&header[..20]);
    let seq = u64::from_le_bytes(header.get(8..16)?.try_into().ok()?);
    let length = u32_at(4)? as usize;
    (sound && length <= MAX_BODY_BYTES).then_some(Header { length, seq, checksum: u32_at(16)? })
}

/// Decodes the record, header included, at the start of `bytes`. Returns None if it is damaged or missing.
pub fn decode_one(bytes: &[u8]) -> Option<(u64, Record)> {
    match scan(bytes, 0).next()? {
        Item::Record { seq, record, .. } => Some((seq, record)),
        Item::Damaged { .. } | Item::Torn { .. } => None,
    }
}

/// Iterates over the items of a file from offset `from`. To continue reading a file that grows, start at the offset
/// of the [`Item::Torn`] item.
pub fn scan(file: &[u8], from: u64) -> impl Iterator<Item = Item> {
    let mut at = (from as usize).min(file.len());
    std::iter::from_fn(move || {
        let rest = file.get(at..).filter(|rest| !rest.is_empty())?;
        let begin = at as u64;
        let Some(found) = parse_header(rest) else {
            // A damaged header hides everything up to the next intact header.
            let next = (1..rest.len().saturating_sub(HEADER_BYTES - 1))
                .find(|n| rest[*n..].starts_with(&MAGIC) && parse_header(&rest[*n..]).is_some());
            at += next.unwrap_or(rest.len());
            let length = (at as u64) - begin;
            // An append that was cut short leaves less than a header, or only zeros if the file system extended the
            // file first.
            let short = rest.len() < HEADER_BYTES || rest.iter().all(|b| *b == 0);
            return Some(if next.is_none() && short {
                Item::Torn { at: begin, length }
            } else {
                Item::Damaged { at: begin, length, seq: None }
            });
        };
        let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + found.length) else {
            at = file.len();
            return Some(Item::Torn { at: begin, length: rest.len() as u64 });
        };
        at += HEADER_BYTES + found.length;
        let sound = crc32fast::hash(body) == found.checksum || mutant::is(Mutant::NoSum);
        let record = sound.then(|| postcard::from_bytes(body).ok()).flatten();
        Some(match record {
            Some(record) => Item::Record {
                seq: found.seq,
                at: begin + HEADER_BYTES as u64,
                length: found.length as u32,
                record,
            },
            None => Item::Damaged { at: begin, length: at as u64 - begin, seq: Some(found.seq) },
        })
    })
}
