//! Messages between replicas: the payload of a record in a frame. Numbers are big-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | kind |
//! | 2 | salt of the hashes of a comparison, else 0 |
//! | 4 | hash of all shared entries that the sender holds |
//! | 8 | query for an edge store only: its number; then padding up to 52 bytes |
//! | 32 | comparison only: hashes of 32 ranges of keys, one byte each |
//! | 30 | evidence: 0x10 and the verdict (1), server (8), author (2), author's epoch (6), counter (4), server's epoch (6), zone (1), age (2) |
//! | 17 | departure: 0x20 and the stage (1), server (8), server's epoch (6), age (2) |
//! | 25 | job: 0x30 (1), number (8), token (12), counter (2), age (2) |
//! | 45 | edge store: 0x40 (1), number (8), token (12), `upto` (6), `beyond` (8), `failed` (3 times 2), `left` (2), age (2) |
//!
//! Ages are in milliseconds, 65,535 at most.

use millethook_lease::Token;
use millethook_machine::codec::{self, BufMut, Header, Malformed, Reader};
use millethook_machine::{message_header, wire_enum};

use crate::Micros;
use crate::entry::{Departure, Entry, EntryValue, Key, Verdict};

/// The maximum length of a content, in bytes.
pub const LONGEST: usize = millethook_machine::MAX_MESSAGE_BYTES;
/// The length of the header, in bytes.
pub(crate) const HEADER_BYTES: usize = MessageHeader::LENGTH;
/// The length of a query for an edge store, in bytes. It equals that of the answer, so that a forged query cannot make
/// this member send a third party more bytes than it received.
pub(crate) const EDGE_QUERY_BYTES: usize = HEADER_BYTES + 45;
/// The number of key ranges in a comparison.
pub(crate) const RANGES: usize = 32;
/// Microseconds of the unit of ages on the wire. Ages are rounded down: rounded up, an entry would age by being sent
/// back and forth.
const AGE_STEP: Micros = 1_000;

wire_enum! {
    /// The kind of a message.
    pub(crate) enum MessageKind {
        /// New entries.
        Gossip = 1,
        /// Hashes of key ranges. The receiver answers with the entries of the ranges that differ.
        Compare = 2,
        /// Entries of ranges that differ. The receiver answers with those of which it holds a later version.
        Differences = 3,
        /// A part of all shared entries, for a member that has just joined.
        StateTransfer = 4,
        /// A query for the entry of an edge store.
        EdgeQuery = 5,
    }
}

message_header! {
    /// The header of each message.
    pub(crate) struct MessageHeader {
        /// The kind of the message.
        pub kind: MessageKind,
        /// The salt of the hashes in a comparison.
        pub salt: u16,
        /// The hash of all shared entries that the sender holds.
        pub hash: u32,
    }
}

/// First bytes of records. The lower half holds the verdict, or the stage of a departure.
const EVIDENCE: u8 = 0x10;
const DEPARTURE: u8 = 0x20;
const JOB: u8 = 0x30;
const EDGE: u8 = 0x40;
/// Mask of the record kind in the first byte.
const KIND_MASK: u8 = 0xf0;
/// Mask of the verdict or of the stage of a departure in the first byte.
const DETAIL_MASK: u8 = 0x0f;

/// Appends an entry if the message stays within `longest` bytes. Otherwise it changes nothing and returns false.
pub(crate) fn write_entry(bytes: &mut Vec<u8>, key: Key, entry: &Entry, longest: usize) -> bool {
    codec::push_within(bytes, longest, |bytes| {
        match (key, entry.value) {
            (
                Key::Evidence { server, author },
                EntryValue::Evidence { author_epoch, counter, server_epoch, verdict, zone },
            ) => {
                bytes.put_u8(EVIDENCE | verdict.to_wire());
                bytes.put_u64(server);
                bytes.put_u16(author);
                codec::put_epoch(bytes, author_epoch);
                bytes.put_u32(counter);
                codec::put_epoch(bytes, server_epoch);
                bytes.put_u8(zone);
            }
            (Key::Departure { server }, EntryValue::Departure { server_epoch, departure }) => {
                bytes.put_u8(DEPARTURE | departure.to_wire());
                bytes.put_u64(server);
                codec::put_epoch(bytes, server_epoch);
            }
            (Key::Job { job }, EntryValue::Job { token, said }) => {
                bytes.put_u8(JOB);
                bytes.put_u64(job);
                token.write(bytes);
                bytes.put_u16(said);
            }
            (Key::Edge { edge }, EntryValue::Edge { token, upto, beyond, failed, left }) => {
                bytes.put_u8(EDGE);
                bytes.put_u64(edge);
                token.write(bytes);
                bytes.put_uint(upto, 6);
                bytes.put_u64(beyond);
                failed.iter().for_each(|f| bytes.put_u16(*f));
                bytes.put_u16(left);
            }
            // The types allow a key with another kind's value; no such entry is ever created.
            _ => return,
        }
        bytes.put_u16(u16::try_from(entry.age / AGE_STEP).unwrap_or(u16::MAX));
    })
}

/// Reads an entry.
///
/// # Errors
/// The message ends too early, or the bytes are not an entry.
pub(crate) fn read_entry(reader: &mut Reader<'_>) -> Result<(Key, Entry), Malformed> {
    let kind = reader.u8()?;
    let (key, value) = match (kind & KIND_MASK, kind & DETAIL_MASK) {
        (EVIDENCE, verdict) => read_evidence(reader, verdict)?,
        (DEPARTURE, departure) => read_departure(reader, departure)?,
        (JOB, 0) => read_job(reader)?,
        (EDGE, 0) => read_edge(reader)?,
        _ => return Err(Malformed::Kind),
    };
    let age = Micros::from(reader.u16()?) * AGE_STEP;
    Ok((key, Entry { value, age }))
}

fn read_evidence(reader: &mut Reader<'_>, verdict: u8) -> Result<(Key, EntryValue), Malformed> {
    let verdict = Verdict::from_wire(verdict).ok_or(Malformed::Kind)?;
    let key = Key::Evidence { server: reader.u64()?, author: reader.u16()? };
    let value = EntryValue::Evidence {
        author_epoch: reader.u48()?,
        counter: reader.u32()?,
        server_epoch: reader.u48()?,
        verdict,
        zone: reader.u8()?,
    };
    Ok((key, value))
}

fn read_departure(reader: &mut Reader<'_>, departure: u8) -> Result<(Key, EntryValue), Malformed> {
    let departure = Departure::from_wire(departure).ok_or(Malformed::Kind)?;
    let key = Key::Departure { server: reader.u64()? };
    Ok((key, EntryValue::Departure { server_epoch: reader.u48()?, departure }))
}

fn read_job(reader: &mut Reader<'_>) -> Result<(Key, EntryValue), Malformed> {
    let key = Key::Job { job: reader.u64()? };
    Ok((key, EntryValue::Job { token: reader.value(Token::read)?, said: reader.u16()? }))
}

fn read_edge(reader: &mut Reader<'_>) -> Result<(Key, EntryValue), Malformed> {
    let key = Key::Edge { edge: reader.u64()? };
    let value = EntryValue::Edge {
        token: reader.value(Token::read)?,
        upto: reader.u48()?,
        beyond: reader.u64()?,
        failed: [reader.u16()?, reader.u16()?, reader.u16()?],
        left: reader.u16()?,
    };
    Ok((key, value))
}

#[cfg(test)]
mod tests;
