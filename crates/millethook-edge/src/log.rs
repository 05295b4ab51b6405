//! The form of a store's files: records one behind another, each with a head of its own checksum, so that a spoilt body is
//! known by its name, and what follows it is found again.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | `mhE1` |
//! | 4 | length of the body |
//! | 8 | the number of the write that it is about |
//! | 4 | CRC-32 of the body |
//! | 4 | CRC-32 of the 20 bytes before |
//! | n | the record (postcard) |

use crate::mutant::{self, Mutant};
use crate::record::Record;

const MAGIC: [u8; 4] = *b"mhE1";
/// The bytes of a head.
pub const HEADER_BYTES: usize = 24;
/// The longest body: a request's body is 64 KiB at most, and so may its head be.
pub const MAX_BODY_BYTES: usize = 256 << 10;

/// What stands at a place of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// A record.
    Record {
        /// The write that it is about.
        seq: u64,
        /// Where its body is,
        at: u64,
        /// and how long.
        length: u32,
        /// What it says.
        record: Record,
    },
    /// Bytes that are spoilt; what follows is sound.
    Damaged {
        /// Where,
        at: u64,
        /// and how many.
        length: u64,
        /// The write that the record was about, if its head is sound.
        seq: Option<u64>,
    },
    /// The end of the file is the begin of a record: an append that was cut short, on which nothing hangs yet.
    Torn {
        /// Where,
        at: u64,
        /// and how many bytes.
        length: u64,
    },
}

/// Why a record cannot be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Adds a record.
///
/// # Errors
/// It is longer than a record may be; nothing has changed.
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
    let word = |at: usize| -> Option<u32> {
        Some(u32::from_le_bytes(header.get(at..at + 4)?.try_into().ok()?))
    };
    let sound = header[..4] == MAGIC && word(20)? == crc32fast::hash(&header[..20]);
    let seq = u64::from_le_bytes(header.get(8..16)?.try_into().ok()?);
    let length = word(4)? as usize;
    (sound && length <= MAX_BODY_BYTES).then_some(Header { length, seq, checksum: word(16)? })
}

/// One record, head first, where its place is known; None: it is spoilt, or not there.
pub fn decode_one(bytes: &[u8]) -> Option<(u64, Record)> {
    match scan(bytes, 0).next()? {
        Item::Record { seq, record, .. } => Some((seq, record)),
        Item::Damaged { .. } | Item::Torn { .. } => None,
    }
}

/// Reads what stands in a file from `from` on, in order. The next reading of a file that grows begins where an item of
/// kind [`Item::Torn`] was.
pub fn scan(file: &[u8], from: u64) -> impl Iterator<Item = Item> {
    let mut at = (from as usize).min(file.len());
    std::iter::from_fn(move || {
        let rest = file.get(at..).filter(|rest| !rest.is_empty())?;
        let begin = at as u64;
        let Some(found) = parse_header(rest) else {
            // What a spoilt head hides ends where the next sound one begins.
            let next = (1..rest.len().saturating_sub(HEADER_BYTES - 1))
                .find(|n| rest[*n..].starts_with(&MAGIC) && parse_header(&rest[*n..]).is_some());
            at += next.unwrap_or(rest.len());
            let length = (at as u64) - begin;
            // An append that was cut short leaves less than a head, or nothing but zeros, whatever length the file got.
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
